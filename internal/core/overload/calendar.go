package overload

import (
	"math"
	"time"
)

// Parameters of reservations.
const (
	// reservablePart is the part of a class's room that is reserved for retries. Retries then fit in also if the room
	// falls by three quarters, and leave room for the usual load once an overload has ended.
	reservablePart = 0.25
	// placeLimit is the part of the longest time that a caller honours within which places are reserved. The rest
	// separates reserved retries from those without a place.
	placeLimit = 0.9
	// maxReservationRate is in reservations per second; it keeps the intervals well above placeSpacing.
	maxReservationRate = 1e5
	// minReservationRate is the rate below which no place is reserved: one in 100 s.
	minReservationRate = 0.01
	// placeSpacing is the grid of reserved times. Each class has its own offset in it, so that no two reservations of a
	// host are at one instant.
	placeSpacing = 64 * time.Nanosecond
)

// calendar is the reservations of one class on this host: all places before next are taken or past.
type calendar struct {
	next time.Duration // since the controller's epoch
}

// reserve returns a reserved time of at least earliest and at most latest. The intervals between places are random
// with the mean of the rate, which is per second.
func (k *calendar) reserve(earliest, latest time.Duration, rate float64, offset int, random func() float64) (time.Duration, bool) {
	if rate < minReservationRate || earliest >= latest {
		return 0, false
	}
	interval := float64(time.Second) / math.Min(rate, maxReservationRate)
	at := k.next
	if at < earliest {
		at = earliest + time.Duration(clean(random())*math.Min(interval, float64(latest-earliest))/2)
	}
	at += placeSpacing - at%placeSpacing + time.Duration(offset)%placeSpacing
	if at > latest {
		return 0, false
	}
	k.next = at + time.Duration(interval*(0.5+math.Min(1, clean(random()))))
	return at, true
}

// reservationRate returns the reservations per second of a class with a room in slots.
func reservationRate(room float64, slotTime time.Duration) float64 {
	if slotTime <= 0 {
		return 0
	}
	return reservablePart * room / slotTime.Seconds()
}

// retryAfter reserves a time for a retry of a rejected request and returns the time until then. Only first attempts
// get a place: the waiting time of a second retry does not tell whether it had one (kindOf).
func (c *Controller) retryAfter(s *classState, r Request, now time.Time) (after time.Duration, reason string) {
	longest := r.Remaining / 3
	if longest < MinRetryAfter {
		return 0, ReasonNoTime
	}
	if c.stale(now) {
		// Without current figures the room is unknown. A random time keeps the retries apart.
		spread := float64(longest - MinRetryAfter)
		return MinRetryAfter + time.Duration(math.Min(1, clean(c.o.Random()))*spread), ReasonNoPlace
	}
	if kindOf(r) != fresh {
		return longest, ReasonNoPlace
	}
	elapsed := now.Sub(c.epoch)
	latest := elapsed + time.Duration(placeLimit*float64(longest))
	at, ok := s.calendar.reserve(elapsed+max(MinRetryAfter, r.Recognized), latest, s.rate, s.index, c.o.Random)
	if !ok {
		return longest, ReasonNoPlace
	}
	return at - elapsed, ReasonReserved
}
