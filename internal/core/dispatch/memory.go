package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/enginememory"
)

// A request goes to an engine whose estimated memory it would exceed only if no other engine has room; the loss
// decides among engines that are alike in that. Services whose configuration states no memory of their engines are not
// affected. Package enginememory has the decision.

// maxSearchedForRoom bounds the engines outside the sample that are evaluated when none of the sample has room. The
// cost of a choice then stays that of a few more candidates, and hosts spread over the engines with room.
const maxSearchedForRoom = 4

// maxVisitedForRoom bounds the engines whose memory is looked at in that search, so that a choice in a large region
// whose engines are all full stays well under 1 ms.
const maxVisitedForRoom = 256

// fits reports whether a server is chosen that is not expected to exceed its memory by the request.
func (c *Choice) fits() bool { return c.Server != nil && c.fill != enginememory.Full }

// isWorseThan reports whether a candidate with the fill and the loss is to replace the choice so far: it has room and
// the choice has none, or both are alike in that and the candidate's loss is lower.
func (c *Choice) isWorseThan(fill enginememory.Fill, loss float64) bool {
	full, chosenFull := fill == enginememory.Full, c.fill == enginememory.Full
	if (c.Server == nil && c.Host == nil) || full == chosenFull {
		return loss < c.loss
	}
	return chosenFull
}

// tightLoss is the loss of an engine that other hosts may have filled since their last figures: that of a request that
// is certain to fail, as an engine that crashes by memory also ends its other requests.
const tightLoss = errorLoss

// fillLoss returns the loss of an engine for its fill.
func fillLoss(fill enginememory.Fill) float64 {
	if fill == enginememory.Tight {
		return tightLoss
	}
	return 0
}

// hasMemory reports whether the job is for engines whose memory is known.
func (j *Job) hasMemory() bool { return j.Engine && j.MemoryTokens > 0 }

// memoryRequest returns the memory that the job occupies at an engine while it runs. It is determined once, as each
// candidate is compared with it.
func (j *Job) memoryRequest() enginememory.Request {
	if j.memory == nil {
		r := j.newMemoryRequest()
		j.memory = &r
	}
	return *j.memory
}

func (j *Job) newMemoryRequest() enginememory.Request {
	r := enginememory.Request{Own: math.Max(0, j.PromptTokens-float64(sharedTokens(j.Parts))) + j.OutputTokens}
	for i := 0; i < len(j.Parts)-1; i++ {
		r.Shared = append(r.Shared, enginememory.Part{ID: j.Parts[i].ID, Tokens: float64(j.Parts[i].Tokens)})
	}
	return r
}

// memoryAt returns the estimated state of an engine's memory.
func (f *Fleet) memoryAt(s *Server, j *Job, now time.Time) enginememory.Engine {
	factor := f.unreportedFactor(j.Service, now)
	return enginememory.Engine{
		Capacity: j.MemoryTokens, Own: s.holding.Tokens(), Others: factor * s.others.memory * f.heldRatio(j.Service).At(now),
		OthersPerSecond: factor * s.othersPrefill * f.speedOf(j.Service).PrefillTokensPerMS() * kvWrittenPerPrefillToken,
		OtherHosts:      f.Neighbors() - 1, Refilling: s.memoryRestart.Refilling(s.ColdUntil, now),
	}
}

// fillWith returns whether an engine has room for the job.
func (f *Fleet) fillWith(s *Server, j *Job, now time.Time) enginememory.Fill {
	if !j.hasMemory() || f.disabled(MemoryRoom) {
		return enginememory.HasRoom
	}
	e := f.memoryAt(s, j, now)
	s.memoryRestart.Observe(e, now)
	return e.FillWith(s.holding.Needs(j.memoryRequest()))
}

