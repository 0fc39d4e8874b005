package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// longPromptTokens is the length from which a prompt counts as long, in tokens: half a chunk of
// the engines, which alone makes a step take 50 ms.
const longPromptTokens = 2000

func (j *Job) isLong() bool { return j.Engine && j.PromptTokens >= longPromptTokens }

// homeCoverage is the fraction of a chain's shared parts that its first, second and third home
// probably have cached. All hosts overflow from one home to the next in the same order.
var homeCoverage = []float64{1, 0.6, 0.3}

// maxHomeUse is the fraction of its time that a home may spend on the requests of one chain
// before the chain gets another home. An engine that spends half of its time on prefill answers
// late, and a home serves other chains too. Each further home repeats the prefill of the shared
// parts, but if every chain had a single home, a load with few hot chains would overload one
// engine with prefill (TestLoadOnARegion).
const maxHomeUse = 0.35

// chainTimeConstant is the time constant of a chain's request rate: it covers several requests
// for a hot chain.
const chainTimeConstant = 8 * time.Second

// chainRate is an exponentially decaying count of this host's requests for a chain.
type chainRate struct {
	count float64
	at    time.Time
}

func (r chainRate) now(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/chainTimeConstant.Seconds())
}

// sharedChainID returns the ID of the longest shared chain of a prompt: all of its parts except
// the last one. It is "" if the prompt shares nothing.
func sharedChainID(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// recordChainRequest counts a request for a chain.
func (f *Fleet) recordChainRequest(key string, now time.Time) {
	if key != "" {
		f.chainRates[key] = chainRate{f.chainRates[key].now(now) + 1, now}
	}
}

// sweepChains drops the chains that have not been requested recently.
func (f *Fleet) sweepChains(now time.Time) {
	const minCount = 0.02 // one request four time constants ago
	for key, r := range f.chainRates {
		if r.now(now) < minCount {
			delete(f.chainRates, key)
		}
	}
}

// homeCount returns the number of homes that the job's chain needs, assuming that each of the
// region's other hosts receives as many requests for it as this one.
func (f *Fleet) homeCount(j *Job, key string, now time.Time) int {
	perSecond := f.chainRates[key].now(now) / chainTimeConstant.Seconds() * float64(f.Neighbors())
	prefillMS := (j.PromptTokens - float64(sharedTokens(j.Parts))) / f.speedOf(j.Service).PrefillTokensPerMS() * f.usualFactor(j.Service, now)
	return 1 + int(perSecond*prefillMS/1000/maxHomeUse)
}

// homesOf returns the IDs of the servers to which all hosts of the region send the job's shared
// parts, most preferred first. A later home is chosen only if the earlier ones are busier, as
// its expected coverage is lower (homeCoverage). The homes are chosen by rendezvous hashing of
// the longest shared chain.
func (f *Fleet) homesOf(j *Job, now time.Time) []string {
	key := sharedChainID(j.Parts)
	if key == "" {
		return nil
	}
	type ranked struct {
		id   string
		wait float64 // 0 without a pool
		rank uint64
	}
	var best []ranked
	for _, s := range f.homeCandidates(j, now) {
		rank := xxhash.Sum64String(s.ID + "\x00" + key)
		best = append(best, ranked{s.ID, f.poolWait(s, j, rank, now), rank})
	}
	sort.Slice(best, func(a, b int) bool {
		if best[a].wait != best[b].wait {
			return best[a].wait < best[b].wait
		}
		return best[a].rank > best[b].rank
	})
	var homes []string
	for _, r := range best[:min(len(best), f.homeCount(j, key, now), len(homeCoverage))] {
		homes = append(homes, r.id)
	}
	return homes
}

// With many hosts that act on the same load figures, a quarter of a second old, all of them
// would choose the same server. If a region has more than maxHostsUnsampled entry hosts, each
// of them evaluates only the homes and holders, sampleSize random servers, and one random
// server of its own failure domain.
const (
	maxHostsUnsampled = 6
	sampleSize        = 1
)

// candidates returns those of all servers of the service to evaluate for a job, sorted by ID. It
// returns all if none of the sampled ones is usable.
func (f *Fleet) candidates(all []*Server, j *Job, locations chainLocations, now time.Time) []*Server {
	if !j.Engine && !f.disabled(Shares) {
		return all // chosen by rankServers
	}
	if f.Neighbors() <= maxHostsUnsampled || len(all) <= sampleSize+len(locations.homes) || f.disabled(Sampling) {
		return all
	}
	if j.Release != nil {
		all = slices.DeleteFunc(slices.Clone(all), func(s *Server) bool { return s.Release != *j.Release })
	}
	chosen := map[*Server]bool{}
	for _, id := range locations.homes {
		if s := f.servers[id]; s != nil {
			chosen[s] = true
		}
	}
	for _, h := range locations.holders {
		chosen[h.server] = true
	}
	for range sampleSize {
		chosen[f.sample(f.withoutPool(j, all, now))] = true
	}
	chosen[f.sample(f.inOwnDomain(all))] = true
	var out []*Server
	usable := false
	for _, s := range all {
		if chosen[s] {
			out = append(out, s)
			usable = usable || (!j.Tried[s.ID] && f.usable(s, now) == "" && !f.cold(s, now) && f.limitAllows(s, j, now))
		}
	}
	if !usable {
		return all
	}
	return out
}

// sample returns a random one of the servers; nil if there are none.
func (f *Fleet) sample(servers []*Server) *Server {
	if len(servers) == 0 {
		return nil
	}
	return servers[int(f.o.Random()*float64(len(servers)))%len(servers)]
}

func (f *Fleet) inOwnDomain(servers []*Server) []*Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s *Server) bool { return s.FailureDomain != f.o.FailureDomain })
}

// sharedTokens returns the size of all parts except the last one, which is specific to the
// request.
func sharedTokens(parts []Part) int {
	sum := 0
	for i := 0; i < len(parts)-1; i++ {
		sum += parts[i].Tokens
	}
	return sum
}
