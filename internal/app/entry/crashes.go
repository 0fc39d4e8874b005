package entry

import (
	"context"
	"sync"

	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// fingerprintOf identifies what the request asks a server to run.
func fingerprintOf(r *Request) quarantine.Fingerprint {
	return quarantine.Identity{Caller: r.Team, Method: r.Method, Host: r.Target, Target: r.URI, Body: r.Body}.Fingerprint()
}

// breakOf names the start of a place's server, as it is when the attempt begins.
func (h *Host) breakOf(p *placement.Place) quarantine.ConnectionBreak {
	h.mu.Lock()
	defer h.mu.Unlock()
	return quarantine.ConnectionBreak{Start: quarantine.ServerProcess{ID: p.ServerID, StartID: int64(p.Server.State.Incarnation)}, Address: p.Address}
}

// noteSurvival tells the watch how an attempt went for its server. Only an answer that came to
// its end, and a connection that the server ended, say anything of it: not a caller that left,
// a deadline, a stall, or a server that was leaving.
func (h *Host) noteSurvival(ctx context.Context, x *execution, b quarantine.ConnectionBreak, res result) {
	switch {
	case res.point == retry.Answered:
		h.o.Crashes.Served(x.fingerprint)
		return
	case ctx.Err() != nil, res.connected, res.point != retry.Sent && res.point != retry.MidAnswer:
		return
	}
	h.mu.Lock()
	s := h.place.Table.Get(b.Start.ID)
	left := s != nil && s.State.Leaving && int64(s.State.Incarnation) == b.Start.StartID
	h.mu.Unlock()
	if !left {
		h.o.Crashes.Broken(b, quarantine.Evidence{Fingerprint: x.fingerprint, Team: x.r.Team, Service: x.r.Target})
	}
}

// watchServers tells the watch which servers are known.
func (h *Host) watchServers() {
	if h.o.Crashes.Idle() {
		return
	}
	var servers []quarantine.Announcement
	h.mu.Lock()
	for _, s := range h.place.Table.All() {
		servers = append(servers, quarantine.Announcement{
			Start: quarantine.ServerProcess{ID: s.State.Id, StartID: int64(s.State.Incarnation)}, Address: s.State.Address, ReceivedAt: s.LastSeen,
		})
	}
	h.mu.Unlock()
	h.o.Crashes.Heard(servers)
}

// maxCrashRecords bounds the records in one message.
const maxCrashRecords = 128

// crashNews is whom this host told what of crashing requests, and what control hosts told it.
type crashNews struct {
	wake  chan struct{}
	mu    sync.Mutex
	peers map[string]*crashPeer // by peer address
	polls int
}

func newCrashNews() *crashNews {
	return &crashNews{wake: make(chan struct{}, 1), peers: map[string]*crashPeer{}}
}

// crashPeer is one other host: the revision up to which it was told, and for a control host
// the position in its news.
type crashPeer struct {
	busy        bool
	toldAll     bool
	told        uint64
	epoch, have uint64
}

// start returns the state of a peer to which no message is under way; nil when one is.
func (n *crashNews) start(addr string) *crashPeer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[addr]
	if p == nil {
		p = &crashPeer{}
		n.peers[addr] = p
	}
	if p.busy {
		return nil
	}
	p.busy = true
	return p
}

func (n *crashNews) end(p *crashPeer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.busy = false
}

// tellCrashes tells the hosts of the failure domain and the control hosts what this host saw of
// crashing requests, and asks one control host in turn what others saw. Control hosts put
// together what is seen in different failure domains; inside of one, hosts know it without them.
func (h *Host) tellCrashes(ctx context.Context) {
	v := h.config.Load()
	if v == nil {
		return
	}
	h.o.Crashes.SetHosts(len(v.hosts))
	h.mu.Lock()
	live := h.members.Live()
	h.mu.Unlock()
	for _, id := range live {
		h.tellCrashesTo(ctx, v.hosts[id].Peer, false)
	}
	h.crashes.mu.Lock()
	h.crashes.polls++
	turn := h.crashes.polls
	h.crashes.mu.Unlock()
	for i, addr := range h.o.Control {
		h.tellCrashesTo(ctx, addr, turn%len(h.o.Control) == i)
	}
}

// tellCrashesTo tells one host what is news to it, when there is any or its own news are wanted.
func (h *Host) tellCrashesTo(ctx context.Context, addr string, ask bool) {
	p := h.crashes.start(addr)
	if p == nil {
		return
	}
	wanted := quarantine.LocalChanges
	if !p.toldAll {
		wanted = quarantine.AllRecords
	}
	records, next := h.o.Crashes.Since(p.told, maxCrashRecords, wanted)
	if len(records) == 0 && !ask {
		p.told = next
		h.crashes.end(p)
		return
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		defer h.crashes.end(p)
		req := h.request()
		req.Body = &pb.Request_QuarantineUpdate{QuarantineUpdate: &pb.QuarantineUpdate{Records: records, Epoch: p.epoch, Have: p.have}}
		resp, err := h.call(ctx, addr, req)
		if err != nil {
			p.toldAll, p.told = false, 0 // it may have restarted and know nothing
			return
		}
		p.told = next
		p.toldAll = p.toldAll || len(records) < maxCrashRecords
		if m := resp.GetQuarantineUpdate(); m != nil {
			h.takeCrashes(addr, p, m)
		}
	}()
}

func (h *Host) takeCrashes(addr string, p *crashPeer, m *pb.QuarantineUpdate) {
	if p.epoch != 0 && m.Epoch != p.epoch {
		p.toldAll, p.told = false, 0
	}
	p.epoch, p.have = m.Epoch, m.Next
	h.o.Crashes.Merge(m.Records, addr)
}
