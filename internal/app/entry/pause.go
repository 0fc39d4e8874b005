package entry

import (
	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

// recordPause records and logs that a server's answer asks for a pause.
func (h *Host) recordPause(x *execution, p *placement.Place, a *port.BackendAnswer) {
	d := serverpause.Demand{For: a.Pause, Invalid: a.InvalidPause}
	if d == (serverpause.Demand{}) {
		return
	}
	now := h.o.Clock.Now()
	h.mu.Lock()
	pause, began := h.place.RecordPause(p, d, now)
	h.mu.Unlock()
	switch {
	case d.Invalid != "":
		h.o.Metrics.Add("server_pauses_invalid", 1)
		h.o.Log.Info("server pause ignored", "server", p.ServerID, "request_id", x.r.ID, "reason", "the time is neither a decimal number of seconds nor a date", "retry_after", d.Invalid)
	case began:
		h.o.Metrics.Add("server_pauses", 1)
		h.o.Log.Info("server asked for a pause", "server", p.ServerID, "address", p.Address, "status", a.Status,
			"asked_ms", d.For.Milliseconds(), "pause_ms", pause.Left(now).Milliseconds(), "repeats", pause.Repeats, "request_id", x.r.ID)
	}
}

// recordLeaving records and logs that a server's answer says that it leaves.
func (h *Host) recordLeaving(x *execution, p *placement.Place, a *port.BackendAnswer) {
	if !a.Leaving {
		return
	}
	h.mu.Lock()
	first := h.place.RecordLeaving(p)
	h.mu.Unlock()
	if first {
		h.o.Metrics.Add("servers_leaving_by_answer", 1)
		h.o.Log.Info("server says that it leaves", "server", p.ServerID, "address", p.Address, "status", a.Status, "request_id", x.r.ID)
	}
}

// maySend reports whether a request may still be sent to a place.
func (h *Host) maySend(p *placement.Place) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.place.MaySend(p, h.o.Clock.Now())
}

// withPause adds the time at which a server can be used again to the refusal of a request that servers turned
// away, if all of them have asked for pauses.
func (h *Host) withPause(x *execution, f *failure.Error) *failure.Error {
	if f.Outcome != failure.NotRun || f.RetryAfter > 0 || f.Code != failure.BackendRefused {
		return f
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	out := *f
	out.RetryAfter = h.place.RetryAfterPauses(x.job(), h.o.Clock.Now())
	return &out
}
