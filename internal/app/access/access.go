// Package access admits requests on every path by which they arrive: it finds the team that a
// request's key belongs to, and charges the request to that team's quota.
//
// Keys are compared by hash; raw keys are not passed to this package. Units of quota are
// requested from the control hosts in advance (package quota), so a request waits for an answer
// only when this host holds too few.
package access

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/quota"
	"github.com/sesamefork/sesamefork/internal/core/rendezvous"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Credential identifies the key that a request was sent with.
type Credential struct {
	// Hash is the hash of the caller's key, or empty; see configstate.KeyHash.
	Hash string
	// Fault describes why Hash is empty.
	Fault string
}

// TeamOf returns the team whose key a request was sent with, or an Unauthorized failure if the
// request has no key or no team holds it.
func TeamOf(rec *configstate.Record, c Credential) (*configstate.Team, *failure.Error) {
	if c.Hash == "" {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "%s", c.Fault)
	}
	t, ok := rec.TeamByKey(c.Hash)
	if !ok {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "no team holds the key")
	}
	return t, nil
}

// SortByDistance sorts the addresses of control hosts in place, nearest first. Addresses at the
// same distance are ordered by their rendezvous weight for this host, so that hosts spread their
// requests over them.
func SortByDistance(host string, addrs []string, distance func(addr string) int) {
	slices.SortFunc(addrs, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(rendezvous.Weight(host, b), rendezvous.Weight(host, a)),
		)
	})
}

// Options configures a Limiter.
type Options struct {
	Peers   port.Peers
	Request func() *pb.Request // returns a message to another host with the sender's fields set
	// Issuers returns the addresses of the control hosts that issue units, nearest first; see
	// SortByDistance.
	Issuers func() []string
	Clock   port.Clock
	Log     logr.Logger
	Metrics port.Metrics
}

// Intervals and time limits of asks, the messages that request units from control hosts.
const (
	// renewInterval is the interval at which held and expected units are reported.
	renewInterval = 200 * time.Millisecond
	// askTimeout bounds one ask to a control host; it allows for a round trip to another region.
	askTimeout = 400 * time.Millisecond
	// hedgeDelay is the time without an answer after which one more control host is asked.
	hedgeDelay = 40 * time.Millisecond
	// maxWait bounds how long a request waits for units.
	maxWait = 450 * time.Millisecond
	// failedAskBackoff is how long a control host is skipped after an ask to it failed.
	failedAskBackoff = time.Second
	// maxRefusalWindow bounds how long a team's requests are refused without asking, after the
	// control hosts had too few units for one of the same size or smaller.
	maxRefusalWindow = time.Second
	// maxRetryAfter bounds the retry time given to callers.
	maxRetryAfter = time.Minute
)

// askFanoutGrowth limits each further round of asks: once the control hosts asked so far had
// too few units, at most askFanoutGrowth times their number are asked next.
const askFanoutGrowth = 5

// Limiter charges the requests of one host to their teams' quotas.
type Limiter struct {
	o     Options
	epoch uint64

	quotaUsed chan struct{} // closed at the first request of a team with a quota
	firstUse  sync.Once

	mu      sync.Mutex
	holder  *quota.Holder
	queues  map[string]*teamQueue
	issuers map[string]*issuerState // by address
}

// teamQueue holds the requests of one team that wait for units.
type teamQueue struct {
	waiters []*waiter
	// asked holds the control hosts that were asked for the present waiters; the value is true
	// once the control host has answered for this team.
	asked       map[string]bool
	availableIn time.Duration // shortest time that a control host gave until the units are available; 0 if none gave one
	refused     refusalWindow
}

// refusalWindow is a period in which a team's requests of at least minUnits are refused without
// asking.
type refusalWindow struct {
	until    time.Time
	minUnits float64   // smallest cost in units that is refused
	retryAt  time.Time // when callers may retry
}

