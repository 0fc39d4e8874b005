package ledger

import (
	"maps"
	"math/rand"
	"sort"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Limits bounds a replica.
type Limits struct {
	MaxKeys  int   // keys over all partitions
	MaxBytes int   // stored answers over all partitions
	SkewMS   int64 // bound on the difference between clocks
	RetryMS  int64 // interval of the recovery's messages
}

// Replica holds this host's part of the ledger. It is not safe for concurrent use.
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
	promised *pb.Ballot
	accepted *pb.Ballot
	value    *pb.LedgerValue
	touched  int64
}

// slot is one partition on this replica.
type slot struct {
	number     uint32
	members    []string
	active     bool
	generation uint64
	birthMS    int64
	vector     map[string]uint64
	keys       map[string]*entry
	// floor is the highest ballot promised for a key that was dropped. An
	// absent key counts as promised to it, so that an operation that was held
	// up for longer than a key lives cannot complete.
	floor *pb.Ballot
	rec   recovery
}

// add returns a new entry for an absent key.
func (r *Replica) add(s *slot, key string) *entry {
	e := &entry{promised: s.floor}
	s.keys[key] = e
	r.keys++
	return e
}

// NewReplica returns the replica of host id, which has no memory: every
// partition recovers before it votes.
func NewReplica(id string, limits Limits, seed int64) *Replica {
	return &Replica{id: id, limits: limits, rnd: rand.New(rand.NewSource(seed)), slots: map[uint32]*slot{}}
}

// SetLimits changes the bounds on the keys and the bytes of answers held.
func (r *Replica) SetLimits(maxKeys, maxBytes int) {
	r.limits.MaxKeys, r.limits.MaxBytes = maxKeys, maxBytes
}

// full reports whether there is no room for a new key. Keys that are held
// already, and the answers of claims that were won, are always taken.
func (r *Replica) full() bool {
	return r.keys >= r.limits.MaxKeys || r.limits.MaxBytes > 0 && r.bytes >= r.limits.MaxBytes
}

// size is the memory that a value's answer takes.
func size(v *pb.LedgerValue) int { return len(v.GetAnswer().GetBody()) }

// drop forgets the partition's keys.
func (r *Replica) drop(s *slot) {
	r.keys -= len(s.keys)
	for _, e := range s.keys {
		r.bytes -= size(e.value)
	}
}

// SetMembers fixes the replica sets. Partitions that this host holds already
// with the same set keep their state.
func (r *Replica) SetMembers(members []Member, replicas int) {
	for n := uint32(0); n < Slots; n++ {
		set := ReplicaSet(members, n, replicas)
		s := r.slots[n]
		if s != nil && equal(s.members, set) {
			continue
		}
		if s != nil {
			r.drop(s)
			delete(r.slots, n)
		}
		if contains(set, r.id) {
			s := &slot{number: n, members: set}
			r.slots[n] = s
			r.forget(s)
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

// forget puts the partition into the state of a replica that just restarted.
func (r *Replica) forget(s *slot) {
	r.drop(s)
	s.active, s.birthMS = false, 0
	s.vector = map[string]uint64{}
	s.keys = map[string]*entry{}
	s.floor = nil
	s.rec = recovery{nonce: r.rnd.Uint64() | 1, seenGeneration: max(s.generation, s.rec.seenGeneration)}
	s.generation = 0
}

// Keys returns the number of keys held.
func (r *Replica) Keys() int { return r.keys }

// Bytes returns the bytes of the stored answers.
func (r *Replica) Bytes() int { return r.bytes }

// Active returns how many of this host's partitions vote, and how many it has.
func (r *Replica) Active() (active, total int) {
	for _, s := range r.slots {
		if s.active {
			active++
		}
	}
	return active, len(r.slots)
}

// Handle answers a request message; nil when there is nothing to say.
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
		r.prepare(s, m, reply, now)
	case Accept:
		r.accept(s, m, reply, now)
	case Query:
		r.query(s, m, reply)
	case Ask:
		r.ask(s, m, reply)
	case Join:
		r.join(s, m, reply)
	case FormPrepare:
		r.formPrepare(s, m, reply, now)
	case Formed:
		r.formed(s, m)
		return nil
	default:
		return nil
	}
	return reply
}

// stamp adds what every vote carries: generation, birth and known incarnations.
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

func (r *Replica) prepare(s *slot, m, reply *pb.LedgerMessage, now int64) {
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
		e = r.add(s, m.Key)
	}
	if !less(e.promised, m.Ballot) {
		refuse(reply, ReasonBallot)
		reply.Accepted = e.promised
		return
	}
	e.promised, e.touched = m.Ballot, now
	reply.Ok, reply.Accepted, reply.Value = true, e.accepted, e.value
}

func (r *Replica) accept(s *slot, m, reply *pb.LedgerMessage, now int64) {
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
		e = r.add(s, m.Key)
	}
	if less(m.Ballot, e.promised) {
		refuse(reply, ReasonBallot)
		reply.Accepted = e.promised
		return
	}
	r.bytes += size(m.Value) - size(e.value)
	e.promised, e.accepted, e.value, e.touched = m.Ballot, m.Ballot, m.Value, now
	if less(e.promised, m.Accepted) {
		e.promised = m.Accepted // the proposer's next ballot, promised in the same step
	}
	reply.Ok = true
}

// query returns the accepted value without a promise.
func (r *Replica) query(s *slot, m, reply *pb.LedgerMessage) {
	reply.Kind = uint32(QueryReply)
	s.stamp(reply)
	reply.Ok = s.active
	if e := s.keys[m.Key]; e != nil {
		reply.Accepted, reply.Value = e.accepted, e.value
	}
}

// emptyLifetimeMS is how long a key stays that was promised but never accepted.
const emptyLifetimeMS = 60_000

// Expire drops the keys whose retention is over, with the clocks' difference
// on top. It returns how many it dropped.
func (r *Replica) Expire(now int64) int {
	dropped := 0
	for _, s := range r.slots {
		for key, e := range s.keys {
			end := e.touched + emptyLifetimeMS
			if e.value != nil {
				end = e.value.ExpiresMs + r.limits.SkewMS
			}
			if now > end {
				if less(s.floor, e.promised) {
					s.floor = e.promised
				}
				r.bytes -= size(e.value)
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

// stateChunkBytes bounds the entries of one state message.
const stateChunkBytes = 512 << 10

// chunk returns the entries after cursor that fit one message. The floor
// travels with the first chunk, under the empty key.
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
