package control

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// diskJournal keeps the appended records in memory; they survive a restart of the control host.
type diskJournal struct {
	mu    sync.Mutex
	state port.JournalState
}

func (j *diskJournal) Append(r *pb.JournalRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r.HardState != nil {
		j.state.HardState = r.HardState
	}
	for _, e := range r.Entries {
		for n := len(j.state.Entries); n > 0 && j.state.Entries[n-1].Index >= e.Index; n-- {
			j.state.Entries = j.state.Entries[:n-1]
		}
		j.state.Entries = append(j.state.Entries, e)
	}
	return nil
}

func (j *diskJournal) SaveSnapshot(s *pb.SnapshotFile, tail *pb.JournalRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.state.Snapshot, j.state.HardState = s, tail.HardState
	j.state.Entries = append([]*pb.RaftEntry(nil), tail.Entries...)
	return nil
}

func (j *diskJournal) Close() error { return nil }

func (j *diskJournal) read() *port.JournalState {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.state
	s.Entries = append([]*pb.RaftEntry(nil), j.state.Entries...)
	return &s
}

// group runs control hosts in one process and delivers the calls between them.
type group struct {
	t     *testing.T
	mu    sync.Mutex
	up    map[string]*member // by peer address
	clock port.Clock         // for hosts started later; nil for the system clock
	// drop, unless nil, selects the consensus messages to an address that are lost.
	drop func(addr string, m *pb.RaftMessage) bool
	// answer, unless nil, may answer a call in place of the host; nil passes the call on.
	answer func(req *pb.Request) *pb.Response
}

type member struct {
	r    *Replica
	f    *Fleet
	j    *diskJournal
	stop context.CancelFunc
	done chan struct{}
}

var founderAddresses = []string{"10.1.0.1:7", "10.2.0.1:7", "10.3.0.1:7"}

// Call implements port.Peers.
func (g *group) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	g.mu.Lock()
	m, drop, answer := g.up[addr], g.drop, g.answer
	g.mu.Unlock()
	if answer != nil {
		if resp := answer(req); resp != nil {
			return resp, nil
		}
	}
	if m == nil {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "%s is down", addr)
	}
	req = proto.Clone(req).(*pb.Request)
	if c := req.GetConsensus(); c != nil && drop != nil {
		c.Messages = slices.DeleteFunc(c.Messages, func(m *pb.RaftMessage) bool { return drop(addr, m) })
	}
	resp := m.r.HandleRequest(ctx, req)
	return resp, ctx.Err()
}

// Open implements port.Peers.
func (g *group) Open(context.Context, string, *pb.Request, []byte) (port.ForwardStream, bool, error) {
	return nil, false, failure.New(failure.PeerUnreachable, failure.NotRun, "the test network does not support forwards")
}

// start runs the control host at an address with the given store and journal.
func (g *group) start(addr, store string, j *diskJournal, founders []string) *member {
	g.t.Helper()
	var clock port.Clock = port.SystemClock{}
	if g.clock != nil {
		clock = g.clock
	}
	var members []*pb.RaftMember
	for _, a := range founders {
		members = append(members, &pb.RaftMember{Id: a + ".0", Address: a})
	}
	r, err := NewReplica(Options{
		Identity: port.Identity{Store: store}, Host: addr, Region: "r", FailureDomain: "f", Generation: 1, Members: members,
		Signer: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, 32)), Tick: 5 * time.Millisecond, SnapshotEvery: 64, Seed: int64(len(store)) + int64(addr[3]),
		Journal: j, State: j.read(), Peers: g, Clock: clock, Log: logr.Discard(),
	})
	if err != nil {
		g.t.Fatal(err)
	}
	f := NewFleet(FleetOptions{
		Peer: addr, Operator: addr, Region: "r", FailureDomain: "f", Regions: map[string]string{"f": "r"},
		Seeds: founderAddresses, ServerLease: time.Second, Peers: g, Clock: clock, Log: logr.Discard(),
	}, r)
	ctx, stop := context.WithCancel(context.Background())
	m := &member{r: r, f: f, j: j, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		var wg sync.WaitGroup
		wg.Add(1)
		go func() { defer wg.Done(); _ = f.Run(ctx) }()
		_ = r.Run(ctx)
		wg.Wait()
	}()
	g.mu.Lock()
	g.up[addr] = m
	g.mu.Unlock()
	return m
}

func (g *group) member(addr string) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up[addr]
}

func (g *group) setDrop(f func(addr string, m *pb.RaftMessage) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop = f
}

func (g *group) kill(addr string) *member {
	g.mu.Lock()
	m := g.up[addr]
	delete(g.up, addr)
	g.mu.Unlock()
	m.stop()
	<-m.done
	return m
}

func newGroup(t *testing.T) *group { return newGroupWithClock(t, nil) }

func newGroupWithClock(t *testing.T, clock port.Clock) *group {
	g := &group{t: t, up: map[string]*member{}, clock: clock}
	for _, a := range founderAddresses {
		g.start(a, a+".0", &diskJournal{}, founderAddresses)
	}
	t.Cleanup(func() {
		for _, a := range g.addresses() {
			g.kill(a)
		}
	})
	return g
}

func (g *group) addresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for a := range g.up {
		out = append(out, a)
	}
	return out
}

