package consensus

import (
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// neverStarts is the start of a replica that stays down.
const neverStarts = -1

// delayedMessage is a message that arrives at a tick.
type delayedMessage struct {
	m  *pb.RaftMessage
	at int
}

// restartAll stops all replicas of a group with a leader, starts each at its tick,
// and returns the tick at which a leader has committed an entry of its term. Messages
// take oneWay ticks, and those that find a replica down are lost.
func restartAll(t *testing.T, noLeases bool, oneWay int, starts map[string]int) int {
	t.Helper()
	w := newSimulationLeases(1, len(starts), disabledMechanisms{}, noLeases)
	w.elect("s0")
	w.tickAll(5)
	for _, id := range w.order {
		w.crash(w.servers[id])
	}
	var net []delayedMessage
	for tick := range 100 {
		for _, id := range w.order {
			s := w.servers[id]
			if starts[id] == tick {
				w.boot(s)
			} else if s.up {
				s.node.Tick()
			}
		}
		var later []delayedMessage
		for _, u := range net {
			to := w.servers[u.m.To]
			switch {
			case u.at > tick:
				later = append(later, u)
			case to.up:
				to.node.Step(u.m)
			}
		}
		net = later
		for _, id := range w.order {
			w.process(w.servers[id], false)
		}
		for _, m := range w.net {
			net = append(net, delayedMessage{proto.Clone(m).(*pb.RaftMessage), tick + oneWay})
		}
		w.net = nil
		for _, id := range w.order {
			if s := w.servers[id]; s.up && s.node.Role() == Leader && s.node.committedInTerm() {
				return tick
			}
		}
	}
	t.Fatal("no leader after 100 ticks")
	return 0
}

// TestLeaderSoonAfterAllRestart stops a group of five, regions two ticks of 50 ms
// apart, and starts its replicas within eight ticks. The group without leases has a
// leader that committed an entry three round trips after the third replica started,
// and some ticks for the requests that found it down; the one with leases first waits
// for an election timeout.
func TestLeaderSoonAfterAllRestart(t *testing.T) {
	const oneWay = 2
	for name, starts := range map[string]map[string]int{
		"together":        {"s0": 0, "s1": 0, "s2": 0, "s3": 0, "s4": 0},
		"first one late":  {"s0": 8, "s1": 0, "s2": 3, "s3": 5, "s4": 6},
		"first one soon":  {"s0": 0, "s1": 6, "s2": 7, "s3": 8, "s4": 4},
		"last ones late":  {"s0": 0, "s1": 0, "s2": 0, "s3": 8, "s4": 8},
		"two are lost":    {"s0": neverStarts, "s1": neverStarts, "s2": 0, "s3": 4, "s4": 8},
		"others are lost": {"s0": 0, "s1": 4, "s2": neverStarts, "s3": 8, "s4": neverStarts},
	} {
		t.Run(name, func(t *testing.T) {
			const third = 8 // at most
			const waits = 6
			got, with := restartAll(t, true, oneWay, starts), restartAll(t, false, oneWay, starts)
			t.Logf("leader after %d ticks, with leases %d", got, with)
			if limit := third + 3*2*oneWay + waits; got > limit {
				t.Errorf("leader after %d ticks, want %d at most", got, limit)
			}
			if got >= with {
				t.Errorf("leader after %d ticks, with leases after %d", got, with)
			}
		})
	}
}

// TestRestartDoesNotDisturbALeader restarts one follower of a healthy group without
// leases again and again: it stands at once each time, and neither the leader nor the
// term changes.
func TestRestartDoesNotDisturbALeader(t *testing.T) {
	w := newSimulationLeases(1, 3, disabledMechanisms{}, true)
	w.elect("s0")
	w.tickAll(3)
	term := w.servers["s0"].node.Term()
	for range 5 {
		w.crash(w.servers["s2"])
		w.boot(w.servers["s2"])
		w.tickAll(30)
	}
	if s := w.servers["s0"].node; s.Role() != Leader || s.Term() != term {
		t.Errorf("the leader is %s in term %d, was leader in term %d", s.Role(), s.Term(), term)
	}
}
