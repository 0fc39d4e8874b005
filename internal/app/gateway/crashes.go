package gateway

import (
	"context"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/retry"
)

// fingerprintOf identifies what the request asks a server to run. The caller is its team, which
// may change its keys; without one it is named by its credentials, where it has any.
func fingerprintOf(r *Request, team *configstate.Team) quarantine.Fingerprint {
	caller := r.Header.Get("Authorization")
	if team != nil {
		caller = team.Name
	}
	return quarantine.Identity{
		Caller: caller, Method: r.Method, Host: r.Host, Target: r.URI, Body: r.Body,
	}.Fingerprint()
}

// noteSurvival tells the watch how the attempt went for its server. Only an answer that came
// to its end, and a connection that the server ended, say anything of it: not a caller that
// left, a deadline, a server that was leaving, or another entry host.
func (g *Gateway) noteSurvival(ctx context.Context, x *execution, c *dispatch.Choice, res result) {
	switch {
	case c.Server == nil:
	case res.point == retry.Answered, res.outcome == dispatch.Failed && res.keep != nil:
		g.o.Crashes.Served(x.fingerprint)
	case ctx.Err() != nil || res.outcome != dispatch.ConnectionFailed || res.point == retry.BeforeSend:
	default:
		g.noteBreak(x, c.Server)
	}
}

func (g *Gateway) noteBreak(x *execution, s *dispatch.Server) {
	g.mu.Lock()
	replaced, left := s.Replaced(), g.fleet.IsGone(s) || s.Leaving
	b := quarantine.ConnectionBreak{Start: quarantine.ServerProcess{ID: s.ID, StartID: s.Start}, Address: s.Address}
	e := quarantine.Evidence{Fingerprint: x.fingerprint, Team: x.teamName(), Service: x.service, Release: s.Release}
	g.mu.Unlock()
	switch {
	case replaced:
		g.o.Crashes.Ended(b, e)
	case left:
	case x.route.Idempotent():
		// Where it is tried next depends on what it did here.
		g.o.Crashes.Broken(b, e)
	default:
		go g.o.Crashes.Broken(b, e)
	}
}

// tellWatch tells the watch which servers a view shows. The gateway is locked.
func (g *Gateway) tellWatch() {
	g.o.Crashes.SetHosts(g.fleet.HostCount())
	if g.o.Crashes.Idle() {
		return
	}
	sightings, releases := g.fleet.Sightings()
	g.o.Crashes.Heard(sightings)
	for service, list := range releases {
		g.o.Crashes.SetReleases(service, list)
	}
}
