package dispatch

import (
	"math"

	"github.com/sesamefork/sesamefork/internal/core/quarantine"
)

// The load that isolation answers: a request that ends the server that runs it costs all
// others there their answers too. A request under which servers ended goes where few others
// are, and others go elsewhere while it runs.

// endLoss is what the end of the server would cost: for a suspected request the answers of
// all others there, for any other its own.
func (f *Fleet) endLoss(s *Server, j *Job) float64 {
	if f.off(Isolation) {
		return 0
	}
	others := float64(s.own.requests + s.others.requests + s.deferred + s.othersDeferred)
	return errorLoss * (quarantine.Suspicion(j.Ends)*others + math.Min(1, s.suspicion))
}

// endLossAway is the same for another region's mean server.
func (f *Fleet) endLossAway(r *region, j *Job) float64 {
	if f.off(Isolation) || r.servers == 0 {
		return 0
	}
	return errorLoss * quarantine.Suspicion(j.Ends) * r.requests / r.servers
}
