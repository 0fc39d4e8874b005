package consensus

import (
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// neverStarts is the start tick of a replica that is not restarted.
const neverStarts = -1

// delayedMessage is a message in transit that arrives at tick at.
type delayedMessage struct {
	m  *pb.RaftMessage
	at int
}

// restartAll stops all replicas of a group with a leader, starts each at its tick,
// and returns the tick at which a leader has committed an entry of its term. Messages
// take oneWay ticks, and those that arrive at a stopped replica are lost.
func restartAll(t *testing.T, noLeases bool, oneWay int, starts map[string]int) int {
	t.Helper()
	sim := newSimulationLeases(1, len(starts), disabledMechanisms{}, noLeases)
	sim.elect("s0")
	sim.tickAll(5)
	for _, id := range sim.serverIDs {
		sim.crash(sim.servers[id])
	}
	var net []delayedMessage
	for tick := range 100 {
		for _, id := range sim.serverIDs {
			s := sim.servers[id]
			if starts[id] == tick {
				sim.boot(s)
			} else if s.running {
				s.node.Tick()
			}
		}
		var later []delayedMessage
		for _, u := range net {
			to := sim.servers[u.m.To]
			switch {
			case u.at > tick:
				later = append(later, u)
			case to.running:
				to.node.Step(u.m)
			}
		}
		net = later
		for _, id := range sim.serverIDs {
			sim.process(sim.servers[id], false)
		}
		for _, m := range sim.net {
			net = append(net, delayedMessage{proto.Clone(m).(*pb.RaftMessage), tick + oneWay})
		}
		sim.net = nil
		for _, id := range sim.serverIDs {
			if s := sim.servers[id]; s.running && s.node.Role() == Leader && s.node.committedInTerm() {
				return tick
			}
		}
	}
	t.Fatal("no leader after 100 ticks")
	return 0
}

// TestLeaderSoonAfterAllRestart stops a group of five, in regions two ticks of 50 ms
// apart, and starts its replicas within eight ticks. A group without leases must have
// a leader with a committed entry of its term within three round trips after the start
// of the third replica, plus some ticks for vote requests lost while it was down. A
// group with leases first waits for an election timeout, so it must take longer.
func TestLeaderSoonAfterAllRestart(t *testing.T) {
	const oneWay = 2
	for name, starts := range map[string]map[string]int{
		"all at once":    {"s0": 0, "s1": 0, "s2": 0, "s3": 0, "s4": 0},
		"s0 last":        {"s0": 8, "s1": 0, "s2": 3, "s3": 5, "s4": 6},
		"s0 first":       {"s0": 0, "s1": 6, "s2": 7, "s3": 8, "s4": 4},
		"s3 and s4 late": {"s0": 0, "s1": 0, "s2": 0, "s3": 8, "s4": 8},
		"s0 and s1 lost": {"s0": neverStarts, "s1": neverStarts, "s2": 0, "s3": 4, "s4": 8},
		"s2 and s4 lost": {"s0": 0, "s1": 4, "s2": neverStarts, "s3": 8, "s4": neverStarts},
	} {
		t.Run(name, func(t *testing.T) {
			const thirdStart = 8 // latest start tick of the third replica
			const retryTicks = 6 // ticks for repeated vote requests
			got, with := restartAll(t, true, oneWay, starts), restartAll(t, false, oneWay, starts)
			t.Logf("leader after %d ticks without leases, %d with leases", got, with)
			if limit := thirdStart + 3*2*oneWay + retryTicks; got > limit {
				t.Errorf("leader after %d ticks, want %d at most", got, limit)
			}
			if got >= with {
				t.Errorf("leader after %d ticks, with leases after %d", got, with)
			}
		})
	}
}

// TestRestartDoesNotDisturbALeader repeatedly restarts one follower of a healthy group
// without leases. It starts a pre-vote soon after each restart, and neither the leader
// nor the term may change.
func TestRestartDoesNotDisturbALeader(t *testing.T) {
	sim := newSimulationLeases(1, 3, disabledMechanisms{}, true)
	sim.elect("s0")
	sim.tickAll(3)
	term := sim.servers["s0"].node.Term()
	for range 5 {
		sim.crash(sim.servers["s2"])
		sim.boot(sim.servers["s2"])
		sim.tickAll(30)
	}
	if s := sim.servers["s0"].node; s.Role() != Leader || s.Term() != term {
		t.Errorf("the former leader is a %s in term %d, want leader in term %d", s.Role(), s.Term(), term)
	}
}
