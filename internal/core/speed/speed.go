// Package speed learns from answers how fast the servers of a service work: how many tokens
// of a prompt a model engine reads in a ms, how long an answer takes to begin without
// reading, how long a request keeps a slot, and how long a plain service takes. It does no I/O and reads no clock.
//
// The figures are medians of the newest samples, so that a few engines in trouble, or a few
// prompts of which the engine held more or less than expected, don't move them.
package speed

import "slices"

// Start values and bounds. A host uses the start values for its first samples only. That of
// the rate is on the slow side of what engines reach, 10 to 300: taking engines for quicker
// than they are lets more in than they can answer in time, which costs more than waiting.
const (
	startRate   = 30.0 // tokens per ms
	minRate     = 5.0
	maxRate     = 1000.0
	startBegin  = 45.0 // ms
	startAnswer = 40.0 // ms
	startHold   = 1000.0
	maxBegin    = 2000.0
	maxHold     = 60_000.0
)

// Samples that are used.
const (
	// kept is how many samples a median is taken of: a host with two long prompts a second
	// follows a change of all engines within ten seconds.
	kept = 32
	// enough is from how many samples on a median of prompts' times is trusted: other delays
	// outweigh the reading in some of them.
	enough = 10
	// enoughAnswers is the same for plain answers, whose times differ little.
	enoughAnswers = 3
	// minReading is the size from which a prompt's time tells of reading, in tokens: with
	// less, the start of the answer outweighs it on a quick engine.
	minReading = 1000.0
	// maxStarting is the size up to which a prompt's time tells of the start of its answer:
	// reading so much takes a step or two.
	maxStarting = 400.0
	// maxAhead is the share of its own reading that may wait before a prompt whose time is
	// used: what others have under way is known 0.3 s late.
	maxAhead = 0.25
	// maxAheadStarting is the same for prompts that tell of the start, in tokens.
	maxAheadStarting = 200.0
)

// Sample is one answer of an engine.
type Sample struct {
	Read    float64 // tokens of the prompt that the engine had to read
	Ahead   float64 // tokens of other prompts that were to be read before
	FirstMS float64 // time to the first event
}

// Estimator holds the figures of one service. It is not safe for concurrent use.
type Estimator struct {
	reading, begin, answer median
	hold                   mean
}

// New returns an estimator that begins with a rate of reading, in tokens per ms; 0 for the
// start value.
func New(rate float64) *Estimator {
	if rate <= 0 {
		rate = startRate
	}
	return &Estimator{
		reading: median{value: 1 / rate, enough: enough}, begin: median{value: startBegin, enough: enough},
		answer: median{value: startAnswer, enough: enoughAnswers},
		hold:   mean{value: startHold},
	}
}

// Rate returns the tokens that an engine reads in a ms.
func (e *Estimator) Rate() float64 { return min(maxRate, max(minRate, 1/e.reading.value)) }

// BeginMS returns the time from a request to its first event without reading, in ms.
func (e *Estimator) BeginMS() float64 { return min(maxBegin, e.begin.value) }

// AnswerMS returns the time of an answer of a plain service, in ms.
func (e *Estimator) AnswerMS() float64 { return min(maxBegin, e.answer.value) }

// HoldMS returns how long a request keeps a slot of an engine, from its answer's first event to
// the last, in ms. It is a mean: the wait for a slot is the sum of what others take.
func (e *Estimator) HoldMS() float64 { return min(maxHold, e.hold.value) }

// End takes the time from the first to the last event of an engine's whole answer.
func (e *Estimator) End(ms float64) {
	if ms > 0 {
		e.hold.add(min(ms, maxHold))
	}
}

// Samples returns the number of samples of prompts, for logs and metrics.
func (e *Estimator) Samples() int { return len(e.reading.samples) }

// Event takes the first event of an engine's answer.
func (e *Estimator) Event(s Sample) {
	switch {
	case s.FirstMS <= 0:
	case s.Read >= minReading && s.Ahead <= maxAhead*s.Read:
		if ms := s.FirstMS - e.BeginMS(); ms > 0 {
			e.reading.add(ms / (s.Read + s.Ahead))
		}
	case s.Read <= maxStarting && s.Ahead <= maxAheadStarting:
		e.begin.add(max(1, s.FirstMS-(s.Read+s.Ahead)/e.Rate()))
	}
}

// Answer takes the time that a plain service's answer takes while it has free slots.
func (e *Estimator) Answer(ms float64) {
	if ms > 0 {
		e.answer.add(ms)
	}
}

// mean is a moving mean of the newest samples.
type mean struct{ value float64 }

func (m *mean) add(v float64) { m.value += (v - m.value) / kept }

// median keeps the newest samples and their median.
type median struct {
	samples []float64
	next    int
	value   float64
	enough  int // samples from which on the median is trusted
}

func (m *median) add(v float64) {
	if len(m.samples) < kept {
		m.samples = append(m.samples, v)
	} else {
		m.samples[m.next] = v
	}
	m.next = (m.next + 1) % kept
	if len(m.samples) < m.enough {
		return
	}
	sorted := slices.Sorted(slices.Values(m.samples))
	m.value = sorted[len(sorted)/2]
}
