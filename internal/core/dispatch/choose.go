package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Job is a request as far as the choice needs it.
type Job struct {
	Service string
	// Engine is set when the service's servers are model engines.
	Engine bool
	// MemoryTokens is the size of an engine's KV cache.
	MemoryTokens float64
	// CopyPerMS is how fast an engine copies KV cache from another, in tokens per ms;
	// 0 when engines don't.
	CopyPerMS float64
	// Parts is the prompt's chain, the request's own part last.
	Parts  []Part
	Prompt float64 // tokens of the prompt
	Output float64 // tokens expected
	// Permits tells whether servers of a region may run the request.
	Permits func(region string) bool
	// Remaining is the time until the caller gives up.
	Remaining time.Duration
	// Target is the time within which the caller expects the first byte.
	Target time.Duration
	// Tried names the servers and regions that failed for this request.
	Tried map[string]bool
	// Forwarded is set when the request came from an entry host of another region.
	Forwarded bool
	// Ends is the number of servers that ended while they ran the request, as far as known.
	Ends int
	// ColdPerSecond is the rate that a cold server tolerates.
	ColdPerSecond float64
}

// Considered is a place that was weighed, for the log.
type Considered struct {
	Name       string
	EstimateMS float64
	Reason     string // why it was passed over; empty when it could be chosen
}

// Choice is where a request goes.
type Choice struct {
	Server     *Server // nil with another region, or when refused
	Host       *Host   // entry host of another region
	EstimateMS float64 // expected time to the first byte
	Uncovered  float64 // prompt tokens that the server has to read
	// CopyFrom is the address of the engine from which the server copies shared parts
	// of the prompt; "" for none.
	CopyFrom string
	// Turn is how a request for a plain service was shared out; nil for others.
	Turn *Turn
	// Deferred is set when the first byte is late in any case: the request waits behind
	// those that can still be in time.
	Deferred   bool
	Considered []Considered
	// Refused says why there is no place; RetryAfter is when one is expected. OutOfReach is
	// set when no server can be used at all.
	Refused    string
	OutOfReach bool
	RetryAfter time.Duration

	// ahead is the prompt tokens that were to be read before at the server, and crowd how many
	// times longer than with free slots a plain answer takes there.
	ahead float64
	crowd float64
	loss  float64
	job   *Job
	key   regionKey
	read  bool // the first byte has come
	began time.Time
}

// Figures of the estimate.
const (
	// releasePerMS is how many tokens of KV cache a busy engine frees per ms: a
	// hundred requests of 1,000 tokens that run 1.5 s each.
	releasePerMS = 60.0
	// errorLoss is what a certain failure costs.
	errorLoss = 2.0
	// stalledLoss is what a server costs that sends nothing on any request.
	stalledLoss = 3.0
	// tieBreak spreads requests over places of nearly the same cost.
	tieBreak = 0.02
	// crossingLoss and crossingLongLoss are what the bytes of a short request and of a long
	// prompt cost that go to another failure domain.
	crossingLoss     = 0.04
	crossingLongLoss = 0.1
	// interRegionMS is the way to another region and back, in ms.
	interRegionMS = 165.0
	// awayLoss is what sending a prompt to another region costs besides its time: bytes
	// between regions, and figures of the other region that are old when they come. Less
	// makes regions send to each other and back for no gain.
	awayLoss = 0.5
	// minRetry is the shortest time to come back: a few answers later.
	minRetry = 300 * time.Millisecond
	// unknownRetry is the time to come back when nothing is known of any server:
	// a region's servers that crashed are back after a few seconds.
	unknownRetry = 4 * time.Second
)

// Choose returns where the request goes now.
func (f *Fleet) Choose(j *Job, now time.Time) Choice {
	c := Choice{job: j, loss: math.Inf(1)}
	prefer := f.preferenceFor(j, now)
	c.Turn = prefer.turn
	if j.Permits(f.o.Region) {
		f.chooseServer(j, &c, prefer, now)
	}
	if !j.Forwarded && !f.off(OtherRegions) {
		f.chooseRegion(j, &c, prefer, now)
	}
	if c.Server == nil && c.Host == nil {
		c.Refused, c.RetryAfter, c.OutOfReach = "no backend server in reach", f.backIn(j, now), true
		return c
	}
	if wait := time.Duration(c.EstimateMS * float64(time.Millisecond)); wait > j.Remaining {
		c.Refused, c.Server, c.Host = "the answer is expected after the deadline", nil, nil
		c.RetryAfter = j.retryWithin(wait - j.Remaining)
	}
	return c
}

