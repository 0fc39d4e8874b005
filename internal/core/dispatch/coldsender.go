package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// One entry host of the region, its owner, sends to a cold server. All hosts determine it from their
// list of ready hosts, and hold a lease on being in that list.
const (
	// coldSettleTime is the time for which the list of ready entry hosts of the region must not
	// have changed before this host sends to cold servers. Within maxViewDelay all hosts connected
	// to the same control host have received the list, and one second later the requests of an
	// earlier sender are outside the window in which the rate is counted. Without the delay, hosts
	// that all start at the same time would each list only themselves at first, and each would
	// send.
	coldSettleTime = maxViewDelay + time.Second
	// coldSendLease is the time since the request for the last list of ready entry hosts for which
	// this host sends to cold servers. Control hosts list a host for longer after its last request,
	// so that another one becomes the owner only after the lease has ended.
	coldSendLease = 1200 * time.Millisecond
	// coldRateWindow is the time in which a cold server is sent the requests of one second. The
	// excess over a second allows for requests that reach the server later than those after them,
	// because their connection had to be opened.
	coldRateWindow = 1100 * time.Millisecond
)

// renewColdSendLease renews this host's lease on the list of entry hosts, which was requested at a time;
// zero for now. After a lapse, other hosts may have used another list, and the list settles again.
func (f *Fleet) renewColdSendLease(requestedAt, now time.Time) {
	if requestedAt.IsZero() {
		requestedAt = now
	}
	if now.Sub(f.hostsRequestedAt) > coldSendLease {
		f.neighborsSince = now
	}
	if requestedAt.After(f.hostsRequestedAt) {
		f.hostsRequestedAt = requestedAt
	}
}

// coldAllowed reports whether this host may send a request to a cold server.
func (f *Fleet) coldAllowed(s *Server, j *Job, now time.Time) bool {
	if j.ColdPerSecond <= 0 {
		return true
	}
	settled, leased := now.Sub(f.neighborsSince) >= coldSettleTime, now.Sub(f.hostsRequestedAt) <= coldSendLease
	if !settled || !leased || f.coldServerOwner(s.ID) != f.o.Host {
		return false
	}
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) >= coldRateWindow })
	return float64(len(s.coldSends)+1) <= math.Max(1, j.ColdPerSecond/float64(1+f.unlistedDomains()))
}

// unlistedDomains returns the number of failure domains of the region without a ready entry host in
// the list. Their control hosts may be cut off from the one that sent the list, and their hosts may
// have an owner of their own, with which the rate is shared.
func (f *Fleet) unlistedDomains() (n int) {
	for domain, region := range f.o.Regions {
		if region == f.o.Region && !f.neighborDomains[domain] {
			n++
		}
	}
	return n
}

// coldServerOwner returns the ID of the one entry host of the region that sends to a server
// while the server is cold.
func (f *Fleet) coldServerOwner(server string) string {
	best, bestRank := "", uint64(0)
	for _, h := range f.neighbors {
		if rank := xxhash.Sum64String(h + "\x00" + server); rank >= bestRank {
			best, bestRank = h, rank
		}
	}
	return best
}
