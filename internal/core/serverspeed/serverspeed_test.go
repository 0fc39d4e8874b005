package serverspeed

import (
	"math"
	"testing"
	"time"
)

// TestFactorOverTime guards against a report that counts for longer than it says something, against a server that
// stays slow because it is avoided, and against a single long event interval that counts as a slow moment.
func TestFactorOverTime(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		reports   []float64 // one a second, the last one at start
		intervals []float64 // ms, of events from start on after usual ones of 60 ms
		after     time.Duration
		want      float64
		source    Source
	}{
		"slow moment":                {[]float64{0.5, 0.5, 2}, nil, 300 * time.Millisecond, 2, Report},
		"two slow moments of five":   {[]float64{1, 2.5, 1, 2.5, 1}, nil, time.Second, 1, Reports},
		"slow moment passed":         {[]float64{0.5, 0.5, 2}, nil, 301 * time.Millisecond, 0.5, Reports},
		"implausible reports":        {[]float64{0.55, math.NaN(), -1, 0, 0.04, 51, math.Inf(1)}, nil, 0, 0.55, Reports},
		"slow, avoided for 3 s":      {[]float64{4.2}, nil, 3 * time.Second, 1.2 + 3*math.Exp(-1), Reports},
		"fast, not used for 35 s":    {[]float64{0.6}, nil, 35 * time.Second, 0.9, Reports},
		"silent for over a minute":   {[]float64{0.6}, nil, time.Minute + 1, 1.2, Median},
		"one slow event":             {[]float64{0.5}, []float64{60, 150}, time.Second, 0.5, Reports},
		"slow events":                {[]float64{0.5}, []float64{150, 180}, time.Second, 1.25, Events},
		"implausible event interval": {[]float64{0.5}, []float64{150, 0, -1, 6000}, time.Second, 0.5, Reports},
	} {
		var e Estimator
		for i, r := range c.reports {
			e.RecordReport(r, start.Add(time.Duration(i-len(c.reports)+1)*time.Second))
		}
		for i, ms := range append([]float64{60, 60, 60, 60, 60, 60, 60, 60}, c.intervals...) {
			e.RecordInterval(time.Duration(ms)*time.Millisecond, start.Add(time.Duration(100*i)*time.Millisecond))
		}
		if got, source := e.Factor(1.2, start.Add(c.after)); math.Abs(got-c.want) > 1e-9 || source != c.source {
			t.Errorf("%s: factor %v from %s, want %v from %s", name, got, source, c.want, c.source)
		}
	}
}
