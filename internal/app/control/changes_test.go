package control

import (
	"context"
	"testing"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestViewLeavesOutWhatIsKnown presents an entry host again and again: lists come whole
// at first and to a host that knows another process's, else what changed.
func TestViewLeavesOutWhatIsKnown(t *testing.T) {
	g := newGroup(t)
	g.mu.Lock()
	m := g.up[founderAddresses[0]]
	g.mu.Unlock()
	announce := func(id, addr string) {
		if _, err := m.f.Announce(registry.Server{ID: id, Service: "llm", Address: addr, FailureDomain: "f", Sequence: 1, Slots: 8}); err != nil {
			t.Fatal(err)
		}
	}
	present := func(epoch, version uint64) *pb.FleetView {
		req := presentation("h1", "r", 0, nil)
		req.GetFleetSync().HaveEpoch, req.GetFleetSync().HaveVersion = epoch, version
		return m.r.HandleRequest(context.Background(), req).GetFleetView()
	}
	announce("a", "10.0.0.1:1")
	first := present(0, 0)
	if len(first.Servers) != 1 || len(first.Hosts) != 1 || first.Changes {
		t.Fatalf("the first view is not whole: %v", first)
	}
	again := present(first.Epoch, first.Version)
	if len(again.Servers) != 0 || len(again.Hosts) != 0 || !again.Changes || len(again.ServerAges) != 1 {
		t.Errorf("nothing changed, and the view holds %v", again)
	}
	announce("b", "10.0.0.2:1")
	changed := present(again.Epoch, again.Version)
	if len(changed.Servers) != 1 || changed.Servers[0].Id != "b" || len(changed.ServerAges) != 2 || len(changed.Hosts) != 0 {
		t.Errorf("after a change of the servers the view holds %v", changed)
	}
	m.f.Leave("a", 0)
	left := present(changed.Epoch, changed.Version)
	if len(left.Servers) != 1 || !left.Servers[0].Gone || len(left.ServerAges) != 1 {
		t.Errorf("after a server left the view holds %v", left)
	}
	if other := present(left.Epoch+1, left.Version); other.Changes || len(other.Servers) != 2 || len(other.Hosts) != 1 {
		t.Errorf("a host that knows an earlier process's view is told %v", other)
	}
}

// TestExchangeTellsHostsOnce tells another control host of an entry host: whole at first,
// then by its key, and whole again after an exchange that failed.
func TestExchangeTellsHostsOnce(t *testing.T) {
	g := newGroup(t)
	g.mu.Lock()
	m := g.up[founderAddresses[0]]
	g.mu.Unlock()
	m.r.HandleRequest(context.Background(), presentation("h1", "r", 0, nil))
	const addr = "10.9.0.1:7" // reached by nobody
	first, next := m.f.exchangeFor(addr)
	if len(first.Hosts) != 1 || len(first.HeardHosts) != 0 {
		t.Fatalf("told at first: %v", first)
	}
	m.f.mu.Lock()
	m.f.told[addr] = next
	m.f.mu.Unlock()
	again, _ := m.f.exchangeFor(addr)
	if len(again.Hosts) != 0 || len(again.HeardHosts) != 1 || again.HeardHosts[0] != holders.Key("h1") || len(again.HeardAges) != 1 {
		t.Errorf("told again: %v", again)
	}
	m.f.mu.Lock()
	m.f.prompts.Add("h1", []holders.Place{{Chain: 7, Server: 70}})
	m.f.reg.HearControl(registry.Control{Peer: addr, Region: "r", HeardAt: m.f.o.Clock.Now()})
	m.f.mu.Unlock()
	m.f.exchange(context.Background(), addr) // fails
	if after, _ := m.f.exchangeFor(addr); len(holders.Decode(after.Prompts)) != 1 {
		t.Error("where a prompt was sent is not told again after a failure")
	}
	if after, _ := m.f.exchangeFor(addr); len(after.Hosts) != 1 {
		t.Errorf("told after a failure: %v", after)
	}
}

// TestExchangeOfUnknownHostIsRefused: a control host that restarted says so when it hears
// of an entry host that it does not know.
func TestExchangeOfUnknownHostIsRefused(t *testing.T) {
	g := newGroup(t)
	g.mu.Lock()
	m := g.up[founderAddresses[0]]
	g.mu.Unlock()
	x := &pb.ControlExchange{Peer: "10.9.0.1:7", Region: "r", FailureDomain: "f", HeardHosts: []uint32{7}, HeardAges: []uint32{1}}
	req := &pb.Request{Body: &pb.Request_ControlExchange{ControlExchange: x}}
	if resp := m.r.HandleRequest(context.Background(), req); resp.Refusal == nil {
		t.Error("not refused")
	}
	x.Hosts, x.HeardHosts, x.HeardAges = []*pb.FleetHost{{Id: "h9", Region: "r", Ready: true}}, nil, nil
	if resp := m.r.HandleRequest(context.Background(), req); resp.Refusal != nil {
		t.Errorf("refused: %v", resp.Refusal)
	}
	x.Hosts, x.HeardHosts, x.HeardAges = nil, []uint32{holders.Key("h9")}, []uint32{1}
	if resp := m.r.HandleRequest(context.Background(), req); resp.Refusal != nil {
		t.Errorf("refused though it was told before: %v", resp.Refusal)
	}
}
