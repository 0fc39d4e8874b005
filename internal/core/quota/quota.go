// Package quota enforces per-team quotas over all hosts without a remote call on the path of most
// requests: units of a quota are leased to the hosts in advance.
//
// An Issuer, on each control host, owns a fixed part of what each team may send in any window. A
// Holder, on each entry host, asks an issuer for units, spends them on requests, and returns those
// that it does not need. Spent units become free again one window later. A request that finds too
// few units waits for one answer of the nearest control host. An issuer whose holders need more
// than its part borrows from other issuers, and returns units that are free again.
//
// Invariants:
//   - The units of an issuer's part that are free, held by holders, lent, or spent within the last
//     window add up to the part. So no more is spent in any window than the parts of all issuers,
//     which add up to Bound.Allowed.
//   - A holder may spend units until their lease ends, counted from when it sent the ask; the
//     issuer counts the lease from the arrival of the ask, which is later. The same holds for
//     units that an issuer borrowed and does not return: the lender counts them as free one window
//     after the last moment at which they can be spent.
//   - Units whose message is lost count as spent.
//   - An issuer gives out units only after it has stored that it may (ConfirmStored): after a
//     restart, everything that it may have given out counts as spent at the time of the restart.
//
// The load that the design assumes: a team's requests arrive at any of hundreds of hosts and move
// between regions within a second, and one request may need a third of what the team may send in a
// second.
package quota

import (
	"math"
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
)

// Bound limits by how much the fleet may exceed a quota in a window.
type Bound struct {
	// Window is the period over which sent units are summed.
	Window time.Duration
	// Excess is the tolerated excess, as a fraction (0 to 1) of what the quota allows in a window.
	Excess float64
	// Slack is the tolerated excess in units of the quota, on top of Excess.
	Slack float64
}

// allowedFraction leaves room for requests that are sent some time after their units were taken.
const allowedFraction = 0.98

// Allowed returns the number of units that all hosts together may spend in any window.
func (b Bound) Allowed(q configstate.Quota) float64 {
	return allowedFraction * ((q.PerSecond*b.Window.Seconds()+q.Burst)*(1+b.Excess) + b.Slack)
}

const (
	// Lease is how long a holder may use units after it sent the ask for them.
	Lease = 2 * time.Second
	// LoanLease is how long an issuer may use borrowed units after it sent its last answered ask.
	LoanLease = 4 * time.Second
	// LoanTimeout is how long an issuer waits for a lender's answer.
	LoanTimeout = time.Second
	// maxSendDelay is the longest time between taking units and sending the request, which is when
	// the request counts against the quota.
	maxSendDelay = 300 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = time.Second
)

// meter is an exponentially decaying rate, in units per second.
type meter struct {
	rate float64
	at   time.Time
}

func (m *meter) add(units float64, now time.Time) {
	m.rate = m.rateAt(now) + units/demandTimeConstant.Seconds()
	m.at = now
}

func (m *meter) rateAt(now time.Time) float64 {
	return m.rate * math.Exp(-max(0, now.Sub(m.at).Seconds())/demandTimeConstant.Seconds())
}

// nonNegative sanitizes a number received in a message: NaN and negative values become 0.
func nonNegative(v float64) float64 {
	if math.IsNaN(v) || v < 0 {
		return 0
	}
	return v
}

// expired reports whether a lease that ends at until has ended by the monotonic clock or by the
// wall clock, whichever is first. Neither suffices alone: the monotonic clock may stop while a
// machine is suspended, and the wall clock may be set.
func expired(until, now time.Time) bool {
	return now.After(until) || now.Round(0).After(until.Round(0))
}

// leasedUnits is a number of units that are held elsewhere until a point in time.
type leasedUnits struct {
	units float64
	until time.Time
}

// slotWidth is the granularity at which the return times of units are kept in memory.
const slotWidth = 100 * time.Millisecond

// pendingReturns lists units that become free later, the earliest first. Units due within one
// slotWidth are merged and become free with the last of them.
type pendingReturns []pendingReturn

type pendingReturn struct {
	units       float64
	first, last time.Time
}

func (r *pendingReturns) add(units float64, at time.Time) {
	if units <= 0 {
		return
	}
	list := *r
	i := len(list)
	for i > 0 && list[i-1].first.After(at) {
		i--
	}
	if i > 0 && at.Sub(list[i-1].first) < slotWidth {
		list[i-1].units += units
		if at.After(list[i-1].last) {
			list[i-1].last = at
		}
		return
	}
	*r = slices.Insert(list, i, pendingReturn{units, at, at})
}

// removeDue removes the entries that are due and returns the sum of their units.
func (r *pendingReturns) removeDue(now time.Time) float64 {
	sum, n := 0.0, 0
	for n < len(*r) && !(*r)[n].last.After(now) {
		sum += (*r)[n].units
		n++
	}
	*r = slices.Delete(*r, 0, n)
	return sum
}

// timeUntil returns the time until at least the given number of units has become free; false if
// fewer units are pending.
func (r pendingReturns) timeUntil(units float64, now time.Time) (time.Duration, bool) {
	for _, l := range r {
		if units -= l.units; units <= 0 {
			return max(0, l.last.Sub(now)), true
		}
	}
	return 0, false
}
