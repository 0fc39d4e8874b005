package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/quota"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// execution is the state of one request under way.
type execution struct {
	r        *Request
	record   *configstate.Record
	version  uint64
	route    *configstate.Route
	service  string
	team     *configstate.Team   // nil for nobody's request
	teamsOf  *configstate.Record // in which the team was found
	charge   *quota.Charge       // of the present attempt
	sink     Sink
	deadline time.Time
	// fingerprint is the same for each repeat of the request.
	fingerprint quarantine.Fingerprint
	// judgement is how the request stood at its last attempt.
	judgement quarantine.Judgement
	tried     map[string]bool
	sends     int // attempts made, refused ones included
	ran       int // attempts that may have run
	headSent  bool
	last      uint64 // last event passed on
	// mayHaveRun is set when an attempt ended without proof that it did not run.
	mayHaveRun bool
}

// maxRefusals bounds the attempts that servers may refuse beyond a route's
// attempts: with more, the picture of the servers is wrong and the caller should
// come back later.
const maxRefusals = 3

// minAttempt is the least time that makes an attempt worth while, in which even a
// short call can be answered.
const minAttempt = 20 * time.Millisecond

// Execute carries out a request and passes its answer to sink. The failure, when
// there is one, is what the caller is told; after the answer's head was passed on
// the answer must be seen to be cut short.
func (g *Gateway) Execute(ctx context.Context, r *Request, sink Sink) *failure.Error {
	if g.inflight.Add(1) == 1 {
		signal(g.busy)
	}
	defer g.inflight.Add(-1)
	ctx, span := g.startRequest(ctx, r)
	var x *execution
	f := g.awaitStart(ctx, r)
	if f == nil {
		x, f = g.begin(ctx, r, sink)
	}
	if f == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, x.deadline.Sub(g.o.Clock.Now()))
		defer cancel()
		f = g.run(ctx, x)
	}
	g.logEnd(x, r, f)
	endSpan(span, f)
	return f
}

// begin finds the request's route, team and deadline.
func (g *Gateway) begin(ctx context.Context, r *Request, sink Sink) (*execution, *failure.Error) {
	c, route, team, f := g.admit(ctx, r)
	if f != nil {
		return nil, f
	}
	x := &execution{
		r: r, record: c.Record, version: c.Stamp.Version, route: route, team: team, teamsOf: c.Record, sink: sink,
		tried: map[string]bool{}, last: r.ResumeAfter, service: r.service, fingerprint: fingerprintOf(r, team),
	}
	switch {
	case x.service == "":
		x.service = route.Service(point(r.ID))
	case !targets(route, x.service):
		return nil, notRun(failure.PeerRefused, 0, "version %d does not send route %q to service %q", c.Stamp.Version, route.Name, x.service)
	}
	x.deadline = r.Arrived.Add(time.Duration(route.TimeoutMS) * time.Millisecond)
	if r.Wait > 0 {
		if d := r.Arrived.Add(r.Wait); d.Before(x.deadline) {
			x.deadline = d
		}
	}
	if r.Origin == "" {
		g.noteArrival(x)
	}
	return x, nil
}

