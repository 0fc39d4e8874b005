package consensus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// statusOf returns the status of a leader, the first of the named members. A plain
// name is a voter, "name?" a learner, and "!" at the end marks a member that is not
// caught up. A member's address is the part of its name before the dot.
func statusOf(names ...string) Status {
	st := Status{ID: strings.TrimRight(names[0], "?!"), Role: Leader, Members: &pb.RaftMembers{}}
	for _, n := range names {
		id := strings.TrimRight(n, "?!")
		learner := strings.Contains(n, "?")
		st.Members.Members = append(st.Members.Members, &pb.RaftMember{Id: id, Address: addressOf(id), Learner: learner})
		st.Replicas = append(st.Replicas, ReplicaStatus{ID: id, CaughtUp: !strings.Contains(n, "!"), Learner: learner})
	}
	return st
}

func addressOf(id string) string {
	host, _, _ := strings.Cut(id, ".")
	return host
}

// describe lists the members' names; learners end with a question mark.
func describe(m *pb.RaftMembers) string {
	if m == nil {
		return "nothing"
	}
	var out []string
	for _, e := range m.Members {
		n := e.Id
		if e.Learner {
			n += "?"
		}
		out = append(out, n)
	}
	return strings.Join(out, " ")
}

func TestNextMembers(t *testing.T) {
	cases := []struct {
		name       string
		group      []string
		live       string // live stores
		unanswered string // members that have not answered for longer than LostAfter
		want       string
	}{
		{"complete", []string{"a.0", "b.0", "c.0"}, "a.0 b.0 c.0", "", "nothing"},
		{"one does not answer, no learner to replace it", []string{"a.0", "b.0", "c.0"}, "a.0 b.0", "c.0", "nothing"},
		{"a new store joins", []string{"a.0", "b.0", "c.0"}, "a.0 b.0 c.0 d.1", "", "a.0 b.0 c.0 d.1?"},
		{"new stores join", []string{"a.0", "b.0", "c.0"}, "a.0 b.0 c.0 d.1 e.1", "", "a.0 b.0 c.0 d.1? e.1?"},
		{"lost folder: the new store joins", []string{"a.0", "b.0", "c.0"}, "a.0 b.0 c.1", "", "a.0 b.0 c.0 c.1?"},
		{"lost folder: no promotion before it is caught up", []string{"a.0", "b.0", "c.0", "c.1?!"}, "a.0 b.0 c.1", "", "nothing"},
		{"lost folder: add before remove", []string{"a.0", "b.0", "c.0", "c.1?"}, "a.0 b.0 c.1", "", "a.0 b.0 c.0 c.1"},
		{"lost folder: remove the lost store", []string{"a.0", "b.0", "c.0", "c.1"}, "a.0 b.0 c.1", "", "a.0 b.0 c.1"},
		{"a lost learner is removed", []string{"a.0", "b.0", "c.0", "d.1?"}, "a.0 b.0 c.0", "d.1", "a.0 b.0 c.0"},
		{"a learner that does not answer but whose store is live stays", []string{"a.0", "b.0", "c.0", "d.1?"}, "a.0 b.0 c.0 d.1", "d.1", "nothing"},
		{"a lost voter is removed although a learner is lost too", []string{"a.0", "b.0", "c.0", "d.1", "e.0?"}, "a.0 b.0 d.1", "c.0 e.0", "a.0 b.0 c.0 d.1"},
		{"folder lost twice: the superseded learner is removed", []string{"a.0", "b.0", "c.0", "c.1?", "c.2?!"}, "a.0 b.0 c.2", "", "a.0 b.0 c.0 c.2?"},
		{"voter lost: the learner is promoted", []string{"a.0", "b.0", "c.0", "d.1?"}, "a.0 b.0 d.1", "c.0", "a.0 b.0 c.0 d.1"},
		{"voter lost: removed after the promotion", []string{"a.0", "b.0", "c.0", "d.1"}, "a.0 b.0 d.1", "c.0", "a.0 b.0 d.1"},
		{"three of six: the fourth stays a learner", []string{"a.0", "b.0", "c.0", "d.1?"}, "a.0 b.0 c.0 d.1", "", "nothing"},
		{"three of six: with a fifth both are promoted", []string{"a.0", "b.0", "c.0", "d.1?", "e.1?"}, "a.0 b.0 c.0 d.1 e.1", "", "a.0 b.0 c.0 d.1 e.1?"},
		{"six hosts: five voters and a spare", []string{"a.0", "b.0", "c.0", "d.1", "e.1", "f.1?"}, "a.0 b.0 c.0 d.1 e.1 f.1", "", "nothing"},
		{"six hosts: the spare replaces a lost voter", []string{"a.0", "b.0", "c.0", "d.1", "e.1", "f.1?"}, "a.0 b.0 c.0 d.1 f.1", "e.1", "a.0 b.0 c.0 d.1 e.1 f.1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var live []LiveStore
			for _, id := range strings.Fields(c.live) {
				live = append(live, LiveStore{ID: id, Address: addressOf(id)})
			}
			unansweredFor := map[string]time.Duration{}
			for _, id := range strings.Fields(c.unanswered) {
				unansweredFor[id] = time.Minute
			}
			st := statusOf(c.group...)
			got := describe(NextMembers(st, live, unansweredFor, RepairLimits{MaxVoters: 5, LostAfter: 8 * time.Second}))
			if got != c.want {
				t.Errorf("next members %s, want %s", got, c.want)
			}
			st.Role = Follower
			if NextMembers(st, live, unansweredFor, RepairLimits{MaxVoters: 5, LostAfter: 8 * time.Second}) != nil {
				t.Error("a follower proposes members")
			}
		})
	}
}

