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

// TestViewOmitsUnchangedEntries sends sync requests of one entry host repeatedly. The first view,
// and the view of a host that has another process's epoch, must contain full lists, the other views
// changes only.
func TestViewOmitsUnchangedEntries(t *testing.T) {
	g := newGroup(t)
	host := g.member(founderAddresses[0])
	await(t, "all control hosts have exchanged messages", func() bool { return len(host.f.liveControls()) == 2 })
	await(t, "all control hosts are listed", func() bool { return len(host.f.listedControls()) == 3 })
	announce := func(id, addr string, sequence uint64) {
		if _, err := host.f.Announce(registry.Server{ID: id, Service: "llm", Address: addr, FailureDomain: "f", Sequence: sequence, Slots: 8}); err != nil {
			t.Fatal(err)
		}
	}
	sendSync := func(have *pb.FleetView) *pb.FleetView {
		req := syncRequest("h1", "r", 0, nil)
		m := req.GetFleetSync()
		m.HaveEpoch, m.HaveVersion, m.HaveHeard, m.HaveLoads = have.Epoch, have.Version, have.HeardNext, have.LoadsNext
		return host.r.HandleRequest(context.Background(), req).GetFleetView()
	}
	announce("a", "10.0.0.1:1", 1)
	first := sendSync(&pb.FleetView{})
	if len(first.Servers) != 1 || len(first.Hosts) != 1 || first.Changes || len(first.ControlHosts) != 3 {
		t.Fatalf("the first view is not complete: %v", first)
	}
	again := sendSync(first)
	if len(again.Servers) != 0 || len(again.Hosts) != 0 || !again.Changes || len(again.HeardServers) != 0 || len(again.ControlHosts) != 0 {
		t.Errorf("nothing changed, but the view contains %v", again)
	}
	announce("a", "10.0.0.1:1", 2)
	announced := sendSync(again)
	if len(announced.Servers) != 0 || len(announced.HeardServers) != 1 || announced.HeardServers[0] != holders.Key("a") || len(announced.HeardAges) != 1 {
		t.Errorf("after an announcement the view contains %v", announced)
	}
	announce("b", "10.0.0.2:1", 1)
	changed := sendSync(announced)
	if len(changed.Servers) != 1 || changed.Servers[0].Id != "b" || len(changed.HeardServers) != 1 || len(changed.Hosts) != 0 {
		t.Errorf("after a change of the servers the view contains %v", changed)
	}
	host.f.Leave("a", 0)
	left := sendSync(changed)
	if len(left.Servers) != 1 || !left.Servers[0].Gone || len(left.HeardServers) != 0 {
		t.Errorf("after a server left the view contains %v", left)
	}
	behind := sendSync(&pb.FleetView{Epoch: left.Epoch, Version: left.Version, HeardNext: left.HeardNext + 1})
	if len(behind.HeardServers) != 1 || behind.HeardServers[0] != holders.Key("b") {
		t.Errorf("a host with an unknown position in the announcement log receives %v", behind)
	}
	if other := sendSync(&pb.FleetView{Epoch: left.Epoch + 1, Version: left.Version, LoadsNext: left.LoadsNext}); other.Changes || other.LoadChanges || len(other.Servers) != 2 || len(other.Hosts) != 1 {
		t.Errorf("a host with the view of an earlier process receives %v", other)
	}
}

// TestViewContainsChangedLoadsOnly lets entry hosts report their loads. Views from a host's primary
// must contain the loads that changed, including the receiver's own part; views from other control
// hosts must contain none.
func TestViewContainsChangedLoadsOnly(t *testing.T) {
	g := newGroup(t)
	m := g.member(founderAddresses[0])
	have := map[string]*pb.FleetView{"h1": {}, "h2": {}}
	sendSync := func(host string, primary bool, loads serverload.Loads) *pb.FleetView {
		req := syncRequest(host, "r", 0, nil)
		s, last := req.GetFleetSync(), have[host]
		s.Primary, s.Loads, s.WaitMs = primary, serverload.Encode(loads), 0
		s.HaveEpoch, s.HaveVersion, s.HaveHeard, s.HaveLoads = last.Epoch, last.Version, last.HeardNext, last.LoadsNext
		have[host] = m.r.HandleRequest(context.Background(), req).GetFleetView()
		return have[host]
	}
	one := func(n uint32) serverload.Loads { return serverload.Loads{7: {Requests: n}} }
	if v := sendSync("h1", true, one(1)); v.LoadChanges || !maps.Equal(serverload.Decode(v.Loads), one(1)) {
		t.Errorf("first view: %v", v.Loads)
	}
	if v := sendSync("h1", true, one(1)); !v.LoadChanges || v.Loads != nil {
		t.Errorf("nothing changed: %v", v.Loads)
	}
	sendSync("h2", true, one(2))
	if v := sendSync("h1", true, one(1)); !v.LoadChanges || !maps.Equal(serverload.Decode(v.Loads), one(3)) {
		t.Errorf("after another host reported a load: %v", v.Loads)
	}
	sendSync("h2", true, nil)
	if v := sendSync("h1", true, nil); !v.LoadChanges || !maps.Equal(serverload.Decode(v.Loads), serverload.Loads{7: {}}) {
		t.Errorf("after all loads ended: %v", v.Loads)
	}
	if v := sendSync("h2", false, nil); v.Loads != nil || v.LoadsNext != 0 {
		t.Errorf("a host with another primary receives %v", v.Loads)
	}
}

