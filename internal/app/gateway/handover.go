package gateway

import (
	"context"
	"slices"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// handOverTimeout bounds the hand-over of a host that stops. One half is for the control hosts that the
// host synchronizes with, the other for the rest if none of those answers.
const handOverTimeout = 500 * time.Millisecond

// handOver sends the origins of streams and the records of requests that crash servers to the control
// hosts, unless one of them has all. Any of them passes them on to the others, so one that has
// acknowledged all is enough. No sync may be in progress.
func (g *Gateway) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	g.o.CrashWatch.Settle(ctx)
	near := g.syncTargets()
	if g.isHandedOver(near) || g.handOverToAny(ctx, near, handOverTimeout/2) {
		return
	}
	far := slices.DeleteFunc(g.controlHosts(), func(c *controlHost) bool { return slices.Contains(near, c) })
	if !g.handOverToAny(ctx, far, handOverTimeout) {
		g.o.Log.Info("no control host received the last records of this host", "control_hosts", len(near)+len(far), "limit_ms", handOverTimeout.Milliseconds())
	}
}

// controlHosts returns all control hosts.
func (g *Gateway) controlHosts() (out []*controlHost) {
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	for _, addr := range g.control.allLocked() {
		out = append(out, g.control.hostLocked(addr))
	}
	return out
}

// isHandedOver reports whether one of the control hosts has received everything.
func (g *Gateway) isHandedOver(list []*controlHost) bool {
	return slices.ContainsFunc(list, func(c *controlHost) bool { return g.unsent(c).isEmpty() })
}

// handOverToAny sends the records to control hosts at once, and reports whether one has acknowledged all
// within the limit.
func (g *Gateway) handOverToAny(ctx context.Context, list []*controlHost, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	acknowledged := make(chan bool, len(list))
	for _, c := range list {
		go func() { acknowledged <- g.handOverTo(ctx, c) }()
	}
	for range list {
		select {
		case ok := <-acknowledged:
			if ok {
				return true
			}
		case <-ctx.Done(): // a connection attempt goes on for longer
			return false
		}
	}
	return false
}

// handOverTo sends the records that a control host has not received, and reports whether it has
// acknowledged all.
func (g *Gateway) handOverTo(ctx context.Context, c *controlHost) bool {
	for {
		rest := g.unsent(c)
		if rest.isEmpty() {
			return true
		}
		req := g.newPeerRequest()
		req.Body = &pb.Request_FleetSync{FleetSync: rest.sync}
		resp, err := g.o.Peers.Call(ctx, c.addr, req)
		view := resp.GetFleetView()
		if err != nil || view == nil {
			return false
		}
		c.recordSent(view, c.state.epoch, rest.revision, len(rest.sync.Quarantine) == maxCrashRecords)
		c.recordStreamsSent(view, c.state.epoch, rest.streams)
		c.state.epoch = view.Epoch
	}
}

// unsentRecords is a sync request with the records that a control host has not received, and what it has
// with them.
type unsentRecords struct {
	sync              *pb.FleetSync
	streams, revision uint64
}

func (u unsentRecords) isEmpty() bool {
	return len(u.sync.Streams.GetStream()) == 0 && len(u.sync.Quarantine) == 0
}

func (g *Gateway) unsent(c *controlHost) unsentRecords {
	m, _ := g.newSync(c, false)
	m.Host.Ready, m.WaitMs = false, 0
	u := unsentRecords{sync: m}
	u.streams = g.addStreams(m, c, true)
	m.Quarantine, u.revision = g.unsentCrashRecords(c)
	return u
}
