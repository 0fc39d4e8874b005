package controlhosts

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/rendezvous"
)

// Candidate is a control host with which an entry host may synchronize.
type Candidate struct {
	Address string
	Domain  string // failure domain; "" if unknown
	// ReportedLive reports whether the control hosts list it as live: they receive messages from
	// it.
	ReportedLive bool
	// AvoidUntil is the time until which other candidates of its failure domain are preferred;
	// see AvoidDuration.
	AvoidUntil time.Time
}

// AvoidDuration is how long the other control hosts of a failure domain are preferred to one that
// did not answer or is out of date. It is long enough for them to stop listing that one as
// live if it is lost.
const AvoidDuration = 2 * time.Second

// Choose returns the candidates with which an entry host synchronizes, sorted by address: one of
// each failure domain, and all whose failure domain is unknown. The choice within a failure
// domain is by rendezvous hashing of the entry host's ID, so its control hosts share the entry
// hosts evenly: the load of a control host and the messages of an entry host do not grow with
// the number of control hosts. The choice changes only when the chosen control host is avoided,
// is no longer reported live, or becomes available again.
func Choose(host string, list []Candidate, now time.Time) []Candidate {
	var out []Candidate
	byDomain := map[string]int{} // index in out
	for _, c := range list {
		i, ok := byDomain[c.Domain]
		switch {
		case c.Domain == "":
			out = append(out, c)
		case !ok:
			byDomain[c.Domain] = len(out)
			out = append(out, c)
		case preferred(host, c, out[i], now):
			out[i] = c
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// preferred reports whether the entry host chooses a over b, of the same failure domain.
func preferred(host string, a, b Candidate, now time.Time) bool {
	if x, y := now.Before(a.AvoidUntil), now.Before(b.AvoidUntil); x != y {
		return y
	}
	if a.ReportedLive != b.ReportedLive {
		return a.ReportedLive
	}
	x, y := rendezvous.Weight(host, a.Address), rendezvous.Weight(host, b.Address)
	return x > y || (x == y && a.Address < b.Address)
}