// awaitTimeout limits the time to wait for an expected condition.
const awaitTimeout = 20 * time.Second

// await waits until cond holds.
func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	deadline := time.After(awaitTimeout)
	for !cond() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

const openRecord = `{"schema_version":2,"open_operators":true,"regions":[{"name":"r","failure_domains":["f"]}]}`

// commitVersion has a version of the record accepted through any control host that is up.
func (g *group) commitVersion(version uint64) {
	g.t.Helper()
	await(g.t, "the declared version is acknowledged", func() bool {
		for _, a := range g.addresses() {
			g.mu.Lock()
			m := g.up[a]
			g.mu.Unlock()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := m.r.Change(ctx, &pb.Command{Record: []byte(openRecord), DeclaredVersion: version})
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

// voters returns the IDs of the voters as reported by the leader, and whether each has caught up.
func (g *group) voters() map[string]bool {
	voters, _ := g.membership()
	return voters
}

// membership returns the voters as reported by the leader, and the number of further losses that
// the group survives according to it.
func (g *group) membership() (voters map[string]bool, survivable int32) {
	out := map[string]bool{}
	for _, a := range g.addresses() {
		g.mu.Lock()
		m := g.up[a]
		g.mu.Unlock()
		st, err := m.r.Status(context.Background())
		if err != nil || st.Role != "leader" {
			continue
		}
		survivable = st.SurvivableLosses
		for _, v := range st.Replicas {
			if !v.Learner {
				out[v.Id] = v.CaughtUp
			}
		}
	}
	return out, survivable
}

// TestLostStoreIsReplaced restarts one host with an empty data folder. Its new store must catch up,
// replace the lost one as a voter, and let the group survive the next loss.
func TestLostStoreIsReplaced(t *testing.T) {
	for _, lost := range founderAddresses {
		t.Run(lost, func(t *testing.T) {
			g := newGroup(t)
			g.commitVersion(5)
			g.kill(lost)
			g.start(lost, lost+".new", &diskJournal{}, nil)
			await(t, "the new store replaces the lost one, and the next loss is survivable", func() bool {
				v, survivable := g.membership()
				_, old := v[lost+".0"]
				return len(v) == 3 && v[lost+".new"] && !old && survivable == 1
			})
			for _, a := range founderAddresses {
				if a != lost {
					g.kill(a)
					break
				}
			}
			g.commitVersion(6)
		})
	}
}

// TestReplacementAtAnotherAddress stops one host for good and starts an empty host at another
// address, which must replace the lost one.
func TestReplacementAtAnotherAddress(t *testing.T) {
	g := newGroup(t)
	g.commitVersion(5)
	gone, fresh := founderAddresses[1], "10.4.0.1:7"
	g.kill(gone)
	g.start(fresh, fresh+".new", &diskJournal{}, nil)
	await(t, "the empty host is a voter", func() bool { return g.voters()[fresh+".new"] })
	g.commitVersion(6)
	await(t, "the lost voter is removed", func() bool {
		_, old := g.voters()[gone+".0"]
		return len(g.voters()) == 3 && !old
	})
}

// TestRestartedHostOffersNoStaleConfiguration restarts a host whose journal contains a lower commit
// index than was acknowledged, as after a power loss: the commit index is not synced with each
// change. Before the host has contact with a leader it cannot determine which configuration is
// the newest, so it must not offer the one that it has applied to entry hosts.
func TestRestartedHostOffersNoStaleConfiguration(t *testing.T) {
	g := newGroup(t)
	for v := uint64(5); v < 10; v++ {
		g.commitVersion(v)
	}
	addr := founderAddresses[2]
	await(t, "the change is applied on the host", func() bool {
		g.mu.Lock()
		m := g.up[addr]
		g.mu.Unlock()
		return m.r.Accepted().Stamp.Version == 9
	})
	var j *diskJournal
	for _, a := range founderAddresses {
		m := g.kill(a)
		if a == addr {
			j = m.j
		}
	}
	j.state.HardState = proto.Clone(j.state.HardState).(*pb.HardState)
	j.state.HardState.Commit = 3
	m := g.start(addr, addr+".0", j, founderAddresses)
	await(t, "the entries up to the stored commit index are applied", func() bool { return m.r.Accepted().Stamp.Version > 0 })
	resp := m.r.HandleRequest(context.Background(), &pb.Request{Body: &pb.Request_ConfigFetch{ConfigFetch: &pb.ConfigFetch{}}})
	if got := resp.GetConfig().GetStamp().GetVersion(); got != 0 {
		t.Errorf("offered version %d before contact with a leader; 9 was acknowledged", got)
	}
	if got := resp.GetStamp().GetVersion(); got != 0 {
		t.Errorf("response stamp has version %d before contact with a leader", got)
	}
	other := founderAddresses[0]
	g.start(other, other+".0", &diskJournal{state: *j.read()}, founderAddresses)
	await(t, "the newest version is offered after contact with a leader", func() bool {
		resp := m.r.HandleRequest(context.Background(), &pb.Request{Body: &pb.Request_ConfigFetch{ConfigFetch: &pb.ConfigFetch{}}})
		return resp.GetConfig().GetStamp().GetVersion() == 9
	})
}
