package consensus

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// schedules returns n multiplied by the environment variable SESAME_SOAK, if set.
func schedules(n int) int {
	if f, err := strconv.Atoi(os.Getenv("SESAME_SOAK")); err == nil {
		return n * f
	}
	return n
}

// runSchedules runs schedules with seeds from 0 in a group of n replicas with leases. It
// returns the first violation, the number of schedules with one, and the number of accepted
// changes.
func runSchedules(n, count int, disabled disabledMechanisms) (firstViolation string, violating, accepted int) {
	return runSchedulesLeases(n, count, disabled, false)
}

func runSchedulesLeases(n, count int, disabled disabledMechanisms, noLeases bool) (firstViolation string, bad, accepted int) {
	for seed := range int64(count) {
		sim := newSimulationLeases(seed, n, disabled, noLeases)
		sim.run(4000, int(seed%3))
		accepted += sim.acceptedChanges()
		if v := sim.violation(); v != "" {
			bad++
			if firstViolation == "" {
				firstViolation = fmt.Sprintf("seed %d: %s", seed, v)
			}
		}
	}
	return firstViolation, bad, accepted
}

// TestLinearizableOnRandomSchedules runs schedules of crashes, lost disks,
// network partitions, dropped, duplicated and reordered messages, membership
// changes and snapshots. The configuration register must stay linearizable, no
// accepted version may be lost, and no term may have two leaders.
func TestLinearizableOnRandomSchedules(t *testing.T) {
	for _, noLeases := range []bool{false, true} {
		for _, n := range []int{3, 5} {
			count := schedules(150)
			first, bad, accepted := runSchedulesLeases(n, count, disabledMechanisms{}, noLeases)
			t.Logf("%d replicas, no leases %v: %d schedules, %d changes accepted, %d schedules with violations", n, noLeases, count, accepted, bad)
			if bad > 0 {
				t.Errorf("%d replicas: %d of %d schedules with violations; first: %s", n, bad, count, first)
			}
			if accepted < 2*count {
				t.Errorf("%d replicas: only %d changes accepted in %d schedules, too few for a meaningful check", n, accepted, count)
			}
		}
	}
}

// TestChecksSeeBrokenMechanisms disables one safety mechanism at a time: the same
// schedules must then cause violations, which shows that the checks detect them.
func TestChecksSeeBrokenMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		disabled disabledMechanisms
		count    int
	}{
		"sync":     {disabledMechanisms{sync: true}, 30},
		"identity": {disabledMechanisms{identity: true}, 100},
		"reads":    {disabledMechanisms{reads: true}, 1200},
	} {
		t.Run(name, func(t *testing.T) {
			first, bad, _ := runSchedules(3, c.count, c.disabled)
			t.Logf("%d of %d schedules with violations; first: %s", bad, c.count, first)
			if bad == 0 {
				t.Error("no schedule had a violation with the mechanism disabled")
			}
		})
	}
}

// group returns a simulation of n replicas with no mechanism disabled.
func group(n int) *simulation { return newSimulation(1, n, disabledMechanisms{}) }

// deliverAll delivers messages in order until none is left; those to a stopped or partitioned
// replica are lost.
func (sim *simulation) deliverAll() {
	for len(sim.net) > 0 {
		m := sim.net[0]
		sim.net = sim.net[1:]
		if to := sim.servers[m.To]; to != nil && to.running && sim.partitions[m.From] == sim.partitions[m.To] {
			to.node.Step(m)
			sim.process(to, false)
		}
	}
}

// elect lets a replica campaign and delivers all messages, so that it becomes leader.
func (sim *simulation) elect(id string) *server {
	s := sim.servers[id]
	s.node.campaign(PreCandidate)
	sim.process(s, false)
	sim.deliverAll()
	return s
}

func (sim *simulation) tickAll(n int) {
	for range n {
		for _, id := range sim.serverIDs {
			sim.servers[id].node.Tick()
			sim.process(sim.servers[id], false)
		}
		sim.deliverAll()
	}
}

