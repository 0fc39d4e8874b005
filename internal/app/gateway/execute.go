package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/enginememory"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/quota"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// execution is the state of a request in flight.
type execution struct {
	r          *Request
	record     *configstate.Record
	version    uint64
	route      *configstate.Route
	service    string
	classes    []configstate.UrgencyClass // of the service; nil if its requests are not ordered
	class      int                        // index of the request's class
	team       *configstate.Team          // nil for a request without a team
	teamRecord *configstate.Record        // configuration in which team was looked up
	charge     *quota.Charge              // quota units taken for the current attempt
	sink       Sink
	deadline   time.Time
	// subjects are the same for each repeat of the request.
	subjects quarantine.Subjects
	// admission is the quarantine's judgement of the last attempt.
	admission quarantine.Admission
	tried     map[string]bool
	sends     int // attempts made, including refused ones
	ran       int // attempts that may have run
	headSent  bool
	lastEvent uint64 // ID of the last event sent to the caller
	// release is the software version of the server that wrote the stream's first event; nil before it.
	release *string
	// releaseUnknown is set if the stream has begun at a release that is not known, so that it cannot go on.
	releaseUnknown bool
	// successor is set if the stream may have begun at the process that has replaced its server's.
	successor atomic.Bool
	// mayHaveRun is set once an attempt has ended without proof that it did not run.
	mayHaveRun bool
	pauses     eventPauses
	// proofDeadline is the time until which the request's attempts together wait for proofs of servers' processes;
	// zero before the first wait.
	proofDeadline time.Time
}

// maxRefusals bounds the refused attempts of a request beyond its route's attempts. More
// refusals indicate that this host's view of the servers is wrong, so the caller should retry
// later.
const maxRefusals = 3

// minAttemptTime is the least remaining time for another attempt: a short call can be answered
// within it.
const minAttemptTime = 20 * time.Millisecond

// Execute executes a request and writes its answer to sink. A failure that it returns is the one
// to report to the caller. If the answer's head has been sent by then, the answer must be made
// recognizable as truncated.
func (g *Gateway) Execute(ctx context.Context, r *Request, sink Sink) *failure.Error {
	g.enter()
	defer g.inflight.Add(-1)
	return g.execute(ctx, r, sink)
}

// execute is Execute for a request that is counted as in flight.
func (g *Gateway) execute(ctx context.Context, r *Request, sink Sink) *failure.Error {
	ctx, span := g.startRequest(ctx, r)
	var x *execution
	f := g.awaitInitialized(ctx, r)
	if f == nil {
		x, f = g.begin(ctx, r, sink)
	}
	if f == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, x.deadline.Sub(g.o.Clock.Now()))
		defer cancel()
		end := g.timeAnswer(x)
		f = g.run(ctx, x)
		end(f == nil)
	}
	g.logPauses(x)
	g.logEnd(x, r, f)
	endSpan(span, f)
	return f
}

