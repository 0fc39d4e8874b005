// Package placement assigns requests to backend servers or other failure
// domains. It combines an entry host's view of both, the routing decision and
// the admission queue in one state machine. The entry host runs it with real
// time, the policy benchmarks with virtual time.
package placement

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/admission"
	"github.com/sesamefork/sesamefork/internal/core/backend"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/routing"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Job holds the properties of a request that placement needs.
type Job struct {
	Team          string
	Weight        float64
	Priority      int
	Kind          string // backend.KindEngine or backend.KindService
	Target        string // model or service
	Prefixes      []uint64
	Tokens        float64 // of the prompt
	MaxTokens     float64
	Deadline      time.Time
	Permitted     []string        // regions that the residency rules permit
	Forwarded     bool            // came from another entry host: only own servers may run it
	Avoid         map[string]bool // failed servers and failure domains, by ID or name
	ServerCrashes int             // number of server processes that crashed while running the request
	Policy        configstate.Policy
}

// Cost returns the weight of a job in the teams' fair shares: about 1 for a job of ordinary size.
func (j *Job) Cost() float64 {
	const ordinary, promptDiscount, floor = 500, 8, 0.2
	return floor + (j.Tokens/promptDiscount+j.MaxTokens)/ordinary
}

// targetName is SummaryName of the job's target.
func (j *Job) targetName() string { return SummaryName(j.Kind, j.Target) }

// SummaryName returns the name of a target in summaries. It distinguishes models and services of
// the same name.
func SummaryName(kind, target string) string { return kind + "/" + target }

// Place is the destination of an attempt: a backend server or another failure domain.
type Place struct {
	Server   *backend.Server // nil when the destination is a failure domain
	ServerID string
	Address  string
	Domain   string
	Region   string
	Decision routing.Decision
	Started  time.Time
	// incarnation is that of the server when the place was reserved.
	incarnation uint64
	target      string // for a failure domain: name of the target in summaries
}

// Grant is the outcome for a job that waited.
type Grant struct {
	Waiter *admission.Waiter
	Place  *Place // nil when the job is refused
	Err    error
}

// Remote is the view of another failure domain.
type Remote struct {
	Summary           *pb.Summary
	At                time.Time          // when the summary was made, on this host's clock
	Direct            bool               // received from that failure domain itself
	Latency           time.Duration      // one-way, moving mean
	inflight          map[string]float64 // this host's forwards in flight, by target
	inflightAtSummary map[string]float64 // inflight when the summary arrived
	lastSent          map[string]time.Time
	unreachableAt     map[string]time.Time // time of the last failure to reach an entry host there
}

// Options configures a State.
type Options struct {
	Region        string
	FailureDomain string
	Limits        backend.Limits
	MaxWaiting    int
	Random        func() float64 // in [0, 1)
}

// State holds one entry host's view and queue. It is not safe for concurrent use.
type State struct {
	o       Options
	Table   *backend.Table
	remotes map[string]*Remote
	queue   *admission.Queue
	waiting map[*admission.Waiter]*Job
	share   share
	senders float64 // entry hosts that may forward to one failure domain, estimated
}

// New returns a state with an empty view and queue.
func New(o Options) *State {
	return &State{
		o: o, Table: backend.NewTable(o.Limits), remotes: map[string]*Remote{},
		queue: admission.NewQueue(o.MaxWaiting), waiting: map[*admission.Waiter]*Job{}, senders: 1,
	}
}

// SetSenders sets how many entry hosts may forward to one failure domain.
func (s *State) SetSenders(n int) { s.senders = float64(max(n, 1)) }

// Waiting returns the number of waiting jobs.
func (s *State) Waiting() int { return s.queue.Len() }

// OtherRegionShare returns the moving share of requests that are sent to another region.
func (s *State) OtherRegionShare(now time.Time) float64 { return s.share.value(now) }

