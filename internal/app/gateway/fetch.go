package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Times of a configuration that another entry host has.
const (
	// catchUpTimeout bounds asking the sender of a request for its configuration: two round
	// trips between regions 80 ms apart, one of them lost.
	catchUpTimeout = 600 * time.Millisecond
	// catchUpPause follows a failure: requests that come meanwhile are refused at once.
	catchUpPause = time.Second
)

// catchUp takes the configuration of an entry host that sent a request and has a newer one.
// A region whose control hosts are cut from the group's leader, but not from all regions,
// learns of changes so: while two of three regions could not reach each other, 600 forwards
// between the third and one of them were refused in eight seconds. It reports whether the
// sender's configuration is in force here now.
func (g *Gateway) catchUp(ctx context.Context, req *pb.Request) bool {
	now := g.o.Clock.Now().UnixNano()
	if now-g.fetchFailed.Load() < int64(catchUpPause) {
		return false
	}
	g.mu.Lock()
	addr := g.fleet.PeerAddress(req.From)
	g.mu.Unlock()
	if addr == "" {
		return false
	}
	g.fetch(ctx, addr, req.Stamp, catchUpTimeout)
	if configstate.Newer(req.Stamp, g.stamp()) {
		g.fetchFailed.Store(now)
		return false
	}
	return true
}

// fetch installs another host's configuration when it is newer; want is the least that is
// asked for.
func (g *Gateway) fetch(ctx context.Context, addr string, want *pb.ConfigStamp, timeout time.Duration) {
	g.fetching.Lock()
	defer g.fetching.Unlock()
	have := g.stamp()
	if !configstate.Newer(want, have) {
		return // another call has fetched it
	}
	req := g.request()
	req.Body = &pb.Request_ConfigFetch{ConfigFetch: &pb.ConfigFetch{HaveGeneration: have.Generation, HaveVersion: have.Version}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	resp, err := g.o.Peers.Call(ctx, addr, req)
	if err != nil || resp.GetConfig() == nil {
		g.logNotFetched(addr, have, want, err)
		return
	}
	next, err := configstate.Install(g.config.Load(), resp.GetConfig(), g.o.VerifyKey)
	if err != nil {
		g.o.Metrics.Add("config_refused", 1)
		g.o.Log.Info("configuration refused", "version", resp.GetConfig().GetStamp().GetVersion(), "reason", err.Error())
		return
	}
	g.config.Store(next)
	g.o.Metrics.Add("config_installed", 1)
	g.o.Log.Info("configuration in force", "version", next.Stamp.Version, "routes", len(next.Record.Routes), "from", hostPart(addr))
}

func hostPart(addr string) string {
	h, _, _ := strings.Cut(addr, ":")
	return h
}
