package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/adapter/enginehttp"
	"github.com/sesamefork/sesamefork/internal/adapter/peerlink"
	"github.com/sesamefork/sesamefork/internal/app/control"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// heldJournal is a journal in memory. It holds back the entry of heldVersion until release is closed.
type heldJournal struct {
	arrived chan struct{} // receives a signal when the entry arrives
	release chan struct{}
}

func newHeldJournal() *heldJournal {
	return &heldJournal{arrived: make(chan struct{}, 1), release: make(chan struct{})}
}

// heldVersion is the version whose entry a heldJournal holds back.
const heldVersion = 2

func (j *heldJournal) Append(r *pb.JournalRecord) error {
	for _, e := range r.Entries {
		if bytes.Contains(e.Data, []byte(changeID(heldVersion))) {
			select {
			case j.arrived <- struct{}{}:
			default:
			}
			<-j.release
		}
	}
	return nil
}

func (j *heldJournal) SaveSnapshot(*pb.SnapshotFile, *pb.JournalRecord) error { return nil }
func (j *heldJournal) Close() error                                           { return nil }

// groupAddresses are the peer addresses of a group of control hosts.
var groupAddresses = []string{"127.89.0.1:7000", "127.89.0.2:7000", "127.89.0.3:7000"}

// testTick makes an election take far longer than an entry is held back.
const testTick = 100 * time.Millisecond

// testHost is a control host with links over the loopback interface, and without servers.
type testHost struct {
	*parts
	journal *heldJournal
	client  *peerlink.Client
	addr    string
	stop    context.CancelFunc
	ended   chan error
}

func startHost(t *testing.T, n int) *testHost {
	t.Helper()
	addr := groupAddresses[n]
	h := &testHost{journal: newHeldJournal(), addr: addr, ended: make(chan error, 1)}
	host, _, _ := net.SplitHostPort(addr)
	link := peerlink.Options{Key: []byte("key"), Local: net.ParseIP(host), LeaveTimeout: leaveTimeout(time.Second), Log: logr.Discard()}
	h.client = peerlink.NewClient(link)
	var members []*pb.RaftMember
	for _, a := range groupAddresses {
		members = append(members, &pb.RaftMember{Id: a + ".0", Address: a})
	}
	domain := fmt.Sprint("d", n)
	r, err := control.NewReplica(control.Options{
		Identity: port.Identity{Store: addr + ".0"}, Host: addr, Region: "r", FailureDomain: domain, Generation: 1, Members: members,
		Signer: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, 32)), Tick: testTick, SnapshotEvery: 64, Seed: int64(n),
		Journal: h.journal, State: &port.JournalState{}, Peers: h.client, Engines: enginehttp.New(), Clock: port.SystemClock{}, Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	f := control.NewFleet(control.FleetOptions{
		Peer: addr, Operator: addr, Region: "r", FailureDomain: domain, Regions: map[string]string{"d0": "r", "d1": "r", "d2": "r"},
		Seeds: groupAddresses, ServerLease: time.Minute, Peers: h.client, Clock: port.SystemClock{}, Log: logr.Discard(),
	}, r)
	peers, err := peerlink.NewServer(addr, link, r, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	h.parts = &parts{replica: r, fleet: f, peers: peers}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.ended <- h.run(ctx) }()
	return h
}

func startGroup(t *testing.T) []*testHost {
	t.Helper()
	var hosts []*testHost
	for n := range groupAddresses {
		hosts = append(hosts, startHost(t, n))
	}
	t.Cleanup(func() {
		for _, h := range hosts {
			h.stop()
		}
		for _, h := range hosts {
			if err := <-h.ended; err != nil {
				t.Error(err)
			}
			h.client.Close()
		}
	})
	return hosts
}

const record = `{"schema_version":2,"open_operators":true,"regions":[{"name":"r","failure_domains":["d0","d1","d2"]}]}`

func changeID(version uint64) string { return fmt.Sprint("change ", version) }

// propose sends a change of the configuration from one host to another, as to the leader.
func (h *testHost) propose(ctx context.Context, to *testHost, version uint64) (*pb.ProposeResult, error) {
	resp, err := h.client.Call(ctx, to.addr, &pb.Request{From: h.addr, Body: &pb.Request_Propose{Propose: &pb.Propose{
		Command: &pb.Command{ChangeId: changeID(version), Record: []byte(record), DeclaredVersion: version},
	}}})
	return resp.GetProposeResult(), err
}

// awaitLeader has a version accepted, and returns the leader and another host.
func awaitLeader(t *testing.T, hosts []*testHost, version uint64) (leader, other *testHost) {
	t.Helper()
	for {
		for i, h := range hosts {
			other := hosts[(i+1)%len(hosts)]
			if res, err := other.propose(t.Context(), h, version); err == nil && res.GetCode() == "" {
				return h, other
			}
		}
		if t.Context().Err() != nil {
			t.Fatal("the group has no leader")
		}
	}
}

