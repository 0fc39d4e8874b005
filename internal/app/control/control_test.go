package control

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// memoryJournal fails on command.
type memoryJournal struct {
	mu      sync.Mutex
	fail    bool
	records int
}

func (j *memoryJournal) Append(*pb.JournalRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.fail {
		return failure.New(failure.JournalFailed, "", "no space left on device")
	}
	j.records++
	return nil
}

func (j *memoryJournal) SaveSnapshot(*pb.SnapshotFile, *pb.JournalRecord) error { return nil }
func (j *memoryJournal) Close() error                                           { return nil }

func (j *memoryJournal) setFail() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fail = true
}

// engines records the orders.
type engines struct {
	mu     sync.Mutex
	orders []port.Order
}

func (e *engines) Order(_ context.Context, _ string, o port.Order) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	return false, nil
}

type noPeers struct{ port.Peers }

func (noPeers) Call(context.Context, string, *pb.Request) (*pb.Response, error) {
	return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "no network")
}

// testTick is long enough that a test on a busy machine, where ticks are dropped, still has an
// election within the time after which a replica takes itself for cut off.
const testTick = 20 * time.Millisecond

// single runs a control group of one replica.
func single(t *testing.T, maxOrder time.Duration) (*Replica, *memoryJournal, *engines, chan error) {
	t.Helper()
	j, e := &memoryJournal{}, &engines{}
	r, err := NewReplica(Options{
		Identity: port.Identity{Store: "c.0"}, Host: "c", Generation: 1,
		Members: []*pb.RaftMember{{Id: "c.0", Address: "a"}}, Signer: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, 32)),
		Tick: testTick, SnapshotEvery: 100, MaxOrder: maxOrder, LoadsPerMin: 2,
		Journal: j, State: &port.JournalState{}, Peers: noPeers{}, Engines: e, Clock: port.SystemClock{}, Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(cancel)
	return r, j, e, done
}

const goodRecord = `{"schema_version":2,"regions":[{"name":"r","failure_domains":["f"]}],
"hosts":[{"id":"h","region":"r","failure_domain":"f","peer":"127.0.0.1:1","caller":"http://127.0.0.1:2"}],
"operators":[{"name":"o","key_hashes":["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}]}`

func change(r *Replica, base uint64, id string) error {
	_, err := r.Change(context.Background(), &pb.Command{BaseVersion: base, ChangeId: id, Record: []byte(goodRecord)})
	return err
}

// TestFailedJournalTakesTheReplicaOut lets the disk fill up: the change is not
// acknowledged, and the replica takes no further part.
func TestFailedJournalTakesTheReplicaOut(t *testing.T) {
	r, j, _, done := single(t, time.Second)
	if err := change(r, 0, "a"); err != nil {
		t.Fatal(err)
	}
	j.setFail()
	if err := change(r, 1, "b"); err == nil {
		t.Error("a change was acknowledged that the journal did not take")
	}
	if err := <-done; !failure.Is(err, failure.JournalFailed) {
		t.Errorf("the replica ended with %v", err)
	}
	if r.Halted() == nil {
		t.Error("the replica does not say that it is out")
	}
	if err := change(r, 1, "c"); !failure.Is(err, failure.JournalFailed) {
		t.Errorf("after the failure: %v", err)
	}
	if r.Accepted().Stamp.Version != 1 {
		t.Errorf("version %d", r.Accepted().Stamp.Version)
	}
}

func TestRecordThatALiveHostCannotEnforce(t *testing.T) {
	r, _, _, _ := single(t, time.Second)
	r.reports.add([]*pb.HostVersion{{Host: "old-host", MaxSchema: 1, Stamp: &pb.ConfigStamp{}}}, time.Now())
	err := change(r, 0, "a")
	if !failure.Is(err, failure.UnsupportedSchema) || !bytes.Contains([]byte(err.Error()), []byte("old-host")) {
		t.Errorf("got %v, want a refusal that names old-host", err)
	}
	r.reports.add([]*pb.HostVersion{{Host: "old-host", MaxSchema: 2, Stamp: &pb.ConfigStamp{}}}, time.Now().Add(time.Second))
	if err := change(r, 0, "b"); err != nil {
		t.Errorf("after the upgrade: %v", err)
	}
}

// TestOrdersAreFencedAndLimited waits out earlier leaders' orders, numbers the
// orders upwards, and keeps to the weight store's rate.
func TestOrdersAreFencedAndLimited(t *testing.T) {
	r, _, e, _ := single(t, 50*time.Millisecond)
	order := func(action string) error {
		_, err := r.Order(context.Background(), &pb.Order{Address: "x", Action: action, Model: "m"})
		return err
	}
	err := order("role")
	for failure.Is(err, failure.NotReady) {
		if failure.As(err, "").RetryAfter <= 0 {
			t.Fatal("no time to come back")
		}
		err = order("role")
	}
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := order("load"); err != nil {
			t.Fatal(err)
		}
	}
	if err := order("load"); !failure.Is(err, failure.Overloaded) {
		t.Errorf("the third load of a minute: %v", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := 1; i < len(e.orders); i++ {
		if e.orders[i].Fence <= e.orders[i-1].Fence {
			t.Errorf("numbers %d then %d", e.orders[i-1].Fence, e.orders[i].Fence)
		}
	}
	if len(e.orders) != 3 {
		t.Errorf("%d orders carried out", len(e.orders))
	}
}
