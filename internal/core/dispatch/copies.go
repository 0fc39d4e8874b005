package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
)

// Figures of shared parts in the engines' KV caches.
const (
	// minShared is the size from which it is told who holds a chain, and worth copying
	// it from another engine, in tokens: reading less takes no longer than a step or two
	// of a busy batch.
	minShared = 400
	// writtenPerRead is how many tokens an engine stores for each that it reads: the
	// answers are stored too.
	writtenPerRead = 1.3
	// minKept and maxKept bound the estimate of how long an engine keeps a part.
	minKept = 2 * time.Second
	maxKept = 30 * time.Second
	// copyLoss is what copying the KV cache of 1,000 tokens from another engine costs:
	// the engines' network, and memory for a second copy. It is a tenth of rereadLoss.
	copyLoss = 0.06
)

// holder is an engine of the region that probably keeps a chain.
type holder struct {
	server *Server
	used   time.Time
}

// keepers are the engines of the region that may keep a job's shared parts. They are
// looked up once for all places that are weighed.
type keepers struct {
	homes   []string // to which all hosts send the chain, the first one first
	holders []holder // to which it was sent lately, the newest last
}

func (f *Fleet) keepersOf(j *Job, now time.Time) keepers {
	var k keepers
	if !f.off(Homes) {
		k.homes = f.homesOf(j, now)
	}
	if !f.off(Holders) {
		k.holders = f.holdersOf(j)
	}
	return k
}

// holdersOf returns the engines to which this host or others sent the job's shared
// chain lately, the newest last.
func (f *Fleet) holdersOf(j *Job) []holder {
	if !j.Engine || sharedTokens(j.Parts) < minShared {
		return nil
	}
	var out []holder
	for _, h := range f.holders.Of(holders.Key(chainOf(j.Parts))) {
		if s := f.byKey[h.Server]; s != nil && s.Service == j.Service {
			out = append(out, holder{s, h.Used})
		}
	}
	return out
}

// Figures of shared parts in another region.
const (
	// uncoveredAway is the share of small shared parts that another region probably
	// has to read: it is not told who holds these.
	uncoveredAway = 0.5
	// keptAway is how long another region probably keeps a chain: half of maxKept.
	keptAway = 15 * time.Second
)

// rereadAway returns how many shared tokens of the prompt a region probably reads.
func (f *Fleet) rereadAway(r *region, j *Job, now time.Time) float64 {
	shared := float64(sharedTokens(j.Parts))
	if shared < minShared {
		return uncoveredAway * shared
	}
	for _, h := range f.holders.Of(holders.Key(chainOf(j.Parts))) {
		if h.Server == r.key {
			return shared * (1 - trust(now.Sub(h.Used), keptAway))
		}
	}
	return shared
}

// noteHolder records where a prompt was sent, for this host and the others.
func (f *Fleet) noteHolder(c *Choice, now time.Time) {
	if sharedTokens(c.job.Parts) < minShared {
		return
	}
	p := holders.Place{Chain: holders.Key(chainOf(c.job.Parts)), Server: c.Server.key}
	f.holders.Note(p, now)
	if len(f.sent) < maxUntold {
		f.sent = append(f.sent, p)
	}
}

// maxUntold bounds what is kept for a control host that can't be reached.
const maxUntold = 512

// TakeSent returns where prompts were sent since the last call, for the region's
// other hosts.
func (f *Fleet) TakeSent() []holders.Place {
	out := f.sent
	f.sent = nil
	return out
}

// keptFor estimates how long an engine keeps a part that is not used: its memory
// without that of running requests, over what is written to it.
func (f *Fleet) keptFor(s *Server, j *Job, now time.Time) time.Duration {
	free := j.MemoryTokens - s.own.memory - s.others.memory
	readingMS := s.reading.now(now) + s.othersReading // per second
	perSecond := readingMS * f.speedOf(j.Service).Rate() * writtenPerRead
	if perSecond*maxKept.Seconds() <= free {
		return maxKept
	}
	return max(minKept, time.Duration(free/perSecond*float64(time.Second)))
}

// trust is how likely an engine still keeps a part after some time: parts yield in
// the order of their last use, and how much was written is an estimate.
func trust(age, kept time.Duration) float64 {
	return math.Max(0, math.Min(1, 1.5-age.Seconds()/kept.Seconds()))
}

// covered returns how many tokens of the prompt's shared parts the server probably keeps.
func (f *Fleet) covered(s *Server, j *Job, keep keepers, now time.Time) float64 {
	kept := f.keptFor(s, j, now)
	covered := float64(s.cache.covered(j.Parts, kept, now))
	shared := float64(sharedTokens(j.Parts))
	for _, h := range keep.holders {
		if h.server == s {
			return math.Max(covered, trust(now.Sub(h.used), kept)*shared)
		}
	}
	if rank := slices.Index(keep.homes, s.ID); rank >= 0 && len(keep.holders) == 0 {
		// The region's other hosts send these shared parts there too.
		return math.Max(covered, homeCovered[rank]*shared)
	}
	return covered
}

// copySource returns the engine from which a server can copy what it lacks of the
// job's shared parts, with the tokens that it probably gets.
func (f *Fleet) copySource(s *Server, j *Job, keep keepers, lacks float64, now time.Time) (addr string, tokens float64) {
	if j.CopyPerMS <= 0 || lacks < minShared || f.off(Copies) {
		return "", 0
	}
	best := 0.0
	for _, h := range keep.holders {
		if h.server == s || f.usable(h.server, now) != "" || h.server.cold(now) || h.server.stalled(now) {
			continue
		}
		if t := trust(now.Sub(h.used), f.keptFor(h.server, j, now)); t > best {
			best, addr = t, h.server.Address
		}
	}
	return addr, best * lacks
}

// addCopy adds what it costs to copy KV cache of so many tokens before the prompt is read.
func (k *cost) addCopy(j *Job, tokens float64) {
	if tokens > 0 {
		k.firstMS += tokens / j.CopyPerMS
		k.loss += tokens / 1000 * copyLoss
	}
}
