// Package backend holds an entry host's view of the backend servers of its failure
// domain: their announcements as leases, the host's own attempts since then, a
// circuit breaker for each server, and a slow start for servers that return cold.
package backend

import (
	"slices"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Limits holds the durations that configure a Table.
type Limits struct {
	Lease     time.Duration // validity of an announcement
	SlowStart time.Duration // time until a new server gets its full share
	Lag       time.Duration // assumed age of a load report when it is announced
}

// Circuit breaker pauses: after a connection failure no attempt is made at a server for a
// pause that doubles with each further failure; then a single attempt probes it.
const (
	initialBreakerPause = 500 * time.Millisecond
	maxBreakerPause     = 10 * time.Second
)

// Server is one backend server.
type Server struct {
	State         *pb.BackendState
	LastSeen      time.Time // when an entry host received the announcement, on this host's clock
	FirstSeen     time.Time // start of this incarnation's slow start
	Inflight      int       // this host's attempts in flight
	failures      int
	retryAt       time.Time // circuit breaker: no attempt before this time
	probing       bool
	history       history
	cache         *cache
	pause         serverpause.State
	leaving       bool    // an answer of this process said that it leaves
	meanServiceMS float64 // moving mean of the time an attempt holds a slot, in ms; 0 before the first
}

// Table holds the servers of one failure domain. It is not safe for concurrent use.
type Table struct {
	limits  Limits
	servers map[string]*Server
	senders float64 // entry hosts that send to these servers, this one included
	lag     lagEstimate
	own     map[string]*meanLoad            // by kind of server
	others  map[string]map[string]otherLoad // by kind, by host
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table {
	return &Table{
		limits: l, servers: map[string]*Server{}, senders: 1, lag: newLagEstimate(l.Lag),
		own:    map[string]*meanLoad{KindEngine: {}, KindService: {}},
		others: map[string]map[string]otherLoad{KindEngine: {}, KindService: {}},
	}
}

// SetSenders sets how many entry hosts send to these servers, this one included.
func (t *Table) SetSenders(n int) { t.senders = float64(max(n, 1)) }

// Merge records an announcement, received from the server or forwarded by another entry host. It
// reports whether the announcement replaced the held state: only a higher incarnation, or a
// higher sequence number of the same incarnation, does. A server announced through two entry
// hosts is thus one server.
func (t *Table) Merge(st *pb.BackendState, now time.Time) bool {
	if t.own[st.Kind] == nil {
		return false
	}
	s := t.servers[st.Id]
	if s != nil && !supersedes(st, s.State) {
		return false
	}
	receivedAt := now.Add(-time.Duration(st.AgeMs) * time.Millisecond)
	switch {
	case s == nil:
		s = &Server{FirstSeen: now, cache: newCache()}
		t.servers[st.Id] = s
	case st.Incarnation > s.State.Incarnation:
		*s = Server{
			FirstSeen: now, Inflight: s.Inflight, cache: newCache(), meanServiceMS: s.meanServiceMS,
			pause: s.pause.Succeeded(s.LastSeen.Add(-maxAnnouncementDelay), now),
		}
	case now.Sub(s.LastSeen) > t.limits.Lease:
		s.FirstSeen = now // the lease had lapsed: its cache may be cold
	}
	s.State, s.LastSeen = st, receivedAt
	t.lag.observe(s, t.senders)
	s.cache.addAll(st.Prefixes)
	return true
}

// maxAnnouncementDelay is the longest time from the moment at which a server sends an announcement to the
// one that its age is counted from.
const maxAnnouncementDelay = time.Second

// RecordPause records that an answer to an attempt at an incarnation of a server asks for a pause. random is
// in [0, 1). It returns the state of the server's pauses, and whether the answer began one. If another process
// runs under the server's ID by now, that one may have sent the answer, and pauses too.
func (t *Table) RecordPause(s *Server, incarnation uint64, d serverpause.Demand, random float64, now time.Time) (p serverpause.State, began bool) {
	before := s.pause
	if incarnation != s.State.Incarnation {
		if p := (serverpause.State{}).After(d, random, now).Succeeded(time.Time{}, now); p.Until.After(before.Until) {
			s.pause = p
		}
		return s.pause, false
	}
	s.pause = before.After(d, random, now)
	return s.pause, s.pause != before && before.Left(now) == 0
}

// RecordLeaving records that an answer to an attempt at an incarnation of a server says that it leaves. It
// reports whether that is new. Another process that runs under the server's ID by now is not concerned.
func (t *Table) RecordLeaving(s *Server, incarnation uint64) bool {
	if incarnation != s.State.Incarnation || s.Leaving() {
		return false
	}
	s.leaving = true
	return true
}

// Leaving reports whether the server has announced or said in an answer that it leaves.
func (s *Server) Leaving() bool { return s.State.Leaving || s.leaving }

// PauseLeft returns the rest of the pause that the server asked this host for; 0 if there is none.
func (s *Server) PauseLeft(now time.Time) time.Duration { return s.pause.Left(now) }

func supersedes(a, b *pb.BackendState) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// retentionLeases is how long a lapsed server is kept, in leases, so that a delayed copy of an old
// announcement is not taken for a new server.
const retentionLeases = 20

// Expire deletes servers without attempts in flight whose lease lapsed long ago.
func (t *Table) Expire(now time.Time) {
	for id, s := range t.servers {
		if s.Inflight == 0 && s.pause.Left(now) == 0 && now.Sub(s.LastSeen) > retentionLeases*t.limits.Lease {
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

// SkipReason is the reason why a server gets no new work.
type SkipReason string

// Reasons to skip a server.
const (
	SkipNone    SkipReason = ""
	SkipLeaving SkipReason = "leaving"
	SkipLapsed  SkipReason = "lease lapsed"
	SkipPaused  SkipReason = "paused"
	SkipBreaker SkipReason = "breaker open"
	SkipFull    SkipReason = "queue full"
)

// Usable returns why the server must not be given new work, or SkipNone.
func (t *Table) Usable(s *Server, now time.Time) SkipReason {
	switch {
	case s.Leaving():
		return SkipLeaving
	case now.Sub(s.LastSeen) > t.limits.Lease:
		return SkipLapsed
	case s.pause.Left(now) > 0:
		return SkipPaused
	case now.Before(s.retryAt) || (s.failures > 0 && s.probing):
		return SkipBreaker
	}
	return SkipNone
}

// Ramp returns the share of its capacity that a server may use (0 to 1). It rises linearly from 0.2
// over the slow start of a new or returning server, and over that after a pause.
func (t *Table) Ramp(s *Server, now time.Time) float64 {
	const floor = 0.2
	if share := s.pause.Share(now); share < 1 {
		return max(floor, share)
	}
	age := now.Sub(s.FirstSeen)
	if t.limits.SlowStart <= 0 || age >= t.limits.SlowStart {
		return 1
	}
	return floor + (1-floor)*float64(age)/float64(t.limits.SlowStart)
}

// Started records the start of an attempt of this host.
func (t *Table) Started(s *Server, prefixes []uint64, now time.Time) {
	if s.failures > 0 {
		s.probing = true
	}
	s.Inflight++
	s.cache.recordSent(prefixes)
	s.history.record(now, s.Inflight)
	t.own[s.State.Kind].change(1, now)
}

// serviceWeight is the weight of the newest sample in the mean service time.
const serviceWeight = 0.1

// Finished records the end of an attempt of this host, which held its slot for the time held.
// connected is false when the server could not be reached or broke the connection.
func (t *Table) Finished(s *Server, connected bool, held time.Duration, now time.Time) {
	s.Inflight = max(s.Inflight-1, 0)
	t.own[s.State.Kind].change(-1, now)
	s.history.record(now, s.Inflight)
	s.probing = false
	if !connected {
		pause := min(initialBreakerPause<<min(s.failures, 5), maxBreakerPause)
		s.failures++
		s.retryAt = now.Add(pause)
		return
	}
	s.failures = 0
	s.retryAt = time.Time{}
	ms := float64(held.Milliseconds())
	if s.meanServiceMS == 0 {
		s.meanServiceMS = ms
	}
	s.meanServiceMS += serviceWeight * (ms - s.meanServiceMS)
}

// defaultServiceMS is assumed until an attempt has finished.
const defaultServiceMS = 1000

// ServiceMS returns the mean time an attempt holds a slot, in ms.
func (s *Server) ServiceMS() float64 {
	if s.meanServiceMS > 0 {
		return s.meanServiceMS
	}
	return defaultServiceMS
}

// Cached returns the share of the prefix chain that the server probably holds
// (0 to 1).
func (s *Server) Cached(prefixes []uint64) float64 { return s.cache.heldShare(prefixes) }

// CacheEvents records the batch of cache events with the given number. A gap in the numbers makes
// the view uncertain: the view is then cleared and rebuilt from this batch on.
func (s *Server) CacheEvents(batch uint64, added, evicted []uint64) (gap bool) {
	return s.cache.events(batch, added, evicted)
}
