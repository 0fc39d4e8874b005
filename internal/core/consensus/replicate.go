package consensus

import pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"

// progress is the leader's record of a member's replication.
type progress struct {
	match, next     uint64
	probing         bool   // one append at a time until a common log position is found
	paused          bool   // a probe is in flight; cleared by any append reply and each heartbeat
	inflight        int    // unacknowledged appends
	sendingSnapshot bool   // a snapshot transfer is in progress
	snapOffset      uint64 // bytes of the snapshot acknowledged
	chunkAcked      bool   // a chunk was acknowledged since the last heartbeat reply
	snapIndex       uint64
	ackTick         uint64 // tick at which the last reply was received
	ackSentTick     uint64 // tick at which the latest answered heartbeat was sent
	ackRound        uint64 // round of the latest answered heartbeat
	sentRound       uint64 // latest heartbeat round when the last append was sent
	applied         uint64 // index up to which it has reported its log as applied
}

// resendRounds is how many later heartbeat rounds may be answered before an unacknowledged
// append counts as lost. It is more than one because heartbeats may overtake a large append
// in transit.
const resendRounds = 4

func (n *Node) send(m *pb.RaftMessage) {
	m.From = n.o.ID
	n.msgs = append(n.msgs, m)
}

// loadMembers sets the members in force from the log. On the leader, it also adds
// and removes their progress records.
func (n *Node) loadMembers() {
	n.members, n.membersIndex = n.log.members()
	if n.role != Leader {
		return
	}
	current := map[string]bool{}
	for _, m := range n.members.Members {
		current[m.Id] = true
		if n.progress[m.Id] == nil {
			n.progress[m.Id] = &progress{next: n.log.last() + 1, probing: true}
		}
	}
	for id := range n.progress {
		if !current[id] {
			delete(n.progress, id)
		}
	}
}

func (n *Node) isVoter(id string) bool {
	for _, m := range n.members.Members {
		if m.Id == id {
			return !m.Learner
		}
	}
	return false
}

func countVoters(members *pb.RaftMembers) int {
	count := 0
	for _, m := range members.Members {
		if !m.Learner {
			count++
		}
	}
	return count
}

// broadcastHeartbeat starts a new heartbeat round.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	n.round++
	n.roundTicks[n.round] = n.tick
	delete(n.roundTicks, n.round-uint64(4*n.o.ElectionTicks))
	for _, m := range n.members.Members {
		if m.Id == n.o.ID {
			continue
		}
		p := n.progress[m.Id]
		p.paused = false
		n.send(&pb.RaftMessage{
			Type: uint32(MsgHeartbeat), To: m.Id, Term: n.term,
			Commit: min(n.log.commit, p.match), LeaderCommit: n.leaderCommit(), Context: n.round,
		})
	}
}

func (n *Node) broadcastAppend() {
	for _, m := range n.members.Members {
		if m.Id != n.o.ID {
			n.sendAppend(m.Id)
		}
	}
}

// sendAppend sends the next entries to a follower if flow control allows it, or starts a
// snapshot transfer if they have been compacted.
func (n *Node) sendAppend(to string) {
	p := n.progress[to]
	if p == nil || p.paused || p.sendingSnapshot || p.inflight >= n.o.MaxInflight {
		return
	}
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshot(to, p)
		return
	}
	entries := n.log.slice(p.next, n.o.MaxBatchBytes)
	p.sentRound = n.round
	n.send(&pb.RaftMessage{
		Type: uint32(MsgAppend), To: to, Term: n.term, Index: p.next - 1, LogTerm: prevTerm,
		Entries: entries, Commit: n.log.commit,
	})
	if p.probing {
		p.paused = true
		return
	}
	if len(entries) > 0 {
		p.inflight++
		p.next = entries[len(entries)-1].Index + 1
	}
}

func (n *Node) startSnapshot(to string, p *progress) {
	p.sendingSnapshot, p.snapOffset, p.snapIndex = true, 0, n.log.snapIndex
	n.sendChunk(to, p)
}