// TestDiskLostInSeriesIsReplacedInThreeSteps guards against a group that has not replaced a lost voter yet when the next
// disk may be lost, because the store's earlier successors are still learners: each was removed in a step of its own.
func TestDiskLostInSeriesIsReplacedInThreeSteps(t *testing.T) {
	group := []string{"a.0", "b.0", "c.0"}
	for n := range 12 {
		group = append(group, fmt.Sprintf("c.%d?!", n+1))
	}
	st := statusOf(group...)
	var live []LiveStore
	for _, id := range []string{"a.0", "b.0", "c.13"} {
		live = append(live, LiveStore{ID: id, Address: addressOf(id)})
	}
	var steps []string
	for range 3 {
		st.Members = NextMembers(st, live, nil, RepairLimits{MaxVoters: 5, LostAfter: 8 * time.Second})
		steps = append(steps, describe(st.Members))
		st.Replicas = []ReplicaStatus{{ID: "a.0", CaughtUp: true}, {ID: "b.0", CaughtUp: true}, {ID: "c.13", CaughtUp: true}}
	}
	if want := []string{"a.0 b.0 c.0 c.13?", "a.0 b.0 c.0 c.13", "a.0 b.0 c.13"}; !slices.Equal(steps, want) {
		t.Errorf("steps %q, want %q", steps, want)
	}
}

// storeNamed returns a store whose location is in its name: in "A1x", the region is A and the
// failure domain A1.
func storeNamed(name string) LiveStore {
	return LiveStore{ID: name, Address: name, Region: name[:1], FailureDomain: name[:2]}
}

// TestVotersAreSpread grows a group from its initial members, with several control hosts per
// failure domain, and checks how voters are distributed. Guards against promotion in the order
// of joining, which put three of five voters in one failure domain: its loss stopped the group.
func TestVotersAreSpread(t *testing.T) {
	cases := []struct {
		name, founders, others string
		lost                   string // failure domain that is lost once the group is complete; "" for none
		perRegion, perDomain   int    // maximum voters
	}{
		{"four control hosts per failure domain", "A1a B1a C1a", "A1b A1c A1d A2a A2b A2c A2d B1b B1c B1d B2a B2b B2c B2d C1b C1c C1d C2a C2b C2c C2d", "", 2, 1},
		{"one control host per failure domain", "A1a B1a C1a", "A2a B2a C2a", "", 2, 1},
		{"a failure domain is lost", "A1a B1a C1a", "A1b A2a A2b B1b B2a B2b C1b C2a C2b", "A1", 2, 1},
		{"one region", "A1a A2a A3a", "A1b A1c A2b A3b A4a A4b", "", 5, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var live []LiveStore
			st := Status{ID: "C1a", Role: Leader, Members: &pb.RaftMembers{}}
			for _, name := range strings.Fields(c.founders) {
				st.Members.Members = append(st.Members.Members, &pb.RaftMember{Id: name, Address: name})
				live = append(live, storeNamed(name))
			}
			for _, name := range strings.Fields(c.others) {
				live = append(live, storeNamed(name))
			}
			st = applyRepairs(st, live, nil)
			unansweredFor := map[string]time.Duration{}
			if c.lost != "" {
				kept := live[:0]
				for _, s := range live {
					if s.FailureDomain == c.lost {
						unansweredFor[s.ID] = time.Minute
					} else {
						kept = append(kept, s)
					}
				}
				st = applyRepairs(st, kept, unansweredFor)
			}
			regions, domains, voters := map[string]int{}, map[string]int{}, 0
			for _, m := range st.Members.Members {
				if !m.Learner {
					voters++
					regions[m.Id[:1]]++
					domains[m.Id[:2]]++
				}
			}
			if voters != 5 {
				t.Errorf("%d voters, want 5", voters)
			}
			for name, n := range regions {
				if n > c.perRegion {
					t.Errorf("%d voters in region %s", n, name)
				}
			}
			for name, n := range domains {
				if n > c.perDomain {
					t.Errorf("%d voters in failure domain %s", n, name)
				}
			}
		})
	}
}

// applyRepairs applies the changes of NextMembers until there is none left. Learners count as
// caught up immediately.
func applyRepairs(st Status, live []LiveStore, unansweredFor map[string]time.Duration) Status {
	for range 100 {
		st.Replicas = nil
		for _, m := range st.Members.Members {
			st.Replicas = append(st.Replicas, ReplicaStatus{ID: m.Id, Learner: m.Learner, CaughtUp: true})
		}
		next := NextMembers(st, live, unansweredFor, RepairLimits{MaxVoters: 5, LostAfter: 8 * time.Second})
		if next == nil {
			break
		}
		st.Members = next
	}
	return st
}
