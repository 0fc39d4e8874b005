package dispatch

import "time"

// Times of an entry host's start.
const (
	// startWait is how long after its start a host expects to know the configuration: when all
	// hosts start at once, the control hosts' own start and the election of their leader, a few
	// round trips between regions.
	startWait = 1600 * time.Millisecond
	// startShare is the part of a request's time that it may wait for the start: the rest
	// must do for a second try elsewhere.
	startShare = 0.25
	// startWaiting bounds the requests that wait at one host, each of which may hold a prompt
	// of some KB.
	startWaiting = 256
	// startRetry is when to come back if the start takes longer than expected: another
	// election.
	startRetry = time.Second
)

// Startup decides what becomes of requests that reach an entry host before it knows the
// configuration. Those for which it is expected in good time wait for it: when all hosts
// have stopped, the clients of all of them come at once, each with few tries, and one that
// is refused comes back later than it could have been served (TestStartupServesMore). The
// rest is refused at once. It is not safe for concurrent use.
type Startup struct {
	began         time.Time
	announceEvery time.Duration
	off           Mechanisms
	waiting       int
}

// NewStartup returns the decision for a host that starts now, where servers announce
// themselves in an interval.
func NewStartup(now time.Time, announceEvery time.Duration, off Mechanisms) *Startup {
	if announceEvery == 0 {
		announceEvery = defaultAnnounceEvery
	}
	return &Startup{began: now, announceEvery: announceEvery, off: off}
}

// Enter lets a request wait whose caller gives up after remaining (0 when it doesn't say),
// and returns for how long at most; 0 when it has to be refused. Each request that waits
// must Leave.
func (s *Startup) Enter(remaining time.Duration, now time.Time) time.Duration {
	return s.enter(s.left(now), remaining)
}

// EnterForServers is Enter for a request for which no backend server is in reach. Control
// hosts that started too hear of the servers within an interval of their announcements, and
// of other regions with the next view: till then a region whose own servers were evacuated
// has none in reach.
func (s *Startup) EnterForServers(remaining time.Duration, now time.Time) time.Duration {
	return s.enter(s.serversIn(now), remaining)
}

// AwaitsServers reports whether servers may just not be known yet.
func (s *Startup) AwaitsServers(now time.Time) bool { return s.serversIn(now) > 0 }

func (s *Startup) serversIn(now time.Time) time.Duration {
	return s.left(now) + s.announceEvery + viewDelay
}

func (s *Startup) enter(wait, remaining time.Duration) time.Duration {
	if remaining > 0 {
		wait = min(wait, time.Duration(startShare*float64(remaining)))
	}
	if wait <= 0 || s.waiting >= startWaiting || s.off.Has(StartWaiting) {
		return 0
	}
	s.waiting++
	return wait
}

// Leave ends a request's wait.
func (s *Startup) Leave() { s.waiting-- }

// RetryAfter returns when a request that is refused should come back.
func (s *Startup) RetryAfter(now time.Time) time.Duration {
	if left := s.left(now); left > 0 {
		return max(left, minRetry)
	}
	return startRetry
}

// Age returns for how long the host has run. It may be called at any time.
func (s *Startup) Age(now time.Time) time.Duration { return now.Sub(s.began) }

func (s *Startup) left(now time.Time) time.Duration { return startWait - s.Age(now) }

// Waiting returns the number of requests that wait.
func (s *Startup) Waiting() int { return s.waiting }