// noteArrival counts a caller's request.
func (g *Gateway) noteArrival(x *execution) {
	now := g.o.Clock.Now()
	s, ok := x.record.RoutedService(x.service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Request(now)
	if ok && s.Engine == nil {
		g.fleet.RecordArrival(x.service, now)
	}
}

func targets(route *configstate.Route, service string) bool {
	for _, t := range route.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// point spreads requests evenly over 0 to 1 by their ID.
func point(id string) float64 {
	const scale = 1 << 53
	return float64(xxhash.Sum64String(id)>>11) / scale
}

// result is how an attempt ended.
type result struct {
	point   retry.Stage
	outcome dispatch.Outcome
	err     *failure.Error
	first   time.Duration // time to the first byte
	// keep is set when the answer, though a failure, is the server's own and can
	// be passed on when no other attempt follows.
	keep *kept
}

// kept is a server's answer that waits for another attempt to do better.
type kept struct {
	head Head
	body []byte
}

// run makes attempts until one is answered or none is left.
func (g *Gateway) run(ctx context.Context, x *execution) *failure.Error {
	var fallback *kept
	for {
		c, f := g.prepare(ctx, x)
		if f != nil {
			return g.giveUp(ctx, x, fallback, f)
		}
		res := g.attempt(ctx, x, c)
		g.o.Crashes.Finish(x.fingerprint, x.judgement)
		if res.point == retry.BeforeSend || res.point == retry.Refused {
			g.refund(x)
		}
		if res.keep != nil {
			fallback = res.keep
		}
		d := retry.Decide(retry.Attempt{
			Stage: res.point, Idempotent: x.route.Idempotent(),
			Relayed: x.headSent, Resumable: x.route.Resumable,
		}, g.more(ctx, x, res))
		switch {
		case d.Action == retry.Finish:
			return nil
		case d.Action == retry.GiveUp:
			last := *res.err
			last.Outcome = d.Outcome
			return g.giveUp(ctx, x, fallback, &last)
		}
		x.mayHaveRun = x.mayHaveRun || d.Outcome == failure.Unknown
		g.o.Metrics.Add("retries", 1)
	}
}

// prepare lets an attempt in: by the team's key, its quota, what the request did to servers,
// and the places that can take it.
func (g *Gateway) prepare(ctx context.Context, x *execution) (*dispatch.Choice, *failure.Error) {
	if f := g.recheck(x); f != nil {
		return nil, f
	}
	if f := g.take(ctx, x); f != nil {
		return nil, f
	}
	var f *failure.Error
	if x.judgement, f = g.o.Crashes.Admit(x.r.ID, x.fingerprint, x.mayHaveRun); f != nil {
		g.refund(x)
		return nil, f
	}
	c, f := g.choose(ctx, x)
	if f != nil {
		g.o.Crashes.Finish(x.fingerprint, x.judgement)
		g.refund(x)
	}
	return c, f
}

// giveUp returns what the caller is told. A server's own failure goes before one
// of this host; a request of which any attempt may have run is not "not run".
func (g *Gateway) giveUp(ctx context.Context, x *execution, fallback *kept, f *failure.Error) *failure.Error {
	if fallback != nil && !x.headSent && ctx.Err() == nil {
		return deliver(x, fallback)
	}
	out := *f
	if x.mayHaveRun {
		out.Outcome = failure.Unknown
	}
	if out.Outcome == failure.NotRun && out.Code != failure.Overloaded && out.Code != failure.Quarantined && out.Code != failure.Unauthorized && out.RetryAfter == 0 {
		out.RetryAfter = refusedRetry
	}
	if ctx.Err() == context.DeadlineExceeded {
		return failure.New(failure.DeadlineExceeded, out.Outcome, "the time for the request was over: %s", f.Detail)
	}
	return &out
}

// refusedRetry is when to come back after servers refused the request: a few
// answers later there is room.
const refusedRetry = 300 * time.Millisecond

func deliver(x *execution, k *kept) *failure.Error {
	k.head.Length = int64(len(k.body))
	if err := x.sink.Head(k.head); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Unknown)
	}
	x.headSent = true
	if err := x.sink.Data(k.body); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Unknown)
	}
	return nil
}