// backIn returns when a server can probably be used again: a cold one is warm, a
// failing one is asked again; for the rest nobody knows.
func (f *Fleet) backIn(j *Job, now time.Time) time.Duration {
	in := unknownRetry
	for _, s := range f.ofService(j.Service) {
		if s.Leaving || slices.Contains(f.evacuated, s.FailureDomain) || !j.Permits(f.o.Region) {
			continue
		}
		in = min(in, max(s.ColdUntil.Sub(now), s.health.closedUntil.Sub(now), minRetry))
	}
	return j.retryWithin(in)
}

// retryWithin keeps a time to come back within what the caller can wait: one who
// comes later than a third of its time has too little left.
func (j *Job) retryWithin(d time.Duration) time.Duration {
	return min(max(d, minRetry), max(j.Remaining/3, minRetry))
}

func (f *Fleet) chooseServer(j *Job, c *Choice, prefer preference, now time.Time) {
	var cold []*Server
	k := f.keepersOf(j, now)
	beyond := prefer.beyond(f.o.Region)
	for _, s := range f.candidates(j, k, now) {
		if j.Tried[s.ID] {
			continue
		}
		if reason := f.usable(s, now); reason != "" {
			c.Considered = append(c.Considered, Considered{s.ID, 0, reason})
			continue
		}
		if s.cold(now) {
			cold = append(cold, s)
			continue
		}
		f.offer(s, j, c, k, beyond+prefer.at(s), now)
	}
	// A cold server is used when no warm one can take the request in time.
	if c.Server != nil && c.EstimateMS < float64(j.Target.Milliseconds()) {
		return
	}
	for _, s := range cold {
		if !f.coldAllowed(s, j, now) {
			c.Considered = append(c.Considered, Considered{s.ID, 0, "cold"})
			continue
		}
		f.offer(s, j, c, k, beyond+prefer.at(s), now)
	}
}

// offer weighs a server against the best so far. share is what it costs beside its own cost.
func (f *Fleet) offer(s *Server, j *Job, c *Choice, keep keepers, share float64, now time.Time) {
	shared := float64(sharedTokens(j.Parts))
	covered := f.covered(s, j, keep, now)
	from, copied := f.copySource(s, j, keep, shared-covered, now)
	covered += copied
	uncovered := math.Max(0, j.Prompt-covered)
	hidden := f.hidden(j.Service, now)
	k := f.costAt(s, j, uncovered, math.Max(0, shared-covered), now)
	k.addCopy(j, copied)
	k.loss += f.crossing(s, j) + share + f.endLoss(s, j)
	late := !f.off(Deferral) && k.deferLate(float64(s.deferred)+hidden*float64(s.othersDeferred), s, j, f.speedOf(j.Service).HoldMS())
	k.loss += f.o.Random() * tieBreak
	c.Considered = append(c.Considered, Considered{s.ID, k.firstMS, ""})
	if k.loss < c.loss {
		c.Server, c.EstimateMS, c.loss, c.Uncovered, c.CopyFrom = s, k.firstMS, k.loss, uncovered, from
		c.Deferred = late
		c.ahead, c.crowd = s.own.prompt+hidden*s.others.prompt, crowd(f.requestsAt(s, now), float64(max(1, s.Slots)))
	}
}

// crossing is what the bytes between failure domains cost that a server of another one
// brings. Without it half of the requests cross in a region of two.
func (f *Fleet) crossing(s *Server, j *Job) float64 {
	switch {
	case s.FailureDomain == f.o.FailureDomain, f.off(OwnDomainFirst):
		return 0
	case j.isLong():
		return crossingLongLoss
	}
	return crossingLoss
}

