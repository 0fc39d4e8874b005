package control

import (
	"sync"
	"time"
)

// wakeCost is the share of time that answering one presentation is given when a change wakes
// those that wait: several times its processor time, so that other work goes on.
const wakeCost = 500 * time.Microsecond

// waker lets the presentations that wait for a change go on. Each change of the fleet
// concerns all of them, and after a restart of everything there are as many changes as hosts:
// if each woke all, the work would grow with the square of the hosts, and votes and heartbeats
// would wait behind it. So the pause between two wakes is in proportion to those that wait;
// changes that come meanwhile are told together.
type waker struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each wake
	waiting int
	next    time.Time // no wake before it
	due     bool      // a wake follows at next
	after   func(time.Duration, func())
}

func newWaker() *waker {
	return &waker{changed: make(chan struct{}), after: func(d time.Duration, f func()) { time.AfterFunc(d, f) }}
}

// enter returns what is closed at the next wake. The caller must leave.
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

// wake wakes all that wait, now or as soon as the pause since the last wake is over.
func (w *waker) wake(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch pause := w.next.Sub(now); {
	case w.due:
	case pause > 0:
		w.due = true
		w.after(pause, w.wakeDue)
	default:
		w.wakeLocked(now)
	}
}

func (w *waker) wakeDue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = false
	w.wakeLocked(w.next)
}

func (w *waker) wakeLocked(now time.Time) {
	w.next = now.Add(time.Duration(w.waiting) * wakeCost)
	close(w.changed)
	w.changed = make(chan struct{})
}
