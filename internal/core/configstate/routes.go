package configstate

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RouteKind states how often a route's requests may run and how they are answered.
type RouteKind string

// Kinds of routes.
const (
	KindReadOnly      RouteKind = "read_only"      // may run any number of times
	KindNonIdempotent RouteKind = "non_idempotent" // runs at most once for each attempt of the caller
	KindStream        RouteKind = "stream"         // answered with server-sent events
)

// Route sends the requests of one host and path prefix unchanged to the backend
// servers of its target services.
type Route struct {
	Name string `json:"name"`
	// Host is the request's Host header, without a port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash. The route with the longest matching
	// prefix is used.
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// Targets are the services among which the route's requests are split by weight.
	Targets []RouteTarget `json:"targets"`
	// Attempts bounds the number of backend servers that one request may be sent to (at least 1).
	Attempts int `json:"attempts"`
	// TimeoutMS is the maximum time that a caller waits, in ms.
	TimeoutMS int64 `json:"timeout_ms"`
	// LatencyTargetMS is the target time to the answer, or to a stream's first
	// event, in ms.
	LatencyTargetMS int64 `json:"latency_target_ms"`
	// GapTargetMS is the target for the longest gap between a stream's events, in ms.
	GapTargetMS int64 `json:"gap_target_ms"`
	// Priority orders the routes of one service: lower values are served first, 0 being the first.
	Priority int `json:"priority"`
	// Resumable states that another server can continue the route's streams after the
	// last event that was forwarded.
	Resumable bool `json:"resumable"`
	// Homes lists the regions whose servers may run the requests; empty means all.
	Homes []string `json:"homes"`
	// Public states that requests need no key.
	Public bool `json:"public,omitempty"`
}

// RouteTarget is a service with its weight in the split of a route's requests.
type RouteTarget struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// RoutedService is a service that routes may target.
type RoutedService struct {
	Name string `json:"name"`
	// MaxConns bounds the connections of all entry hosts together to one of its servers.
	MaxConns int `json:"max_conns"`
	// ColdPerSecond is the request rate that a cold server sustains, per second; 0 when
	// the service's servers need no warm-up.
	ColdPerSecond float64 `json:"cold_per_second"`
	// ColdSeconds is how long a server stays cold after it became cold, in seconds; 0 when
	// that is not known.
	ColdSeconds float64 `json:"cold_seconds,omitempty"`
	// Engine describes the service's model engines; nil for other services.
	Engine *EngineLimits `json:"engine,omitempty"`
}

// EngineLimits describes the engines of a service.
type EngineLimits struct {
	// Slots is the maximum number of requests in one batch.
	Slots int `json:"slots"`
	// MemoryTokens is the size of the KV cache, in tokens.
	MemoryTokens int64 `json:"memory_tokens"`
	// TokenBytes is the size of a token in the KV cache, in bytes, and TransferMbps the
	// rate at which engines copy KV cache from each other, in Mbit/s. If either is 0,
	// engines copy nothing.
	TokenBytes   int64   `json:"token_bytes,omitempty"`
	TransferMbps float64 `json:"transfer_mbps,omitempty"`
}

// CopyRate returns the rate at which engines copy KV cache from each other, in tokens per
// ms; 0 when they do not.
func (e *EngineLimits) CopyRate() float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	const bitsPerMS = 1000 // bits per ms at 1 Mbit/s
	return e.TransferMbps * bitsPerMS / float64(8*e.TokenBytes)
}

