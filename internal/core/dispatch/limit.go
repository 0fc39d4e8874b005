package dispatch

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
)

// Limit returns the limit that a server advertises.
func (f *Fleet) Limit(s *Server) serverlimit.Limit { return f.limits.Get(s.key) }

// RecordLimit records what an answer to the attempt says about the server's limit. withdraws is set if
// the server names its limit in answers like this one. It returns the limit before, and whether the
// limit has another rate now.
func (f *Fleet) RecordLimit(c *Choice, a serverlimit.Advertisement, withdraws bool, now time.Time) (before serverlimit.Limit, changed bool) {
	if c.Server == nil {
		return before, false
	}
	before = f.Limit(c.Server)
	return before, f.limits.Observe(c.Server.key, a, c.limitRevision, withdraws, now)
}
