package dispatch

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/speed"
)

// Started records that the request was sent to the chosen place.
func (f *Fleet) Started(c *Choice, now time.Time) {
	l := c.load()
	c.began = now
	if c.Server == nil {
		if r := f.regions[c.key]; r != nil {
			r.sent.add(l)
		}
		return
	}
	if c.Server.underWay() == 0 {
		c.Server.progressAt = now
	}
	if c.Deferred {
		c.Server.deferred++
	} else {
		c.Server.own.add(l)
	}
	if c.job.Engine {
		f.countChain(chainOf(c.job.Parts), now)
		f.noteHolder(c, now)
		c.Server.cache.use(c.job.Parts, int(c.job.MemoryTokens), now)
		c.Server.reading.add(c.Uncovered/f.speedOf(c.job.Service).Rate(), now)
	}
	c.Server.suspicion += quarantine.Suspicion(c.job.Ends)
	if c.Server.cold(now) {
		c.Server.coldAt = append(c.Server.coldAt, now)
	}
}

// FirstByte records that the prompt was read, so long after the request was sent; 0 when
// that tells nothing.
func (f *Fleet) FirstByte(c *Choice, took time.Duration) {
	if c.Server != nil {
		f.learn(c, took)
		if c.Deferred {
			c.Server.deferred--
			c.Server.own.add(c.load())
		}
		c.Server.own.prompt = math.Max(0, c.Server.own.prompt-c.Uncovered)
	}
	c.read = true
}

// learn takes what the time to the first byte tells of the service's servers. A copied part
// is neither read nor free, and a deferred request waits for others.
func (f *Fleet) learn(c *Choice, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	e := f.speedOf(c.job.Service)
	switch {
	case c.Deferred || c.CopyFrom != "" || f.off(LearnedSpeeds):
	case c.job.Engine:
		e.Event(speed.Sample{Read: c.Uncovered, Ahead: c.ahead, FirstMS: ms})
	default:
		e.Answer(ms / c.crowd)
	}
}

// Load returns the work that this host knows to be under way at the server, its own
// included, for the log.
func (s *Server) Load() (requests int, promptTokens, memoryTokens float64) {
	return s.own.requests + s.others.requests, s.own.prompt + s.others.prompt, s.own.memory + s.others.memory
}

// Progress records that bytes of the attempt's answer came.
func (f *Fleet) Progress(c *Choice, now time.Time) {
	if c.Server != nil {
		c.Server.progressAt = now
	}
}

// Lost reports whether the attempt's server is lost: it sends nothing on any
// request, and it does not announce itself any more or has left; or another process runs
// under its ID, so that it ended.
func (f *Fleet) Lost(c *Choice, now time.Time) bool {
	s := c.Server
	switch {
	case s == nil:
		return false
	case s.replaced:
		return true
	case s.underWay() == 0 || !s.silent(now):
		return false
	}
	return f.IsGone(s) || f.missing(s)
}

// Replaced reports whether the process to which the attempt was sent has ended for certain:
// another one runs under its ID. No answer can come any more.
func (f *Fleet) Replaced(c *Choice) bool { return c.Server != nil && c.Server.Replaced() }

// Outcome is how an attempt ended, as far as the server's health goes.
type Outcome int

// Outcomes of attempts.
const (
	Served      Outcome = iota // a whole answer
	Failed                     // the server's own failure
	Refused                    // the server stated that it did not run the request
	Broke                      // no connection, or it broke
	CallerEnded                // the caller left, or its time was over
)

// Ended records the end of an attempt. first is the time to its first byte.
func (f *Fleet) Ended(c *Choice, o Outcome, first time.Duration, now time.Time) {
	if c.Server == nil {
		if o == Broke && c.Host != nil {
			c.Host.suspectUntil = now.Add(suspectFor)
		}
		return
	}
	s := c.Server
	s.suspicion = math.Max(0, s.suspicion-quarantine.Suspicion(c.job.Ends))
	if c.Deferred && !c.read {
		s.deferred--
	} else {
		s.own.requests = max(0, s.own.requests-1)
		s.own.memory = math.Max(0, s.own.memory-c.Uncovered-c.job.Output)
		if !c.read {
			s.own.prompt = math.Max(0, s.own.prompt-c.Uncovered)
		}
	}
	if o == Served && c.job.Engine && c.read && !f.off(LearnedSpeeds) {
		f.speedOf(c.job.Service).End(float64(now.Sub(c.began)-first) / float64(time.Millisecond))
	}
	switch o {
	case Broke:
		s.health.broke(now)
	case Served, Failed:
		s.health.answered(o == Failed, first-time.Duration(c.EstimateMS*float64(time.Millisecond)), now)
	}
}

// suspectFor is how long an entry host that could not be reached is passed over.
const suspectFor = 2 * time.Second

// load is the work that the choice brings.
func (c *Choice) load() load { return load{1, c.Uncovered, c.Uncovered + c.job.Output} }

func (l *load) add(x load) {
	l.requests += x.requests
	l.prompt += x.prompt
	l.memory += x.memory
}
