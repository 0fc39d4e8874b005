package control

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
)

// Staleness returns how old this replica's applied state is at most: the time since it held
// all that the group had committed, or since its start. It grows while the replica is cut
// off, catches up, waits for its disk, or has lost its store.
func (r *Replica) Staleness() time.Duration {
	at := r.started
	if p := r.currentAt.Load(); p != nil {
		at = *p
	}
	return r.o.Clock.Now().Sub(at)
}

// noteCurrent notes the time as of which the applied state is the group's newest. The first
// time is also the moment from which the state may be handed to entry hosts: a follower that
// merely hears a leader may still lack what was acknowledged while it was down
// (TestHostThatCatchesUpOffersNothingStale).
func (r *Replica) noteCurrent() {
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

// logStaleness writes when this control host's state begins to be too old for entry hosts
// to go by, and when that ends. It returns whether it is.
func (f *Fleet) logStaleness(was bool) bool {
	staleness := f.replica.Staleness()
	is := staleness > controlhosts.MaxStaleness
	if is == was {
		return was
	}
	event := "configuration is up to date again"
	if is {
		event = "configuration may be out of date"
	}
	f.o.Log.Info(event, "staleness_ms", staleness.Milliseconds(), "version", f.replica.Accepted().Stamp.Version)
	return is
}
