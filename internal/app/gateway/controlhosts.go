package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// controlList is what this host knows of the control hosts.
type controlList struct {
	mu     sync.Mutex
	seeds  []string
	listed []string                // by the control host that was heard last
	known  map[string]*controlHost // by address
	heard  controlhosts.Contacts
	// hostsOf is the control host whose list of entry hosts was last taken, at hostsAt.
	hostsOf *controlHost
	hostsAt time.Time
	// news is signalled, for Run, when it may be another control host's turn to be asked.
	news    chan struct{}
	vouched chan struct{} // closed and replaced when a control host vouched for the configuration
}

// controlHost is what this host knows of one control host. The fields up to asked are
// guarded by the list; the others belong to the goroutine that asks it.
type controlHost struct {
	addr       string
	domain     string // its failure domain; "" while it is not known
	named      bool   // other control hosts hear it
	avoidUntil time.Time
	asked      bool // a goroutine presents this host to it
	// idleSince is when it was last asked, unless its link was dropped since.
	idleSince time.Time

	have   source
	logged controlSeen
	// toldAll is set once the control host was told all that this host knows of crashing
	// requests; told is the revision up to which it was.
	toldAll bool
	told    uint64
}

// hostsEvery is how often a list of entry hosts is taken though it has not changed: whether
// those of a region that is not heard any more are kept depends on the time.
const hostsEvery = time.Second

// listsHosts reports whether a control host's list of entry hosts is to be taken: it changed,
// or another one's was taken since.
func (c *controlList) listsHosts(h *controlHost, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hostsOf == h && !h.have.hostsChanged && now.Sub(c.hostsAt) < hostsEvery {
		return false
	}
	c.hostsOf, c.hostsAt = h, now
	return true
}

// all returns the addresses of all control hosts that this host has heard of.
func (c *controlList) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allLocked()
}

func (c *controlList) allLocked() []string {
	out := append(slices.Clone(c.seeds), c.listed...)
	slices.Sort(out)
	return slices.Compact(out)
}

func (c *controlList) hostLocked(addr string) *controlHost {
	h := c.known[addr]
	if h == nil {
		h = &controlHost{addr: addr}
		c.known[addr] = h
	}
	return h
}

// take takes the list of a control host.
func (c *controlList) take(list []*pb.ControlHost) {
	if len(list) == 0 {
		return // unchanged
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.known {
		h.named = false
	}
	c.listed = c.listed[:0]
	for _, m := range list {
		c.listed = append(c.listed, m.Peer)
		h := c.hostLocked(m.Peer)
		h.named = m.Heard
		if m.FailureDomain != "" {
			h.domain = m.FailureDomain
		}
	}
	signal(c.news)
}

// signal wakes the one that waits on a channel with room for one signal. A signal that is
// not taken yet serves for all.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetSeeds replaces the seeds after the settings have changed.
func (g *Gateway) SetSeeds(seeds []string) {
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	g.control.seeds = seeds
}

// distance returns how far the control hosts of a failure domain are. Those whose failure
// domain is not known count as far for what they are told, and as near for being asked.
func (g *Gateway) distance(domain string) controlhosts.Distance {
	switch {
	case domain == g.o.FailureDomain:
		return controlhosts.SameDomain
	case g.o.Regions[domain] == g.o.Region:
		return controlhosts.SameRegion
	}
	return controlhosts.OtherRegion
}

// wanted returns the control hosts that are to be asked now.
func (g *Gateway) wanted() []*controlHost {
	now := g.o.Clock.Now()
	configured, age := g.config.Load() != nil, g.startup.Age(now)
	c := &g.control
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []controlhosts.Candidate
	for _, addr := range c.allLocked() {
		h := c.hostLocked(addr)
		if h.domain != "" && !c.heard.ShouldQuery(g.distance(h.domain), configured, age, now) {
			continue
		}
		candidates = append(candidates, controlhosts.Candidate{Address: addr, Domain: h.domain, ReportedLive: h.named, AvoidUntil: h.avoidUntil})
	}
	var out []*controlHost
	for _, chosen := range controlhosts.Choose(g.o.Host, candidates, now) {
		out = append(out, c.known[chosen.Address])
	}
	return out
}

// begin reports whether the caller is to ask a control host: no other goroutine does.
func (c *controlList) begin(h *controlHost) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.asked {
		return false
	}
	h.asked = true
	return true
}

func (c *controlList) end(h *controlHost, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.asked, h.idleSince = false, now
	signal(c.news)
}

// located reports whether it is known where a control host is.
func (c *controlList) located(h *controlHost) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return h.domain != ""
}

// linkKept is how long the link to a control host is kept that is not asked any more. Each
// link costs both ends keep-alives, and every entry host begins with the same few.
const linkKept = 3 * time.Second

// dropIdleLinks ends the links to control hosts that are not asked any more.
func (g *Gateway) dropIdleLinks() {
	if g.o.Drop == nil {
		return
	}
	now := g.o.Clock.Now()
	var idle []string
	g.control.mu.Lock()
	for addr, h := range g.control.known {
		if !h.asked && !h.idleSince.IsZero() && now.Sub(h.idleSince) >= linkKept {
			h.idleSince = time.Time{}
			idle = append(idle, addr)
		}
	}
	g.control.mu.Unlock()
	for _, addr := range idle {
		g.o.Drop(addr)
	}
}

// lookAgainIn returns when to look again which control hosts are to be asked, beside after
// news: seldom while the nearest ones answer.
func (g *Gateway) lookAgainIn() time.Duration {
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	if g.control.heard.Stable(g.o.Clock.Now()) {
		return calmPause
	}
	return syncPause
}

// calmPause with the age of an answer that is calm is less than the silence after which
// farther control hosts are asked.
const calmPause = 900 * time.Millisecond

// avoid lets the other control hosts of its failure domain go before one for a while.
func (c *controlList) avoid(h *controlHost, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.avoidUntil = now.Add(controlhosts.AvoidDuration)
}

// primary reports whether a control host owns this host's figures.
func (g *Gateway) primary(h *controlHost) bool {
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	return g.control.heard.ClaimPrimary(h.addr, g.distance(h.domain), g.o.Clock.Now())
}

// noteHeard notes a control host's answer. It reports whether what it tells of the fleet
// counts.
func (g *Gateway) noteHeard(h *controlHost, view *pb.FleetView) bool {
	now := g.o.Clock.Now()
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	h.domain = view.HomeDomain
	g.control.heard.RecordAnswer(h.addr, g.distance(h.domain), staleness(view), now)
	counts := g.control.heard.UsesFleetView(staleness(view), now)
	if counts {
		h.avoidUntil = time.Time{}
	} else {
		h.avoidUntil = now.Add(controlhosts.AvoidDuration)
	}
	return counts
}