// TestExchangeSendsFullHostRecordOnce reports an entry host to another control host: with its full
// record first, then with its key only, and with the full record again after a failed exchange.
func TestExchangeSendsFullHostRecordOnce(t *testing.T) {
	g := newGroup(t)
	g.mu.Lock()
	m := g.up[founderAddresses[0]]
	g.mu.Unlock()
	m.r.HandleRequest(context.Background(), syncRequest("h1", "r", 0, nil))
	const addr = "10.9.0.1:7" // unreachable
	first, next := m.f.buildExchange(addr)
	if len(first.Hosts) != 1 || len(first.HeardHosts) != 0 {
		t.Fatalf("first exchange: %v", first)
	}
	m.f.mu.Lock()
	m.f.cursors[addr] = next
	m.f.mu.Unlock()
	again, _ := m.f.buildExchange(addr)
	if len(again.Hosts) != 0 || len(again.HeardHosts) != 1 || again.HeardHosts[0] != holders.Key("h1") || len(again.HeardAges) != 1 {
		t.Errorf("second exchange: %v", again)
	}
	m.f.mu.Lock()
	m.f.prompts.Add("h1", []holders.Place{{Chain: 7, Server: 70}})
	m.f.reg.UpdateControl(registry.Control{Peer: addr, Region: "r", LastSeen: m.f.o.Clock.Now()})
	m.f.mu.Unlock()
	m.f.exchange(context.Background(), addr) // fails
	if after, _ := m.f.buildExchange(addr); len(holders.Decode(after.Prompts)) != 1 {
		t.Error("a prompt place is not sent again after a failure")
	}
	if after, _ := m.f.buildExchange(addr); len(after.Hosts) != 1 {
		t.Errorf("exchange after a failure: %v", after)
	}
}

// TestExchangeOfUnknownHostIsRefused sends the key of an unknown entry host to a control host, as
// after a restart of the receiver. It must refuse the exchange, so that the sender sends full
// records again.
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
		t.Errorf("refused although the full record was sent before: %v", resp.Refusal)
	}
}

// listedControls returns the live control hosts on the list that is sent to entry hosts.
func (f *Fleet) listedControls() (live []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.controls {
		if c.Heard {
			live = append(live, c.Peer)
		}
	}
	return live
}

// TestOnlyRepresentativeSendsRegionLoads checks that only the representative of a failure domain
// sends the region's loads to the other control hosts, and that the next control host takes over
// when it is lost.
func TestOnlyRepresentativeSendsRegionLoads(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	g := newGroupWithClock(t, clock)
	m := g.member(founderAddresses[1])
	announce := func(sequence uint64) {
		if _, err := m.f.Announce(registry.Server{ID: "a", Service: "llm", Address: "10.0.0.1:1", FailureDomain: "f", Sequence: sequence, Slots: 8}); err != nil {
			t.Fatal(err)
		}
	}
	announce(1)
	await(t, "all control hosts have exchanged messages", func() bool { return len(m.f.liveControls()) == 2 })
	if x, _ := m.f.buildExchange(founderAddresses[2]); len(x.Loads) != 0 {
		t.Errorf("a control host that is not the representative sends %v", x.Loads)
	}
	g.kill(founderAddresses[0])
	clock.advance(5 * time.Second)
	announce(2)
	await(t, "the lost representative is no longer live", func() bool { return len(m.f.liveControls()) == 1 })
	if x, _ := m.f.buildExchange(founderAddresses[2]); len(x.Loads) != 1 {
		t.Errorf("after the loss of the representative the next control host sends %v", x.Loads)
	}
}

// TestIntroductionReturnsControlHostsOnly checks that an entry host that only requests the control
// host's location is not counted as live, and receives no lists of hosts and servers.
func TestIntroductionReturnsControlHostsOnly(t *testing.T) {
	g := newGroup(t)
	m := g.member(founderAddresses[0])
	m.r.HandleRequest(context.Background(), syncRequest("h1", "r", 0, nil))
	req := syncRequest("h2", "r", 0, nil)
	req.GetFleetSync().Introduction = true
	v := m.r.HandleRequest(context.Background(), req).GetFleetView()
	if v.HomeDomain != "f" || v.HomeRegion != "r" || len(v.ControlHosts) == 0 || len(v.Hosts) != 0 {
		t.Errorf("received %v", v)
	}
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	if hosts := m.f.reg.Hosts(m.f.o.Clock.Now()); len(hosts) != 1 || hosts[0].ID != "h1" {
		t.Errorf("%d live entry hosts, want h1 only", len(hosts))
	}
}
