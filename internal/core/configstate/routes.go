package configstate

import (
	"fmt"
	"slices"
	"strings"
)

// RouteKind says how often a route's requests may run.
type RouteKind string

// Kinds of routes.
const (
	KindReadOnly      RouteKind = "read_only"      // may run any number of times
	KindNonIdempotent RouteKind = "non_idempotent" // runs at most once for each attempt of the caller
	KindStream        RouteKind = "stream"         // answered by server-sent events
)

// Route sends the requests of one host and path prefix, as they came, to the
// backend servers of a service.
type Route struct {
	Name string `json:"name"`
	// Host is the request's Host header, without a port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash; the longest one that begins the
	// request's path is used.
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// Targets are the services that share the route's requests by weight.
	Targets []RouteTarget `json:"targets"`
	// Attempts bounds the backend servers that one request may be sent to (1 to 10).
	Attempts int `json:"attempts"`
	// TimeoutMS is the longest time a caller is kept waiting, in ms.
	TimeoutMS int64 `json:"timeout_ms"`
	// LatencyTargetMS is the time to the answer, or to a stream's first event,
	// that callers expect, in ms.
	LatencyTargetMS int64 `json:"latency_target_ms"`
	// GapTargetMS is the longest pause between a stream's events that callers
	// expect, in ms.
	GapTargetMS int64 `json:"gap_target_ms"`
	// Priority orders routes of one service: 0 goes first.
	Priority int `json:"priority"`
	// Resumable marks streams that another server can continue after the last
	// event passed on.
	Resumable bool `json:"resumable"`
	// Homes lists the regions whose servers may run the requests; empty means all.
	Homes []string `json:"homes"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
}

// RouteTarget is a service with its share of a route's requests.
type RouteTarget struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// RoutedService is a service that routes name.
type RoutedService struct {
	Name string `json:"name"`
	// MaxConns bounds the connections of all hosts to one of its servers.
	MaxConns int `json:"max_conns"`
	// ColdPerSecond is the number of requests a second that a cold server
	// tolerates; 0 when the service's servers have no cold phase.
	ColdPerSecond float64 `json:"cold_per_second"`
	// Engine is set for model engines.
	Engine *EngineLimits `json:"engine,omitempty"`
}

// EngineLimits describes the engines of a service.
type EngineLimits struct {
	// Slots is the number of requests in one batch.
	Slots int `json:"slots"`
	// MemoryTokens is the size of the KV cache, in tokens.
	MemoryTokens int64 `json:"memory_tokens"`
	// TokenBytes is the size of a token in the KV cache, in bytes, and TransferMbps
	// how fast engines copy KV cache from each other, in Mbit/s. Without them engines
	// copy nothing.
	TokenBytes   int64   `json:"token_bytes,omitempty"`
	TransferMbps float64 `json:"transfer_mbps,omitempty"`
}

// CopyRate returns how fast engines copy KV cache from each other, in tokens per ms;
// 0 when they don't.
func (e *EngineLimits) CopyRate() float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	const bitsPerMS = 1000 // of one Mbit/s
	return e.TransferMbps * bitsPerMS / float64(8*e.TokenBytes)
}

// RequestLimits bounds what callers of routes may send.
type RequestLimits struct {
	MaxHeaderBytes  int   `json:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
}

// Idempotent reports whether a request of the route may run more than once. A
// stream may when it is resumable: a second server continues the first's events.
func (r *Route) Idempotent() bool {
	return r.Kind == KindReadOnly || (r.Kind == KindStream && r.Resumable)
}

// Permits reports whether servers of the region may run the route's requests.
func (r *Route) Permits(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Service returns the service for a request; point (0 to 1) picks among several
// by weight, and is derived from the request so that every host picks the same.
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

// RouteFor returns the route of a request: of the routes with its host, the one
// with the longest prefix of its path.
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

// HasRoutes reports whether any route has the host.
func (r *Record) HasRoutes(host string) bool { return len(r.routesByHost[host]) > 0 }

// HostHomes returns the regions that every route of the host permits; nil when
// no route of the host is bound to regions.
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

func (r *Record) indexRoutes() {
	r.routesByHost = map[string][]int{}
	for i := range r.Routes {
		h := r.Routes[i].Host
		r.routesByHost[h] = append(r.routesByHost[h], i)
	}
}

// checkRoutes names every fault of the routes and of the services they use.
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
