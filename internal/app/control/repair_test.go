package control

import (
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/consensus"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Times of the played repair, as measured between regions 80 ms apart.
const (
	// successorStarts is when the empty host is up, after the loss.
	successorStarts = time.Second
	// catchUpBound is how long after its start it must have its vote, and the lost one none.
	catchUpBound = 4 * time.Second
	// electionTakes is how long the group is without a leader when the lost one led it.
	electionTakes = 1100 * time.Millisecond
	// heardAfter is how long after its start the leader hears of the empty host, and
	// caughtUpAfter how long after it joined it has the log.
	heardAfter, caughtUpAfter = 600 * time.Millisecond, 500 * time.Millisecond
	// commitTakes is a change's way to a majority and back.
	commitTakes = 300 * time.Millisecond
)

// TestSuccessorVotesInTime plays the loss of the leader's host for good, with an empty host
// at another address as its successor, against the steps and times of the repair.
func TestSuccessorVotesInTime(t *testing.T) {
	members := &pb.RaftMembers{Members: []*pb.RaftMember{{Id: "lost", Address: "a"}, {Id: "b", Address: "b"}, {Id: "c", Address: "c"}}}
	var joinedAt time.Duration
	for at := electionTakes; ; at += repairInterval {
		live := []consensus.LiveStore{{ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
		if at >= successorStarts+heardAfter {
			live = append(live, consensus.LiveStore{ID: "d", Address: "d"})
		}
		st := consensus.Status{ID: "b", Role: consensus.Leader, Members: members}
		for _, m := range members.Members {
			caughtUp := m.Id != "d" || at >= joinedAt+caughtUpAfter
			st.Replicas = append(st.Replicas, consensus.ReplicaStatus{ID: m.Id, CaughtUp: caughtUp, Learner: m.Learner})
		}
		silent := map[string]time.Duration{"lost": at - electionTakes}
		next := consensus.NextMembers(st, live, silent, consensus.RepairLimits{MaxVoters: maxVoters, LostAfter: lostAfter})
		if next != nil {
			members = next
			at += commitTakes
			if joinedAt == 0 {
				joinedAt = at
			}
		}
		voters := ""
		for _, m := range members.Members {
			if !m.Learner {
				voters += m.Id
			}
		}
		if voters == "bcd" {
			if at > successorStarts+catchUpBound {
				t.Errorf("the successor has the lost voter's place %s after its start, want %s at most", at-successorStarts, catchUpBound)
			}
			return
		}
		if at > time.Minute {
			t.Fatalf("the group stays %v", members)
		}
	}
}
