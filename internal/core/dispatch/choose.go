package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/enginememory"
)

// Job describes a request for the choice of a server.
type Job struct {
	Service string
	// Engine is set if the service's servers are model engines; otherwise the service is a
	// plain one.
	Engine bool
	// MemoryTokens is the size of an engine's KV cache, in tokens.
	MemoryTokens float64
	// CopyTokensPerMS is the rate at which an engine copies KV cache from another engine, in tokens
	// per ms; 0 if the engines cannot copy.
	CopyTokensPerMS float64
	// Parts are the parts of the prompt in order; the last one is specific to the request.
	Parts        []Part
	PromptTokens float64 // length of the prompt, in tokens
	OutputTokens float64 // expected length of the answer, in tokens
	// Permits reports whether servers of a region may run the request.
	Permits func(region string) bool
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// EndWithin is the time in which the answer must be complete because this host stops; 0 for no limit.
	EndWithin time.Duration
	// Target is the time within which the first byte of the answer should reach the caller.
	Target time.Duration
	// GapTarget is the longest pause between the events of a stream with which its answer is still on time; 0
	// for none.
	GapTarget time.Duration
	// Tried is the set of server IDs, region names and entry host IDs at which this request has
	// failed.
	Tried map[string]bool
	// Forwarded is set if an entry host of another region forwarded the request.
	Forwarded bool
	// ServerCrashes is the number of server processes recorded as crashed while running the
	// request.
	ServerCrashes int
	// Release is set if the request goes on with a stream that a server of this software version began. Only
	// servers of that version may run it.
	Release *string
	// Connected reports whether this host has an open connection to the server at an address. It is required
	// with Release.
	Connected func(address string) bool
	// ProofWait is the time that the proof takes which process listens at a server's address, if this host is not
	// connected to it. Servers whose IDs are used again need the proof to go on with a stream.
	ProofWait time.Duration
	// Priority is the urgency of the request: 0 is the most urgent.
	Priority int
	// Classes is the number of urgency classes of the service, and Class the index of the request's, 0 being the
	// most urgent; 0 classes if requests of the service are not ordered.
	Class, Classes int
	// notLessUrgent is the fraction of the service's work that is of the request's class or of a more urgent one,
	// as of the last choice.
	notLessUrgent float64
	// memory is the result of memoryRequest; nil before its first call.
	memory *enginememory.Request
	// ColdPerSecond is the rate of requests that a cold server tolerates, per second; 0 for no
	// limit.
	ColdPerSecond float64
}

// Candidate is a server or region that was evaluated for a request, for the log.
type Candidate struct {
	Name       string
	EstimateMS float64
	Reason     string // why it was excluded; empty if it was eligible
}

// Choice is the decision where a request is sent.
type Choice struct {
	Server          *Server // nil if the request goes to another region or is refused
	Host            *Host   // entry host of another region
	EstimateMS      float64 // expected time to the first byte, in ms
	UncoveredTokens float64 // prompt tokens expected not to be cached at the server
	// CopyFrom is the address of the engine from which the server copies the KV cache of shared
	// parts of the prompt; "" for none.
	CopyFrom string
	// RegionDraw is the region drawn for a request for a plain service; nil for requests to
	// engines.
	RegionDraw *RegionDraw
	// Deferred is set if the first byte is expected after the target at the chosen server. The
	// server then queues the request behind those that can still meet their target.
	Deferred   bool
	Considered []Candidate
	// Refused is the reason why the request is refused, "" if it is sent, and RetryAfter the
	// time after which the caller should retry. NoUsableServer is set if no server is usable at
	// all, and ServersPaused if one of them would be usable without a pause.
	Refused        string
	NoUsableServer bool
	ServersPaused  bool
	// Outlasts is set if the request is refused because its answer is expected to end after Job.EndWithin.
	Outlasts   bool
	RetryAfter time.Duration

	// tokensAhead is the number of prompt tokens queued at the server before this request.
	// slowdown is the factor by which load at the server lengthens the answer of a plain
	// service.
	tokensAhead   float64
	slowdown      float64
	workFactor    float64 // of the server at the choice
	loss          float64
	job           *Job
	key           regionKey
	slower        float64 // ratio of the server's factor at the first byte to workFactor, at least 1
	firstByteSeen bool    // the first byte of the answer has arrived
	startedAt     time.Time
	fill          enginememory.Fill // of the chosen server or region
	sawFull       bool              // a candidate of the own region was full
	anyFill       bool              // full engines count as having room: those with room answer after the deadline
	limited       bool              // a server was excluded by its limit
	paused        bool              // a server of the own region has asked for a pause
	limitRevision uint64            // revision of the server's limit that was known when the request was sent
}

