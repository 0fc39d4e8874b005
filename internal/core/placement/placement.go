// Package placement gives requests their places: it joins what a host knows
// (backend servers, other failure domains), the routing decision and the
// admission queue into one state machine. The entry host drives it with real
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
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Job is a request as far as placement needs it.
type Job struct {
	Team      string
	Weight    float64
	Priority  int
	Kind      string // backend.KindEngine or backend.KindService
	Target    string // model or service
	Prefixes  []uint64
	Tokens    float64 // of the prompt
	MaxTokens float64
	Deadline  time.Time
	Permitted []string        // regions
	Forwarded bool            // came from another entry host: own servers only
	Avoid     map[string]bool // servers and failure domains that failed
	Ends      int             // servers that ended while they ran the request
	Policy    configstate.Policy
}

// Cost weighs a job for the teams' shares: about one for an ordinary size.
func (j *Job) Cost() float64 {
	const ordinary, promptDiscount, floor = 500, 8, 0.2
	return floor + (j.Tokens/promptDiscount+j.MaxTokens)/ordinary
}

// name tells models and services of the same name apart.
func (j *Job) name() string { return SummaryName(j.Kind, j.Target) }

// SummaryName is the name of a target in summaries.
func SummaryName(kind, target string) string { return kind + "/" + target }

// Place is where an attempt goes: a backend server, or another failure domain.
type Place struct {
	Server   *backend.Server // nil with a failure domain
	ServerID string
	Address  string
	Domain   string
	Region   string
	Decision routing.Decision
	Started  time.Time
	target   string // with a failure domain: name of the target in summaries
}

// Grant is a place for a job that waited.
type Grant struct {
	Waiter *admission.Waiter
	Place  *Place // nil when the job is refused
	Err    error
}

// Remote is what is known of another failure domain.
type Remote struct {
	Summary  *pb.Summary
	At       time.Time          // when the summary was made, on this host's clock
	Direct   bool               // received from that failure domain itself
	Latency  time.Duration      // one-way, moving mean
	inflight map[string]float64 // own forwards under way, by target
	base     map[string]float64 // the same when the summary arrived
	lastSent map[string]time.Time
	suspect  map[string]time.Time // hosts that could not be reached
}

// Options configures a State.
type Options struct {
	Region        string
	FailureDomain string
	Limits        backend.Limits
	MaxWaiting    int
	Random        func() float64 // in [0, 1)
}

// State is one host's knowledge and queue. It is not safe for concurrent use.
type State struct {
	o       Options
	Table   *backend.Table
	remotes map[string]*Remote
	queue   *admission.Queue
	waiting map[*admission.Waiter]*Job
	share   share
	senders float64 // entry hosts outside a failure domain, about
}

// New returns a state that knows nothing yet.
func New(o Options) *State {
	return &State{
		o: o, Table: backend.NewTable(o.Limits), remotes: map[string]*Remote{},
		queue: admission.NewQueue(o.MaxWaiting), waiting: map[*admission.Waiter]*Job{}, senders: 1,
	}
}

// SetSenders fixes how many entry hosts may send to one failure domain.
func (s *State) SetSenders(n int) { s.senders = float64(max(n, 1)) }

// Waiting returns the number of waiting jobs.
func (s *State) Waiting() int { return s.queue.Len() }

// AwayShare returns the moving share of requests sent to another region.
func (s *State) AwayShare(now time.Time) float64 { return s.share.value(now) }

// MergeSummary takes a summary; an older one than the one held is ignored.
func (s *State) MergeSummary(m *pb.Summary, now time.Time, direct bool) {
	if m.FailureDomain == s.o.FailureDomain {
		return
	}
	r := s.remotes[m.FailureDomain]
	if r == nil {
		r = &Remote{inflight: map[string]float64{}, lastSent: map[string]time.Time{}, suspect: map[string]time.Time{}}
		s.remotes[m.FailureDomain] = r
	}
	if r.Summary != nil && m.Sequence <= r.Summary.Sequence {
		return
	}
	r.Summary, r.Direct = m, direct
	r.At = now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	r.base = maps.Clone(r.inflight)
}

// Remote returns what is known of another failure domain, or nil.
func (s *State) Remote(domain string) *Remote { return s.remotes[domain] }

// Remotes returns the other failure domains known, sorted by name.
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

