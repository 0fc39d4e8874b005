package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// execution is the state of one request under way on this host.
type execution struct {
	r         *Request
	view      *view
	permitted []string
	sink      Sink
	avoid     map[string]bool // servers and failure domains that failed
	waited    time.Duration
	attempts  int
	relayed   int  // tokens passed on
	headSent  bool // the answer's head was passed on
	ended     bool // the stream's last event was passed on
	// mayHaveRun is set when an attempt ended without proof that it did not run.
	mayHaveRun bool
	explain    *Explanation
	began      time.Time
	lastToken  time.Time
	// fingerprint is the same for each repeat of the request, judgement how it stood at the
	// last attempt.
	fingerprint quarantine.Fingerprint
	judgement   quarantine.Judgement
}

// Execute carries out a request and passes its answer to sink. The failure
// states whether the request ran.
func (h *Host) Execute(ctx context.Context, r *Request, sink Sink) *failure.Error {
	// In flight first, ready second: a shutdown that sees nothing in flight can
	// be sure that every later request sees it.
	h.inflight.Store(r.ID, h.o.Clock.Now())
	defer h.inflight.Delete(r.ID)
	if f := h.Ready(); f != nil {
		return f
	}
	v := h.config.Load()
	permitted, f := h.residencyHere(v, r)
	if f != nil {
		h.o.Metrics.Add("refused_residency", 1)
		return f
	}
	x := &execution{
		r: r, view: v, permitted: permitted, sink: sink, avoid: map[string]bool{},
		relayed: r.Resume, began: h.o.Clock.Now(),
		explain: h.explained.start(r, h.o), fingerprint: fingerprintOf(r),
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	h.mu.Lock()
	h.budget.Request(h.o.Clock.Now())
	h.mu.Unlock()
	f = h.charged(ctx, x, func() *failure.Error {
		if r.Idempotent || r.forwarded() {
			return h.run(ctx, x)
		}
		return h.runOnce(ctx, x)
	})
	h.account(x, f)
	return f
}

// charged takes the request's units of its team's quota, at the host where it entered, and
// gives them back when it did not run.
func (h *Host) charged(ctx context.Context, x *execution, run func() *failure.Error) *failure.Error {
	if x.r.forwarded() {
		return run()
	}
	team, ok := x.view.Record.Team(x.r.Team)
	if !ok {
		return run() // the team's key was found in another version
	}
	c, f := h.access.Take(ctx, x.r.ID, &team, x.r.Tokens+x.r.MaxTokens)
	if f != nil {
		return f
	}
	if f = run(); f != nil && f.Outcome == failure.NotRun {
		h.access.Refund(c)
	}
	return f
}

func (h *Host) account(x *execution, f *failure.Error) {
	x.explain.finish(f, x.waited)
	outcome := "done"
	if f != nil {
		outcome = string(f.Outcome)
	}
	if x.r.forwarded() {
		outcome = "forwarded_" + outcome
	}
	h.o.Metrics.Add("requests_"+outcome, 1)
	h.o.Metrics.Observe("total_"+outcome, h.o.Clock.Now().Sub(x.began))
}

// result is how an attempt ended.
type result struct {
	point     retry.Stage
	err       *failure.Error
	connected bool // the other end worked as it should
}

// run makes attempts until one is answered or none is left.
func (h *Host) run(ctx context.Context, x *execution) *failure.Error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 10 * time.Millisecond
	pause.MaxInterval = 500 * time.Millisecond
	for {
		var f *failure.Error
		if x.judgement, f = h.o.Crashes.Admit(x.r.ID, x.fingerprint, x.mayHaveRun); f != nil {
			return x.finalFailure(ctx, f)
		}
		p, f := h.acquire(ctx, x)
		if f != nil {
			h.o.Crashes.Finish(x.fingerprint, x.judgement)
			return x.finalFailure(ctx, f)
		}
		x.attempts++
		res := h.attempt(ctx, x, p)
		h.release(p, res.connected)
		h.o.Crashes.Finish(x.fingerprint, x.judgement)
		x.explain.attempt(p, res, x.attempts)
		if x.ended {
			return nil // the last event was passed on: what follows it doesn't matter
		}
		d := retry.Decide(retry.Attempt{
			Stage: res.point, Idempotent: x.r.Idempotent,
			Relayed: x.headSent || x.r.Resume > 0, Resumable: x.r.Stream,
		}, h.more(ctx, x, res))
		if d.Action == retry.Finish {
			return nil
		}
		x.mayHaveRun = x.mayHaveRun || d.Outcome == failure.Unknown
		if d.Action == retry.GiveUp {
			last := *res.err // a link's error is shared by its calls
			last.Outcome = d.Outcome
			return x.finalFailure(ctx, &last)
		}
		h.avoid(x, p, res)
		h.o.Metrics.Add("retries", 1)
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// finalFailure returns what the caller is told. A request of which any attempt
// may have run is not "not run", however the last attempt ended.
func (x *execution) finalFailure(ctx context.Context, f *failure.Error) *failure.Error {
	if x.mayHaveRun {
		f.Outcome = failure.Unknown
	}
	if ctx.Err() == context.DeadlineExceeded && f.Outcome == failure.Unknown {
		return failure.New(failure.DeadlineExceeded, failure.Unknown, "the deadline passed while the request ran: %s", f.Detail)
	}
	return f
}

// more reports whether another attempt is allowed. A forward that was refused
// costs no token of the budget: the other host may just be draining.
func (h *Host) more(ctx context.Context, x *execution, res result) bool {
	if ctx.Err() != nil || x.attempts >= x.view.Record.Policy.MaxAttempts {
		return false
	}
	if res.point == retry.Answered {
		return true
	}
	if res.err != nil && (res.err.Code == failure.Quarantined || res.err.Code == failure.Suspected) {
		return false // another failure domain refused it, for what holds everywhere
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.budget.Retry() {
		h.o.Metrics.Add("retry_budget_spent", 1)
		return false
	}
	return true
}

// avoid keeps the next attempt away from what failed. A host of another
// failure domain that was not reached is left out by itself; one that refused
// takes its failure domain with it for this request.
func (h *Host) avoid(x *execution, p *placement.Place, res result) {
	if p.Server != nil {
		x.avoid[p.ServerID] = true
		return
	}
	if res.connected {
		x.avoid[p.Domain] = true
	}
}

// errStalled ends an attempt whose other end sends nothing.
var errStalled = failure.New(failure.BackendLost, failure.Unknown, "the other end sent nothing for too long")

// callerGone reports whether an attempt ended because its caller left, which
// says nothing about the other end.
func callerGone(ctx context.Context) bool {
	return context.Cause(ctx) == context.Canceled
}

// attempt makes one attempt at the place.
func (h *Host) attempt(ctx context.Context, x *execution, p *placement.Place) result {
	kind, name := trace.SpanKindClient, "attempt"
	if p.Server == nil {
		name = "forward"
	}
	ctx, span := h.o.Tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(
		attribute.String("sesame.request_id", x.r.ID), attribute.String("sesame.to", p.ServerID),
		attribute.String("sesame.region", p.Region), attribute.Int("sesame.attempt", x.attempts),
	))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(h.o.StallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	var res result
	if p.Server != nil {
		served := h.breakOf(p)
		res = h.attemptLocal(ctx, stall, x, p)
		h.noteSurvival(ctx, x, served, res)
	} else {
		res = h.attemptForward(ctx, stall, x, p)
	}
	if res.err != nil {
		span.SetStatus(codes.Error, string(res.err.Code))
	}
	return res
}

// head passes the answer's head on, once.
func (x *execution) head(hd Head) error {
	if x.headSent {
		return nil
	}
	x.headSent = true
	return x.sink.Head(hd)
}

// hopHeaders are not passed on between callers and backend servers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Cookie",
}

// passable returns the headers that go on to the next hop.
func passable(in http.Header) http.Header {
	out := in.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, n := range hopHeaders {
		out.Del(n)
	}
	return out
}
