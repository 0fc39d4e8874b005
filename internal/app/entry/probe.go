package entry

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/membership"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// indirectProbers is the number of hosts asked to probe a target that did not answer.
const indirectProbers = 2

// frozenFactor is the number of probe intervals without a probe by this host after which its
// process counts as having been frozen.
const frozenFactor = 3

// probe probes the hosts of the failure domain that are due.
func (h *Host) probe(ctx context.Context) {
	v := h.config.Load()
	if v == nil {
		return
	}
	h.detectFreeze()
	h.probedAt.Store(h.o.Clock.Now().UnixNano())
	h.mu.Lock()
	targets := h.members.ProbeTargets()
	h.mu.Unlock()
	if len(targets) == 0 {
		h.awaitingPeer.Store(false)
	}
	for _, target := range targets {
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			h.probeOne(ctx, v, target)
		}()
	}
}

// detectFreeze detects that this process was suspended for several probe intervals. Other hosts
// may have declared this one dead, so it accepts no requests until another host has answered.
func (h *Host) detectFreeze() {
	now := h.o.Clock.Now()
	last := h.probedAt.Load()
	if last == 0 {
		return
	}
	if pause := now.Sub(time.Unix(0, last)); pause > frozenFactor*h.o.ProbeInterval && !h.awaitingPeer.Swap(true) {
		h.o.Metrics.Add("thawed", 1)
		h.o.Log.Info("process was frozen", "ms", pause.Milliseconds())
	}
}

func (h *Host) probeOne(ctx context.Context, v *view, target string) {
	timeout := h.o.ProbeInterval
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if h.probeDirect(ctx, v, target) {
		h.awaitingPeer.Store(false)
		return
	}
	h.mu.Lock()
	others := h.members.IndirectProbers(target, indirectProbers)
	h.mu.Unlock()
	reached := make(chan bool, len(others))
	for _, id := range others {
		go func() { reached <- h.probeThrough(v, id, target) }()
	}
	ok := false
	for range others {
		ok = <-reached || ok
	}
	if ok {
		return
	}
	h.mu.Lock()
	h.members.RecordProbeFailure(target, h.o.Clock.Now())
	h.mu.Unlock()
	if len(others) == 0 {
		h.awaitingPeer.Store(false) // no other host can probe the target; a host without others continues to serve
	}
}

func (h *Host) probeDirect(ctx context.Context, v *view, target string) bool {
	req := h.request()
	h.mu.Lock()
	updates := h.members.Updates(target)
	h.mu.Unlock()
	req.Body = &pb.Request_Probe{Probe: &pb.Probe{Updates: updates, Draining: h.draining.Load()}}
	resp, err := h.o.Peers.Call(ctx, v.hosts[target].Peer, req)
	if err != nil {
		return false
	}
	h.recordStamp(resp.From, v.hosts[target].Peer, resp.Stamp, resp.MaxSchema)
	ack := resp.GetProbeAck()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	h.members.Merge(ack.GetUpdates(), now)
	h.members.RecordContact(target, resp.Incarnation, ack.GetDraining(), now)
	return true
}

func (h *Host) probeThrough(v *view, helper, target string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*h.o.ProbeInterval)
	defer cancel()
	req := h.request()
	req.Body = &pb.Request_IndirectProbe{IndirectProbe: &pb.IndirectProbe{Target: target}}
	resp, err := h.o.Peers.Call(ctx, v.hosts[helper].Peer, req)
	return err == nil && resp.GetProbeAck().GetReached()
}

// answerProbe merges the updates of another host's probe and returns the answer to it.
func (h *Host) answerProbe(req *pb.Request, p *pb.Probe) *pb.ProbeAck {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	if h.members.Merge(p.Updates, now) {
		h.o.Metrics.Add("held_dead", 1)
		h.o.Log.Info("held dead by another entry host; refuted", "by", req.From, "incarnation", h.members.Incarnation())
	}
	h.members.RecordContact(req.From, req.Incarnation, p.Draining, now)
	return &pb.ProbeAck{Updates: h.members.Updates(req.From), Draining: h.draining.Load()}
}

func (h *Host) answerIndirect(ctx context.Context, p *pb.IndirectProbe) *pb.ProbeAck {
	v := h.config.Load()
	host, ok := v.hosts[p.Target]
	if !ok {
		return &pb.ProbeAck{}
	}
	ctx, cancel := context.WithTimeout(ctx, h.o.ProbeInterval)
	defer cancel()
	return &pb.ProbeAck{Reached: h.probeDirect(ctx, v, host.ID)}
}

// handleMemberEvents logs and counts members' changes of state, and closes the links to dead
// ones.
func (h *Host) handleMemberEvents() {
	h.mu.Lock()
	events := h.members.Events()
	h.place.Table.SetSenders(1 + len(h.members.Live()))
	h.mu.Unlock()
	v := h.config.Load()
	for _, e := range events {
		h.o.Log.Info("member "+e.State.String(), "member", e.ID)
		h.o.Metrics.Add("member_"+e.State.String(), 1)
		if e.State == membership.Dead && h.o.CloseLink != nil && v != nil {
			h.o.CloseLink(v.hosts[e.ID].Peer)
		}
	}
}