// Acquire returns a place at once when one is free. Else the job waits (w is
// then not nil) or is refused: because nothing in reach serves its target, or
// because it would wait beyond its deadline.
func (s *State) Acquire(j *Job, now time.Time) (p *Place, w *admission.Waiter, d routing.Decision, err error) {
	d = s.decide(j, now)
	if d.Kind == routing.Nowhere && !s.canEver(j, now) {
		return nil, nil, d, failure.New(failure.NoServer, failure.NotRun, "no backend server in reach serves %q", j.Target).
			WithRetryAfter(noServerRetry)
	}
	if tooLate(j, d, now) {
		return nil, nil, d, lateError(j, d, now)
	}
	if d.Kind != routing.Nowhere && s.queue.Len() == 0 {
		s.queue.Passed(j.name(), now)
		return s.take(j, d, now), nil, d, nil
	}
	w = &admission.Waiter{
		Team: j.Team, Weight: j.Weight, Priority: j.Priority, Cost: j.Cost(), Target: j.name(), Deadline: j.Deadline,
	}
	if err := s.queue.Offer(w, now, s.o.Random); err != nil {
		return nil, nil, d, err
	}
	s.waiting[w] = j
	return nil, w, d, nil
}

// noServerRetry is when to come back after no server could be found: a lease
// and a summary later the picture may be another.
const noServerRetry = 2 * time.Second

// Cancel takes a waiting job out; false when it was granted already.
func (s *State) Cancel(w *admission.Waiter) bool {
	if s.waiting[w] == nil {
		return false
	}
	delete(s.waiting, w)
	return s.queue.Cancel(w)
}

// Grants hands free places to the jobs that go next, and refuses those whose
// deadline has passed.
func (s *State) Grants(now time.Time) []Grant {
	var out []Grant
	for _, w := range s.queue.Expired(now) {
		err := failure.New(failure.DeadlineExceeded, failure.NotRun, "no place came free before the deadline").
			WithRetryAfter(expiredRetry)
		out = append(out, Grant{Waiter: w, Err: err})
		delete(s.waiting, w)
	}
	for s.queue.Len() > 0 {
		var d routing.Decision
		w := s.queue.Next(now, func(w *admission.Waiter) bool {
			d = s.decide(s.waiting[w], now)
			return d.Kind != routing.Nowhere
		})
		if w == nil {
			break
		}
		j := s.waiting[w]
		delete(s.waiting, w)
		// The verdict was for the first job of the target; this one may differ.
		if d = s.decide(j, now); d.Kind == routing.Nowhere {
			err := failure.New(failure.NoServer, failure.NotRun, "no permitted place for this request").WithRetryAfter(noServerRetry)
			out = append(out, Grant{Waiter: w, Err: err})
			continue
		}
		if tooLate(j, d, now) {
			out = append(out, Grant{Waiter: w, Err: lateError(j, d, now)})
			continue
		}
		out = append(out, Grant{Waiter: w, Place: s.take(j, d, now)})
	}
	return out
}

// tooLate reports whether the first token is expected after the deadline. Work
// that would be late is not started: it would only take capacity from the rest.
func tooLate(j *Job, d routing.Decision, now time.Time) bool {
	if d.Kind == routing.Nowhere || j.Deadline.IsZero() {
		return false
	}
	return now.Add(time.Duration(d.EstimateMS * float64(time.Millisecond))).After(j.Deadline)
}

func lateError(j *Job, d routing.Decision, now time.Time) error {
	missing := now.Add(time.Duration(d.EstimateMS * float64(time.Millisecond))).Sub(j.Deadline)
	return failure.New(failure.DeadlineTooShort, failure.NotRun,
		"the first token is expected %s after the deadline", missing.Round(time.Millisecond)).
		WithRetryAfter(min(max(missing, minLateRetry), maxLateRetry))
}

// Bounds of the time to come back for work that would have been late.
const (
	minLateRetry = 500 * time.Millisecond
	maxLateRetry = 30 * time.Second
)

// expiredRetry is when to come back after a wait that reached the deadline.
const expiredRetry = time.Second