// costAt is the cost of the request at a server of the own region.
func (f *Fleet) costAt(s *Server, j *Job, uncovered, reread float64, now time.Time) cost {
	requests, hidden := f.requestsAt(s, now), f.hidden(j.Service, now)
	slots := float64(max(1, s.Slots))
	unhealthy := s.health.errors.now(now) * errorLoss
	excess := s.health.excess.now(now)
	if f.off(Health) {
		unhealthy, excess = 0, 0
	}
	if s.stalled(now) && !f.off(Silence) {
		unhealthy += stalledLoss
	}
	learned := f.speedOf(j.Service)
	if !j.Engine {
		k := serviceCost(requests, slots, learned.AnswerMS(), j)
		if !f.off(Shares) {
			k.loss = 0 // the shares weigh the load
		}
		return cost{k.loss + unhealthy + excess/1000*delayLoss, k.firstMS + excess}
	}
	k := promptCost(engineState{
		requests: requests, slots: slots, pendingMS: (s.own.prompt + hidden*s.others.prompt) / learned.Rate(),
		busy:   (s.reading.now(now) + hidden*s.othersReading) / 1000,
		memory: s.own.memory + hidden*s.others.memory, memoryCapacity: j.MemoryTokens, off: f.o.Off,
	}, j, uncovered, reread, learned)
	return cost{k.loss + unhealthy + shortLoss*lateRisk(k.firstMS+excess, j.Target) - shortLoss*lateRisk(k.firstMS, j.Target), k.firstMS}
}

// serviceCost is the cost of a request at a plain service
// whose answers take answerMS while it has free slots.
func serviceCost(requests, slots, answerMS float64, j *Job) cost {
	ms := answerMS*crowd(requests, slots) + answerMS*requests/slots/2
	return cost{ms/1000*delayLoss + lateRisk(ms, j.Target), ms}
}

// crowd is how many times longer than with free slots an answer takes.
func crowd(requests, slots float64) float64 { return 1 + math.Max(0, requests+1-slots)/slots }

// chooseRegion sends the request to another region when that is better by the
// margin, or when nothing here can take it.
func (f *Fleet) chooseRegion(j *Job, c *Choice, prefer preference, now time.Time) {
	var names []string
	for name := range f.hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if !j.Permits(name) || j.Tried[name] {
			continue
		}
		key := regionKey{name, j.Service}
		r := f.regions[key]
		if r == nil || r.servers == 0 {
			continue
		}
		if now.Sub(r.at) > regionSilence {
			c.Considered = append(c.Considered, Considered{name, 0, "not heard lately"})
			continue
		}
		h := f.pickHost(name, j, now)
		if h == nil {
			c.Considered = append(c.Considered, Considered{name, 0, "no entry host in reach"})
			continue
		}
		k, uncovered := f.costAway(r, j, now)
		k.loss += prefer.beyond(name) + f.endLossAway(r, j)
		c.Considered = append(c.Considered, Considered{name, k.firstMS, ""})
		if k.loss < c.loss {
			c.Server, c.Host, c.EstimateMS, c.loss, c.key = nil, h, k.firstMS, k.loss, key
			c.Uncovered, c.CopyFrom, c.Deferred = uncovered, "", false
		}
	}
}

// costAway is the cost in another region, at its mean server, and the prompt
// tokens that are probably read there.
func (f *Fleet) costAway(r *region, j *Job, now time.Time) (k cost, uncovered float64) {
	requests := (r.requests + float64(r.sent.requests)) / r.servers
	slots := math.Max(1, r.slots/r.servers)
	learned := f.speedOf(j.Service)
	if !j.Engine {
		k = serviceCost(requests, slots, learned.AnswerMS(), j)
		away := k.firstMS + interRegionMS
		late := lateRisk(away, j.Target) - lateRisk(k.firstMS, j.Target)
		if f.off(Shares) {
			k.loss += awayLoss
		}
		return cost{k.loss + crossingLoss + interRegionMS/1000*delayLoss + late, away}, 0
	}
	reread := f.rereadAway(r, j, now)
	uncovered = j.Prompt - float64(sharedTokens(j.Parts)) + reread
	pending := (r.prompt + r.sent.prompt) / r.servers / learned.Rate()
	k = promptCost(engineState{
		requests: requests, slots: slots, pendingMS: pending + interRegionMS,
		memory: (r.memory + r.sent.memory) / r.servers, memoryCapacity: j.MemoryTokens, off: f.o.Off,
	}, j, uncovered, reread, learned)
	k.loss += awayLoss
	return k, uncovered
}

// pickHost returns an entry host of the region at random, without those that
// could not be reached lately.
func (f *Fleet) pickHost(name string, j *Job, now time.Time) *Host {
	var live []*Host
	for _, h := range f.hosts[name] {
		if now.After(h.suspectUntil) && !j.Tried[h.ID] {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[int(f.o.Random()*float64(len(live)))%len(live)]
}

func (f *Fleet) ofService(service string) []*Server {
	var out []*Server
	for _, s := range f.servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
