package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// longPrompt is the size from which a prompt is long, in tokens: half a chunk of
// the engines, which alone makes a step of 50 ms.
const longPrompt = 2000

func (j *Job) isLong() bool { return j.Engine && j.Prompt >= longPrompt }

// homeCovered is the share of a chain's shared parts that its first, second and
// third home probably keep. All hosts spill over in the same order.
var homeCovered = []float64{1, 0.6, 0.3}

// homeUse is the share of its time that a home spends on one chain's requests before
// the chain gets another home. An engine that reads for half of its time answers late,
// and a home serves other chains too. Each further home reads the shared parts anew, and
// with one home for every chain a load of few hot chains reads too much at one engine
// (TestLoadOnARegion).
const homeUse = 0.35

// chainMemory is the time constant of a chain's rate: some requests of a hot chain.
const chainMemory = 8 * time.Second

// chainRate is the moving count of this host's requests for a chain.
type chainRate struct {
	count float64
	at    time.Time
}

func (r chainRate) now(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/chainMemory.Seconds())
}

// chainOf names the longest shared chain of a prompt; "" when nothing is shared.
func chainOf(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// countChain records a request for a chain.
func (f *Fleet) countChain(key string, now time.Time) {
	if key != "" {
		f.chains[key] = chainRate{f.chains[key].now(now) + 1, now}
	}
}

// forgetChains drops the chains that were not asked for lately.
func (f *Fleet) forgetChains(now time.Time) {
	const forgotten = 0.02 // a request four time constants ago
	for key, r := range f.chains {
		if r.now(now) < forgotten {
			delete(f.chains, key)
		}
	}
}

// homeCount returns how many homes the job's chain needs. The region's other hosts
// are taken to see as many requests for it as this one.
func (f *Fleet) homeCount(j *Job, key string, now time.Time) int {
	perSecond := f.chains[key].now(now) / chainMemory.Seconds() * float64(f.Neighbors())
	readMS := (j.Prompt - float64(sharedTokens(j.Parts))) / f.speedOf(j.Service).Rate()
	return 1 + int(perSecond*readMS/1000/homeUse)
}

// homesOf returns the servers to which all hosts of the region send the job's shared
// parts, the first one first while it is not busier than the next: those with the
// highest hashes of the longest shared chain.
func (f *Fleet) homesOf(j *Job, now time.Time) []string {
	key := chainOf(j.Parts)
	if key == "" {
		return nil
	}
	type ranked struct {
		id   string
		rank uint64
	}
	var best []ranked
	for _, s := range f.servers {
		if s.Service != j.Service || s.Leaving {
			continue
		}
		best = append(best, ranked{s.ID, xxhash.Sum64String(s.ID + "\x00" + key)})
	}
	sort.Slice(best, func(a, b int) bool { return best[a].rank > best[b].rank })
	var homes []string
	for _, r := range best[:min(len(best), f.homeCount(j, key, now), len(homeCovered))] {
		homes = append(homes, r.id)
	}
	return homes
}

// Many hosts that see the same figures, a quarter of a second old, all find the same
// server best. With more hosts than manyHosts each weighs the homes, sampled others and
// one sampled in its own failure domain only.
const (
	manyHosts = 6
	sampled   = 1
)

// candidates returns the servers to weigh for a job, sorted by ID: all of them when
// none of the few can be used.
func (f *Fleet) candidates(j *Job, keep keepers, now time.Time) []*Server {
	all := f.ofService(j.Service)
	if !j.Engine && !f.off(Shares) {
		return all // drawn by what each can take
	}
	if f.Neighbors() <= manyHosts || len(all) <= sampled+len(keep.homes) || f.off(Sampling) {
		return all
	}
	chosen := map[*Server]bool{}
	for _, id := range keep.homes {
		if s := f.servers[id]; s != nil {
			chosen[s] = true
		}
	}
	for _, h := range keep.holders {
		chosen[h.server] = true
	}
	for range sampled {
		chosen[f.sample(all)] = true
	}
	chosen[f.sample(f.ofOwnDomain(all))] = true
	var out []*Server
	usable := false
	for _, s := range all {
		if chosen[s] {
			out = append(out, s)
			usable = usable || (!j.Tried[s.ID] && f.usable(s, now) == "" && !s.cold(now))
		}
	}
	if !usable {
		return all
	}
	return out
}

// sample returns one of the servers at random; nil when there are none.
func (f *Fleet) sample(servers []*Server) *Server {
	if len(servers) == 0 {
		return nil
	}
	return servers[int(f.o.Random()*float64(len(servers)))%len(servers)]
}

func (f *Fleet) ofOwnDomain(servers []*Server) []*Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s *Server) bool { return s.FailureDomain != f.o.FailureDomain })
}

// sharedTokens is the size of the chain without the request's own part.
func sharedTokens(parts []Part) int {
	sum := 0
	for i := 0; i < len(parts)-1; i++ {
		sum += parts[i].Tokens
	}
	return sum
}

// coldSettle is how long a host must have known the same ready hosts of its region before it
// may send to cold servers: within viewDelay all hosts that hear the same control host know
// the list, and what an earlier sender sent a second before that has left the window in which
// the rate is counted. Hosts that have just started, all at once, each know themselves first.
const coldSettle = viewDelay + time.Second

// coldAllowed reports whether this host may send to a cold server: one host of
// the region does, and it keeps to the rate. Hosts that hear different control hosts, which
// can't reach each other, may each hold themselves to be the sender: two of them use twice
// the rate, which is below the one at which servers fall over.
func (f *Fleet) coldAllowed(s *Server, j *Job, now time.Time) bool {
	if j.ColdPerSecond <= 0 {
		return true
	}
	if now.Sub(f.neighborsSince) < coldSettle || f.ownerOf(s.ID) != f.o.Host {
		return false
	}
	s.coldAt = slices.DeleteFunc(s.coldAt, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	return float64(len(s.coldAt)+1) <= math.Max(1, j.ColdPerSecond)
}

// ownerOf returns the entry host of the region that alone sends to a cold server.
func (f *Fleet) ownerOf(server string) string {
	best, bestRank := "", uint64(0)
	for _, h := range f.neighbors {
		if rank := xxhash.Sum64String(h + "\x00" + server); rank >= bestRank {
			best, bestRank = h, rank
		}
	}
	return best
}