// sendChunk sends the next chunk of the snapshot. If a newer snapshot has
// replaced the one in transfer, it starts again with the newer one.
func (n *Node) sendChunk(to string, p *progress) {
	if p.snapIndex != n.log.snapIndex {
		p.snapOffset, p.snapIndex = 0, n.log.snapIndex
	}
	data := n.log.snapData
	end := min(p.snapOffset+uint64(n.o.ChunkBytes), uint64(len(data)))
	n.send(&pb.RaftMessage{
		Type: uint32(MsgSnapshot), To: to, Term: n.term,
		Snapshot: &pb.SnapshotChunk{
			Index: n.log.snapIndex, Term: n.log.snapTerm, Members: n.log.snapMembers,
			Offset: p.snapOffset, Total: uint64(len(data)), Data: data[p.snapOffset:end],
		},
	})
}

// maybeCommit advances the commit index to the last entry that a majority holds,
// if that entry is of the leader's own term.
func (n *Node) maybeCommit() {
	index := n.quorumOf(func(id string, p *progress) uint64 {
		if id == n.o.ID {
			return n.log.stable
		}
		return p.match
	})
	if t, ok := n.log.term(index); !ok || t != n.term || index <= n.log.commit {
		return
	}
	n.log.commit = index
	if index >= n.membersIndex && !n.isVoter(n.o.ID) {
		n.broadcastHeartbeat()
		n.becomeFollower(n.term, "") // this leader's removal from the group is committed
		return
	}
	n.broadcastAppend()
}

