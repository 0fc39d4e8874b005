package control

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
)

// Staleness returns the maximum age of this replica's applied state: the time since it last
// contained everything that the group had committed, or since the replica's start. It grows while
// the replica is isolated, catches up, waits for its disk, or has lost its store.
func (r *Replica) Staleness() time.Duration {
	at := r.started
	if p := r.currentAt.Load(); p != nil {
		at = *p
	}
	return r.o.Clock.Now().Sub(at)
}

// updateCurrentAt updates the time as of which the applied state is the group's newest. From the
// first such time on, the state may be sent to entry hosts: a follower that merely receives
// heartbeats may still lack changes that were acknowledged while it was down
// (TestCatchingUpHostOffersNoStaleConfiguration).
func (r *Replica) updateCurrentAt() {
	asOf := r.node.CurrentAsOf()
	if asOf == r.currentTick {
		return
	}
	r.currentTick = asOf
	at := r.o.Clock.Now().Add(-time.Duration(r.node.Ticks()-asOf) * r.o.Tick)
	if first := r.currentAt.Swap(&at) == nil; first && r.fleet != nil {
		r.fleet.configurationChanged()
	}
}

// logStaleness logs when this control host's state becomes too stale for entry hosts to use, and
// when it recovers. It returns whether the state is too stale.
func (f *Fleet) logStaleness(wasStale bool) bool {
	staleness := f.replica.Staleness()
	isStale := staleness > controlhosts.MaxStaleness
	if isStale == wasStale {
		return wasStale
	}
	event := "configuration is up to date again"
	if isStale {
		event = "configuration may be out of date"
	}
	f.o.Log.Info(event, "staleness_ms", staleness.Milliseconds(), "version", f.replica.Accepted().Stamp.Version)
	return isStale
}