// MergeSummary records a summary. It ignores one that is not newer than the summary held. direct
// is true if the summary was received from the failure domain itself.
func (s *State) MergeSummary(m *pb.Summary, now time.Time, direct bool) {
	if m.FailureDomain == s.o.FailureDomain {
		return
	}
	r := s.remotes[m.FailureDomain]
	if r == nil {
		r = &Remote{inflight: map[string]float64{}, lastSent: map[string]time.Time{}, unreachableAt: map[string]time.Time{}}
		s.remotes[m.FailureDomain] = r
	}
	if r.Summary != nil && m.Sequence <= r.Summary.Sequence {
		return
	}
	r.Summary, r.Direct = m, direct
	r.At = now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	r.inflightAtSummary = maps.Clone(r.inflight)
}

// Remote returns the view of another failure domain, or nil if it is unknown.
func (s *State) Remote(domain string) *Remote { return s.remotes[domain] }

// Remotes returns the views of the other failure domains, sorted by name.
func (s *State) Remotes() []*Remote {
	out := make([]*Remote, 0, len(s.remotes))
	for _, r := range s.remotes {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Summary.FailureDomain < out[j].Summary.FailureDomain })
	return out
}

// latencyWeight is the weight of the newest sample in the mean latency.
const latencyWeight = 0.2

// ObserveLatency records a measured one-way latency to a failure domain.
func (s *State) ObserveLatency(domain string, oneWay time.Duration) {
	r := s.remotes[domain]
	if r == nil {
		return
	}
	if r.Latency == 0 {
		r.Latency = oneWay
	}
	r.Latency += time.Duration(latencyWeight * float64(oneWay-r.Latency))
}

// Acquire returns a place at once if one is free. Otherwise the job waits (w is then not nil) or is
// refused: because no reachable server serves its target, or because its first token is expected
// after its deadline.
func (s *State) Acquire(j *Job, now time.Time) (p *Place, w *admission.Waiter, d routing.Decision, err error) {
	d = s.decide(j, now)
	if d.Kind == routing.NoTarget && !s.hasCandidate(j, now) {
		if after := s.RetryAfterPauses(j, now); after > 0 {
			return nil, nil, d, failure.New(failure.ServersPaused, failure.NotRun, "all reachable backend servers that serve %q have asked for a pause", j.Target).
				WithRetryAfter(after)
		}
		return nil, nil, d, failure.New(failure.NoServer, failure.NotRun, "no reachable backend server serves %q", j.Target).
			WithRetryAfter(noServerRetryAfter)
	}
	if tooLate(j, d, now) {
		return nil, nil, d, lateError(j, d, now)
	}
	if d.Kind != routing.NoTarget && s.queue.Len() == 0 {
		s.queue.RecordImmediate(j.targetName(), now)
		return s.reserve(j, d, now), nil, d, nil
	}
	w = &admission.Waiter{
		Team: j.Team, Weight: j.Weight, Priority: j.Priority, Cost: j.Cost(), Target: j.targetName(), Deadline: j.Deadline,
	}
	if err := s.queue.Offer(w, now, s.o.Random); err != nil {
		return nil, nil, d, err
	}
	s.waiting[w] = j
	return nil, w, d, nil
}

// RecordPause records that an answer from a place asks for a pause. It returns the state of the server's
// pauses, and whether the answer began one.
func (s *State) RecordPause(p *Place, d serverpause.Demand, now time.Time) (serverpause.State, bool) {
	if p.Server == nil {
		return serverpause.State{}, false
	}
	return s.Table.RecordPause(p.Server, p.incarnation, d, s.o.Random(), now)
}

// RecordLeaving records that an answer from a place says that its server leaves. It reports whether that is new.
func (s *State) RecordLeaving(p *Place) bool {
	return p.Server != nil && s.Table.RecordLeaving(p.Server, p.incarnation)
}

// MaySend reports whether a request may be written to the server of a place, which may leave or ask for a pause
// while the request waits for a connection.
func (s *State) MaySend(p *Place, now time.Time) bool {
	return p.Server == nil || (!p.Server.Leaving() && p.Server.PauseLeft(now) == 0)
}

