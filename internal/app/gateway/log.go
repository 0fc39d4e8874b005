package gateway

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// maxConsideredLogged bounds the candidates listed in a log line.
const maxConsideredLogged = 4

// logChoice logs the server or region chosen for an attempt, with the values that decided it.
func (g *Gateway) logChoice(x *execution, c *dispatch.Choice, now time.Time) {
	if !g.o.Log.Enabled() {
		return
	}
	kv := []any{
		"request_id", x.r.ID, "route", x.route.Name, "team", x.teamName(), "service", x.service, "attempt", x.sends + 1,
		"config_version", x.version, "config_staleness_ms", g.ConfigStaleness().Milliseconds(), "remaining_ms", x.deadline.Sub(now).Milliseconds(), "view_age_ms", g.fleet.ViewAge(now).Milliseconds(),
	}
	if x.r.Origin != "" {
		kv = append(kv, "origin_region", x.r.Origin)
	}
	if _, revision := g.fleet.Evacuations(); revision > 0 {
		kv = append(kv, "evacuation_revision", revision)
	}
	if x.lastEvent > 0 {
		kv = append(kv, "resume_after", x.lastEvent, "resumes", x.r.Resumes)
	}
	if x.classes != nil {
		kv = append(kv, "class", x.class)
	}
	if t := c.RegionDraw; t != nil {
		kv = append(kv, "turn", t.Region, "asked_per_s", int(t.ArrivalsPerSecond), "can_run_per_s", int(t.CapacityPerSecond), "waiting", int(t.Waiting))
	}
	switch {
	case c.Refused != "":
		kv = append(kv, "outcome", "refused", "reason", c.Refused, "retry_after_ms", c.RetryAfter.Milliseconds(), "considered", summarize(c.Considered))
	case c.Server != nil:
		requests, prompt, memory := c.Server.Load()
		kv = append(kv, "server_requests", requests, "server_prompt_tokens", int(prompt), "server_memory_tokens", int(memory))
		kv = append(kv, "outcome", "server", "server", c.Server.ID, "address", c.Server.Address, "failure_domain", c.Server.FailureDomain, "release", c.Server.Release, "estimate_ms", int(c.EstimateMS), "uncovered_tokens", int(c.UncoveredTokens))
		if reason := g.fleet.ColdReason(c.Server, now); reason != "" {
			kv = append(kv, "cold", string(reason))
		}
		if l := g.fleet.Limit(c.Server); l.InForce() {
			kv = append(kv, "limit_per_s", l.PerSecond, "limit_revision", l.Revision, "limit_share_per_s", c.Server.LimitShare())
		}
		if p := g.fleet.Pause(c.Server); p.Share(now) < 1 {
			kv = append(kv, "pause_ms", p.Left(now).Milliseconds(), "slow_start_share", p.Share(now))
		}
		if w, reported := g.fleet.WorkFactor(c.Server, now); reported {
			kv = append(kv, "work_factor", w.Factor, "work_factor_source", string(w.Source), "work_factor_age_ms", w.AgeMS)
		}
		if c.Overfills() {
			kv = append(kv, "memory_full", true)
		}
		if c.Deferred {
			kv = append(kv, "deferred", true)
		}
		if c.CopyFrom != "" {
			kv = append(kv, "copy_from", c.CopyFrom)
		}
	default:
		kv = append(kv, "outcome", "region", "region", c.Host.Region, "entry_host", c.Host.ID, "estimate_ms", int(c.EstimateMS))
	}
	g.o.Log.Info("place chosen", kv...)
}

// logEvacuations logs the list of evacuated failure domains that a control host's view has brought into force here, if
// its revision is not the one before.
func (g *Gateway) logEvacuations(before uint64, v *pb.FleetView, source string) {
	domains, revision := g.fleet.Evacuations()
	if revision == before {
		return
	}
	g.o.Metrics.Add("evacuations_changed", 1)
	g.o.Log.Info("evacuations in force", "evacuated", domains, "evacuation_revision", revision, "revision_before", before,
		"control_host", source, "staleness_ms", v.StalenessMs)
}

// logMemoryCrashes logs the servers that replace one that counts as crashed by memory.
func (g *Gateway) logMemoryCrashes() {
	for _, s := range g.fleet.TakeMemoryCrashes() {
		g.o.Metrics.Add("servers_crashed_by_memory", 1)
		g.o.Log.Info("server replaced after a crash by memory", "server", s.ID, "start", s.Start, "service", s.Service, "failure_domain", s.FailureDomain)
	}
}

// logColdChanges logs each server that has become cold or warm for this host, with the
// announcement that decided it.
func (g *Gateway) logColdChanges() {
	now := g.o.Clock.Now()
	for _, c := range g.fleet.ColdChanges(now) {
		state := "warm"
		if c.Reason != "" {
			state = "cold"
		}
		g.o.Metrics.Add("servers_became_"+state, 1)
		g.o.Log.Info("server treated as "+state, "server", c.Server.ID, "start", c.Server.Start, "failure_domain", c.Server.FailureDomain,
			"reason", string(c.Reason), "cold_ms", c.Left.Milliseconds(), "sequence", c.Sequence, "announcement_age_ms", c.AnnouncementAge.Milliseconds(),
			"control_host", c.Source, "sent_after_revision", c.SentAfterRevision, "restored_revision", c.RestoredRevision)
	}
}

