// Package controlhosts decides by which control hosts an entry host goes. Each presents
// itself to the nearest ones and learns there who is there, what is evacuated, and of which
// configuration there is. It does no I/O and reads no clock.
//
// Invariant: an answer counts as a sign that a control host is there; only one from a host
// that is up to date with its group counts as the group's word. While none of the nearer
// control hosts gives that, farther ones are asked as well.
package controlhosts

import "time"

// Distance says how far away a control host is.
type Distance int

// Distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
	distances
)

// Times after which others are asked.
const (
	// MaxStaleness is how old a control host's configuration and evacuations may be before
	// others have to be heard as well. Less would make every election a reason to ask: a new
	// leader's first commit comes an election timeout and three round trips between regions
	// after the last word of one that was lost. More would leave too little of the time in
	// which an accepted change has to be in force for asking a farther control host.
	MaxStaleness = 2 * time.Second
	// Lost is how long control hosts may be silent before farther ones are asked: six
	// presentations, or a connection that is opened anew.
	Lost = 1500 * time.Millisecond
	// unsureAfter is how long a host that starts waits for a configuration from the nearest
	// control host before it asks others of its region too: when all hosts start at once,
	// each would send the same to twice as many.
	unsureAfter = 800 * time.Millisecond
	// startPatience is how long a host that starts passes over the configuration of a control
	// host that is out of date: two tries to reach one of another region.
	startPatience = 1500 * time.Millisecond
	// retryStale is the pause between presentations to a farther control host that is itself
	// out of date. While the group has no majority all are, and each would otherwise be asked
	// by every entry host four times a second. With the time that an answer takes it stays
	// below the lease of an entry host, 1.5 s.
	retryStale = 600 * time.Millisecond
)

// Heard is what an entry host heard of the control hosts at each distance. The zero value
// has heard none. It is not safe for concurrent use.
type Heard struct {
	at   [distances]time.Time // last answer
	asOf [distances]time.Time // newest moment as of which one of them was up to date
	// primary owns the host's figures.
	primary struct {
		address  string
		distance Distance
		at       time.Time // last answer
	}
}

// Note takes an answer from a control host whose state is so old.
func (h *Heard) Note(address string, d Distance, staleness time.Duration, now time.Time) {
	h.at[d] = now
	if address == h.primary.address {
		h.primary.at = now
	}
	if asOf := now.Add(-staleness); asOf.After(h.asOf[d]) {
		h.asOf[d] = asOf
	}
}

// Asks reports whether control hosts at a distance are to be asked now. Those of the own
// failure domain always are: only they hear its backend servers while it is cut off. configured
// says whether the entry host has a configuration, age for how long it has run: without one,
// control hosts of its region soon count as equally near, as the one of its failure
// domain may have lost its disk.
func (h *Heard) Asks(d Distance, configured bool, age time.Duration, now time.Time) bool {
	if d == SameRegion && !configured && age > unsureAfter {
		return true
	}
	for near := range d {
		if h.lately(near, now) && h.upToDate(near, now) {
			return false
		}
	}
	return true
}

// Calm reports whether a control host of the own failure domain has answered within half of
// the silence after which farther ones are asked, and is up to date.
func (h *Heard) Calm(now time.Time) bool {
	return now.Sub(h.at[SameDomain]) < Lost/2 && now.Sub(h.asOf[SameDomain]) <= MaxStaleness/2
}

// Primary reports whether a control host owns the entry host's figures: the one that is told
// of the work under way, and tells it to the others. It is one of the nearest that are heard,
// up to date or not, and stays it while it is heard: figures that are told to two control
// hosts would be counted twice by all others.
func (h *Heard) Primary(address string, d Distance, now time.Time) bool {
	for near := range d {
		if h.lately(near, now) {
			return false
		}
	}
	p := &h.primary
	if p.address != address && p.distance == d && now.Sub(p.at) < Lost {
		return false
	}
	if p.address != address {
		p.address, p.at = address, now
	}
	p.distance = d
	return true
}

// KnowsFleet reports whether what a control host whose state is so old tells of entry hosts
// and other regions counts: one that is out of date may be cut off from the others.
func (h *Heard) KnowsFleet(staleness time.Duration, now time.Time) bool {
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

func (h *Heard) lately(d Distance, now time.Time) bool { return now.Sub(h.at[d]) < Lost }

func (h *Heard) upToDate(d Distance, now time.Time) bool { return now.Sub(h.asOf[d]) <= MaxStaleness }

// Takes reports whether an entry host takes the configuration of a control host whose state
// is so old; what it has already it never gives up for an older one. A host that has just
// started waits for one that is up to date: before its start it may have served by a newer
// configuration. If none is in reach it goes by what there is.
func Takes(staleness time.Duration, configured bool, age time.Duration) bool {
	return configured || staleness <= MaxStaleness || age > startPatience
}

// Pause returns how long to wait before a control host that has just answered is asked
// again. Answers are held until something changes or a wait is over, so that mostly no
// pause is needed.
func Pause(primary bool, staleness time.Duration) time.Duration {
	if !primary && staleness > MaxStaleness {
		return retryStale
	}
	return 0
}
