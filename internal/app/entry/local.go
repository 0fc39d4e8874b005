package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Bounds of an answer that is not a stream, and of one event of a stream.
const (
	maxAnswerBytes = 64 << 20
	maxEventBytes  = 4 << 20
)

// freeAnswerBytes is the part of an answer or an event that does not count toward the host's budget.
const freeAnswerBytes = 64 << 10

// unreadTolerance is the time for which a stream may be left unread before its end says nothing of its server. Servers
// give up writes that make no progress for seconds.
const unreadTolerance = time.Second

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// doneEvent is the start of the event that ends a complete stream.
var doneEvent = []byte("data: [DONE]")

// attemptLocal makes an attempt at a backend server.
func (h *Host) attemptLocal(ctx context.Context, stall *time.Timer, x *execution, p *placement.Place) result {
	header := forwardableHeaders(x.r.Header)
	if tp := port.Traceparent(ctx); tp != "" {
		header.Set("Traceparent", tp)
	}
	header.Set("Sesame-Request-Id", x.r.ID)
	header.Set("Sesame-Priority", strconv.Itoa(x.r.Priority))
	answer, sent, err := h.o.Backends.Do(ctx, port.BackendCall{
		Address: p.Address, Method: x.r.Method, URI: x.r.URI, Header: header, Body: x.r.Body,
		ResumeTokens: x.relayed, AttemptID: x.r.ID + "." + strconv.Itoa(x.attempts),
		MaySend: func() bool { return h.maySend(p) },
	})
	if errors.Is(err, port.ErrWithheld) {
		return result{stage: retry.BeforeSend, err: failure.New(failure.BackendRefused, failure.NotRun, "%s", err), connected: true}
	}
	if err != nil {
		stage := retry.BeforeSend
		if sent {
			stage = retry.Sent
		}
		return result{stage: stage, err: failure.As(err, failure.Unknown), connected: callerCanceled(ctx)}
	}
	defer func() { _ = answer.Body.Close() }()
	h.recordPause(x, p, answer)
	h.recordLeaving(x, p, answer)
	if f := refusalOf(x, answer); f != nil {
		return result{stage: retry.Refused, err: f, connected: true}
	}
	hd := Head{Status: answer.Status, Header: forwardableHeaders(answer.Header), Region: h.o.Region, Server: p.ServerID}
	stall.Reset(h.o.StallTimeout)
	if x.r.Stream && isStream(answer.Header) && answer.Status == http.StatusOK {
		return h.relayStream(ctx, x, answer.Body, hd, stall)
	}
	if x.headSent || x.r.Resume > 0 {
		// The caller has received part of a stream: only its continuation can follow.
		f := failure.New(failure.BackendRefused, failure.NotRun, "the server answered %d instead of the rest of the stream", answer.Status)
		return result{stage: retry.Refused, err: f, connected: true}
	}
	return h.relayWhole(ctx, x, answer, hd, stall)
}

// refusalOf returns a failure if the server did not start the request, else nil: the server
// stated so, or an engine (whose requests may be repeated) answered that it is overloaded or
// failed.
func refusalOf(x *execution, a *port.BackendAnswer) *failure.Error {
	overloaded := a.Status == http.StatusTooManyRequests || a.Status >= http.StatusInternalServerError
	if a.Refused || (!x.r.Service && overloaded) {
		return failure.New(failure.BackendRefused, failure.NotRun, "the backend server answered %d", a.Status)
	}
	return nil
}

func isStream(header map[string][]string) bool {
	return strings.HasPrefix(http.Header(header).Get("Content-Type"), eventStream)
}

