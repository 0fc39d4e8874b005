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

// memoryJournal counts the appended records and fails after setFail.
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

// engines records the orders that it receives.
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

// testTick is long enough that, on a busy machine where ticks are dropped, an election still
// completes before a replica considers itself isolated.
const testTick = 20 * time.Millisecond

// startSingleReplica runs a control group of one replica.
func startSingleReplica(t *testing.T, maxOrder time.Duration) (*Replica, *memoryJournal, *engines, chan error) {
	t.Helper()
	j, e := &memoryJournal{}, &engines{}
	r, err := NewReplica(Options{
		Identity: port.Identity{Store: "c.0"}, Host: "c", Generation: 1,
		Members: []*pb.RaftMember{{Id: "c.0", Address: "a"}}, Signer: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, 32)),
		Tick: testTick, SnapshotEvery: 100, MaxOrderDuration: maxOrder, LoadsPerMinute: 2,
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

const validRecord = `{"schema_version":2,"regions":[{"name":"r","failure_domains":["f"]}],
"hosts":[{"id":"h","region":"r","failure_domain":"f","peer":"127.0.0.1:1","caller":"http://127.0.0.1:2"}],
"operators":[{"name":"o","key_hashes":["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}]}`

func change(r *Replica, base uint64, id string) error {
	_, err := r.Change(context.Background(), &pb.Command{BaseVersion: base, ChangeId: id, Record: []byte(validRecord)})
	return err
}

// TestJournalFailureHaltsReplica fills the disk before a change is appended: the change must not be
// acknowledged, and the replica must halt.
func TestJournalFailureHaltsReplica(t *testing.T) {
	r, j, _, done := startSingleReplica(t, time.Second)
	if err := change(r, 0, "a"); err != nil {
		t.Fatal(err)
	}
	j.setFail()
	if err := change(r, 1, "b"); err == nil {
		t.Error("a change was acknowledged that was not appended to the journal")
	}
	if err := <-done; !failure.Is(err, failure.JournalFailed) {
		t.Errorf("the replica ended with %v", err)
	}
	if r.Halted() == nil {
		t.Error("the replica does not report that it halted")
	}
	if err := change(r, 1, "c"); !failure.Is(err, failure.JournalFailed) {
		t.Errorf("after the failure: %v", err)
	}
	if r.Accepted().Stamp.Version != 1 {
		t.Errorf("version %d", r.Accepted().Stamp.Version)
	}
}

func TestRecordIsRefusedWhenLiveHostLacksSchema(t *testing.T) {
	r, _, _, _ := startSingleReplica(t, time.Second)
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

// TestOrdersAreFencedAndLimited checks that a new leader delays its first order until orders of
// earlier leaders have expired, that orders have increasing fencing numbers, and that load orders
// keep to the weight store's rate limit.
func TestOrdersAreFencedAndLimited(t *testing.T) {
	r, _, e, _ := startSingleReplica(t, 50*time.Millisecond)
	order := func(action string) error {
		_, err := r.Order(context.Background(), &pb.Order{Address: "x", Action: action, Model: "m"})
		return err
	}
	err := order("role")
	for failure.Is(err, failure.NotReady) {
		if failure.As(err, "").RetryAfter <= 0 {
			t.Fatal("refused without a retry-after time")
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
			t.Errorf("fencing number %d followed by %d", e.orders[i-1].Fence, e.orders[i].Fence)
		}
	}
	if len(e.orders) != 3 {
		t.Errorf("%d orders reached the engine, want 3", len(e.orders))
	}
}