// fillInRegion returns whether an average engine of another region has room for the job. A region that answers after
// the target is not preferred to a full engine of the own one, where the wait for memory is usually shorter.
func (f *Fleet) fillInRegion(r *region, j *Job, ownFull bool, firstMS float64) enginememory.Fill {
	if !j.hasMemory() || f.disabled(MemoryRoom) {
		return enginememory.HasRoom
	}
	if ownFull && firstMS > float64(min(j.Remaining, j.Target).Milliseconds()) {
		return enginememory.Full
	}
	servers, _ := r.capacity(f.requestsPerSlot(j.Service, true))
	e := enginememory.Engine{Capacity: j.MemoryTokens, Others: (r.memory + r.forwarded.memory) / math.Max(minServers, servers)}
	return e.FillWith(j.PromptTokens + j.OutputTokens)
}

// othersWithRoom returns a few of all engines with room for the job that are not among the candidates, from a random one on.
func (f *Fleet) othersWithRoom(all, candidates []*Server, j *Job, now time.Time) []*Server {
	if !j.hasMemory() || f.disabled(MemoryRoom) || len(all) <= len(candidates) {
		return nil
	}
	need := j.memoryRequest()
	var out []*Server
	first := int(f.o.Random() * float64(len(all)))
	for i := range min(len(all), maxVisitedForRoom) {
		s := all[(first+i)%len(all)]
		if j.Tried[s.ID] || slices.Contains(candidates, s) || f.usable(s, now) != "" {
			continue
		}
		if f.memoryAt(s, j, now).FillWith(s.holding.Needs(need)) == enginememory.Full {
			continue
		}
		if out = append(out, s); len(out) == maxSearchedForRoom {
			break
		}
	}
	return out
}

// heldRatio returns the ratio between what requests for a service hold at its engines and what hosts report of it.
func (f *Fleet) heldRatio(service string) *enginememory.Ratio {
	r := f.heldRatios[service]
	if r == nil {
		r = &enginememory.Ratio{}
		f.heldRatios[service] = r
	}
	return r
}

// sampleHeldRatio adds the choice's request, which is about to be sent, to the service's ratio.
func (f *Fleet) sampleHeldRatio(c *Choice, now time.Time) {
	if c.job.hasMemory() {
		f.heldRatio(c.job.Service).Add(c.Server.holding.Needs(c.job.memoryRequest()), c.load().memory, now)
	}
}

// observeConnectionFailure records the state of the memory of the choice's server when an attempt there breaks off,
// before the attempt's own memory is taken off: the server's process may have crashed.
func (f *Fleet) observeConnectionFailure(c *Choice, now time.Time) {
	if c.job.hasMemory() && !f.disabled(MemoryRoom) {
		c.Server.memoryRestart.Observe(f.memoryAt(c.Server, c.job, now), now)
	}
}

// crashedByMemory reports whether the server's process, which runs no more, counts as crashed by memory.
func (s *Server) crashedByMemory() bool {
	return !s.Leaving && s.memoryRestart.CrashedByMemory(s.AnnouncedAt)
}

// refillMemory makes a server that replaces one that crashed by memory get only part of its memory filled at first.
func (f *Fleet) refillMemory(s *Server, now time.Time) {
	s.memoryRestart.Refill(now)
	f.memoryCrashes = append(f.memoryCrashes, s)
}

// TakeMemoryCrashes returns, for the log, the servers whose predecessors under their ID count as crashed by memory and
// have been found replaced since the last call.
func (f *Fleet) TakeMemoryCrashes() []*Server {
	out := f.memoryCrashes
	f.memoryCrashes = nil
	return out
}

// Overfills reports whether the request was sent to an engine whose estimated memory it exceeds, as no engine had room.
func (c *Choice) Overfills() bool { return c.Server != nil && c.fill == enginememory.Full }

// hold records that the choice's request occupies memory at its server.
func (c *Choice) hold() {
	if c.job.hasMemory() {
		c.Server.holding.Add(c.job.memoryRequest())
	}
}

// release ends what hold began.
func (c *Choice) release() {
	if c.job.hasMemory() {
		c.Server.holding.Remove(c.job.memoryRequest())
	}
}
