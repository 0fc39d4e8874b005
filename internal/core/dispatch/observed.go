package dispatch

import (
	"math"
	"time"
)

// Servers report with their answers how many requests they have. The loads of other entry hosts
// that control hosts report are complete only while the control hosts reach each other: during
// a network cut each of them reports the hosts of its own failure domain only, and all hosts
// together send servers several times the load that each host has recorded. So the request
// counts that servers report are compared with the recorded ones at that moment, and the load
// of other hosts is assumed to be higher by the same factor at all servers of the service
// (TestOverloadWhileControlHostsAreCut).

// Parameters of the comparison.
const (
	// comparisonTimeConstant is the time constant with which a comparison decays: within it
	// about as many answers arrive as there are servers, and a cut lasts longer.
	comparisonTimeConstant = time.Second
	// comparisonPrior is a number of requests that is added to both sides of the comparison, so
	// that a few answers do not change the result.
	comparisonPrior = 20.0
	// maxUnreportedFactor bounds the factor between actual and recorded requests.
	maxUnreportedFactor = 8.0
)

// loadComparison compares the requests of other hosts that servers report with the recorded
// ones, both as exponentially decaying sums.
type loadComparison struct {
	reported, recorded float64
	at                 time.Time
}

func (o *loadComparison) add(reported, recorded float64, now time.Time) {
	fade := math.Exp(-max(0, now.Sub(o.at).Seconds()) / comparisonTimeConstant.Seconds())
	o.reported, o.recorded, o.at = o.reported*fade+reported, o.recorded*fade+recorded, now
}

// unreportedFactor returns the factor by which other hosts have more requests in flight than are
// recorded; at least 1.
func (o *loadComparison) unreportedFactor(now time.Time) float64 {
	if o == nil {
		return 1
	}
	fade := math.Exp(-max(0, now.Sub(o.at).Seconds()) / comparisonTimeConstant.Seconds())
	return min(maxUnreportedFactor, max(1, (o.reported*fade+comparisonPrior)/(o.recorded*fade+comparisonPrior)))
}

// RecordReportedRequests records the number of requests, running and waiting, that the server of
// an attempt reported with the head of its answer.
func (f *Fleet) RecordReportedRequests(c *Choice, requests int, now time.Time) {
	s := c.Server
	if s == nil || f.disabled(ReportedLoads) {
		return
	}
	o := f.comparisons[s.Service]
	if o == nil {
		o = &loadComparison{}
		f.comparisons[s.Service] = o
	}
	o.add(math.Max(0, float64(requests-s.inFlight())), float64(s.others.requests+s.othersDeferred), now)
}

// requestsAt returns the estimated number of requests at a server of the own region.
func (f *Fleet) requestsAt(s *Server, now time.Time) float64 {
	return float64(s.own.requests) + f.unreportedFactor(s.Service, now)*float64(s.others.requests)
}

// unreportedFactor returns the factor by which other hosts have more work at the own region's
// servers of a service than is recorded.
func (f *Fleet) unreportedFactor(service string, now time.Time) float64 {
	return f.comparisons[service].unreportedFactor(now)
}