// TestStoppingLeaderFinishesProposals guards against a change that another control host sent to the leader
// and whose outcome it never learns, because the leader stops while it waits for the majority.
func TestStoppingLeaderFinishesProposals(t *testing.T) {
	hosts := startGroup(t)
	leader, other := awaitLeader(t, hosts, 1)
	for _, h := range hosts {
		if h != leader {
			close(h.journal.release)
		}
	}
	type outcome struct {
		res *pb.ProposeResult
		err error
	}
	answer := make(chan outcome, 1)
	go func() {
		res, err := other.propose(t.Context(), leader, heldVersion)
		answer <- outcome{res, err}
	}()
	<-leader.journal.arrived
	leader.stop()
	for other.isAccepted(leader) {
		runtime.Gosched()
	}
	close(leader.journal.release)
	if a := <-answer; a.err != nil || a.res.GetCode() != "" {
		t.Errorf("the proposal in progress got %v, %v", a.res, a.err)
	}
}

// isAccepted reports whether a host still accepts proposals, though it may not answer them.
func (h *testHost) isAccepted(by *testHost) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	res, err := h.propose(ctx, by, heldVersion+1)
	if err != nil {
		return ctx.Err() != nil
	}
	return res.GetCode() != string(failure.NoLeader)
}

// TestStoppingControlHostHandsOver guards against facts that a control host has acknowledged and that are
// lost with its process: the host stops before its next message to the other control hosts.
func TestStoppingControlHostHandsOver(t *testing.T) {
	hosts := startGroup(t)
	leader, other := awaitLeader(t, hosts, 1)
	server := registry.Server{ID: "s1", Start: 1, Service: "llm", Address: "10.1.0.1:80", FailureDomain: "d0", Sequence: 1, Slots: 8}
	if _, err := leader.fleet.Announce(server); err != nil {
		t.Fatal(err)
	}
	for _, h := range hosts {
		for !h.lists(server.ID) {
			runtime.Gosched()
		}
	}
	stream := streamorigin.Key("attempt")
	crashes := &pb.QuarantineRecord{Fingerprint: make([]byte, len(quarantine.Fingerprint{})), Server: []uint64{1, 2}, AgeS: []uint32{0, 0}, Alive: []bool{false, false}}
	sync := &pb.FleetSync{
		Host: &pb.FleetHost{Id: "h1", Region: "r", FailureDomain: "d0", Ready: true}, Primary: true,
		Streams:    &pb.StreamOrigins{Stream: []uint64{stream}, Origin: []uint32{0}, Service: []string{"llm"}, Release: []string{"v1"}},
		Quarantine: []*pb.QuarantineRecord{crashes},
	}
	other.call(t, leader, &pb.Request{Body: &pb.Request_FleetSync{FleetSync: sync}})
	leader.fleet.Leave(server.ID, server.Start)
	leader.stop()
	if err := <-leader.ended; err != nil {
		t.Error(err)
	}
	leader.ended <- nil
	for _, h := range hosts {
		if h == leader {
			continue
		}
		resp := h.replica.HandleRequest(t.Context(), &pb.Request{Body: &pb.Request_StreamQuery{StreamQuery: &pb.StreamQuery{Stream: stream}}})
		if len(resp.GetStreamOrigins().GetRelease()) != 1 {
			t.Errorf("%s does not know the origin of the stream", h.addr)
		}
		resp = h.replica.HandleRequest(t.Context(), &pb.Request{Body: &pb.Request_QuarantineUpdate{QuarantineUpdate: &pb.QuarantineUpdate{}}})
		if len(resp.GetQuarantineUpdate().GetRecords()) != 1 {
			t.Errorf("%s does not know the request that crashes servers", h.addr)
		}
		if h.lists(server.ID) {
			t.Errorf("%s lists the server that left", h.addr)
		}
	}
}

// lists reports whether the host tells entry hosts of a server.
func (h *testHost) lists(server string) bool {
	resp := h.replica.HandleRequest(context.Background(), &pb.Request{Body: &pb.Request_FleetSync{FleetSync: &pb.FleetSync{
		Host: &pb.FleetHost{Id: "h2", Region: "r", FailureDomain: "d1", Ready: true},
	}}})
	return slices.ContainsFunc(resp.GetFleetView().GetServers(), func(s *pb.FleetServer) bool { return s.Id == server && !s.Gone })
}

// call sends a request to another host.
func (h *testHost) call(t *testing.T, to *testHost, req *pb.Request) *pb.Response {
	t.Helper()
	req.From = h.addr
	resp, err := h.client.Call(t.Context(), to.addr, req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestControlHostLeavesLinksForLongerThanARoundTrip guards against links that are closed before a call that crosses the go-away message is answered.
func TestControlHostLeavesLinksForLongerThanARoundTrip(t *testing.T) {
	for _, keepAlive := range []time.Duration{100 * time.Millisecond, time.Second, time.Minute} {
		if got := leaveTimeout(keepAlive); got <= keepAlive {
			t.Errorf("the leave timeout is %s, the bound of a round trip %s", got, keepAlive)
		}
	}
}