// TestVoteSurvivesRestart elects a leader with its own vote and one other, restarts
// the other voter, and lets the third replica request its vote in the same term.
// Without a durable vote, the term gets two leaders.
func TestVoteSurvivesRestart(t *testing.T) {
	leaders := func(b disabledMechanisms) int {
		sim := newSimulation(1, 3, b)
		sim.partitions = map[string]int{"s2": 1}
		sim.servers["s0"].node.campaign(Candidate)
		sim.process(sim.servers["s0"], false)
		for len(sim.net) > 0 && MessageType(sim.net[0].Type) <= MsgVoteReply {
			m := sim.net[0]
			sim.net = sim.net[1:]
			if sim.partitions[m.To] == 0 {
				sim.servers[m.To].node.Step(m)
				sim.process(sim.servers[m.To], false)
			}
		}
		sim.net = nil // s1 voted and has no entry of the new leader
		sim.crash(sim.servers["s1"])
		sim.boot(sim.servers["s1"])
		sim.servers["s1"].node.tick = 100 // past the election timeout after a restart, in which it ignores vote requests
		sim.partitions = map[string]int{"s0": 1}
		sim.servers["s2"].node.campaign(Candidate) // in term 1, as it received no message of the leader
		sim.process(sim.servers["s2"], false)
		sim.deliverAll()
		return len(sim.violations)
	}
	if leaders(disabledMechanisms{}) != 0 {
		t.Error("two leaders in one term")
	}
	if leaders(disabledMechanisms{vote: true}) == 0 {
		t.Error("no second leader in the term although the vote is not durable; the test does not detect the failure")
	}
}

func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	sim := group(3)
	s0 := sim.elect("s0")
	sim.partitions = map[string]int{"s2": 1}
	sim.tickAll(500)
	term := s0.node.term
	if got := sim.servers["s2"].node.term; got != term {
		t.Errorf("the partitioned replica's term rose to %d, want %d: pre-vote must not raise it", got, term)
	}
	sim.partitions = map[string]int{}
	sim.tickAll(30)
	if s0.node.term != term || s0.node.role != Leader {
		t.Errorf("term %d role %s after the partition, want %d leader", s0.node.term, s0.node.role, term)
	}
}

func TestLeaderWithoutMajorityLosesLeaseBeforeOthersElect(t *testing.T) {
	sim := group(3)
	old := sim.elect("s0")
	sim.tickAll(2)
	if old.node.LeaseTicks() == 0 {
		t.Fatal("a leader with quorum contact has no lease")
	}
	sim.partitions = map[string]int{"s0": 1}
	for range 60 {
		sim.tickAll(1)
		for _, id := range []string{"s1", "s2"} {
			if sim.servers[id].node.role == Leader && old.node.LeaseTicks() > 0 {
				t.Fatal("two replicas hold a lease")
			}
		}
	}
	if old.node.role == Leader {
		t.Error("a leader without a majority did not step down")
	}
	if err := old.node.ReadIndex(1); !failure.Is(err, failure.NoLeader) {
		t.Errorf("a replica without a lease accepted a read: %v", err)
	}
}

