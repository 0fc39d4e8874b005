package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Limits on fetching the configuration of another entry host.
const (
	// catchUpTimeout bounds a fetch from the sender of a forward. It allows for two round trips
	// between regions 80 ms apart, one of them lost.
	catchUpTimeout = 600 * time.Millisecond
	// catchUpRetryDelay is the time after a failed fetch in which forwards that require a newer
	// configuration are refused at once.
	catchUpRetryDelay = time.Second
)

// catchUp fetches the configuration of an entry host that forwarded a request and has a newer
// one. It reports whether the configuration in force is at least as new as the sender's then.
// A region whose control hosts are partitioned from the group's leader, but not from all other
// regions, receives changes in this way: while two of three regions could not reach each other,
// 600 forwards between the third and one of them were refused within 8 s.
func (g *Gateway) catchUp(ctx context.Context, req *pb.Request) bool {
	now := g.o.Clock.Now().UnixNano()
	if now-g.fetchFailedAt.Load() < int64(catchUpRetryDelay) {
		return false
	}
	g.mu.Lock()
	addr := g.fleet.PeerAddress(req.From)
	g.mu.Unlock()
	if addr == "" {
		return false
	}
	g.fetchConfig(ctx, addr, req.Stamp, catchUpTimeout)
	if configstate.Newer(req.Stamp, g.stamp()) {
		g.fetchFailedAt.Store(now)
		return false
	}
	return true
}

// fetchConfig installs another host's configuration if it is newer than the one in force. It
// returns without a call if the one in force is not older than want.
func (g *Gateway) fetchConfig(ctx context.Context, addr string, want *pb.ConfigStamp, timeout time.Duration) {
	g.fetching.Lock()
	defer g.fetching.Unlock()
	have := g.stamp()
	if !configstate.Newer(want, have) {
		return // another call fetched it meanwhile
	}
	req := g.newPeerRequest()
	req.Body = &pb.Request_ConfigFetch{ConfigFetch: &pb.ConfigFetch{HaveGeneration: have.Generation, HaveVersion: have.Version}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	resp, err := g.o.Peers.Call(ctx, addr, req)
	if err != nil || resp.GetConfig() == nil {
		g.logFetchFailed(addr, have, want, err)
		return
	}
	next, err := configstate.Install(g.config.Load(), resp.GetConfig(), g.o.VerifyKey)
	if err != nil {
		g.o.Metrics.Add("config_refused", 1)
		g.o.Log.Info("configuration refused", "version", resp.GetConfig().GetStamp().GetVersion(), "reason", err.Error())
		return
	}
	g.config.Store(next)
	g.setColdDurations(next.Record)
	g.forgetRoutes(next.Record)
	g.o.Metrics.Add("config_installed", 1)
	g.o.Log.Info("configuration in force", "version", next.Stamp.Version, "routes", len(next.Record.Routes), "from", hostPart(addr))
}

// setColdDurations passes on how long the servers of each service stay cold.
func (g *Gateway) setColdDurations(r *configstate.Record) {
	durations := map[string]time.Duration{}
	for _, s := range r.RoutedServices {
		if s.ColdSeconds > 0 || s.ColdPerSecond == 0 {
			durations[s.Name] = time.Duration(s.ColdSeconds * float64(time.Second))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.SetColdDurations(durations)
}

func hostPart(addr string) string {
	h, _, _ := strings.Cut(addr, ":")
	return h
}
