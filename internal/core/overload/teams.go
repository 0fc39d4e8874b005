package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the fairness between teams.
const (
	// minCountTime and maxCountTime bound the time constant of the counts. In between it is the time in which this host
	// expects countSample requests of the class: several of each of 16 teams.
	minCountTime = 1500 * time.Millisecond
	maxCountTime = 8 * time.Second
	countSample  = 64
	// confidence is the number of square roots of its count by which a team must exceed its share to be cut, and by
	// which the others must exceed the room to be cut as well. The standard deviation of a decaying count is 0.7 of
	// its square root. Without a margin a host with few requests cuts teams that are under their share. In the played
	// load with 300 hosts 0.7 breaks more than a tenth of the reservations, since more is admitted than fits.
	confidence = 0.5
	// cutDebt is the excess of admitted requests at which teams that are cut get none, and maxDebt the one at which the
	// other teams are cut as well, both in square roots of the number of recent requests. With 2 for maxDebt, chance
	// among the requests of a host has teams cut that are under their share.
	cutDebt = 1.0
	maxDebt = 4.0
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
	cut             bool      // the team's new requests are cut to its share
}

// teams is the recent requests of a class at this host. They are a random sample of those of the region's callers.
type teams struct {
	byName map[string]*team
	total  team // of all teams
	// level is the requests admitted per weight of a team that is cut, as a part of all requests.
	level    float64
	returns  team // fresh: unplaced retries; reserved: reserved retries
	sortable []*team
	// debt is the new requests admitted beyond the class's fraction. Without it the preference for teams that are not
	// clearly above their share admits more than there is room for.
	debt     float64
	constant time.Duration // time constant of the counts
}

func newTeams() teams {
	return teams{byName: map[string]*team{}, level: math.Inf(1), constant: maxCountTime}
}

// setConstant sets the time constant for the number of the class's requests that this host expects per second.
func (ts *teams) setConstant(perSecond float64) {
	seconds := countSample / math.Max(clean(perSecond), 1e-3)
	ts.constant = time.Duration(math.Max(minCountTime.Seconds(), math.Min(maxCountTime.Seconds(), seconds)) * float64(time.Second))
}

// decay brings the counts to a time.
func (t *team) decay(now time.Time, constant time.Duration) {
	if elapsed := now.Sub(t.at); elapsed > 0 && !t.at.IsZero() {
		factor := math.Exp(-elapsed.Seconds() / constant.Seconds())
		t.fresh, t.reserved = t.fresh*factor, t.reserved*factor
	}
	t.at = now
}

func (t *team) count(k kind, now time.Time, constant time.Duration) {
	t.decay(now, constant)
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
	t.count(k, now, ts.constant)
	ts.total.count(k, now, ts.constant)
	switch k {
	case reserved:
		ts.returns.count(reserved, now, ts.constant)
	case unplaced:
		ts.returns.count(fresh, now, ts.constant)
	}
	return t
}

// unplacedPart returns the part of this host's recent retries that had no reservation.
func (ts *teams) unplacedPart(now time.Time) float64 {
	ts.returns.decay(now, ts.constant)
	if ts.returns.all() < forgetCount {
		return 0
	}
	return ts.returns.fresh / ts.returns.all()
}

// setLevel computes the level at which the teams' requests are cut so that the class's part of them is admitted
// (max-min fairness by weight), and forgets teams without recent requests.
func (ts *teams) setLevel(s shares, now time.Time) {
	list := ts.current(now)
	ts.level = math.Inf(1)
	total, rate := ts.total.all(), s.freshRate+s.reservedRate
	if s.fresh >= 1 || total <= 0 || rate <= 0 {
		return
	}
	slices.SortFunc(list, func(a, b *team) int { return cmp.Compare(a.all()*b.weight, b.all()*a.weight) })
	left := (s.fresh*s.freshRate + s.reserved*s.reservedRate) / rate * total
	level := waterLevel(list, left)
	if above, others := clearlyAbove(list, level); len(above) > 0 && lowerBound(others) <= left {
		list, level = above, waterLevel(above, math.Max(0, left-others))
	}
	for _, t := range list {
		t.cut = true
	}
	ts.level = level / total
}

// current brings the counts to a time and returns the teams with recent requests, none of them cut.
func (ts *teams) current(now time.Time) []*team {
	ts.total.decay(now, ts.constant)
	list := ts.sortable[:0]
	for name, t := range ts.byName {
		if t.decay(now, ts.constant); t.all() < forgetCount {
			delete(ts.byName, name)
			continue
		}
		t.cut = false
		list = append(list, t)
	}
	ts.sortable = list
	return list
}

// lowerBound returns a count less what chance may have added to it.
func lowerBound(count float64) float64 { return count - confidence*math.Sqrt(count) }

// clearlyAbove moves the teams whose count exceeds the level by more than chance to the end of the list, still sorted.
// It returns them, and the count of the others.
func clearlyAbove(sorted []*team, level float64) (above []*team, others float64) {
	first := len(sorted)
	for i := len(sorted) - 1; i >= 0; i-- {
		t := sorted[i]
		if lowerBound(t.all()) > level*t.weight {
			first--
			sorted[i], sorted[first] = sorted[first], t
		} else {
			others += t.all()
		}
	}
	return sorted[first:], others
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

// chance returns the fraction of a team's new requests that is admitted. Without a level the class's fraction applies
// to all teams.
func (ts *teams) chance(t *team, fraction float64, now time.Time) float64 {
	ts.total.decay(now, ts.constant)
	unit := math.Sqrt(ts.total.all())
	switch {
	case fraction <= 0, fraction >= 1, math.IsInf(ts.level, 1):
		return fraction
	case !t.cut && ts.debt < maxDebt*unit:
		return 1
	case !t.cut:
		return fraction
	}
	return math.Min(1, ts.share(t)*(1-ts.debt/(cutDebt*unit)))
}

// share returns the fraction of a cut team's new requests that its share allows: what its reserved retries leave of
// it, so that a team gains nothing by retries.
func (ts *teams) share(t *team) float64 {
	share := ts.level * ts.total.all() * t.weight
	if share >= t.all() {
		return 1
	}
	return clean((share - t.reserved) / t.fresh)
}

// settle records the decision on a new request of a class with a fraction.
func (ts *teams) settle(fraction float64, admitted bool) {
	ts.debt -= fraction
	if admitted {
		ts.debt++
	}
	limit := maxDebt * math.Sqrt(ts.total.all())
	ts.debt = math.Max(-limit/4, math.Min(ts.debt, limit))
}
