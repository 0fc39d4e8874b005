package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Hundreds of entry hosts may send requests to the few servers of a plain service, each about
// one request per second, on load figures that are a quarter of a second old. If each host
// chose the best server by itself, all would choose the same one, and requests would go to
// another region only after the own servers have rejected them. Instead, all hosts compute the
// same shares from the same figures: the arrivals from each region's callers, the capacity of
// each region's servers, and the requests already waiting there. A random draw by these shares
// decides where each request goes (TestManyHostsShareASmallService).

// Parameters of the sharing.
const (
	// usableCapacity is the fraction of their capacity up to which servers are given requests:
	// closer to it queues grow without bound.
	usableCapacity = 0.95
	// queueDrainTime is the time in which queued requests should be processed. It is longer than
	// the age of the figures, so that the hosts together do not overshoot.
	queueDrainTime = 500 * time.Millisecond
	// maxLoadAge is the maximum age of the load figures of the own region's servers.
	maxLoadAge = 300 * time.Millisecond
	// unassignedRegionLoss is the loss of sending a request to a region other than the drawn
	// one: more than that of the delay to another region, less than that of a server that fails
	// half of its requests.
	unassignedRegionLoss = 0.5
	// orderLoss is the loss of a server for each other one that ranks before it.
	orderLoss = 0.1
	// ownDomainMaxFill is the utilization of the region's capacity, and of a server's slots,
	// below which servers of the own failure domain are preferred.
	ownDomainMaxFill = 0.5
)

// pool summarizes the servers of a plain service in one region.
type pool struct {
	region   string
	capacity float64 // in requests per second
	arrivals float64 // forecast of the requests per second from the region's own callers
	waiting  float64 // requests waiting for a slot
}

// surplus returns the requests per second that the pool can take from other regions; if
// negative, the requests per second that it should send to them.
func (p pool) surplus() float64 {
	return usableCapacity*p.capacity - p.arrivals - p.waiting/queueDrainTime.Seconds()
}

// regionShare is the fraction of the own callers' requests that goes to another region.
type regionShare struct {
	region string
	part   float64
}

// excessShares returns the shares of requests that the own region sends to others. If all
// regions together receive more than their servers can run, each overloaded region sends away
// the same fraction of its excess.
func excessShares(own pool, others []pool) []regionShare {
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
	var out []regionShare
	for _, p := range others {
		if s := p.surplus(); s > 0 {
			out = append(out, regionShare{p.region, given * s / spare})
		}
	}
	return out
}

// drawRegion returns the region that a point in [0, 1) falls to; own if it falls to none of the
// shares.
func drawRegion(shares []regionShare, point float64, own string) string {
	for _, s := range shares {
		if point -= s.part; point < 0 {
			return s.region
		}
	}
	return own
}

// preference is the result of the random draw for one request. The zero preference, of a
// request that is not distributed by shares, adds no loss to any candidate.
type preference struct {
	draw *RegionDraw     // nil in the zero preference
	rank map[*Server]int // position of each server of the own region, most preferred first
}

// RegionDraw is the region drawn for a request for a plain service, with the figures of the own
// region that led to it, for the log.
type RegionDraw struct {
	Region            string  // the drawn region
	ArrivalsPerSecond float64 // requests per second from the own region's callers
	CapacityPerSecond float64 // requests per second that the own region's servers can run
	Waiting           float64 // requests waiting for a slot in the own region
}

// preferenceFor draws the region and the order of servers for a request for a plain service. A
// request that another region forwarded stays in the own region.
func (f *Fleet) preferenceFor(j *Job, now time.Time) preference {
	if j.Engine || f.disabled(Shares) {
		return preference{}
	}
	servers := f.warmServers(j.Service, now)
	for _, s := range servers {
		s.estimatedRequests = f.requestsAt(s, now)
		s.estimatedWork = f.workFactor(s, now)
		s.estimatedSlots = f.slowStartSlots(s, f.limitedSlots(s, f.requestsPerSlot(j.Service, false)/s.estimatedWork), now)
	}
	own := f.ownPool(j.Service, servers, now)
	t := &RegionDraw{f.o.Region, own.arrivals, own.capacity, own.waiting}
	rank := f.rankServers(servers, own)
	if !j.Forwarded {
		t.Region = drawRegion(excessShares(own, f.otherPools(j, now)), f.o.Random(), f.o.Region)
	}
	return preference{t, rank}
}

// regionLoss returns the loss of sending the request to a region, which is 0 for the drawn one.
func (p preference) regionLoss(region string) float64 {
	if p.draw == nil || p.draw.Region == region {
		return 0
	}
	return unassignedRegionLoss
}

// drew reports whether a region was drawn for the request.
func (p preference) drew(region string) bool { return p.draw != nil && p.draw.Region == region }

