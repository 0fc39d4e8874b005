package streampause

// Parameters of the estimate of the steps per event.
const (
	// stepsQuantile is the quantile of the samples that is estimated. Prefill and slow periods only lengthen
	// events, so a low quantile is that of a batch without them.
	stepsQuantile = 0.25
	// stepsGain is the relative change of the estimate per sample: it moves from 7 to 5 within 50 samples.
	stepsGain = 0.02
	// minStepSamples is the number of samples from which the estimate is used.
	minStepSamples = 50
	initialSteps   = 7.0
	minSteps       = 1.0
	maxSteps       = 32.0
)

// Steps estimates the number of steps that an event of a service's streams covers.
type Steps struct {
	value   float64
	samples int
}

// Add records the time between two events in ms at factor 1, and that of a step.
func (s *Steps) Add(intervalMS, stepMS float64) {
	if intervalMS <= 0 || stepMS <= 0 {
		return
	}
	if s.samples == 0 {
		s.value = initialSteps
	}
	if intervalMS/stepMS > s.value {
		s.value *= 1 + stepsGain*stepsQuantile
	} else {
		s.value *= 1 - stepsGain*(1-stepsQuantile)
	}
	s.value = min(maxSteps, max(minSteps, s.value))
	s.samples = min(s.samples+1, minStepSamples)
}

// Value returns the estimate; 0 until there are enough samples.
func (s *Steps) Value() float64 {
	if s == nil || s.samples < minStepSamples {
		return 0
	}
	return s.value
}
