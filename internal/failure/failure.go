// Package failure defines the typed failures that the system reports to callers and operators. It
// does not depend on a transport; package problem encodes failures for HTTP.
package failure

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Outcome states whether a request was executed.
type Outcome string

// Outcomes of a request.
const (
	// Done means that the request ran and its complete answer is available.
	Done Outcome = "done"
	// NotRun means that the request provably did not start on any backend server.
	NotRun Outcome = "not_run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Code identifies a kind of failure. Codes are stable: callers may match on them.
type Code string

// Failure codes.
const (
	BadRequest        Code = "bad-request"
	BodyTooLarge      Code = "body-too-large"
	SlowBody          Code = "slow-body"
	NoMemory          Code = "no-memory"
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
	ServersPaused     Code = "backend-servers-paused"
	NoQuorum          Code = "no-ledger-quorum"
	LedgerFull        Code = "ledger-full"
	AnswerNotKept     Code = "answer-not-kept"
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
	Quarantined       Code = "quarantined-request"
	Suspected         Code = "suspected-request"
	QuarantinedPart   Code = "quarantined-prompt-part"
	SuspectedPart     Code = "suspected-prompt-part"
	OverQuota         Code = "over-quota"
	QuotaUnknown      Code = "quota-unknown"
	StreamUnknown     Code = "stream-unknown"
	StreamMoved       Code = "stream-moved"
	MessageInvalid    Code = "message-invalid"
	OrderSuperseded   Code = "order-superseded"
	Internal          Code = "internal"
)

var titles = map[Code]string{
	BadRequest:        "The request is malformed",
	BodyTooLarge:      "The request body is over the limit",
	SlowBody:          "The request body did not arrive in time",
	NoMemory:          "The host has no memory for the request",
	Unauthorized:      "The key is missing or unknown",
	Forbidden:         "The key does not allow this",
	UnknownModel:      "The model is not configured for this team",
	UnknownService:    "The service is not configured for this team",
	NotFound:          "There is nothing under this path",
	Residency:         "The residency rules do not allow the request here",
	KeyReused:         "The idempotency key was used for a different request",
	InProgress:        "The first request with this key has no outcome yet",
	Overloaded:        "The request would wait too long",
	DeadlineTooShort:  "The request cannot be answered before its deadline",
	NoServer:          "No permitted backend server can take the request",
	ServersPaused:     "All permitted backend servers have asked for a pause",
	NoQuorum:          "The ledger has no quorum in reach",
	LedgerFull:        "The ledger has no room for a new key",
	AnswerNotKept:     "The work is done, but its answer was too large to keep",
	LedgerForgot:      "The ledger lost the record of keys issued before its present generation",
	Draining:          "The entry host is shutting down",
	NotReady:          "The entry host is not ready",
	BackendLost:       "The backend server was lost",
	BackendRefused:    "The backend server refused the request",
	Truncated:         "The answer was cut short",
	PeerUnreachable:   "The other entry host cannot be reached",
	PeerRefused:       "The other host refused the message",
	Circulating:       "The request was forwarded before",
	Canceled:          "The caller went away",
	DeadlineExceeded:  "The deadline has passed",
	VersionConflict:   "The base version is not the current version",
	InvalidRecord:     "The record is invalid",
	UnsupportedSchema: "The schema version cannot be enforced",
	NoLeader:          "The control group has no leader",
	MembershipPending: "Another membership change is under way",
	UnsafeMembership:  "The membership change would leave no caught-up majority",
	JournalCorrupt:    "The journal is corrupt",
	JournalForeign:    "The data folder belongs to another store",
	JournalFailed:     "The journal could not be written",
	InvalidSettings:   "The settings are invalid",
	ChangeIDReused:    "The change_id was used for a different change",
	EvidenceInvalid:   "The configuration carries no valid commit evidence",
	Quarantined:       "The request crashed the servers that ran it",
	Suspected:         "The request may have crashed servers and is being tried",
	QuarantinedPart:   "A part of the prompt crashed the servers that ran it",
	SuspectedPart:     "A part of the prompt may have crashed servers",
	OverQuota:         "The team's quota is used up",
	QuotaUnknown:      "No control host in reach tells what is left of the team's quota",
	StreamUnknown:     "The release at which the stream began is not known",
	StreamMoved:       "The route of the stream goes to another service now",
	OrderSuperseded:   "A later order may have been accepted",
	MessageInvalid:    "A message between hosts cannot be encoded or decoded",
	Internal:          "Internal error",
}

// Error is a failure with its outcome. The zero Outcome means that the failure
// does not concern the execution of a request.
type Error struct {
	Code       Code
	Outcome    Outcome
	Detail     string        // valid UTF-8
	RetryAfter time.Duration // zero if a retry would be pointless
	EntryHosts []string      // entry hosts to use instead
	Version    uint64        // current configuration version, for VersionConflict
	Cause      error
}

// New returns an Error with a formatted detail.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Detail: validText(fmt.Sprintf(format, args...))}
}

// Wrap returns an Error caused by err. The detail is err's text.
func Wrap(err error, code Code, outcome Outcome) *Error {
	return &Error{Code: code, Outcome: outcome, Detail: validText(err.Error()), Cause: err}
}

// validText replaces bytes that are not valid UTF-8. Details may quote what a caller or a server sent, and messages
// between hosts carry them as text.
func validText(s string) string { return strings.ToValidUTF8(s, "\uFFFD") }

// Error implements error.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Detail
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter sets the time after which the caller should retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithEntryHosts sets the entry hosts to use instead, and returns e.
func (e *Error) WithEntryHosts(hosts []string) *Error {
	e.EntryHosts = hosts
	return e
}

// Title returns a one-line summary of the failure's code.
func (e *Error) Title() string { return titles[e.Code] }

// IsCrashRefusal reports whether a request was refused because it, or a part of its prompt, crashed
// servers.
func (e *Error) IsCrashRefusal() bool {
	switch e.Code {
	case Quarantined, Suspected, QuarantinedPart, SuspectedPart:
		return true
	}
	return false
}

// As returns the *Error in err's chain; nil for a nil err. An error without one becomes Internal
// with the given outcome.
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

// Is reports whether err's chain contains an *Error with the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