type waiter struct {
	units  float64
	done   chan struct{}
	charge *quota.Charge
	f      *failure.Error
}

type issuerState struct {
	inFlight  bool
	askAgain  bool // send another ask when the current one ends
	skipUntil time.Time
	sequence  uint64
}

// New returns a Limiter that holds no units.
func New(o Options) *Limiter {
	return &Limiter{
		o: o, epoch: uint64(o.Clock.Now().UnixNano()), holder: quota.NewHolder(), quotaUsed: make(chan struct{}),
		queues: map[string]*teamQueue{}, issuers: map[string]*issuerState{},
	}
}

// Take charges a request to its team's quota. The charge is nil for a team without a quota. If
// this host holds too few units, Take asks the nearest control host, and further ones if that
// one has too few or does not answer.
func (g *Limiter) Take(ctx context.Context, requestID string, t *configstate.Team, tokens float64) (*quota.Charge, *failure.Error) {
	if t == nil || t.Quota == nil {
		return nil, nil
	}
	g.firstUse.Do(func() { close(g.quotaUsed) })
	units := t.Quota.Cost(tokens)
	began := g.o.Clock.Now()
	g.mu.Lock()
	g.holder.RecordDemand(t.Name, units, began)
	if q := g.queues[t.Name]; q == nil || len(q.waiters) == 0 {
		if c, ok := g.holder.Take(t.Name, units, began); ok {
			g.mu.Unlock()
			return c, nil
		}
	}
	w, f := g.enqueue(t, units, began)
	g.mu.Unlock()
	if f == nil {
		f = g.await(ctx, t.Name, w)
	}
	if f != nil {
		g.o.Metrics.Add("refused_"+string(f.Code), 1)
		g.o.Log.Info("request refused by quota", "request_id", requestID, "team", t.Name, "code", string(f.Code), "units", units,
			"reason", f.Detail, "waited_ms", g.o.Clock.Now().Sub(began).Milliseconds(), "retry_after_ms", f.RetryAfter.Milliseconds())
		return nil, f
	}
	g.o.Metrics.Observe("quota_wait", g.o.Clock.Now().Sub(began))
	return w.charge, nil
}

// Spent returns the refusal that Take would give at once to a request, because the control hosts have just had too few
// units for one like it; nil if Take would ask.
func (g *Limiter) Spent(t *configstate.Team, tokens float64) *failure.Error {
	if t == nil || t.Quota == nil {
		return nil
	}
	units, now := t.Quota.Cost(tokens), g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[t.Name]
	if q == nil || !now.Before(q.refused.until) || units < q.refused.minUnits {
		return nil
	}
	if c, ok := g.holder.Take(t.Name, units, now); ok {
		g.holder.Refund(c, now)
		return nil
	}
	g.holder.RecordDemand(t.Name, units, now)
	return overQuota(t.Name, q.refused.retryAt.Sub(now))
}

// Refund returns the units of a request that did not run.
func (g *Limiter) Refund(c *quota.Charge) {
	if c == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.holder.Refund(c, g.o.Clock.Now()) {
		g.o.Metrics.Add("quota_refund_too_late", 1)
	}
}

// enqueue adds a request to its team's queue, or refuses it at once. The caller holds g.mu.
func (g *Limiter) enqueue(t *configstate.Team, units float64, now time.Time) (*waiter, *failure.Error) {
	q := g.queues[t.Name]
	if q == nil {
		q = &teamQueue{asked: map[string]bool{}}
		g.queues[t.Name] = q
	}
	if now.Before(q.refused.until) && units >= q.refused.minUnits {
		return nil, overQuota(t.Name, q.refused.retryAt.Sub(now))
	}
	w := &waiter{units: units, done: make(chan struct{})}
	q.waiters = append(q.waiters, w)
	g.holder.AddWaiting(t.Name, units)
	if len(q.asked) == 0 && !g.askNext(q, 1, now) {
		g.remove(t.Name, w)
		return nil, g.quotaUnknown(t.Name)
	}
	for addr := range q.asked {
		g.scheduleAsk(addr)
	}
	return w, nil
}

