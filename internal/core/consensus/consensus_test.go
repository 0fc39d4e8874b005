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

// schedules returns the number of schedules of a check; SESAME_SOAK multiplies it.
func schedules(n int) int {
	if f, err := strconv.Atoi(os.Getenv("SESAME_SOAK")); err == nil {
		return n * f
	}
	return n
}

func runSchedules(n, count int, b disabledMechanisms) (first string, bad, accepted int) {
	return runSchedulesLeases(n, count, b, false)
}

func runSchedulesLeases(n, count int, b disabledMechanisms, noLeases bool) (first string, bad, accepted int) {
	for seed := range int64(count) {
		w := newSimulationLeases(seed, n, b, noLeases)
		w.run(4000, int(seed%3))
		accepted += w.acceptedChanges()
		if v := w.violation(); v != "" {
			bad++
			if first == "" {
				first = fmt.Sprintf("seed %d: %s", seed, v)
			}
		}
	}
	return first, bad, accepted
}

// TestLinearizableOnRandomSchedules plays schedules of crashes, lost disks,
// partitions, dropped, repeated and reordered messages, membership changes and
// snapshots: the configuration register stays linearizable, no accepted version
// is lost, and no term has two leaders.
func TestLinearizableOnRandomSchedules(t *testing.T) {
	for _, noLeases := range []bool{false, true} {
		for _, n := range []int{3, 5} {
			count := schedules(150)
			first, bad, accepted := runSchedulesLeases(n, count, disabledMechanisms{}, noLeases)
			t.Logf("%d replicas, no leases %v: %d schedules, %d changes accepted, %d broken", n, noLeases, count, accepted, bad)
			if bad > 0 {
				t.Errorf("%d replicas: %d of %d schedules broken; first: %s", n, bad, count, first)
			}
			if accepted < 2*count {
				t.Errorf("%d replicas: only %d changes accepted in %d schedules; the check sees too little", n, accepted, count)
			}
		}
	}
}

// TestChecksSeeBrokenMechanisms switches off one mechanism at a time: the same
// schedules must then break a promise.
func TestChecksSeeBrokenMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		broken disabledMechanisms
		count  int
	}{
		"sync":     {disabledMechanisms{sync: true}, 30},
		"identity": {disabledMechanisms{identity: true}, 100},
		"reads":    {disabledMechanisms{reads: true}, 1200},
	} {
		t.Run(name, func(t *testing.T) {
			first, bad, _ := runSchedules(3, c.count, c.broken)
			t.Logf("%d of %d schedules broken; first: %s", bad, c.count, first)
			if bad == 0 {
				t.Error("no schedule broke a promise without the mechanism")
			}
		})
	}
}

// group returns n replicas without faults in the way.
func group(n int) *simulation { return newSimulation(1, n, disabledMechanisms{}) }

// deliverAll delivers all messages in order until none is left.
func (w *simulation) deliverAll() {
	for len(w.net) > 0 {
		m := w.net[0]
		w.net = w.net[1:]
		if to := w.servers[m.To]; to != nil && to.up && w.cut[m.From] == w.cut[m.To] {
			to.node.Step(m)
			w.process(to, false)
		}
	}
}

// elect lets the replica campaign and win.
func (w *simulation) elect(id string) *server {
	s := w.servers[id]
	s.node.campaign(PreCandidate)
	w.process(s, false)
	w.deliverAll()
	return s
}

func (w *simulation) tickAll(n int) {
	for range n {
		for _, id := range w.order {
			w.servers[id].node.Tick()
			w.process(w.servers[id], false)
		}
		w.deliverAll()
	}
}

// TestVoteSurvivesRestart elects a leader with one vote beside its own, restarts
// the voter, and lets the third replica ask it for the same term's vote.
func TestVoteSurvivesRestart(t *testing.T) {
	leaders := func(b disabledMechanisms) int {
		w := newSimulation(1, 3, b)
		w.cut = map[string]int{"s2": 1}
		w.servers["s0"].node.campaign(Candidate)
		w.process(w.servers["s0"], false)
		for len(w.net) > 0 && MessageType(w.net[0].Type) <= MsgVoteReply {
			m := w.net[0]
			w.net = w.net[1:]
			if w.cut[m.To] == 0 {
				w.servers[m.To].node.Step(m)
				w.process(w.servers[m.To], false)
			}
		}
		w.net = nil // s1 voted and has no entry of the new leader
		w.crash(w.servers["s1"])
		w.boot(w.servers["s1"])
		w.servers["s1"].node.tick = 100 // past the silence after a restart
		w.cut = map[string]int{"s0": 1}
		w.servers["s2"].node.campaign(Candidate) // of term 1: it never heard of the leader
		w.process(w.servers["s2"], false)
		w.deliverAll()
		return len(w.violations)
	}
	if leaders(disabledMechanisms{}) != 0 {
		t.Error("two leaders in one term")
	}
	if leaders(disabledMechanisms{vote: true}) == 0 {
		t.Error("without the vote on disk the term must get two leaders")
	}
}

