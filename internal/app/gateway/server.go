package gateway

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

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// Limits on one answer held in memory. Options.AnswerBudget limits the sum of all.
const (
	maxAnswerBytes = 16 << 20
	maxEventBytes  = 1 << 20
)

// attemptServer makes one attempt at a backend server of this region.
func (g *Gateway) attemptServer(ctx context.Context, x *execution, c *dispatch.Choice) result {
	began := g.o.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	begins := x.release == nil
	defer g.cancelIfLost(ctx, x, c, began, cancel)()
	if begins {
		defer g.doubtRelease(x, c, began)
	}
	process, proofWait := g.requireProof(x, c.Server)
	if process != "" {
		defer g.proofs.request(g, c.Server)()
	}
	answer, sent, err := g.o.Backends.Send(ctx, &Attempt{
		Process: process, ProofWait: proofWait,
		Address: c.Server.Address, Server: c.Server.ID, Request: x.r, Team: x.teamName(),
		Remaining: x.deadline.Sub(began), ResumeAfter: x.lastEvent, CopyFrom: c.CopyFrom, Deferred: c.Deferred, Urgency: urgencyOf(x.class, len(x.classes), c.Deferred), IDReused: c.Server.Start != 0,
		MaySend: func() bool { return g.maySend(c) },
	})
	if errors.Is(err, ErrWithheld) {
		return result{stage: retry.BeforeSend, outcome: dispatch.Refused, err: failure.New(failure.BackendRefused, failure.NotRun, "%s", err)}
	}
	if errors.Is(err, ErrUnproved) {
		g.o.Metrics.Add("processes_unproved", 1)
		return result{stage: retry.BeforeSend, outcome: dispatch.Refused, err: failure.New(failure.NoServer, failure.NotRun, "%s", err).WithRetryAfter(g.usualProofWait())}
	}
	if err != nil {
		stage := retry.BeforeSend
		if sent {
			stage = retry.Sent
		}
		var res result
		if errors.Is(err, membudget.ErrSpent) && g.endsForMemory(membudget.ErrSpent, 0, &res) { // for the answer's head
			return res
		}
		g.recordServerLost(c.Server, err)
		return result{stage: stage, outcome: dispatch.ConnectionFailed, err: failure.New(failure.BackendLost, failure.Unknown, "%s", err)}
	}
	defer func() { _ = answer.Body.Close() }()
	g.recordCold(c.Server, answer.Cold)
	g.recordLoad(c, answer.Requests)
	g.recordWorkTime(c, answer)
	g.recordLimit(x, c, answer)
	g.recordPause(x, c, answer)
	g.recordLeaving(x, c, answer)
	g.recordAdmissionAnswer(x, answer)
	switch answer.Verdict {
	case NotRun:
		return result{stage: retry.Refused, outcome: dispatch.Refused, status: answer.Status,
			err: failure.New(failure.BackendRefused, failure.NotRun, "the backend server answered %d without running the request", answer.Status)}
	case WrongServer:
		g.markGone(c.Server)
		return result{stage: retry.Refused, outcome: dispatch.Refused, status: answer.Status,
			err: failure.New(failure.BackendRefused, failure.NotRun, "another backend server has the address now")}
	case Unverified:
		return result{stage: retry.Sent, outcome: dispatch.Failed,
			err: failure.New(failure.BackendLost, failure.Unknown, "the answer does not carry the server's signature")}
	}
	g.recordResponse(c.Server, began)
	res := result{status: answer.Status, openEnded: answer.OpenEnded}
	if x.route.Kind == configstate.KindStream && answer.Status == http.StatusOK {
		g.relayStream(x, c, answer, &res, began)
		return res
	}
	g.relayBuffered(x, c, answer, &res, began)
	return res
}

func (g *Gateway) recordCold(s *dispatch.Server, left time.Duration) {
	if left <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.SetCold(g.o.Clock.Now().Add(left))
	g.logColdChanges()
}

// recordServerLost records that the server's process may have ended, if the error says so.
func (g *Gateway) recordServerLost(s *dispatch.Server, err error) {
	var lost *ServerLost
	if !errors.As(err, &lost) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RecordServerLost(s, g.o.Clock.Now())
	g.logColdChanges()
}

