package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Limits of answers that are held in memory.
const (
	maxAnswer = 16 << 20
	maxEvent  = 1 << 20
)

// attemptServer makes one attempt at a backend server of the own region.
func (g *Gateway) attemptServer(ctx context.Context, x *execution, c *dispatch.Choice) result {
	began := g.o.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g.watch(ctx, x, c, cancel)
	answer, sent, err := g.o.Backends.Send(ctx, &Attempt{
		Address: c.Server.Address, Server: c.Server.ID, Request: x.r, Team: x.teamName(),
		Remaining: x.deadline.Sub(began), ResumeAfter: x.last, CopyFrom: c.CopyFrom, Deferred: c.Deferred,
	})
	if err != nil {
		point := retry.BeforeSend
		if sent {
			point = retry.Sent
		}
		return result{point: point, outcome: dispatch.ConnectionFailed, err: failure.New(failure.BackendLost, failure.Unknown, "%s", err)}
	}
	defer func() { _ = answer.Body.Close() }()
	g.noteCold(c.Server, answer.Cold)
	g.noteLoad(c, answer.Requests)
	switch answer.Verdict {
	case NotRun:
		return result{point: retry.Refused, outcome: dispatch.Refused,
			err: failure.New(failure.BackendRefused, failure.NotRun, "the backend server answered %d without running the request", answer.Status)}
	case WrongServer:
		g.markGone(c.Server)
		return result{point: retry.Refused, outcome: dispatch.Refused,
			err: failure.New(failure.BackendRefused, failure.NotRun, "another backend server has the address now")}
	case Foreign:
		return result{point: retry.Sent, outcome: dispatch.Failed,
			err: failure.New(failure.BackendLost, failure.Unknown, "the answer does not bear the server's signature")}
	}
	res := result{}
	if x.route.Kind == configstate.KindStream && answer.Status == http.StatusOK {
		g.relay(x, c, answer, &res, began)
		return res
	}
	g.whole(x, c, answer, &res, began)
	return res
}

func (g *Gateway) noteCold(s *dispatch.Server, left time.Duration) {
	if left <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.SetCold(g.o.Clock.Now().Add(left))
}

// noteLoad takes how many requests the server has that answers an attempt; below 0 when it did
// not say.
func (g *Gateway) noteLoad(c *dispatch.Choice, requests int) {
	if requests < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RecordReportedRequests(c, requests, g.o.Clock.Now())
}

func (g *Gateway) markGone(s *dispatch.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.MarkGone(s.ID, s.Start, g.o.Clock.Now())
}

// whole passes on an answer that is not a stream, after it arrived whole. A
// server's own failure of a request that may be repeated is kept, in case that
// another server does better.
func (g *Gateway) whole(x *execution, c *dispatch.Choice, a *Answer, res *result, began time.Time) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = failure.New(failure.Truncated, failure.Unknown, "the answer is over %d bytes", maxAnswer)
	}
	if err != nil {
		res.point, res.outcome = retry.MidAnswer, dispatch.ConnectionFailed
		res.err = failure.New(failure.BackendLost, failure.Unknown, "the answer broke off: %s", err)
		return
	}
	g.gotBytes(c, res, began)
	k := &kept{head: a.Head, body: body}
	if isFailure(a.Status) {
		res.outcome, res.keep = dispatch.Failed, k
		if x.headSent || x.route.Idempotent() {
			res.point = retry.Sent
			res.err = failure.New(failure.BackendLost, failure.Unknown, "the backend server answered %d", a.Status)
			return
		}
	}
	if x.headSent {
		// The caller has part of a stream: nothing else can follow it.
		res.point = retry.Refused
		res.err = failure.New(failure.BackendRefused, failure.NotRun, "the server answered %d instead of the rest of the stream", a.Status)
		return
	}
	res.point = retry.Answered
	if f := deliver(x, k); f != nil {
		res.point, res.outcome, res.err = retry.MidAnswer, dispatch.CallerEnded, f
	}
}

// relay passes a stream on event by event: only whole events, each once, in the
// order of their numbers.
func (g *Gateway) relay(x *execution, c *dispatch.Choice, a *Answer, res *result, began time.Time) {
	reader := bufio.NewReaderSize(a.Body, 4<<10)
	for {
		event, err := readEvent(reader)
		if err == io.EOF && len(event) == 0 {
			res.point = retry.Answered
			if !x.headSent { // an empty stream
				if f := x.passHead(a.Head); f != nil {
					res.point, res.err, res.outcome = retry.MidAnswer, f, dispatch.CallerEnded
				}
			}
			return
		}
		if err != nil {
			res.point, res.outcome = retry.MidAnswer, dispatch.ConnectionFailed
			res.err = failure.New(failure.BackendLost, failure.Unknown, "the stream broke off after event %d: %s", x.last, err)
			return
		}
		g.gotBytes(c, res, began)
		if f := x.passEvent(a.Head, event); f != nil {
			res.point, res.outcome, res.err = retry.MidAnswer, dispatch.CallerEnded, f
			if f.Code == failure.BackendLost {
				res.outcome = dispatch.ConnectionFailed
			}
			return
		}
	}
}

func (x *execution) passHead(hd Head) *failure.Error {
	if x.headSent {
		return nil
	}
	hd.Length = -1
	if err := x.sink.Head(hd); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Unknown)
	}
	x.headSent = true
	return nil
}

// passEvent passes one event on. An event that the caller has already is left
// out; one after a gap ends the attempt.
func (x *execution) passEvent(hd Head, event []byte) *failure.Error {
	if id, ok := eventID(event); ok {
		switch {
		case id <= x.last && x.last > 0:
			return nil
		case x.last > 0 && id > x.last+1:
			return failure.New(failure.BackendLost, failure.Unknown, "event %d follows event %d", id, x.last)
		}
		x.last = id
	}
	if f := x.passHead(hd); f != nil {
		return f
	}
	if err := x.sink.Data(event); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Unknown)
	}
	return nil
}

// readEvent reads one event with the empty line that ends it. At the end of the
// stream it returns io.EOF; a part of an event before it is an error.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
		if len(event) > maxEvent {
			return nil, failure.New(failure.Truncated, failure.Unknown, "an event is over %d bytes", maxEvent)
		}
	}
}

// eventID returns the number in an event's id line.
func eventID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := strings.CutPrefix(string(bytes.TrimRight(line, "\r\n")), "id:"); ok {
			n, err := strconv.ParseUint(strings.TrimSpace(v), 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}
