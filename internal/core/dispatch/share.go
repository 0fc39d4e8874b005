package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Hundreds of hosts send requests to the few servers of a plain service, each a request a
// second, on figures a quarter of a second old. A host that looks for the best server on
// its own sends where all others send, and sends to another region only when its own servers
// throw back. Here the hosts work out the same shares from the same figures: what callers of
// each region ask, what its servers can run, and what waits there already. Each request goes
// where a draw by these shares sends it (TestManyHostsShareASmallService).

// Figures of the sharing.
const (
	// usableCapacity is the part of their capacity up to which servers are given requests:
	// closer to it queues grow without bound.
	usableCapacity = 0.95
	// clearWithin is the time in which requests that wait for a slot should be worked off. It
	// is longer than the figures are old, so that the hosts together don't overshoot.
	clearWithin = 500 * time.Millisecond
	// figuresAge is how old the figures of the own region's servers are at most.
	figuresAge = 300 * time.Millisecond
	// shareLoss is what a place costs beyond its share: more than the way to another region,
	// less than a server that fails half of its requests.
	shareLoss = 0.5
	// orderLoss is what a server costs for each other one that was drawn before it.
	orderLoss = 0.1
	// nearFill is the share up to which the region's servers, and the slots of each, may be in
	// use for those of the own failure domain to go first.
	nearFill = 0.5
)

// pool is the servers of a plain service in one region.
type pool struct {
	region   string
	capacity float64 // requests a second that they can run
	arrivals float64 // requests a second from the region's own callers
	waiting  float64 // requests that wait for a slot
}

// surplus is how many requests a second the pool can take from other regions; below zero,
// how many it should give them.
func (p pool) surplus() float64 {
	return usableCapacity*p.capacity - p.arrivals - p.waiting/clearWithin.Seconds()
}

// share is the part of the own callers' requests that goes to another region.
type share struct {
	region string
	part   float64
}

// shareOut returns what the own region gives to others. Where all regions together ask for
// more than can be run, each one that has too much gives the same part of it.
func shareOut(own pool, others []pool) []share {
	excess := -own.surplus()
	if excess <= 0 || own.arrivals <= 0 {
		return nil
	}
	spare, wanted := 0.0, excess
	for _, p := range others {
		spare += math.Max(0, p.surplus())
		wanted += math.Max(0, -p.surplus())
	}
	given := math.Min(1, excess/own.arrivals) * math.Min(1, spare/wanted)
	var out []share
	for _, p := range others {
		if s := p.surplus(); s > 0 {
			out = append(out, share{p.region, given * s / spare})
		}
	}
	return out
}

// draw returns the region for a point between 0 and 1; own for the rest.
func draw(shares []share, point float64, own string) string {
	for _, s := range shares {
		if point -= s.part; point < 0 {
			return s.region
		}
	}
	return own
}

// preference is where the shares send one request. The zero preference is that of a request
// that is not shared out: no place costs anything beside its own cost.
type preference struct {
	turn  *Turn           // nil for the zero preference
	place map[*Server]int // of the region's servers, in the order in which they are preferred
}

// Turn is what sent a request for a plain service to one region, for the log.
type Turn struct {
	Region  string  // whose turn the request is
	Asked   float64 // requests a second from the own region's callers
	CanRun  float64 // requests a second that its servers can run
	Waiting float64 // requests that wait there for a slot
}

// preferenceFor draws where a request for a plain service goes. One that another region sent
// stays.
func (f *Fleet) preferenceFor(j *Job, now time.Time) preference {
	if j.Engine || f.off(Shares) {
		return preference{}
	}
	servers := f.warmServers(j.Service, now)
	for _, s := range servers {
		s.weighed = f.requestsAt(s, now)
	}
	here := f.poolHere(j.Service, servers, now)
	t := &Turn{f.o.Region, here.arrivals, here.capacity, here.waiting}
	place := f.order(servers, here)
	if !j.Forwarded {
		t.Region = draw(shareOut(here, f.poolsAway(j, now)), f.o.Random(), f.o.Region)
	}
	return preference{t, place}
}

