package consensus

import (
	"math/rand"
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// MessageType is the type of a RaftMessage.
type MessageType uint32

// Message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
)

// EntryType is the type of a log entry.
type EntryType uint32

// Entry types.
const (
	EntryNormal  EntryType = iota // a command, or empty data for a new leader's first entry
	EntryMembers                  // an encoded RaftMembers
)

// Role is the role of a replica.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Snapshot is a state of the state machine with the position of the last log entry that
// it includes.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members *pb.RaftMembers
	Data    []byte
}

// Options configures a Node.
type Options struct {
	ID             string // ID of the replica's store
	ElectionTicks  int    // ticks without a leader's message before an election (default 10)
	HeartbeatTicks int    // ticks between heartbeats (default 1)
	MaxBatchBytes  int    // maximum bytes of entries in one append (default 256 KiB)
	MaxInflight    int    // maximum unacknowledged appends to one follower (default 32)
	ChunkBytes     int    // maximum bytes of a snapshot chunk (default 64 KiB)
	Seed           int64  // seed of the random part of election timeouts
	// NoLeases disables leader leases: LeaseTicks is always 0, and a replica that has
	// just started votes and campaigns without waiting for an election timeout.
	NoLeases bool

	// State recovered from the journal.
	HardState *pb.HardState
	Snapshot  Snapshot
	Entries   []*pb.RaftEntry
}

// Ready holds the actions that the caller must carry out, in this order: make
// Snapshot, HardState and Entries durable, send Messages, apply Snapshot and
// Committed, answer Reads, and call Advance.
type Ready struct {
	HardState *pb.HardState   // nil if unchanged
	Snapshot  *Snapshot       // received from the leader; replaces the log
	Entries   []*pb.RaftEntry // the first replaces all stored entries from its index on
	Messages  []*pb.RaftMessage
	Committed []*pb.RaftEntry
	Reads     []Read
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Read is the result of ReadIndex(ID): once the replica has applied the log up to
// Index, its state may be returned to the reader.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool // false if the leader lost its role before a majority confirmed it
}

type pendingRead struct {
	id, index, round uint64
}

// Node is one replica of the group. It is not safe for concurrent use.
type Node struct {
	o            Options
	rnd          *rand.Rand
	term         uint64
	vote         string
	durableState pb.HardState
	role         Role
	leader       string
	log          replicaLog

	fresh        freshness
	members      *pb.RaftMembers
	membersIndex uint64
	progress     map[string]*progress
	votes        map[string]bool

	restarted        bool // started with a hard state of an earlier run
	tick             uint64
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	round      uint64            // sequence number of the last heartbeat broadcast
	roundTicks map[uint64]uint64 // tick at which each recent round was broadcast
	reads      []pendingRead
	doneReads  []Read

	msgs             []*pb.RaftMessage
	receivedSnapshot *Snapshot
	snapshotBuf      []byte // data received so far of a snapshot
	snapshotKey      [2]uint64
}

