// Package fencing decides when the control leader may send an order to an engine.
//
// Every order carries a fencing number (a fencing token), which increases with every
// order across all leaders. Engines that check it reject a delayed order of an earlier
// leader. For engines that don't check it, a new leader first waits until no order of an
// earlier leader can still be in flight: the longest lease plus the longest duration of
// an order.
package fencing

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Limits holds the durations that bound the orders of an earlier leader.
type Limits struct {
	Lease    time.Duration // maximum leader lease
	MaxOrder time.Duration // maximum time that an order can be in flight
}

// Gate tracks whether a leader may send orders. The zero Gate refuses.
type Gate struct {
	limits  Limits
	term    uint64
	elected time.Time
}

// NewGate returns a gate that refuses until Elected is called.
func NewGate(limits Limits) *Gate { return &Gate{limits: limits} }

// Elected records that this replica became leader of the term. Repeated calls for a term
// keep the time of the first.
func (g *Gate) Elected(term uint64, now time.Time) {
	if term > g.term {
		g.term, g.elected = term, now
	}
}

// Check returns nil if the leader of the term may send an order now. lease is the
// remaining time of its lease. enforcesFencing reports whether the engine checks fencing
// numbers; pass false if that is unknown.
func (g *Gate) Check(term uint64, lease time.Duration, enforcesFencing bool, now time.Time) error {
	if term == 0 || term != g.term || lease <= 0 {
		return failure.New(failure.NoLeader, failure.NotRun, "this replica holds no leader lease")
	}
	if enforcesFencing {
		return nil
	}
	safeAt := g.elected.Add(g.limits.Lease + g.limits.MaxOrder)
	if now.Before(safeAt) {
		return failure.New(failure.NotReady, failure.NotRun,
			"an earlier leader's order may still be in flight and the engine does not check fencing numbers").
			WithRetryAfter(safeAt.Sub(now))
	}
	return nil
}
