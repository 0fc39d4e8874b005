// Package routing chooses where a request goes: one backend server of the
// host's own failure domain, or an entry host of another failure domain. It is a
// pure function of what the host knows, which is stale and partial.
package routing

import (
	"math"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Query is the request as far as routing needs it.
type Query struct {
	Prefixes     []uint64 // chain of prefix hashes, shortest first
	PromptTokens float64
	Away         bool // the request was forwarded: only own servers may take it
	// Suspicion is the chance that the request ends the server that runs it.
	Suspicion float64
}

// Server is a usable backend server of the own failure domain.
type Server struct {
	ID          string
	Slots       float64 // after slow start
	Outstanding float64 // estimated requests there now
	ServiceMS   float64 // mean time a request holds a slot
	PrefillRate float64 // prompt tokens per second
	Cached      float64 // share of the prefixes held (0 to 1)
}

// Remote is the summary of another failure domain.
type Remote struct {
	FailureDomain string
	Region        string
	OtherRegion   bool
	Slots         float64
	Outstanding   float64
	ServiceMS     float64
	WaitMS        float64 // its own estimate for a cold prompt
	Age           time.Duration
	NetworkMS     float64 // one-way latency
	Sent          float64 // own forwards under way there beyond those at the summary
	Senders       float64 // entry hosts that may send there
	Sticky        bool    // requests were sent there lately
}

// Weights are the configured weights; see configstate.Policy.
type Weights struct {
	PriceMS      float64
	Margin       float64
	Ceiling      float64
	CacheWeight  float64
	QueuePerSlot float64
}

// Kind is the kind of a decision.
type Kind int

// Decisions.
const (
	Nowhere Kind = iota // nothing can take the request now
	Local
	Forward
)

// Decision is the choice with its reasons.
type Decision struct {
	Kind       Kind
	Server     string // with Local
	Domain     string // with Forward
	Away       bool   // with Forward: to another region
	EstimateMS float64
	HomeMS     float64 // best local estimate; infinite when there is none
	Considered []Considered
}

// Considered is one possibility and what became of it.
type Considered struct {
	Name       string  `json:"name"`
	EstimateMS float64 `json:"estimate_ms"`
	Reason     string  `json:"reason"` // "chosen" or why it was passed over
}

// loadBound is the factor over the mean load up to which the server that a
// prefix hashes to is preferred (Mirrokni, Thorup and Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", SODA 2018).
const loadBound = 1.25

// Estimate returns the expected time to first token at a server, in ms.
func Estimate(q Query, s Server, cacheWeight float64) float64 {
	return queueMS(s) + prefillMS(q.PromptTokens*(1-min(1, s.Cached*cacheWeight)), s.PrefillRate)
}

// queueMS is the time until a slot is free.
func queueMS(s Server) float64 {
	if s.Slots <= 0 {
		return math.Inf(1)
	}
	ahead := s.Outstanding + 1 - s.Slots
	if ahead <= 0 {
		return 0
	}
	return ahead / s.Slots * s.ServiceMS
}

func prefillMS(tokens, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return tokens / rate * 1000
}

// Full reports whether the server's queue is at its bound.
func Full(s Server, w Weights) bool {
	return s.Outstanding >= s.Slots*(1+w.QueuePerSlot)
}

// Choose decides. awayShare is the share of recent requests that went to other
// regions; random returns numbers in [0, 1).
func Choose(q Query, servers []Server, remotes []Remote, w Weights, awayShare float64, random func() float64) Decision {
	d := Decision{HomeMS: math.Inf(1)}
	best := chooseLocal(q, servers, w, random, &d)
	if best != nil {
		d.Kind, d.Server = Local, best.ID
		d.HomeMS = Estimate(q, *best, w.CacheWeight)
		d.EstimateMS = d.HomeMS
	}
	if !q.Away {
		chooseRemote(q, remotes, w, awayShare, &d)
	}
	return d
}

// chooseLocal compares the server that the prefix hashes to with the best of
// two random ones and the one with the longest cached prefix.
func chooseLocal(q Query, servers []Server, w Weights, random func() float64, d *Decision) *Server {
	var open []Server
	for _, s := range servers {
		if Full(s, w) {
			d.Considered = append(d.Considered, Considered{s.ID, Estimate(q, s, w.CacheWeight), "queue full"})
			continue
		}
		open = append(open, s)
	}
	if len(open) == 0 {
		return nil
	}
	candidates := candidates(q, open, random)
	if q.Suspicion > 0 {
		candidates = all(open) // the emptiest of all, for what its end would cost
	}
	best := -1
	for _, i := range candidates {
		if best < 0 || placeCost(q, open[i], w.CacheWeight) < placeCost(q, open[best], w.CacheWeight) {
			best = i
		}
	}
	for _, i := range candidates {
		reason := "higher estimate"
		if i == best {
			reason = "chosen"
		}
		d.Considered = append(d.Considered, Considered{open[i].ID, Estimate(q, open[i], w.CacheWeight), reason})
	}
	return &open[best]
}

// placeCost is the time to first token at a server with what the server's end would cost: the
// work of the others there.
func placeCost(q Query, s Server, cacheWeight float64) float64 {
	return Estimate(q, s, cacheWeight) + q.Suspicion*s.Outstanding*s.ServiceMS
}

func all(open []Server) []int {
	out := make([]int, len(open))
	for i := range out {
		out[i] = i
	}
	return out
}

func candidates(q Query, open []Server, random func() float64) []int {
	seen := map[int]bool{}
	var out []int
	add := func(i int) {
		if i >= 0 && !seen[i] {
			seen[i] = true
			out = append(out, i)
		}
	}
	if len(q.Prefixes) > 0 {
		add(affine(q.Prefixes[0], open))
		add(warmest(open))
	}
	for range 2 {
		add(int(random() * float64(len(open))))
	}
	return out
}

// affine returns the first server in the prefix's rendezvous order whose load
// is within the bound.
func affine(prefix uint64, open []Server) int {
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
		if slots > 0 && open[i].Outstanding < loadBound*load*open[i].Slots/slots {
			return i
		}
	}
	return order[0]
}