// New returns a replica in the state given by the options. It starts as a follower.
func New(o Options) *Node {
	setDefault(&o.ElectionTicks, 10)
	setDefault(&o.HeartbeatTicks, 1)
	setDefault(&o.MaxBatchBytes, 256<<10)
	setDefault(&o.MaxInflight, 32)
	setDefault(&o.ChunkBytes, 64<<10)
	n := &Node{o: o, rnd: rand.New(rand.NewSource(o.Seed))}
	s := o.Snapshot
	if s.Members == nil {
		s.Members = &pb.RaftMembers{}
	}
	n.log.reset(s)
	n.log.entries = append(n.log.entries, o.Entries...)
	n.log.stable = n.log.last()
	if h := o.HardState; h != nil {
		n.restarted = h.Term > 0
		n.term, n.vote = h.Term, h.Vote
		n.log.commit = min(max(h.Commit, s.Index), n.log.last())
		n.durableState = pb.HardState{Term: h.Term, Vote: h.Vote, Commit: h.Commit}
	}
	n.loadMembers()
	n.becomeFollower(n.term, "")
	if o.NoLeases {
		n.scheduleFirstCampaign()
	}
	return n
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Tick advances the replica's logical clock by one tick.
func (n *Node) Tick() {
	n.tick++
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout && n.isVoter(n.o.ID) {
		n.campaign(PreCandidate)
		return
	}
	n.resendVoteRequests()
}

func (n *Node) tickLeader() {
	if n.electionElapsed >= n.o.ElectionTicks {
		n.electionElapsed = 0
		if n.quorumContactTicksLeft() == 0 {
			n.becomeFollower(n.term, "")
			return
		}
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.o.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// Propose appends a command to the leader's log and returns its position. The command is
// committed only if Ready returns an entry with this index and term in Committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, failure.New(failure.NoLeader, failure.NotRun, "replica %s is a %s, not the leader", n.o.ID, n.role)
	}
	return n.append(EntryNormal, data), n.term, nil
}

// ReadIndex starts a linearizable read. A later Ready returns a Read with the id.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return failure.New(failure.NoLeader, "", "replica %s is a %s, not the leader", n.o.ID, n.role)
	}
	if !n.committedInTerm() {
		return failure.New(failure.NoLeader, "", "the leader has not committed an entry of its term yet")
	}
	n.broadcastHeartbeat()
	n.reads = append(n.reads, pendingRead{id, n.log.commit, n.round})
	n.confirmReads()
	return nil
}

// append adds an entry to the leader's log, sends it to the other members and returns
// its index.
func (n *Node) append(t EntryType, data []byte) uint64 {
	index := n.log.last() + 1
	e := &pb.RaftEntry{Term: n.term, Index: index, Type: uint32(t), Data: data}
	n.log.entries = append(n.log.entries, e)
	if t == EntryMembers {
		n.loadMembers()
	}
	n.broadcastAppend()
	return index
}

// Unapplied returns the entries of the log that are not applied, committed or not. The caller must not modify them.
func (n *Node) Unapplied() []*pb.RaftEntry { return n.log.between(n.log.applied, n.log.last()) }

// Ready returns the pending actions; see the type Ready.
func (n *Node) Ready() Ready {
	var rd Ready
	if n.term != n.durableState.Term || n.vote != n.durableState.Vote || n.log.commit != n.durableState.Commit {
		rd.HardState = &pb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	}
	rd.Snapshot = n.receivedSnapshot
	rd.Entries = n.log.between(n.log.stable, n.log.last())
	rd.Messages = n.msgs
	rd.Committed = n.log.between(n.log.applied, min(n.log.commit, n.log.last()))
	rd.Reads = n.doneReads
	n.msgs, n.doneReads, n.receivedSnapshot = nil, nil, nil
	return rd
}

// Advance reports that the actions of rd were carried out.
func (n *Node) Advance(rd Ready) {
	if rd.HardState != nil {
		n.durableState = pb.HardState{Term: rd.HardState.Term, Vote: rd.HardState.Vote, Commit: rd.HardState.Commit}
	}
	if k := len(rd.Entries); k > 0 {
		last := rd.Entries[k-1]
		if n.log.matches(last.Index, last.Term) {
			n.log.stable = max(n.log.stable, last.Index)
		}
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = max(n.log.applied, rd.Committed[k-1].Index)
	}
	if n.role == Leader {
		n.maybeCommit()
	}
}

// Compact replaces the log up to index with a snapshot. data is the encoded state at index.
func (n *Node) Compact(index uint64, data []byte) {
	n.log.compact(index, n.log.membersAt(index), data)
}

// SnapshotAt returns the snapshot that Compact(index, data) would create.
func (n *Node) SnapshotAt(index uint64, data []byte) Snapshot {
	t, _ := n.log.term(index)
	return Snapshot{Index: index, Term: t, Members: n.log.membersAt(index), Data: data}
}

// Tail returns the hard state and the entries after index, with which a new journal
// segment starts.
func (n *Node) Tail(index uint64) (*pb.HardState, []*pb.RaftEntry) {
	h := &pb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	return h, n.log.between(index, n.log.last())
}

// Status is a replica's state for monitoring and repair.
type Status struct {
	ID      string
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Applied uint64
	Members *pb.RaftMembers
	// MembersIndex is the log index of Members, or of the snapshot that holds them.
	MembersIndex uint64
	// CommittedMembers are the members before a membership change that is not
	// committed yet; nil if there is no such change.
	CommittedMembers *pb.RaftMembers
	Replicas         []ReplicaStatus // on the leader only
}

