package dispatch

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverspeed"
)

// Servers of a service may differ in speed, and each may be slow for moments. Where they report how long work takes
// on their machine (Answer.WorkTime in the gateway), the estimates of a service are those of a server with factor 1:
// samples are divided by the factor of the server that gave them, and estimates for a server are multiplied by it.
// The factors are on the scale of the reports, so that a change in the mix of servers moves no learned speed.

// RecordWorkTime records the work time that the server of an attempt reported with the head of its answer, as a
// ratio to the usual one.
func (f *Fleet) RecordWorkTime(c *Choice, ratio float64, now time.Time) {
	s := c.Server
	if s == nil || s.replaced || f.disabled(WorkFactors) {
		return
	}
	s.workTime.RecordReport(ratio, now)
	if w := f.workTimesOf(s.Service, now); !w.Reports() {
		f.updateWorkTimes(s.Service, w, now)
	}
}

// RecordEventInterval records the time between two events of an attempt's stream. It ignores intervals in which the
// server had prompts to prefill, as chunks of prefill lengthen them, not a slow machine.
func (f *Fleet) RecordEventInterval(c *Choice, interval time.Duration, now time.Time) {
	s := c.Server
	if s == nil || s.own.prompt > 0 || s.others.prompt > 0 || !f.workTimesOf(s.Service, now).Reports() {
		return
	}
	s.workTime.RecordInterval(interval, now)
}

// workTimesOf returns the median of a service's work times.
func (f *Fleet) workTimesOf(service string, now time.Time) *serverspeed.Service {
	if now.After(f.workTimesAt) {
		f.workTimesAt = now
	}
	w := f.workTimes[service]
	if w == nil {
		w = &serverspeed.Service{}
		f.workTimes[service] = w
	}
	if w.Due(now) {
		f.updateWorkTimes(service, w, now)
	}
	return w
}

// reportsWorkTime reports whether a server of the service has reported a work time lately.
func (f *Fleet) reportsWorkTime(service string) bool {
	return f.workTimesOf(service, f.latestTime()).Reports()
}

func (f *Fleet) updateWorkTimes(service string, w *serverspeed.Service, now time.Time) {
	var estimators []*serverspeed.Estimator
	for _, s := range f.servers {
		if s.Service == service {
			estimators = append(estimators, &s.workTime)
		}
	}
	w.Update(estimators, now)
}

// latestTime returns the latest time that this fleet was given.
func (f *Fleet) latestTime() time.Time {
	if f.lastViewAt.After(f.workTimesAt) {
		return f.lastViewAt
	}
	return f.workTimesAt
}

// steadyFactor returns the ratio of the time that work usually takes at a server to that at the service's usual
// server. It is 1 for a service whose servers report no work time.
func (f *Fleet) steadyFactor(s *Server) float64 {
	now := f.latestTime()
	w := f.workTimesOf(s.Service, now)
	if !w.Reports() {
		return 1
	}
	return s.workTime.Steady(w.Median(), now)
}

// workFactor returns the ratio of the time that work is expected to take at a server now to the usual one of its
// service. It is 1 for a service whose servers report no work time.
func (f *Fleet) workFactor(s *Server, now time.Time) float64 {
	factor, _ := f.workFactorSource(s, now)
	return factor
}

func (f *Fleet) workFactorSource(s *Server, now time.Time) (float64, serverspeed.Source) {
	w := f.workTimesOf(s.Service, now)
	if !w.Reports() {
		return 1, serverspeed.None
	}
	return s.workTime.Factor(w.Median(), now)
}

// usualFactor returns the factor of a server of the service that is not known by itself, such as one of another
// region.
func (f *Fleet) usualFactor(service string, now time.Time) float64 {
	return f.workTimesOf(service, now).Median()
}

// WorkFactor describes the factor by which work takes longer at a server than usual.
type WorkFactor struct {
	Factor float64            `json:"factor"` // expected now
	Steady float64            `json:"steady"` // without slow moments
	AgeMS  int64              `json:"age_ms"` // of the server's last report, in ms; -1 without one in the last minute
	Source serverspeed.Source `json:"source"`
}

// WorkFactor returns the factor of a server; reported is false if no server of the service reports work times.
func (f *Fleet) WorkFactor(s *Server, now time.Time) (w WorkFactor, reported bool) {
	service := f.workTimesOf(s.Service, now)
	if !service.Reports() {
		return WorkFactor{}, false
	}
	w = WorkFactor{Steady: s.workTime.Steady(service.Median(), now), AgeMS: -1}
	w.Factor, w.Source = s.workTime.Factor(service.Median(), now)
	if age, ok := s.workTime.ReportAge(now); ok {
		w.AgeMS = age.Milliseconds()
	}
	return w, true
}

// workFactors returns the factors of a service's servers by ID; nil if none reports work times.
func (f *Fleet) workFactors(service string, now time.Time) map[string]WorkFactor {
	var out map[string]WorkFactor
	for _, s := range f.serversOf(service) {
		if w, reported := f.WorkFactor(s, now); reported {
			if out == nil {
				out = map[string]WorkFactor{}
			}
			out[s.ID] = w
		}
	}
	return out
}

// expectedFirstByte returns the time in which the first byte was expected, with what the server's reports say of its
// speed since. A known slow moment is no further delay of the server (health.excess).
func (c *Choice) expectedFirstByte() time.Duration {
	return time.Duration(c.EstimateMS * math.Max(1, c.slower) * float64(time.Millisecond))
}

// firstByteFactor returns the factor for a request's time to its first byte: the mean of the factors at its start
// and at its end, as a slow moment may begin or end in between.
func (f *Fleet) firstByteFactor(c *Choice, took time.Duration) float64 {
	if c.workFactor == 0 {
		return 1 // the choice is not Choose's
	}
	return (c.workFactor + f.workFactor(c.Server, c.startedAt.Add(took))) / 2
}
