package dispatch

import "time"

// Limits of the wait while an entry host starts.
const (
	// configWait is the time after its start by which a host expects to have the configuration.
	// If all hosts start at once, that takes the start of the control hosts and the election of
	// their leader, a few round trips between regions.
	configWait = 1600 * time.Millisecond
	// maxWaitShare is the fraction of a request's remaining time that it may wait for the
	// configuration: the rest has to suffice for a second attempt elsewhere.
	maxWaitShare = 0.25
	// maxWaiting bounds the number of requests that wait at one host, each of which may hold a
	// prompt of several KB.
	maxWaiting = 256
	// overdueRetryAfter is the time after which a caller is asked to retry if the start takes
	// longer than expected, because of another election.
	overdueRetryAfter = time.Second
)

// Startup decides whether requests that reach an entry host before it has the configuration
// wait for it or are refused. A request waits while the configuration is expected, for at most
// maxWaitShare of its remaining time. When all hosts have restarted, the callers of all of them
// arrive at once, each with few retries, and a caller that is refused retries later than it
// could have been served (TestStartupServesMore). It is not safe for concurrent use, except for
// Age.
type Startup struct {
	startedAt     time.Time
	announceEvery time.Duration
	off           Mechanisms
	waiting       int
	knowsServers  bool
}

// NewStartup returns a Startup for a host that starts now, with servers that announce
// themselves at an interval of announceEvery; 0 for the default.
func NewStartup(now time.Time, announceEvery time.Duration, off Mechanisms) *Startup {
	if announceEvery == 0 {
		announceEvery = DefaultAnnounceEvery
	}
	return &Startup{startedAt: now, announceEvery: announceEvery, off: off}
}

// Enter admits a request to the wait and returns the longest time that the request may wait; 0
// if it has to be refused. remaining is the time until the caller's deadline; 0 if there is
// none. Leave must be called for each admitted request.
func (s *Startup) Enter(remaining time.Duration, now time.Time) time.Duration {
	return s.enter(s.untilConfig(now), remaining)
}

// EnterForServers is Enter for a request for which no server is usable. Control hosts that have
// just started receive announcements of the servers within one interval, and the state of other
// regions with the next view; until then a region whose own servers are evacuated has no usable
// server.
func (s *Startup) EnterForServers(remaining time.Duration, now time.Time) time.Duration {
	return s.enter(s.untilServers(now), remaining)
}

// AwaitsServers reports whether servers may exist that have not been reported since the start.
func (s *Startup) AwaitsServers(now time.Time) bool { return s.untilServers(now) > 0 }

// RecordView records a view with the region's servers and loads from a control host that has run for uptime. Within an
// announcement interval and the delay of a view it has heard of all servers.
func (s *Startup) RecordView(uptime time.Duration) {
	s.knowsServers = s.knowsServers || uptime >= s.announceEvery+maxViewDelay
}

// KnowsServers reports whether all servers that announce themselves have been reported since the start.
func (s *Startup) KnowsServers(now time.Time) bool { return s.knowsServers || !s.AwaitsServers(now) }

func (s *Startup) untilServers(now time.Time) time.Duration {
	return s.untilConfig(now) + s.announceEvery + maxViewDelay
}

func (s *Startup) enter(wait, remaining time.Duration) time.Duration {
	if remaining > 0 {
		wait = min(wait, time.Duration(maxWaitShare*float64(remaining)))
	}
	if wait <= 0 || s.waiting >= maxWaiting || s.off.Has(StartWaiting) {
		return 0
	}
	s.waiting++
	return wait
}

// Leave ends the wait of an admitted request.
func (s *Startup) Leave() { s.waiting-- }

// RetryAfter returns the time after which the caller of a refused request should retry.
func (s *Startup) RetryAfter(now time.Time) time.Duration {
	if left := s.untilConfig(now); left > 0 {
		return max(left, minRetryAfter)
	}
	return overdueRetryAfter
}

// Age returns the time since the host's start. It is safe for concurrent use.
func (s *Startup) Age(now time.Time) time.Duration { return now.Sub(s.startedAt) }

func (s *Startup) untilConfig(now time.Time) time.Duration { return configWait - s.Age(now) }

// Waiting returns the number of waiting requests.
func (s *Startup) Waiting() int { return s.waiting }
