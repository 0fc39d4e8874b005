package quarantine

import "time"

// MaxOpenAnswers bounds the answers that an OpenAnswers holds. Further ones prove nothing.
const MaxOpenAnswers = 1024

// OpenAnswer is an answer whose end is marked only by the end of its connection.
type OpenAnswer struct {
	Subjects Subjects
	Release  string
	EndedAt  time.Time
}

// OpenAnswers holds answers with neither a length nor chunks, by server process. A process that
// crashes ends such an answer like a complete one, so it proves nothing until the same process responds
// to an attempt that was sent later. Announcements confirm nothing: it is not known how long they were on
// their way.
type OpenAnswers struct {
	byProcess map[ServerProcess][]OpenAnswer
	count     int
}

// NewOpenAnswers returns an empty OpenAnswers.
func NewOpenAnswers() *OpenAnswers { return &OpenAnswers{byProcess: map[ServerProcess][]OpenAnswer{}} }

// Len returns the number of answers held.
func (o *OpenAnswers) Len() int { return o.count }

// Add adds an answer of a process. It reports false if too many are held.
func (o *OpenAnswers) Add(p ServerProcess, a OpenAnswer) bool {
	if o.count >= MaxOpenAnswers {
		return false
	}
	o.byProcess[p] = append(o.byProcess[p], a)
	o.count++
	return true
}

// Drop forgets the answers of a process that crashed.
func (o *OpenAnswers) Drop(p ServerProcess) {
	o.count -= len(o.byProcess[p])
	delete(o.byProcess, p)
}

// Confirm returns the answers of a process that ended before a time at which it was alive.
func (o *OpenAnswers) Confirm(p ServerProcess, aliveAt time.Time) (complete []OpenAnswer) {
	return o.take(p, func(a OpenAnswer) bool { return a.EndedAt.Before(aliveAt) })
}

// take removes and returns the answers of a process that match.
func (o *OpenAnswers) take(p ServerProcess, match func(OpenAnswer) bool) (taken []OpenAnswer) {
	var left []OpenAnswer
	for _, a := range o.byProcess[p] {
		if match(a) {
			taken = append(taken, a)
			continue
		}
		left = append(left, a)
	}
	o.count -= len(taken)
	if len(left) == 0 {
		delete(o.byProcess, p)
	} else {
		o.byProcess[p] = left
	}
	return taken
}

// RemoveExpired drops the answers that were not confirmed within the proof timeout.
func (o *OpenAnswers) RemoveExpired(now time.Time) {
	for p := range o.byProcess {
		o.take(p, func(a OpenAnswer) bool { return now.Sub(a.EndedAt) > proofTimeout })
	}
}
