package consensus

import (
	"strings"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// groupOf builds a leader's status: a name is a voter, name? a learner, name! one
// that is not caught up. Every address is the name's part before a dot.
func groupOf(names ...string) Status {
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
			st := groupOf(c.group...)
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
