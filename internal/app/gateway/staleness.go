package gateway

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// controlLogState is the state of a control host as of its last log line.
type controlLogState struct {
	contacted, unanswered, stale bool
}

// logControl logs that a control host answers for the first time, stops answering, answers
// again, becomes out of date, or is up to date again.
func (g *Gateway) logControl(logged *controlLogState, addr string, view *pb.FleetView, err error) {
	if err != nil {
		if logged.contacted && !logged.unanswered {
			g.o.Log.Info("control host did not answer", "peer", addr, "reason", err.Error(), "config_version", g.Version())
		}
		logged.unanswered = logged.contacted
		return
	}
	if !logged.contacted || logged.unanswered {
		g.o.Log.Info("control host answered", "peer", addr, "failure_domain", view.HomeDomain, "staleness_ms", view.StalenessMs)
	}
	logged.contacted, logged.unanswered = true, false
	stale := milliseconds(view.StalenessMs) > controlhosts.MaxStaleness
	if stale == logged.stale {
		return
	}
	logged.stale = stale
	event := "control host up to date again"
	if stale {
		event = "control host out of date"
	}
	g.o.Log.Info(event, "peer", addr, "failure_domain", view.HomeDomain, "staleness_ms", view.StalenessMs, "config_version", g.Version())
}

// logFetchFailed logs that a host which announced a newer configuration did not send it. Version
// 0 is not logged: before the first change is accepted there is no configuration to send.
func (g *Gateway) logFetchFailed(addr string, have, want *pb.ConfigStamp, err error) {
	if want.GetVersion() == 0 {
		return
	}
	reason := "the host sent none"
	if err != nil {
		reason = err.Error()
	}
	g.o.Metrics.Add("config_not_fetched", 1)
	g.o.Log.Info("configuration not fetched", "from", hostPart(addr), "have", have.GetVersion(), "wanted", want.GetVersion(), "reason", reason)
}

// confirmConfig records as of which time the configuration in force is confirmed to be the
// newest: a control host that reports no newer one confirms it as of the present time minus the
// staleness of its view.
func (g *Gateway) confirmConfig(reported *pb.ConfigStamp, view *pb.FleetView) {
	if configstate.Newer(reported, g.stamp()) {
		return
	}
	at := g.o.Clock.Now().Add(-milliseconds(view.StalenessMs))
	for {
		old := g.configCurrentAt.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if g.configCurrentAt.CompareAndSwap(old, &at) {
			g.control.mu.Lock()
			defer g.control.mu.Unlock()
			close(g.control.configConfirmed)
			g.control.configConfirmed = make(chan struct{})
			return
		}
	}
}

// ConfigStaleness returns the age of the latest confirmation by a control host that the
// configuration in force is the newest; without any, the time since the host's start.
func (g *Gateway) ConfigStaleness() time.Duration {
	now := g.o.Clock.Now()
	if at := g.configCurrentAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return g.startup.Age(now)
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
