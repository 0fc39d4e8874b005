package overload

import (
	"math"
	"time"
)

// Parameters of the plan.
const (
	// targetUtilization is the part of the slots that is given away: closer to 1 queues grow without bound.
	targetUtilization = 0.95
	// drainTime is the part of the latency target within which a backlog beyond the permitted one should be gone.
	drainTime = 0.5
	// maxIdleCorrection is the largest addition to the room for slots that are idle although requests are rejected, as a
	// part of the slots. It corrects slot times that are estimated too long.
	maxIdleCorrection = 0.25
)

// shares is the fractions of a class's requests that are admitted, by kind.
type shares struct {
	fresh, reserved, unplaced float64
	freshRate, reservedRate   float64 // requests per second of the region, as known at the update
}

// fill fills the classes in order of urgency and returns the plan. The demand admitted by it is at most
// targetUtilization of the slots, the largest surplus of any class, and maxIdleCorrection of the slots.
func (c *Controller) fill(room Room, now time.Time) Plan {
	slots, requests := clean(room.Slots), clean(room.Requests)
	p := newPlan(len(c.states))
	p.Backlog, p.Part = math.Max(0, requests-slots), c.part.value
	c.allow(&p, slots)
	used, before := 0.0, shares{fresh: 1, reserved: 1, unplaced: 1}
	for i, s := range c.states {
		surplus := clean(c.o.SurplusOf(i, clean(room.Surplus)))
		left := targetUtilization*slots + surplus + s.correction(slots, requests, p.Allowed[i]) - used
		p.Room[i] = math.Max(0, left)
		s.shares = s.fill(p.Room[i], before, now)
		p.Demand[i] = s.demand()
		p.Fractions[i], p.Returns[i] = s.shares.fresh, s.shares.reserved
		used += s.admitted(now)
		before = s.shares
	}
	return p
}

// newPlan returns a plan for n classes, with one allocation for all slices.
func newPlan(n int) Plan {
	all := make([]float64, 5*n)
	part := func(i int) []float64 { return all[i*n : (i+1)*n : (i+1)*n] }
	return Plan{Fractions: part(0), Returns: part(1), Room: part(2), Demand: part(3), Allowed: part(4)}
}

// allow sets the permitted backlog of each class and the less urgent ones: those wait behind it, so they do not use up
// its allowance.
func (c *Controller) allow(p *Plan, slots float64) {
	sum := 0.0
	for i := len(c.states) - 1; i >= 0; i-- {
		s := c.states[i]
		if seconds := s.slotSeconds(); seconds > 0 {
			sum += slots / seconds * p.Part * clean(s.class.Target.Seconds())
		}
		p.Allowed[i] = sum
	}
}

// correction returns the slots by which the room of a class is reduced until the backlog has drained, as a negative
// number, or raised until idle slots are filled.
func (s *classState) correction(slots, requests, allowed float64) float64 {
	drain := drainTime * s.class.Target.Seconds()
	if drain <= 0 {
		return 0
	}
	perRequest := s.slotSeconds() / drain
	if excess := requests - slots - allowed; excess > 0 {
		return -excess * perRequest
	}
	idle := math.Max(0, targetUtilization*slots-requests)
	return math.Min(idle*perRequest, maxIdleCorrection*slots)
}

// fill divides the room of a class: reserved retries first, then new requests, then retries without a place. No
// fraction exceeds that of the next more urgent class.
func (s *classState) fill(room float64, limit shares, now time.Time) shares {
	fresh, reserved, unplaced := s.rates(now)
	seconds := s.slotSeconds()
	out := shares{freshRate: fresh, reservedRate: reserved}
	out.reserved = math.Min(limit.reserved, part(room, reserved*seconds))
	room = math.Max(0, room-reserved*seconds)
	out.fresh = math.Min(limit.fresh, part(room, fresh*seconds))
	room = math.Max(0, room-fresh*seconds)
	out.unplaced = math.Min(limit.unplaced, part(room, unplaced*seconds))
	return out
}

// part returns the part of a demand for which there is room.
func part(room, demand float64) float64 {
	switch {
	case room <= 0:
		return 0
	case demand <= room:
		return 1
	}
	return room / demand
}

// rates returns the requests per second of each kind. The region's retries are divided into those with and without
// a reservation as this host's own ones.
func (s *classState) rates(now time.Time) (fresh, reserved, unplaced float64) {
	returns := clean(s.class.ReturnsPerSecond)
	unplaced = returns * s.teams.unplacedPart(now)
	return clean(s.class.ArrivalsPerSecond), returns - unplaced, unplaced
}

// admitted returns the slots that the admitted requests of the class occupy.
func (s *classState) admitted(now time.Time) float64 {
	fresh, reserved, unplaced := s.rates(now)
	return (fresh*s.shares.fresh + reserved*s.shares.reserved + unplaced*s.shares.unplaced) * s.slotSeconds()
}

// demand returns the slots that all requests of the class would occupy.
func (s *classState) demand() float64 {
	return (clean(s.class.ArrivalsPerSecond) + clean(s.class.ReturnsPerSecond)) * s.slotSeconds()
}

func (s *classState) slotSeconds() float64 { return clean(s.class.SlotTime.Seconds()) }
