package gateway

import "github.com/sesamefork/sesamefork/internal/core/dispatch"

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