// relayWhole sends on an answer that is not a stream, once it has been received completely.
func (h *Host) relayWhole(ctx context.Context, x *execution, answer *port.BackendAnswer, hd Head, stall *time.Timer) result {
	held := &membudget.Reader{R: answer.Body, Hold: h.o.AnswerBudget.NewHold(freeAnswerBytes), Factor: 2}
	defer held.Hold.Release()
	data, err := io.ReadAll(io.LimitReader(held, maxAnswerBytes+1))
	if errors.Is(err, membudget.ErrSpent) {
		return notHeld()
	}
	if err != nil {
		return result{stage: retry.MidAnswer, connected: callerCanceled(ctx),
			err: failure.New(failure.BackendLost, failure.Unknown, "the answer broke off: %s", err)}
	}
	stall.Stop()
	if len(data) == 0 && endsUnbegun(x, answer) {
		return result{stage: retry.MidAnswer, err: failure.New(failure.BackendLost, failure.Unknown, "the answer ended before its first byte, with neither a length nor chunks")}
	}
	if len(data) > maxAnswerBytes {
		return result{stage: retry.MidAnswer, err: failure.New(failure.Truncated, failure.Unknown, "the answer is over %d bytes", maxAnswerBytes)}
	}
	if err := x.sendHead(hd); err != nil {
		return sinkFailed(err)
	}
	if err := x.sink.Data(data); err != nil {
		return sinkFailed(err)
	}
	return result{stage: retry.Answered, connected: true}
}

// endsUnbegun reports whether an answer without a body is taken for one that its server did not begin: the end of its
// connection alone would make it complete.
func endsUnbegun(x *execution, a *port.BackendAnswer) bool {
	return a.OpenEnded && a.Status/100 == 2 && a.Status != http.StatusNoContent && x.r.Method != http.MethodHead
}

// notHeld returns the result of an attempt whose answer does not fit into the host's memory for answers, which says
// nothing of the server. Another attempt would need the same memory (see mayRetry).
func notHeld() result {
	return result{stage: retry.MidAnswer, err: membudget.ErrSpent, connected: true}
}

// sinkFailed returns the result of an attempt whose answer the caller did not accept.
func sinkFailed(err error) result {
	f := failure.Wrap(err, failure.Canceled, failure.Unknown)
	return result{stage: retry.MidAnswer, err: f, connected: true}
}

// relayStream sends on a stream event by event. The stream is complete with its last event; one
// that breaks before can be resumed after the events sent.
func (h *Host) relayStream(ctx context.Context, x *execution, body io.Reader, hd Head, stall *time.Timer) result {
	held := &membudget.Reader{R: body, Hold: h.o.AnswerBudget.NewHold(freeAnswerBytes), Factor: 2}
	defer held.Hold.Release()
	reader := bufio.NewReaderSize(held, 4096)
	var unread time.Duration // the longest time for which the caller kept the stream from being read
	for {
		event, err := readEvent(reader)
		if errors.Is(err, membudget.ErrSpent) {
			return notHeld()
		}
		if err != nil {
			return result{
				stage: retry.MidAnswer, connected: unread >= unreadTolerance || callerCanceled(ctx),
				err: failure.New(failure.BackendLost, failure.Unknown, "the stream broke off after %d tokens: %s", x.relayed, err),
			}
		}
		stall.Reset(h.o.StallTimeout)
		readAt := h.o.Clock.Now()
		if err := x.sendData(hd, event); err != nil {
			return sinkFailed(err)
		}
		unread = max(unread, h.o.Clock.Now().Sub(readAt))
		held.Hold.Release()
		if x.ended {
			return result{stage: retry.Answered, connected: true}
		}
		x.countToken(h)
	}
}

// countToken counts a token sent to the caller and observes the time since the last one.
func (x *execution) countToken(h *Host) {
	now := h.o.Clock.Now()
	if x.relayed == x.r.Resume {
		h.o.Metrics.Observe("first_token", now.Sub(x.began))
	} else {
		h.o.Metrics.Observe("token_gap", now.Sub(x.lastToken))
	}
	x.lastToken = now
	x.relayed++
}

// readEvent reads one event, including the empty line that ends it.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull {
			err = nil
		} else if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			if len(bytes.TrimSpace(event)) == 0 {
				event = event[:0]
				continue
			}
			return event, nil
		}
		if err != nil {
			return nil, err
		}
		if len(event) > maxEventBytes {
			return nil, failure.New(failure.Truncated, failure.Unknown, "an event is over %d bytes", maxEventBytes)
		}
	}
}
