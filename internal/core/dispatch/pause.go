package dispatch

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverpause"
)

// Pause returns the state of the pauses that a server asked of this host.
func (f *Fleet) Pause(s *Server) serverpause.Pause { return f.pauses.Get(s.key) }

// RecordPause records that an answer to the attempt asks for a pause. It returns the state of the server's
// pauses, and whether the answer began one.
func (f *Fleet) RecordPause(c *Choice, d serverpause.Demand, now time.Time) (p serverpause.Pause, began bool) {
	if c.Server == nil {
		return p, false
	}
	return f.pauses.Record(c.Server.key, d, f.o.Random(), now)
}