func overQuota(team string, after time.Duration) *failure.Error {
	return failure.New(failure.OverQuota, failure.NotRun, "team %q has used up its quota", team).
		WithRetryAfter(min(max(after, time.Millisecond), maxRetryAfter))
}

func (g *Limiter) quotaUnknown(team string) *failure.Error {
	return failure.New(failure.QuotaUnknown, failure.NotRun, "no reachable control host issues units of team %q", team).WithRetryAfter(failedAskBackoff)
}

// askNext asks the nearest control hosts that the team's waiters have not asked yet, at most
// limit of them, and reports whether it asked any. The caller holds g.mu.
func (g *Limiter) askNext(q *teamQueue, limit int, now time.Time) bool {
	asked := 0
	for _, addr := range g.o.Issuers() {
		if _, done := q.asked[addr]; done || now.Before(g.issuer(addr).skipUntil) {
			continue
		}
		if asked == limit {
			break
		}
		asked++
		q.asked[addr] = false
		g.scheduleAsk(addr)
	}
	return asked > 0
}

func (g *Limiter) issuer(addr string) *issuerState {
	s := g.issuers[addr]
	if s == nil {
		s = &issuerState{}
		g.issuers[addr] = s
	}
	return s
}

// await waits until the request is charged or refused, ctx ends or maxWait has passed.
func (g *Limiter) await(ctx context.Context, team string, w *waiter) *failure.Error {
	hedge, last := time.NewTimer(hedgeDelay), time.NewTimer(maxWait)
	defer hedge.Stop()
	defer last.Stop()
	for {
		select {
		case <-w.done:
			return w.f
		case <-hedge.C:
			g.mu.Lock()
			if q := g.queues[team]; q.answerCount() == 0 {
				g.askNext(q, 1, g.o.Clock.Now())
			}
			g.mu.Unlock()
			continue
		case <-last.C:
		case <-ctx.Done():
		}
		break
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.done:
		return w.f
	default:
	}
	q := g.queues[team]
	f := g.refusal(team, q)
	g.remove(team, w)
	return f
}

// refusal returns the failure for a request that gets no units: over quota if a control host
// gave a time at which units are available, else quota unknown.
func (g *Limiter) refusal(team string, q *teamQueue) *failure.Error {
	if q.availableIn > 0 {
		return overQuota(team, q.availableIn)
	}
	return g.quotaUnknown(team)
}

// remove removes a waiter from its team's queue. The caller holds g.mu.
func (g *Limiter) remove(team string, w *waiter) {
	q := g.queues[team]
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i:i], q.waiters[i+1:]...)
			g.holder.AddWaiting(team, -w.units)
		}
	}
	q.resetIfEmpty()
}

// hasAsked reports whether a control host was asked for the present waiters. q may be nil.
func (q *teamQueue) hasAsked(addr string) bool {
	if q == nil {
		return false
	}
	_, asked := q.asked[addr]
	return asked
}

// answerCount returns how many control hosts have answered for the present waiters.
func (q *teamQueue) answerCount() int {
	n := 0
	for _, answered := range q.asked {
		if answered {
			n++
		}
	}
	return n
}

// resetIfEmpty discards the state of the asks once no request waits.
func (q *teamQueue) resetIfEmpty() {
	if len(q.waiters) == 0 {
		clear(q.asked)
		q.availableIn = 0
	}
}

// scheduleAsk sends an ask to a control host, at once or after the one in flight. The caller
// holds g.mu.
func (g *Limiter) scheduleAsk(addr string) {
	s := g.issuer(addr)
	if s.inFlight {
		s.askAgain = true
		return
	}
	now := g.o.Clock.Now()
	list := g.o.Issuers()
	nearest := len(list) > 0 && list[0] == addr
	ask := g.holder.ComposeAsk(addr, nearest, func(team string) bool { return g.queues[team].hasAsked(addr) }, now)
	if ask == nil {
		return
	}
	s.inFlight, s.askAgain = true, false
	s.sequence++
	ask.Epoch, ask.Sequence = g.epoch, s.sequence
	go g.send(addr, ask, now)
}

