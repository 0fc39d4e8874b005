package control

import (
	"sync"
	"time"
)

// wakePausePerWaiter is the pause after a wake for each sync request that it wakes: several times
// the processor time of one answer, which leaves time for other work.
const wakePausePerWaiter = 500 * time.Microsecond

// waker wakes the sync requests that wait for a change. Each change of the fleet concerns all of
// them, and after a restart of the whole fleet there are as many changes as hosts. If each change
// woke all waiters, the work would grow with the square of the number of hosts and delay votes and
// heartbeats. The pause between two wakes is therefore proportional to the number of waiters;
// changes during a pause are sent together.
type waker struct {
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each wake
	waiting   int
	notBefore time.Time // earliest time of the next wake
	scheduled bool      // whether a wake is scheduled at notBefore
	afterFunc func(time.Duration, func())
}

func newWaker() *waker {
	return &waker{changed: make(chan struct{}), afterFunc: func(d time.Duration, f func()) { time.AfterFunc(d, f) }}
}

// enter returns a channel that is closed at the next wake. The caller must call leave afterwards.
func (w *waker) enter() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting++
	return w.changed
}

func (w *waker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

// wake wakes all waiters, at once or when the pause since the last wake has ended.
func (w *waker) wake(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch pause := w.notBefore.Sub(now); {
	case w.scheduled:
	case pause > 0:
		w.scheduled = true
		w.afterFunc(pause, w.wakeScheduled)
	default:
		w.wakeLocked(now)
	}
}

func (w *waker) wakeScheduled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scheduled = false
	w.wakeLocked(w.notBefore)
}

func (w *waker) wakeLocked(now time.Time) {
	w.notBefore = now.Add(time.Duration(w.waiting) * wakePausePerWaiter)
	close(w.changed)
	w.changed = make(chan struct{})
}
