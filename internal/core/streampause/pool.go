package streampause

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the pool.
const (
	// maxUse is the share of the pool's time that prefill may take. At half of its time a prompt waits on the
	// mean for about one other prompt.
	maxUse = 0.5
	// shrinkUse is the share of the smaller pool's time below which the pool shrinks. The distance to maxUse
	// keeps the size from changing with the noise of the demand.
	shrinkUse = 0.35
	// shrinkInterval is the shortest time between two decreases of the size. Each moves the chains of one
	// engine, which need another prefill.
	shrinkInterval = 10 * time.Second
	// riseTimeConstant and fallTimeConstant are the time constants with which the average of the demand rises
	// and falls. With caches empty the demand is two to three times the usual one, and a pool that grows later
	// than within a few seconds makes long prompts late.
	riseTimeConstant = 2 * time.Second
	fallTimeConstant = 8 * time.Second
	// initialUse is the demand that is assumed before it has been measured, as a share of what all engines may
	// take. A region that starts with empty caches and a small pool makes long prompts late.
	initialUse = 0.5
	// minSize is the least number of engines in a pool: one may be lost without the pool being empty.
	minSize = 2
	// classWidth is the largest ratio of the factors within a speed class. Classes begin at the fastest engine
	// that is left: with fixed bounds, hosts whose estimates differ by 5% placed an engine in different classes.
	classWidth = 1.35
)

// Member is an engine that can be in a pool.
type Member struct {
	ID     string
	Factor float64 // ratio of the time that work usually takes there to the usual time
}

// capacity returns the prefill that the engine may take, in ms at factor 1 per second.
func (m Member) capacity(use float64) float64 { return 1000 / m.Factor * use }

// capacityOf returns the prefill that the engines may take, in ms at factor 1 per second.
func capacityOf(members []Member, use float64) float64 {
	sum := 0.0
	for _, m := range members {
		sum += m.capacity(use)
	}
	return sum
}

// Pool selects the engines that are homes of long prompts.
type Pool struct {
	demand   float64 // in ms at factor 1 per second
	at       time.Time
	size     int
	shrunkAt time.Time
	spare    float64
}

// Update returns the pool's engines, fastest first, with the mean factors of their speed classes. demandMS is
// the region's prefill in ms at factor 1 per second. It returns nil if all engines are of the same speed class:
// no engine is then preferred.
func (p *Pool) Update(members []Member, demandMS float64, now time.Time) []Member {
	order := ordered(members)
	p.average(demandMS, initialUse*capacityOf(order, maxUse), now)
	if len(order) == 0 || order[0].Factor == order[len(order)-1].Factor {
		p.size = 0
		return nil
	}
	p.resize(order, now)
	p.updateSpare(order, demandMS)
	return order[:p.size]
}

// Spare returns the part of the time not meant for prefill that is free: 1 while prefill takes no more of the
// pool's time than it may, and 0 while it takes all of it, so that other engines are to take the rest.
func (p *Pool) Spare() float64 { return p.spare }

func (p *Pool) updateSpare(order []Member, demandMS float64) {
	p.spare = min(1, max(0, (1-demandMS/capacityOf(order[:p.size], 1))/(1-maxUse)))
}

func (p *Pool) average(demandMS, initial float64, now time.Time) {
	if p.at.IsZero() {
		p.demand, p.at = max(demandMS, initial), now
		return
	}
	constant := fallTimeConstant
	if demandMS > p.demand {
		constant = riseTimeConstant
	}
	keep := math.Exp(-max(0, now.Sub(p.at).Seconds()) / constant.Seconds())
	p.demand, p.at = p.demand*keep+demandMS*(1-keep), now
}

func (p *Pool) resize(order []Member, now time.Time) {
	needed, smaller := sizeFor(order, p.demand, maxUse), sizeFor(order, p.demand, shrinkUse)
	switch {
	case p.size == 0 || needed > p.size:
		p.size, p.shrunkAt = needed, now
	case smaller < p.size && now.Sub(p.shrunkAt) >= shrinkInterval:
		p.size, p.shrunkAt = p.size-1, now
	}
	p.size = min(p.size, len(order))
}

// sizeFor returns the number of engines that take the demand with a share of their time.
func sizeFor(order []Member, demand, use float64) int {
	n := 0
	for ; n < len(order) && (n < minSize || demand > 0); n++ {
		demand -= order[n].capacity(use)
	}
	return n
}

// ordered returns the members by speed class, and within a class by the hash of the ID, which is the same at
// all hosts. Their factors are replaced by the mean of the class.
func ordered(members []Member) []Member {
	list := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Factor <= 0 })
	slices.SortFunc(list, func(a, b Member) int { return cmp.Or(cmp.Compare(a.Factor, b.Factor), cmp.Compare(a.ID, b.ID)) })
	for from := 0; from < len(list); {
		to := from
		for to < len(list) && list[to].Factor <= list[from].Factor*classWidth {
			to++
		}
		joinClass(list[from:to])
		from = to
	}
	return list
}

// joinClass orders the members of a class and sets their factors to the mean.
func joinClass(class []Member) {
	sum := 0.0
	for _, m := range class {
		sum += m.Factor
	}
	for i := range class {
		class[i].Factor = sum / float64(len(class))
	}
	slices.SortFunc(class, func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
}
