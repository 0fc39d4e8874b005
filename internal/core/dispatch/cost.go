package dispatch

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/speed"
)

// A candidate for a request is rated by the loss that it causes to all callers, in units of the
// value of a short request: the lateness of the request itself, the pauses that it causes in the
// answers already running there, and shared parts of the prompt that need another prefill. An
// engine splits prefill into chunks between the steps of its batch; two long prompts in a row
// pause every answer there for longer than callers accept.

// Parameters of the engines, from their specifications, and of the losses.
const (
	// stepBaseMS and stepPerRequestMS give the duration of a step, in ms, as a function of the
	// number of running requests; the second includes the context of each request.
	stepBaseMS       = 5.0
	stepPerRequestMS = 0.03
	// pauseRiskFromMS and pauseCertainMS are the durations of continuous prefill, in ms, between
	// which the probability that an answer pauses for too long rises from 0 to 1: an event
	// covers five steps, and a pause of 600 ms is accepted.
	pauseRiskFromMS = 250.0
	pauseCertainMS  = 600.0
	// longLoss and shortLoss are the losses of a late answer to a long and to a short prompt. A
	// long prompt causes three to four times the work of a short one.
	longLoss  = 4.5
	shortLoss = 1.3
	// pausedShare is the fraction of the answers running at an engine that a pause makes late:
	// the others are late already or have slack.
	pausedShare = 0.5
	// repeatedPrefillLoss is the loss of another prefill of 1,000 tokens of a shared part, for
	// which the engine's other callers wait.
	repeatedPrefillLoss = 0.6
	// delayLoss is the loss per second of time to the first token that is not late. It makes
	// the faster of two otherwise equal candidates win.
	delayLoss = 0.4
	// busyLoss is the loss of a short request at an engine that spends all of its time on
	// prefill.
	busyLoss = 1.3
	// rateTimeConstant is the time constant with which the rate of prefill work decays.
	rateTimeConstant = 3 * time.Second
)

// cost is the loss of a candidate, with the expected time to the first token, in ms.
type cost struct {
	loss    float64
	firstMS float64
}

// engineState is the state of an engine on which its cost depends.
type engineState struct {
	requests, slots        float64
	pendingMS              float64     // time for the prefill that is running and queued, in ms
	prefillShare           float64     // fraction of the time spent on prefill
	memory, memoryCapacity float64     // tokens of KV cache
	work, steady           float64     // factors by which work takes longer there, now and without slow moments
	pauses                 *pauseModel // nil for the fixed thresholds of pauseRisk
	overtakes              float64     // waiting requests that are less urgent than the one to be placed
	off                    Mechanisms
}

// enginePromptCost returns the cost of a prompt of which the engine must prefill uncovered
// tokens; repeated of these are shared tokens that were already prefilled for other requests.
func enginePromptCost(e engineState, j *Job, uncovered, repeated float64, estimator *speed.Estimator) cost {
	prefillMS := uncovered / estimator.PrefillTokensPerMS() * e.work
	step := (stepBaseMS + stepPerRequestMS*e.requests) * e.work
	first := estimator.BeginMS()*e.work + e.pendingMS + prefillMS + (e.pendingMS+prefillMS)/100*step + step
	first += admissionWaitMS(e, uncovered+j.OutputTokens, estimator.HoldMS()*e.steady)
	own := shortLoss
	if j.isLong() {
		own = longLoss
	}
	loss := repeated/1000*repeatedPrefillLoss + first/1000*delayLoss
	loss += own * lateRisk(first, j.Target)
	if !e.off.Has(PauseCost) {
		added := pauseRisk(e.pendingMS+prefillMS) - pauseRisk(e.pendingMS)
		if e.pauses != nil {
			added = e.pauses.added(uncovered)
			loss += e.pauses.ownLoss(j)
		}
		loss += added * e.requests * pausedShare * shortLoss
	}
	if !e.off.Has(BusyCost) {
		share := e.prefillShare
		if e.pauses != nil && j.isLong() {
			share = e.pauses.busyShare()
		}
		loss += own / shortLoss * busyLoss * math.Min(1, share*share)
	}
	return cost{loss, first}
}

// deferIfLate reports whether the first byte would be late. If so, the request is to be queued
// behind all that can meet their target, and the wait behind the requests that are deferred
// already is added to its cost. If an overloaded engine served requests in the order of
// arrival, nearly all would be late (TestOverloadServesSomeInTime).
func (k *cost) deferIfLate(deferred float64, s *Server, j *Job, holdMS float64) bool {
	if !j.Engine || j.Target <= 0 || k.firstMS <= float64(j.Target.Milliseconds()) {
		return false
	}
	wait := deferred * holdMS / math.Max(1, float64(s.Slots))
	k.firstMS += wait
	k.loss += wait / 1000 * delayLoss
	return true
}

// addProof adds the wait until it is proved which process listens at the server's address.
func (k *cost) addProof(s *Server, j *Job) {
	if j.Release == nil || s.Start == 0 || j.Connected(s.Address) {
		return
	}
	wait := float64(j.ProofWait.Milliseconds())
	k.firstMS += wait
	k.loss += wait / 1000 * delayLoss
}

// admissionWaitMS returns the wait for a slot and for KV cache, in ms, if a request holds its
// slot for holdMS.
func admissionWaitMS(e engineState, tokens, holdMS float64) float64 {
	wait := 0.0
	if over := e.memory + tokens - e.memoryCapacity; over > 0 && e.memoryCapacity > 0 {
		wait += over / kvReleaseTokensPerMS * e.steady
	}
	if over := e.requests + 1 - e.slots - e.overtakes; over > 0 {
		wait += over * holdMS / e.slots
	}
	return wait
}

// pauseRisk returns the probability that continuous prefill for prefillMS pauses an answer for
// too long.
func pauseRisk(prefillMS float64) float64 {
	return math.Min(1, math.Max(0, (prefillMS-pauseRiskFromMS)/(pauseCertainMS-pauseRiskFromMS)))
}

// lateRisk returns the probability that a first token expected after ms is late. It rises
// linearly between 0.6 and 1.4 times the target, to allow for the error of the estimate.
func lateRisk(ms float64, target time.Duration) float64 {
	t := float64(target.Milliseconds())
	if t <= 0 {
		return 0
	}
	return math.Min(1, math.Max(0, (ms/t-0.6)/0.8))
}

// rate is an exponentially decaying average of incoming work, in ms of prefill per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}

func (r *rate) add(ms float64, now time.Time) {
	r.value = r.now(now) + ms/rateTimeConstant.Seconds()
	r.at = now
}
