package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
)

// Parameters of shared prompt parts in the engines' KV caches.
const (
	// minSharedTokens is the size from which entry hosts report to each other which engine holds
	// the shared parts of a prompt, and from which engines copy them. The prefill of fewer
	// tokens takes no longer than one or two steps of a busy batch.
	minSharedTokens = 400
	// kvWrittenPerPrefillToken is the number of tokens written to an engine's KV cache per
	// prompt token prefilled: the tokens of the answers are stored too.
	kvWrittenPerPrefillToken = 1.3
	// minRetention and maxRetention bound the estimate of how long an engine keeps an unused
	// part.
	minRetention = 2 * time.Second
	maxRetention = 30 * time.Second
	// copyLoss is the loss of copying the KV cache of 1,000 tokens from another engine: traffic
	// on the engines' network, and memory for a second copy. It is a tenth of
	// repeatedPrefillLoss.
	copyLoss = 0.06
)

// holder is an engine of the own region that probably has a chain in its KV cache.
type holder struct {
	server *Server
	used   time.Time
}

// chainLocations are the engines of the own region that may have a job's shared parts in their
// KV caches. They are looked up once per request and used for every candidate.
type chainLocations struct {
	homes   []string // IDs of the servers to which all hosts send the chain, most preferred first
	holders []holder // engines to which the chain was sent recently, the most recent last
}

func (f *Fleet) locationsOf(j *Job, now time.Time) chainLocations {
	var l chainLocations
	if !f.disabled(Homes) {
		l.homes = f.homesOf(j, now)
	}
	if !f.disabled(Holders) {
		l.holders = f.holdersOf(j)
	}
	return l
}

// holdersOf returns the engines to which any entry host of the region recently sent the job's
// shared parts, the most recent last.
func (f *Fleet) holdersOf(j *Job) []holder {
	if !j.Engine || sharedTokens(j.Parts) < minSharedTokens {
		return nil
	}
	var out []holder
	for _, h := range f.holders.Holders(holders.Key(sharedChainID(j.Parts))) {
		if s := f.serversByKey[h.Server]; s != nil && s.Service == j.Service {
			out = append(out, holder{s, h.Used})
		}
	}
	return out
}

// Parameters of shared prompt parts in another region.
const (
	// remoteUncoveredShare is the fraction of shared parts below minSharedTokens that another
	// region probably has to prefill: holders of these are not reported.
	remoteUncoveredShare = 0.5
	// remoteRetention is how long another region probably keeps a chain: half of maxRetention.
	remoteRetention = 15 * time.Second
)

// repeatedPrefillInRegion returns how many shared tokens of the prompt another region probably
// has to prefill again.
func (f *Fleet) repeatedPrefillInRegion(r *region, j *Job, now time.Time) float64 {
	shared := float64(sharedTokens(j.Parts))
	if shared < minSharedTokens {
		return remoteUncoveredShare * shared
	}
	for _, h := range f.holders.Holders(holders.Key(sharedChainID(j.Parts))) {
		if h.Server == r.key {
			return shared * (1 - retentionProbability(now.Sub(h.Used), remoteRetention))
		}
	}
	return shared
}

// recordHolder records the server to which a prompt was sent, for this host and for the report
// to the region's other hosts.
func (f *Fleet) recordHolder(c *Choice, now time.Time) {
	if sharedTokens(c.job.Parts) < minSharedTokens {
		return
	}
	p := holders.Place{Chain: holders.Key(sharedChainID(c.job.Parts)), Server: c.Server.key}
	f.holders.Record(p, now)
	if len(f.unreportedPlaces) < maxUnreportedPlaces {
		f.unreportedPlaces = append(f.unreportedPlaces, p)
	}
}

// maxUnreportedPlaces bounds the backlog of reports while no control host can be reached.
const maxUnreportedPlaces = 512

// TakeUnreportedPlaces returns and clears the record of where prompts were sent since the last
// call, to be reported to the region's other hosts.
func (f *Fleet) TakeUnreportedPlaces() []holders.Place {
	out := f.unreportedPlaces
	f.unreportedPlaces = nil
	return out
}

// retention estimates how long an engine keeps an unused part: the KV cache that running
// requests leave free, divided by the rate at which tokens are written to it.
func (f *Fleet) retention(s *Server, j *Job, now time.Time) time.Duration {
	free := j.MemoryTokens - s.own.memory - s.others.memory
	prefillMS := s.prefill.now(now) + s.othersPrefill // ms of prefill per second
	perSecond := prefillMS * f.speedOf(j.Service).PrefillTokensPerMS() * kvWrittenPerPrefillToken
	if perSecond*maxRetention.Seconds() <= free {
		return maxRetention
	}
	return max(minRetention, time.Duration(free/perSecond*float64(time.Second)))
}

// retentionProbability returns the probability that an engine still has a part that was last
// used age ago, if the estimated retention is kept. It falls linearly from 1 at half of kept to
// 0 at one and a half times kept: eviction follows the order of the last use, but the rate of
// writing is an estimate.
func retentionProbability(age, kept time.Duration) float64 {
	return math.Max(0, math.Min(1, 1.5-age.Seconds()/kept.Seconds()))
}

// coveredTokens returns how many tokens of the prompt's shared parts the server probably has
// cached.
func (f *Fleet) coveredTokens(s *Server, j *Job, locations chainLocations, now time.Time) float64 {
	kept := f.retention(s, j, now)
	covered := float64(s.cache.coveredTokens(j.Parts, kept, now))
	shared := float64(sharedTokens(j.Parts))
	for _, h := range locations.holders {
		if h.server == s {
			return math.Max(covered, retentionProbability(now.Sub(h.used), kept)*shared)
		}
	}
	if rank := slices.Index(locations.homes, s.ID); rank >= 0 && len(locations.holders) == 0 {
		// The region's other hosts send prompts with these shared parts to the same homes.
		return math.Max(covered, homeCoverage[rank]*shared)
	}
	return covered
}

// copySource returns the address of the engine from which a server can copy the job's shared
// parts that it has not cached, and the number of tokens that it probably gets.
func (f *Fleet) copySource(s *Server, j *Job, locations chainLocations, missingTokens float64, now time.Time) (addr string, tokens float64) {
	if j.CopyTokensPerMS <= 0 || missingTokens < minSharedTokens || f.disabled(Copies) {
		return "", 0
	}
	best := 0.0
	for _, h := range locations.holders {
		if h.server == s || h.server.Release != s.Release || f.usable(h.server, now) != "" || f.cold(h.server, now) || f.Limit(h.server).InForce() || h.server.stalled(now) {
			continue
		}
		if t := retentionProbability(now.Sub(h.used), f.retention(h.server, j, now)); t > best {
			best, addr = t, h.server.Address
		}
	}
	return addr, best * missingTokens
}

// addCopy adds the cost of copying the KV cache of tokens before the prefill of the rest of the
// prompt.
func (k *cost) addCopy(j *Job, tokens float64) {
	if tokens > 0 {
		k.firstMS += tokens / j.CopyTokensPerMS
		k.loss += tokens / 1000 * copyLoss
	}
}
