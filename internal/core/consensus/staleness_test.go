package consensus

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestCutOffReplicaIsNotCurrent partitions each replica of a group in turn, also the leader,
// from the others. Its CurrentAsOf must not advance beyond the start of the partition, while
// that of the others advances. After the partition it must be current again.
func TestCutOffReplicaIsNotCurrent(t *testing.T) {
	for _, cut := range []string{"s0", "s1", "s2"} {
		t.Run(cut, func(t *testing.T) {
			sim := newSimulationLeases(1, 3, disabledMechanisms{}, true)
			sim.elect("s0")
			sim.tickAll(5)
			sim.partitions = map[string]int{cut: 1}
			sim.tickAll(1) // messages in transit arrive
			at := sim.servers[cut].node.Ticks()
			sim.tickAll(60)
			if got := sim.servers[cut].node.CurrentAsOf(); got > at {
				t.Errorf("partitioned at tick %d, but current as of tick %d", at, got)
			}
			sim.checkCurrent(t, cut)
			sim.partitions = map[string]int{}
			sim.tickAll(30)
			sim.checkCurrent(t, "")
		})
	}
}

// checkCurrent checks that all replicas, except one, were current within the last election
// timeout.
func (sim *simulation) checkCurrent(t *testing.T, except string) {
	t.Helper()
	for _, id := range sim.serverIDs {
		n := sim.servers[id].node
		if id != except && n.CurrentAsOf()+uint64(n.o.ElectionTicks) < n.Ticks() {
			t.Errorf("%s at tick %d is current only as of tick %d", id, n.Ticks(), n.CurrentAsOf())
		}
	}
}

// TestFollowerThatCatchesUpIsNotCurrent lets a follower miss a change and then receive
// heartbeats but no appends: its CurrentAsOf must not advance before it has applied the
// change.
func TestFollowerThatCatchesUpIsNotCurrent(t *testing.T) {
	sim := newSimulationLeases(1, 3, disabledMechanisms{}, true)
	sim.elect("s0")
	sim.tickAll(5)
	leader, behind := sim.servers["s0"], sim.servers["s2"]
	sim.partitions = map[string]int{"s2": 1}
	if _, _, err := leader.node.Propose([]byte("missed")); err != nil {
		t.Fatal(err)
	}
	sim.tickAll(4)
	before := behind.node.CurrentAsOf()
	sim.partitions = map[string]int{}
	for range 3 * leader.node.o.HeartbeatTicks {
		leader.node.Tick()
		behind.node.Tick()
		sim.process(leader, false)
		sim.net = slices.DeleteFunc(sim.net, func(m *pb.RaftMessage) bool { return MessageType(m.Type) == MsgAppend })
		for _, m := range sim.net {
			sim.servers[m.To].node.Step(proto.Clone(m).(*pb.RaftMessage))
		}
		sim.net = nil
		sim.process(behind, false)
		if got := behind.node.CurrentAsOf(); got > before {
			t.Fatalf("current as of tick %d with %d of %d entries applied", got, behind.node.Status().Applied, leader.node.Status().Commit)
		}
	}
	sim.tickAll(10)
	sim.checkCurrent(t, "")
}
