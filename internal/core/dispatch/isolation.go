package dispatch

import (
	"math"
	"slices"

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

// Sightings returns the servers that are known, and the releases that the usable ones of each
// service run.
func (f *Fleet) Sightings() (servers []quarantine.Sighting, releases map[string][]string) {
	releases = map[string][]string{}
	for _, s := range f.servers {
		servers = append(servers, quarantine.Sighting{Start: quarantine.Start{ID: s.ID, Born: s.Start}, Address: s.Address, HeardAt: s.ConfirmedAt})
		if !s.Leaving && !f.missing(s) && !slices.Contains(releases[s.Service], s.Release) {
			releases[s.Service] = append(releases[s.Service], s.Release)
		}
	}
	return servers, releases
}
