package dispatch

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverload"
)

// arrivalsReportWindow is the period over which entry hosts report to each other how many
// requests callers send for a plain service. Reports are whole numbers, so the period is long
// enough for a host with one request every few seconds to report at least one.
const arrivalsReportWindow = 100 * time.Second

// RecordArrival records that a caller sent this entry host a request for a plain service.
func (f *Fleet) RecordArrival(service string, now time.Time) {
	a := f.arrivals[service]
	if a == nil {
		a = &arrivals{}
		f.arrivals[service] = a
	}
	a.add(now)
}

// arrivalsTimeConstant is the time constant with which the count of arrivals decays: it covers
// several requests of a region's entry hosts and is shorter than the build-up of a load peak.
const arrivalsTimeConstant = 800 * time.Millisecond

// arrivals estimates the rate at which callers of a region send requests for a plain service.
type arrivals struct {
	count           float64 // exponentially decaying count of the requests to this host, as of at
	first, at       time.Time
	othersPerSecond float64      // requests per second to the region's other entry hosts
	trend           arrivalTrend // of the region
}

func (a *arrivals) add(now time.Time) {
	if a.first.IsZero() {
		a.first = now
	}
	a.count, a.at = a.decayed(now)+1, now
}

func (a *arrivals) decayed(now time.Time) float64 {
	return a.count * math.Exp(-now.Sub(a.at).Seconds()/arrivalsTimeConstant.Seconds())
}

// ownPerSecond returns the requests per second that callers send to this host.
func (a *arrivals) ownPerSecond(now time.Time) float64 {
	seen := max(now.Sub(a.first), arrivalsTimeConstant/5).Seconds() / arrivalsTimeConstant.Seconds()
	return a.decayed(now) / arrivalsTimeConstant.Seconds() / (1 - math.Exp(-seen))
}

// perSecond returns the requests per second that all callers of the region send.
func (a *arrivals) perSecond(now time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.ownPerSecond(now) + a.othersPerSecond
}

// forecast returns the requests per second that all callers of the region send now, extrapolated from
// the rates at the reports of the other hosts.
func (a *arrivals) forecast(now time.Time) float64 {
	if a == nil || a.trend.rate == 0 {
		return a.perSecond(now)
	}
	return a.trend.forecast(now)
}

// addArrivals adds this host's arrival counts to the loads that it reports.
func (f *Fleet) addArrivals(loads serverload.Loads, now time.Time) {
	for service, a := range f.arrivals {
		if n := uint32(math.Round(a.ownPerSecond(now) * arrivalsReportWindow.Seconds())); n > 0 {
			loads[serverload.ServiceKey(service)] = serverload.Load{Requests: n}
		}
	}
}

// applyArrivals stores the arrival rates of the region's other hosts and drops services for
// which this host received no request within stateRetention.
func (f *Fleet) applyArrivals(loads serverload.Loads, now time.Time) {
	for service, a := range f.arrivals {
		if now.Sub(a.at) > stateRetention {
			delete(f.arrivals, service)
			continue
		}
		a.othersPerSecond = float64(loads[serverload.ServiceKey(service)].Requests) / arrivalsReportWindow.Seconds()
		a.trend.observe(a.perSecond(now), now)
	}
}