// recordLoad records the number of requests that a server reported with its answer; negative if
// it reported none.
func (g *Gateway) recordLoad(c *dispatch.Choice, requests int) {
	if requests < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RecordReportedRequests(c, requests, g.o.Clock.Now())
}

// recordLimit records the limit that an answer advertises or withdraws. An answer of another server is
// ignored, and one to a request that did not run withdraws nothing.
func (g *Gateway) recordLimit(x *execution, c *dispatch.Choice, a *Answer) {
	if a.Verdict != Ran && a.Verdict != NotRun {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	if a.Limit.Invalid != "" {
		g.logInvalidLimit(x, c.Server, a.Limit.Invalid, now)
	}
	if before, changed := g.fleet.RecordLimit(c, a.Limit, a.Verdict == Ran, now); changed {
		g.logLimit(c.Server, before, "answer", x.r.ID)
	}
}

// recordPause records that an answer asks for a pause. An answer of another server is ignored.
func (g *Gateway) recordPause(x *execution, c *dispatch.Choice, a *Answer) {
	if a.Verdict == WrongServer || a.Pause == (serverpause.Demand{}) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	if a.Pause.Invalid != "" {
		g.logInvalidPause(x, c.Server, a.Pause.Invalid, now)
	}
	if p, began := g.fleet.RecordPause(c, a.Pause, now); began {
		g.logPause(x, c.Server, a, p, now)
	}
}

// recordLeaving records that an answer says that its server leaves. An answer that is not proved to come from
// the server is ignored.
func (g *Gateway) recordLeaving(x *execution, c *dispatch.Choice, a *Answer) {
	if !a.Leaving || (a.Verdict != Ran && a.Verdict != NotRun) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleet.RecordLeaving(c, g.o.Clock.Now()) {
		g.logLeaving(x, c.Server, a)
	}
}

// maySend reports whether a request may still be sent to the server of an attempt.
func (g *Gateway) maySend(c *dispatch.Choice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.MaySend(c, g.o.Clock.Now())
}

// releaseOf returns a server's release; nil if another process may run under the server's ID.
func (g *Gateway) releaseOf(s *dispatch.Server) *string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.ReleaseConfirmed() {
		return nil
	}
	release := s.Release
	return &release
}

func (g *Gateway) markGone(s *dispatch.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.MarkGone(s.ID, s.Start, g.o.Clock.Now())
}

// relayBuffered reads an answer that is not a stream completely and then sends it to the caller.
// If the server failed and the request may be repeated, the answer is kept instead, as another
// server may succeed.
func (g *Gateway) relayBuffered(x *execution, c *dispatch.Choice, a *Answer, res *result, began time.Time) {
	body := g.newAnswerBuffer()
	defer func() {
		if res.fallback == nil {
			body.release()
		}
	}()
	length := a.Head.Length
	if x.r.Method == http.MethodHead {
		length = 0 // the header states the length of an answer that is not sent
	}
	err := body.readAll(a.Body, length)
	unstated := body.size
	if length >= 0 {
		unstated = 0
	}
	if g.endsForMemory(err, unstated, res) {
		return
	}
	if err != nil {
		g.recordServerLost(c.Server, err)
		res.stage, res.outcome = retry.MidAnswer, dispatch.ConnectionFailed
		res.err = failure.New(failure.BackendLost, failure.Unknown, "the answer broke off: %s", err)
		return
	}
	if endsUnbegun(x, a) && body.size == 0 {
		res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.ConnectionFailed, errUnbegun
		return
	}
	g.recordProgress(c, res, began)
	buffered := &bufferedAnswer{head: a.Head, body: body}
	if isFailure(a.Status) {
		res.outcome, res.fallback = dispatch.Failed, buffered
		if a.Pause.For > 0 {
			res.outcome = dispatch.Refused // a server that asks for a pause is not faulty
		}
		if x.headSent || x.route.Idempotent() {
			res.stage = retry.Sent
			res.err = failure.New(failure.BackendLost, failure.Unknown, "the backend server answered %d", a.Status)
			return
		}
	}
	if x.headSent {
		// The caller has received part of a stream, which no other answer can continue.
		res.stage = retry.Refused
		res.err = failure.New(failure.BackendRefused, failure.NotRun, "the server answered %d instead of the rest of the stream", a.Status)
		return
	}
	res.stage = retry.Answered
	if f := deliver(x, buffered); f != nil {
		res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.CallerEnded, f
	}
}

