// Package serverlimit represents the limits on request rates that backend servers advertise in their
// answers. It does no I/O and reads no clock.
//
// A limit binds all entry hosts of a region together, whichever of them received the answer. So they
// exchange the last limit of each server process through the control hosts. Limits are ordered by
// revisions that hosts derive from what they know, not by times, because messages are delayed and
// answers overtake one another. Merging is commutative, associative and idempotent.
//
// Invariants:
//   - The revision of a process's limit never falls.
//   - A limit is raised or withdrawn only by an answer to a request that was sent by a host that knew
//     the limit's revision, so that the server sent the answer after it had advertised the limit.
package serverlimit

// MinPerSecond is the lowest rate that is applied, in requests per second. Servers withdraw their
// limits only in answers, so that one without requests could never withdraw its limit.
const MinPerSecond = 0.1

// Advertisement is what one answer of a server says about its limit. The zero value is that of an
// answer that names none.
type Advertisement struct {
	// PerSecond is the advertised limit in requests per second; meaningful if Named is set.
	PerSecond float64
	Named     bool
	// Invalid is the text of a limit that cannot be decoded, cut short; "" otherwise. Such an answer
	// neither changes nor withdraws a limit.
	Invalid string
}

// Limit is the state of one server process's limit.
type Limit struct {
	// Revision rises with each change, and while the server goes on advertising the limit.
	Revision  uint64
	PerSecond float64 // in requests per second; 0 for no limit
}

// InForce reports whether the server's requests are limited.
func (l Limit) InForce() bool { return l.PerSecond > 0 }

// Merge returns the later of two states of one limit. Of two states with the same revision, a
// withdrawal is the later one, as it follows an answer that was sent after that revision, and of two
// limits the lower one applies.
func Merge(a, b Limit) Limit {
	switch {
	case a.Revision > b.Revision:
		return a
	case b.Revision > a.Revision:
		return b
	}
	return Limit{a.Revision, min(a.PerSecond, b.PerSecond)}
}

// after returns the state after an answer to a request whose sender knew the revision known. withdraws
// is set if an answer like this one names the limit of a server that has one.
func (l Limit) after(a Advertisement, known uint64, withdraws bool) Limit {
	current := known >= l.Revision
	switch {
	case a.Invalid != "":
		return l
	case !a.Named && l.InForce() && current && withdraws:
		return Limit{l.Revision, 0}
	case !a.Named:
		return l
	}
	perSecond := max(a.PerSecond, MinPerSecond)
	if l.InForce() && perSecond > l.PerSecond && !current {
		return l // the answer may be older than the limit in force
	}
	return Limit{l.Revision + 1, perSecond}
}