// Step processes a received message.
func (n *Node) Step(m *pb.RaftMessage) {
	t := MessageType(m.Type)
	if m.Term > n.term && !n.handleHigherTerm(t, m) {
		return
	}
	if m.Term < n.term {
		n.rejectStaleTerm(t, m)
		return
	}
	switch t {
	case MsgPreVote, MsgVote:
		n.handleVoteRequest(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		n.acceptLeader(m)
		n.handleAppend(m)
	case MsgHeartbeat:
		n.acceptLeader(m)
		n.handleHeartbeat(m)
	case MsgSnapshot:
		n.acceptLeader(m)
		n.handleSnapshot(m)
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply:
		n.handleReply(t, m)
	}
}

// handleHigherTerm processes the term of a message that is higher than this replica's. It
// returns false if the message is to be ignored.
func (n *Node) handleHigherTerm(t MessageType, m *pb.RaftMessage) bool {
	switch t {
	case MsgPreVote, MsgVote:
		if n.inLease() {
			return false
		}
		if t == MsgVote {
			n.becomeFollower(m.Term, "")
		}
	case MsgPreVoteReply:
		if m.Reject {
			n.becomeFollower(m.Term, "")
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// rejectStaleTerm sends the current term to a leader or pre-candidate of an earlier term.
func (n *Node) rejectStaleTerm(t MessageType, m *pb.RaftMessage) {
	switch t {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(&pb.RaftMessage{Type: uint32(MsgHeartbeatReply), To: m.From, Term: n.term, Reject: true})
	case MsgPreVote:
		n.send(&pb.RaftMessage{Type: uint32(MsgPreVoteReply), To: m.From, Term: n.term, Reject: true})
	}
}

// acceptLeader records the sender of a message as this term's leader and restarts the
// election timer.
func (n *Node) acceptLeader(m *pb.RaftMessage) {
	if n.role != Follower {
		n.becomeFollower(n.term, m.From)
	}
	n.leader = m.From
	n.electionElapsed = 0
}

func (n *Node) handleAppend(m *pb.RaftMessage) {
	reply := &pb.RaftMessage{Type: uint32(MsgAppendReply), To: m.From, Term: n.term, Index: m.Index}
	if m.Index < n.log.commit {
		reply.Index = n.log.commit // committed entries match the leader's log
		n.send(reply)
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Hint = min(n.log.last(), m.Index-1)
		n.send(reply)
		return
	}
	n.log.merge(m.Entries)
	n.loadMembers()
	last := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, last))
	reply.Index = last
	n.send(reply)
}

func (n *Node) handleHeartbeat(m *pb.RaftMessage) {
	n.fresh.observe(m.LeaderCommit, n.log.applied, n.tick)
	n.log.commit = max(n.log.commit, min(m.Commit, n.log.last()))
	n.send(&pb.RaftMessage{
		Type: uint32(MsgHeartbeatReply), To: m.From, Term: n.term, Context: m.Context, Index: n.log.last(), Applied: n.log.applied,
	})
}

// handleSnapshot collects the chunks of a snapshot and installs it when complete.
func (n *Node) handleSnapshot(m *pb.RaftMessage) {
	c := m.Snapshot
	reply := &pb.RaftMessage{Type: uint32(MsgSnapshotReply), To: m.From, Term: n.term, Index: n.log.commit}
	defer func() { n.send(reply) }()
	if c == nil || c.Index <= n.log.commit {
		return
	}
	key := [2]uint64{c.Index, c.Term}
	if key != n.snapshotKey {
		n.snapshotKey, n.snapshotBuf = key, nil
	}
	if c.Offset == uint64(len(n.snapshotBuf)) {
		n.snapshotBuf = append(n.snapshotBuf, c.Data...)
	}
	reply.Hint = uint64(len(n.snapshotBuf))
	reply.Context = c.Index
	if uint64(len(n.snapshotBuf)) < c.Total {
		return
	}
	s := Snapshot{Index: c.Index, Term: c.Term, Members: c.Members, Data: n.snapshotBuf}
	n.snapshotBuf, n.snapshotKey = nil, [2]uint64{}
	n.log.reset(s)
	n.receivedSnapshot = &s
	n.loadMembers()
	reply.Index = s.Index
}

// handleReply processes a follower's reply.
func (n *Node) handleReply(t MessageType, m *pb.RaftMessage) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.ackTick = n.tick
	switch t {
	case MsgAppendReply:
		n.handleAppendReply(p, m)
	case MsgHeartbeatReply:
		n.handleHeartbeatReply(p, m)
	case MsgSnapshotReply:
		n.handleSnapshotReply(p, m)
	}
}

func (n *Node) handleAppendReply(p *progress, m *pb.RaftMessage) {
	p.paused = false
	p.inflight = max(p.inflight-1, 0)
	if m.Reject {
		if m.Index >= p.match && m.Index < p.next {
			p.next = max(p.match, m.Hint) + 1
			p.probing = true
			p.inflight = 0
			n.sendAppend(m.From)
		}
		return
	}
	n.advance(p, m.From, m.Index)
}

// advance records that a follower's log matches up to index and sends it further entries.
func (n *Node) advance(p *progress, id string, index uint64) {
	if index > p.match {
		p.match = index
	}
	p.next = max(p.next, p.match+1)
	p.probing = false
	n.maybeCommit()
	if n.role == Leader && p.next <= n.log.last() {
		n.sendAppend(id)
	}
}

func (n *Node) handleHeartbeatReply(p *progress, m *pb.RaftMessage) {
	if m.Context > p.ackRound {
		p.ackRound = m.Context
		p.ackSentTick = n.roundTicks[m.Context]
	}
	p.applied = max(p.applied, m.Applied)
	n.confirmReads()
	if p.sendingSnapshot {
		if !p.chunkAcked {
			n.sendChunk(m.From, p) // the chunk or its reply may be lost
		}
		p.chunkAcked = false
		return
	}
	if p.match < n.log.last() {
		lost := m.Context > p.sentRound+resendRounds
		if lost && (p.next == n.log.last()+1 || p.inflight >= n.o.MaxInflight) {
			// Resume from the last entry that is known to match.
			p.next, p.inflight, p.probing, p.paused = p.match+1, 0, true, false
		}
		if lost || (!p.probing && p.next <= n.log.last()) {
			n.sendAppend(m.From)
		}
	}
}

func (n *Node) handleSnapshotReply(p *progress, m *pb.RaftMessage) {
	if !p.sendingSnapshot {
		return
	}
	if m.Index >= p.snapIndex {
		p.sendingSnapshot, p.inflight, p.paused = false, 0, false
		n.advance(p, m.From, m.Index)
		return
	}
	p.chunkAcked = true
	if m.Context == p.snapIndex {
		p.snapOffset = min(m.Hint, uint64(len(n.log.snapData)))
	}
	n.sendChunk(m.From, p)
}