func (g *Limiter) send(addr string, ask *pb.QuotaAsk, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	req := g.o.Request()
	req.Body = &pb.Request_QuotaAsk{QuotaAsk: ask}
	resp, err := g.o.Peers.Call(ctx, addr, req)
	grant := resp.GetQuotaGrant()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	s := g.issuer(addr)
	s.inFlight = false
	if err != nil || grant == nil {
		s.skipUntil = now.Add(failedAskBackoff)
		g.o.Metrics.Add("quota_ask_failed", 1)
		for _, p := range ask.Parts {
			if q := g.queues[p.Team]; q != nil && len(q.waiters) > 0 {
				g.askNext(q, 1, now)
			}
		}
		return
	}
	g.holder.ApplyGrant(addr, ask, grant, sentAt)
	for i, p := range ask.Parts {
		g.chargeWaiters(p.Team, now)
		if i < len(grant.Shares) && p.Needed > 0 {
			g.handleShare(addr, p.Team, grant.Shares[i], now)
		}
	}
	if s.askAgain {
		g.scheduleAsk(addr)
	}
}

// chargeWaiters charges a team's waiters in arrival order while units last. It also spends
// units that were granted for expected requests. The caller holds g.mu.
func (g *Limiter) chargeWaiters(team string, now time.Time) {
	q := g.queues[team]
	for q != nil && len(q.waiters) > 0 {
		w := q.waiters[0]
		c, ok := g.holder.Take(team, w.units, now)
		if !ok {
			return
		}
		w.charge = c
		g.finish(team, w, nil)
	}
}

// handleShare handles a control host's answer for a team. If the control host had too few
// units, the waiters ask further ones, or are refused once all that were asked have answered.
// The caller holds g.mu.
func (g *Limiter) handleShare(addr, team string, s *pb.QuotaShare, now time.Time) {
	q := g.queues[team]
	if len(q.waiters) == 0 {
		return
	}
	q.asked[addr] = true
	if more := time.Duration(min(s.MoreInMs, uint64(maxRetryAfter.Milliseconds()))) * time.Millisecond; more > 0 && (q.availableIn == 0 || more < q.availableIn) {
		q.availableIn = more
	}
	switch {
	case s.MoreInMs == 0 && !s.Unknown:
		g.issuer(addr).askAgain = true // for requests queued after the ask was sent
		return
	case g.askNext(q, len(q.asked)*askFanoutGrowth, now), q.answerCount() < len(q.asked):
		return
	}
	f := g.refusal(team, q)
	q.refused = refusalWindow{now.Add(min(f.RetryAfter, maxRefusalWindow)), q.waiters[0].units, now.Add(f.RetryAfter)}
	for len(q.waiters) > 0 {
		g.finish(team, q.waiters[0], f)
	}
}

// finish ends a waiter's wait with its charge or with f. The caller holds g.mu.
func (g *Limiter) finish(team string, w *waiter, f *failure.Error) {
	w.f = f
	close(w.done)
	g.remove(team, w)
}

// Run reports held and expected units to the control hosts until ctx ends. It starts with the
// first request of a team with a quota, since a host without one has nothing to report.
func (g *Limiter) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.quotaUsed:
	}
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			g.renew()
		}
	}
}

// renew sends an ask to the nearest control host, for the units that are expected to be needed,
// and to every other one whose units this host holds.
func (g *Limiter) renew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	for i, addr := range g.o.Issuers() {
		if now.Before(g.issuer(addr).skipUntil) {
			continue
		}
		if i == 0 || g.holder.Holds(addr) {
			g.scheduleAsk(addr)
		}
	}
}
