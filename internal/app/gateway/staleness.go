package gateway

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// controlSeen is what this host last wrote to its log of one control host.
type controlSeen struct {
	heard, silent, stale bool
}

// logControl writes when a control host is first heard, falls silent, is heard again, or
// begins or ceases to be out of date.
func (g *Gateway) logControl(seen *controlSeen, addr string, view *pb.FleetView, err error) {
	if err != nil {
		if seen.heard && !seen.silent {
			g.o.Log.Info("control host silent", "peer", addr, "reason", err.Error(), "config_version", g.Version())
		}
		seen.silent = seen.heard
		return
	}
	if !seen.heard || seen.silent {
		g.o.Log.Info("control host heard", "peer", addr, "failure_domain", view.HomeDomain, "staleness_ms", view.StalenessMs)
	}
	seen.heard, seen.silent = true, false
	stale := milliseconds(view.StalenessMs) > controlhosts.MaxStaleness
	if stale == seen.stale {
		return
	}
	seen.stale = stale
	event := "control host up to date again"
	if stale {
		event = "control host out of date"
	}
	g.o.Log.Info(event, "peer", addr, "failure_domain", view.HomeDomain, "staleness_ms", view.StalenessMs, "config_version", g.Version())
}

// logNotFetched writes that a host which named a newer configuration did not give it. Before
// the first change is accepted there is none to give.
func (g *Gateway) logNotFetched(addr string, have, want *pb.ConfigStamp, err error) {
	if want.GetVersion() == 0 {
		return
	}
	reason := "it gave none"
	if err != nil {
		reason = err.Error()
	}
	g.o.Metrics.Add("config_not_fetched", 1)
	g.o.Log.Info("configuration not fetched", "from", hostPart(addr), "have", have.GetVersion(), "wanted", want.GetVersion(), "reason", reason)
}

// noteCurrent notes as of when the configuration in force here is the newest: a control
// host that told of no newer one vouches for it.
func (g *Gateway) noteCurrent(told *pb.ConfigStamp, view *pb.FleetView) {
	if configstate.Newer(told, g.stamp()) {
		return
	}
	at := g.o.Clock.Now().Add(-milliseconds(view.StalenessMs))
	for {
		old := g.currentAt.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if g.currentAt.CompareAndSwap(old, &at) {
			g.control.mu.Lock()
			defer g.control.mu.Unlock()
			close(g.control.vouched)
			g.control.vouched = make(chan struct{})
			return
		}
	}
}

// ConfigStaleness returns for how long no control host has vouched that the configuration
// in force here is the newest: at most since the host's start.
func (g *Gateway) ConfigStaleness() time.Duration {
	now := g.o.Clock.Now()
	if at := g.currentAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return g.startup.Age(now)
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
