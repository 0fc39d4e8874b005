// Package gateway carries routed requests, as they came, from callers to backend
// servers: the route decides the service, package dispatch the place, package
// retry what follows a failed attempt. It also keeps the entry host in touch with
// the control hosts.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/app/access"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	Host   string // without port
	Path   string
	URI    string      // path and query, as they came
	Header http.Header // without the caller's key
	Body   []byte
	// Key shows whose request it is.
	Key access.Credential
	// Tokens is what the request states of its size; below 0 when it states nothing.
	Tokens float64
	// Arrived is when the request had been read.
	Arrived time.Time
	// Wait is how long the caller waits; 0 when it does not say.
	Wait time.Duration
	// Prompt is set for requests to model engines.
	Prompt *Prompt
	// ResumeAfter is the last event of a stream that the caller has.
	ResumeAfter uint64
	// Origin is the region in which the request entered, when it was forwarded.
	Origin string
	// attempts bounds the servers left to try, when the request was forwarded.
	attempts int
	// traceparent is the span of the host that forwarded the request; "" for none.
	traceparent string
	// service was picked, and team found, by the host where the request entered.
	service, team string
}

// Prompt describes what a request asks of a model engine.
type Prompt struct {
	Parts     []dispatch.Part
	Tokens    int
	MaxOutput int
	// Hint is the caller's estimate of the output tokens; 0 when there is none.
	Hint int
}

// Head is the head of an answer.
type Head struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 when it is not known.
	Length int64
}

// Sink takes an answer on its way to the caller.
type Sink interface {
	// Head is called once, before any data.
	Head(Head) error
	// Data passes a piece on at once.
	Data([]byte) error
}

// Attempt is one request to one backend server.
type Attempt struct {
	Address string
	// Server names the start of the server that must run the request; any other
	// refuses it.
	Server  string
	Request *Request
	// Team is whose request it is; "" for nobody's.
	Team string
	// Remaining is how long the server may work.
	Remaining time.Duration
	// ResumeAfter is the last event that the caller has.
	ResumeAfter uint64
	// CopyFrom is the address of an engine from which the server first copies what
	// that one keeps of the prompt; "" for none.
	CopyFrom string
	// Deferred lets the request wait behind all others at the server.
	Deferred bool
}

// Verdict is what a backend server's answer says of the request.
type Verdict int

// Verdicts.
const (
	Ran         Verdict = iota // the server worked on the request
	NotRun                     // the server states that it did not
	WrongServer                // another server has the address now
	Foreign                    // the answer bears no sign of having come from a server
)

// Answer is the head of a backend server's answer with its body.
type Answer struct {
	Head
	Verdict Verdict
	Body    io.ReadCloser
	// Requests is how many the server says it has, running and waiting; -1 when it does not
	// say.
	Requests int
	// Cold is for how long the server says it is cold.
	Cold time.Duration
}

// Backends sends attempts to backend servers.
type Backends interface {
	// Send makes one attempt. After an error, sent tells whether any byte of the
	// request may have reached the server.
	Send(ctx context.Context, a *Attempt) (answer *Answer, sent bool, err error)
}

// pathOf returns the path of a path with a query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// notRun is a failure of a request that did not run.
func notRun(code failure.Code, after time.Duration, format string, args ...any) *failure.Error {
	return failure.New(code, failure.NotRun, format, args...).WithRetryAfter(after)
}
