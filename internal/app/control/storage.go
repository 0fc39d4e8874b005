package control

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// StoreRetryInterval is the pause between attempts to reopen a failed store: a fraction of the time
// after which a lost voter is replaced, with few writes to a failing disk.
const StoreRetryInterval = 500 * time.Millisecond

// halt takes the replica out of the group: pending calls and later ones fail with f.
func (r *Replica) halt(f *failure.Error) {
	r.halted.Store(f)
	r.failWaiters(f)
	r.o.Log.Info("store failed; replica halted", "reason", f.Detail, "code", string(f.Code))
}

// recoverStore waits until the store can be reopened and restarts the replica from it. As after a
// restart, votes and entries that were not durable are discarded; no message with them was sent. It
// reports false if ctx ended first. The rest of the host, which does not need the disk, continues
// to work.
func (r *Replica) recoverStore(ctx context.Context) bool {
	began := r.o.Clock.Now()
	t := time.NewTicker(StoreRetryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case f := <-r.inbox: // posted before the replica halted
			f()
			r.failWaiters(r.halted.Load())
			continue
		case <-t.C:
		}
		if err := r.reopen(); err != nil {
			r.o.Log.V(1).Info("store cannot be reopened yet", "reason", err.Error())
			continue
		}
		r.halted.Store(nil)
		r.o.Log.Info("store reopened; replica resumed", "out_ms", r.o.Clock.Now().Sub(began).Milliseconds())
		return true
	}
}

func (r *Replica) reopen() error {
	j, state, err := r.o.Reopen()
	if err != nil {
		return err
	}
	_ = r.o.Journal.Close() // already failed; halt logged the reason
	r.o.Journal, r.o.State = j, state
	return r.load()
}
