package dispatch

import (
	"math"

	"github.com/sesamefork/sesamefork/internal/core/quarantine"
)

// A request that crashes the server that runs it also costs all other requests there their
// answers. Isolation therefore sends a request under which servers have crashed to a server
// with few other requests, and sends other requests elsewhere while it runs.

// crashLoss returns the expected loss from a crash of the server: the answers of all other
// requests there if this request crashes it, and this request's own answer if a suspected
// request there does.
func (f *Fleet) crashLoss(s *Server, j *Job) float64 {
	if f.disabled(Isolation) {
		return 0
	}
	others := float64(s.own.requests + s.others.requests + s.deferred + s.othersDeferred)
	return errorLoss * (quarantine.CrashProbability(j.ServerCrashes)*others + math.Min(1, s.expectedCrashes))
}

// regionCrashLoss returns the expected loss at an average server of another region if a
// suspected request crashes it.
func (f *Fleet) regionCrashLoss(r *region, j *Job) float64 {
	if f.disabled(Isolation) || r.servers == 0 {
		return 0
	}
	return errorLoss * quarantine.CrashProbability(j.ServerCrashes) * r.requests / r.servers
}