// Parameters of the estimate. A loss is in the unit described in cost.go.
const (
	// kvReleaseTokensPerMS is the rate at which a busy engine frees KV cache, in tokens per ms:
	// about 100 running requests of 1,000 tokens that take 1.5 s each.
	kvReleaseTokensPerMS = 60.0
	// errorLoss is the loss of a request that is certain to fail.
	errorLoss = 2.0
	// stalledLoss is the loss of choosing a stalled server: one that sends nothing on any
	// request.
	stalledLoss = 3.0
	// tieBreakLoss is the range of a random loss that spreads requests over candidates of
	// nearly equal loss.
	tieBreakLoss = 0.02
	// crossDomainLoss and crossDomainLongLoss are the losses for the network traffic to another
	// failure domain, of a short request and of one with a long prompt.
	crossDomainLoss     = 0.04
	crossDomainLongLoss = 0.1
	// interRegionRTTMS is the round-trip time to another region, in ms.
	interRegionRTTMS = 165.0
	// crossRegionLoss is the loss of sending a prompt to another region besides the delay: it
	// stands for the network traffic and for load figures that are out of date when they
	// arrive. With a lower value regions forward requests to each other and back without
	// benefit.
	crossRegionLoss = 0.5
	// minRetryAfter is the shortest time after which a caller is asked to retry: enough for a
	// few requests to complete.
	minRetryAfter = 300 * time.Millisecond
	// defaultRetryAfter applies if no server indicates when it will be usable: servers of a
	// region that crashed are back after a few seconds.
	defaultRetryAfter = 4 * time.Second
)

// Choose returns where to send the request.
func (f *Fleet) Choose(j *Job, now time.Time) Choice {
	c := Choice{job: j, loss: math.Inf(1)}
	f.updateUrgencyShare(j, now)
	prefer := f.preferenceFor(j, now)
	c.RegionDraw = prefer.draw
	if j.Permits(f.o.Region) {
		f.chooseServer(j, &c, prefer, now)
	}
	if c.Server != nil {
		c.loss -= f.poolLoss(c.Server, j, now)
	}
	if !j.Forwarded && !f.disabled(OtherRegions) {
		f.chooseRegion(j, &c, prefer, now)
	}
	if c.Server == nil && c.Host == nil && c.limited {
		c.Refused, c.RetryAfter, c.NoUsableServer = "all servers in reach are at their limits", f.refuseAtLimits(j, now), true
		return c
	}
	if c.Server == nil && c.Host == nil && (c.paused || f.hostsPaused(j, now)) {
		c.Refused, c.RetryAfter, c.ServersPaused = "no backend server in reach that has not asked for a pause", f.retryAfterPauses(j, now), true
		return c
	}
	if c.Server == nil && c.Host == nil {
		c.Refused, c.RetryAfter, c.NoUsableServer = j.noServerReason(), f.retryAfterNoServer(j, now), true
		return c
	}
	if wait := time.Duration(c.EstimateMS * float64(time.Millisecond)); wait > j.Remaining {
		c.Refused, c.Server, c.Host = "the answer is expected after the deadline", nil, nil
		c.RetryAfter = j.boundRetryAfter(wait - j.Remaining)
		return c
	}
	if j.EndWithin > 0 && f.answerTime(&c) > j.EndWithin {
		c.Refused, c.Outlasts, c.Server, c.Host = "the answer is expected after this host has stopped", true, nil, nil
	}
	return c
}

