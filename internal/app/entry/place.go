package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/admission"
	"github.com/sesamefork/sesamefork/internal/core/backend"
	"github.com/sesamefork/sesamefork/internal/core/routing"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// place is where an attempt goes: a backend server or another failure domain.
type place struct {
	server   *backend.Server
	serverID string
	address  string
	domain   string
	region   string
	decision routing.Decision
	prefixes []uint64
	started  time.Time
}

// ticket is a request that waits for a place.
type ticket struct {
	x    *execution
	done chan struct{}
	got  *place
	err  *failure.Error
}

func (t *ticket) fail(err *failure.Error) {
	t.err = err
	close(t.done)
}

// acquire returns a place for the next attempt. When none is free the request
// waits in the queue, unless it would wait beyond its deadline.
func (h *Host) acquire(ctx context.Context, x *execution) (*place, *failure.Error) {
	now := h.o.Clock.Now()
	h.mu.Lock()
	d := h.decide(x, now)
	if d.Kind == routing.Nowhere && !h.canEver(x, now) {
		h.mu.Unlock()
		x.note(d)
		return nil, failure.New(failure.NoServer, failure.NotRun, "no backend server in reach serves %q", x.r.Target).
			WithRetryAfter(noServerRetry).WithEntryHosts(h.otherURLs())
	}
	target := summaryName(kindOf(x.r), x.r.Target)
	if d.Kind != routing.Nowhere && h.queue.Len() == 0 {
		p := h.take(x, d, now)
		h.queue.Passed(target, now)
		h.mu.Unlock()
		return p, nil
	}
	w := &admission.Waiter{
		Team: x.r.Team, Weight: x.r.Weight, Priority: x.r.Priority, Cost: cost(x.r),
		Target: target, Deadline: x.r.Deadline,
	}
	if err := h.queue.Offer(w, now, rand.Float64); err != nil {
		h.mu.Unlock()
		h.o.Metrics.Add("refused_at_once", 1)
		x.note(d)
		return nil, failure.As(err, failure.NotRun).WithEntryHosts(h.otherURLs())
	}
	t := &ticket{x: x, done: make(chan struct{})}
	h.waiting[w] = t
	h.mu.Unlock()
	h.poke(h.wake)
	return h.await(ctx, w, t)
}

// noServerRetry is when to come back after no server could be found: a lease
// and a summary later the picture may be another.
const noServerRetry = 2 * time.Second

func (h *Host) await(ctx context.Context, w *admission.Waiter, t *ticket) (*place, *failure.Error) {
	select {
	case <-t.done:
	case <-ctx.Done():
		h.mu.Lock()
		if h.waiting[w] != nil {
			delete(h.waiting, w)
			h.queue.Cancel(w)
			h.mu.Unlock()
			return nil, failure.New(failure.Canceled, failure.NotRun, "the caller went away while the request waited")
		}
		h.mu.Unlock()
		<-t.done // handed out at this moment
	}
	wait := h.o.Clock.Now().Sub(w.Enqueued)
	h.o.Metrics.Observe("queue_wait", wait)
	t.x.waited += wait
	return t.got, t.err
}

// cost weighs a request for the teams' shares: one for an ordinary size.
func cost(r *Request) float64 {
	const ordinary = 500
	return 0.2 + (r.Tokens/8+r.MaxTokens)/ordinary
}

func kindOf(r *Request) string {
	if r.Service {
		return backend.KindService
	}
	return backend.KindEngine
}

// dispatch hands free places to the requests that go next.
func (h *Host) dispatch() {
	now := h.o.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.queue.Len() > 0 {
		w := h.queue.Next(now, func(w *admission.Waiter) bool {
			t := h.waiting[w]
			return t != nil && h.decide(t.x, now).Kind != routing.Nowhere
		})
		if w == nil {
			return
		}
		t := h.waiting[w]
		delete(h.waiting, w)
		d := h.decide(t.x, now)
		if d.Kind == routing.Nowhere {
			t.fail(failure.New(failure.NoServer, failure.NotRun, "the place was taken meanwhile").WithRetryAfter(noServerRetry))
			continue
		}
		t.got = h.take(t.x, d, now)
		close(t.done)
	}
}

// decide asks the routing core with what this host knows now. It needs h.mu.
func (h *Host) decide(x *execution, now time.Time) routing.Decision {
	v := x.view
	p := v.Record.Policy
	w := routing.Weights{
		PriceMS: p.SendAwayPriceMS, Margin: p.SendAwayMargin, Ceiling: p.SendAwayCeiling,
		CacheWeight: p.CacheWeight, QueuePerSlot: p.MaxQueuePerSlot,
	}
	q := routing.Query{Prefixes: x.r.Prefixes, PromptTokens: x.r.Tokens, Away: x.r.forwarded()}
	return routing.Choose(q, h.localServers(x, now), h.remoteDomains(x, now), w, h.share.value(now), rand.Float64)
}