// errUnbegun is the failure of an attempt whose server may have stopped before the first byte of its answer's body.
var errUnbegun = failure.New(failure.BackendLost, failure.Unknown, "the answer ended before its first byte, with neither a length nor chunks")

// endsUnbegun reports whether an answer without a body is taken for one that its server did not begin: the end of its
// connection alone would make it complete. The rest of a stream may be empty.
func endsUnbegun(x *execution, a *Answer) bool {
	return a.OpenEnded && a.Status/100 == 2 && a.Status != http.StatusNoContent && x.r.Method != http.MethodHead && !x.headSent && x.lastEvent == 0
}

// relayStream relays a stream event by event: only complete events, each once, in the order of
// their IDs.
func (g *Gateway) relayStream(x *execution, c *dispatch.Choice, a *Answer, res *result, began time.Time) {
	reader := &eventReader{r: bufio.NewReaderSize(a.Body, 4<<10), hold: g.o.AnswerBudget.NewHold(freeAnswerBytes)}
	defer reader.hold.Release()
	var unread time.Duration // the longest time for which the caller kept the stream from being read
	for {
		event, err := reader.next()
		if err == io.EOF && len(event) == 0 && endsUnbegun(x, a) {
			res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.ConnectionFailed, errUnbegun
			return
		}
		if err == io.EOF && len(event) == 0 {
			res.stage = retry.Answered
			if !x.headSent { // an empty stream
				if f := x.sendHead(a.Head); f != nil {
					res.stage, res.err, res.outcome = retry.MidAnswer, f, dispatch.CallerEnded
				}
			}
			return
		}
		if g.endsForMemory(err, reader.hold.Bytes(), res) || g.endsUnread(unread, err, res) {
			return
		}
		if err != nil {
			g.recordServerLost(c.Server, err)
			res.stage, res.outcome = retry.MidAnswer, dispatch.ConnectionFailed
			res.err = failure.New(failure.BackendLost, failure.Unknown, "the stream broke off after event %d: %s", x.lastEvent, err)
			return
		}
		g.recordProgress(c, res, began)
		g.recordEvent(x, c)
		if x.release == nil {
			a.Release = g.releaseOf(c.Server)
			g.bindToRelease(x, a.Head)
		}
		a.Release = x.release
		readAt := g.o.Clock.Now()
		f := x.sendEvent(a.Head, event)
		x.pauses.sentAt = g.o.Clock.Now()
		unread = max(unread, x.pauses.sentAt.Sub(readAt))
		if f != nil {
			res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.CallerEnded, f
			if f.Code == failure.BackendLost {
				res.outcome = dispatch.ConnectionFailed
			}
			return
		}
	}
}

func (x *execution) sendHead(hd Head) *failure.Error {
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

// sendEvent sends an event to the caller. It skips an event that the caller has already and ends
// the attempt at a gap between event IDs.
func (x *execution) sendEvent(hd Head, event []byte) *failure.Error {
	if id, ok := eventID(event); ok {
		switch {
		case id <= x.lastEvent && x.lastEvent > 0:
			return nil
		case x.lastEvent > 0 && id > x.lastEvent+1:
			return failure.New(failure.BackendLost, failure.Unknown, "gap in the stream: event %d follows event %d", id, x.lastEvent)
		}
		x.lastEvent = id
	}
	if f := x.sendHead(hd); f != nil {
		return f
	}
	if err := x.sink.Data(event); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Unknown)
	}
	return nil
}

// eventID returns the number in an event's id field.
func eventID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := strings.CutPrefix(string(bytes.TrimRight(line, "\r\n")), "id:"); ok {
			n, err := strconv.ParseUint(strings.TrimSpace(v), 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}
