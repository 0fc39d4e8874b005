package consensus

import pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"

// resetElection draws the time until the next campaign. Voters stand in turn, an
// election timeout apart: when all restart at once and a vote takes several round
// trips, timeouts that are only random let them split the vote again and again (3.8 s
// without a leader between regions 80 ms apart, 1.4 s with turns; one run each). The
// term moves the turns on, so that a voter that can't win doesn't hold up the rest.
func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.o.ElectionTicks*(1+n.turn()) + n.rnd.Intn(max(1, n.o.ElectionTicks/2))
}

// turn is this replica's place among the voters in the present term.
func (n *Node) turn() int {
	rank, voters := 0, 0
	for _, m := range n.members.Members {
		if m.Learner {
			continue
		}
		voters++
		if m.Id < n.o.ID {
			rank++
		}
	}
	if voters == 0 {
		return 0
	}
	return (rank + int(n.term%uint64(voters))) % voters
}

// standAtOnce lets a replica that has just started stand as soon as it is its turn,
// without the wait for a leader's heartbeat: the pre-vote finds out whether there is a
// leader. After all replicas stopped, regions 80 ms apart, the group has a leader 0.5 s
// sooner. The next in turn follows when the one before has had time for its pre-vote and
// its votes: it may have lost its disk, or its log be too old to win.
func (n *Node) standAtOnce() {
	n.electionTimeout = n.o.ElectionTicks/2*n.turn() + 1
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = Follower, leader
	n.failReads()
	n.resetElection()
}

// campaign starts a pre-vote (PreCandidate) or an election (Candidate). A
// pre-vote changes neither term nor vote, so that a replica which was cut off
// does not disturb the group when it returns.
func (n *Node) campaign(role Role) {
	n.resetElection()
	n.role, n.leader = role, ""
	n.votes = map[string]bool{n.o.ID: true}
	if role == Candidate {
		n.term, n.vote = n.term+1, n.o.ID
	}
	n.requestVotes()
	n.countVotes()
}

// requestVotes asks the voters that have not answered the present campaign.
func (n *Node) requestVotes() {
	term, kind := n.term, MsgVote
	if n.role == PreCandidate {
		term, kind = n.term+1, MsgPreVote
	}
	for _, m := range n.members.Members {
		if _, answered := n.votes[m.Id]; answered || m.Learner {
			continue
		}
		n.send(&pb.RaftMessage{
			Type: uint32(kind), To: m.Id, Term: term,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// askAgain repeats the requests for votes as often as a leader sends heartbeats: the
// other replicas may start a little later than this one, and messages get lost.
func (n *Node) askAgain() {
	if n.role != Follower && n.electionElapsed%n.o.HeartbeatTicks == 0 {
		n.requestVotes()
	}
}

func (n *Node) countVotes() {
	granted, refused := 0, 0
	for _, m := range n.members.Members {
		if m.Learner {
			continue
		}
		if v, ok := n.votes[m.Id]; ok && v {
			granted++
		} else if ok {
			refused++
		}
	}
	quorum := countVoters(n.members)/2 + 1
	switch {
	case granted >= quorum && n.role == PreCandidate:
		n.campaign(Candidate)
	case granted >= quorum && n.role == Candidate:
		n.becomeLeader()
	case refused >= quorum:
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.o.ID
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.roundTicks = map[uint64]uint64{}
	n.progress = map[string]*progress{}
	n.loadMembers()
	// An entry of the new term lets earlier entries commit.
	n.append(EntryNormal, nil)
	n.broadcastHeartbeat()
}

// handleVoteRequest answers a vote or pre-vote request.
func (n *Node) handleVoteRequest(m *pb.RaftMessage) {
	pre := MessageType(m.Type) == MsgPreVote
	kind := MsgVoteReply
	if pre {
		kind = MsgPreVoteReply
	}
	upToDate := m.LogTerm > n.log.lastTerm() ||
		(m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last())
	var grant bool
	if pre {
		grant = m.Term > n.term && upToDate
	} else {
		grant = m.Term == n.term && upToDate && (n.vote == "" || n.vote == m.From)
	}
	reply := &pb.RaftMessage{Type: uint32(kind), To: m.From, Term: n.term, Reject: !grant}
	if grant {
		reply.Term = m.Term
		if !pre {
			n.vote = m.From
			n.resetElection()
		}
	}
	n.send(reply)
}

func (n *Node) handleVoteReply(m *pb.RaftMessage) {
	want := Candidate
	if MessageType(m.Type) == MsgPreVoteReply {
		want = PreCandidate
	}
	if n.role != want {
		return
	}
	expected := n.term
	if want == PreCandidate {
		expected = n.term + 1
	}
	if !m.Reject && m.Term != expected {
		return // answer to an earlier campaign
	}
	if _, answered := n.votes[m.From]; !answered {
		n.votes[m.From] = !m.Reject
	}
	n.countVotes()
}

// inLease reports whether a leader may hold a lease that this replica helped
// to give: one was heard within the election timeout, or the replica restarted
// so lately that it can't know.
func (n *Node) inLease() bool {
	if !n.o.NoLeases && n.restarted && n.tick < uint64(n.o.ElectionTicks) {
		return true
	}
	return n.leader != "" && n.electionElapsed < n.o.ElectionTicks
}

// failReads answers the pending reads of a leader that lost its role.
func (n *Node) failReads() {
	for _, r := range n.reads {
		n.doneReads = append(n.doneReads, Read{ID: r.id})
	}
	n.reads = nil
}

func (n *Node) confirmReads() {
	if len(n.reads) == 0 {
		return
	}
	round := n.quorumOf(func(id string, p *progress) uint64 {
		if id == n.o.ID {
			return n.round
		}
		return p.ackRound
	})
	kept := n.reads[:0]
	for _, r := range n.reads {
		if r.round <= round {
			n.doneReads = append(n.doneReads, Read{ID: r.id, Index: r.index, OK: true})
			continue
		}
		kept = append(kept, r)
	}
	n.reads = kept
}
