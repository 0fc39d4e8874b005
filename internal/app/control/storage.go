package control

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// StoreRetry is the pause between attempts to open a failed store anew: a fraction of the
// time in which a lost voter would be replaced, and few writes to a disk in trouble.
const StoreRetry = 500 * time.Millisecond

// halt takes the replica out of the group: nothing that it was asked is acknowledged, and
// what is asked from now on is refused with the failure.
func (r *Replica) halt(f *failure.Error) {
	r.halted.Store(f)
	r.failWaiters(f)
	r.o.Log.Info("store failed; the replica takes no part in the group", "reason", f.Detail, "code", string(f.Code))
}

// recoverStore waits until the store can be opened anew and starts the replica from it, as
// after a restart: votes and entries that were not durable are forgotten, and no message
// told of them. It reports false when ctx ended first. The rest of the host, which needs no
// disk, goes on meanwhile.
func (r *Replica) recoverStore(ctx context.Context) bool {
	began := r.o.Clock.Now()
	t := time.NewTicker(StoreRetry)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case f := <-r.inbox: // posted before the failure showed
			f()
			r.failWaiters(r.halted.Load())
			continue
		case <-t.C:
		}
		if err := r.reopen(); err != nil {
			r.o.Log.V(1).Info("store not usable yet", "reason", err.Error())
			continue
		}
		r.halted.Store(nil)
		r.o.Log.Info("store opened anew; the replica takes part in the group again", "out_ms", r.o.Clock.Now().Sub(began).Milliseconds())
		return true
	}
}

func (r *Replica) reopen() error {
	j, state, err := r.o.Reopen()
	if err != nil {
		return err
	}
	_ = r.o.Journal.Close() // it failed before
	r.o.Journal, r.o.State = j, state
	return r.load()
}
