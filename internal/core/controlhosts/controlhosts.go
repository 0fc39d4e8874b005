// Package controlhosts decides with which control hosts an entry host synchronizes. An entry
// host sends sync requests to the nearest control hosts; the answers list the live hosts, the
// evacuations and the configuration version. The package does no I/O and reads no clock.
//
// Invariant: any answer shows that a control host is reachable, but only an answer from a
// control host that is up to date with its consensus group is authoritative. While no nearer
// control host gives an authoritative answer, farther ones are queried as well.
package controlhosts

import "time"

// Distance is how far a control host is from the entry host.
type Distance int

// Distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
	distances
)

// Durations that decide when other control hosts are queried.
const (
	// MaxStaleness is how old a control host's configuration and evacuations may be before
	// other control hosts are queried as well. A lower limit would cause extra queries after
	// every election: the first commit of a new leader comes an election timeout and three
	// inter-region round trips after the last message of the lost leader. A higher limit would
	// leave too little time to query a farther control host before the deadline by which an
	// accepted change must be in force.
	MaxStaleness = 2 * time.Second
	// ContactTimeout is how long control hosts may leave sync requests unanswered before farther
	// ones are queried. It allows for six sync requests, or for reopening a connection.
	ContactTimeout = 1500 * time.Millisecond
	// regionQueryDelay is how long a starting entry host waits for a configuration from its own
	// failure domain before it also queries other control hosts of its region. Without the
	// delay, a simultaneous start of all hosts would double the number of control hosts that
	// receive each sync request.
	regionQueryDelay = 800 * time.Millisecond
	// staleConfigWait is how long a starting entry host rejects the configuration of a control
	// host that is out of date. It allows for two attempts to reach one in another region.
	staleConfigWait = 1500 * time.Millisecond
	// staleRetryInterval is the pause between sync requests to a control host other than the
	// primary that is itself out of date. While the consensus group has no majority, all control
	// hosts are out of date, and each would otherwise receive four sync requests per second from
	// every entry host. The pause plus the time for an answer stays below the lease of an entry
	// host, 1.5 s.
	staleRetryInterval = 600 * time.Millisecond
)

// Contacts records the answers that an entry host has received from the control hosts at each
// distance. The zero value holds no answers. It is not safe for concurrent use.
type Contacts struct {
	lastAnswer  [distances]time.Time // last answer
	currentAsOf [distances]time.Time // latest time as of which one of them was up to date
	// primary receives the entry host's load report; see ClaimPrimary.
	primary struct {
		address  string
		distance Distance
		at       time.Time // last answer
	}
}

// RecordAnswer records an answer from the control host at an address, whose state is out of date by
// the given staleness at most.
func (h *Contacts) RecordAnswer(address string, d Distance, staleness time.Duration, now time.Time) {
	h.lastAnswer[d] = now
	if address == h.primary.address {
		h.primary.at = now
	}
	if asOf := now.Add(-staleness); asOf.After(h.currentAsOf[d]) {
		h.currentAsOf[d] = asOf
	}
}

// ShouldQuery reports whether control hosts at a distance are to be queried now. Those of the same
// failure domain always are: during a network partition of the failure domain, only they
// receive its backend servers' announcements. configured reports whether the entry host has
// a configuration, and age is the time since it started. Without a configuration, the control
// hosts of its region are queried too after regionQueryDelay, because the one of its failure
// domain may have lost its disk.
func (h *Contacts) ShouldQuery(d Distance, configured bool, age time.Duration, now time.Time) bool {
	if d == SameRegion && !configured && age > regionQueryDelay {
		return true
	}
	for near := range d {
		if h.inContact(near, now) && h.upToDate(near, now) {
			return false
		}
	}
	return true
}

// Stable reports whether control hosts of the same failure domain have answered within
// ContactTimeout/2 and been up to date within MaxStaleness/2, so that farther ones need not be
// queried soon.
func (h *Contacts) Stable(now time.Time) bool {
	return now.Sub(h.lastAnswer[SameDomain]) < ContactTimeout/2 && now.Sub(h.currentAsOf[SameDomain]) <= MaxStaleness/2
}

// ClaimPrimary reports whether a control host is the entry host's primary. It makes it the
// primary if no nearer control host answers and the current primary is at another distance or
// has not answered within ContactTimeout. The primary alone receives the entry host's report of
// requests in flight and forwards it to the other control hosts, which would count a report sent
// to two control hosts twice. It is one of the nearest control hosts that answer, up to date or
// not, and stays primary while it answers and no nearer one does.
func (h *Contacts) ClaimPrimary(address string, d Distance, now time.Time) bool {
	for near := range d {
		if h.inContact(near, now) {
			return false
		}
	}
	p := &h.primary
	if p.address != address && p.distance == d && now.Sub(p.at) < ContactTimeout {
		return false
	}
	if p.address != address {
		p.address, p.at = address, now
	}
	p.distance = d
	return true
}

// UsesFleetView reports whether the entry host uses a control host's view of entry hosts and other
// regions, given the staleness of its state. A control host that is out of date may be
// partitioned from the others, so its view is used only while none is up to date.
func (h *Contacts) UsesFleetView(staleness time.Duration, now time.Time) bool {
	if staleness <= MaxStaleness {
		return true
	}
	for d := range distances {
		if h.upToDate(d, now) {
			return false
		}
	}
	return true
}

// inContact reports whether a control host at a distance answered within ContactTimeout.
func (h *Contacts) inContact(d Distance, now time.Time) bool {
	return now.Sub(h.lastAnswer[d]) < ContactTimeout
}

// upToDate reports whether a control host at a distance was up to date within MaxStaleness.
func (h *Contacts) upToDate(d Distance, now time.Time) bool {
	return now.Sub(h.currentAsOf[d]) <= MaxStaleness
}

// AcceptsConfig reports whether an entry host accepts the configuration of a control host, given
// the staleness of the control host's state. An entry host that has a configuration accepts any,
// because it never replaces its configuration by an older one. An entry host without one first
// waits for a control host that is up to date, because it may have served with a newer
// configuration before its restart. After staleConfigWait it accepts any configuration.
func AcceptsConfig(staleness time.Duration, configured bool, age time.Duration) bool {
	return configured || staleness <= MaxStaleness || age > staleConfigWait
}

// QueryPause returns how long to wait before the next sync request to a control host that has just
// answered. It is mostly 0, because a control host holds its answer until something changes or
// its maximum hold time is over (long polling).
func QueryPause(primary bool, staleness time.Duration) time.Duration {
	if !primary && staleness > MaxStaleness {
		return staleRetryInterval
	}
	return 0
}
