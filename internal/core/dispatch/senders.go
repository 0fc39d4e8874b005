package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A few entry hosts of the region, its senders, send to a server whose request rate is bounded: one,
// its owner, to a cold server, and some to a server that advertises a limit. All hosts determine them
// from their list of ready hosts, and hold a lease on being in that list.
const (
	// senderSettleTime is the time for which the list of ready entry hosts of the region must not
	// have changed before this host sends as a sender by that list. Within maxViewDelay all hosts
	// connected to the same control host have received the list, and one second later the requests
	// of an earlier sender are outside the window in which the rate is counted. Without the delay,
	// hosts that all start at the same time would each list only themselves at first, and each
	// would send.
	senderSettleTime = maxViewDelay + time.Second
	// senderLease is the time since the request for the last list of ready entry hosts for which
	// this host is a sender. Control hosts list a host for longer after its last request, so that
	// another one takes its place only after the lease has ended.
	senderLease = 1200 * time.Millisecond
	// coldRateWindow is the time in which a cold server is sent the requests of one second. The
	// excess over a second allows for requests that reach the server later than those after them,
	// because their connection had to be opened.
	coldRateWindow = 1100 * time.Millisecond
)

// hostList is a list of the ready entry hosts of the own region, this one included.
type hostList struct {
	ids     []string // sorted
	domains map[string]bool
}

// maxUnsettledLists bounds the lists that are kept while they change.
const maxUnsettledLists = 16

// replaceNeighbors makes a list the current one. Until it has settled, hosts may still use those before.
func (f *Fleet) replaceNeighbors(next hostList, now time.Time) {
	if slices.Equal(next.ids, f.neighbors.ids) {
		return
	}
	if f.settled(now) {
		f.unsettled = nil
	}
	if f.unsettled = append(f.unsettled, f.neighbors); len(f.unsettled) > maxUnsettledLists {
		f.unsettled = []hostList{{}}
	}
	f.neighbors, f.neighborsSince = next, now
	f.listsGeneration++
}

// renewSenderLease renews this host's lease on the list of entry hosts, which was requested at a time;
// zero for now. After a lapse, other hosts may have used any other list, and the list settles again.
func (f *Fleet) renewSenderLease(requestedAt, now time.Time) {
	if requestedAt.IsZero() {
		requestedAt = now
	}
	if !f.leased(now) {
		f.neighborsSince, f.unsettled = now, []hostList{{}}
		f.listsGeneration++
	}
	if requestedAt.After(f.hostsRequestedAt) {
		f.hostsRequestedAt = requestedAt
	}
}

// settled reports whether all hosts use the current list.
func (f *Fleet) settled(now time.Time) bool { return now.Sub(f.neighborsSince) >= senderSettleTime }

// leased reports whether this host holds a lease on being in the lists of others.
func (f *Fleet) leased(now time.Time) bool { return now.Sub(f.hostsRequestedAt) <= senderLease }

// coldAllowed reports whether this host may send a request to a cold server.
func (f *Fleet) coldAllowed(s *Server, j *Job, now time.Time) bool {
	if j.ColdPerSecond <= 0 {
		return true
	}
	if !f.settled(now) || !f.leased(now) || f.positionsOf(s).current != 0 {
		return false
	}
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) >= coldRateWindow })
	return float64(len(s.coldSends)+1) <= math.Max(1, j.ColdPerSecond/float64(1+f.unlistedDomains(f.neighbors)))
}

// unlistedDomains returns the number of failure domains of the region without a ready entry host in
// a list. Their control hosts may be cut off from the one that sent the list, and their hosts may
// have senders of their own, with which the rate is shared.
func (f *Fleet) unlistedDomains(list hostList) (n int) {
	for domain, region := range f.o.Regions {
		if region == f.o.Region && !list.domains[domain] {
			n++
		}
	}
	return n
}

// senderPositions are this host's positions among the senders of a server.
type senderPositions struct {
	generation int
	current    int   // in the current list
	unsettled  []int // in each of the lists before
}

// positionsOf returns this host's positions among the senders of a server. The host at position 0 of the
// current list is the owner of a cold server.
func (f *Fleet) positionsOf(s *Server) *senderPositions {
	p := &s.senders
	if p.generation == f.listsGeneration {
		return p
	}
	*p = senderPositions{generation: f.listsGeneration, current: f.neighbors.position(f.o.Host, s.ID)}
	for _, list := range f.unsettled {
		p.unsettled = append(p.unsettled, list.position(f.o.Host, s.ID))
	}
	return p
}

// position returns the position of a host in the order in which the listed hosts become senders of a
// server; -1 if the host is not listed.
func (l hostList) position(host, server string) int {
	own, before, listed := senderRank(host, server), 0, false
	for _, id := range l.ids {
		if id == host {
			listed = true
		} else if rank := senderRank(id, server); rank > own || (rank == own && id > host) {
			before++
		}
	}
	if !listed {
		return -1
	}
	return before
}

func senderRank(host, server string) uint64 { return xxhash.Sum64String(host + "\x00" + server) }
