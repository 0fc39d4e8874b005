package dispatch

import (
	"math"
	"time"
)

// Arrival rates are averages over arrivalsTimeConstant, and those of other regions are several
// hundred ms old when they arrive. While the load of a region rises or falls, shares by the rates as
// received send requests to a region that has become full, while another one that has become empty
// stays idle (TestNoRegionIdlesAtTheLimit). So the rates are extrapolated to the present.

const (
	// trendTimeConstant is the time constant of the moving average of a rate's slope.
	trendTimeConstant = 500 * time.Millisecond
	// minTrendInterval is the shortest interval from which a slope is taken.
	minTrendInterval = 50 * time.Millisecond
	// trendNoiseRequests is the number of requests in an average at which half of the slope is
	// assumed to be noise.
	trendNoiseRequests = 20.0
	// maxForecastFactor limits a forecast to a multiple of the last rate.
	maxForecastFactor = 2.0
)

// arrivalTrend is the last received arrival rate of a region and its slope.
type arrivalTrend struct {
	rate, slope float64 // requests per second, and its change per second
	at          time.Time
}

// observe records an arrival rate as of a time. A rate that begins or ends has no slope.
func (t *arrivalTrend) observe(rate float64, at time.Time) {
	interval := at.Sub(t.at)
	switch {
	case t.rate == 0 || rate == 0:
		*t = arrivalTrend{rate: rate, at: at}
		return
	case interval < minTrendInterval:
		return
	}
	weight := 1 - math.Exp(-interval.Seconds()/trendTimeConstant.Seconds())
	t.slope += weight * ((rate-t.rate)/interval.Seconds() - t.slope)
	t.rate, t.at = rate, at
}

// forecast returns the arrival rate now. The rate lags by its averaging time besides its age.
func (t *arrivalTrend) forecast(now time.Time) float64 {
	requests := t.rate * arrivalsTimeConstant.Seconds()
	significance := requests / (requests + trendNoiseRequests)
	lead := now.Sub(t.at) + arrivalsTimeConstant
	return min(maxForecastFactor*t.rate, max(0, t.rate+significance*t.slope*lead.Seconds()))
}
