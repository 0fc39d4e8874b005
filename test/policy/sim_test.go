// Package policy_test compares the placement policy with baselines in a discrete-event simulation,
// which calls the real placement core with arrivals and lagged reports. It simulates only what
// the comparison needs, and not the whole cluster.
package policy_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/admission"
	"github.com/sesamefork/sesamefork/internal/core/backend"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/placement"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Intervals of the control traffic as in the default settings, delays and deadlines, in s.
const (
	reportEvery  = 1.0
	summaryEvery = 2.0
	loadsEvery   = 0.5
	networkDelay = 0.080 // one way between regions
	hostsPerSite = 3
	ttftDeadline = 10.0
)

// scene is one simulated scenario.
type scene struct {
	name     string
	servers  []int // number of servers in each region
	slots    int
	decodeMS float64
	seconds  float64
	load     func(region int, t float64) float64 // arrival rate, as a fraction of the region's capacity
	lag      float64
	hot      float64 // fraction of requests about one document
	teams    int
	noisy    float64 // additional fraction of requests sent by team 0
	events   []intervention
}

// intervention changes the simulation at a time.
type intervention struct {
	at float64
	do func(*sim)
}

// policy is a way of placing requests: the placement core with settings, or a baseline.
type policy struct {
	name     string
	settings *configstate.Policy // nil for a baseline without the placement core
	pick     func(s *sim, h *simHost, r *simRequest) *simServer
}

type simServer struct {
	id      string
	region  int
	slots   int
	prefill float64
	running int
	queue   []*simRequest
	held    map[uint64]int // cached prefixes, with the counter value of their last use
	use     int
	up      bool
	seq     uint64
	past    []loadAt
	epoch   int
}

type loadAt struct {
	at              float64
	running, queued int
}

type simHost struct {
	id          string
	region      int
	state       *placement.State
	next        int // position of round robin
	ownAttempts map[string]int
	waiting     map[*admission.Waiter]*simRequest
}

type simRequest struct {
	team, region int
	arrived      float64
	tokens       float64
	output       float64
	prefixes     []uint64
	job          *placement.Job
	host         *simHost // entry host that received the request
	holder       *simHost // entry host that holds the request
	place        *placement.Place
	forward      *placement.Place // held at host while the request is forwarded
	server       *simServer
	away         bool
	done         bool
	tries        int
	epoch        int
}

