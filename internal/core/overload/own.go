package overload

import (
	"math"
	"time"
)

// Parameters of the fractions without current figures.
const (
	// ownIncrease is the addition to a class's fraction per second.
	ownIncrease = 0.1
	// ownDecrease is the factor by which a rejection lowers a fraction.
	ownDecrease = 0.7
	// minOwnFraction is the fraction below which a rejection lowers that of the next more urgent class instead.
	minOwnFraction = 0.1
)

// ownFraction is the fraction of a class's requests that this host admits while it has no current figures. It starts
// from the last plan, rises with time and falls with the host's own rejections.
type ownFraction struct {
	value float64
	since time.Time // time of value; zero while the plan is current
}

func (f *ownFraction) set(value float64) { *f = ownFraction{value: value} }

// at returns the fraction at a time. start is the time from which the plan is no longer used.
func (f *ownFraction) at(now, start time.Time) float64 {
	if f.since.After(start) {
		start = f.since
	}
	return math.Min(1, f.value+ownIncrease*math.Max(0, now.Sub(start).Seconds()))
}

// cutOwn lowers the fraction of the least urgent class that still has one.
func (c *Controller) cutOwn(now time.Time) {
	start := c.updatedAt.Add(maxStateAge)
	for i := len(c.states) - 1; i >= 0; i-- {
		own := &c.states[i].own
		if value := own.at(now, start); value > minOwnFraction || i == 0 {
			*own = ownFraction{value * ownDecrease, now}
			break
		}
		*own = ownFraction{0, now}
	}
}