func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	w := group(3)
	s0 := w.elect("s0")
	w.cut = map[string]int{"s2": 1}
	w.tickAll(500)
	term := s0.node.term
	if got := w.servers["s2"].node.term; got != term {
		t.Errorf("the cut-off replica's term rose to %d, want %d: pre-vote must not raise it", got, term)
	}
	w.cut = map[string]int{}
	w.tickAll(30)
	if s0.node.term != term || s0.node.role != Leader {
		t.Errorf("term %d role %s after the return, want %d leader", s0.node.term, s0.node.role, term)
	}
}

func TestLeaderWithoutMajorityLosesLeaseBeforeOthersElect(t *testing.T) {
	w := group(3)
	old := w.elect("s0")
	w.tickAll(2)
	if old.node.LeaseTicks() == 0 {
		t.Fatal("a leader in touch has no lease")
	}
	w.cut = map[string]int{"s0": 1}
	for range 60 {
		w.tickAll(1)
		for _, id := range []string{"s1", "s2"} {
			if w.servers[id].node.role == Leader && old.node.LeaseTicks() > 0 {
				t.Fatal("two replicas hold a lease")
			}
		}
	}
	if old.node.role == Leader {
		t.Error("a leader without a majority did not step down")
	}
	if err := old.node.ReadIndex(1); !failure.Is(err, failure.NoLeader) {
		t.Errorf("a replica without lease answered a read: %v", err)
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
		{"a voter that was no learner", nil, members("s0", "s1", "s2", "new"), failure.UnsafeMembership},
		{"no majority caught up", func(w *simulation) { w.cut["s1"], w.cut["s2"] = 1, 1; w.servers["s0"].node.tick += 100 }, members("s0", "s1"), failure.UnsafeMembership},
		{"another change under way", func(w *simulation) {
			w.cut["s1"], w.cut["s2"] = 1, 1
			next := proto.Clone(w.servers["s0"].node.members).(*pb.RaftMembers)
			next.Members = append(next.Members, &pb.RaftMember{Id: "l", Learner: true})
			if _, _, err := w.servers["s0"].node.ProposeMembers(next); err != nil {
				panic(err)
			}
		}, members("s0", "s1", "s2"), failure.MembershipPending},
		{"one voter less", nil, members("s0", "s1"), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := group(3)
			s := w.elect("s0")
			w.tickAll(3)
			if c.prep != nil {
				c.prep(w)
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
		group     string // as groupOf takes it; ! is a replica that is not caught up
		committed string // the members before a change that is not committed
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

// TestRemovalUnderWayIsNoRepairYet proposes the removal of a lost voter and loses
// the leader before another voter has the entry. The others are left with four
// voters of which two are gone, so the status must not have called a loss bearable.
func TestRemovalUnderWayIsNoRepairYet(t *testing.T) {
	w := group(4)
	s := w.elect("s0")
	w.tickAll(3)
	w.crash(w.servers["s3"])
	w.tickAll(12)
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
	w.process(s, false)
	w.tickAll(3)
	if got := SurvivableLosses(s.node.Status()); got != 1 {
		t.Errorf("%d losses survivable once it is committed, want 1", got)
	}
}

// TestHeartbeatsOvertakeALargeAppend lets heartbeats be answered while an append
// is still on its way, as a large one is between regions. It must not be sent
// again for that, and must be sent again once it is surely lost.
func TestHeartbeatsOvertakeALargeAppend(t *testing.T) {
	members := &pb.RaftMembers{Members: []*pb.RaftMember{{Id: "a", Address: "a"}, {Id: "b", Address: "b"}}}
	a := New(Options{ID: "a", ElectionTicks: 10, HeartbeatTicks: 1, Seed: 1, Snapshot: Snapshot{Members: members}})
	b := New(Options{ID: "b", ElectionTicks: 10, HeartbeatTicks: 1, Seed: 99, Snapshot: Snapshot{Members: members}})
	// deliver exchanges messages until there are none; held appends are counted and dropped.
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
	const rounds = 4 // answered heartbeats that may overtake it
	for range rounds {
		a.Tick()
		deliver()
	}
	if held != 1 {
		t.Errorf("sent %d times while it may be on its way", held)
	}
	a.Tick()
	deliver()
	if held != 2 {
		t.Errorf("sent %d times, want once more after %d heartbeats", held, rounds)
	}
}
