// Package access lets requests in, for every way by which they come: it finds the team whose
// key a request bears, and takes the request's units of the team's quota.
//
// A key is known by its hash; no raw key comes here. Units are asked for ahead (package
// quota); a request waits for an answer only when this host has too few.
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

// Credential is what a request bears to show whose it is.
type Credential struct {
	// Hash is the hash of the caller's key; see configstate.KeyHash.
	Hash string
	// Fault says why there is no hash.
	Fault string
}

// TeamOf returns the team whose key a request bears. A request that bears none, or a key that
// no team holds, gets a refusal beside.
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

// Nearest sorts the addresses of control hosts: the nearest first, and those at one distance in
// another order on each host, so that the hosts share them.
func Nearest(host string, addrs []string, distance func(addr string) int) {
	slices.SortFunc(addrs, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(rendezvous.Weight(host, b), rendezvous.Weight(host, a)),
		)
	})
}

// Options configures a Gate.
type Options struct {
	Peers   port.Peers
	Request func() *pb.Request // the head of a message to another host
	// Issuers returns the addresses of the control hosts, which give out units, the nearest
	// first; see Nearest.
	Issuers func() []string
	Clock   port.Clock
	Log     logr.Logger
	Metrics port.Metrics
}

// Times of asks.
const (
	// renewEvery is how often what is held and expected is told.
	renewEvery = 200 * time.Millisecond
	// askTimeout bounds an ask: the way to another region and back.
	askTimeout = 400 * time.Millisecond
	// hedgeAfter is when the next control host is asked as well.
	hedgeAfter = 40 * time.Millisecond
	// waitAtMost bounds how long a request waits for units.
	waitAtMost = 450 * time.Millisecond
	// silentFor is how long a control host is passed over that did not answer.
	silentFor = time.Second
	// refuseFor bounds how long requests of a team are refused without an ask, after one
	// of the same size for which nobody had enough.
	refuseFor = time.Second
	// longestRetry bounds the time to come back.
	longestRetry = time.Minute
)

// askMore is how many times more control hosts are asked once those that were asked had too
// few.
const askMore = 5

// Gate lets requests in on one host.
type Gate struct {
	o     Options
	epoch uint64

	used     chan struct{} // closed with the first request of a team with a quota
	firstUse sync.Once

	mu      sync.Mutex
	holder  *quota.Holder
	teams   map[string]*waiting
	issuers map[string]*issuerState // by address
}

// waiting is the requests of one team that wait for units.
type waiting struct {
	queue []*waiter
	// asked are the control hosts that the present waiters asked; the value says whether one
	// has given what it had.
	asked   map[string]bool
	moreIn  time.Duration // until what is needed is expected to be there; 0 while nobody said
	refused refusedUntil
}

// refusedUntil is how requests of a team are refused without an ask.
type refusedUntil struct {
	until time.Time
	units float64   // of the smallest request that is refused
	back  time.Time // when to come back
}

type waiter struct {
	units  float64
	done   chan struct{}
	charge *quota.Charge
	f      *failure.Error
}

type issuerState struct {
	busy        bool
	again       bool // something is to be said after the ask under way
	silentUntil time.Time
	sequence    uint64
}

// New returns a gate without units.
func New(o Options) *Gate {
	return &Gate{
		o: o, epoch: uint64(o.Clock.Now().UnixNano()), holder: quota.NewHolder(), used: make(chan struct{}),
		teams: map[string]*waiting{}, issuers: map[string]*issuerState{},
	}
}

