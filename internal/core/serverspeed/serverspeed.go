// Package serverspeed estimates, from what one backend server reports and from the intervals between the events of
// its streams, by which factor work takes longer there than at the usual server of its service. The factor is the
// product of a steady part, that of the machine (for example 0.55 or 1.2), and a momentary one (for example 2.5 for
// 0.6 s). The package does no I/O and reads no clock.
package serverspeed

import (
	"math"
	"slices"
	"time"
)

// Bounds of a plausible report. A reported ratio outside them is malformed.
const (
	MinRatio = 0.05
	MaxRatio = 50.0
)

// Times in the estimate.
const (
	// MomentaryTime is how long a report, or slow events, say how fast the server is at the moment. A slow moment
	// of 0.6 s lasts another 0.3 s on average when it is seen.
	MomentaryTime = 300 * time.Millisecond
	// ReportRetention is the time after which a service without reports counts as one that reports nothing.
	ReportRetention = time.Minute
	// reportSpacing is the time for which reports count as one for the steady factor. Reports of a burst all fall
	// into the same slow moment.
	reportSpacing = 200 * time.Millisecond
	// steadyWindow is the time whose reports give the steady factor. Slow moments take 15% of the time, so that
	// they rarely fill half of it.
	steadyWindow = 4 * time.Second
	// minReports is the number of reports that count even if they are older than steadyWindow. The lower median
	// of three is wrong only if two fall into slow moments.
	minReports = 3
	// slowDecayAfter and slowDecayTime are the age from which the factor of a server that was slower than the
	// median decays to it, and the time constant. Hosts avoid a slow server, so that only the decay makes them
	// send the request with which they learn that it is fast again.
	slowDecayAfter = time.Second
	slowDecayTime  = 2 * time.Second
	// fastDecayAfter is the same age for a server faster than the median. It gets load and reports soon, so a
	// short time gains nothing. Its factor reaches the median at ReportRetention.
	fastDecayAfter = 10 * time.Second
)

// maxReports bounds the reports kept, one each reportSpacing of steadyWindow.
const maxReports = int(steadyWindow / reportSpacing)

// Source states what a factor is derived from.
type Source string

// Sources of a factor.
const (
	None    Source = "none"    // the service reports no work times
	Report  Source = "report"  // the server's last report, at most MomentaryTime old
	Events  Source = "events"  // intervals between events
	Reports Source = "reports" // the server's reports of the last seconds
	Median  Source = "median"  // the service's median, since the server has not reported
)

type report struct {
	ratio float64
	at    time.Time // of the first report in its spacing
}

// Estimator estimates the factor of one server process. The zero value is one without reports. It is not safe for
// concurrent use.
type Estimator struct {
	reports   []report // oldest first
	last      report
	steady    float64 // lower median of the reports that count at the last report
	intervals intervals
}

// RecordReport records a work time that the server reported, as a ratio to the usual one. It ignores implausible
// ones.
func (e *Estimator) RecordReport(ratio float64, now time.Time) {
	if !(ratio >= MinRatio && ratio <= MaxRatio) {
		return
	}
	e.last = report{ratio, now}
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < reportSpacing {
		e.reports[n-1].ratio = ratio
	} else {
		e.reports = append(e.reports, e.last)
	}
	e.reports = slices.DeleteFunc(e.reports, func(r report) bool { return now.Sub(r.at) > ReportRetention })
	e.reports = e.reports[max(0, len(e.reports)-maxReports):]
	e.steady = e.steadyAt(now)
}

func (e *Estimator) steadyAt(now time.Time) float64 {
	var ratios []float64
	for i, r := range e.reports {
		if now.Sub(r.at) <= steadyWindow || len(e.reports)-i <= minReports {
			ratios = append(ratios, r.ratio)
		}
	}
	return lowerMedian(ratios)
}

// RecordInterval records the time between two events of a stream. The caller leaves out intervals in which the
// server had prompts to prefill, which lengthen them as well.
func (e *Estimator) RecordInterval(interval time.Duration, now time.Time) {
	e.intervals.add(interval, now)
}

// ReportAge returns the age of the last report; ok is false if there is none within ReportRetention.
func (e *Estimator) ReportAge(now time.Time) (age time.Duration, ok bool) {
	age = now.Sub(e.last.at)
	return max(0, age), e.last.ratio > 0 && age <= ReportRetention
}

// Steady returns the factor of the machine without slow moments. median is that of the service.
func (e *Estimator) Steady(median float64, now time.Time) float64 {
	age, ok := e.ReportAge(now)
	if !ok {
		return median
	}
	return median + (e.steady-median)*e.weight(median, age)
}

// weight returns the weight of reports of an age against the service's median.
func (e *Estimator) weight(median float64, age time.Duration) float64 {
	if e.steady > median {
		return math.Exp(-max(0, age-slowDecayAfter).Seconds() / slowDecayTime.Seconds())
	}
	return 1 - max(0, age-fastDecayAfter).Seconds()/(ReportRetention-fastDecayAfter).Seconds()
}

// Factor returns the factor expected now and its source. median is that of the service.
func (e *Estimator) Factor(median float64, now time.Time) (float64, Source) {
	age, ok := e.ReportAge(now)
	if ok && age <= MomentaryTime {
		return e.last.ratio, Report
	}
	steady := e.Steady(median, now)
	if slower := e.intervals.slowdown(now); slower > 1 {
		return min(MaxRatio, steady*slower), Events
	}
	if !ok {
		return steady, Median
	}
	return steady, Reports
}

// Service holds the median of a service's servers. The zero value is a service without reports.
type Service struct {
	median, meanSpeed float64 // 0 if no server reports
	at                time.Time
}

// medianInterval is the time after which the median is computed again.
const medianInterval = 200 * time.Millisecond

// Due reports whether Update should be called. A service without reports is updated by the first report.
func (s *Service) Due(now time.Time) bool { return s.median > 0 && now.Sub(s.at) >= medianInterval }

// Update computes the median of the servers that reported within ReportRetention.
func (s *Service) Update(servers []*Estimator, now time.Time) {
	var factors []float64
	speeds := 0.0
	for _, e := range servers {
		if _, ok := e.ReportAge(now); ok {
			factors = append(factors, e.steady)
			speeds += 1 / e.steady
		}
	}
	*s = Service{at: now}
	if len(factors) > 0 {
		s.median, s.meanSpeed = lowerMedian(factors), speeds/float64(len(factors))
	}
}

// Reports reports whether a server of the service reported a work time within ReportRetention.
func (s *Service) Reports() bool { return s.median > 0 }

// Median returns the median of the steady factors of the service's servers, or 1 without reports.
func (s *Service) Median() float64 {
	if s.median == 0 {
		return 1
	}
	return s.median
}

// MeanSpeed returns the mean of the servers' reciprocal steady factors, which is the work that a server gets done on
// average, or 1 without reports.
func (s *Service) MeanSpeed() float64 {
	if s.median == 0 {
		return 1
	}
	return s.meanSpeed
}

// lowerMedian returns the middle value, or the lower one of the middle two: slow moments only raise the reports.
func lowerMedian(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
