package entry

import (
	"context"
	"sync"

	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// subjectsOf returns what the request is judged by: the work that it asks a server for. The shared
// prefixes of its prompt are not judged.
func subjectsOf(r *Request) quarantine.Subjects {
	f := quarantine.Identity{Caller: r.Team, Method: r.Method, Host: r.Target, Target: r.URI, Body: r.Body}.Fingerprint()
	return quarantine.Subjects{Request: f}
}

// breakOf identifies the process of a place's server when the attempt begins, to be reported if
// the attempt's connection breaks.
func (h *Host) breakOf(p *placement.Place) quarantine.ConnectionBreak {
	h.mu.Lock()
	defer h.mu.Unlock()
	return quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: p.ServerID, StartID: int64(p.Server.State.Incarnation)}, Address: p.Address}
}

// reportToCrashWatch reports to the crash watch how an attempt ended for its server. Only a
// complete answer, and a connection that the server ended, are evidence about the server. A
// caller that canceled, a deadline, a stall, and a server that was shutting down are not.
func (h *Host) reportToCrashWatch(ctx context.Context, x *execution, b quarantine.ConnectionBreak, res result) {
	switch {
	case res.stage == retry.Answered:
		h.o.CrashWatch.RecordAnswer(x.subjects, "")
		return
	case ctx.Err() != nil, res.connected, res.stage != retry.Sent && res.stage != retry.MidAnswer:
		return
	}
	h.mu.Lock()
	s := h.place.Table.Get(b.Process.ID)
	left := s != nil && s.State.Leaving && int64(s.State.Incarnation) == b.Process.StartID
	h.mu.Unlock()
	if !left {
		h.o.CrashWatch.RecordBreak(b, x.subjects, quarantine.Evidence{Team: x.r.Team, Service: x.r.Target})
	}
}

// refreshCrashWatch passes the known backend servers to the crash watch.
func (h *Host) refreshCrashWatch() {
	if h.o.CrashWatch.Idle() {
		return
	}
	var servers []quarantine.Announcement
	h.mu.Lock()
	for _, s := range h.place.Table.All() {
		servers = append(servers, quarantine.Announcement{
			Process: quarantine.ServerProcess{ID: s.State.Id, StartID: int64(s.State.Incarnation)}, Address: s.State.Address, ReceivedAt: s.LastSeen,
		})
	}
	h.mu.Unlock()
	h.o.CrashWatch.ObserveAnnouncements(servers)
}

// maxCrashRecords bounds the crash records in one message.
const maxCrashRecords = 128

// crashSync holds, for each other host, which crash records were sent to it and received from
// it.
type crashSync struct {
	wake   chan struct{}
	mu     sync.Mutex
	peers  map[string]*crashPeer // by peer address
	rounds int
}

func newCrashSync() *crashSync {
	return &crashSync{wake: make(chan struct{}, 1), peers: map[string]*crashPeer{}}
}

// crashPeer is the state of synchronization with one other host: the revision up to which that
// host has received this host's records and, for a control host, the epoch of its log and the
// position in it up to which this host has received it.
type crashPeer struct {
	inFlight        bool
	sentAll         bool
	sentRevision    uint64
	epoch, position uint64
}

// begin returns the state of a peer and marks a call to it as in flight. It returns nil if one is
// in flight already.
func (n *crashSync) begin(addr string) *crashPeer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[addr]
	if p == nil {
		p = &crashPeer{}
		n.peers[addr] = p
	}
	if p.inFlight {
		return nil
	}
	p.inFlight = true
	return p
}

func (n *crashSync) end(p *crashPeer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.inFlight = false
}

// syncCrashRecords sends this host's crash records to the live hosts of the failure domain and
// to the control hosts, and asks one control host in turn for the records of other hosts.
// Control hosts combine the records of different failure domains; within one, hosts send each
// other their records directly.
func (h *Host) syncCrashRecords(ctx context.Context) {
	v := h.config.Load()
	if v == nil {
		return
	}
	h.o.CrashWatch.SetHosts(len(v.hosts))
	h.crashes.mu.Lock()
	h.crashes.rounds++
	turn := h.crashes.rounds
	h.crashes.mu.Unlock()
	asked := ""
	if n := len(h.o.Control); n > 0 {
		asked = h.o.Control[turn%n]
	}
	h.sendCrashRecordsToAll(ctx, v, asked)
}

// sendCrashRecordsToAll sends the live hosts of the failure domain and the control hosts the records that
// they have not received, and asks one of them for those of others; "" for none.
func (h *Host) sendCrashRecordsToAll(ctx context.Context, v *view, asked string) {
	for _, addr := range h.liveAddresses(v) {
		h.sendCrashRecords(ctx, addr, false)
	}
	for _, addr := range h.o.Control {
		h.sendCrashRecords(ctx, addr, addr == asked)
	}
}

// liveAddresses returns the addresses of the live hosts of the failure domain.
func (h *Host) liveAddresses(v *view) (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.members.Live() {
		out = append(out, v.hosts[id].Peer)
	}
	return out
}

// sendCrashRecords sends one host the records that it has not received. With ask set, it sends
// a message even if there are none, since the response carries a control host's records.
func (h *Host) sendCrashRecords(ctx context.Context, addr string, ask bool) {
	p := h.crashes.begin(addr)
	if p == nil {
		return
	}
	wanted := quarantine.LocalChanges
	if !p.sentAll {
		wanted = quarantine.AllRecords
	}
	records, next := h.o.CrashWatch.Since(p.sentRevision, maxCrashRecords, wanted)
	if len(records) == 0 && !ask {
		p.sentRevision = next
		h.crashes.end(p)
		return
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		defer h.crashes.end(p)
		req := h.request()
		req.Body = &pb.Request_QuarantineUpdate{QuarantineUpdate: &pb.QuarantineUpdate{Records: records, Epoch: p.epoch, Have: p.position}}
		resp, err := h.call(ctx, addr, req)
		if err != nil {
			p.sentAll, p.sentRevision = false, 0 // the peer may have restarted without its records
			return
		}
		p.sentRevision = next
		p.sentAll = p.sentAll || len(records) < maxCrashRecords
		if m := resp.GetQuarantineUpdate(); m != nil {
			h.mergeCrashRecords(addr, p, m)
		}
	}()
}

func (h *Host) mergeCrashRecords(addr string, p *crashPeer, m *pb.QuarantineUpdate) {
	if p.epoch != 0 && m.Epoch != p.epoch {
		p.sentAll, p.sentRevision = false, 0
	}
	p.epoch, p.position = m.Epoch, m.Next
	h.o.CrashWatch.Merge(m.Records, addr)
}
