package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the fairness between teams.
const (
	// countTime is the time constant of the counts. A host of 80 sees several requests of each team in it.
	countTime = 8 * time.Second
	// maxTeams bounds the memory of a class. Further teams are counted as one.
	maxTeams = 256
	// forgetCount is the count below which a team is forgotten.
	forgetCount = 0.01
)

// team is the recent requests of a team at this host, as counts that decay.
type team struct {
	weight          float64
	fresh, reserved float64
	at              time.Time // time of the counts
}

// teams is the recent requests of a class at this host. They are a random sample of those of the region's callers.
type teams struct {
	byName map[string]*team
	total  team // of all teams
	// level is the requests admitted per weight of a team that is cut, as a part of all requests.
	level    float64
	returns  team // fresh: unplaced retries; reserved: reserved retries
	sortable []*team
}

func newTeams() teams { return teams{byName: map[string]*team{}, level: math.Inf(1)} }

// decay brings the counts to a time.
func (t *team) decay(now time.Time) {
	if elapsed := now.Sub(t.at); elapsed > 0 && !t.at.IsZero() {
		factor := math.Exp(-elapsed.Seconds() / countTime.Seconds())
		t.fresh, t.reserved = t.fresh*factor, t.reserved*factor
	}
	t.at = now
}

func (t *team) count(k kind, now time.Time) {
	t.decay(now)
	switch k {
	case fresh:
		t.fresh++
	case reserved:
		t.reserved++
	}
}

func (t *team) all() float64 { return t.fresh + t.reserved }

// record counts a request and returns its team. Retries without a place are not counted: they are admitted only
// where room is left after all others.
func (ts *teams) record(name string, weight float64, k kind, now time.Time) *team {
	t := ts.byName[name]
	if t == nil && len(ts.byName) >= maxTeams {
		name = ""
		t = ts.byName[name]
	}
	if t == nil {
		t = &team{}
		ts.byName[name] = t
	}
	if t.weight = clean(weight); t.weight == 0 {
		t.weight = 1
	}
	t.count(k, now)
	ts.total.count(k, now)
	switch k {
	case reserved:
		ts.returns.count(reserved, now)
	case unplaced:
		ts.returns.count(fresh, now)
	}
	return t
}

// unplacedPart returns the part of this host's recent retries that had no reservation.
func (ts *teams) unplacedPart(now time.Time) float64 {
	ts.returns.decay(now)
	if ts.returns.all() < forgetCount {
		return 0
	}
	return ts.returns.fresh / ts.returns.all()
}

// setLevel computes the level at which the teams' requests are cut so that the class's part of them is admitted
// (max-min fairness by weight), and forgets teams without recent requests.
func (ts *teams) setLevel(s shares, now time.Time) {
	ts.total.decay(now)
	ts.level = math.Inf(1)
	list := ts.sortable[:0]
	for name, t := range ts.byName {
		if t.decay(now); t.all() < forgetCount {
			delete(ts.byName, name)
			continue
		}
		list = append(list, t)
	}
	ts.sortable = list
	total := ts.total.all()
	rate := s.freshRate + s.reservedRate
	if s.fresh >= 1 || total <= 0 || rate <= 0 {
		return
	}
	slices.SortFunc(list, func(a, b *team) int { return cmp.Compare(a.all()*b.weight, b.all()*a.weight) })
	left := (s.fresh*s.freshRate + s.reserved*s.reservedRate) / rate * total
	ts.level = waterLevel(list, left) / total
}

// waterLevel returns the level at which teams, sorted by requests per weight, together have left admitted.
func waterLevel(sorted []*team, left float64) float64 {
	weights := 0.0
	for _, t := range sorted {
		weights += t.weight
	}
	for _, t := range sorted {
		if t.all()*weights > left*t.weight {
			return math.Max(0, left/weights)
		}
		left -= t.all()
		weights -= t.weight
	}
	return math.Inf(1)
}

// chance returns the fraction of a team's new requests that is admitted: what its reserved retries leave of its
// share, so that a team gains nothing by retries. Without a level the class's fraction applies to all teams.
func (ts *teams) chance(t *team, fraction float64, now time.Time) float64 {
	if fraction <= 0 || fraction >= 1 || math.IsInf(ts.level, 1) {
		return fraction
	}
	ts.total.decay(now)
	share := ts.level * ts.total.all() * t.weight
	if share >= t.all() {
		return 1
	}
	return clean((share - t.reserved) / t.fresh)
}