// answerTime returns the time in which the whole answer is expected.
func (f *Fleet) answerTime(c *Choice) time.Duration {
	ms := c.EstimateMS
	if c.job.Engine {
		steady := 1.0
		if c.Server != nil {
			steady = f.steadyFactor(c.Server)
		}
		ms += f.speedOf(c.job.Service).OutputMS(c.job.OutputTokens) * steady
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// noServerReason returns why a request is refused for which no server is usable.
func (j *Job) noServerReason() string {
	if j.Release != nil {
		return "no backend server of the stream's release in reach"
	}
	return "no backend server in reach"
}

// retryAfterNoServer returns the time after which to retry if no server is usable: the earliest
// moment at which a cold server has warmed up or the back-off of a failing one has ended, at
// most defaultRetryAfter. A server that is unusable for missed announcements counts as usable
// after minRetryAfter.
func (f *Fleet) retryAfterNoServer(j *Job, now time.Time) time.Duration {
	in := defaultRetryAfter
	for _, s := range f.serversOf(j.Service) {
		if s.Leaving || slices.Contains(f.evacuated, s.FailureDomain) || !j.Permits(f.o.Region) {
			continue
		}
		in = min(in, max(s.ColdUntil.Sub(now), s.health.blockedUntil.Sub(now), minRetryAfter))
	}
	return j.boundRetryAfter(in)
}

// boundRetryAfter limits a retry delay to a third of the caller's remaining time, since a later
// retry would not leave enough time for the answer.
func (j *Job) boundRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), max(j.Remaining/3, minRetryAfter))
}

func (f *Fleet) chooseServer(j *Job, c *Choice, prefer preference, now time.Time) {
	locations := f.locationsOf(j, now)
	all := f.serversOf(j.Service)
	candidates := f.candidates(all, j, locations, now)
	f.chooseAmong(candidates, j, c, locations, prefer, now)
	if c.sawFull && !c.fits() {
		f.chooseAmong(f.othersWithRoom(all, candidates, j, now), j, c, locations, prefer, now)
	}
	if c.sawFull && c.Server != nil && c.EstimateMS > float64(j.Remaining.Milliseconds()) {
		c.Server, c.loss, c.Considered, c.anyFill = nil, math.Inf(1), nil, true
		f.chooseAmong(candidates, j, c, locations, prefer, now)
	}
}

// chooseAmong makes the best of the candidates the choice, if it is better than the present one.
func (f *Fleet) chooseAmong(candidates []*Server, j *Job, c *Choice, locations chainLocations, prefer preference, now time.Time) {
	var cold, slowStarting []*Server
	regionLoss := prefer.regionLoss(f.o.Region)
	for _, s := range candidates {
		reason := f.usable(s, now)
		c.paused = c.paused || (reason == reasonPaused && j.runsAt(s))
		if j.Tried[s.ID] {
			continue
		}
		if reason == "" {
			reason = releaseMismatch(s, j)
		}
		if reason != "" {
			c.Considered = append(c.Considered, Candidate{s.ID, 0, reason})
			continue
		}
		if !f.limitAllows(s, j, now) {
			c.limited = true
			c.Considered = append(c.Considered, Candidate{s.ID, 0, "limit"})
			continue
		}
		if f.cold(s, now) {
			cold = append(cold, s)
			continue
		}
		if !f.slowStartAllows(s, now) {
			slowStarting = append(slowStarting, s)
			continue
		}
		f.evaluate(s, j, c, locations, regionLoss+prefer.serverLoss(s), now)
	}
	// A cold server is used only if no warm one has room and is expected to meet the target.
	if c.fits() && c.EstimateMS < float64(j.Target.Milliseconds()) {
		return
	}
	for _, s := range cold {
		if !f.coldAllowed(s, j, now) {
			c.Considered = append(c.Considered, Candidate{s.ID, 0, "cold"})
			continue
		}
		f.evaluate(s, j, c, locations, regionLoss+prefer.serverLoss(s), now)
	}
	// Nor is a server used beyond its share in a slow start otherwise.
	if c.fits() && c.EstimateMS < float64(j.Target.Milliseconds()) {
		return
	}
	for _, s := range slowStarting {
		f.evaluate(s, j, c, locations, regionLoss+prefer.serverLoss(s), now)
	}
}

// releaseMismatch returns why a server may not go on with the job's stream; "" if it may. Another process may
// have taken over a server's ID, and run any release, if this host has lost its connections to the one that is known.
func releaseMismatch(s *Server, j *Job) string {
	switch {
	case j.Release == nil:
		return ""
	case s.Release != *j.Release:
		return "other release"
	case !s.ReleaseConfirmed():
		return "release not confirmed"
	}
	return ""
}

