package control

import (
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/consensus"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Times of the simulated repair, measured between regions 80 ms apart.
const (
	// replacementStart is the time from the loss to the start of the empty host.
	replacementStart = time.Second
	// maxReplacementTime is the time from the empty host's start within which it must have become a
	// voter and the lost voter must have been removed.
	maxReplacementTime = 4 * time.Second
	// electionTime is how long the group has no leader if the lost host was the leader.
	electionTime = 1100 * time.Millisecond
	// discoveryTime is the time from the empty host's start until the leader receives its first
	// message, and catchUpTime the time from joining until it has the log.
	discoveryTime, catchUpTime = 600 * time.Millisecond, 500 * time.Millisecond
	// commitTime is the time to commit a change on a majority.
	commitTime = 300 * time.Millisecond
)

// TestReplacementBecomesVoterInTime simulates the steps of the repair, with the times above, after
// the leader's host is lost for good and an empty host starts at another address.
func TestReplacementBecomesVoterInTime(t *testing.T) {
	members := &pb.RaftMembers{Members: []*pb.RaftMember{{Id: "lost", Address: "a"}, {Id: "b", Address: "b"}, {Id: "c", Address: "c"}}}
	var joinedAt time.Duration
	for at := electionTime; ; at += repairInterval {
		live := []consensus.LiveStore{{ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
		if at >= replacementStart+discoveryTime {
			live = append(live, consensus.LiveStore{ID: "d", Address: "d"})
		}
		st := consensus.Status{ID: "b", Role: consensus.Leader, Members: members}
		for _, m := range members.Members {
			caughtUp := m.Id != "d" || at >= joinedAt+catchUpTime
			st.Replicas = append(st.Replicas, consensus.ReplicaStatus{ID: m.Id, CaughtUp: caughtUp, Learner: m.Learner})
		}
		sinceContact := map[string]time.Duration{"lost": at - electionTime}
		next := consensus.NextMembers(st, live, sinceContact, consensus.RepairLimits{MaxVoters: maxVoters, LostAfter: lostAfter})
		if next != nil {
			members = next
			at += commitTime
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
			if at > replacementStart+maxReplacementTime {
				t.Errorf("the empty host replaced the lost voter %s after its start, want %s at most", at-replacementStart, maxReplacementTime)
			}
			return
		}
		if at > time.Minute {
			t.Fatalf("the lost voter is not replaced, members %v", members)
		}
	}
}
