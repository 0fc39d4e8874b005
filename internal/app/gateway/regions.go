package gateway

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Times of asking other regions for their loads.
const (
	askRegionsEvery  = 250 * time.Millisecond
	askRegionTimeout = 500 * time.Millisecond
)

// askRegions asks entry hosts of the regions of which no control host tells, until ctx ends.
// A host without requests asks nothing.
func (g *Gateway) askRegions(ctx context.Context) {
	t := time.NewTicker(askRegionsEvery)
	defer t.Stop()
	for {
		if g.Inflight() == 0 && !g.awaitRequest(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.mu.Lock()
		hosts := g.fleet.HostsToQuery(g.o.Clock.Now())
		g.mu.Unlock()
		for _, h := range hosts {
			go g.askRegion(ctx, h)
		}
	}
}

// awaitRequest waits until a request comes. It reports whether one came before ctx ended.
func (g *Gateway) awaitRequest(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.busy:
		return true
	}
}

func (g *Gateway) askRegion(ctx context.Context, h *dispatch.Host) {
	ctx, cancel := context.WithTimeout(ctx, askRegionTimeout)
	defer cancel()
	began := g.o.Clock.Now()
	req := g.request()
	req.Body = &pb.Request_RegionQuery{RegionQuery: &pb.RegionQuery{}}
	resp, err := g.o.Peers.Call(ctx, h.Peer, req)
	now := g.o.Clock.Now()
	var loads []*pb.RegionLoad
	if err == nil {
		loads = resp.GetRegionLoads().GetLoads()
	}
	g.o.Metrics.Add("regions_asked", 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.ApplyRegionLoads(h, loads, began.Add(now.Sub(began)/2), now)
}

// regionLoads answers an entry host of another region.
func (g *Gateway) regionLoads() *pb.RegionLoads {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &pb.RegionLoads{Loads: g.fleet.RegionLoads(g.o.Clock.Now())}
}
