package dispatch

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/speed"
)

// A place for a prompt is judged by what it costs all callers, in units of a short
// request's worth: the request's own lateness, the pauses that it brings to the
// answers already running there, and shared parts of the prompt that have to be
// read again. An engine reads prompts in chunks between the steps of its batch; two
// long prompts in a row pause every answer there for longer than callers accept.

// Figures of the engines, as their sheets state them, and of the losses.
const (
	// stepBase and stepPerRequest give the length of a step, in ms, with the
	// requests that run; the second includes the context that each brings.
	stepBase       = 5.0
	stepPerRequest = 0.03
	// pauseFrom and pauseSure bound the continuous reading, in ms, at which an
	// answer's pause becomes too long: five steps per event, 600 ms accepted.
	pauseFrom = 250.0
	pauseSure = 600.0
	// longLoss and shortLoss are what a late answer to a long and a short prompt
	// costs. Long prompts ask for three to four times the work of short ones.
	longLoss  = 4.5
	shortLoss = 1.3
	// pausedShare is the part of the answers running at an engine that a pause
	// makes late: the rest is late already or has room.
	pausedShare = 0.5
	// rereadLoss is what reading 1,000 tokens of a shared part again costs: work
	// that the engine's other callers wait for.
	rereadLoss = 0.6
	// delayLoss is what a second to the first token costs while it is not late, so
	// that of equal places the quicker is taken.
	delayLoss = 0.4
	// busyLoss is what a short request loses at an engine that reads prompts all
	// the time.
	busyLoss = 1.3
	// rateMemory is how fast the rate of reading fades.
	rateMemory = 3 * time.Second
)

// cost is a place's cost with the expected time to the first token.
type cost struct {
	loss    float64
	firstMS float64
}

// engineState is what the cost of an engine depends on.
type engineState struct {
	requests, slots        float64
	pendingMS              float64 // reading under way and queued
	busy                   float64 // share of the time spent on reading
	memory, memoryCapacity float64 // tokens of KV cache
	off                    Mechanisms
}

// promptCost is the cost of a prompt of which the engine must read uncovered
// tokens, reread of them shared ones that others had read before.
func promptCost(e engineState, j *Job, uncovered, reread float64, learned *speed.Estimator) cost {
	read := uncovered / learned.Rate()
	step := stepBase + stepPerRequest*e.requests
	first := learned.BeginMS() + e.pendingMS + read + (e.pendingMS+read)/100*step + step
	first += waitForRoom(e, uncovered+j.Output, learned.HoldMS())
	own := shortLoss
	if j.isLong() {
		own = longLoss
	}
	loss := reread/1000*rereadLoss + first/1000*delayLoss
	loss += own * lateRisk(first, j.Target)
	if !e.off.Has(PauseCost) {
		before, after := pauseRisk(e.pendingMS), pauseRisk(e.pendingMS+read)
		loss += (after - before) * e.requests * pausedShare * shortLoss
	}
	if !e.off.Has(BusyCost) {
		loss += own / shortLoss * busyLoss * math.Min(1, e.busy*e.busy)
	}
	return cost{loss, first}
}

// deferLate makes a request whose first byte would be late wait behind all that can be in
// time: it tells so, and adds the wait behind the others that are deferred already. In the
// order of arrival an overloaded engine answers nearly all of them late
// (TestOverloadServesSomeInTime).
func (k *cost) deferLate(deferred float64, s *Server, j *Job, holdMS float64) bool {
	if !j.Engine || j.Target <= 0 || k.firstMS <= float64(j.Target.Milliseconds()) {
		return false
	}
	wait := deferred * holdMS / math.Max(1, float64(s.Slots))
	k.firstMS += wait
	k.loss += wait / 1000 * delayLoss
	return true
}

// waitForRoom is the wait for a slot and for KV cache, in ms, while requests keep a slot for
// holdMS.
func waitForRoom(e engineState, tokens, holdMS float64) float64 {
	wait := 0.0
	if over := e.memory + tokens - e.memoryCapacity; over > 0 && e.memoryCapacity > 0 {
		wait += over / releasePerMS
	}
	if over := e.requests + 1 - e.slots; over > 0 {
		wait += over * holdMS / e.slots
	}
	return wait
}

// pauseRisk is how likely continuous reading of this length, in ms, pauses an
// answer for too long.
func pauseRisk(readingMS float64) float64 {
	return math.Min(1, math.Max(0, (readingMS-pauseFrom)/(pauseSure-pauseFrom)))
}

// lateRisk is how likely a first token expected after ms comes too late: the
// estimate is off by half of the target either way.
func lateRisk(ms float64, target time.Duration) float64 {
	t := float64(target.Milliseconds())
	if t <= 0 {
		return 0
	}
	return math.Min(1, math.Max(0, (ms/t-0.6)/0.8))
}

// rate is the moving rate at which work comes, in ms of reading per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateMemory.Seconds())
}

func (r *rate) add(ms float64, now time.Time) {
	r.value = r.now(now) + ms/rateMemory.Seconds()
	r.at = now
}
