// Package backend holds what a host knows of the backend servers of its failure
// domain: their announcements as leases, the host's own dispatches since, a
// breaker for each, and a slow start for those that return cold.
package backend

import (
	"slices"
	"sort"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Limits holds the table's times.
type Limits struct {
	Lease     time.Duration // validity of an announcement
	SlowStart time.Duration // time until a new server takes its full share
	Lag       time.Duration // assumed age of a load figure when it is announced
}

// Breaker times: after a connection failure a server is left alone, longer
// after each further one; then one attempt probes it.
const (
	breakerFirst = 500 * time.Millisecond
	breakerMax   = 10 * time.Second
)

// Server is one backend server.
type Server struct {
	State      *pb.BackendState
	HeardAt    time.Time // when the sponsor heard it, on this host's clock
	FirstSeen  time.Time // start of this incarnation's slow start
	Inflight   int       // own attempts under way
	failures   int
	closedAt   time.Time // breaker: next attempt allowed from here on
	probing    bool
	history    history
	cache      *cache
	serviceSum float64 // moving mean of the time an attempt holds a slot, in ms
}

// Table holds the servers of one failure domain. It is not safe for concurrent use.
type Table struct {
	limits  Limits
	servers map[string]*Server
	sharers float64 // hosts that send to these servers, this one included
	lag     lagEstimate
	own     map[string]*meanLoad            // by kind of server
	others  map[string]map[string]otherLoad // by kind, by host
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table {
	return &Table{
		limits: l, servers: map[string]*Server{}, sharers: 1, lag: newLagEstimate(l.Lag),
		own:    map[string]*meanLoad{KindEngine: {}, KindService: {}},
		others: map[string]map[string]otherLoad{KindEngine: {}, KindService: {}},
	}
}

// SetSharers fixes how many hosts send to these servers, this one included.
func (t *Table) SetSharers(n int) { t.sharers = float64(max(n, 1)) }

// Merge takes an announcement, received directly or from its sponsor. The same
// server heard through two hosts is one server: only a higher incarnation, or a
// later announcement of the same, replaces what is held.
func (t *Table) Merge(st *pb.BackendState, now time.Time) bool {
	if t.own[st.Kind] == nil {
		return false
	}
	s := t.servers[st.Id]
	if s != nil && !supersedes(st, s.State) {
		return false
	}
	heard := now.Add(-time.Duration(st.AgeMs) * time.Millisecond)
	switch {
	case s == nil:
		s = &Server{FirstSeen: now, cache: newCache()}
		t.servers[st.Id] = s
	case st.Incarnation > s.State.Incarnation:
		*s = Server{FirstSeen: now, Inflight: s.Inflight, cache: newCache(), serviceSum: s.serviceSum}
	case now.Sub(s.HeardAt) > t.limits.Lease:
		s.FirstSeen = now // returns after a lapse: its cache may be cold
	}
	s.State, s.HeardAt = st, heard
	t.lag.observe(s, t.sharers)
	s.cache.advertise(st.Prefixes)
	return true
}

func supersedes(a, b *pb.BackendState) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// expiredFactor times the lease is how long a lapsed server is remembered, so
// that a late copy of an old announcement does not look new.
const expiredFactor = 20

// Expire forgets servers that lapsed long ago.
func (t *Table) Expire(now time.Time) {
	for id, s := range t.servers {
		if s.Inflight == 0 && now.Sub(s.HeardAt) > expiredFactor*t.limits.Lease {
			delete(t.servers, id)
		}
	}
}

// Get returns the server with the ID, or nil.
func (t *Table) Get(id string) *Server { return t.servers[id] }

// All returns the servers sorted by ID.
func (t *Table) All() []*Server {
	out := make([]*Server, 0, len(t.servers))
	for _, s := range t.servers {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].State.Id < out[j].State.Id })
	return out
}

// Serves reports whether the server serves the model or service.
func (s *Server) Serves(kind, name string) bool {
	return s.State.Kind == kind && slices.Contains(s.State.Models, name)
}

// Skip says why a server is passed over.
type Skip string

// Reasons to pass a server over.
const (
	SkipNone    Skip = ""
	SkipLeaving Skip = "leaving"
	SkipLapsed  Skip = "lease lapsed"
	SkipBreaker Skip = "breaker open"
	SkipFull    Skip = "queue full"
)

// Usable returns why the server may not be given new work, or SkipNone.
func (t *Table) Usable(s *Server, now time.Time) Skip {
	switch {
	case s.State.Leaving:
		return SkipLeaving
	case now.Sub(s.HeardAt) > t.limits.Lease:
		return SkipLapsed
	case now.Before(s.closedAt) || (s.failures > 0 && s.probing):
		return SkipBreaker
	}
	return SkipNone
}

// Ramp returns the share of its capacity that a server may take (0 to 1): new
// and returning servers start small.
func (t *Table) Ramp(s *Server, now time.Time) float64 {
	const floor = 0.2
	age := now.Sub(s.FirstSeen)
	if t.limits.SlowStart <= 0 || age >= t.limits.SlowStart {
		return 1
	}
	return floor + (1-floor)*float64(age)/float64(t.limits.SlowStart)
}

// Started records an own attempt.
func (t *Table) Started(s *Server, prefixes []uint64, now time.Time) {
	if s.failures > 0 {
		s.probing = true
	}
	s.Inflight++
	s.cache.sent(prefixes)
	s.history.record(now, s.Inflight)
	t.own[s.State.Kind].change(1, now)
}

// serviceWeight is the weight of the newest sample in the mean service time.
const serviceWeight = 0.1

// Finished records the end of an own attempt. connected is false when the
// server could not be reached or broke the connection.
func (t *Table) Finished(s *Server, connected bool, held time.Duration, now time.Time) {
	s.Inflight = max(s.Inflight-1, 0)
	t.own[s.State.Kind].change(-1, now)
	s.history.record(now, s.Inflight)
	s.probing = false
	if !connected {
		pause := min(breakerFirst<<min(s.failures, 5), breakerMax)
		s.failures++
		s.closedAt = now.Add(pause)
		return
	}
	s.failures = 0
	s.closedAt = time.Time{}
	ms := float64(held.Milliseconds())
	if s.serviceSum == 0 {
		s.serviceSum = ms
	}
	s.serviceSum += serviceWeight * (ms - s.serviceSum)
}

// defaultServiceMS is assumed before any attempt was seen to finish.
const defaultServiceMS = 1000

// ServiceMS returns the mean time an attempt holds a slot, in ms.
func (s *Server) ServiceMS() float64 {
	if s.serviceSum > 0 {
		return s.serviceSum
	}
	return defaultServiceMS
}

// Cached returns the share of the prefix chain that the server probably holds
// (0 to 1).
func (s *Server) Cached(prefixes []uint64) float64 { return s.cache.covered(prefixes) }

// CacheEvents takes a batch of cache events with consecutive numbers from first
// on. A gap makes the view uncertain: it is dropped and built anew.
func (s *Server) CacheEvents(first uint64, added, evicted []uint64) (gap bool) {
	return s.cache.events(first, added, evicted)
}
