package control

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestViewLeavesOutWhatIsKnown presents an entry host again and again: lists come whole
// at first and to a host that knows another process's, else what changed.
func TestViewLeavesOutWhatIsKnown(t *testing.T) {
	g := newGroup(t)
	host := g.member(founderAddresses[0])
	await(t, "all control hosts hear each other", func() bool { return len(host.f.liveControls()) == 2 })
	await(t, "and are listed", func() bool { return len(host.f.listedControls()) == 3 })
	announce := func(id, addr string, sequence uint64) {
		if _, err := host.f.Announce(registry.Server{ID: id, Service: "llm", Address: addr, FailureDomain: "f", Sequence: sequence, Slots: 8}); err != nil {
			t.Fatal(err)
		}
	}
	present := func(have *pb.FleetView) *pb.FleetView {
		req := presentation("h1", "r", 0, nil)
		m := req.GetFleetSync()
		m.HaveEpoch, m.HaveVersion, m.HaveHeard, m.HaveLoads = have.Epoch, have.Version, have.HeardNext, have.LoadsNext
		return host.r.HandleRequest(context.Background(), req).GetFleetView()
	}
	announce("a", "10.0.0.1:1", 1)
	first := present(&pb.FleetView{})
	if len(first.Servers) != 1 || len(first.Hosts) != 1 || first.Changes || len(first.ControlHosts) != 3 {
		t.Fatalf("the first view is not whole: %v", first)
	}
	again := present(first)
	if len(again.Servers) != 0 || len(again.Hosts) != 0 || !again.Changes || len(again.HeardServers) != 0 || len(again.ControlHosts) != 0 {
		t.Errorf("nothing changed, and the view holds %v", again)
	}
	announce("a", "10.0.0.1:1", 2)
	heard := present(again)
	if len(heard.Servers) != 0 || len(heard.HeardServers) != 1 || heard.HeardServers[0] != holders.Key("a") || len(heard.HeardAges) != 1 {
		t.Errorf("after an announcement the view holds %v", heard)
	}
	announce("b", "10.0.0.2:1", 1)
	changed := present(heard)
	if len(changed.Servers) != 1 || changed.Servers[0].Id != "b" || len(changed.HeardServers) != 1 || len(changed.Hosts) != 0 {
		t.Errorf("after a change of the servers the view holds %v", changed)
	}
	host.f.Leave("a", 0)
	left := present(changed)
	if len(left.Servers) != 1 || !left.Servers[0].Gone || len(left.HeardServers) != 0 {
		t.Errorf("after a server left the view holds %v", left)
	}
	behind := present(&pb.FleetView{Epoch: left.Epoch, Version: left.Version, HeardNext: left.HeardNext + 1})
	if len(behind.HeardServers) != 1 || behind.HeardServers[0] != holders.Key("b") {
		t.Errorf("a host whose position in the announcements is not known is told %v", behind)
	}
	if other := present(&pb.FleetView{Epoch: left.Epoch + 1, Version: left.Version, LoadsNext: left.LoadsNext}); other.Changes || other.LoadChanges || len(other.Servers) != 2 || len(other.Hosts) != 1 {
		t.Errorf("a host that knows an earlier process's view is told %v", other)
	}
}

