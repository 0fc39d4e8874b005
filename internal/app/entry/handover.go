package entry

import (
	"context"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// handOverTimeout bounds the calls of a host that hands over.
const handOverTimeout = 500 * time.Millisecond

// handOver sends the other hosts what was not sent, or was given up when this host began to stop: the leave
// of backend servers, which they announce once, and the records of requests that crash servers.
func (h *Host) handOver() {
	v := h.config.Load()
	if v == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	h.o.CrashWatch.Settle(ctx)
	h.sendLeaving(ctx, v)
	h.sendCrashRecordsToAll(ctx, v, "")
	h.wg.Wait()
}

// sendLeaving sends the servers that leave and announced that to this host.
func (h *Host) sendLeaving(ctx context.Context, v *view) {
	up := h.leavingServers()
	if len(up.Servers) == 0 {
		return
	}
	for _, addr := range h.liveAddresses(v) {
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			req := h.request()
			req.Body = &pb.Request_DomainUpdate{DomainUpdate: up}
			if _, err := h.call(ctx, addr, req); err != nil {
				h.o.Log.Info("host did not receive the leave of servers", "peer", addr, "servers", len(up.Servers), "reason", err.Error())
			}
		}()
	}
}

func (h *Host) leavingServers() *pb.DomainUpdate {
	now := h.o.Clock.Now()
	up := &pb.DomainUpdate{Draining: true}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, srv := range h.announcing {
		if s := h.place.Table.Get(id); s != nil && s.State.Leaving && now.Sub(srv.at) <= h.o.Lease {
			up.Servers = append(up.Servers, withAge(s.State, now.Sub(srv.at)))
		}
	}
	return up
}
