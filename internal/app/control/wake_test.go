package control

import (
	"testing"
	"time"
)

// TestWakesArePaced lets every one of 986 entry hosts that wait at a control host be followed
// by a change, as when all of them start. Each change once woke all: nearly a million views
// within a second, behind which the control hosts' votes waited.
func TestWakesArePaced(t *testing.T) {
	for name, hosts := range map[string]int{"a failure domain": 15, "its share of a fleet": 41, "a whole fleet": 986} {
		t.Run(name, func(t *testing.T) {
			w, now := newWaker(), time.Unix(1000, 0)
			w.after = func(time.Duration, func()) {} // the test wakes when it is due
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
				if w.due && !now.Before(w.next) {
					w.wakeDue()
				}
			}
			if most := int(changes * every / wakeCost); views > most+2*hosts {
				t.Errorf("%d views in %s, want %d at most", views, changes*every, most)
			}
			if !w.due && !now.Before(w.next) && views == 0 {
				t.Error("nobody was ever woken")
			}
		})
	}
}

// TestFirstChangeWakesAtOnce: after a quiet time a change is told at once, and one that comes
// right after it is not lost.
func TestFirstChangeWakesAtOnce(t *testing.T) {
	w, now := newWaker(), time.Unix(1000, 0)
	first := w.enter()
	w.wake(now)
	select {
	case <-first:
	default:
		t.Fatal("the first change wakes nobody")
	}
	second := w.enter()
	w.wake(now)
	<-second
}
