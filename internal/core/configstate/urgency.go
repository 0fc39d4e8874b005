package configstate

import (
	"cmp"
	"slices"
	"time"
)

// minTargetRatio is the ratio of a less urgent route's latency target to a more urgent one's from which serving the
// more urgent route first delays the less urgent one by at most half of its target.
const minTargetRatio = 2

// UrgencyClass is a set of a service's requests that are served in one order.
type UrgencyClass struct {
	// TeamPriority is the priority of the requests' teams; higher values are more urgent.
	TeamPriority int
	// Priority is the priority of the requests' routes; lower values are more urgent.
	Priority int
	// Target is the shortest latency target of the routes.
	Target time.Duration
}

// UrgencyClasses returns the classes of a service's requests, most urgent first. It returns nil unless the routes of
// the service have at least two priorities, and each route at least twice the latency target of every more urgent
// one: only then does the order of priority agree with the order of due times.
func (r *Record) UrgencyClasses(service string) []UrgencyClass {
	routes := r.routePriorities(service)
	if len(routes) < 2 {
		return nil
	}
	var out []UrgencyClass
	for _, team := range r.teamPriorities(service) {
		for _, p := range routes {
			out = append(out, UrgencyClass{team, p.priority, time.Duration(p.shortestMS) * time.Millisecond})
		}
	}
	return out
}

// ClassOf returns the index of the class of a request with these priorities in a service's classes: the first one
// that is not more urgent, or the last one.
func ClassOf(classes []UrgencyClass, teamPriority, priority int) int {
	i := slices.IndexFunc(classes, func(c UrgencyClass) bool {
		return c.TeamPriority < teamPriority || (c.TeamPriority == teamPriority && c.Priority >= priority)
	})
	if i < 0 {
		return len(classes) - 1
	}
	return i
}

// routePriority is the latency targets of the routes of one priority, in ms.
type routePriority struct {
	priority              int
	shortestMS, longestMS int64
}

// routePriorities returns the priorities of the routes to a service, most urgent first; nil if their latency targets
// do not agree with that order.
func (r *Record) routePriorities(service string) []routePriority {
	var out []routePriority
	for i := range r.Routes {
		route := &r.Routes[i]
		if !route.SendsTo(service) {
			continue
		}
		if route.LatencyTargetMS <= 0 {
			return nil
		}
		out = addTarget(out, route)
	}
	slices.SortFunc(out, func(a, b routePriority) int { return cmp.Compare(a.priority, b.priority) })
	longest := int64(0)
	for _, p := range out {
		if p.shortestMS < minTargetRatio*longest {
			return nil
		}
		longest = max(longest, p.longestMS)
	}
	return out
}

func addTarget(list []routePriority, route *Route) []routePriority {
	for i := range list {
		if p := &list[i]; p.priority == route.Priority {
			p.shortestMS, p.longestMS = min(p.shortestMS, route.LatencyTargetMS), max(p.longestMS, route.LatencyTargetMS)
			return list
		}
	}
	return append(list, routePriority{route.Priority, route.LatencyTargetMS, route.LatencyTargetMS})
}

// teamPriorities returns the priorities of the teams whose requests may reach a service, highest first. Requests
// without a team have priority 0.
func (r *Record) teamPriorities(service string) []int {
	var out []int
	for i := range r.Teams {
		out = append(out, r.Teams[i].Priority)
	}
	if len(out) == 0 || !r.KeysRequired || r.hasPublicRoute(service) {
		out = append(out, 0)
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(b, a) })
	return slices.Compact(out)
}

func (r *Record) hasPublicRoute(service string) bool {
	return slices.ContainsFunc(r.Routes, func(route Route) bool { return route.Public && route.SendsTo(service) })
}

// SendsTo reports whether the route sends any of its requests to a service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t RouteTarget) bool { return t.Service == service && t.Weight > 0 })
}
