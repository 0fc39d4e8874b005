// Package serverpause represents what backend servers ask of one entry host in their answers: pauses,
// in which they get no requests from it, with the slow start after each of them; and no requests any
// more, as they leave. It does no I/O and reads no clock.
//
// A pause belongs to a server process, not to its address, a connection or an attempt. It binds the
// entry host that was asked.
//
// Invariants:
//   - A process that has said that it leaves gets no requests any more, and the next one under its ID
//     is not bound by that.
//   - No answer, announcement or view shortens a pause: of two, the later end holds.
//   - A pause ends before its time only with its process, once an announcement proves that this
//     process had sent the answer.
package serverpause

import "time"

const (
	// MaxPause bounds a pause that a server asks for.
	MaxPause = 24 * time.Hour
	// SlowStart is the time after a pause in which the server's share of requests rises to the whole.
	SlowStart = 1500 * time.Millisecond
	// repeatWindow is the time after a pause in which another one counts as its repetition.
	repeatWindow = 10 * time.Second
	// maxSpread bounds the random time that is added to a pause, so that hosts that were asked at
	// the same time do not return together.
	maxSpread = 300 * time.Millisecond
	// spreadFraction bounds the added time as a fraction of the pause.
	spreadFraction = 0.1
	// leavingRetention is how long it is kept that a process leaves: longer than any server takes to leave.
	leavingRetention = time.Hour
	// maxUnprovenPause bounds a pause of a process for which its predecessor may have asked.
	maxUnprovenPause = 10 * time.Second
)

// Demand is what one answer of a server says about a pause. The zero value is that of an answer that
// asks for none.
type Demand struct {
	For time.Duration // 0 if the server asks for no pause
	// Invalid is the text of a demand that cannot be decoded, cut short; "" otherwise.
	Invalid string
}

// State is what one server process has asked of this host. The zero value is that of a process that
// never asked for one.
type State struct {
	AskedAt time.Time // when the last answer that asked for a pause was received
	Until   time.Time
	// Repeats is the number of pauses before this one that each began soon after the one before.
	Repeats int
	// LeavingSince is when the process first said that it leaves; zero for never.
	LeavingSince time.Time
}

// After returns the state after an answer that asks for a pause. random is in [0, 1).
func (p State) After(d Demand, random float64, now time.Time) State {
	if d.For <= 0 {
		return p
	}
	asked := min(d.For, MaxPause)
	until := now.Add(asked + time.Duration(random*float64(min(maxSpread, time.Duration(spreadFraction*float64(asked))))))
	switch {
	case p.Until.IsZero(), now.After(p.Until.Add(repeatWindow)):
		p.Repeats = 0
	case now.After(p.Until):
		p.Repeats++
	}
	p.AskedAt = now
	if until.After(p.Until) {
		p.Until = until
	}
	return p
}

// Leaving reports whether the process has said that it leaves.
func (p State) Leaving() bool { return !p.LeavingSince.IsZero() }

// Left returns the rest of the pause; 0 if there is none.
func (p State) Left(now time.Time) time.Duration { return max(0, p.Until.Sub(now)) }

// Share returns the fraction of its requests that the server may get: 0 in a pause, then rising to 1
// over SlowStart.
func (p State) Share(now time.Time) float64 {
	if p.Until.IsZero() {
		return 1
	}
	return min(1, max(0, now.Sub(p.Until).Seconds()/SlowStart.Seconds()))
}

// Succeeded returns the state of the process that replaces one under its ID. heardAfter is a time after
// which the old process is known to have run: it then sent the answer if that had been received before.
// Otherwise the new process may have sent it.
func (p State) Succeeded(heardAfter, now time.Time) State {
	if p.Left(now) == 0 || heardAfter.After(p.AskedAt) {
		return State{}
	}
	if latest := p.AskedAt.Add(maxUnprovenPause); p.Until.After(latest) {
		p.Until = latest
	}
	p.Repeats, p.LeavingSince = 0, time.Time{}
	return p
}

// expired reports whether the state has no effect any more.
func (p State) expired(now time.Time) bool {
	return now.After(p.Until.Add(repeatWindow)) && now.After(p.LeavingSince.Add(leavingRetention))
}
