package consensus

import (
	"strings"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// statusOf builds a leader's status: a name is a voter, name? a learner, name! one
// that is not caught up. Every address is the name's part before a dot.
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

// describe names the members; learners end with a question mark.
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
		name   string
		group  []string
		live   string // stores heard lately
		silent string // members that do not answer for long
		want   string
	}{
		{"complete", []string{"a.0", "b.0", "c.0"}, "a.0 b.0 c.0", "", "nothing"},
		{"one is silent, nobody to replace it", []string{"a.0", "b.0", "c.0"}, "a.0 b.0", "c.0", "nothing"},
		{"a store appears", []string{"a.0", "b.0", "c.0"}, "a.0 b.0 c.0 d.1", "", "a.0 b.0 c.0 d.1?"},
		{"stores appear", []string{"a.0", "b.0", "c.0"}, "a.0 b.0 c.0 d.1 e.1", "", "a.0 b.0 c.0 d.1? e.1?"},
		{"lost folder: the new store joins", []string{"a.0", "b.0", "c.0"}, "a.0 b.0 c.1", "", "a.0 b.0 c.0 c.1?"},
		{"lost folder: not before it is caught up", []string{"a.0", "b.0", "c.0", "c.1?!"}, "a.0 b.0 c.1", "", "nothing"},
		{"lost folder: add before remove", []string{"a.0", "b.0", "c.0", "c.1?"}, "a.0 b.0 c.1", "", "a.0 b.0 c.0 c.1"},
		{"lost folder: remove the lost store", []string{"a.0", "b.0", "c.0", "c.1"}, "a.0 b.0 c.1", "", "a.0 b.0 c.1"},
		{"a learner that is gone leaves", []string{"a.0", "b.0", "c.0", "d.1?"}, "a.0 b.0 c.0", "d.1", "a.0 b.0 c.0"},
		{"a silent learner that is heard stays", []string{"a.0", "b.0", "c.0", "d.1?"}, "a.0 b.0 c.0 d.1", "d.1", "nothing"},
		{"a lost voter goes though a learner is gone too", []string{"a.0", "b.0", "c.0", "d.1", "e.0?"}, "a.0 b.0 d.1", "c.0 e.0", "a.0 b.0 c.0 d.1"},
		{"folder lost twice: the learner that was lost too goes", []string{"a.0", "b.0", "c.0", "c.1?", "c.2?!"}, "a.0 b.0 c.2", "", "a.0 b.0 c.0 c.2?"},
		{"gone for good: the spare is promoted", []string{"a.0", "b.0", "c.0", "d.1?"}, "a.0 b.0 d.1", "c.0", "a.0 b.0 c.0 d.1"},
		{"gone for good: then removed", []string{"a.0", "b.0", "c.0", "d.1"}, "a.0 b.0 d.1", "c.0", "a.0 b.0 d.1"},
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
			silent := map[string]time.Duration{}
			for _, id := range strings.Fields(c.silent) {
				silent[id] = time.Minute
			}
			st := statusOf(c.group...)
			got := describe(NextMembers(st, live, silent, RepairLimits{MaxVoters: 5, LostAfter: 8 * time.Second}))
			if got != c.want {
				t.Errorf("next %s, want %s", got, c.want)
			}
			st.Role = Follower
			if NextMembers(st, live, silent, RepairLimits{MaxVoters: 5, LostAfter: 8 * time.Second}) != nil {
				t.Error("a follower proposes members")
			}
		})
	}
}

// storeNamed is a store whose name says where it is: region, failure domain and number, as in
// "A1x".
func storeNamed(name string) LiveStore {
	return LiveStore{ID: name, Address: name, Region: name[:1], FailureDomain: name[:2]}
}

// TestVotersAreSpread lets a group grow from its founders, with several control hosts in each
// failure domain. Voters were once made in the order in which stores had joined: three of five
// stood in one failure domain, whose loss ended the group.
func TestVotersAreSpread(t *testing.T) {
	cases := []struct {
		name, founders, others string
		lost                   string // of the voters, once the group is complete
		perRegion, perDomain   int    // most voters there may be
	}{
		{"four a failure domain", "A1a B1a C1a", "A1b A1c A1d A2a A2b A2c A2d B1b B1c B1d B2a B2b B2c B2d C1b C1c C1d C2a C2b C2c C2d", "", 2, 1},
		{"one a failure domain", "A1a B1a C1a", "A2a B2a C2a", "", 2, 1},
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
			silent := map[string]time.Duration{}
			if c.lost != "" {
				kept := live[:0]
				for _, s := range live {
					if s.FailureDomain == c.lost {
						silent[s.ID] = time.Minute
					} else {
						kept = append(kept, s)
					}
				}
				st = applyRepairs(st, kept, silent)
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
				t.Errorf("%d voters", voters)
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

// applyRepairs takes the steps of the repair until there is none left; learners catch up at once.
func applyRepairs(st Status, live []LiveStore, silent map[string]time.Duration) Status {
	for range 100 {
		st.Replicas = nil
		for _, m := range st.Members.Members {
			st.Replicas = append(st.Replicas, ReplicaStatus{ID: m.Id, Learner: m.Learner, CaughtUp: true})
		}
		next := NextMembers(st, live, silent, RepairLimits{MaxVoters: 5, LostAfter: 8 * time.Second})
		if next == nil {
			break
		}
		st.Members = next
	}
	return st
}
