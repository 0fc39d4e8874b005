package gateway

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
)

// pauseCause is the probable cause of a pause between two events of a stream.
type pauseCause string

// Causes, in the order in which they are examined.
const (
	causeResumed       pauseCause = "resumed"        // another attempt went on with the stream
	causeSlowPeriod    pauseCause = "slow_period"    // the server is slower for a moment
	causePromptPending pauseCause = "prompt_pending" // the server prefills prompts
	causeSlowServer    pauseCause = "slow_server"    // the server is always slower than others
	causeCrowdedBatch  pauseCause = "crowded_batch"  // most slots of the server are taken
	causeUnknown       pauseCause = "unknown"
)

// Parameters of the attribution.
const (
	// slowPeriodRatio is the ratio of the momentary to the steady factor from which a server is in a slow period.
	slowPeriodRatio = 1.5
	// slowServerFactor is the steady factor from which a server counts as slow.
	slowServerFactor = 1.1
	// pendingShare is the prefill from which a prompt counts as pending, as a share of the gap target: an
	// engine that is 2.4 times slower for a moment needs the whole target for it.
	pendingShare = 0.4
	// crowdedShare is the share of a server's slots from which its batch is crowded.
	crowdedShare = 0.8
	// maxSendTime is the time for sending an event to the caller above which the interval to the next one is not that of
	// the server: this host then reads the event only after it has waited for the caller.
	maxSendTime = 10 * time.Millisecond
	// pauseLogInterval is the shortest time between two log lines about pauses.
	pauseLogInterval = 100 * time.Millisecond
)

// eventPauses is the record of the pauses between the events of a stream.
type eventPauses struct {
	server  *dispatch.Server // that sent the last event
	eventAt time.Time        // arrival of the last event; zero before the first one
	sentAt  time.Time        // when that event had been sent to the caller
	state   dispatch.StreamState
	count   int
	worst   eventPause
}

// eventPause is a pause that exceeds the route's gap target.
type eventPause struct {
	took      time.Duration
	cause     pauseCause
	server    string
	nextEvent uint64
	state     dispatch.StreamState
}

// recordEvent records that a complete event of a stream has arrived, and the interval to the one before it.
func (g *Gateway) recordEvent(x *execution, c *dispatch.Choice) {
	if c.Server == nil {
		return
	}
	gap := time.Duration(x.route.GapTargetMS) * time.Millisecond
	now := g.o.Clock.Now()
	p := &x.pauses
	interval, resumed := now.Sub(p.eventAt), p.server != c.Server
	known := !p.eventAt.IsZero() && p.sentAt.Sub(p.eventAt) <= maxSendTime
	state := g.recordInterval(c, interval, known && !resumed, gap > 0, now)
	if known && gap > 0 && interval > gap {
		g.recordStreamPause(x, c, interval, causeOf(p.state, state, resumed, gap), state)
	}
	p.server, p.eventAt, p.state = c.Server, now, state
}

// recordInterval gives the fleet the interval between two events, if it is known and that of one server. It returns
// the state of the server if the stream has a gap target.
func (g *Gateway) recordInterval(c *dispatch.Choice, interval time.Duration, known, hasGap bool, now time.Time) (state dispatch.StreamState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known {
		g.fleet.RecordEventInterval(c, interval, now)
	}
	if hasGap {
		state = g.fleet.StreamStateOf(c, now)
	}
	if hasGap && known {
		g.fleet.RecordEventSpacing(c, interval, now)
	}
	return state
}

func (g *Gateway) recordStreamPause(x *execution, c *dispatch.Choice, took time.Duration, cause pauseCause, state dispatch.StreamState) {
	p := &x.pauses
	if p.count++; p.count == 1 {
		g.o.Metrics.Add("streams_paused", 1)
	}
	g.o.Metrics.Add("stream_pauses_"+string(cause), 1)
	g.o.Metrics.Add("stream_pauses_"+string(cause)+"_"+c.Server.Service, 1)
	g.o.Metrics.Observe("stream_pause", took)
	if took > p.worst.took {
		p.worst = eventPause{took: took, cause: cause, server: c.Server.ID, nextEvent: x.lastEvent + 1, state: worse(p.state, state)}
	}
}

// worse joins the states at the begin and at the end of a pause. The prefill that caused it may be complete by
// the end, and a slow period may have begun within it.
func worse(before, after dispatch.StreamState) dispatch.StreamState {
	after.PendingMS = math.Max(before.PendingMS, after.PendingMS)
	after.RecentMS = math.Max(before.RecentMS, after.RecentMS)
	after.Requests = math.Max(before.Requests, after.Requests)
	after.WorkFactor = math.Max(before.WorkFactor, after.WorkFactor)
	return after
}

// causeOf returns the probable cause of a pause from the states of the server at its begin and end.
func causeOf(before, after dispatch.StreamState, resumed bool, gap time.Duration) pauseCause {
	s := worse(before, after)
	// Prompts that came and were prefilled within the pause are part of the recent prefill.
	prefillMS := math.Max(s.PendingMS, s.RecentMS*gap.Seconds())
	switch {
	case resumed:
		return causeResumed
	case s.WorkFactor >= slowPeriodRatio*s.SteadyFactor:
		return causeSlowPeriod
	case prefillMS >= pendingShare*float64(gap.Milliseconds()):
		return causePromptPending
	case s.SteadyFactor >= slowServerFactor:
		return causeSlowServer
	case s.Requests >= crowdedShare*s.Slots:
		return causeCrowdedBatch
	}
	return causeUnknown
}

// logPauses writes the log line about a stream's pauses, with the longest one, unless another such line was
// written just before.
func (g *Gateway) logPauses(x *execution) {
	if x == nil || x.pauses.count == 0 || !g.mayLogPauses() {
		return
	}
	w := x.pauses.worst
	g.o.Log.Info("stream paused", "request_id", x.r.ID, "route", x.route.Name, "service", x.service, "server", w.server, "pauses", x.pauses.count,
		"longest_ms", w.took.Milliseconds(), "gap_target_ms", x.route.GapTargetMS, "cause", string(w.cause), "next_event", w.nextEvent,
		"pending_prefill_ms", int(w.state.PendingMS), "recent_prefill_ms_per_s", int(w.state.RecentMS), "server_requests", int(w.state.Requests), "slots", int(w.state.Slots),
		"work_factor", w.state.WorkFactor, "steady_factor", w.state.SteadyFactor)
}

func (g *Gateway) mayLogPauses() bool {
	now := g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.streamPauseLoggedAt) < pauseLogInterval {
		return false
	}
	g.streamPauseLoggedAt = now
	return true
}
