package control

import (
	"testing"
	"time"
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