type event struct {
	at  float64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

type sim struct {
	scene   scene
	policy  policy
	rnd     *rand.Rand // for placement decisions
	traffic *rand.Rand // for arrivals, so that they are the same for every policy
	now     float64
	events  events
	seq     int
	servers []*simServer
	hosts   []*simHost
	cut     map[int]bool // regions that are cut off
	result  outcome
	ttft    []float64
	total   []float64
	served  map[int]float64
	offered map[int]float64
}

// outcome holds the measurements of a run.
type outcome struct {
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Late     int     `json:"late"` // first token after the deadline
	Away     float64 `json:"away_share"`
	Hits     float64 `json:"cache_hits"`
	Cost     float64 `json:"cost_per_1000"` // slot-seconds, plus one per request served in another region
	TTFT50   float64 `json:"ttft_p50_s"`
	TTFT95   float64 `json:"ttft_p95_s"`
	TTFT99   float64 `json:"ttft_p99_s"`
	Total50  float64 `json:"total_p50_s"`
	Total99  float64 `json:"total_p99_s"`
	Fairness float64 `json:"jain"`    // Jain's index, over teams within their share
	Goodput  float64 `json:"goodput"` // answered in time, per second
	away     int
	busy     float64
	blocks   float64
	hits     float64
}

var epoch = time.Unix(1_700_000_000, 0)

func (s *sim) clock() time.Time { return epoch.Add(time.Duration(s.now * float64(time.Second))) }

func (s *sim) after(d float64, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

func run(sc scene, p policy, seed int64) outcome {
	s := &sim{scene: sc, policy: p, rnd: rand.New(rand.NewSource(seed)), traffic: rand.New(rand.NewSource(seed + 1000)), cut: map[int]bool{}, served: map[int]float64{}, offered: map[int]float64{}}
	s.build()
	for _, h := range sc.events {
		s.after(h.at, func() { h.do(s) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.finish()
}

func (s *sim) build() {
	for r, n := range s.scene.servers {
		for i := range n {
			s.servers = append(s.servers, &simServer{
				id: fmt.Sprintf("r%d-s%d", r, i), region: r, slots: s.scene.slots, prefill: 6000, held: map[uint64]int{}, up: true,
			})
		}
		for i := range hostsPerSite {
			h := &simHost{id: fmt.Sprintf("r%d-h%d", r, i), region: r, ownAttempts: map[string]int{}, waiting: map[*admission.Waiter]*simRequest{}}
			h.state = placement.New(placement.Options{
				Region: regionName(r), FailureDomain: regionName(r), MaxWaiting: 20_000, Random: s.rnd.Float64,
				Limits: backend.Limits{Lease: 3 * time.Second, SlowStart: 10 * time.Second, Lag: 500 * time.Millisecond},
			})
			h.state.Table.SetSenders(hostsPerSite)
			h.state.SetSenders((len(s.scene.servers) - 1) * hostsPerSite)
			s.hosts = append(s.hosts, h)
		}
		s.after(0, func() { s.arrive(r) })
	}
	s.after(0, s.announceServers)
	s.after(0.1, s.sendSummaries)
	s.after(0.05, s.exchangeLoads)
}

func regionName(r int) string { return fmt.Sprintf("r%d", r) }

// capacity returns the requests per second that the region's servers can answer.
func (s *sim) capacity(region int) float64 {
	seconds := 1200.0/6000 + 150*s.scene.decodeMS/1000
	return float64(s.scene.servers[region]*s.scene.slots) / seconds
}

func (s *sim) arrive(region int) {
	if s.now > s.scene.seconds {
		return
	}
	rate := s.capacity(region) * s.scene.load(region, s.now)
	s.after(s.traffic.ExpFloat64()/math.Max(rate, 0.01), func() { s.arrive(region) })
	if s.now == 0 {
		return
	}
	r := &simRequest{region: region, arrived: s.now, tokens: 400 + s.traffic.ExpFloat64()*1600, output: 20 + s.traffic.ExpFloat64()*130}
	r.team = s.traffic.Intn(s.scene.teams)
	if s.traffic.Float64() < s.scene.noisy {
		r.team = 0
	}
	doc := s.traffic.Intn(60) + 1000*region
	if s.traffic.Float64() < s.scene.hot {
		doc = 0
	}
	for b := range int(r.tokens / 256) {
		r.prefixes = append(r.prefixes, uint64(doc)*1000+uint64(b))
	}
	r.host = s.hosts[region*hostsPerSite+s.traffic.Intn(hostsPerSite)]
	r.holder = r.host
	s.result.Requests++
	s.offered[r.team]++
	s.place(r)
}

func (s *sim) deadline(r *simRequest) time.Time {
	return epoch.Add(time.Duration((r.arrived + ttftDeadline) * float64(time.Second)))
}

// place finds a place for the request on the host that holds it.
func (s *sim) place(r *simRequest) {
	r.tries++
	if s.policy.pick != nil {
		if srv := s.policy.pick(s, r.host, r); srv != nil && r.tries <= 4 {
			r.away = srv.region != r.region
			delay := 0.0
			if r.away {
				delay = networkDelay
			}
			r.host.ownAttempts[srv.id]++
			s.after(delay, func() { s.enqueue(srv, r) })
			return
		}
		s.refuse(r)
		return
	}
	if r.job == nil {
		r.job = &placement.Job{
			Team: fmt.Sprint("t", r.team), Weight: 1, Kind: backend.KindEngine, Target: "m", Prefixes: r.prefixes,
			Tokens: r.tokens, MaxTokens: r.output, Deadline: s.deadline(r), Avoid: map[string]bool{}, Policy: *s.policy.settings,
		}
		for i := range s.scene.servers {
			r.job.Permitted = append(r.job.Permitted, regionName(i))
		}
	}
	p, w, _, err := r.holder.state.Acquire(r.job, s.clock())
	switch {
	case err != nil:
		s.sendBack(r)
	case w != nil:
		r.holder.waiting[w] = r
	default:
		s.start(r, p)
	}
}

// sendBack refuses a request, or returns a forwarded one to the host that received it.
func (s *sim) sendBack(r *simRequest) {
	if r.holder == r.host || r.tries > 4 {
		s.refuse(r)
		return
	}
	domain := regionName(r.holder.region)
	r.holder = r.host
	r.job.Forwarded = false
	r.job.Avoid[domain] = true
	if r.forward != nil {
		r.host.state.Release(r.forward, true, s.clock())
		r.forward = nil
	}
	s.after(networkDelay, func() { s.place(r) })
}

func (s *sim) refuse(r *simRequest) {
	if !r.done {
		r.done = true
		s.result.Refused++
	}
}

func (s *sim) start(r *simRequest, p *placement.Place) {
	if p.Server != nil {
		r.place = p
		for _, srv := range s.servers {
			if srv.id == p.ServerID {
				s.enqueue(srv, r)
			}
		}
		return
	}
	target := s.host(p.ServerID)
	if s.cut[r.region] || s.cut[target.region] {
		r.holder.state.Release(p, false, s.clock())
		s.after(0.2, func() { s.place(r) })
		return
	}
	r.forward, r.away = p, true
	r.holder, r.job.Forwarded = target, true
	s.after(networkDelay, func() { s.place(r) })
}

func (s *sim) host(id string) *simHost {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// enqueue adds the request to a server's queue.
func (s *sim) enqueue(srv *simServer, r *simRequest) {
	r.server = srv
	if !srv.up {
		s.lost(r)
		return
	}
	srv.queue = append(srv.queue, r)
	s.startQueued(srv)
}

// lost places a request again whose server has ended.
func (s *sim) lost(r *simRequest) {
	s.release(r, false)
	if r.job != nil {
		r.job.Avoid[r.server.id] = true
	}
	s.after(0.01, func() { s.place(r) })
}

func (s *sim) release(r *simRequest, connected bool) {
	if r.forward != nil {
		r.host.state.Release(r.forward, true, s.clock())
		r.forward = nil
	}
	if r.place != nil {
		r.holder.state.Release(r.place, connected, s.clock())
		r.place = nil
		s.grant(r.holder)
	} else {
		r.host.ownAttempts[r.server.id]--
	}
}

func (s *sim) grant(h *simHost) {
	for _, g := range h.state.Grants(s.clock()) {
		r := h.waiting[g.Waiter]
		delete(h.waiting, g.Waiter)
		if g.Err != nil {
			s.sendBack(r)
			continue
		}
		s.start(r, g.Place)
	}
}

func (s *sim) startQueued(srv *simServer) {
	for srv.running < srv.slots && len(srv.queue) > 0 {
		r := srv.queue[0]
		srv.queue = srv.queue[1:]
		srv.running++
		covered := srv.usePrefixes(r.prefixes)
		s.result.blocks += float64(len(r.prefixes))
		s.result.hits += float64(covered)
		tokens := r.tokens
		if len(r.prefixes) > 0 {
			tokens *= 1 - 0.98*float64(covered)/float64(len(r.prefixes))
		}
		prefill := tokens / srv.prefill
		busy := prefill + r.output*s.scene.decodeMS/1000
		r.epoch = srv.epoch
		first := s.now + prefill
		s.result.busy += busy
		s.after(busy, func() { s.complete(srv, r, first) })
	}
}

// cacheBlocks is the capacity of a server's prefix cache, in blocks.
const cacheBlocks = 240

func (srv *simServer) usePrefixes(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && srv.held[prefixes[n]] > 0 {
		n++
	}
	for _, p := range prefixes {
		srv.use++
		srv.held[p] = srv.use
	}
	for len(srv.held) > cacheBlocks {
		oldest, at := uint64(0), math.MaxInt
		for p, u := range srv.held {
			if u < at {
				oldest, at = p, u
			}
		}
		delete(srv.held, oldest)
	}
	return n
}

func (s *sim) complete(srv *simServer, r *simRequest, first float64) {
	if r.epoch != srv.epoch {
		s.lost(r)
		return
	}
	srv.running--
	s.release(r, true)
	s.startQueued(srv)
	back := 0.0
	if r.away {
		s.result.away++
		back = networkDelay
	}
	ttft := first + back - r.arrived
	s.ttft = append(s.ttft, ttft)
	s.total = append(s.total, s.now+back-r.arrived)
	s.result.Answered++
	if ttft > ttftDeadline {
		s.result.Late++
		return
	}
	s.served[r.team]++
}

// announceServers announces every server to the hosts of its region, with its load of scene.lag
// seconds before.
func (s *sim) announceServers() {
	if s.now > s.scene.seconds+60 {
		return
	}
	for _, srv := range s.servers {
		srv.past = append(srv.past, loadAt{s.now, srv.running, len(srv.queue)})
		if !srv.up {
			continue
		}
		old := srv.past[0]
		for _, l := range srv.past {
			if l.at <= s.now-s.scene.lag {
				old = l
			}
		}
		srv.seq++
		for _, h := range s.hosts {
			if h.region == srv.region {
				h.state.Table.Merge(&pb.BackendState{
					Id: srv.id, Kind: backend.KindEngine, Models: []string{"m"}, Slots: uint32(srv.slots),
					Running: uint32(old.running), Queued: uint32(old.queued), Incarnation: 1, Sequence: srv.seq,
					Prefixes: srv.hottest(), PrefillRate: uint32(srv.prefill),
				}, s.clock())
			}
		}
	}
	for _, h := range s.hosts {
		s.grant(h)
	}
	s.after(reportEvery, s.announceServers)
}

// exchangeLoads sends each host's attempts in flight to the other hosts of its region.
func (s *sim) exchangeLoads() {
	if s.now > s.scene.seconds+60 {
		return
	}
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if a != b && a.region == b.region {
				b.state.Table.SetOtherLoad(a.id, backend.KindEngine, a.state.Table.OwnLoad(backend.KindEngine, s.clock()), s.clock())
			}
		}
	}
	s.after(loadsEvery, s.exchangeLoads)
}

func (srv *simServer) hottest() []uint64 {
	var out []uint64
	for p, u := range srv.held {
		if u > srv.use-200 {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), 64)]
}

// sendSummaries sends each region's summary to the hosts of the other regions.
func (s *sim) sendSummaries() {
	if s.now > s.scene.seconds+60 {
		return
	}
	for r := range s.scene.servers {
		sender := s.hosts[r*hostsPerSite]
		sum := sender.state.Summarise([]string{fmt.Sprintf("r%d-h0", r), fmt.Sprintf("r%d-h1", r), fmt.Sprintf("r%d-h2", r)}, s.clock())
		for _, h := range s.hosts {
			if h.region != r && !s.cut[r] && !s.cut[h.region] {
				s.after(networkDelay, func() {
					h.state.MergeSummary(sum, s.clock(), true)
					h.state.ObserveLatency(regionName(r), time.Duration(networkDelay*float64(time.Second)))
				})
			}
		}
	}
	s.after(summaryEvery, s.sendSummaries)
}

func (s *sim) finish() outcome {
	o := s.result
	sort.Float64s(s.ttft)
	sort.Float64s(s.total)
	o.TTFT50, o.TTFT95, o.TTFT99 = quantile(s.ttft, 0.5), quantile(s.ttft, 0.95), quantile(s.ttft, 0.99)
	o.Total50, o.Total99 = quantile(s.total, 0.5), quantile(s.total, 0.99)
	if o.Answered > 0 {
		o.Away = float64(o.away) / float64(o.Answered)
		o.Cost = 1000 * (o.busy + float64(o.away)) / float64(o.Answered)
	}
	o.Hits = o.hits / math.Max(o.blocks, 1)
	o.Goodput = float64(o.Answered-o.Late) / s.scene.seconds
	o.Fairness = s.jain()
	return o
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// jain returns Jain's fairness index of the fractions of requests served in time, over the teams
// that offer no more than their share.
func (s *sim) jain() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for team, offered := range s.offered {
		if team == 0 && s.scene.noisy > 0 || offered == 0 {
			continue
		}
		x := s.served[team] / offered
		sum, squares, n = sum+x, squares+x*x, n+1
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}
