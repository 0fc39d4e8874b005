package consensus

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestCutOffReplicaIsNotCurrent cuts each replica of a group off in turn, the leader too:
// what it may vouch for stays as of the cut, while that of the others goes on; after the
// cut it is current again.
func TestCutOffReplicaIsNotCurrent(t *testing.T) {
	for _, cut := range []string{"s0", "s1", "s2"} {
		t.Run(cut, func(t *testing.T) {
			w := newSimulationLeases(1, 3, disabledMechanisms{}, true)
			w.elect("s0")
			w.tickAll(5)
			w.cut = map[string]int{cut: 1}
			w.tickAll(1) // what was under way arrives
			at := w.servers[cut].node.Ticks()
			w.tickAll(60)
			if got := w.servers[cut].node.CurrentAsOf(); got > at {
				t.Errorf("cut off at tick %d, it vouches for tick %d", at, got)
			}
			w.checkCurrent(t, cut)
			w.cut = map[string]int{}
			w.tickAll(30)
			w.checkCurrent(t, "")
		})
	}
}

// checkCurrent checks that all replicas but one were current within an election timeout.
func (w *simulation) checkCurrent(t *testing.T, but string) {
	t.Helper()
	for _, id := range w.order {
		n := w.servers[id].node
		if id != but && n.CurrentAsOf()+uint64(n.o.ElectionTicks) < n.Ticks() {
			t.Errorf("%s, at tick %d, vouches for tick %d only", id, n.Ticks(), n.CurrentAsOf())
		}
	}
}

// TestFollowerThatCatchesUpIsNotCurrent lets a follower miss changes and then hear
// heartbeats only: it must not vouch for its state before it has applied what it missed.
func TestFollowerThatCatchesUpIsNotCurrent(t *testing.T) {
	w := newSimulationLeases(1, 3, disabledMechanisms{}, true)
	w.elect("s0")
	w.tickAll(5)
	leader, behind := w.servers["s0"], w.servers["s2"]
	w.cut = map[string]int{"s2": 1}
	if _, _, err := leader.node.Propose([]byte("missed")); err != nil {
		t.Fatal(err)
	}
	w.tickAll(4)
	before := behind.node.CurrentAsOf()
	w.cut = map[string]int{}
	for range 3 * leader.node.o.HeartbeatTicks {
		leader.node.Tick()
		behind.node.Tick()
		w.process(leader, false)
		w.net = slices.DeleteFunc(w.net, func(m *pb.RaftMessage) bool { return MessageType(m.Type) == MsgAppend })
		for _, m := range w.net {
			w.servers[m.To].node.Step(proto.Clone(m).(*pb.RaftMessage))
		}
		w.net = nil
		w.process(behind, false)
		if got := behind.node.CurrentAsOf(); got > before {
			t.Fatalf("vouches for tick %d with %d of %d entries applied", got, behind.node.Status().Applied, leader.node.Status().Commit)
		}
	}
	w.tickAll(10)
	w.checkCurrent(t, "")
}