func TestMembershipChangesThatAreRefused(t *testing.T) {
	members := func(ids ...string) *pb.RaftMembers {
		out := &pb.RaftMembers{}
		for _, id := range ids {
			out.Members = append(out.Members, &pb.RaftMember{Id: id, Address: "a"})
		}
		return out
	}
	for _, c := range []struct {
		name string
		prep func(*simulation)
		next *pb.RaftMembers
		want failure.Code
	}{
		{"two voters at once", nil, members("s0"), failure.UnsafeMembership},
		{"a new voter that was not a learner before", nil, members("s0", "s1", "s2", "new"), failure.UnsafeMembership},
		{"no majority caught up", func(sim *simulation) {
			sim.partitions["s1"], sim.partitions["s2"] = 1, 1
			sim.servers["s0"].node.tick += 100
		}, members("s0", "s1"), failure.UnsafeMembership},
		{"another change not committed", func(sim *simulation) {
			sim.partitions["s1"], sim.partitions["s2"] = 1, 1
			next := proto.Clone(sim.servers["s0"].node.members).(*pb.RaftMembers)
			next.Members = append(next.Members, &pb.RaftMember{Id: "l", Learner: true})
			if _, _, err := sim.servers["s0"].node.ProposeMembers(next); err != nil {
				panic(err)
			}
		}, members("s0", "s1", "s2"), failure.MembershipPending},
		{"removal of one voter", nil, members("s0", "s1"), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := group(3)
			s := sim.elect("s0")
			sim.tickAll(3)
			if c.prep != nil {
				c.prep(sim)
			}
			_, _, err := s.node.ProposeMembers(c.next)
			if c.want == "" && err != nil || c.want != "" && !failure.Is(err, c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func TestSurvivableLosses(t *testing.T) {
	for _, c := range []struct {
		group     string // members in the notation of statusOf
		committed string // members before a change that is not committed; "" for none
		want      int
	}{
		{"a b c", "", 1},
		{"a b c!", "", 0},
		{"a b c! d?", "", 0},
		{"a b! c!", "", -1},
		{"a b c d e", "", 2},
		{"a b d", "a b c d", 0},
		{"a b c d", "a b c", 1},
		{"a b c! d", "a b c!", 0},
	} {
		st := statusOf(strings.Fields(c.group)...)
		if c.committed != "" {
			st.CommittedMembers = statusOf(strings.Fields(c.committed)...).Members
		}
		if got := SurvivableLosses(st); got != c.want {
			t.Errorf("%q after %q: %d, want %d", c.group, c.committed, got, c.want)
		}
	}
}

// TestRemovalUnderWayIsNoRepairYet proposes the removal of a lost voter. If the leader
// is lost before another voter has the entry, two of four voters are lost and the
// group has no majority, so until the commit no loss may be reported as survivable.
func TestRemovalUnderWayIsNoRepairYet(t *testing.T) {
	sim := group(4)
	s := sim.elect("s0")
	sim.tickAll(3)
	sim.crash(sim.servers["s3"])
	sim.tickAll(12)
	next := &pb.RaftMembers{}
	for _, m := range s.node.members.Members {
		if m.Id != "s3" {
			next.Members = append(next.Members, m)
		}
	}
	if _, _, err := s.node.ProposeMembers(next); err != nil {
		t.Fatal(err)
	}
	if got := SurvivableLosses(s.node.Status()); got != 0 {
		t.Errorf("%d losses survivable while the removal is not committed, want 0", got)
	}
	sim.process(s, false)
	sim.tickAll(3)
	if got := SurvivableLosses(s.node.Status()); got != 1 {
		t.Errorf("%d losses survivable once it is committed, want 1", got)
	}
}

// TestHeartbeatsOvertakeALargeAppend answers heartbeats while an append is still in
// transit, as happens with a large one between regions. The append must not be sent
// again until more than resendRounds later heartbeats have been answered.
func TestHeartbeatsOvertakeALargeAppend(t *testing.T) {
	members := &pb.RaftMembers{Members: []*pb.RaftMember{{Id: "a", Address: "a"}, {Id: "b", Address: "b"}}}
	a := New(Options{ID: "a", ElectionTicks: 10, HeartbeatTicks: 1, Seed: 1, Snapshot: Snapshot{Members: members}})
	b := New(Options{ID: "b", ElectionTicks: 10, HeartbeatTicks: 1, Seed: 99, Snapshot: Snapshot{Members: members}})
	// deliver exchanges messages until there are none. While hold is set, it counts and
	// drops appends with entries.
	held, hold := 0, false
	deliver := func() {
		for {
			moved := false
			for _, pair := range [][2]*Node{{a, b}, {b, a}} {
				rd := pair[0].Ready()
				for _, m := range rd.Messages {
					moved = true
					if hold && MessageType(m.Type) == MsgAppend && len(m.Entries) > 0 {
						held++
						continue
					}
					pair[1].Step(m)
				}
				pair[0].Advance(rd)
			}
			if !moved {
				return
			}
		}
	}
	for range 100 {
		if a.Role() == Leader {
			break
		}
		a.Tick()
		deliver()
	}
	if a.Role() != Leader {
		t.Fatal("no leader")
	}
	hold = true
	if _, _, err := a.Propose([]byte("large")); err != nil {
		t.Fatal(err)
	}
	deliver()
	const rounds = 4 // answered heartbeats that may overtake the append
	for range rounds {
		a.Tick()
		deliver()
	}
	if held != 1 {
		t.Errorf("append sent %d times while it may be in transit, want once", held)
	}
	a.Tick()
	deliver()
	if held != 2 {
		t.Errorf("append sent %d times, want twice after more than %d answered heartbeats", held, rounds)
	}
}
