package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// controlList holds the control hosts that are configured as seeds or were listed by another
// control host.
type controlList struct {
	mu      sync.Mutex
	seeds   []string
	listed  []string // from the list that was received last
	byAddr  map[string]*controlHost
	answers controlhosts.Contacts
	// hostListFrom is the control host whose list of entry hosts was applied last, at hostListAt.
	hostListFrom *controlHost
	hostListAt   time.Time
	// changed wakes Run when the control hosts to sync with may have changed.
	changed         chan struct{}
	configConfirmed chan struct{} // closed and replaced when a control host has confirmed the configuration
}

// controlHost is the state of one control host. The fields up to idleSince are guarded by the
// list's mutex; the others belong to the goroutine that syncs with the control host.
type controlHost struct {
	addr         string
	domain       string // its failure domain; "" until known
	reportedLive bool   // other control hosts report that it is alive
	avoidUntil   time.Time
	syncing      bool // a goroutine runs syncLoop for it
	// idleSince is when the last syncLoop for it returned; zero if its link was closed since.
	idleSince time.Time

	state    viewState
	logState controlLogState
	// sentAll is set once the control host has received all quarantine records of this host, and
	// sentRevision is the table's revision up to which it has.
	sentAll      bool
	sentRevision uint64
	// sentLimits is the version of this host's limits of servers up to which it has them; 0 for none.
	sentLimits uint64
	// sentStreams is the position in this host's log of streams' origins up to which it has them.
	sentStreams uint64
}

// hostListInterval is the interval at which an unchanged list of entry hosts is applied again:
// whether the hosts of a region without recent reports are kept depends on the time.
const hostListInterval = time.Second

// needsHostList reports whether a control host's list of entry hosts is to be applied, and
// records that it is: the list has changed, another control host's was applied last, or
// hostListInterval has passed.
func (c *controlList) needsHostList(h *controlHost, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hostListFrom == h && !h.state.hostsChanged && now.Sub(c.hostListAt) < hostListInterval {
		return false
	}
	c.hostListFrom, c.hostListAt = h, now
	return true
}

// all returns the addresses of all seeds and listed control hosts.
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
	h := c.byAddr[addr]
	if h == nil {
		h = &controlHost{addr: addr}
		c.byAddr[addr] = h
	}
	return h
}

// update replaces the listed control hosts by a list that one of them sent.
func (c *controlList) update(list []*pb.ControlHost) {
	if len(list) == 0 {
		return // unchanged
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.byAddr {
		h.reportedLive = false
	}
	c.listed = c.listed[:0]
	for _, m := range list {
		c.listed = append(c.listed, m.Peer)
		h := c.hostLocked(m.Peer)
		h.reportedLive = m.Heard
		if m.FailureDomain != "" {
			h.domain = m.FailureDomain
		}
	}
	signal(c.changed)
}

// signal wakes the receiver of a channel with a buffer of one. It does nothing if a signal is
// pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (g *Gateway) SetSeeds(seeds []string) {
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	g.control.seeds = seeds
}

// distance returns how far away the control hosts of a failure domain are. An unknown failure
// domain counts as one of another region; syncTargets includes its control hosts nevertheless.
func (g *Gateway) distance(domain string) controlhosts.Distance {
	switch {
	case domain == g.o.FailureDomain:
		return controlhosts.SameDomain
	case g.o.Regions[domain] == g.o.Region:
		return controlhosts.SameRegion
	}
	return controlhosts.OtherRegion
}

// syncTargets returns the control hosts to sync with now.
func (g *Gateway) syncTargets() []*controlHost {
	now := g.o.Clock.Now()
	configured, age := g.config.Load() != nil, g.startup.Age(now)
	c := &g.control
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []controlhosts.Candidate
	for _, addr := range c.allLocked() {
		h := c.hostLocked(addr)
		if h.domain != "" && !c.answers.ShouldQuery(g.distance(h.domain), configured, age, now) {
			continue
		}
		candidates = append(candidates, controlhosts.Candidate{Address: addr, Domain: h.domain, ReportedLive: h.reportedLive, AvoidUntil: h.avoidUntil})
	}
	var out []*controlHost
	for _, chosen := range controlhosts.Choose(g.o.Host, candidates, now) {
		out = append(out, c.byAddr[chosen.Address])
	}
	return out
}

// beginSync reports whether the caller may run syncLoop for a control host, because no other
// goroutine does.
func (c *controlList) beginSync(h *controlHost) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.syncing {
		return false
	}
	h.syncing = true
	return true
}

func (c *controlList) endSync(h *controlHost, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.syncing, h.idleSince = false, now
	signal(c.changed)
}

// domainOf returns the failure domain of a control host; "" until it is known.
func (c *controlList) domainOf(h *controlHost) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return h.domain
}

// idleLinkTimeout is how long the link to a control host stays open after its last sync. Each
// link costs keep-alive messages on both hosts, and every entry host starts with the same few
// seeds.
const idleLinkTimeout = 3 * time.Second

// dropIdleLinks closes the links to control hosts without a sync for idleLinkTimeout.
func (g *Gateway) dropIdleLinks() {
	if g.o.CloseLink == nil {
		return
	}
	now := g.o.Clock.Now()
	var idle []string
	g.control.mu.Lock()
	for addr, h := range g.control.byAddr {
		if !h.syncing && !h.idleSince.IsZero() && now.Sub(h.idleSince) >= idleLinkTimeout {
			h.idleSince = time.Time{}
			idle = append(idle, addr)
		}
	}
	g.control.mu.Unlock()
	for _, addr := range idle {
		g.o.CloseLink(addr)
	}
}

// nextCheckIn returns the interval until Run determines the sync targets again, unless it is
// signaled before. The interval is longer while the nearest control hosts answer and are up to
// date.
func (g *Gateway) nextCheckIn() time.Duration {
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	if g.control.answers.Stable(g.o.Clock.Now()) {
		return steadyCheckInterval
	}
	return syncRetryDelay
}

// steadyCheckInterval is shorter than controlhosts.ContactTimeout, the time without an answer
// after which farther control hosts are queried.
const steadyCheckInterval = 900 * time.Millisecond

// avoid gives the other control hosts of the same failure domain precedence over one for
// controlhosts.AvoidDuration.
func (c *controlList) avoid(h *controlHost, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.avoidUntil = now.Add(controlhosts.AvoidDuration)
}

// isPrimary reports whether a control host is this host's primary, which alone receives its
// loads; see controlhosts.Contacts.ClaimPrimary.
func (g *Gateway) isPrimary(h *controlHost) bool {
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	return g.control.answers.ClaimPrimary(h.addr, g.distance(h.domain), g.o.Clock.Now())
}

// recordAnswer records a control host's answer. It reports whether the entry hosts and the other
// regions in its view are to be used.
func (g *Gateway) recordAnswer(h *controlHost, view *pb.FleetView) bool {
	now := g.o.Clock.Now()
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	h.domain = view.HomeDomain
	g.control.answers.RecordAnswer(h.addr, g.distance(h.domain), staleness(view), now)
	counts := g.control.answers.UsesFleetView(staleness(view), now)
	if counts {
		h.avoidUntil = time.Time{}
	} else {
		h.avoidUntil = now.Add(controlhosts.AvoidDuration)
	}
	return counts
}
