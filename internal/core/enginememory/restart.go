package enginememory

import "time"

// Restart is what a host knows of crashes by memory of one engine process and of the one before it. The zero value has
// none. It is not safe for concurrent use.
type Restart struct {
	nearlyFullAt time.Time // when the estimate was last so high that a crash counts as one by memory
	refillFrom   time.Time // when the host learned of the process; zero unless the one before crashed by memory
}

// Observe records the estimated state of the process.
func (r *Restart) Observe(e Engine, now time.Time) {
	if e.NearlyFull() {
		r.nearlyFullAt = now
	}
}

// CrashedByMemory reports whether the process, which has ended without notice, counts as crashed by memory. heardAt is
// when it was last known to run: the estimate was high then or later, with figures of that time.
func (r *Restart) CrashedByMemory(heardAt time.Time) bool {
	return !r.nearlyFullAt.IsZero() && r.nearlyFullAt.After(heardAt.Add(-FigureAge))
}

// Refill records that the process replaces one that crashed by memory.
func (r *Restart) Refill(now time.Time) { r.refillFrom = now }

// Refilling reports whether the process is filled only in part. coldUntil is the end of its cold phase, in which it
// gets few requests anyway; zero for none.
func (r *Restart) Refilling(coldUntil, now time.Time) bool {
	if r.refillFrom.IsZero() {
		return false
	}
	from := r.refillFrom
	if coldUntil.After(from) {
		from = coldUntil
	}
	return now.Before(from.Add(RefillTime))
}
