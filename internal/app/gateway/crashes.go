package gateway

import (
	"context"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/retry"
)

// subjectsOf returns what a request to a service is judged by.
func subjectsOf(r *Request, team *configstate.Team, service string) quarantine.Subjects {
	return quarantine.NewSubjects(fingerprintOf(r, team), callerOf(r, team), service, r.Prompt.partIDs())
}

// fingerprintOf identifies what a request asks a server to run.
func fingerprintOf(r *Request, team *configstate.Team) quarantine.Fingerprint {
	return quarantine.Identity{
		Caller: callerOf(r, team), Method: r.Method, Host: r.Host, Target: r.URI, Body: r.Body,
	}.Fingerprint()
}

// callerOf identifies the caller by its team, whose keys may change, or by its credentials if it
// has no team.
func callerOf(r *Request, team *configstate.Team) string {
	if team != nil {
		return team.Name
	}
	return r.Header.Get("Authorization")
}

// partIDs returns the IDs of the prompt's parts, in order.
func (p *Prompt) partIDs() []string {
	if p == nil {
		return nil
	}
	ids := make([]string, 0, min(len(p.Parts), quarantine.MaxJudgedParts+1))
	for _, part := range p.Parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// recordServerOutcome reports to the crash watch how an attempt ended for its server. Only a
// complete answer and a connection that the server broke are evidence. A caller that
// disconnected, a passed deadline, a server that was leaving and another entry host are not.
func (g *Gateway) recordServerOutcome(ctx context.Context, x *execution, c *dispatch.Choice, res result) {
	switch {
	case c.Server == nil:
	case res.stage == retry.Answered, res.outcome == dispatch.Failed && res.fallback != nil:
		g.o.CrashWatch.RecordAnswer(x.subjects, g.serverRelease(c.Server))
	case ctx.Err() != nil || res.outcome != dispatch.ConnectionFailed || res.stage == retry.BeforeSend:
	default:
		g.recordBreak(x, c.Server)
	}
}

func (g *Gateway) recordBreak(x *execution, s *dispatch.Server) {
	g.mu.Lock()
	replaced, left := s.Replaced(), g.fleet.IsGone(s) || s.Leaving
	b := quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: s.ID, StartID: s.Start}, Address: s.Address}
	e := quarantine.Evidence{Team: x.teamName(), Service: x.service, Release: s.Release}
	g.mu.Unlock()
	switch {
	case replaced:
		g.o.CrashWatch.RecordCrash(b, x.subjects, e)
	case left:
	case x.route.Idempotent():
		// Wait for the check: the next server is chosen by its result.
		g.o.CrashWatch.RecordBreak(b, x.subjects, e)
	default:
		go g.o.CrashWatch.RecordBreak(b, x.subjects, e)
	}
}

// serverRelease returns the release that a server announced last.
func (g *Gateway) serverRelease(s *dispatch.Server) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.Release
}

// updateCrashWatch passes the servers of a new view to the crash watch. g.mu must be held.
func (g *Gateway) updateCrashWatch() {
	g.o.CrashWatch.SetHosts(g.fleet.HostCount())
	if g.o.CrashWatch.Idle() {
		return
	}
	sightings, releases := g.fleet.LastAnnouncements()
	g.o.CrashWatch.ObserveAnnouncements(sightings)
	for service, list := range releases {
		g.o.CrashWatch.SetReleases(service, list)
	}
}
