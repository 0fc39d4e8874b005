package dispatch

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/incarnation"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
)

// A server that answers a host 503 with Retry-After gets no requests from that host until the pause is
// over, whatever else the host hears of it. In the slow start after it the server's share of the host's
// requests rises from 0: it has no load then, and all hosts would send to it at once.

// Pause returns the state of the pauses that a server asked of this host.
func (f *Fleet) Pause(s *Server) serverpause.State { return f.pauses.Get(s.key) }

func (f *Fleet) paused(s *Server, now time.Time) bool { return f.Pause(s).Left(now) > 0 }

// RecordPause records that an answer to the attempt asks for a pause. It returns the state of the server's
// pauses, and whether the answer began one. If another process runs under the server's ID by now, that one
// may have sent the answer, and pauses too.
func (f *Fleet) RecordPause(c *Choice, d serverpause.Demand, now time.Time) (p serverpause.State, began bool) {
	s := c.Server
	if s == nil {
		return p, false
	}
	p, began = f.pauses.Record(s.key, d, f.o.Random(), now)
	if next := f.servers[s.ID]; next != nil && next != s {
		f.pauses.Succeed(s.key, next.key, s.AnnouncedAt.Add(-maxViewDelay), now)
	}
	return p, began
}

// RecordLeaving records that an answer to the attempt says that the server's process leaves. It reports
// whether that is new to this host. Another process that runs under the server's ID by now is not concerned.
func (f *Fleet) RecordLeaving(c *Choice, now time.Time) bool {
	if c.Server == nil {
		return false
	}
	known := c.Server.Leaving
	c.Server.Leaving = true
	return f.pauses.RecordLeaving(c.Server.key, now) && !known
}

// MaySend reports whether the request of an attempt may be written to its server, which may leave, ask for a pause or be
// evacuated while the request waits for a connection. All requests to servers pass this check last.
func (f *Fleet) MaySend(c *Choice, now time.Time) bool {
	return c.Server == nil || (!c.Server.Leaving && !f.paused(c.Server, now) && !f.Evacuated(c.Server.FailureDomain))
}

// succeedPause passes the pause of a process on to the one that replaces it under its ID, unless an
// announcement proves that the old one ran after the answer that asked for it. The age of an announcement
// omits delays of at most maxViewDelay.
func (f *Fleet) succeedPause(id string, old incarnation.History, announcedAt time.Time, next *Server, now time.Time) {
	f.pauses.Succeed(incarnation.Key(id, old.Current), next.key, announcedAt.Add(-maxViewDelay), now)
}

// slowStartAllows reports whether a server that was paused may get another request of this host: as many at
// a time as its share of what the service's other servers have each.
func (f *Fleet) slowStartAllows(s *Server, now time.Time) bool {
	share := f.Pause(s).Share(now)
	return share >= 1 || float64(s.inFlight()) < math.Max(1, share*f.meanInFlight(s, now))
}

// meanInFlight returns the mean number of this host's requests at the service's other servers that can be used
// and are past their slow start; this host's part of the server's slots if there are none.
func (f *Fleet) meanInFlight(s *Server, now time.Time) float64 {
	sum, n := 0, 0
	for _, o := range f.servers {
		if o != s && o.Service == s.Service && f.Pause(o).Share(now) >= 1 && f.usable(o, now) == "" {
			sum, n = sum+o.inFlight(), n+1
		}
	}
	if n == 0 {
		return s.slots() / float64(f.Neighbors())
	}
	return float64(sum) / float64(n)
}

// slowStartSlots returns how many of a server's slots its slow start leaves to requests.
func (f *Fleet) slowStartSlots(s *Server, slots float64, now time.Time) float64 {
	return slots * math.Max(minSlowStartShare, f.Pause(s).Share(now))
}

// minSlowStartShare keeps the capacity of a server in its slow start above 0.
const minSlowStartShare = 0.05

// runsAt reports whether a server's release may run the job.
func (j *Job) runsAt(s *Server) bool { return j.Release == nil || s.Release == *j.Release }

// UntilUsable returns the time after which a server that is not usable now may run the job: the end of the
// first pause, cold phase or back-off, but at least minRetryAfter.
func (f *Fleet) UntilUsable(j *Job, now time.Time) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for _, s := range f.serversOf(j.Service) {
		if !j.Permits(f.o.Region) || s.Leaving || f.missing(s) || f.Evacuated(s.FailureDomain) || !j.runsAt(s) {
			continue
		}
		back := min(defaultRetryAfter, max(s.ColdUntil.Sub(now), s.health.blockedUntil.Sub(now)))
		earliest = min(earliest, max(back, f.Pause(s).Left(now)))
	}
	f.eachPausedHost(j, now, func(left time.Duration) { earliest = min(earliest, left) })
	if earliest == math.MaxInt64 {
		return defaultRetryAfter
	}
	return max(earliest, minRetryAfter)
}

// retryAfterPauses returns the time after which a request should be repeated if servers that it could use
// have asked for pauses: a random time in the slow start of the first of them, as all requests that are
// refused meanwhile return then. It is not bounded by the caller's deadline, as no place is there before.
func (f *Fleet) retryAfterPauses(j *Job, now time.Time) time.Duration {
	return f.UntilUsable(j, now) + time.Duration(f.o.Random()*float64(serverpause.SlowStart))
}

// hostsPaused reports whether an entry host of another region has refused requests for the job's service
// because its servers have asked it for pauses.
func (f *Fleet) hostsPaused(j *Job, now time.Time) bool {
	paused := false
	f.eachPausedHost(j, now, func(time.Duration) { paused = true })
	return paused
}

// eachPausedHost calls a function for each of these hosts, with the rest of the time for which it is left out.
func (f *Fleet) eachPausedHost(j *Job, now time.Time, call func(left time.Duration)) {
	if j.Forwarded || f.disabled(OtherRegions) {
		return
	}
	for name, list := range f.hosts {
		if !j.Permits(name) {
			continue
		}
		for _, h := range list {
			if left := h.pausedUntil[j.Service].Sub(now); left > 0 {
				call(left)
			}
		}
	}
}

// RecordHostRefusal records that an entry host of another region refused the attempt because the servers that
// it can use have asked it for pauses, and the time after which it expects to use one.
func (f *Fleet) RecordHostRefusal(c *Choice, after time.Duration, now time.Time) {
	if c.Host == nil || after <= 0 {
		return
	}
	for _, h := range f.hosts[c.Host.Region] { // a view may have made the host's state anew
		if h.ID != c.Host.ID {
			continue
		}
		if h.pausedUntil == nil {
			h.pausedUntil = map[string]time.Time{}
		}
		h.pausedUntil[c.job.Service] = now.Add(min(after, maxHostPause))
	}
}

// maxHostPause bounds the time for which an entry host of another region is left out after it refused a
// request: servers that it has not heard of may start there.
const maxHostPause = 5 * time.Second
