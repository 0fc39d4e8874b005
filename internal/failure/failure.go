// Package failure defines the typed failures that the system reports to
// callers and operators, and their RFC 9457 problem documents.
package failure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Outcome states what is known about the execution of a request.
type Outcome string

// Outcomes of a request.
const (
	// Done means that the request ran and its whole answer is at hand.
	Done Outcome = "done"
	// NotRun means that the request provably did not start on any backend server.
	NotRun Outcome = "not_run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Code names a kind of failure. Codes are stable: clients may match on them.
type Code string

// Failure codes.
const (
	BadRequest        Code = "bad-request"
	BodyTooLarge      Code = "body-too-large"
	SlowBody          Code = "slow-body"
	Unauthorized      Code = "unauthorized"
	Forbidden         Code = "forbidden"
	UnknownModel      Code = "unknown-model"
	UnknownService    Code = "unknown-service"
	NotFound          Code = "not-found"
	Residency         Code = "residency"
	KeyReused         Code = "idempotency-key-reused"
	InProgress        Code = "in-progress"
	Overloaded        Code = "overloaded"
	DeadlineTooShort  Code = "deadline-too-short"
	NoServer          Code = "no-backend-server"
	NoQuorum          Code = "no-ledger-quorum"
	LedgerFull        Code = "ledger-full"
	LedgerForgot      Code = "ledger-forgot"
	Draining          Code = "draining"
	NotReady          Code = "not-ready"
	BackendLost       Code = "backend-server-lost"
	BackendRefused    Code = "backend-server-refused"
	Truncated         Code = "answer-truncated"
	PeerUnreachable   Code = "peer-unreachable"
	PeerRefused       Code = "peer-refused"
	Circulating       Code = "circulating"
	Canceled          Code = "canceled"
	DeadlineExceeded  Code = "deadline-exceeded"
	VersionConflict   Code = "version-conflict"
	InvalidRecord     Code = "invalid-record"
	UnsupportedSchema Code = "unsupported-schema"
	NoLeader          Code = "no-leader"
	MembershipPending Code = "membership-change-pending"
	UnsafeMembership  Code = "unsafe-membership-change"
	JournalCorrupt    Code = "journal-corrupt"
	JournalForeign    Code = "journal-foreign"
	JournalFailed     Code = "journal-failed"
	InvalidSettings   Code = "invalid-settings"
	ChangeIDReused    Code = "change-id-reused"
	EvidenceInvalid   Code = "evidence-invalid"
	Internal          Code = "internal"
)

type class struct {
	status int
	title  string
}

var classes = map[Code]class{
	BadRequest:        {http.StatusBadRequest, "The request is malformed"},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, "The request body is over the limit"},
	SlowBody:          {http.StatusRequestTimeout, "The request body did not arrive in time"},
	Unauthorized:      {http.StatusUnauthorized, "The key is missing or unknown"},
	Forbidden:         {http.StatusForbidden, "The key does not allow this"},
	UnknownModel:      {http.StatusNotFound, "The model is not configured for this team"},
	UnknownService:    {http.StatusNotFound, "The service is not configured for this team"},
	NotFound:          {http.StatusNotFound, "There is nothing under this path"},
	Residency:         {http.StatusMisdirectedRequest, "The residency rules do not allow the request here"},
	KeyReused:         {http.StatusUnprocessableEntity, "The idempotency key was used for a different request"},
	InProgress:        {http.StatusConflict, "The first request with this key has no outcome yet"},
	Overloaded:        {http.StatusTooManyRequests, "The request would wait too long"},
	DeadlineTooShort:  {http.StatusServiceUnavailable, "The request cannot be answered before its deadline"},
	NoServer:          {http.StatusServiceUnavailable, "No permitted backend server can take the request"},
	NoQuorum:          {http.StatusServiceUnavailable, "The ledger has no quorum in reach"},
	LedgerFull:        {http.StatusServiceUnavailable, "The ledger has no room for a new key"},
	LedgerForgot:      {http.StatusConflict, "The ledger lost the record of keys issued before its present generation"},
	Draining:          {http.StatusServiceUnavailable, "The entry host is shutting down"},
	NotReady:          {http.StatusServiceUnavailable, "The entry host is not ready"},
	BackendLost:       {http.StatusBadGateway, "The backend server was lost"},
	BackendRefused:    {http.StatusServiceUnavailable, "The backend server refused the request"},
	Truncated:         {http.StatusBadGateway, "The answer was cut short"},
	PeerUnreachable:   {http.StatusBadGateway, "The other entry host cannot be reached"},
	PeerRefused:       {http.StatusForbidden, "The other host refused the message"},
	Circulating:       {http.StatusLoopDetected, "The request was forwarded before"},
	Canceled:          {499, "The caller went away"},
	DeadlineExceeded:  {http.StatusGatewayTimeout, "The deadline has passed"},
	VersionConflict:   {http.StatusConflict, "The base version is not the current version"},
	InvalidRecord:     {http.StatusUnprocessableEntity, "The record is invalid"},
	UnsupportedSchema: {http.StatusUnprocessableEntity, "The schema version cannot be enforced"},
	NoLeader:          {http.StatusServiceUnavailable, "The control group has no leader"},
	MembershipPending: {http.StatusConflict, "Another membership change is under way"},
	UnsafeMembership:  {http.StatusConflict, "The membership change would leave no caught-up majority"},
	JournalCorrupt:    {http.StatusInternalServerError, "The journal is corrupt"},
	JournalForeign:    {http.StatusInternalServerError, "The data folder belongs to another store"},
	JournalFailed:     {http.StatusInternalServerError, "The journal could not be written"},
	InvalidSettings:   {http.StatusInternalServerError, "The settings are invalid"},
	ChangeIDReused:    {http.StatusUnprocessableEntity, "The change_id was used for a different change"},
	EvidenceInvalid:   {http.StatusInternalServerError, "The configuration carries no valid commit evidence"},
	Internal:          {http.StatusInternalServerError, "Internal error"},
}