// TestViewTellsLoadsThatChanged lets entry hosts tell their work: the primary's views hold
// what changed, with the receiver's own part; others' views hold none.
func TestViewTellsLoadsThatChanged(t *testing.T) {
	g := newGroup(t)
	m := g.member(founderAddresses[0])
	have := map[string]*pb.FleetView{"h1": {}, "h2": {}}
	present := func(host string, primary bool, loads serverload.Loads) *pb.FleetView {
		req := presentation(host, "r", 0, nil)
		s, last := req.GetFleetSync(), have[host]
		s.Primary, s.Loads, s.WaitMs = primary, serverload.Encode(loads), 0
		s.HaveEpoch, s.HaveVersion, s.HaveHeard, s.HaveLoads = last.Epoch, last.Version, last.HeardNext, last.LoadsNext
		have[host] = m.r.HandleRequest(context.Background(), req).GetFleetView()
		return have[host]
	}
	one := func(n uint32) serverload.Loads { return serverload.Loads{7: {Requests: n}} }
	if v := present("h1", true, one(1)); v.LoadChanges || !maps.Equal(serverload.Decode(v.Loads), one(1)) {
		t.Errorf("told at first: %v", v.Loads)
	}
	if v := present("h1", true, one(1)); !v.LoadChanges || v.Loads != nil {
		t.Errorf("nothing changed: %v", v.Loads)
	}
	present("h2", true, one(2))
	if v := present("h1", true, one(1)); !v.LoadChanges || !maps.Equal(serverload.Decode(v.Loads), one(3)) {
		t.Errorf("another host has work too: %v", v.Loads)
	}
	present("h2", true, nil)
	if v := present("h1", true, nil); !v.LoadChanges || !maps.Equal(serverload.Decode(v.Loads), serverload.Loads{7: {}}) {
		t.Errorf("no work any more: %v", v.Loads)
	}
	if v := present("h2", false, nil); v.Loads != nil || v.LoadsNext != 0 {
		t.Errorf("a host that goes by another control host is told %v", v.Loads)
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
	m.f.reg.UpdateControl(registry.Control{Peer: addr, Region: "r", LastSeen: m.f.o.Clock.Now()})
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

// listedControls returns the control hosts that entry hosts are told.
func (f *Fleet) listedControls() (heard []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.controls {
		if c.Heard {
			heard = append(heard, c.Peer)
		}
	}
	return heard
}

// TestOneTellsTheRegionsLoads: of the control hosts of a failure domain one tells the others
// what the region has, and the next one when it is not heard any more.
func TestOneTellsTheRegionsLoads(t *testing.T) {
	clock := &handClock{now: time.Unix(1000, 0)}
	g := newGroupWithClock(t, clock)
	m := g.member(founderAddresses[1])
	announce := func(sequence uint64) {
		if _, err := m.f.Announce(registry.Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", FailureDomain: "f", Sequence: sequence, Slots: 8}); err != nil {
			t.Fatal(err)
		}
	}
	announce(1)
	await(t, "all control hosts hear each other", func() bool { return len(m.f.liveControls()) == 2 })
	if x, _ := m.f.exchangeFor(founderAddresses[2]); len(x.Loads) != 0 {
		t.Errorf("the second one tells %v", x.Loads)
	}
	g.kill(founderAddresses[0])
	clock.advance(5 * time.Second)
	announce(2)
	await(t, "the first is not heard any more", func() bool { return len(m.f.liveControls()) == 1 })
	if x, _ := m.f.exchangeFor(founderAddresses[2]); len(x.Loads) != 1 {
		t.Errorf("after the loss of the first one the second tells %v", x.Loads)
	}
}

// TestIntroductionTellsOnlyWhoIsThere: an entry host that asks where a control host is counts
// as present nowhere, and gets no lists.
func TestIntroductionTellsOnlyWhoIsThere(t *testing.T) {
	g := newGroup(t)
	m := g.member(founderAddresses[0])
	m.r.HandleRequest(context.Background(), presentation("h1", "r", 0, nil))
	req := presentation("h2", "r", 0, nil)
	req.GetFleetSync().Introduction = true
	v := m.r.HandleRequest(context.Background(), req).GetFleetView()
	if v.HomeDomain != "f" || v.HomeRegion != "r" || len(v.ControlHosts) == 0 || len(v.Hosts) != 0 {
		t.Errorf("told %v", v)
	}
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	if hosts := m.f.reg.Hosts(m.f.o.Clock.Now()); len(hosts) != 1 || hosts[0].ID != "h1" {
		t.Errorf("%d entry hosts are there", len(hosts))
	}
}
