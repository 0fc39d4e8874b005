package ledger

import (
	"maps"
	"math/rand"
	"sort"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Limits configures the bounds of a replica.
type Limits struct {
	MaxKeys  int   // over all partitions
	MaxBytes int   // of stored answers over all partitions; 0 for no bound
	SkewMS   int64 // bound on the difference between clocks
	RetryMS  int64 // least interval between recovery messages
}

// Replica is this host's replica of the ledger. It is not safe for concurrent use.
type Replica struct {
	id     string
	limits Limits
	rnd    *rand.Rand
	slots  map[uint32]*slot
	keys   int
	bytes  int // of the stored answers
}

// entry is the register of one key.
type entry struct {
	promised  *pb.Ballot
	accepted  *pb.Ballot
	value     *pb.LedgerValue
	updatedMS int64
}

// slot is one partition held by this replica.
type slot struct {
	number     uint32
	members    []string
	active     bool
	generation uint64
	birthMS    int64
	vector     map[string]uint64
	keys       map[string]*entry
	// floor is the highest ballot promised for any key that has expired. It counts as
	// promised for every absent key, so that an operation delayed for longer than a
	// key's lifetime cannot complete.
	floor *pb.Ballot
	rec   recovery
}

// addEntry adds an entry for an absent key and returns it.
func (r *Replica) addEntry(s *slot, key string) *entry {
	e := &entry{promised: s.floor}
	s.keys[key] = e
	r.keys++
	return e
}

// NewReplica returns the replica of host id, without state: every partition
// recovers before it votes.
func NewReplica(id string, limits Limits, seed int64) *Replica {
	return &Replica{id: id, limits: limits, rnd: rand.New(rand.NewSource(seed)), slots: map[uint32]*slot{}}
}

// SetLimits sets the bounds on the number of keys and on the bytes of answers held.
func (r *Replica) SetLimits(maxKeys, maxBytes int) {
	r.limits.MaxKeys, r.limits.MaxBytes = maxKeys, maxBytes
}

// full reports whether there is no room for a new key. Operations on keys already
// held, including the answers of successful claims, are accepted regardless.
func (r *Replica) full() bool {
	return r.keys >= r.limits.MaxKeys || r.limits.MaxBytes > 0 && r.bytes >= r.limits.MaxBytes
}

// answerSize returns the size in bytes of a value's answer.
func answerSize(v *pb.LedgerValue) int { return len(v.GetAnswer().GetBody()) }

// subtractUsage subtracts the partition's keys and answers from the totals.
func (r *Replica) subtractUsage(s *slot) {
	r.keys -= len(s.keys)
	for _, e := range s.keys {
		r.bytes -= answerSize(e.value)
	}
}

// SetMembers sets the members that replica sets are chosen from. Partitions whose
// replica set does not change keep their state.
func (r *Replica) SetMembers(members []Member, replicas int) {
	for n := uint32(0); n < Slots; n++ {
		set := ReplicaSet(members, n, replicas)
		s := r.slots[n]
		if s != nil && equal(s.members, set) {
			continue
		}
		if s != nil {
			r.subtractUsage(s)
			delete(r.slots, n)
		}
		if contains(set, r.id) {
			s := &slot{number: n, members: set}
			r.slots[n] = s
			r.reset(s)
		}
	}
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// reset puts the partition into the state of a replica that has just restarted.
func (r *Replica) reset(s *slot) {
	r.subtractUsage(s)
	s.active, s.birthMS = false, 0
	s.vector = map[string]uint64{}
	s.keys = map[string]*entry{}
	s.floor = nil
	s.rec = recovery{nonce: r.rnd.Uint64() | 1, seenGeneration: max(s.generation, s.rec.seenGeneration)}
	s.generation = 0
}

// Keys returns the number of keys held.
func (r *Replica) Keys() int { return r.keys }

// Bytes returns the size in bytes of the stored answers.
func (r *Replica) Bytes() int { return r.bytes }

// Active returns how many of this host's partitions vote, and how many it holds.
func (r *Replica) Active() (active, total int) {
	for _, s := range r.slots {
		if s.active {
			active++
		}
	}
	return active, len(r.slots)
}

// Handle processes a request message and returns the reply; nil if there is none.
func (r *Replica) Handle(m *pb.LedgerMessage, now int64) *pb.LedgerMessage {
	s := r.slots[m.Slot]
	if s == nil {
		return nil
	}
	reply := &pb.LedgerMessage{
		Slot: m.Slot, From: r.id, To: m.From, Key: m.Key, Ballot: m.Ballot, Nonce: m.Nonce,
	}
	switch Kind(m.Kind) {
	case Prepare:
		r.handlePrepare(s, m, reply, now)
	case Accept:
		r.handleAccept(s, m, reply, now)
	case Query:
		r.handleQuery(s, m, reply)
	case RecoveryQuery:
		r.handleRecoveryQuery(s, m, reply)
	case Join:
		r.handleJoin(s, m, reply)
	case FormPrepare:
		r.handleFormPrepare(s, m, reply, now)
	case Formed:
		r.handleFormed(s, m)
		return nil
	default:
		return nil
	}
	return reply
}

// stamp sets the fields that every vote carries: activity, generation, birth time
// and known incarnations.
func (s *slot) stamp(reply *pb.LedgerMessage) {
	reply.Active = s.active
	reply.Generation = s.generation
	reply.BirthMs = s.birthMS
	reply.Vector = maps.Clone(s.vector)
}

func refuse(reply *pb.LedgerMessage, reason Reason) {
	reply.Ok = false
	reply.Reason = uint32(reason)
}

func (r *Replica) handlePrepare(s *slot, m, reply *pb.LedgerMessage, now int64) {
	reply.Kind = uint32(Promise)
	s.stamp(reply)
	if !s.active {
		refuse(reply, ReasonRecovering)
		return
	}
	e := s.keys[m.Key]
	if e == nil {
		if r.full() {
			refuse(reply, ReasonFull)
			return
		}
		e = r.addEntry(s, m.Key)
	}
	if !ballotLess(e.promised, m.Ballot) {
		refuse(reply, ReasonBallot)
		reply.Accepted = e.promised
		return
	}
	e.promised, e.updatedMS = m.Ballot, now
	reply.Ok, reply.Accepted, reply.Value = true, e.accepted, e.value
}

func (r *Replica) handleAccept(s *slot, m, reply *pb.LedgerMessage, now int64) {
	reply.Kind = uint32(Accepted)
	s.stamp(reply)
	if !s.active {
		refuse(reply, ReasonRecovering)
		return
	}
	if m.Generation != s.generation {
		refuse(reply, ReasonGeneration)
		return
	}
	e := s.keys[m.Key]
	if e == nil {
		e = r.addEntry(s, m.Key)
	}
	if ballotLess(m.Ballot, e.promised) {
		refuse(reply, ReasonBallot)
		reply.Accepted = e.promised
		return
	}
	r.bytes += answerSize(m.Value) - answerSize(e.value)
	e.promised, e.accepted, e.value, e.updatedMS = m.Ballot, m.Ballot, m.Value, now
	if ballotLess(e.promised, m.Accepted) {
		e.promised = m.Accepted // the proposer's next ballot, promised in the same step
	}
	reply.Ok = true
}

// handleQuery returns the accepted value without giving a promise.
func (r *Replica) handleQuery(s *slot, m, reply *pb.LedgerMessage) {
	reply.Kind = uint32(QueryReply)
	s.stamp(reply)
	reply.Ok = s.active
	if e := s.keys[m.Key]; e != nil {
		reply.Accepted, reply.Value = e.accepted, e.value
	}
}

// emptyLifetimeMS is how long a key is kept that was promised but never accepted.
const emptyLifetimeMS = 60_000

// Expire removes the keys whose retention, plus the bound on the difference between
// clocks, is over. It returns how many keys it removed.
func (r *Replica) Expire(now int64) int {
	dropped := 0
	for _, s := range r.slots {
		for key, e := range s.keys {
			end := e.updatedMS + emptyLifetimeMS
			if e.value != nil {
				end = e.value.ExpiresMs + r.limits.SkewMS
			}
			if now > end {
				if ballotLess(s.floor, e.promised) {
					s.floor = e.promised
				}
				r.bytes -= answerSize(e.value)
				delete(s.keys, key)
				dropped++
			}
		}
	}
	r.keys -= dropped
	return dropped
}

// sortedKeys returns the partition's keys after cursor, sorted.
func (s *slot) sortedKeys(cursor string) []string {
	keys := make([]string, 0, len(s.keys))
	for k := range s.keys {
		if k > cursor {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// stateChunkBytes is the largest size of the entries in one state message, unless a
// single entry exceeds it.
const stateChunkBytes = 512 << 10

// chunk returns the entries after cursor that fit into one message. The first chunk
// also contains the floor, under the empty key.
func (s *slot) chunk(cursor string) (entries []*pb.LedgerEntry, more bool) {
	size := 0
	if cursor == "" {
		entries = append(entries, &pb.LedgerEntry{Promised: s.floor})
	}
	for _, key := range s.sortedKeys(cursor) {
		e := s.keys[key]
		le := &pb.LedgerEntry{Key: key, Promised: e.promised, Accepted: e.accepted, Value: e.value}
		size += proto.Size(le)
		if len(entries) > 0 && size > stateChunkBytes {
			return entries, true
		}
		entries = append(entries, le)
	}
	return entries, false
}