// more reports whether another attempt is allowed by the route, the deadline and
// the retry budget that all hosts share.
func (g *Gateway) more(ctx context.Context, x *execution, res result) bool {
	if ctx.Err() != nil || x.deadline.Sub(g.o.Clock.Now()) < minAttempt || res.point == retry.Answered {
		return false
	}
	if res.err != nil && (res.err.Code == failure.Quarantined || res.err.Code == failure.Suspected) {
		return false // another region refused it, for what holds everywhere
	}
	limit := x.route.Attempts
	if x.r.attempts > 0 {
		limit = x.r.attempts
	}
	ran := res.point != retry.BeforeSend && res.point != retry.Refused
	if ran && !x.route.Idempotent() {
		return false
	}
	if x.ran >= limit || x.sends >= limit+maxRefusals {
		return false
	}
	if res.point == retry.BeforeSend {
		return true // nothing arrived anywhere
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.Retry(g.o.Clock.Now()) {
		g.o.Metrics.Add("retry_budget_spent", 1)
		return false
	}
	return true
}

// job describes the request to the choice.
func (x *execution) job(now time.Time) *dispatch.Job {
	j := &dispatch.Job{
		Service: x.service, Permits: x.permits, Remaining: x.deadline.Sub(now), Tried: x.tried,
		Target: time.Duration(x.route.LatencyTargetMS) * time.Millisecond, Forwarded: x.r.Origin != "",
		ServerCrashes: x.judgement.ServerCrashes,
	}
	s, ok := x.record.RoutedService(x.service)
	if !ok {
		return j
	}
	j.ColdPerSecond = s.ColdPerSecond
	if p := x.r.Prompt; p != nil && s.Engine != nil {
		j.Engine, j.MemoryTokens = true, float64(s.Engine.MemoryTokens)
		j.CopyTokensPerMS = s.Engine.CopyRate()
		j.Parts, j.PromptTokens, j.OutputTokens = p.Parts, float64(p.Tokens), float64(p.expectedOutput())
	}
	return j
}

// expectedOutput is the caller's hint when there is one, else half of the most.
func (p *Prompt) expectedOutput() int {
	if p.Hint > 0 {
		return min(p.Hint, max(p.MaxOutput, p.Hint))
	}
	return p.MaxOutput / 2
}

// choose returns where the next attempt goes. On a host that has just started, a request
// for which no server is in reach waits for one.
func (g *Gateway) choose(ctx context.Context, x *execution) (*dispatch.Choice, *failure.Error) {
	c := g.place(x)
	if c.NoUsableServer {
		c = g.awaitPlace(ctx, x, c)
	}
	if c.Refused == "" {
		return c, nil
	}
	g.o.Metrics.Add("refused_at_once", 1)
	return nil, notRun(failure.NoServer, c.RetryAfter, "%s", c.Refused)
}

// place decides where the next attempt goes, and counts it there.
func (g *Gateway) place(x *execution) *dispatch.Choice {
	now := g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.fleet.Choose(x.job(now), now)
	if c.Refused == "" {
		g.fleet.Started(&c, now)
	}
	if !c.NoUsableServer || !g.startup.AwaitsServers(now) {
		g.logChoice(x, &c, now)
	}
	return &c
}

// awaitPlace decides again with each view, as long as the request may wait for the start.
func (g *Gateway) awaitPlace(ctx context.Context, x *execution, c *dispatch.Choice) *dispatch.Choice {
	began := g.o.Clock.Now()
	g.mu.Lock()
	wait := g.startup.EnterForServers(x.deadline.Sub(began), began)
	g.mu.Unlock()
	if wait <= 0 {
		return c
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for over := false; c.NoUsableServer && !over; c = g.place(x) {
		g.mu.Lock()
		viewed := g.viewed
		g.mu.Unlock()
		select {
		case <-viewed:
		case <-t.C:
			over = true
		case <-ctx.Done():
			over = true
		}
	}
	g.mu.Lock()
	g.startup.Leave()
	g.mu.Unlock()
	g.o.Log.Info("request waited for servers", "request_id", x.r.ID, "waited_ms", g.o.Clock.Now().Sub(began).Milliseconds(),
		"limit_ms", wait.Milliseconds(), "goes_on", c.Refused == "", "reason", c.Refused)
	return c
}

// attempt makes one attempt at the chosen place.
func (g *Gateway) attempt(ctx context.Context, x *execution, c *dispatch.Choice) result {
	x.sends++
	began := g.o.Clock.Now()
	ctx, span := g.startAttempt(ctx, x, c)
	var res result
	if c.Server != nil {
		res = g.attemptServer(ctx, x, c)
		x.tried[c.Server.ID] = true
	} else {
		res = g.attemptForward(ctx, x, c)
		x.tried[c.Host.ID] = true
		if res.point == retry.Refused {
			x.tried[c.Host.Region] = true
		}
	}
	if res.point != retry.BeforeSend && res.point != retry.Refused {
		x.ran++
	}
	g.noteSurvival(ctx, x, c, res)
	if ctx.Err() != nil && res.outcome == dispatch.ConnectionFailed {
		res.outcome = dispatch.CallerEnded
	}
	now := g.o.Clock.Now()
	g.mu.Lock()
	g.fleet.Ended(c, res.outcome, res.first, now)
	g.mu.Unlock()
	g.logAttempt(x, c, res, now.Sub(began))
	endSpan(span, res.err)
	return res
}

// gotBytes notes that bytes of an attempt's answer came, and when the first did.
func (g *Gateway) gotBytes(c *dispatch.Choice, res *result, began time.Time) {
	now := g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.Progress(c, now)
	if res.first == 0 {
		res.first = max(now.Sub(began), 1)
		g.fleet.FirstByte(c, res.first)
		g.noteForecast(c, res.first)
	}
}

// noteForecast counts how far the time to the first byte was from its forecast, so that
// wrong forecasts show before callers complain.
func (g *Gateway) noteForecast(c *dispatch.Choice, first time.Duration) {
	forecast := time.Duration(c.EstimateMS * float64(time.Millisecond))
	if first > forecast {
		g.o.Metrics.Observe("answer_began_after_forecast", first-forecast)
		return
	}
	g.o.Metrics.Observe("answer_began_before_forecast", forecast-first)
}

// errLost ends an attempt at a server that is lost.
var errLost = failure.New(failure.BackendLost, failure.Unknown, "the server sends nothing and does not announce itself any more")

// lossCheck is how often an attempt looks whether its server is lost.
const lossCheck = 500 * time.Millisecond

// watch ends an attempt that can go on elsewhere once its server is lost. One that
// can't waits on, as its answer may still come, unless the server's process has ended.
func (g *Gateway) watch(ctx context.Context, x *execution, c *dispatch.Choice, cancel context.CancelCauseFunc) {
	var check func()
	check = func() {
		if ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		lost := g.fleet.Replaced(c) || (x.route.Idempotent() && g.fleet.Lost(c, g.o.Clock.Now()))
		g.mu.Unlock()
		if lost {
			cancel(errLost)
			return
		}
		time.AfterFunc(lossCheck, check)
	}
	time.AfterFunc(lossCheck, check)
}

// isFailure reports whether a server's answer says that it failed.
func isFailure(status int) bool { return status >= http.StatusInternalServerError }
