// Package routing chooses the target of a request: a backend server in the entry
// host's own failure domain, or an entry host in another failure domain. The
// choice is a pure function of the host's local view of load, which may be stale
// and incomplete.
package routing

import (
	"math"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Query holds the properties of a request that routing depends on.
type Query struct {
	Prefixes     []uint64 // chain of prefix hashes, shortest first
	PromptTokens float64
	Forwarded    bool // forwarded by another entry host: only local servers are eligible
	// CrashProbability is the probability (0 to 1) that the request crashes the server that runs
	// it.
	CrashProbability float64
}

// Server is a usable backend server in the entry host's own failure domain.
type Server struct {
	ID          string
	Slots       float64 // as limited by slow start
	Outstanding float64 // estimated number of running and queued requests
	ServiceMS   float64 // mean time a request holds a slot, in ms
	PrefillRate float64 // prompt tokens per second
	Cached      float64 // fraction of the request's prefixes that are cached (0 to 1)
}

// Remote describes another failure domain by its last load summary.
type Remote struct {
	FailureDomain string
	Region        string
	OtherRegion   bool
	Slots         float64
	Outstanding   float64
	ServiceMS     float64       // mean time a request holds a slot, in ms
	WaitMS        float64       // estimated time to first token in that domain for an uncached prompt, in ms
	Age           time.Duration // age of the summary
	NetworkMS     float64       // one-way latency, in ms
	InFlight      float64       // this host's forwards in flight to it, beyond those at the time of the summary
	Senders       float64       // number of entry hosts that may forward to it
	Sticky        bool          // this host forwarded requests to it recently
}

// Weights are the configured routing weights; configstate.Policy documents them.
type Weights struct {
	PriceMS      float64
	Margin       float64
	Ceiling      float64
	CacheWeight  float64
	QueuePerSlot float64
}

// Kind is the type of target that a decision selects.
type Kind int

// Kinds of decisions.
const (
	NoTarget Kind = iota // no target can accept the request now
	Local                // a backend server in the own failure domain
	Forward              // an entry host in another failure domain
)

// Decision is the selected target with the candidates it was chosen from.
type Decision struct {
	Kind            Kind
	Server          string  // with Local
	Domain          string  // with Forward
	OtherRegion     bool    // with Forward: to another region
	EstimateMS      float64 // estimate for the selected target, in ms
	LocalEstimateMS float64 // lowest-cost local server's estimate, in ms; infinite when there is none
	Considered      []Candidate
}

// Candidate is one candidate with its estimate and the reason it was chosen or rejected.
type Candidate struct {
	Name       string  `json:"name"`
	EstimateMS float64 `json:"estimate_ms"`
	Reason     string  `json:"reason"` // "chosen" or why the candidate was rejected
}

// loadBoundFactor bounds the load, relative to the mean over all slots, up to which
// a server is eligible as a prefix's rendezvous server (Mirrokni, Thorup and Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", SODA 2018).
const loadBoundFactor = 1.25

// Estimate returns the expected time to first token at a server, in ms.
func Estimate(q Query, s Server, cacheWeight float64) float64 {
	return queueMS(s) + prefillMS(q.PromptTokens*(1-min(1, s.Cached*cacheWeight)), s.PrefillRate)
}

// queueMS returns the expected time in ms until the server has a free slot.
func queueMS(s Server) float64 {
	if s.Slots <= 0 {
		return math.Inf(1)
	}
	queued := s.Outstanding + 1 - s.Slots
	if queued <= 0 {
		return 0
	}
	return queued / s.Slots * s.ServiceMS
}

// prefillMS returns the prefill time of a prompt in ms; 0 when the rate is unknown.
func prefillMS(tokens, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return tokens / rate * 1000
}

// Full reports whether the server's running and queued requests have reached its
// slots plus the permitted queue.
func Full(s Server, w Weights) bool {
	return s.Outstanding >= s.Slots*(1+w.QueuePerSlot)
}

// Choose selects a target for the request. otherRegionShare is the fraction of recent requests
// that were sent to other regions; random returns numbers in [0, 1).
func Choose(q Query, servers []Server, remotes []Remote, w Weights, otherRegionShare float64, random func() float64) Decision {
	d := Decision{LocalEstimateMS: math.Inf(1)}
	best := chooseLocal(q, servers, w, random, &d)
	if best != nil {
		d.Kind, d.Server = Local, best.ID
		d.LocalEstimateMS = Estimate(q, *best, w.CacheWeight)
		d.EstimateMS = d.LocalEstimateMS
	}
	if !q.Forwarded {
		chooseRemote(q, remotes, w, otherRegionShare, &d)
	}
	return d
}

// chooseLocal returns the candidate with the lowest expected cost, or nil when
// every server's queue is full.
func chooseLocal(q Query, servers []Server, w Weights, random func() float64, d *Decision) *Server {
	var open []Server
	for _, s := range servers {
		if Full(s, w) {
			d.Considered = append(d.Considered, Candidate{s.ID, Estimate(q, s, w.CacheWeight), "queue full"})
			continue
		}
		open = append(open, s)
	}
	if len(open) == 0 {
		return nil
	}
	candidates := localCandidates(q, open, random)
	if q.CrashProbability > 0 {
		candidates = allIndexes(open) // compare all, to limit the work that a crash would lose
	}
	best := -1
	for _, i := range candidates {
		if best < 0 || expectedCostMS(q, open[i], w.CacheWeight) < expectedCostMS(q, open[best], w.CacheWeight) {
			best = i
		}
	}
	for _, i := range candidates {
		reason := "higher estimate"
		if i == best {
			reason = "chosen"
		}
		d.Considered = append(d.Considered, Candidate{open[i].ID, Estimate(q, open[i], w.CacheWeight), reason})
	}
	return &open[best]
}

// expectedCostMS returns the estimated time to first token at a server plus the expected cost of
// crashing it: the service time of its outstanding requests, weighted by the request's crash
// probability.
func expectedCostMS(q Query, s Server, cacheWeight float64) float64 {
	return Estimate(q, s, cacheWeight) + q.CrashProbability*s.Outstanding*s.ServiceMS
}

// allIndexes returns the index of each server.
func allIndexes(open []Server) []int {
	out := make([]int, len(open))
	for i := range out {
		out[i] = i
	}
	return out
}

// localCandidates returns the indexes of the servers to compare: two random ones
// and, for a request with prefixes, the prefix's rendezvous server and the server
// with the longest cached prefix.
func localCandidates(q Query, open []Server, random func() float64) []int {
	seen := map[int]bool{}
	var out []int
	add := func(i int) {
		if i >= 0 && !seen[i] {
			seen[i] = true
			out = append(out, i)
		}
	}
	if len(q.Prefixes) > 0 {
		add(rendezvousServer(q.Prefixes[0], open))
		add(longestCachedPrefix(open))
	}
	for range 2 {
		add(int(random() * float64(len(open))))
	}
	return out
}

// rendezvousServer returns the first server in the prefix's rendezvous order whose
// load is below the bound, or the first of the order when none is.
func rendezvousServer(prefix uint64, open []Server) int {
	load, slots := 1.0, 0.0
	for _, s := range open {
		load += s.Outstanding
		slots += s.Slots
	}
	order := make([]int, len(open))
	for i := range order {
		order[i] = i
	}
	rank := func(i int) uint64 {
		return xxhash.Sum64String(open[i].ID + strconv.FormatUint(prefix, 16))
	}
	sort.Slice(order, func(a, b int) bool { return rank(order[a]) > rank(order[b]) })
	for _, i := range order {
		if slots > 0 && open[i].Outstanding < loadBoundFactor*load*open[i].Slots/slots {
			return i
		}
	}
	return order[0]
}

// longestCachedPrefix returns the index of the server with the longest cached
// prefix, or -1 when no server has any of it cached.
func longestCachedPrefix(open []Server) int {
	best := -1
	for i, s := range open {
		if s.Cached > 0 && (best < 0 || s.Cached > open[best].Cached) {
			best = i
		}
	}
	return best
}

// maxSummaryAge is the age above which a summary is not used.
const maxSummaryAge = 15 * time.Second

// stickyMarginFactor scales the margin for a recently used target. The hysteresis
// keeps requests from oscillating between failure domains.
const stickyMarginFactor = 0.5

// chooseRemote replaces the local choice by the failure domain with the lowest
// estimate among those that remoteRejection accepts.
func chooseRemote(q Query, remotes []Remote, w Weights, otherRegionShare float64, d *Decision) {
	best := -1
	estimates := make([]float64, len(remotes))
	reasons := make([]string, len(remotes))
	for i, r := range remotes {
		estimates[i] = remoteEstimateMS(r, w)
		reasons[i] = remoteRejection(r, w, otherRegionShare, estimates[i], d)
		if reasons[i] == "" && (best < 0 || estimates[i] < estimates[best]) {
			best = i
		}
	}
	for i, r := range remotes {
		reason := reasons[i]
		if reason == "" {
			reason = "higher estimate"
		}
		if i == best {
			reason = "chosen"
		}
		d.Considered = append(d.Considered, Candidate{r.FailureDomain, estimates[i], reason})
	}
	if best < 0 {
		return
	}
	markLocalRejected(d)
	d.Kind, d.Domain, d.Server = Forward, remotes[best].FailureDomain, ""
	d.OtherRegion, d.EstimateMS = remotes[best].OtherRegion, estimates[best]
}

// markLocalRejected records that the chosen local server lost to another failure domain.
func markLocalRejected(d *Decision) {
	for i, c := range d.Considered {
		if c.Name == d.Server && c.Reason == "chosen" {
			d.Considered[i].Reason = "another failure domain is quicker"
		}
	}
}

// remoteEstimateMS returns the cost of forwarding to another failure domain, in ms:
// its time to first token for an uncached prompt, corrected for the forwards of
// all senders since its summary, plus the network round trip and, for another region,
// the configured price. The estimate grows with the summary's age.
func remoteEstimateMS(r Remote, w Weights) float64 {
	e := r.WaitMS + 2*r.NetworkMS
	if r.Slots > 0 {
		over := r.Outstanding + r.InFlight*max(1, r.Senders/2) - r.Slots
		e = max(e, e+max(0, over)/r.Slots*r.ServiceMS*0.5)
	}
	if r.OtherRegion {
		e += w.PriceMS
	}
	return e + float64(r.Age.Milliseconds())*stalenessPenalty
}

// stalenessPenalty is the ms added to an estimate for each ms of a summary's age.
const stalenessPenalty = 0.02

// remoteRejection returns the reason for rejecting a failure domain, or "" when it
// is eligible.
func remoteRejection(r Remote, w Weights, otherRegionShare, estimate float64, d *Decision) string {
	if r.Slots <= 0 {
		return "no server"
	}
	if r.Age > maxSummaryAge {
		return "summary too old"
	}
	if r.Outstanding+r.InFlight >= r.Slots*(1+w.QueuePerSlot) {
		return "queue full"
	}
	if d.Kind != Local {
		return "" // no local server is available: ceiling, own share and margin do not apply
	}
	if r.OtherRegion && otherRegionShare >= w.Ceiling {
		return "ceiling of requests sent away"
	}
	if r.InFlight >= max(1, (r.Slots-r.Outstanding)/max(1, r.Senders)) {
		return "own part of the spare capacity is used"
	}
	margin := w.Margin
	if r.Sticky {
		margin *= stickyMarginFactor
	}
	if estimate >= d.LocalEstimateMS*(1-margin) {
		return "not better than home by the margin"
	}
	return ""
}