// ReplicaStatus is the leader's view of one replica.
type ReplicaStatus struct {
	ID       string
	Address  string
	Learner  bool
	Match    uint64
	Applied  uint64 // index up to which it has reported its log as applied
	Recent   bool   // has answered within the election timeout
	CaughtUp bool   // recent, and at most catchUpLag entries behind the commit index
}

// Status returns the replica's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.o.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, Members: n.members, MembersIndex: n.membersIndex,
	}
	if n.membersIndex > n.log.commit {
		s.CommittedMembers = n.log.membersAt(n.log.commit)
	}
	if n.role != Leader {
		return s
	}
	for _, m := range n.members.Members {
		r := ReplicaStatus{ID: m.Id, Address: m.Address, Learner: m.Learner}
		if p := n.progress[m.Id]; p != nil {
			r.Match, r.Applied, r.Recent = p.match, p.applied, n.isRecent(m.Id, p)
			if m.Id == n.o.ID {
				r.Match, r.Applied = n.log.stable, n.log.applied
			}
			r.CaughtUp = r.Recent && r.Match+catchUpLag >= n.log.commit
		}
		s.Replicas = append(s.Replicas, r)
	}
	sort.Slice(s.Replicas, func(i, j int) bool { return s.Replicas[i].ID < s.Replicas[j].ID })
	return s
}

// Role returns the replica's role.
func (n *Node) Role() Role { return n.role }

// Term returns the replica's term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the ID of the current term's leader, or "" if unknown.
func (n *Node) Leader() string { return n.leader }

// Address returns a member's address, or "" if there is no such member.
func (n *Node) Address(id string) string {
	for _, m := range n.members.Members {
		if m.Id == id {
			return m.Address
		}
	}
	return ""
}

// catchUpLag is how many entries a caught-up replica may be behind the commit index,
// for appends in flight.
const catchUpLag = 64

// isRecent reports whether a member has answered within the election timeout. This replica
// always has.
func (n *Node) isRecent(id string, p *progress) bool {
	return id == n.o.ID || (p.ackTick > 0 && n.tick-p.ackTick < uint64(n.o.ElectionTicks))
}

// LeaseTicks returns the remaining ticks of the leader lease, during which no
// other replica can become leader; 0 if this replica holds no lease.
func (n *Node) LeaseTicks() int {
	if n.role != Leader || n.o.NoLeases {
		return 0
	}
	return n.quorumContactTicksLeft()
}

// quorumContactTicksLeft returns for how many more ticks the leader counts as in contact with
// a majority of voters.
func (n *Node) quorumContactTicksLeft() int {
	sent := n.quorumContactTick()
	left := int64(sent) + int64(n.o.ElectionTicks) - int64(n.tick)
	if sent == 0 && !n.isSoleVoter() {
		return 0
	}
	return int(max(left, 0))
}

// quorumContactTick returns the send tick of the latest heartbeat that a majority of voters,
// this leader included, has answered.
func (n *Node) quorumContactTick() uint64 {
	return n.quorumOf(func(id string, p *progress) uint64 {
		if id == n.o.ID {
			return n.tick
		}
		return p.ackSentTick
	})
}

func (n *Node) isSoleVoter() bool {
	return countVoters(n.members) == 1 && n.isVoter(n.o.ID)
}

// quorumOf returns the largest value that a majority of voters have reached.
func (n *Node) quorumOf(value func(string, *progress) uint64) uint64 {
	var values []uint64
	for _, m := range n.members.Members {
		if m.Learner {
			continue
		}
		p := n.progress[m.Id]
		if p == nil {
			p = &progress{}
		}
		values = append(values, value(m.Id, p))
	}
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(values)/2]
}

// decodeMembers decodes the data of an EntryMembers entry. Invalid data gives no members.
func decodeMembers(data []byte) *pb.RaftMembers {
	m := new(pb.RaftMembers)
	if err := proto.Unmarshal(data, m); err != nil {
		return &pb.RaftMembers{}
	}
	return m
}
