// Package quota keeps teams' quotas over all hosts without a message on the way of most
// requests: units are given out ahead, in leases.
//
// An Issuer, on each control host, has a fixed part of what each team may send in any window.
// A Holder, on each entry host, asks an issuer for units, spends them on requests, and gives
// back what it does not need. Units that were spent are there again a window later. A request
// that finds too few waits for one answer of the nearest control host. An issuer whose holders
// need more than its part borrows from the parts of others, and gives back what is free again.
//
// Invariants:
//   - Of an issuer's part, what is free, what holders have of it, what it lent, and what was
//     spent of it in the last window add up to the part. So in any window no more is spent
//     than the parts of all issuers, which add up to Bound.Allowed.
//   - A holder's units end with their lease, counted from the sending of its ask; the issuer
//     counts the lease from the ask's arrival, which is later. The same holds for what an
//     issuer borrowed and does not give back; its lender has it again a window after the last
//     moment at which it can be spent.
//   - A unit whose message is lost counts as spent.
//   - An issuer gives out nothing before it has stored that it may (Stored): after a restart
//     all that it may have given out counts as spent at the restart.
//
// The load it answers: a team's requests come to any of hundreds of hosts, and move between
// regions within a second; one request may be a third of what the team may send in a second.
package quota

import (
	"math"
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
)

// Bound is by how much the fleet may pass a quota in a window.
type Bound struct {
	// Window is the time over which what was sent is summed.
	Window time.Duration
	// Excess is a part of what the quota allows in a window (0 to 1).
	Excess float64
	// Slack is in units of the quota.
	Slack float64
}

// allowedUsed leaves room for requests that are sent some time after their units were taken.
const allowedUsed = 0.98

// Allowed returns the units that all hosts together may spend in any window.
func (b Bound) Allowed(q configstate.Quota) float64 {
	return allowedUsed * ((q.PerSecond*b.Window.Seconds()+q.Burst)*(1+b.Excess) + b.Slack)
}

const (
	// Lease is how long a holder may use units.
	Lease = 2 * time.Second
	// LoanLease is how long an issuer has what it borrowed without word of the lender.
	LoanLease = 4 * time.Second
	// LoanTimeout is how long an issuer waits for a lender's answer.
	LoanTimeout = time.Second
	// sendWithin is the time from the taking of units to the sending of the request, which is
	// when the request counts.
	sendWithin = 300 * time.Millisecond
	// demandMemory is the time constant of what is asked.
	demandMemory = time.Second
)

// meter is a moving rate, in units a second.
type meter struct {
	rate float64
	at   time.Time
}

func (m *meter) add(units float64, now time.Time) {
	m.rate = m.now(now) + units/demandMemory.Seconds()
	m.at = now
}

func (m *meter) now(now time.Time) float64 {
	return m.rate * math.Exp(-max(0, now.Sub(m.at).Seconds())/demandMemory.Seconds())
}

// atLeast0 reads a number of a message.
func atLeast0(v float64) float64 {
	if math.IsNaN(v) || v < 0 {
		return 0
	}
	return v
}

// over reports whether a lease that ends at a moment is over. A machine that was suspended
// has a steady clock that stood still meanwhile, and one whose time of day was set has that one
// wrong: the earlier end of both holds.
func over(until, now time.Time) bool {
	return now.After(until) || now.Round(0).After(until.Round(0))
}

// lent is units that are elsewhere until a moment.
type lent struct {
	units float64
	until time.Time
}

// slotWidth is how finely it is kept when units come back.
const slotWidth = 100 * time.Millisecond

// returns is units that come back, the earliest first. What comes back within slotWidth comes
// with the last of it.
type returns []returning

type returning struct {
	units       float64
	first, last time.Time
}

func (r *returns) add(units float64, at time.Time) {
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
	*r = slices.Insert(list, i, returning{units, at, at})
}

// take removes what is due and returns its sum.
func (r *returns) take(now time.Time) float64 {
	sum, n := 0.0, 0
	for n < len(*r) && !(*r)[n].last.After(now) {
		sum += (*r)[n].units
		n++
	}
	*r = slices.Delete(*r, 0, n)
	return sum
}

// due returns how long it takes until so many units have come back.
func (r returns) due(units float64, now time.Time) (time.Duration, bool) {
	for _, l := range r {
		if units -= l.units; units <= 0 {
			return max(0, l.last.Sub(now)), true
		}
	}
	return 0, false
}