// warmest returns the server with the longest cached prefix, or -1.
func warmest(open []Server) int {
	best := -1
	for i, s := range open {
		if s.Cached > 0 && (best < 0 || s.Cached > open[best].Cached) {
			best = i
		}
	}
	return best
}

// staleLimit is the age from which a summary is not used any more.
const staleLimit = 15 * time.Second

// hysteresis scales the margin for a target that was used lately, so that
// requests do not swing back and forth.
const hysteresis = 0.5

// chooseRemote replaces the local choice when another failure domain beats it.
func chooseRemote(q Query, remotes []Remote, w Weights, awayShare float64, d *Decision) {
	best := -1
	estimates := make([]float64, len(remotes))
	reasons := make([]string, len(remotes))
	for i, r := range remotes {
		estimates[i] = remoteEstimate(r, w)
		reasons[i] = rejectRemote(r, w, awayShare, estimates[i], d)
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
		d.Considered = append(d.Considered, Considered{r.FailureDomain, estimates[i], reason})
	}
	if best < 0 {
		return
	}
	markPassedOver(d)
	d.Kind, d.Domain, d.Server = Forward, remotes[best].FailureDomain, ""
	d.Away, d.EstimateMS = remotes[best].OtherRegion, estimates[best]
}

func markPassedOver(d *Decision) {
	for i, c := range d.Considered {
		if c.Name == d.Server && c.Reason == "chosen" {
			d.Considered[i].Reason = "another failure domain is quicker"
		}
	}
}

// remoteEstimate is the expected time to first token through an entry host of
// the other failure domain: its own estimate for a cold prompt, corrected by
// what was sent since, both ways over the network, and the price of sending
// away. A stale summary is taken to be worse by its age.
func remoteEstimate(r Remote, w Weights) float64 {
	e := r.WaitMS + 2*r.NetworkMS
	if r.Slots > 0 {
		over := r.Outstanding + r.Sent*max(1, r.Senders/2) - r.Slots
		e = max(e, e+max(0, over)/r.Slots*r.ServiceMS*0.5)
	}
	if r.OtherRegion {
		e += w.PriceMS
	}
	return e + float64(r.Age.Milliseconds())*stalenessWeight
}

// stalenessWeight is the ms added to an estimate for each ms of a summary's age.
const stalenessWeight = 0.02

// rejectRemote returns why a remote is passed over, or "".
func rejectRemote(r Remote, w Weights, awayShare, estimate float64, d *Decision) string {
	if r.Slots <= 0 {
		return "no server"
	}
	if r.Age > staleLimit {
		return "summary too old"
	}
	if r.Outstanding+r.Sent >= r.Slots*(1+w.QueuePerSlot) {
		return "queue full"
	}
	if d.Kind != Local {
		return "" // home cannot take it: ceiling and margin do not apply
	}
	if r.OtherRegion && awayShare >= w.Ceiling {
		return "ceiling of requests sent away"
	}
	if r.Sent >= max(1, (r.Slots-r.Outstanding)/max(1, r.Senders)) {
		return "own part of the spare capacity is used"
	}
	margin := w.Margin
	if r.Sticky {
		margin *= hysteresis
	}
	if estimate >= d.HomeMS*(1-margin) {
		return "not better than home by the margin"
	}
	return ""
}
