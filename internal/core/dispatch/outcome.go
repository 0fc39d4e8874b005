package dispatch

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/serverspeed"
	"github.com/sesamefork/sesamefork/internal/core/speed"
)

// Started records that the request was sent to the chosen server or region.
func (f *Fleet) Started(c *Choice, now time.Time) {
	l := c.load()
	c.startedAt = now
	if c.Server == nil {
		if r := f.regions[c.key]; r != nil {
			r.forwarded.add(l)
		}
		return
	}
	c.limitRevision = f.Limit(c.Server).Revision
	f.takeLimit(c.Server, now)
	if c.Server.inFlight() == 0 {
		c.Server.progressAt = now
	}
	if c.Deferred {
		c.Server.deferred++
	} else {
		c.Server.own.add(l)
		f.sampleHeldRatio(c, now)
		c.hold()
		c.Server.countClass(c.job, 1)
	}
	if c.job.Engine {
		f.recordGapTarget(c.job, now)
		f.recordChainRequest(sharedChainID(c.job.Parts), now)
		f.recordHolder(c, now)
		c.Server.cache.recordUse(c.job.Parts, int(c.job.MemoryTokens), now)
		f.recordPrefill(c, now)
		c.Server.prefill.add(c.UncoveredTokens/f.speedOf(c.job.Service).PrefillTokensPerMS(), now)
	}
	c.Server.expectedCrashes += quarantine.CrashProbability(c.job.ServerCrashes)
	if f.cold(c.Server, now) {
		c.Server.coldSends = append(c.Server.coldSends, now)
	}
}

// FirstByte records that the first byte of the answer has arrived, so the prefill of the prompt
// is complete. took is the time since the request was sent; 0 if it must not count as a sample
// of the server's speed.
func (f *Fleet) FirstByte(c *Choice, took time.Duration) {
	if c.Server != nil {
		f.updateSpeed(c, took)
		if c.Deferred {
			c.Server.deferred--
			c.Server.own.add(c.load())
			c.hold()
			c.Server.countClass(c.job, 1)
		}
		c.Server.own.prompt = math.Max(0, c.Server.own.prompt-c.UncoveredTokens)
	}
	c.firstByteSeen = true
}

// updateSpeed updates the speed estimates of the service from the time to the first byte. It
// ignores requests with a copied part, which needs no prefill but is not available at no cost,
// and deferred requests, which wait for others.
func (f *Fleet) updateSpeed(c *Choice, took time.Duration) {
	factor := f.firstByteFactor(c, took)
	c.slower = math.Max(1, factor/math.Max(c.workFactor, serverspeed.MinRatio))
	ms := float64(took) / float64(time.Millisecond) / factor
	e := f.speedOf(c.job.Service)
	switch {
	case c.Deferred || c.CopyFrom != "" || f.disabled(LearnedSpeeds):
	case c.job.Engine:
		e.ObserveFirstEvent(speed.Sample{PrefillTokens: c.UncoveredTokens, QueuedAheadTokens: c.tokensAhead, FirstEventMS: ms})
	default:
		e.ObserveAnswer(ms / c.slowdown)
	}
}

// Load returns the load recorded at the server, of this host and of the region's others, for
// the log.
func (s *Server) Load() (requests int, promptTokens, memoryTokens float64) {
	return s.own.requests + s.others.requests, s.own.prompt + s.others.prompt, s.own.memory + s.others.memory
}

// Progress records that bytes of the attempt's answer arrived.
func (f *Fleet) Progress(c *Choice, now time.Time) {
	if c.Server != nil {
		c.Server.progressAt = now
	}
}

// Lost reports whether the attempt's server is lost: the server has sent nothing on any request
// for stalledAfter and has also left or missed its announcements, or another process runs under
// its ID, so the process of the attempt has exited.
func (f *Fleet) Lost(c *Choice, now time.Time) bool {
	s := c.Server
	switch {
	case s == nil:
		return false
	case s.replaced:
		return true
	case s.inFlight() == 0 || !s.silent(now):
		return false
	}
	return f.IsGone(s) || f.missing(s)
}

// Replaced reports whether the process to which the attempt was sent has certainly exited,
// because another one runs under its ID. No answer can arrive any more.
func (f *Fleet) Replaced(c *Choice) bool { return c.Server != nil && c.Server.Replaced() }

// MayBeSuccessor reports whether an attempt that was sent at a time may have reached the process that has replaced the
// server's: the server did not announce itself since.
func (f *Fleet) MayBeSuccessor(c *Choice, sentAt time.Time) bool {
	return f.Replaced(c) && c.Server.Start != 0 && !sentAt.Before(c.Server.AnnouncedAt.Add(-maxViewDelay))
}

// Silent reports whether an attempt's server has sent this host nothing for a while.
func (f *Fleet) Silent(c *Choice, now time.Time) bool { return c.Server != nil && c.Server.silent(now) }

// Outcome is the result of an attempt as it affects the server's health.
type Outcome int

// Outcomes of attempts.
const (
	Served           Outcome = iota // the answer was complete
	Failed                          // the server answered with a failure of its own
	Refused                         // the server answered that it did not run the request
	ConnectionFailed                // the connection could not be established, or broke
	CallerEnded                     // the caller disconnected, or its deadline passed
	NotSent                         // this host could not encode the request; the other host is not at fault
)

// Ended records the end of an attempt. first is the time to its first byte.
func (f *Fleet) Ended(c *Choice, o Outcome, first time.Duration, now time.Time) {
	if c.Server == nil {
		if o == ConnectionFailed && c.Host != nil {
			c.Host.suspectUntil = now.Add(suspectTimeout)
		}
		return
	}
	s := c.Server
	if o == ConnectionFailed {
		f.observeConnectionFailure(c, now)
	}
	s.expectedCrashes = math.Max(0, s.expectedCrashes-quarantine.CrashProbability(c.job.ServerCrashes))
	if c.Deferred && !c.firstByteSeen {
		s.deferred--
	} else {
		s.own.requests = max(0, s.own.requests-1)
		s.countClass(c.job, -1)
		c.release()
		s.own.memory = math.Max(0, s.own.memory-c.UncoveredTokens-c.job.OutputTokens)
		if !c.firstByteSeen {
			s.own.prompt = math.Max(0, s.own.prompt-c.UncoveredTokens)
		}
	}
	if o == Served && c.job.Engine && c.firstByteSeen && !f.disabled(LearnedSpeeds) {
		ms := float64(now.Sub(c.startedAt)-first) / float64(time.Millisecond) / f.steadyFactor(s)
		f.speedOf(c.job.Service).ObserveHold(ms)
		f.speedOf(c.job.Service).ObserveOutput(c.job.OutputTokens, ms)
	}
	if o == Served && c.firstByteSeen {
		f.recordSlotTime(c, first, now)
	}
	switch o {
	case ConnectionFailed:
		s.health.recordConnectionFailure(now)
	case Served, Failed:
		s.health.recordAnswer(o == Failed, first-c.expectedFirstByte(), now)
	}
}

// suspectTimeout is how long an entry host that could not be reached is not used.
const suspectTimeout = 2 * time.Second

// load returns the load that the request adds to a server.
func (c *Choice) load() load {
	return load{1, c.UncoveredTokens, c.UncoveredTokens + c.job.OutputTokens}
}

func (l *load) add(x load) {
	l.requests += x.requests
	l.prompt += x.prompt
	l.memory += x.memory
}