func (s *State) decide(j *Job, now time.Time) routing.Decision {
	w := routing.Weights{
		PriceMS: j.Policy.SendAwayPriceMS, Margin: j.Policy.SendAwayMargin, Ceiling: j.Policy.SendAwayCeiling,
		CacheWeight: j.Policy.CacheWeight, QueuePerSlot: j.Policy.MaxQueuePerSlot,
	}
	q := routing.Query{Prefixes: j.Prefixes, PromptTokens: j.Tokens, Away: j.Forwarded, Suspicion: quarantine.Suspicion(j.Ends)}
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

// assumedPrefill is the prompt rate, in tokens per second, assumed of servers
// in other failure domains.
const assumedPrefill = 8000

// stickiness is how long a failure domain that was sent to counts as in use.
const stickiness = 5 * time.Second

// remoteDomains returns the other failure domains that the residency rules permit.
func (s *State) remoteDomains(j *Job, now time.Time) []routing.Remote {
	if j.Forwarded {
		return nil
	}
	var out []routing.Remote
	for _, r := range s.Remotes() {
		m := r.model(j.name())
		if m == nil || !slices.Contains(j.Permitted, r.Summary.Region) || j.Avoid[r.Summary.FailureDomain] || len(r.reachable(now)) == 0 {
			continue
		}
		out = append(out, routing.Remote{
			FailureDomain: r.Summary.FailureDomain, Region: r.Summary.Region, OtherRegion: r.Summary.Region != s.o.Region,
			Slots: float64(m.Slots), Outstanding: float64(m.Running), ServiceMS: float64(m.ServiceMs),
			WaitMS: float64(m.WaitMs) + j.Tokens/assumedPrefill*1000, Age: now.Sub(r.At),
			NetworkMS: float64(r.Latency.Microseconds()) / 1000, Sent: max(0, r.inflight[j.name()]-r.base[j.name()]),
			Senders: s.senders, Sticky: now.Sub(r.lastSent[j.name()]) < stickiness,
		})
	}
	return out
}

// unreachableFor is how long a host that could not be reached is left out.
const unreachableFor = 3 * time.Second

func (r *Remote) reachable(now time.Time) []string {
	var out []string
	for _, id := range r.Summary.Hosts {
		if now.Sub(r.suspect[id]) > unreachableFor {
			out = append(out, id)
		}
	}
	return out
}

func (r *Remote) model(name string) *pb.ModelSummary {
	for _, m := range r.Summary.Models {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// canEver reports whether waiting makes sense: something serves the target,
// though it may be full now.
func (s *State) canEver(j *Job, now time.Time) bool {
	return len(s.localServers(j, now)) > 0 || len(s.remoteDomains(j, now)) > 0
}

// take books the place that the decision names.
func (s *State) take(j *Job, d routing.Decision, now time.Time) *Place {
	p := &Place{Decision: d, Started: now}
	s.share.add(d.Kind == routing.Forward && d.Away, now)
	if d.Kind == routing.Local {
		srv := s.Table.Get(d.Server)
		s.Table.Started(srv, j.Prefixes, now)
		p.Server, p.ServerID, p.Address, p.Region = srv, d.Server, srv.State.Address, s.o.Region
		return p
	}
	r := s.remotes[d.Domain]
	r.inflight[j.name()]++
	p.target = j.name()
	r.lastSent[j.name()] = now
	hosts := r.reachable(now)
	p.ServerID = hosts[int(s.o.Random()*float64(len(hosts)))]
	p.Domain, p.Region = d.Domain, r.Summary.Region
	return p
}

// Release gives a place back. connected is false when the other end could not
// be reached or broke the connection.
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
		r.suspect[p.ServerID] = now
	}
}

// Summarise adds up this failure domain's servers for each model and service.
func (s *State) Summarise(hosts []string, now time.Time) *pb.Summary {
	out := &pb.Summary{FailureDomain: s.o.FailureDomain, Region: s.o.Region, Sequence: uint64(now.UnixMilli()), Hosts: hosts}
	sums := map[string]*pb.ModelSummary{}
	for _, srv := range s.Table.All() {
		if s.Table.Usable(srv, now) != backend.SkipNone {
			continue
		}
		for _, m := range srv.State.Models {
			s.addServer(sums, SummaryName(srv.State.Kind, m), srv, now)
		}
	}
	for _, m := range sums {
		out.Models = append(out.Models, m)
	}
	sort.Slice(out.Models, func(i, j int) bool { return out.Models[i].Name < out.Models[j].Name })
	return out
}

// maxWaitMS bounds the wait stated in a summary.
const maxWaitMS = 1e9

func (s *State) addServer(sums map[string]*pb.ModelSummary, name string, srv *backend.Server, now time.Time) {
	m := sums[name]
	if m == nil {
		m = &pb.ModelSummary{Name: name, WaitMs: maxWaitMS}
		sums[name] = m
	}
	slots := float64(srv.State.Slots) * s.Table.Ramp(srv, now)
	out := s.Table.Outstanding(srv)
	m.Servers++
	m.Slots += uint32(math.Round(slots))
	m.Running += uint32(out)
	m.ServiceMs = uint32(srv.ServiceMS())
	wait := routing.Estimate(routing.Query{}, routing.Server{Slots: slots, Outstanding: float64(out), ServiceMS: srv.ServiceMS()}, 1)
	m.WaitMs = min(m.WaitMs, uint32(min(wait, maxWaitMS)))
}

// share is the moving share of requests sent to another region.
type share struct {
	away, total float64
	last        time.Time
}

// shareHalfLife is how fast the share forgets.
const shareHalfLife = 30 * time.Second

func (s *share) decay(now time.Time) {
	if !s.last.IsZero() {
		f := math.Exp2(-now.Sub(s.last).Seconds() / shareHalfLife.Seconds())
		s.away, s.total = s.away*f, s.total*f
	}
	s.last = now
}

func (s *share) add(away bool, now time.Time) {
	s.decay(now)
	s.total++
	if away {
		s.away++
	}
}

// value returns the share; the prior of a few requests at home keeps the first
// request of an idle host from counting as a share of one.
func (s *share) value(now time.Time) float64 {
	s.decay(now)
	const prior = 5
	return s.away / (s.total + prior)
}
