// Package problem encodes failures as RFC 9457 problem documents and decodes them.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Document is a problem document.
type Document struct {
	Type           string          `json:"type"`
	Title          string          `json:"title"`
	Status         int             `json:"status"`
	Detail         string          `json:"detail,omitempty"`
	Outcome        failure.Outcome `json:"outcome,omitempty"`
	RequestID      string          `json:"request_id,omitempty"`
	RetryAfterMS   int64           `json:"retry_after_ms,omitempty"`
	EntryHosts     []string        `json:"entry_hosts,omitempty"`
	CurrentVersion uint64          `json:"current_version,omitempty"`
}

// typePrefix precedes a code in a document's type member.
const typePrefix = "urn:sesamefork:problem:"

// ContentType is the media type of problem documents.
const ContentType = "application/problem+json"

// headerOutcome repeats the document's outcome for clients that do not read the body.
const headerOutcome = "Sesame-Outcome"

// Of returns the problem document for a failure.
func Of(f *failure.Error, requestID string) Document {
	return Document{
		Type: typePrefix + string(f.Code), Title: f.Title(), Status: Status(f),
		Detail: f.Detail, Outcome: f.Outcome, RequestID: requestID,
		RetryAfterMS: f.RetryAfter.Milliseconds(), EntryHosts: f.EntryHosts, CurrentVersion: f.Version,
	}
}

// Error returns the failure that the document describes. ok is false when the
// document's type is not one of this system.
func (d Document) Error() (f *failure.Error, ok bool) {
	code, ok := strings.CutPrefix(d.Type, typePrefix)
	if !ok {
		return nil, false
	}
	f = failure.New(failure.Code(code), d.Outcome, "%s", d.Detail)
	f.RetryAfter = time.Duration(d.RetryAfterMS) * time.Millisecond
	f.EntryHosts, f.Version = d.EntryHosts, d.CurrentVersion
	return f, true
}

// Write answers a request with the problem document for a failure.
func Write(w http.ResponseWriter, f *failure.Error, requestID string) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	if f.Outcome != "" {
		h.Set(headerOutcome, string(f.Outcome))
	}
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(Status(f))
	_ = json.NewEncoder(w).Encode(Of(f, requestID))
}
