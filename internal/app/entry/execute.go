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
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// execution is the state of one request in flight on this host.
type execution struct {
	r         *Request
	view      *view
	permitted []string
	sink      Sink
	avoid     map[string]bool // servers and failure domains that failed
	waited    time.Duration
	attempts  int
	relayed   int  // tokens that the caller has received, over all attempts
	headSent  bool // the answer's head was sent to the caller
	ended     bool // the stream's last event was sent to the caller
	// mayHaveRun is set once an attempt ended without proof that the request did not run.
	mayHaveRun bool
	explain    *Explanation
	began      time.Time
	lastToken  time.Time
	// subjects are equal for all repeats of the request; admission is the crash watch's judgement of
	// the last attempt.
	subjects  quarantine.Subjects
	admission quarantine.Admission
}

// Execute runs a request and writes its answer to sink. A returned failure states whether the
// request ran.
func (h *Host) Execute(ctx context.Context, r *Request, sink Sink) *failure.Error {
	// The request is registered before the readiness check: Drain marks the host as draining
	// and then looks for requests in flight, so one that Drain does not see is refused below.
	h.inflight.Store(r.ID, h.o.Clock.Now())
	defer h.inflight.Delete(r.ID)
	if f := h.Ready(); f != nil {
		return f
	}
	v := h.config.Load()
	permitted, f := h.checkResidency(v, r)
	if f != nil {
		h.o.Metrics.Add("refused_residency", 1)
		return f
	}
	x := &execution{
		r: r, view: v, permitted: permitted, sink: sink, avoid: map[string]bool{},
		relayed: r.Resume, began: h.o.Clock.Now(),
		explain: h.explained.start(r, h.o), subjects: subjectsOf(r),
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	h.mu.Lock()
	h.budget.Request(h.o.Clock.Now())
	h.mu.Unlock()
	f = h.withQuota(ctx, x, func() *failure.Error {
		if r.Idempotent || r.forwarded() {
			return h.run(ctx, x)
		}
		return h.runOnce(ctx, x)
	})
	h.recordOutcome(x, f)
	return f
}

// withQuota charges the request to its team's quota, at the host where it entered, and refunds
// the units if it did not run.
func (h *Host) withQuota(ctx context.Context, x *execution, run func() *failure.Error) *failure.Error {
	if x.r.forwarded() {
		return run()
	}
	team, ok := x.view.Record.Team(x.r.Team)
	if !ok {
		return run() // not charged: the key was found in another version, and this one lacks the team
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

func (h *Host) recordOutcome(x *execution, f *failure.Error) {
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

// result describes how an attempt ended.
type result struct {
	stage     retry.Stage
	err       *failure.Error
	connected bool // the server or entry host did not fail, whatever the outcome
}

// run makes attempts until one succeeds or no further one is allowed.
func (h *Host) run(ctx context.Context, x *execution) *failure.Error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 10 * time.Millisecond
	pause.MaxInterval = 500 * time.Millisecond
	for {
		var f *failure.Error
		if x.admission, f = h.o.CrashWatch.Admit(x.r.ID, x.subjects, x.mayHaveRun); f != nil {
			return x.finalFailure(ctx, f)
		}
		p, f := h.acquire(ctx, x)
		if f != nil {
			h.o.CrashWatch.Finish(&x.admission)
			return x.finalFailure(ctx, f)
		}
		x.attempts++
		res := h.attempt(ctx, x, p)
		h.release(p, res.connected)
		h.o.CrashWatch.Finish(&x.admission)
		x.explain.addAttempt(p, res, x.attempts)
		if x.ended {
			return nil // the stream is complete, whatever happened after its last event
		}
		d := retry.Decide(retry.Attempt{
			Stage: res.stage, Idempotent: x.r.Idempotent,
			Relayed: x.headSent || x.r.Resume > 0, Resumable: x.r.Stream,
		}, h.mayRetry(ctx, x, res))
		if d.Action == retry.Finish {
			return nil
		}
		x.mayHaveRun = x.mayHaveRun || d.Outcome == failure.Unknown
		if d.Action == retry.GiveUp {
			last := *res.err // copied, since the calls on a link share its error
			last.Outcome = d.Outcome
			return h.withPause(x, x.finalFailure(ctx, &last))
		}
		h.avoidFailed(x, p, res)
		h.o.Metrics.Add("retries", 1)
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// finalFailure returns the failure for the caller. Once any attempt may have run, the outcome
// is not "not run", however the last attempt ended.
func (x *execution) finalFailure(ctx context.Context, f *failure.Error) *failure.Error {
	if x.mayHaveRun {
		f.Outcome = failure.Unknown
	}
	if ctx.Err() == context.DeadlineExceeded && f.Outcome == failure.Unknown {
		return failure.New(failure.DeadlineExceeded, failure.Unknown, "the deadline passed while the request ran: %s", f.Detail)
	}
	return f
}

// mayRetry reports whether another attempt is allowed. After a failed attempt it charges the
// next one to the retry budget.
func (h *Host) mayRetry(ctx context.Context, x *execution, res result) bool {
	if ctx.Err() != nil || x.attempts >= x.view.Record.Policy.MaxAttempts || res.err == membudget.ErrSpent {
		return false
	}
	if res.stage == retry.Answered {
		return true
	}
	if res.err != nil && res.err.IsCrashRefusal() {
		return false // another failure domain refused it for a reason that holds in all of them
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.budget.Retry() {
		h.o.Metrics.Add("retry_budget_spent", 1)
		return false
	}
	return true
}

// avoidFailed excludes from the next attempts what failed: a backend server, or the failure
// domain whose entry host refused the request. An entry host that could not be reached is
// excluded by the placement (see placement.State.Release), not here.
func (h *Host) avoidFailed(x *execution, p *placement.Place, res result) {
	if p.Server != nil {
		x.avoid[p.ServerID] = true
		return
	}
	if res.connected {
		x.avoid[p.Domain] = true
	}
}

// errStalled is the cause that ends an attempt after StallTimeout without data.
var errStalled = failure.New(failure.BackendLost, failure.Unknown, "no data received within the stall timeout")

// callerCanceled reports whether an attempt ended because its caller canceled, which is no
// evidence against the server or entry host.
func callerCanceled(ctx context.Context) bool {
	return context.Cause(ctx) == context.Canceled
}

// attempt makes one attempt at a place.
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
		h.reportToCrashWatch(ctx, x, served, res)
	} else {
		res = h.attemptForward(ctx, stall, x, p)
	}
	if res.err != nil {
		span.SetStatus(codes.Error, string(res.err.Code))
	}
	return res
}

// sendHead sends the answer's head to the sink, once.
func (x *execution) sendHead(hd Head) error {
	if x.headSent {
		return nil
	}
	x.headSent = true
	return x.sink.Head(hd)
}

// droppedHeaders are not passed on between callers and backend servers: hop-by-hop headers,
// Content-Length and the caller's credentials.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Cookie",
}

// forwardableHeaders returns a copy of the headers without droppedHeaders.
func forwardableHeaders(in http.Header) http.Header {
	out := in.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, n := range droppedHeaders {
		out.Del(n)
	}
	return out
}
