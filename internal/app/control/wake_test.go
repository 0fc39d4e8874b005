package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestWakesAreRateLimited lets up to 986 entry hosts wait at a control host while changes arrive,
// as during the start of the whole fleet. When each change woke all waiters, this caused nearly a
// million views within a second and delayed the control hosts' votes.
func TestWakesAreRateLimited(t *testing.T) {
	for name, hosts := range map[string]int{"a failure domain": 15, "its share of a fleet": 41, "a whole fleet": 986} {
		t.Run(name, func(t *testing.T) {
			w, now := newWaker(), time.Unix(1000, 0)
			w.afterFunc = func(time.Duration, func()) {} // the test calls wakeScheduled itself
			var wait <-chan struct{}
			for range hosts {
				wait = w.enter()
			}
			views := 0
			const changes, every = 1000, time.Millisecond
			for range changes {
				now = now.Add(every)
				w.wake(now)
				select {
				case <-wait:
					for range hosts {
						w.leave()
						wait = w.enter()
						views++
					}
				default:
				}
				if w.scheduled && !now.Before(w.notBefore) {
					w.wakeScheduled()
				}
			}
			if most := int(changes * every / wakePausePerWaiter); views > most+2*hosts {
				t.Errorf("%d views in %s, want %d at most", views, changes*every, most)
			}
			if !w.scheduled && !now.Before(w.notBefore) && views == 0 {
				t.Error("no waiter was ever woken")
			}
		})
	}
}

// TestFirstChangeWakesAtOnce checks that a change after a period without changes wakes the waiters
// at once, and that a change right after it is not lost.
func TestFirstChangeWakesAtOnce(t *testing.T) {
	w, now := newWaker(), time.Unix(1000, 0)
	first := w.enter()
	w.wake(now)
	select {
	case <-first:
	default:
		t.Fatal("the first change wakes no waiter")
	}
	second := w.enter()
	w.wake(now)
	<-second
}

// TestHeldSyncEndsWhenItsHostLeaves guards against control hosts whose stop takes as long as they may hold
// a sync request.
func TestHeldSyncEndsWhenItsHostLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetAt(t, &manualClock{now: time.Unix(1000, 0)}, "control-d0", "d0", "r", worldRegions, []string{"control-d0"})
		m := &pb.FleetSync{Host: &pb.FleetHost{Id: "h0", Region: "r", FailureDomain: "d0", Ready: true}, WaitMs: 1000}
		view := f.handleSync(context.Background(), m)
		m.HaveEpoch, m.HaveVersion = view.Epoch, view.Version
		answered := make(chan time.Duration, 1)
		began := time.Now()
		go func() {
			f.handleSync(context.Background(), m)
			answered <- time.Since(began)
		}()
		synctest.Wait()
		if len(answered) > 0 {
			t.Error("a sync request was not held though nothing has changed")
		}
		f.ReleaseSyncs()
		if held := <-answered; held > 0 {
			t.Errorf("a sync request was held for %s after its host had begun to leave", held)
		}
	})
}
