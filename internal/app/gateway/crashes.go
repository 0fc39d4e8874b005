package gateway

import (
	"context"
	"time"

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
// complete answer that is no failure and a connection that the server broke are evidence. A caller that
// disconnected, a passed deadline, a server that was leaving and another entry host are not.
func (g *Gateway) recordServerOutcome(ctx context.Context, x *execution, c *dispatch.Choice, res result) {
	switch {
	case c.Server == nil:
	case res.stage == retry.Answered, res.outcome == dispatch.Failed && res.fallback != nil:
		g.recordWholeAnswer(x, c.Server, res)
	case ctx.Err() != nil || res.outcome != dispatch.ConnectionFailed || res.stage == retry.BeforeSend:
	default:
		g.recordBreak(x, c.Server)
	}
}

// recordWholeAnswer records a server's complete answer. A failure proves nothing: a server may fail a
// request before it runs it. Only a success proves the parts of the prompt sound, at the server's
// release.
func (g *Gateway) recordWholeAnswer(x *execution, s *dispatch.Server, res result) {
	b, e, replaced, left := g.breakOf(x, s)
	subjects := x.subjects
	if !isSuccess(res.status) || g.releaseOf(s) == nil {
		subjects.Parts = nil
	}
	switch {
	case isFailure(res.status):
	case !res.openEnded:
		g.o.CrashWatch.RecordAnswer(subjects, e.Release)
	case !replaced && !left:
		g.o.CrashWatch.RecordOpenAnswer(b, subjects, e)
	}
}

// recordResponse records that a server's process responded to an attempt that was sent to it at a
// time, unless another process may have taken over its ID.
func (g *Gateway) recordResponse(s *dispatch.Server, sentAt time.Time) {
	if g.releaseOf(s) == nil {
		return
	}
	g.mu.Lock()
	process := processOf(s)
	g.mu.Unlock()
	g.o.CrashWatch.RecordResponse(process, sentAt)
}

func processOf(s *dispatch.Server) quarantine.ServerProcess {
	return quarantine.ServerProcess{ID: s.ID, StartID: s.Start}
}

// breakOf describes a server whose connection ended, and whether its process is known to have been
// replaced or to have left.
func (g *Gateway) breakOf(x *execution, s *dispatch.Server) (b quarantine.ConnectionBreak, e quarantine.Evidence, replaced, left bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b = quarantine.ConnectionBreak{Process: processOf(s), Address: s.Address}
	e = quarantine.Evidence{Team: x.teamName(), Service: x.service, Release: s.Release}
	return b, e, s.Replaced(), g.fleet.IsGone(s) || s.Leaving
}

func (g *Gateway) recordBreak(x *execution, s *dispatch.Server) {
	b, e, replaced, left := g.breakOf(x, s)
	switch {
	case replaced:
		g.o.CrashWatch.RecordCrash(b, x.subjects, e)
	case left:
	case x.route.Idempotent():
		// Wait for the check: the next server is chosen by its result.
		g.o.CrashWatch.RecordBreak(b, x.subjects, e)
	default:
		g.o.CrashWatch.RecordBreakLater(b, x.subjects, e)
	}
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
