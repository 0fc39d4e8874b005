package control

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// recordingJournal keeps its records, so that a store can be reopened from them.
type recordingJournal struct {
	memoryJournal
	state port.JournalState
}

func (j *recordingJournal) Append(rec *pb.JournalRecord) error {
	if err := j.memoryJournal.Append(rec); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if rec.HardState != nil {
		j.state.HardState = rec.HardState
	}
	j.state.Entries = append(j.state.Entries, rec.Entries...)
	return nil
}

// TestReplicaRecoversFromFullDisk fills the disk of a replica for some time. Meanwhile changes and
// reads must be refused, and the process must continue. Afterwards acknowledged changes must still
// be present, refused ones must not, and new changes must be accepted.
func TestReplicaRecoversFromFullDisk(t *testing.T) {
	j := &recordingJournal{}
	reopenAttempts := make(chan struct{}, 64)
	diskFreed := make(chan struct{})
	r, err := NewReplica(Options{
		Identity: port.Identity{Store: "c.0"}, Host: "c", Generation: 1,
		Members: []*pb.RaftMember{{Id: "c.0", Address: "a"}}, Signer: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, 32)),
		Tick: testTick, SnapshotEvery: 100, MaxOrderDuration: time.Second, LoadsPerMinute: 2, Journal: j, State: &port.JournalState{},
		Reopen: func() (port.Journal, *port.JournalState, error) {
			reopenAttempts <- struct{}{}
			select {
			case <-diskFreed:
			default:
				return nil, nil, failure.New(failure.JournalFailed, "", "no space left on device")
			}
			next := &recordingJournal{state: j.state}
			state := j.state
			return next, &state, nil
		},
		Peers: noPeers{}, Engines: &engines{}, Clock: port.SystemClock{}, Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	fleet := NewFleet(FleetOptions{Peer: "a", Peers: noPeers{}, Clock: port.SystemClock{}, Log: logr.Discard()}, r)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	if err := change(r, 0, "a"); err != nil {
		t.Fatal(err)
	}
	j.setFail()
	if err := change(r, 1, "b"); !failure.Is(err, failure.JournalFailed) {
		t.Errorf("change on a full disk: %v", err)
	}
	<-reopenAttempts // the replica retries without a call
	if err := change(r, 1, "c"); !failure.Is(err, failure.JournalFailed) {
		t.Errorf("change while the disk is full: %v", err)
	}
	if _, err := r.Current(context.Background()); !failure.Is(err, failure.JournalFailed) {
		t.Errorf("read while the disk is full: %v", err)
	}
	if v := r.Accepted().Stamp.Version; v != 1 {
		t.Errorf("version %d is offered while the disk is full", v)
	}
	close(diskFreed)
	for r.Halted() != nil {
		runtime.Gosched()
	}
	for failure.Is(err, failure.NoLeader) || err == nil {
		if err = change(r, 1, "d"); err == nil {
			break
		}
	}
	if err != nil {
		t.Errorf("change after the disk has free space: %v", err)
	}
	if last, err := r.Current(ctx); err != nil || last.Version != 2 {
		t.Errorf("version %d after the next change: %v", last.GetVersion(), err)
	}
	for !slices.Contains(r.MemberAddresses(), "d") { // the repair of the group still works
		fleet.applyExchange(&pb.ControlExchange{Store: "d.1", Peer: "d"})
		runtime.Gosched()
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("ended with %v", err)
	}
}