// RetryAfterPauses returns the time after which a request should be repeated that servers have turned away: a
// random time in the slow start after the first pause, as all that are refused meanwhile return then. It is 0
// if a server without a pause may run it.
func (s *State) RetryAfterPauses(j *Job, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, srv := range s.Table.All() {
		if !srv.Serves(j.Kind, j.Target) {
			continue
		}
		switch reason, left := s.Table.Usable(srv, now), srv.PauseLeft(now); {
		case reason == backend.SkipNone:
			return 0
		case reason == backend.SkipPaused && (first == 0 || left < first):
			first = left
		}
	}
	if first == 0 {
		return 0
	}
	return first + time.Duration(s.o.Random()*float64(serverpause.SlowStart))
}

// noServerRetryAfter is the Retry-After for a refusal because no server was found: by then a
// lease may have been renewed and a summary received.
const noServerRetryAfter = 2 * time.Second

// Cancel removes a waiting job. It reports false if the job was granted already.
func (s *State) Cancel(w *admission.Waiter) bool {
	if s.waiting[w] == nil {
		return false
	}
	delete(s.waiting, w)
	return s.queue.Cancel(w)
}

// Grants assigns free places to the jobs that are next in the queue, and refuses those whose
// deadline has passed or would be missed.
func (s *State) Grants(now time.Time) []Grant {
	var out []Grant
	for _, w := range s.queue.Expired(now) {
		err := failure.New(failure.DeadlineExceeded, failure.NotRun, "no capacity became free before the deadline").
			WithRetryAfter(expiredRetryAfter)
		out = append(out, Grant{Waiter: w, Err: err})
		delete(s.waiting, w)
	}
	for s.queue.Len() > 0 {
		var d routing.Decision
		w := s.queue.Next(now, func(w *admission.Waiter) bool {
			d = s.decide(s.waiting[w], now)
			return d.Kind != routing.NoTarget
		})
		if w == nil {
			break
		}
		j := s.waiting[w]
		delete(s.waiting, w)
		// Next called the function once per target, for the target's first job; the decision for
		// this job may differ.
		if d = s.decide(j, now); d.Kind == routing.NoTarget {
			err := failure.New(failure.NoServer, failure.NotRun, "no permitted backend server or failure domain can take this request").WithRetryAfter(noServerRetryAfter)
			out = append(out, Grant{Waiter: w, Err: err})
			continue
		}
		if tooLate(j, d, now) {
			out = append(out, Grant{Waiter: w, Err: lateError(j, d, now)})
			continue
		}
		out = append(out, Grant{Waiter: w, Place: s.reserve(j, d, now)})
	}
	return out
}

// tooLate reports whether the first token is expected after the deadline. Such work is not started,
// because it would take capacity from requests that can still meet theirs.
func tooLate(j *Job, d routing.Decision, now time.Time) bool {
	if d.Kind == routing.NoTarget || j.Deadline.IsZero() {
		return false
	}
	return now.Add(time.Duration(d.EstimateMS * float64(time.Millisecond))).After(j.Deadline)
}

func lateError(j *Job, d routing.Decision, now time.Time) error {
	lateBy := now.Add(time.Duration(d.EstimateMS * float64(time.Millisecond))).Sub(j.Deadline)
	return failure.New(failure.DeadlineTooShort, failure.NotRun,
		"the first token is expected %s after the deadline", lateBy.Round(time.Millisecond)).
		WithRetryAfter(min(max(lateBy, minLateRetryAfter), maxLateRetryAfter))
}

// Bounds of the Retry-After for work that would miss its deadline.
const (
	minLateRetryAfter = 500 * time.Millisecond
	maxLateRetryAfter = 30 * time.Second
)

// expiredRetryAfter is the Retry-After for a job whose deadline passed while it waited.
const expiredRetryAfter = time.Second