// Error is a failure with its outcome. The zero Outcome means that the failure
// does not concern the execution of a request.
type Error struct {
	Code       Code
	Outcome    Outcome
	Detail     string
	RetryAfter time.Duration // zero when coming back is pointless
	EntryHosts []string      // hosts to use instead
	Version    uint64        // current configuration version, for VersionConflict
	Cause      error
}

// New returns an Error with a formatted detail.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error caused by err. The detail is err's text.
func Wrap(err error, code Code, outcome Outcome) *Error {
	return &Error{Code: code, Outcome: outcome, Detail: err.Error(), Cause: err}
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Detail
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter returns e with the time after which to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithEntryHosts returns e with the entry hosts to use instead.
func (e *Error) WithEntryHosts(hosts []string) *Error {
	e.EntryHosts = hosts
	return e
}

// Status returns the HTTP status of the failure.
func (e *Error) Status() int {
	if c, ok := classes[e.Code]; ok {
		return c.status
	}
	return http.StatusInternalServerError
}

// Title returns the one-line summary of the failure's code.
func (e *Error) Title() string { return classes[e.Code].title }

// As returns err as an *Error. Any other error becomes Internal with outcome.
func As(err error, outcome Outcome) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, outcome)
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// Problem is the RFC 9457 document of a failure.
type Problem struct {
	Type           string   `json:"type"`
	Title          string   `json:"title"`
	Status         int      `json:"status"`
	Detail         string   `json:"detail,omitempty"`
	Outcome        Outcome  `json:"outcome,omitempty"`
	RequestID      string   `json:"request_id,omitempty"`
	RetryAfterMS   int64    `json:"retry_after_ms,omitempty"`
	EntryHosts     []string `json:"entry_hosts,omitempty"`
	CurrentVersion uint64   `json:"current_version,omitempty"`
}

// typePrefix precedes a code in a problem's type member.
const typePrefix = "urn:sesamefork:problem:"

// Problem returns the problem document of e.
func (e *Error) Problem(requestID string) Problem {
	return Problem{
		Type: typePrefix + string(e.Code), Title: e.Title(), Status: e.Status(),
		Detail: e.Detail, Outcome: e.Outcome, RequestID: requestID,
		RetryAfterMS: e.RetryAfter.Milliseconds(), EntryHosts: e.EntryHosts,
		CurrentVersion: e.Version,
	}
}

// ContentType is the media type of problem documents.
const ContentType = "application/problem+json"

// WriteHTTP writes e as a problem document.
func (e *Error) WriteHTTP(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	if e.Outcome != "" {
		h.Set("Sesame-Outcome", string(e.Outcome))
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", fmt.Sprint(int64((e.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(e.Problem(requestID))
}