// serverLoss returns the loss of a server of the own region by its rank.
func (p preference) serverLoss(s *Server) float64 { return orderLoss * float64(p.rank[s]) }

// requestsPerSlot returns the number of requests that a slot of the service runs per second.
func (f *Fleet) requestsPerSlot(service string, engine bool) float64 {
	if engine {
		return 1000 / f.speedOf(service).HoldMS()
	}
	return 1000 / f.speedOf(service).AnswerMS()
}

func (f *Fleet) ownPool(service string, servers []*Server, now time.Time) pool {
	slots, usual, requests := 0.0, 0.0, 0.0
	for _, s := range servers {
		slots += s.usableSlots()
		usual += s.usualSlots()
		requests += s.estimatedRequests
	}
	return pool{
		region: f.o.Region, capacity: usual * f.requestsPerSlot(service, false), arrivals: f.arrivals[service].forecast(now),
		waiting: math.Max(0, requests-slots),
	}
}

// otherPools returns the pools of the other regions that may run the request, sorted by region.
func (f *Fleet) otherPools(j *Job, now time.Time) []pool {
	var out []pool
	for key, r := range f.regions {
		if key.service == j.Service && r.servers+r.limitedServers > 0 && j.Permits(key.region) && now.Sub(r.asOf) <= maxRegionAge {
			out = append(out, f.otherPool(key, r, now))
		}
	}
	slices.SortFunc(out, func(a, b pool) int { return cmp.Compare(a.region, b.region) })
	return out
}

func (f *Fleet) otherPool(key regionKey, r *region, now time.Time) pool {
	perSlot := f.requestsPerSlot(key.service, false) * f.workTimesOf(key.service, now).MeanSpeed()
	_, slots := r.capacity(perSlot)
	return pool{
		region: key.region, capacity: slots * perSlot, arrivals: r.trend.forecast(now),
		waiting: math.Max(0, r.requests+float64(r.forwarded.requests)-slots),
	}
}

// warmServers returns the usable servers of a service in the own region that are not cold,
// sorted by ID.
func (f *Fleet) warmServers(service string, now time.Time) []*Server {
	return slices.DeleteFunc(f.serversOf(service), func(s *Server) bool { return !f.isWarm(s, now) })
}

// isWarm reports whether a server is usable and not cold.
func (f *Fleet) isWarm(s *Server, now time.Time) bool {
	return f.usable(s, now) == "" && !f.cold(s, now)
}

// rankServers draws a random order of preference of a plain service's servers in the own
// region, and returns the rank of each. Until the next figures arrive, all hosts together fill
// the servers to the same level. Each server is drawn in proportion to the requests that it
// lacks to that level, so that a full server gets fewer requests, but not all of them go to the
// emptiest one (M. Dahlin, "Interpreting Stale Load Information", ICDCS 1999).
func (f *Fleet) rankServers(servers []*Server, own pool) map[*Server]int {
	type rankedServer struct {
		server    *Server
		preferred bool
		key       float64
	}
	lightLoad := own.arrivals < ownDomainMaxFill*own.capacity
	expected := math.Max(own.arrivals, own.capacity/2) * maxLoadAge.Seconds()
	level := fillLevel(servers, expected)
	list := make([]rankedServer, 0, len(servers))
	for _, s := range servers {
		fill := s.fill()
		preferred := lightLoad && s.FailureDomain == f.o.FailureDomain && fill < ownDomainMaxFill
		deficit := math.Max(minDeficit, (level-fill)*s.usualSlots())
		// The smallest of several exponential variates belongs to each server with a
		// probability proportional to its rate, which is the deficit here.
		list = append(list, rankedServer{s, preferred, -math.Log(1-f.o.Random()) / deficit})
	}
	slices.SortFunc(list, func(a, b rankedServer) int {
		if a.preferred != b.preferred {
			if a.preferred {
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

// minDeficit is the deficit of a full server, in requests: it keeps every server in the draw.
const minDeficit = 0.1

// fill returns the estimated number of requests per slot of the server.
func (s *Server) fill() float64 { return s.estimatedRequests / s.usableSlots() }

func (s *Server) slots() float64 { return float64(max(1, s.Slots)) }

// usableSlots returns the slots that the server's limit leaves to requests, as estimated for the last choice.
func (s *Server) usableSlots() float64 {
	if s.estimatedSlots > 0 {
		return s.estimatedSlots
	}
	return s.slots()
}

// usualSlots returns the number of slots of a server with factor 1 that run as many requests per second as the
// server's usable slots.
func (s *Server) usualSlots() float64 {
	if s.estimatedWork > 0 {
		return s.usableSlots() / s.estimatedWork
	}
	return s.usableSlots()
}

// fillLevel returns the fill that the servers reach with so many further requests if the
// emptiest servers are filled first.
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
		slots += s.usualSlots()
	}
	return level + requests/math.Max(1, slots)
}