func (h *Host) localServers(x *execution, now time.Time) []routing.Server {
	var out []routing.Server
	kind := kindOf(x.r)
	for _, s := range h.table.All() {
		if !s.Serves(kind, x.r.Target) || x.avoid[s.State.Id] || h.table.Usable(s, now) != backend.SkipNone {
			continue
		}
		out = append(out, routing.Server{
			ID: s.State.Id, Slots: float64(s.State.Slots) * h.table.Ramp(s, now),
			Outstanding: float64(h.table.Outstanding(s)), ServiceMS: s.ServiceMS(),
			PrefillRate: float64(s.State.PrefillRate), Cached: s.Cached(x.r.Prefixes),
		})
	}
	return out
}

// remoteDomains returns the other failure domains whose regions the residency
// rules permit.
func (h *Host) remoteDomains(x *execution, now time.Time) []routing.Remote {
	if x.r.forwarded() {
		return nil
	}
	var out []routing.Remote
	name := summaryName(kindOf(x.r), x.r.Target)
	for _, r := range h.remotes {
		if !slices.Contains(x.permitted, r.summary.Region) || x.avoid[r.summary.FailureDomain] {
			continue
		}
		m := modelOf(r.summary, name)
		if m == nil || len(h.reachable(r, now)) == 0 {
			continue
		}
		other := r.summary.Region != h.o.Region
		out = append(out, routing.Remote{
			FailureDomain: r.summary.FailureDomain, Region: r.summary.Region, OtherRegion: other,
			Slots: float64(m.Slots), Outstanding: float64(m.Running), ServiceMS: float64(m.ServiceMs),
			WaitMS: float64(m.WaitMs) + x.coldPrefillMS, Age: now.Sub(r.at),
			NetworkMS: float64(r.latency.Microseconds()) / 1000, Sent: r.sent[name],
			Senders: x.senders(r.summary.FailureDomain), Sticky: now.Sub(r.lastSent[name]) < stickiness,
		})
	}
	slices.SortFunc(out, func(a, b routing.Remote) int {
		if a.FailureDomain < b.FailureDomain {
			return -1
		}
		return 1
	})
	return out
}

// stickiness is how long a failure domain that was sent to counts as in use.
const stickiness = 5 * time.Second

// unreachableFor is how long a host that could not be reached is left out.
const unreachableFor = 3 * time.Second

// reachable returns the hosts of another failure domain that can be tried.
func (h *Host) reachable(r *remote, now time.Time) []string {
	var out []string
	for _, id := range r.summary.Hosts {
		if now.Sub(r.suspect[id]) > unreachableFor {
			out = append(out, id)
		}
	}
	return out
}

func modelOf(s *pb.Summary, name string) *pb.ModelSummary {
	for _, m := range s.Models {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// canEver reports whether waiting makes sense: some server or failure domain
// serves the target, though it may be full now. It needs h.mu.
func (h *Host) canEver(x *execution, now time.Time) bool {
	return len(h.localServers(x, now)) > 0 || len(h.remoteDomains(x, now)) > 0
}

// take books the place that the decision names. It needs h.mu.
func (h *Host) take(x *execution, d routing.Decision, now time.Time) *place {
	p := &place{decision: d, started: now, prefixes: x.r.Prefixes}
	x.note(d)
	h.share.add(d.Kind == routing.Forward && d.Away, now)
	if d.Kind == routing.Local {
		s := h.table.Get(d.Server)
		h.table.Started(s, x.r.Prefixes, now)
		p.server, p.serverID, p.address, p.region = s, d.Server, s.State.Address, h.o.Region
		return p
	}
	r := h.remotes[d.Domain]
	name := summaryName(kindOf(x.r), x.r.Target)
	r.sent[name]++
	r.lastSent[name] = now
	hosts := h.reachable(r, now)
	p.serverID = hosts[rand.N(len(hosts))]
	p.domain, p.region = d.Domain, r.summary.Region
	p.address = x.view.hosts[p.serverID].Peer
	return p
}

// release returns a local place. connected is false when the server could not
// be reached or broke the connection.
func (h *Host) release(p *place, connected bool) {
	now := h.o.Clock.Now()
	h.mu.Lock()
	if p.server != nil {
		h.table.Finished(p.server, connected, now.Sub(p.started), now)
	} else if !connected {
		if r := h.remotes[p.domain]; r != nil {
			r.suspect[p.serverID] = now
		}
	}
	h.mu.Unlock()
	h.poke(h.wake)
}

// awayShare is the moving share of requests sent to another region.
type awayShare struct {
	away, total float64
	last        time.Time
}

// shareHalfLife is how fast the share forgets.
const shareHalfLife = 30 * time.Second

func (s *awayShare) decay(now time.Time) {
	f := 1.0
	if !s.last.IsZero() {
		f = halfLives(now.Sub(s.last), shareHalfLife)
	}
	s.away, s.total, s.last = s.away*f, s.total*f, now
}

func (s *awayShare) add(away bool, now time.Time) {
	s.decay(now)
	s.total++
	if away {
		s.away++
	}
}

// value returns the share; the prior of a few requests at home keeps the first
// request of an idle host from counting as a share of one.
func (s *awayShare) value(now time.Time) float64 {
	s.decay(now)
	const prior = 5
	return s.away / (s.total + prior)
}