// timeAnswer records that a request begins. end must be called with whether it was answered.
func (g *Gateway) timeAnswer(x *execution) (end func(answered bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.answerTimes.Begin(x.route.Name, g.o.Clock.Now())
	return func(answered bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		q.End(answered, g.o.Clock.Now())
	}
}

// enter counts a request as in flight.
func (g *Gateway) enter() {
	if g.inflight.Add(1) == 1 {
		signal(g.becameBusy)
	}
}

// begin determines the request's route, team and deadline.
func (g *Gateway) begin(ctx context.Context, r *Request, sink Sink) (*execution, *failure.Error) {
	c, route, team, f := g.admit(ctx, r)
	if f != nil {
		return nil, f
	}
	x := &execution{
		r: r, record: c.Record, version: c.Stamp.Version, route: route, team: team, teamRecord: c.Record, sink: sink,
		tried: map[string]bool{}, lastEvent: r.ResumeAfter, service: r.service, release: r.release,
	}
	x.deadline = r.Arrived.Add(time.Duration(route.TimeoutMS) * time.Millisecond)
	if r.Wait > 0 {
		if d := r.Arrived.Add(r.Wait); d.Before(x.deadline) {
			x.deadline = d
		}
	}
	if x.takesUpStream() {
		if f := g.takeUp(ctx, x); f != nil {
			return nil, f
		}
	}
	switch {
	case x.service == "":
		x.service = route.Service(hashFraction(r.ID))
	case !routesTo(route, x.service) && x.takesUpStream():
		return nil, notRun(failure.StreamMoved, 0, "the stream began at service %q, to which version %d does not send route %q", x.service, c.Stamp.Version, route.Name)
	case r.Origin != "" && r.ResumeAfter > 0 && r.release == nil:
		return nil, notRun(failure.PeerRefused, 0, "the forward goes on with a stream and does not name its release")
	case !routesTo(route, x.service):
		return nil, notRun(failure.PeerRefused, 0, "version %d does not send route %q to service %q", c.Stamp.Version, route.Name, x.service)
	}
	if f := x.exceedsMemory(); f != nil {
		return nil, f
	}
	x.subjects = subjectsOf(r, team, x.service)
	g.setClass(x)
	if r.Origin == "" {
		g.recordArrival(x)
	}
	return x, nil
}

// exceedsMemory returns the failure of a prompt that is larger than the memory of every engine of its service, which
// no retry can change; nil for others.
func (x *execution) exceedsMemory() *failure.Error {
	s, ok := x.record.RoutedService(x.service)
	if !ok || s.Engine == nil || x.r.Prompt == nil || !enginememory.Exceeds(float64(x.r.Prompt.Tokens), float64(s.Engine.MemoryTokens)) {
		return nil
	}
	return notRun(failure.BodyTooLarge, 0, "a prompt of %d tokens does not fit into the %d tokens of an engine of service %q", x.r.Prompt.Tokens, s.Engine.MemoryTokens, x.service)
}

// recordArrival counts a caller's request for the retry budget and, unless its service runs on
// model engines, for the arrival rate of the service.
func (g *Gateway) recordArrival(x *execution) {
	now := g.o.Clock.Now()
	s, ok := x.record.RoutedService(x.service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Request(now)
	if ok && s.Engine == nil {
		g.fleet.RecordArrival(x.service, now)
	}
}

func routesTo(route *configstate.Route, service string) bool {
	for _, t := range route.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// hashFraction maps request IDs uniformly to [0, 1).
func hashFraction(id string) float64 {
	const scale = 1 << 53
	return float64(xxhash.Sum64String(id)>>11) / scale
}

// result is the outcome of an attempt.
type result struct {
	stage     retry.Stage
	outcome   dispatch.Outcome
	err       *failure.Error
	firstByte time.Duration
	status    int  // of the answer; 0 for none
	openEnded bool // see Answer.OpenEnded
	// fallback is set if the answer, although a failure, comes from the server and can be sent to
	// the caller when no further attempt is made.
	fallback *bufferedAnswer
}

// bufferedAnswer is a complete answer that has not been sent to the caller.
type bufferedAnswer struct {
	head Head
	body *answerBuffer
}

// release gives back the memory of an answer; nil for none.
func (b *bufferedAnswer) release() {
	if b != nil {
		b.body.release()
	}
}

// run makes attempts until one is answered or no other is allowed.
func (g *Gateway) run(ctx context.Context, x *execution) *failure.Error {
	var fallback *bufferedAnswer
	defer func() { fallback.release() }()
	for {
		c, f := g.admitAttempt(ctx, x)
		if f != nil {
			return g.giveUp(ctx, x, fallback, f)
		}
		res := g.attempt(ctx, x, c)
		g.o.CrashWatch.Finish(&x.admission)
		if res.stage == retry.BeforeSend || res.stage == retry.Refused {
			g.refundQuota(x)
		}
		if res.fallback != nil {
			fallback.release()
			fallback = res.fallback
		}
		d := retry.Decide(retry.Attempt{
			Stage: res.stage, Idempotent: x.route.Idempotent(),
			Relayed: x.headSent, Resumable: x.route.Resumable,
		}, g.mayRetry(ctx, x, res))
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

// admitAttempt checks the team's key, its quota and the quarantine before an attempt, and
// chooses the server or region for it.
func (g *Gateway) admitAttempt(ctx context.Context, x *execution) (*dispatch.Choice, *failure.Error) {
	if f := g.recheckTeam(x); f != nil {
		return nil, f
	}
	if f := g.takeQuota(ctx, x); f != nil {
		return nil, f
	}
	var f *failure.Error
	if x.admission, f = g.o.CrashWatch.Admit(x.r.ID, x.subjects, x.mayHaveRun); f != nil {
		g.refundQuota(x)
		return nil, f
	}
	var c *dispatch.Choice
	if f = g.admitByRoom(x); f == nil {
		c, f = g.choose(ctx, x)
	}
	if f != nil {
		g.o.CrashWatch.Finish(&x.admission)
		g.refundQuota(x)
	}
	return c, f
}

// giveUp returns the failure to report to the caller. A failure answer of a server takes
// precedence over a failure of this host. The outcome is not NotRun if any attempt may have run.
func (g *Gateway) giveUp(ctx context.Context, x *execution, fallback *bufferedAnswer, f *failure.Error) *failure.Error {
	if fallback != nil && !x.headSent && ctx.Err() == nil {
		return deliver(x, fallback)
	}
	out := *f
	if x.mayHaveRun {
		out.Outcome = failure.Unknown
	}
	if out.Outcome == failure.NotRun && out.RetryAfter == 0 && (out.Code == failure.BackendRefused || out.Code == failure.ServersPaused) {
		out.RetryAfter = g.untilUsable(x)
	}
	if out.Outcome == failure.NotRun && out.Code != failure.Overloaded && out.Code != failure.Quarantined && out.Code != failure.QuarantinedPart && out.Code != failure.Unauthorized && out.RetryAfter == 0 {
		out.RetryAfter = refusedRetryAfter
	}
	if ctx.Err() == context.DeadlineExceeded {
		return failure.New(failure.DeadlineExceeded, out.Outcome, "the request's deadline passed: %s", f.Detail)
	}
	return &out
}

// refusedRetryAfter is the time after which a refused request should be repeated: servers have
// answered a few other requests by then and can accept new ones.
const refusedRetryAfter = 300 * time.Millisecond

// untilUsable returns the time after which a server may run the request that has been refused by others.
func (g *Gateway) untilUsable(x *execution) time.Duration {
	now := g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.UntilUsable(g.job(x, now), now)
}

// deliver sends an answer to the caller. The caller of deliver releases it.
func deliver(x *execution, answer *bufferedAnswer) *failure.Error {
	answer.head.Length = answer.body.size
	if err := x.sink.Head(answer.head); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Unknown)
	}
	x.headSent = true
	if err := answer.body.sendTo(x.sink); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Unknown)
	}
	return nil
}

// mayRetry reports whether the route, the deadline and the retry budget that all entry hosts
// share allow another attempt.
func (g *Gateway) mayRetry(ctx context.Context, x *execution, res result) bool {
	if ctx.Err() != nil || x.deadline.Sub(g.o.Clock.Now()) < minAttemptTime || res.stage == retry.Answered || x.releaseUnknown || x.successor.Load() || res.err == membudget.ErrSpent {
		return false
	}
	if res.err != nil && res.err.IsCrashRefusal() {
		return false // another region refused the request for its quarantine, which applies in all regions
	}
	limit := x.route.Attempts
	if x.r.attempts > 0 {
		limit = x.r.attempts
	}
	ran := res.stage != retry.BeforeSend && res.stage != retry.Refused
	if ran && !x.route.Idempotent() {
		return false
	}
	if x.ran >= limit || x.sends >= limit+maxRefusals {
		return false
	}
	if res.stage == retry.BeforeSend {
		return true // no server received the request
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.Retry(g.o.Clock.Now()) {
		g.o.Metrics.Add("retry_budget_spent", 1)
		return false
	}
	return true
}

// job describes the request for the choice of a server or region.
func (g *Gateway) job(x *execution, now time.Time) *dispatch.Job {
	j := &dispatch.Job{
		Service: x.service, Permits: x.permits, Remaining: x.deadline.Sub(now), Tried: x.tried,
		Target: time.Duration(x.route.LatencyTargetMS) * time.Millisecond, Forwarded: x.r.Origin != "", EndWithin: g.endWithin(x, now),
		GapTarget:     time.Duration(x.route.GapTargetMS) * time.Millisecond,
		ServerCrashes: x.admission.ServerCrashes, Priority: x.route.Priority, Class: x.class, Classes: len(x.classes), Release: x.release, Connected: g.o.Backends.Connected,
		ProofWait: g.usualProofWait(),
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

// expectedOutput returns the expected number of output tokens: the caller's hint, or half of the
// maximum if there is none.
func (p *Prompt) expectedOutput() int {
	if p.Hint > 0 {
		return min(p.Hint, max(p.MaxOutput, p.Hint))
	}
	return p.MaxOutput / 2
}

// choose returns the server or region for the next attempt. On a host that has just started, a
// request for which no server is in reach waits for one.
func (g *Gateway) choose(ctx context.Context, x *execution) (*dispatch.Choice, *failure.Error) {
	g.mu.Lock()
	outlasts := g.outlastsStop(x, g.o.Clock.Now())
	g.mu.Unlock()
	if outlasts {
		g.o.Metrics.Add("refused_at_once", 1)
		g.o.Metrics.Add("refused_for_stop", 1)
		return nil, g.DrainingFailure()
	}
	c := g.place(x)
	if c.NoUsableServer {
		c = g.awaitPlace(ctx, x, c)
	}
	if c.Refused == "" {
		return c, nil
	}
	g.o.Metrics.Add("refused_at_once", 1)
	if c.Outlasts {
		return nil, g.DrainingFailure()
	}
	if c.ServersPaused {
		return nil, notRun(failure.ServersPaused, c.RetryAfter, "%s", c.Refused)
	}
	return nil, notRun(failure.NoServer, c.RetryAfter, "%s", c.Refused)
}

// place chooses the server or region for the next attempt and adds the request to its load.
func (g *Gateway) place(x *execution) *dispatch.Choice {
	now := g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.fleet.Choose(g.job(x, now), now)
	if c.Refused == "" {
		g.fleet.Started(&c, now)
	}
	if c.Server != nil && g.fleet.ColdReason(c.Server, now) != "" {
		g.o.Metrics.Add("sent_to_cold_servers", 1)
	}
	if c.Refused == "" && c.Overfills() {
		g.o.Metrics.Add("sent_to_full_engines", 1)
	}
	if !c.NoUsableServer || !g.startup.AwaitsServers(now) {
		g.logChoice(x, &c, now)
	}
	return &c
}

// awaitPlace repeats the choice after each view until a server is in reach or the request may
// not wait any longer for the host's start.
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
		viewChanged := g.viewChanged
		g.mu.Unlock()
		select {
		case <-viewChanged:
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

// attempt makes one attempt at the chosen server or region.
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
		if res.stage == retry.Refused {
			x.tried[c.Host.Region] = true
		}
		g.recordHostRefusal(c, res.err)
	}
	if res.stage != retry.BeforeSend && res.stage != retry.Refused {
		x.ran++
	}
	g.recordServerOutcome(ctx, x, c, res)
	if ctx.Err() != nil && res.outcome == dispatch.ConnectionFailed {
		res.outcome = dispatch.CallerEnded
	}
	now := g.o.Clock.Now()
	g.mu.Lock()
	g.fleet.Ended(c, res.outcome, res.firstByte, now)
	g.mu.Unlock()
	g.logAttempt(x, c, res, now.Sub(began))
	endSpan(span, res.err)
	return res
}

// recordProgress records that bytes of an attempt's answer have arrived, and the time to the
// first byte.
func (g *Gateway) recordProgress(c *dispatch.Choice, res *result, began time.Time) {
	now := g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.Progress(c, now)
	if res.firstByte == 0 {
		res.firstByte = max(now.Sub(began), 1)
		g.fleet.FirstByte(c, res.firstByte)
		g.observeForecastError(c, res.firstByte)
	}
}

// observeForecastError adds the difference between the time to the first byte and its forecast
// to the metrics, so that wrong forecasts are visible before callers are affected.
func (g *Gateway) observeForecastError(c *dispatch.Choice, first time.Duration) {
	forecast := time.Duration(c.EstimateMS * float64(time.Millisecond))
	if first > forecast {
		g.o.Metrics.Observe("answer_began_after_forecast", first-forecast)
		return
	}
	g.o.Metrics.Observe("answer_began_before_forecast", forecast-first)
}

// errServerLost is the cause with which an attempt at a lost server is canceled.
var errServerLost = failure.New(failure.BackendLost, failure.Unknown, "the server sends nothing and does not announce itself any more")

// lossCheckInterval is the interval at which an attempt checks whether its server is lost.
const lossCheckInterval = 500 * time.Millisecond

// cancelIfLost cancels an attempt once its server is lost, if the request is idempotent and can
// be repeated elsewhere. An attempt of another request is canceled only if the server's process
// was replaced, as its answer may still arrive otherwise. The caller must call stop at the attempt's
// end.
func (g *Gateway) cancelIfLost(ctx context.Context, x *execution, c *dispatch.Choice, began time.Time, cancel context.CancelCauseFunc) (stop func()) {
	begins := x.release == nil
	return every(lossCheckInterval, func() (again bool) {
		if ctx.Err() != nil {
			return false
		}
		successor := begins && g.doubtRelease(x, c, began)
		g.mu.Lock()
		now := g.o.Clock.Now()
		lost := g.fleet.Replaced(c) || (x.route.Idempotent() && g.fleet.Lost(c, now))
		if successor { // which may go on with the answer
			lost = g.fleet.Silent(c, now)
		}
		g.mu.Unlock()
		if lost {
			cancel(errServerLost)
		}
		return !lost
	})
}

// every calls f after each interval until f returns false or stop is called. The runtime may keep a stopped timer until
// its time; stop lets go of f, and of the request that f refers to, at once.
func every(interval time.Duration, f func() (again bool)) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(interval, func() {
		mu.Lock()
		defer mu.Unlock()
		if f != nil && f() {
			timer.Reset(interval)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		f = nil
		timer.Stop()
	}
}

// isSuccess reports whether a server's status is a success (2xx).
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// isFailure reports whether a server's status is a server error (5xx).
func isFailure(status int) bool { return status >= http.StatusInternalServerError }
