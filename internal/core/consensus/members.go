package consensus

import (
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// ProposeMembers appends a membership change. It is refused while another change
// is not committed, if more than one voter changes, or if the new set would have no
// majority of voters that are caught up and answering.
func (n *Node) ProposeMembers(next *pb.RaftMembers) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, failure.New(failure.NoLeader, failure.NotRun, "replica %s is a %s, not the leader", n.o.ID, n.role)
	}
	if !n.committedInTerm() || n.membersIndex > n.log.commit {
		return 0, 0, failure.New(failure.MembershipPending, failure.NotRun, "the last membership change is not committed yet")
	}
	if err := n.checkMembers(next); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, failure.Wrap(err, failure.Internal, failure.NotRun)
	}
	return n.append(EntryMembers, data), n.term, nil
}

// checkMembers returns an error if a change to next is unsafe: more than one voter
// changes, a new voter is not caught up, or no majority of the voters would be caught
// up and answering.
func (n *Node) checkMembers(next *pb.RaftMembers) error {
	if changed := changedVoters(n.members, next); changed > 1 {
		return failure.New(failure.UnsafeMembership, failure.NotRun, "%d voters change; change one at a time", changed)
	}
	voters, ready := 0, 0
	for _, m := range next.Members {
		if m.Learner {
			continue
		}
		voters++
		p := n.progress[m.Id]
		caughtUp := m.Id == n.o.ID || (p != nil && n.isRecent(m.Id, p) && p.match+catchUpLag >= n.log.commit)
		if caughtUp {
			ready++
			continue
		}
		if !n.isVoter(m.Id) {
			return failure.New(failure.UnsafeMembership, failure.NotRun,
				"replica %s is not caught up; add it as a learner and wait", m.Id)
		}
	}
	if voters == 0 || ready < voters/2+1 {
		return failure.New(failure.UnsafeMembership, failure.NotRun,
			"only %d of %d voters would be caught up and answering", ready, voters)
	}
	return nil
}

// changedVoters counts the voters added plus those removed.
func changedVoters(old, next *pb.RaftMembers) int {
	before := map[string]bool{}
	for _, m := range old.Members {
		if !m.Learner {
			before[m.Id] = true
		}
	}
	changed := 0
	for _, m := range next.Members {
		if m.Learner {
			continue
		}
		if before[m.Id] {
			delete(before, m.Id)
			continue
		}
		changed++
	}
	return changed + len(before)
}

// SurvivableLosses returns how many more replicas the group can lose now and
// still accept changes: the number of caught-up, answering voters beyond a majority;
// negative if there is no majority. While a membership change is not committed, the
// next leader may or may not have it in its log, so the result is the smaller number
// of the old and the new set of voters; a voter being removed counts as lost.
func SurvivableLosses(st Status) int {
	ready := map[string]bool{}
	for _, r := range st.Replicas {
		ready[r.ID] = r.CaughtUp
	}
	losses := spareVoters(st.Members, ready)
	if st.CommittedMembers != nil {
		losses = min(losses, spareVoters(st.CommittedMembers, ready))
	}
	return losses
}

// spareVoters returns the number of ready voters beyond a majority of the set; negative if
// they are fewer.
func spareVoters(set *pb.RaftMembers, ready map[string]bool) int {
	voters, spare := 0, 0
	for _, m := range set.GetMembers() {
		if m.Learner {
			continue
		}
		voters++
		if ready[m.Id] {
			spare++
		}
	}
	return spare - (voters/2 + 1)
}