// evaluate computes the loss of sending the request to a server, and makes the server the
// choice if that is the lowest so far, among servers that are alike in having room for it in
// their memory. extraLoss is added to the server's own loss.
func (f *Fleet) evaluate(s *Server, j *Job, c *Choice, locations chainLocations, extraLoss float64, now time.Time) {
	shared := float64(sharedTokens(j.Parts))
	covered := f.coveredTokens(s, j, locations, now)
	from, copied := f.copySource(s, j, locations, shared-covered, now)
	covered += copied
	uncovered := math.Max(0, j.PromptTokens-covered)
	factor := f.unreportedFactor(j.Service, now)
	k := f.serverCost(s, j, uncovered, math.Max(0, shared-covered), now)
	k.addCopy(j, copied)
	k.loss += f.domainLoss(s, j) + extraLoss + f.crashLoss(s, j) + f.poolLoss(s, j, now)
	late := !f.disabled(Deferral) && k.deferIfLate(f.deferredAhead(s, j, now), s, j, f.speedOf(j.Service).HoldMS()*f.steadyFactor(s))
	k.addProof(s, j)
	k.loss += f.o.Random() * f.tieBreakLossOf(j)
	c.Considered = append(c.Considered, Candidate{s.ID, k.firstMS, ""})
	fill := f.fillWith(s, j, now)
	c.sawFull = c.sawFull || fill == enginememory.Full
	if c.anyFill {
		fill = enginememory.HasRoom
	}
	k.loss += fillLoss(fill)
	if c.isWorseThan(fill, k.loss) {
		c.Server, c.EstimateMS, c.loss, c.UncoveredTokens, c.CopyFrom = s, k.firstMS, k.loss, uncovered, from
		c.fill = fill
		c.Deferred = late
		c.tokensAhead, c.slowdown = s.own.prompt+factor*s.others.prompt, slowdown(f.requestsAt(s, now), float64(max(1, s.Slots)))
		c.workFactor = f.workFactor(s, now)
	}
}

// domainLoss returns the loss for network traffic if the server is in another failure domain.
// Without it half of the requests cross failure domains in a region of two.
func (f *Fleet) domainLoss(s *Server, j *Job) float64 {
	switch {
	case s.FailureDomain == f.o.FailureDomain, f.disabled(OwnDomainFirst):
		return 0
	case j.isLong():
		return crossDomainLongLoss
	}
	return crossDomainLoss
}

// serverCost returns the cost of the request at a server of the own region. repeated is the part
// of uncovered that other requests share, in tokens.
func (f *Fleet) serverCost(s *Server, j *Job, uncovered, repeated float64, now time.Time) cost {
	requests, factor := f.requestsAt(s, now), f.unreportedFactor(j.Service, now)
	slots := float64(max(1, s.Slots))
	unhealthy := s.health.errors.now(now) * errorLoss
	excess := s.health.excess.now(now)
	if f.disabled(Health) {
		unhealthy, excess = 0, 0
	}
	if s.stalled(now) && !f.disabled(StallAvoidance) {
		unhealthy += stalledLoss
	}
	estimator := f.speedOf(j.Service)
	work, steady := f.workFactor(s, now), f.steadyFactor(s)
	if !j.Engine {
		k := plainServiceCost(requests, slots, estimator.AnswerMS()*work, j)
		if !f.disabled(Shares) {
			k.loss = 0 // rankServers already accounts for the load
		}
		return cost{k.loss + unhealthy + excess/1000*delayLoss, k.firstMS + excess}
	}
	k := enginePromptCost(f.urgencyAtServer(engineState{
		requests: requests, slots: slots, pendingMS: (s.own.prompt + factor*s.others.prompt) / estimator.PrefillTokensPerMS() * work,
		prefillShare: (s.prefill.now(now) + factor*s.othersPrefill) / 1000 * steady, work: work, steady: steady,
		memory: s.own.memory + factor*s.others.memory, memoryCapacity: j.MemoryTokens, off: f.o.Off,
		pauses: f.pauseModelOf(s, j, now),
	}, s, j, now), j, uncovered, repeated, estimator)
	return cost{k.loss + unhealthy + shortLoss*lateRisk(k.firstMS+excess, j.Target) - shortLoss*lateRisk(k.firstMS, j.Target), k.firstMS}
}