// beyond is what a region costs when it is not its turn.
func (p preference) beyond(region string) float64 {
	if p.turn == nil || p.turn.Region == region {
		return 0
	}
	return shareLoss
}

// at is what a server of the own region costs by the order.
func (p preference) at(s *Server) float64 { return orderLoss * float64(p.place[s]) }

// perSlot is how many requests a second a slot runs.
func (f *Fleet) perSlot(service string) float64 { return 1000 / f.speedOf(service).AnswerMS() }

func (f *Fleet) poolHere(service string, servers []*Server, now time.Time) pool {
	slots, requests := 0, 0.0
	for _, s := range servers {
		slots += s.Slots
		requests += s.weighed
	}
	return pool{
		region: f.o.Region, capacity: float64(slots) * f.perSlot(service), arrivals: f.arrivals[service].perSecond(now),
		waiting: math.Max(0, requests-float64(slots)),
	}
}

// poolsAway returns the other regions' pools that may run the request, sorted by region.
func (f *Fleet) poolsAway(j *Job, now time.Time) []pool {
	var out []pool
	for key, r := range f.regions {
		if key.service == j.Service && r.servers > 0 && j.Permits(key.region) && now.Sub(r.at) <= regionSilence {
			out = append(out, f.poolAway(key, r))
		}
	}
	slices.SortFunc(out, func(a, b pool) int { return cmp.Compare(a.region, b.region) })
	return out
}

func (f *Fleet) poolAway(key regionKey, r *region) pool {
	return pool{
		region: key.region, capacity: r.slots * f.perSlot(key.service), arrivals: r.arrivals,
		waiting: math.Max(0, r.requests+float64(r.sent.requests)-r.slots),
	}
}

// warmServers returns the own region's servers of a service that can be used, sorted by ID.
func (f *Fleet) warmServers(service string, now time.Time) []*Server {
	return slices.DeleteFunc(f.ofService(service), func(s *Server) bool { return f.usable(s, now) != "" || s.cold(now) })
}

// order draws the order in which a plain service's servers of the own region are preferred.
// It returns the place of each. Until the next figures come, all hosts together bring the
// servers to the same level: each is drawn by what it lacks to that, so that a full server
// gets less, and not all goes to the emptiest (M. Dahlin, "Interpreting Stale Load
// Information", ICDCS 1999).
func (f *Fleet) order(servers []*Server, here pool) map[*Server]int {
	type drawn struct {
		server *Server
		near   bool
		key    float64
	}
	calm := here.arrivals < nearFill*here.capacity
	coming := math.Max(here.arrivals, here.capacity/2) * figuresAge.Seconds()
	level := fillLevel(servers, coming)
	list := make([]drawn, 0, len(servers))
	for _, s := range servers {
		fill := s.fill()
		near := calm && s.FailureDomain == f.o.FailureDomain && fill < nearFill
		lacks := math.Max(minLacks, (level-fill)*s.slots())
		// The smallest of exponential variates with these rates is drawn in proportion to them.
		list = append(list, drawn{s, near, -math.Log(1-f.o.Random()) / lacks})
	}
	slices.SortFunc(list, func(a, b drawn) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.key, b.key)
	})
	out := make(map[*Server]int, len(list))
	for i, d := range list {
		out[d.server] = i
	}
	return out
}

// minLacks keeps every server in the draw.
const minLacks = 0.1

// fill is the server's requests for each of its slots.
func (s *Server) fill() float64 { return s.weighed / s.slots() }

func (s *Server) slots() float64 { return float64(max(1, s.Slots)) }

// fillLevel returns the fill to which so many further requests bring the servers when the
// emptiest are filled first.
func fillLevel(servers []*Server, requests float64) float64 {
	byFill := slices.Clone(servers)
	slices.SortFunc(byFill, func(a, b *Server) int { return cmp.Compare(a.fill(), b.fill()) })
	level, slots := 0.0, 0.0
	for i, s := range byFill {
		if need := (s.fill() - level) * slots; i > 0 && need > requests {
			break
		} else if i > 0 {
			requests -= need
		}
		level = s.fill()
		slots += s.slots()
	}
	return level + requests/math.Max(1, slots)
}