func (s *State) decide(j *Job, now time.Time) routing.Decision {
	w := routing.Weights{
		PriceMS: j.Policy.SendAwayPriceMS, Margin: j.Policy.SendAwayMargin, Ceiling: j.Policy.SendAwayCeiling,
		CacheWeight: j.Policy.CacheWeight, QueuePerSlot: j.Policy.MaxQueuePerSlot,
	}
	q := routing.Query{Prefixes: j.Prefixes, PromptTokens: j.Tokens, Forwarded: j.Forwarded, CrashProbability: quarantine.CrashProbability(j.ServerCrashes)}
	return routing.Choose(q, s.localServers(j, now), s.remoteDomains(j, now), w, s.share.value(now), s.o.Random)
}

func (s *State) localServers(j *Job, now time.Time) []routing.Server {
	var usable []*backend.Server
	for _, srv := range s.Table.All() {
		if srv.Serves(j.Kind, j.Target) && !j.Avoid[srv.State.Id] && s.Table.Usable(srv, now) == backend.SkipNone {
			usable = append(usable, srv)
		}
	}
	loads := s.Table.Loads(usable, now)
	out := make([]routing.Server, 0, len(usable))
	for i, srv := range usable {
		out = append(out, routing.Server{
			ID: srv.State.Id, Slots: float64(srv.State.Slots) * s.Table.Ramp(srv, now),
			Outstanding: loads[i], ServiceMS: srv.ServiceMS(),
			PrefillRate: float64(srv.State.PrefillRate), Cached: srv.Cached(j.Prefixes),
		})
	}
	return out
}

// assumedPrefillRate is the prefill rate assumed for servers in other failure domains, in tokens
// per second.
const assumedPrefillRate = 8000

// stickyPeriod is how long after a forward a failure domain counts as in use, for the same target.
const stickyPeriod = 5 * time.Second

// remoteDomains returns the other failure domains that serve the job's target, are reachable and
// are permitted by the residency rules.
func (s *State) remoteDomains(j *Job, now time.Time) []routing.Remote {
	if j.Forwarded {
		return nil
	}
	var out []routing.Remote
	for _, r := range s.Remotes() {
		m := r.modelSummary(j.targetName())
		if m == nil || !slices.Contains(j.Permitted, r.Summary.Region) || j.Avoid[r.Summary.FailureDomain] || len(r.reachable(now)) == 0 {
			continue
		}
		out = append(out, routing.Remote{
			FailureDomain: r.Summary.FailureDomain, Region: r.Summary.Region, OtherRegion: r.Summary.Region != s.o.Region,
			Slots: float64(m.Slots), Outstanding: float64(m.Running), ServiceMS: float64(m.ServiceMs),
			WaitMS: float64(m.WaitMs) + j.Tokens/assumedPrefillRate*1000, Age: now.Sub(r.At),
			NetworkMS: float64(r.Latency.Microseconds()) / 1000, InFlight: max(0, r.inflight[j.targetName()]-r.inflightAtSummary[j.targetName()]),
			Senders: s.senders, Sticky: now.Sub(r.lastSent[j.targetName()]) < stickyPeriod,
		})
	}
	return out
}

// unreachablePeriod is how long an entry host that could not be reached gets no forwards.
const unreachablePeriod = 3 * time.Second

func (r *Remote) reachable(now time.Time) []string {
	var out []string
	for _, id := range r.Summary.Hosts {
		if now.Sub(r.unreachableAt[id]) > unreachablePeriod {
			out = append(out, id)
		}
	}
	return out
}

