package controlhosts

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/rendezvous"
)

// Candidate is a control host that an entry host may present itself to.
type Candidate struct {
	Address string
	Domain  string // its failure domain; "" while it is not known
	// Named is set when the control hosts name it as one that they hear.
	Named bool
	// AvoidUntil is until when others of its failure domain go first; see Avoid.
	AvoidUntil time.Time
}

// Avoid is for how long a control host that did not answer, or is out of date, stands behind
// the others of its failure domain: long enough for these to stop naming it if it is lost.
const Avoid = 2 * time.Second

// Choose returns the control hosts by which an entry host goes, one in each failure domain,
// and all whose failure domain is not known yet. Which one it is differs from host to host,
// so that those of a failure domain share its entry hosts: the cost of a control host and the
// messages of an entry host do not grow with the number of control hosts. The choice moves
// only when the chosen one is avoided, is not named any more, or comes back.
func Choose(host string, list []Candidate, now time.Time) []Candidate {
	var out []Candidate
	byDomain := map[string]int{} // to the place in out
	for _, c := range list {
		i, ok := byDomain[c.Domain]
		switch {
		case c.Domain == "":
			out = append(out, c)
		case !ok:
			byDomain[c.Domain] = len(out)
			out = append(out, c)
		case goesBefore(host, c, out[i], now):
			out[i] = c
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int { return strings.Compare(a.Address, b.Address) })
	return out
}

func goesBefore(host string, a, b Candidate, now time.Time) bool {
	if x, y := now.Before(a.AvoidUntil), now.Before(b.AvoidUntil); x != y {
		return y
	}
	if a.Named != b.Named {
		return a.Named
	}
	x, y := rendezvous.Weight(host, a.Address), rendezvous.Weight(host, b.Address)
	return x > y || (x == y && a.Address < b.Address)
}
