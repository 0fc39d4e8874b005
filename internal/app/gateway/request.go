// Package gateway routes callers' requests, unchanged, to backend servers: the route determines
// the service, package dispatch the server or region, and package retry what follows a failed
// attempt. It also synchronizes the entry host with the control hosts.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/app/access"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	Host   string // without port
	Path   string
	URI    string      // path and query, unmodified
	Header http.Header // without the caller's key
	Body   []byte
	// Key identifies the request's team.
	Key access.Credential
	// Tokens is the size that the request declares, in tokens; negative if it declares none.
	Tokens float64
	// Arrived is when the request had been read completely.
	Arrived time.Time
	// Wait is how long the caller waits for the answer; 0 if it does not state a limit.
	Wait time.Duration
	// Prompt is set for requests to model engines.
	Prompt *Prompt
	// ResumeAfter is the ID of the last stream event that the caller has received.
	ResumeAfter uint64
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that this
	// request takes up after ResumeAfter; "" if it takes up none or does not name it.
	Resumes string
	// Origin is the region that forwarded the request; "" if it came from a caller.
	Origin string
	// attempts bounds the servers that may still be tried, if the request was forwarded.
	attempts int
	// traceparent is the span of the host that forwarded the request; "" for none.
	traceparent string
	// service and team were determined by the host that forwarded the request; "" otherwise.
	service, team string
	// release is set if the host that forwarded the request goes on with a stream of that release.
	release *string
}

// Prompt describes a request to a model engine.
type Prompt struct {
	Parts     []dispatch.Part
	Tokens    int
	MaxOutput int
	// Hint is the caller's estimate of the output tokens; 0 for none.
	Hint int
}

// Head is the status and header of an answer.
type Head struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if unknown.
	Length int64
	// Release is the software version of the server; nil if another entry host did not state it.
	Release *string
}

// Sink receives an answer for the caller.
type Sink interface {
	// Head is called once, before any data.
	Head(Head) error
	// Data sends a part of the body without delay.
	Data([]byte) error
}

// Attempt is one request to one backend server.
type Attempt struct {
	Address string
	// Server is the ID of the server process that must run the request. Any other process refuses
	// it.
	Server  string
	Request *Request
	// Team is the request's team; "" for none.
	Team string
	// Remaining is the time that the server may take.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event that the caller has received.
	ResumeAfter uint64
	// CopyFrom is the address of an engine from which the server first copies the part of the
	// prompt that is in that engine's cache; "" for none.
	CopyFrom string
	// Deferred queues the request behind all others at the server.
	Deferred bool
	// Urgency is the request's place in the order of requests at the server, 1 to 9, 1 first; 0 if it has none.
	Urgency int
	// IDReused is set if another process may take over the server's ID. If all connections to the
	// server have ended, the attempt then fails before anything is sent.
	IDReused bool
	// Process, if set, is the process that must run the request. The attempt waits up to ProofWait until it is
	// proved that a connection leads to that process (see Backends.Confirm), and otherwise fails with ErrUnproved
	// before anything is sent.
	Process   string
	ProofWait time.Duration
	// MaySend is evaluated once a connection is open. If it returns false, the attempt fails with ErrWithheld
	// before anything is sent.
	MaySend func() bool
}

// ErrWithheld is the error of an attempt whose MaySend returned false.
var ErrWithheld = errors.New("the server left or asked for a pause before the request was sent")

// ErrUnproved is the error of an attempt whose process was not proved to listen at its address.
var ErrUnproved = errors.New("another process may listen at the server's address")

// Verdict states whether the expected backend server ran a request, by its answer.
type Verdict int

// Verdicts.
const (
	Ran         Verdict = iota // the server ran the request
	NotRun                     // the server states that it did not run the request
	WrongServer                // another server uses the address now
	Unverified                 // no proof that the answer comes, unmodified, from a backend server
)

// Answer is the head of a backend server's answer with its body.
type Answer struct {
	Head
	Verdict Verdict
	Body    io.ReadCloser
	// OpenEnded is set if the body has neither a length nor chunks, so that it ends with its
	// connection. A server that crashes ends it like one that has completed it.
	OpenEnded bool
	// Requests is the number of requests that the server reports, running and queued; -1 if it
	// reports none.
	Requests int
	// WorkTime is the ratio of the time that work takes on the server's machine at the moment of the answer to
	// the usual one; 0 if the server does not report it.
	WorkTime float64
	// Cold is the time for which the server reports that it is still cold.
	Cold time.Duration
	// Limit is what the answer says about the limit that the server advertises.
	Limit serverlimit.Advertisement
	// Pause is what the answer says about a time in which the server wants no requests of this host.
	Pause serverpause.Demand
	// Leaving is set if the answer says that the server's process leaves.
	Leaving bool
}

// ServerLost is the error of an attempt, or of reading its answer, after which this host has no open
// connection to the server: its process may have ended, and another one may have started.
type ServerLost struct{ Cause error }

// Error implements error.
func (e *ServerLost) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServerLost) Unwrap() error { return e.Cause }

// Backends sends attempts to backend servers.
type Backends interface {
	// Send makes one attempt. If err is not nil, sent reports whether any byte of the request may
	// have reached the server.
	Send(ctx context.Context, a *Attempt) (answer *Answer, sent bool, err error)
	// Connected reports whether a connection to an address is open that has carried an answer.
	Connected(addr string) bool
	// Confirm records that a process listened at an address at a time, or later.
	Confirm(addr, process string, at time.Time)
}

// pathOf returns the path of a request's target, which may be a whole URI (RFC 9112, 3.2.2).
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	if _, rest, ok := strings.Cut(path, "://"); ok {
		_, path, _ = strings.Cut(rest, "/")
		return "/" + path
	}
	return path
}

// notRun returns the failure of a request that did not run. after is its Retry-After.
func notRun(code failure.Code, after time.Duration, format string, args ...any) *failure.Error {
	return failure.New(code, failure.NotRun, format, args...).WithRetryAfter(after)
}