// RequestLimits bounds the requests of callers on routes.
type RequestLimits struct {
	MaxHeaderBytes  int   `json:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
}

// Idempotent reports whether a request of the route may run more than once. A stream
// may if it is resumable: the second server continues after the first one's events.
func (r *Route) Idempotent() bool {
	return r.Kind == KindReadOnly || (r.Kind == KindStream && r.Resumable)
}

// Permits reports whether servers of the region may run the route's requests.
func (r *Route) Permits(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Service returns the service for a request. point, in [0, 1), selects among several by
// weight; it must be derived from the request, so that every host selects the same.
func (r *Route) Service(point float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	point *= sum
	service := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		service = t.Service
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return service
}

// RouteFor returns the route of a request: among the routes of its host, the one with
// the longest matching path prefix.
func (r *Record) RouteFor(host, path string) (*Route, bool) {
	var best *Route
	for _, i := range r.routesByHost[host] {
		route := &r.Routes[i]
		if !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if best == nil || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
		}
	}
	return best, best != nil
}

// StreamRetention returns how long the origins of streams are kept: callers may take up a stream until the
// route's timeout has passed after it began, and again after that.
func (r *Record) StreamRetention() time.Duration {
	longest := int64(0)
	for i := range r.Routes {
		if r.Routes[i].Kind == KindStream {
			longest = max(longest, r.Routes[i].TimeoutMS)
		}
	}
	return min(2*time.Duration(longest)*time.Millisecond, maxStreamRetention)
}

// maxStreamRetention bounds the retention of origins for routes with a very long timeout.
const maxStreamRetention = 10 * time.Minute

// HasRoutes reports whether any route has the host.
func (r *Record) HasRoutes(host string) bool { return len(r.routesByHost[host]) > 0 }

// HostHomes returns the regions that every route of the host permits; nil when no route
// of the host is restricted to regions.
func (r *Record) HostHomes(host string) []string {
	var homes []string
	bound := false
	for _, i := range r.routesByHost[host] {
		route := &r.Routes[i]
		switch {
		case len(route.Homes) == 0:
		case !bound:
			homes, bound = slices.Clone(route.Homes), true
		default:
			homes = slices.DeleteFunc(homes, func(h string) bool { return !slices.Contains(route.Homes, h) })
		}
	}
	return homes
}

// RoutedService returns the routed service with the name.
func (r *Record) RoutedService(name string) (*RoutedService, bool) {
	for i := range r.RoutedServices {
		if r.RoutedServices[i].Name == name {
			return &r.RoutedServices[i], true
		}
	}
	return nil, false
}

// indexRoutes indexes the routes by host.
func (r *Record) indexRoutes() {
	r.routesByHost = map[string][]int{}
	for i := range r.Routes {
		h := r.Routes[i].Host
		r.routesByHost[h] = append(r.routesByHost[h], i)
	}
}

// checkRoutes validates the routed services and the routes.
func (v *validator) checkRoutes(r *Record) {
	services := map[string]bool{}
	for i, s := range r.RoutedServices {
		field := fmt.Sprintf("routed_services[%d]", i)
		if s.Name == "" || services[s.Name] {
			v.addError(field+".name", "%q is empty or used twice", s.Name)
		}
		services[s.Name] = true
		if s.ColdPerSecond < 0 {
			v.addError(field+".cold_per_second", "%v is negative", s.ColdPerSecond)
		}
		if s.ColdSeconds < 0 {
			v.addError(field+".cold_seconds", "%v is negative", s.ColdSeconds)
		}
	}
	type hostAndPrefix struct{ host, prefix string }
	taken := map[hostAndPrefix]string{}
	for i := range r.Routes {
		route := &r.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		v.checkRoute(field, route, services)
		at := hostAndPrefix{route.Host, route.PathPrefix}
		if other, ok := taken[at]; ok {
			v.addError(field+".path_prefix", "route %q has the same host and prefix", other)
		}
		taken[at] = route.Name
	}
}

func (v *validator) checkRoute(field string, route *Route, services map[string]bool) {
	if !slices.Contains([]RouteKind{KindReadOnly, KindNonIdempotent, KindStream}, route.Kind) {
		v.addError(field+".kind", "%q is not one of read_only, non_idempotent, stream", route.Kind)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		v.addError(field+".path_prefix", "%q does not begin and end with a slash", route.PathPrefix)
	}
	if route.TimeoutMS <= 0 {
		v.addError(field+".timeout_ms", "%d is not positive", route.TimeoutMS)
	}
	if route.Attempts < 1 {
		v.addError(field+".attempts", "%d is below 1", route.Attempts)
	}
	sum := 0.0
	for j, t := range route.Targets {
		if !services[t.Service] {
			v.addError(fmt.Sprintf("%s.targets[%d].service", field, j), "%q is not in routed_services", t.Service)
		}
		if t.Weight < 0 {
			v.addError(fmt.Sprintf("%s.targets[%d].weight", field, j), "%v is negative", t.Weight)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		v.addError(field+".targets", "the weights add up to %v", sum)
	}
}
