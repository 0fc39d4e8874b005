// Package streampause estimates the pauses that prefill causes in the streams running at a model engine, and
// selects the engines that run long prompts. It does no I/O and reads no clock.
package streampause

import "time"

// Parameters of the engines and of the risk.
const (
	// riskFrom is the share of the gap target, as time of prefill at the engine's usual speed, from which a
	// pause is possible; at the whole target it is certain. The engine may be up to 2.4 times slower for a
	// moment, and the prefill that other hosts sent is known with a delay. With a gap target of 600 ms the
	// risk rises from 250 ms on.
	riskFrom = 250.0 / 600
	// maxChunkMS is the longest prefill between two steps of a batch, in ms at factor 1.
	maxChunkMS = 50.0
	// usualEventMS is the time of an event without prefill that riskFrom allows for, in ms at factor 1.
	usualEventMS = 40.0
)

// Engine is the state of an engine on which the pauses of its streams depend.
type Engine struct {
	// PendingMS is the prefill that is running and queued, in ms at factor 1.
	PendingMS float64
	// StepMS is the time of a step of the running batch without prefill, in ms at factor 1.
	StepMS float64
	// Steps is the number of steps that an event of a stream covers; 0 if it is not known.
	Steps float64
	// Factor is the ratio of the time that work takes at the engine to the usual time.
	Factor float64
	// Gap is the gap target: the longest pause with which a stream is on time.
	Gap time.Duration
}

// DelayMS returns the longest delay of an event by the pending prefill, in ms: at most one chunk between two
// of the event's steps, or all of the prefill if the number of steps is not known.
func (e Engine) DelayMS() float64 {
	delay := e.PendingMS
	if e.Steps > 0 {
		delay = min(delay, e.Steps*maxChunkMS)
	}
	return delay * e.Factor
}

// EventMS returns the time of an event without prefill, in ms; 0 if the number of steps is not known.
func (e Engine) EventMS() float64 { return e.Steps * e.StepMS * e.Factor }

// Risk returns the probability that a stream at the engine pauses for longer than the gap target.
func Risk(e Engine) float64 {
	gap := float64(e.Gap) / float64(time.Millisecond)
	if gap <= 0 {
		return 0
	}
	from := gap * riskFrom
	total := e.DelayMS() + max(0, e.EventMS()-usualEventMS*e.Factor)
	return min(1, max(0, (total-from)/(gap-from)))
}