// Take takes a request's units of its team's quota. The charge is nil for a team without a
// quota. Where this host has too few, it asks the nearest control host, and the others when
// that has too few or does not answer.
func (g *Gate) Take(ctx context.Context, requestID string, t *configstate.Team, tokens float64) (*quota.Charge, *failure.Error) {
	if t == nil || t.Quota == nil {
		return nil, nil
	}
	g.firstUse.Do(func() { close(g.used) })
	units := t.Quota.Cost(tokens)
	began := g.o.Clock.Now()
	g.mu.Lock()
	g.holder.RecordDemand(t.Name, units, began)
	if q := g.teams[t.Name]; q == nil || len(q.queue) == 0 {
		if c, ok := g.holder.Take(t.Name, units, began); ok {
			g.mu.Unlock()
			return c, nil
		}
	}
	w, f := g.enter(t, units, began)
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

// Refund gives back what a request took that did not run.
func (g *Gate) Refund(c *quota.Charge) {
	if c == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.holder.Refund(c, g.o.Clock.Now()) {
		g.o.Metrics.Add("quota_refund_too_late", 1)
	}
}

// enter lets a request wait for units, or refuses it. The gate is locked.
func (g *Gate) enter(t *configstate.Team, units float64, now time.Time) (*waiter, *failure.Error) {
	q := g.teams[t.Name]
	if q == nil {
		q = &waiting{asked: map[string]bool{}}
		g.teams[t.Name] = q
	}
	if now.Before(q.refused.until) && units >= q.refused.units {
		return nil, overQuota(t.Name, q.refused.back.Sub(now))
	}
	w := &waiter{units: units, done: make(chan struct{})}
	q.queue = append(q.queue, w)
	g.holder.AddWaiting(t.Name, units)
	if len(q.asked) == 0 && !g.askNext(q, 1, now) {
		g.leave(t.Name, w)
		return nil, g.unknown(t.Name)
	}
	for addr := range q.asked {
		g.start(addr)
	}
	return w, nil
}

func overQuota(team string, after time.Duration) *failure.Error {
	return failure.New(failure.OverQuota, failure.NotRun, "team %q has used up its quota", team).
		WithRetryAfter(min(max(after, time.Millisecond), longestRetry))
}

func (g *Gate) unknown(team string) *failure.Error {
	return failure.New(failure.QuotaUnknown, failure.NotRun, "no control host in reach gives out units of team %q", team).WithRetryAfter(silentFor)
}

// askNext lets the team's waiters ask the nearest control hosts that they have not asked, so
// many at most. It reports whether there is one. The gate is locked.
func (g *Gate) askNext(q *waiting, most int, now time.Time) bool {
	asked := 0
	for _, addr := range g.o.Issuers() {
		if _, done := q.asked[addr]; done || now.Before(g.issuer(addr).silentUntil) {
			continue
		}
		if asked == most {
			break
		}
		asked++
		q.asked[addr] = false
		g.start(addr)
	}
	return asked > 0
}

func (g *Gate) issuer(addr string) *issuerState {
	s := g.issuers[addr]
	if s == nil {
		s = &issuerState{}
		g.issuers[addr] = s
	}
	return s
}

// await waits until a request has its units or is refused.
func (g *Gate) await(ctx context.Context, team string, w *waiter) *failure.Error {
	hedge, last := time.NewTimer(hedgeAfter), time.NewTimer(waitAtMost)
	defer hedge.Stop()
	defer last.Stop()
	for {
		select {
		case <-w.done:
			return w.f
		case <-hedge.C:
			g.mu.Lock()
			if q := g.teams[team]; q.answers() == 0 {
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
	q := g.teams[team]
	f := g.refusal(team, q)
	g.leave(team, w)
	return f
}

// refusal is what a request is told for which there are no units.
func (g *Gate) refusal(team string, q *waiting) *failure.Error {
	if q.moreIn > 0 {
		return overQuota(team, q.moreIn)
	}
	return g.unknown(team)
}

// leave takes a waiter out. The gate is locked.
func (g *Gate) leave(team string, w *waiter) {
	q := g.teams[team]
	for i, other := range q.queue {
		if other == w {
			q.queue = append(q.queue[:i:i], q.queue[i+1:]...)
			g.holder.AddWaiting(team, -w.units)
		}
	}
	q.settled()
}

// asks reports whether waiters ask a control host. There may be none.
func (q *waiting) asks(addr string) bool {
	if q == nil {
		return false
	}
	_, asked := q.asked[addr]
	return asked
}

// answers returns how many control hosts have answered the present waiters.
func (q *waiting) answers() int {
	n := 0
	for _, answered := range q.asked {
		if answered {
			n++
		}
	}
	return n
}

// settled forgets the asks once nobody waits.
func (q *waiting) settled() {
	if len(q.queue) == 0 {
		clear(q.asked)
		q.moreIn = 0
	}
}

// start sends an ask to a control host, now or after the one under way. The gate is locked.
func (g *Gate) start(addr string) {
	s := g.issuer(addr)
	if s.busy {
		s.again = true
		return
	}
	now := g.o.Clock.Now()
	list := g.o.Issuers()
	nearest := len(list) > 0 && list[0] == addr
	ask := g.holder.ComposeAsk(addr, nearest, func(team string) bool { return g.teams[team].asks(addr) }, now)
	if ask == nil {
		return
	}
	s.busy, s.again = true, false
	s.sequence++
	ask.Epoch, ask.Sequence = g.epoch, s.sequence
	go g.send(addr, ask, now)
}

func (g *Gate) send(addr string, ask *pb.QuotaAsk, sentAt time.Time) {
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
	s.busy = false
	if err != nil || grant == nil {
		s.silentUntil = now.Add(silentFor)
		g.o.Metrics.Add("quota_ask_failed", 1)
		for _, p := range ask.Parts {
			if q := g.teams[p.Team]; q != nil && len(q.queue) > 0 {
				g.askNext(q, 1, now)
			}
		}
		return
	}
	g.holder.ApplyGrant(addr, ask, grant, sentAt)
	for i, p := range ask.Parts {
		g.serve(p.Team, now)
		if i < len(grant.Shares) && p.Needed > 0 {
			g.answered(addr, p.Team, grant.Shares[i], now)
		}
	}
	if s.again {
		g.start(addr)
	}
}

// serve gives a team's waiters what there is, in the order in which they came: also what came
// for requests that were only expected. The gate is locked.
func (g *Gate) serve(team string, now time.Time) {
	q := g.teams[team]
	for q != nil && len(q.queue) > 0 {
		w := q.queue[0]
		c, ok := g.holder.Take(team, w.units, now)
		if !ok {
			return
		}
		w.charge = c
		g.finish(team, w, nil)
	}
}

// answered goes on with a team's waiters after a control host told what it has for them: they
// ask further ones, or are refused. The gate is locked.
func (g *Gate) answered(addr, team string, s *pb.QuotaShare, now time.Time) {
	q := g.teams[team]
	if len(q.queue) == 0 {
		return
	}
	q.asked[addr] = true
	if more := time.Duration(min(s.MoreInMs, uint64(longestRetry.Milliseconds()))) * time.Millisecond; more > 0 && (q.moreIn == 0 || more < q.moreIn) {
		q.moreIn = more
	}
	switch {
	case s.MoreInMs == 0 && !s.Unknown:
		g.issuer(addr).again = true // for those that came after the ask
		return
	case g.askNext(q, len(q.asked)*askMore, now), q.answers() < len(q.asked):
		return
	}
	f := g.refusal(team, q)
	q.refused = refusedUntil{now.Add(min(f.RetryAfter, refuseFor)), q.queue[0].units, now.Add(f.RetryAfter)}
	for len(q.queue) > 0 {
		g.finish(team, q.queue[0], f)
	}
}

// finish ends a waiter's wait. The gate is locked.
func (g *Gate) finish(team string, w *waiter, f *failure.Error) {
	w.f = f
	close(w.done)
	g.leave(team, w)
}

// Run tells the control hosts what is held and expected until ctx ends. A host that serves no
// team with a quota has nothing to tell.
func (g *Gate) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.used:
	}
	t := time.NewTicker(renewEvery)
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

// renew tells the nearest control host what is expected, and every other one of which
// something is held.
func (g *Gate) renew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	for i, addr := range g.o.Issuers() {
		if now.Before(g.issuer(addr).silentUntil) {
			continue
		}
		if i == 0 || g.holder.Holds(addr) {
			g.start(addr)
		}
	}
}
