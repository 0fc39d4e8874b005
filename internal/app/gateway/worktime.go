package gateway

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
)

// recordWorkTime records the work time that a server reported with its answer, also with one to a request that did
// not run. An answer that is not proved to come from the server is ignored.
func (g *Gateway) recordWorkTime(c *dispatch.Choice, a *Answer) {
	if a.WorkTime <= 0 || (a.Verdict != Ran && a.Verdict != NotRun) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RecordWorkTime(c, a.WorkTime, g.o.Clock.Now())
}

// eventTimes are the times at which the last event of a stream arrived and had been sent to the caller.
type eventTimes struct{ arrivedAt, sentAt time.Time }

// maxSendTime is the time for sending an event to the caller above which the interval to the next one is not that of
// the server: this host then reads the event only after it has waited for the caller.
const maxSendTime = 10 * time.Millisecond

// recordEvent records the interval between an event of a stream and the one before it.
func (g *Gateway) recordEvent(c *dispatch.Choice, last *eventTimes) {
	now, before := g.o.Clock.Now(), *last
	last.arrivedAt = now
	if before.arrivedAt.IsZero() || before.sentAt.Sub(before.arrivedAt) > maxSendTime {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RecordEventInterval(c, now.Sub(before.arrivedAt), now)
}