// plainServiceCost returns the cost of a request at a server of a plain service that answers in
// answerMS while it has free slots.
func plainServiceCost(requests, slots, answerMS float64, j *Job) cost {
	ms := answerMS*slowdown(requests, slots) + answerMS*requests/slots/2
	return cost{ms/1000*delayLoss + lateRisk(ms, j.Target), ms}
}

// slowdown returns the factor by which an answer takes longer than with free slots.
func slowdown(requests, slots float64) float64 { return 1 + math.Max(0, requests+1-slots)/slots }

// chooseRegion makes another region the choice if its loss, which includes the penalties for
// leaving the region, is lower than that of the best server of the own region.
func (f *Fleet) chooseRegion(j *Job, c *Choice, prefer preference, now time.Time) {
	ownFull := c.Server != nil && !c.fits()
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
		if r == nil || (r.servers == 0 && (r.limitedServers == 0 || !prefer.drew(name))) {
			continue
		}
		if now.Sub(r.asOf) > maxRegionAge {
			c.Considered = append(c.Considered, Candidate{name, 0, "not heard lately"})
			continue
		}
		if j.Release != nil && len(r.releases) > 0 && !slices.Contains(r.releases, *j.Release) {
			c.Considered = append(c.Considered, Candidate{name, 0, "other release"})
			continue
		}
		h := f.pickHost(name, j, now)
		if h == nil {
			c.Considered = append(c.Considered, Candidate{name, 0, "no entry host in reach"})
			continue
		}
		k, uncovered := f.regionCost(r, j, now)
		k.loss += prefer.regionLoss(name) + f.regionCrashLoss(r, j)
		c.Considered = append(c.Considered, Candidate{name, k.firstMS, ""})
		if fill := f.fillInRegion(r, j, ownFull, k.firstMS); c.isWorseThan(fill, k.loss) {
			c.fill = fill
			c.Server, c.Host, c.EstimateMS, c.loss, c.key = nil, h, k.firstMS, k.loss, key
			c.UncoveredTokens, c.CopyFrom, c.Deferred = uncovered, "", false
		}
	}
}

// regionCost returns the cost at an average server of another region, and the number of prompt
// tokens that are probably not cached there.
func (f *Fleet) regionCost(r *region, j *Job, now time.Time) (k cost, uncovered float64) {
	work := f.usualFactor(j.Service, now)
	servers, slots := r.capacity(f.requestsPerSlot(j.Service, j.Engine) / work)
	requests := (r.requests + float64(r.forwarded.requests)) / servers
	slots = math.Max(1, slots/servers)
	estimator := f.speedOf(j.Service)
	if !j.Engine {
		k = plainServiceCost(requests, slots, estimator.AnswerMS()*work, j)
		remoteMS := k.firstMS + interRegionRTTMS
		late := lateRisk(remoteMS, j.Target) - lateRisk(k.firstMS, j.Target)
		if f.disabled(Shares) {
			k.loss += crossRegionLoss
		}
		return cost{k.loss + crossDomainLoss + interRegionRTTMS/1000*delayLoss + late, remoteMS}, 0
	}
	repeated := f.repeatedPrefillInRegion(r, j, now)
	uncovered = j.PromptTokens - float64(sharedTokens(j.Parts)) + repeated
	pending := (r.prompt + r.forwarded.prompt) / servers / estimator.PrefillTokensPerMS() * work
	k = enginePromptCost(urgencyInRegion(engineState{
		requests: requests, slots: slots, pendingMS: pending + interRegionRTTMS, work: work, steady: work,
		memory: (r.memory + r.forwarded.memory) / servers, memoryCapacity: j.MemoryTokens, off: f.o.Off,
	}, j), j, uncovered, repeated, estimator)
	k.loss += crossRegionLoss
	return k, uncovered
}

// pickHost returns a random entry host of the region, leaving out those that recently could not
// be reached and those already tried; nil if there is none.
func (f *Fleet) pickHost(name string, j *Job, now time.Time) *Host {
	var reachable []*Host
	for _, h := range f.hosts[name] {
		if now.After(h.suspectUntil) && !now.Before(h.pausedUntil[j.Service]) && !j.Tried[h.ID] {
			reachable = append(reachable, h)
		}
	}
	if len(reachable) == 0 {
		return nil
	}
	return reachable[int(f.o.Random()*float64(len(reachable)))%len(reachable)]
}

func (f *Fleet) serversOf(service string) []*Server {
	var out []*Server
	for _, s := range f.servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
