package consensus

import pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"

// resetElection restarts the election timer with a timeout that is staggered by
// campaignRank, one election timeout per rank, plus a random part. With random timeouts
// alone, a simultaneous restart of all voters led to repeated split votes where a vote takes
// several round trips: 3.8 s without a leader between regions 80 ms apart, against 1.4 s with
// ranks (one run each).
func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.o.ElectionTicks*(1+n.campaignRank()) + n.rnd.Intn(max(1, n.o.ElectionTicks/2))
}

// campaignRank returns this replica's position in the order in which voters campaign in the
// current term. The order rotates with the term, so that a voter that can't win does not
// delay the others in every term.
func (n *Node) campaignRank() int {
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

// scheduleFirstCampaign shortens the first election timeout of a replica that has just
// started, so that it does not wait for a leader's heartbeat: the pre-vote fails if there is
// a leader. After a stop of all replicas, in regions 80 ms apart, the group elects a leader
// 0.5 s sooner. Each further rank waits half an election timeout more, which gives the rank
// before it time for its pre-vote and vote; that one may have lost its disk or have a log
// that is too old to win.
func (n *Node) scheduleFirstCampaign() {
	n.electionTimeout = n.o.ElectionTicks/2*n.campaignRank() + 1
}

// becomeFollower makes the replica a follower of leader in term, or of no known leader if
// leader is "". It fails the pending reads and resets the election timer.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = Follower, leader
	n.failReads()
	n.resetElection()
}

// campaign starts a pre-vote (role PreCandidate) or an election (role Candidate). A
// pre-vote changes neither term nor vote, so that a replica that was partitioned
// from the others does not disrupt the group when it reconnects.
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

// requestVotes sends a vote request to each voter that has not answered the current campaign.
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

// resendVoteRequests repeats the vote requests at the heartbeat interval, because messages
// get lost and the other replicas may start a little later than this one.
func (n *Node) resendVoteRequests() {
	if n.role != Follower && n.electionElapsed%n.o.HeartbeatTicks == 0 {
		n.requestVotes()
	}
}

// countVotes ends the campaign if a majority of voters granted or refused their votes.
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
	// Entries of earlier terms are committed only together with one of the new term.
	n.append(EntryNormal, nil)
	n.broadcastHeartbeat()
}

// handleVoteRequest replies to a vote or pre-vote request.
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
		return // reply to an earlier campaign
	}
	if _, answered := n.votes[m.From]; !answered {
		n.votes[m.From] = !m.Reject
	}
	n.countVotes()
}

// inLease reports whether a leader may hold a lease that depends on this replica's
// answers: the replica received a message from a leader within the election
// timeout, or it restarted within the election timeout and may have answered a
// leader shortly before.
func (n *Node) inLease() bool {
	if !n.o.NoLeases && n.restarted && n.tick < uint64(n.o.ElectionTicks) {
		return true
	}
	return n.leader != "" && n.electionElapsed < n.o.ElectionTicks
}

// failReads completes the pending reads with OK false after the leader lost its role.
func (n *Node) failReads() {
	for _, r := range n.reads {
		n.doneReads = append(n.doneReads, Read{ID: r.id})
	}
	n.reads = nil
}

// confirmReads completes the pending reads whose heartbeat round a majority has answered.
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
