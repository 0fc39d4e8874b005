// Package fencing decides when a control leader may give an order to an engine.
//
// Every order carries a fencing number that rises with every order of every
// leader. Engines that check it refuse an old leader's late order. For engines
// that ignore it, a new leader first waits until no order of an earlier leader
// can be under way: the earlier leader's lease plus the longest time of an order.
package fencing

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Limits holds the times that bound an earlier leader's orders.
type Limits struct {
	Lease    time.Duration // longest lease of a leader
	MaxOrder time.Duration // longest time an order can be under way
}

// Gate tracks one leader's right to give orders. The zero Gate refuses.
type Gate struct {
	limits  Limits
	term    uint64
	elected time.Time
}

// NewGate returns a gate that refuses until Elected.
func NewGate(l Limits) *Gate { return &Gate{limits: l} }

// Elected records that this replica became leader of the term.
func (g *Gate) Elected(term uint64, now time.Time) {
	if term > g.term {
		g.term, g.elected = term, now
	}
}

// Check decides whether the leader of the term may give an order now. lease is
// what is left of its lease. checks tells whether the engine checks fencing
// numbers; when that is not known it is false.
func (g *Gate) Check(term uint64, lease time.Duration, checks bool, now time.Time) error {
	if term == 0 || term != g.term || lease <= 0 {
		return failure.New(failure.NoLeader, failure.NotRun, "this replica holds no leader lease")
	}
	if checks {
		return nil
	}
	clear := g.elected.Add(g.limits.Lease + g.limits.MaxOrder)
	if now.Before(clear) {
		return failure.New(failure.NotReady, failure.NotRun,
			"an earlier leader's order may be under way and the engine does not check fencing numbers").
			WithRetryAfter(clear.Sub(now))
	}
	return nil
}
