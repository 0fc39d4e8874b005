// Package speed estimates from observed answers how fast the backend servers of a service
// work: a model engine's prefill rate in tokens per ms, the time to its first event without
// prefill, how long a request occupies a slot, and the answer time of a plain service. It
// does no I/O and reads no clock.
//
// All estimates but the slot time are quantiles of the newest samples, most of them medians, so that a few slow
// engines, or a few prompts of which the engine had cached more or less than expected, do not
// move them.
package speed

import "slices"

// Initial values and bounds. The initial values apply until enough samples are recorded. The
// initial prefill rate is at the low end of what engines reach, 10 to 300 tokens per ms:
// overestimating the rate admits more than the engines can answer in time, which costs more
// than queueing.
const (
	initialTokensPerMS = 30.0
	minTokensPerMS     = 5.0
	maxTokensPerMS     = 1000.0
	initialBeginMS     = 45.0
	initialAnswerMS    = 40.0
	initialHoldMS      = 1000.0
	maxBeginMS         = 2000.0
	maxHoldMS          = 60_000.0
)

// Selection of samples.
const (
	// sampleWindow is the number of samples in a quantile. At two long prompts per second, a
	// change of all engines moves the median within 10 s.
	sampleWindow = 32
	// minPromptSamples is the number of samples from which on a median of prompt times replaces
	// the initial value. It is higher than minAnswerSamples because other delays outweigh the
	// prefill in some samples.
	minPromptSamples = 10
	// minAnswerSamples is the same for answers of plain services, whose times vary little.
	minAnswerSamples = 3
	// minPrefillTokens is the smallest prefill that is sampled for the rate, in tokens: below
	// it, the fixed time to the first event outweighs the prefill time on a fast engine.
	minPrefillTokens = 1000.0
	// maxShortPromptTokens is the largest prefill that is sampled for the time to the first
	// event, in tokens: it takes the engine one or two steps.
	maxShortPromptTokens = 400.0
	// maxAheadShare limits the prefill queued ahead of a sampled long prompt, as a share of the
	// prompt's own prefill: the loads of other entry hosts arrive with a delay of 0.3 s.
	maxAheadShare = 0.25
	// maxAheadTokens is the same limit for short prompts, in tokens.
	maxAheadTokens = 200.0
)

// Sample is one observed answer of an engine.
type Sample struct {
	PrefillTokens     float64 // prompt tokens that the engine had to prefill
	QueuedAheadTokens float64 // prefill tokens of other prompts queued ahead of it
	FirstEventMS      float64 // time from the request to the first event, in ms
}

// Estimator holds the estimates of one service. It is not safe for concurrent use.
type Estimator struct {
	prefillMSPerToken, begin, answer quantile
	outputMSPerToken                 quantile
	hold                             mean
}

// New returns an estimator with an initial prefill rate in tokens per ms; 0 selects the
// default.
func New(rate float64) *Estimator {
	if rate <= 0 {
		rate = initialTokensPerMS
	}
	return &Estimator{
		prefillMSPerToken: quantile{share: median, value: 1 / rate, minSamples: minPromptSamples},
		begin:             quantile{share: median, value: initialBeginMS, minSamples: minPromptSamples},
		answer:            quantile{share: median, value: initialAnswerMS, minSamples: minAnswerSamples},
		outputMSPerToken:  quantile{share: slowShare, minSamples: minPromptSamples},
		hold:              mean{value: initialHoldMS},
	}
}

// PrefillTokensPerMS returns the prefill rate of an engine in tokens per ms.
func (e *Estimator) PrefillTokensPerMS() float64 {
	return min(maxTokensPerMS, max(minTokensPerMS, 1/e.prefillMSPerToken.value))
}

// BeginMS returns the time from a request to its first event without prefill, in ms.
func (e *Estimator) BeginMS() float64 { return min(maxBeginMS, e.begin.value) }

// AnswerMS returns the answer time of a plain service, in ms.
func (e *Estimator) AnswerMS() float64 { return min(maxBeginMS, e.answer.value) }

// HoldMS returns how long a request occupies a slot of an engine, from the first event of its
// answer to the last, in ms. It is a mean and not a median because the wait for a slot is the
// sum of the times of the requests ahead.
func (e *Estimator) HoldMS() float64 { return min(maxHoldMS, e.hold.value) }

// OutputMS returns the time from the first event of an engine's answer to its last, in ms, that slowShare of the answers
// with an expected number of output tokens do not exceed; 0 until enough answers were observed.
func (e *Estimator) OutputMS(tokens float64) float64 {
	return min(maxHoldMS, tokens*e.outputMSPerToken.value)
}

// ObserveOutput records the time in ms from the first to the last event of an engine's complete answer, and the number
// of output tokens that was expected.
func (e *Estimator) ObserveOutput(tokens, ms float64) {
	if tokens > 0 && ms > 0 {
		e.outputMSPerToken.add(ms / tokens)
	}
}

// ObserveHold records the time in ms from the first to the last event of an engine's complete
// answer.
func (e *Estimator) ObserveHold(ms float64) {
	if ms > 0 {
		e.hold.add(min(ms, maxHoldMS))
	}
}

// Samples returns the number of prefill samples held, for logs and metrics.
func (e *Estimator) Samples() int { return len(e.prefillMSPerToken.samples) }

// ObserveFirstEvent records the first event of an engine's answer. It ignores prompts of
// intermediate size and prompts with too much prefill queued ahead.
func (e *Estimator) ObserveFirstEvent(s Sample) {
	switch {
	case s.FirstEventMS <= 0:
	case s.PrefillTokens >= minPrefillTokens && s.QueuedAheadTokens <= maxAheadShare*s.PrefillTokens:
		if ms := s.FirstEventMS - e.BeginMS(); ms > 0 {
			e.prefillMSPerToken.add(ms / (s.PrefillTokens + s.QueuedAheadTokens))
		}
	case s.PrefillTokens <= maxShortPromptTokens && s.QueuedAheadTokens <= maxAheadTokens:
		e.begin.add(max(1, s.FirstEventMS-(s.PrefillTokens+s.QueuedAheadTokens)/e.PrefillTokensPerMS()))
	}
}

// ObserveAnswer records the answer time in ms of a plain service that had free slots.
func (e *Estimator) ObserveAnswer(ms float64) {
	if ms > 0 {
		e.answer.add(ms)
	}
}

// mean is an exponential moving mean with weight 1/sampleWindow for the newest sample.
type mean struct{ value float64 }

func (m *mean) add(v float64) { m.value += (v - m.value) / sampleWindow }

// Shares of the samples that are at most an estimate.
const (
	median = 0.5
	// slowShare is high because of what it is for: a request that is refused loses a round trip, and one that is cut
	// loses its answer.
	slowShare = 0.9
)

// quantile keeps the newest samples and one of their quantiles.
type quantile struct {
	share      float64 // of the samples that are at most value
	samples    []float64
	next       int
	value      float64
	minSamples int // number of samples from which on value is the quantile
}

func (q *quantile) add(v float64) {
	if len(q.samples) < sampleWindow {
		q.samples = append(q.samples, v)
	} else {
		q.samples[q.next] = v
	}
	q.next = (q.next + 1) % sampleWindow
	if len(q.samples) < q.minSamples {
		return
	}
	sorted := slices.Sorted(slices.Values(q.samples))
	q.value = sorted[int(float64(len(sorted))*q.share)]
}
