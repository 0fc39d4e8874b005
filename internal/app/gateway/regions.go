package gateway

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Interval and time-out of queries for other regions' loads.
const (
	regionQueryInterval = 250 * time.Millisecond
	regionQueryTimeout  = 500 * time.Millisecond
)

// queryRegions queries entry hosts of the regions whose loads no control host reports, until ctx
// ends. It sends no queries while the host has no request in flight.
func (g *Gateway) queryRegions(ctx context.Context) {
	t := time.NewTicker(regionQueryInterval)
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
			go g.queryRegion(ctx, h)
		}
	}
}

// awaitRequest blocks until a request arrives. It reports whether one arrived before ctx ended.
func (g *Gateway) awaitRequest(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.becameBusy:
		return true
	}
}

func (g *Gateway) queryRegion(ctx context.Context, h *dispatch.Host) {
	ctx, cancel := context.WithTimeout(ctx, regionQueryTimeout)
	defer cancel()
	began := g.o.Clock.Now()
	req := g.newPeerRequest()
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

// RecordPeerLeaving records that the host with a peer address stops, so that no forward is sent to it before the next
// view leaves it out.
func (g *Gateway) RecordPeerLeaving(peer string) {
	g.mu.Lock()
	known := g.fleet.RecordHostLeaving(peer, g.o.Clock.Now())
	g.mu.Unlock()
	if known {
		g.o.Log.Info("entry host of another region leaves", "peer", peer)
	}
}

// regionLoads returns this region's loads for an entry host of another region.
func (g *Gateway) regionLoads() *pb.RegionLoads {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &pb.RegionLoads{Loads: g.fleet.RegionLoads(g.o.Clock.Now())}
}