// logLimit logs that a server's limit has another rate for this host. source is "answer" or the control
// host that reported it, and requestID the request that was answered.
func (g *Gateway) logLimit(s *dispatch.Server, before serverlimit.Limit, source, requestID string) {
	l := g.fleet.Limit(s)
	g.o.Metrics.Add("server_limits_changed", 1)
	g.o.Log.Info("server limit changed", "server", s.ID, "start", s.Start, "service", s.Service, "address", s.Address, "failure_domain", s.FailureDomain,
		"limit_per_s", l.PerSecond, "limit_before_per_s", before.PerSecond, "limit_revision", l.Revision, "source", source, "request_id", requestID)
}

// invalidLimitLogInterval is the shortest time between two log lines about limits that cannot be decoded.
const invalidLimitLogInterval = 5 * time.Second

func (g *Gateway) logInvalidLimit(x *execution, s *dispatch.Server, text string, now time.Time) {
	g.o.Metrics.Add("server_limits_invalid", 1)
	if now.Sub(g.invalidLimitLoggedAt) < invalidLimitLogInterval {
		return
	}
	g.invalidLimitLoggedAt = now
	g.o.Log.Info("server limit ignored", "server", s.ID, "request_id", x.r.ID, "reason", "the limit is no decimal number", "limit", text)
}

// A server asks for pauses at a light load from minRepeats repeated pauses on, with minSlotsPerRequest slots or
// more for each of the region's requests.
const (
	minRepeats         = 2
	minSlotsPerRequest = 4
)

// logPause logs that a server asks this host for a pause.
func (g *Gateway) logPause(x *execution, s *dispatch.Server, a *Answer, p serverpause.State, now time.Time) {
	requests, _, _ := s.Load()
	g.o.Metrics.Add("server_pauses", 1)
	g.o.Metrics.Add("server_pauses_"+s.Service, 1)
	lightLoad := p.Repeats >= minRepeats && requests*minSlotsPerRequest < s.Slots
	if lightLoad {
		g.o.Metrics.Add("server_pauses_at_light_load", 1)
	}
	g.o.Log.Info("server asked for a pause", "server", s.ID, "start", s.Start, "service", s.Service, "address", s.Address, "failure_domain", s.FailureDomain,
		"status", a.Status, "asked_ms", a.Pause.For.Milliseconds(), "pause_ms", p.Left(now).Milliseconds(), "repeats", p.Repeats, "light_load", lightLoad,
		"server_requests", requests, "slots", s.Slots, "request_id", x.r.ID)
}

// logLeaving logs that a server's answer says that it leaves, and no view had said so.
func (g *Gateway) logLeaving(x *execution, s *dispatch.Server, a *Answer) {
	g.o.Metrics.Add("servers_leaving_by_answer", 1)
	g.o.Log.Info("server says that it leaves", "server", s.ID, "start", s.Start, "service", s.Service, "address", s.Address, "failure_domain", s.FailureDomain,
		"status", a.Status, "request_id", x.r.ID)
}

func (g *Gateway) logInvalidPause(x *execution, s *dispatch.Server, text string, now time.Time) {
	g.o.Metrics.Add("server_pauses_invalid", 1)
	if now.Sub(g.invalidPauseLoggedAt) < invalidLimitLogInterval {
		return
	}
	g.invalidPauseLoggedAt = now
	g.o.Log.Info("server pause ignored", "server", s.ID, "request_id", x.r.ID, "reason", "the time is neither a decimal number of seconds nor a date", "retry_after", text)
}

// considered is a candidate in a log line.
type considered struct {
	Name     string `json:"name"`
	Estimate int    `json:"estimate_ms,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

func summarize(list []dispatch.Candidate) []considered {
	var out []considered
	for _, c := range list[:min(len(list), maxConsideredLogged)] {
		out = append(out, considered{c.Name, int(math.Min(c.EstimateMS, math.MaxInt32)), c.Reason})
	}
	return out
}

// logAttempt logs how an attempt failed.
func (g *Gateway) logAttempt(x *execution, c *dispatch.Choice, res result, took time.Duration) {
	if res.err == nil {
		return
	}
	place := ""
	if c.Server != nil {
		place = c.Server.ID
	} else {
		place = c.Host.ID
	}
	g.o.Log.Info("attempt failed", "request_id", x.r.ID, "attempt", x.sends, "fingerprint", x.subjects.Request.String(), "prompt_parts", x.subjects.PartIDs(), "place", place, "code", string(res.err.Code),
		"reason", res.err.Detail, "status", res.status, "took_ms", took.Milliseconds(), "last_event", x.lastEvent)
}

// logEnd counts a request by its outcome and logs its failure.
func (g *Gateway) logEnd(x *execution, r *Request, f *failure.Error) {
	took := g.o.Clock.Now().Sub(r.Arrived)
	outcome := "done"
	if f != nil {
		outcome = string(f.Outcome)
	}
	g.o.Metrics.Add("routed_"+outcome, 1)
	g.o.Metrics.Observe("routed_time_"+outcome, took)
	if f == nil {
		return
	}
	kv := []any{"request_id", r.ID, "outcome", outcome, "code", string(f.Code), "reason", f.Detail, "took_ms", took.Milliseconds(),
		"retry_after_ms", f.RetryAfter.Milliseconds(), "config_version", g.Version(),
		"config_staleness_ms", g.ConfigStaleness().Milliseconds()}
	if x != nil {
		kv = append(kv, "route", x.route.Name, "team", x.teamName(), "attempts", x.sends, "answer_begun", x.headSent)
	}
	g.o.Log.Info("request failed", kv...)
}