func (r *Remote) modelSummary(name string) *pb.ModelSummary {
	for _, m := range r.Summary.Models {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// hasCandidate reports whether any server or failure domain serves the target, even if all are full
// now: only then can the job wait.
func (s *State) hasCandidate(j *Job, now time.Time) bool {
	return len(s.localServers(j, now)) > 0 || len(s.remoteDomains(j, now)) > 0
}

// reserve books the place that the decision selects, and returns it.
func (s *State) reserve(j *Job, d routing.Decision, now time.Time) *Place {
	p := &Place{Decision: d, Started: now}
	s.share.add(d.Kind == routing.Forward && d.OtherRegion, now)
	if d.Kind == routing.Local {
		srv := s.Table.Get(d.Server)
		s.Table.Started(srv, j.Prefixes, now)
		p.Server, p.ServerID, p.Address, p.Region = srv, d.Server, srv.State.Address, s.o.Region
		p.incarnation = srv.State.Incarnation
		return p
	}
	r := s.remotes[d.Domain]
	r.inflight[j.targetName()]++
	p.target = j.targetName()
	r.lastSent[j.targetName()] = now
	hosts := r.reachable(now)
	p.ServerID = hosts[int(s.o.Random()*float64(len(hosts)))]
	p.Domain, p.Region = d.Domain, r.Summary.Region
	return p
}

// Release frees a place. connected is false when the server or entry host could not be reached or
// broke the connection.
func (s *State) Release(p *Place, connected bool, now time.Time) {
	if p.Server != nil {
		s.Table.Finished(p.Server, connected, now.Sub(p.Started), now)
		return
	}
	r := s.remotes[p.Domain]
	if r == nil {
		return
	}
	r.inflight[p.target] = max(0, r.inflight[p.target]-1)
	if !connected {
		r.unreachableAt[p.ServerID] = now
	}
}

// Summarise returns the sums of this failure domain's usable servers, for each model and service.
func (s *State) Summarise(hosts []string, now time.Time) *pb.Summary {
	out := &pb.Summary{FailureDomain: s.o.FailureDomain, Region: s.o.Region, Sequence: uint64(now.UnixMilli()), Hosts: hosts}
	sums := map[string]*pb.ModelSummary{}
	for _, srv := range s.Table.All() {
		if s.Table.Usable(srv, now) != backend.SkipNone {
			continue
		}
		for _, m := range srv.State.Models {
			s.addToSummary(sums, SummaryName(srv.State.Kind, m), srv, now)
		}
	}
	for _, m := range sums {
		out.Models = append(out.Models, m)
	}
	sort.Slice(out.Models, func(i, j int) bool { return out.Models[i].Name < out.Models[j].Name })
	return out
}

// maxWaitMS bounds the wait in a summary, in ms.
const maxWaitMS = 1e9

func (s *State) addToSummary(sums map[string]*pb.ModelSummary, name string, srv *backend.Server, now time.Time) {
	m := sums[name]
	if m == nil {
		m = &pb.ModelSummary{Name: name, WaitMs: maxWaitMS}
		sums[name] = m
	}
	slots := float64(srv.State.Slots) * s.Table.Ramp(srv, now)
	outstanding := s.Table.Outstanding(srv)
	m.Servers++
	m.Slots += uint32(math.Round(slots))
	m.Running += uint32(outstanding)
	m.ServiceMs = uint32(srv.ServiceMS())
	wait := routing.Estimate(routing.Query{}, routing.Server{Slots: slots, Outstanding: float64(outstanding), ServiceMS: srv.ServiceMS()}, 1)
	m.WaitMs = min(m.WaitMs, uint32(min(wait, maxWaitMS)))
}

// share is an exponentially decaying share of requests sent to another region.
type share struct {
	otherRegion, total float64
	last               time.Time
}

// shareHalfLife is the half-life of the counts in a share.
const shareHalfLife = 30 * time.Second

func (s *share) decay(now time.Time) {
	if !s.last.IsZero() {
		f := math.Exp2(-now.Sub(s.last).Seconds() / shareHalfLife.Seconds())
		s.otherRegion, s.total = s.otherRegion*f, s.total*f
	}
	s.last = now
}

func (s *share) add(otherRegion bool, now time.Time) {
	s.decay(now)
	s.total++
	if otherRegion {
		s.otherRegion++
	}
}

// value returns the share (0 to 1). A prior of a few local requests keeps the first request of an
// idle host from counting as a share of 1.
func (s *share) value(now time.Time) float64 {
	s.decay(now)
	const prior = 5
	return s.otherRegion / (s.total + prior)
}
