package ledger

import (
	"maps"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// recovery is the state of a partition that is recovering and does not vote yet.
type recovery struct {
	nonce          uint64 // identifies this recovery of the replica
	seenGeneration uint64 // highest generation received
	statuses       map[string]*pb.LedgerMessage
	joining        bool
	generation     uint64 // generation being joined
	incarnation    uint64
	states         map[string]*pb.LedgerMessage // generation and incarnations of each replica whose state was read completely
	cursors        map[string]string
	entries        map[string]*entry // merged from all chunks
	vector         map[string]uint64
	promisedForm   uint64 // generation whose formation was promised
	promisedAt     int64  // time of that promise, in ms
	forming        uint64 // generation that this replica coordinates the formation of
	formVotes      map[string]uint64
	nextAt         int64 // earliest time of the next recovery message, in ms
	joinProgress   bool  // the join has progressed since the last Tick
}

// Tick returns the recovery messages to send now.
func (r *Replica) Tick(now int64) []*pb.LedgerMessage {
	var out []*pb.LedgerMessage
	for n := uint32(0); n < Slots; n++ {
		s := r.slots[n]
		if s == nil || s.active || now < s.rec.nextAt {
			continue
		}
		s.rec.nextAt = now + r.limits.RetryMS + r.rnd.Int63n(r.limits.RetryMS+1)
		out = append(out, r.recover(s, now)...)
	}
	return out
}

// recover repeats the current phase of the recovery, or restarts it if the join has
// made no progress since the last call.
func (r *Replica) recover(s *slot, now int64) []*pb.LedgerMessage {
	if len(s.members) == 1 {
		r.activate(s, uint64(now), now+r.limits.SkewMS)
		return nil
	}
	if s.rec.promisedForm != 0 && now > s.rec.promisedAt+10*r.limits.RetryMS {
		r.reset(s) // as after a crash: the promise to form is void with its nonce
	}
	if s.rec.joining && s.rec.joinProgress {
		s.rec.joinProgress = false
		return r.joinMessages(s)
	}
	if out := r.maybeForm(s, now); out != nil {
		return out
	}
	seen := s.rec.seenGeneration
	s.rec.statuses = map[string]*pb.LedgerMessage{}
	s.rec.joining, s.rec.states = false, nil
	return r.toOthers(s, &pb.LedgerMessage{Kind: uint32(RecoveryQuery), Nonce: s.rec.nonce, Generation: seen})
}

func (r *Replica) toOthers(s *slot, m *pb.LedgerMessage) []*pb.LedgerMessage {
	var out []*pb.LedgerMessage
	for _, id := range s.members {
		if id != r.id {
			out = append(out, r.addressed(s, id, m))
		}
	}
	return out
}

func (r *Replica) addressed(s *slot, to string, m *pb.LedgerMessage) *pb.LedgerMessage {
	return &pb.LedgerMessage{
		Kind: m.Kind, Slot: s.number, From: r.id, To: to, Nonce: m.Nonce, Generation: m.Generation,
		Incarnation: m.Incarnation, Cursor: m.Cursor, BirthMs: m.BirthMs, Nonces: m.Nonces,
	}
}

// handleRecoveryQuery replies with the last known incarnation of a recovering replica. If the
// message carries a higher generation, this replica leaves its own.
func (r *Replica) handleRecoveryQuery(s *slot, m, reply *pb.LedgerMessage) {
	r.observeGeneration(s, m.Generation)
	reply.Kind = uint32(RecoveryStatus)
	s.stamp(reply)
	reply.Incarnation = s.vector[m.From]
	if !s.active {
		reply.Generation = s.rec.seenGeneration
	}
}

// observeGeneration records a generation that was formed. A replica that is active
// in a lower one restarts its recovery.
func (r *Replica) observeGeneration(s *slot, generation uint64) {
	if s.active && generation > s.generation {
		r.reset(s)
	}
	s.rec.seenGeneration = max(s.rec.seenGeneration, generation)
}

// HandleReply processes the reply to a recovery message and returns the messages to
// send next.
func (r *Replica) HandleReply(m *pb.LedgerMessage, now int64) []*pb.LedgerMessage {
	s := r.slots[m.Slot]
	if s == nil || s.active || m.Nonce != s.rec.nonce {
		return nil
	}
	switch Kind(m.Kind) {
	case RecoveryStatus:
		return r.handleRecoveryStatus(s, m, now)
	case JoinState:
		return r.handleJoinState(s, m)
	case FormPromise:
		return r.handleFormPromise(s, m, now)
	}
	return nil
}

func (r *Replica) handleRecoveryStatus(s *slot, m *pb.LedgerMessage, now int64) []*pb.LedgerMessage {
	if s.rec.joining || s.rec.statuses == nil {
		return nil
	}
	s.rec.seenGeneration = max(s.rec.seenGeneration, m.Generation)
	s.rec.statuses[m.From] = m
	active, incarnation, generation := 0, uint64(0), uint64(0)
	for _, t := range s.rec.statuses {
		if t.Active {
			generation = max(generation, t.Generation)
		}
	}
	for _, t := range s.rec.statuses {
		if t.Active && t.Generation == generation {
			active++
			incarnation = max(incarnation, t.Incarnation)
		}
	}
	if active < majority(len(s.members)) || generation < s.rec.promisedForm {
		return r.maybeForm(s, now)
	}
	s.rec.joining, s.rec.joinProgress = true, true
	s.rec.generation, s.rec.incarnation = generation, incarnation+1
	s.rec.states = map[string]*pb.LedgerMessage{}
	s.rec.cursors = map[string]string{}
	s.rec.entries = map[string]*entry{}
	s.rec.vector = map[string]uint64{}
	return r.joinMessages(s)
}

func (r *Replica) joinMessages(s *slot) []*pb.LedgerMessage {
	var out []*pb.LedgerMessage
	for _, id := range s.members {
		if id == r.id || s.rec.states[id] != nil {
			continue
		}
		out = append(out, r.addressed(s, id, &pb.LedgerMessage{
			Kind: uint32(Join), Nonce: s.rec.nonce, Generation: s.rec.generation,
			Incarnation: s.rec.incarnation, Cursor: s.rec.cursors[id],
		}))
	}
	return out
}

// handleJoin registers a recovering replica's new incarnation and returns a chunk of the
// state in the same step.
func (r *Replica) handleJoin(s *slot, m, reply *pb.LedgerMessage) {
	reply.Kind = uint32(JoinState)
	if s.active && m.Generation == s.generation {
		s.vector[m.From] = max(s.vector[m.From], m.Incarnation)
		reply.Ok = true
		reply.Entries, reply.More = s.chunk(m.Cursor)
	}
	s.stamp(reply)
	reply.Incarnation = m.Incarnation
}

func (r *Replica) handleJoinState(s *slot, m *pb.LedgerMessage) []*pb.LedgerMessage {
	if !s.rec.joining || !m.Ok || m.Generation != s.rec.generation || m.Incarnation != s.rec.incarnation {
		return nil
	}
	s.rec.joinProgress = true
	for _, le := range m.Entries {
		s.rec.merge(le)
	}
	if m.More {
		cursor := m.Entries[len(m.Entries)-1].Key
		s.rec.cursors[m.From] = cursor
		return []*pb.LedgerMessage{r.addressed(s, m.From, &pb.LedgerMessage{
			Kind: uint32(Join), Nonce: s.rec.nonce, Generation: s.rec.generation,
			Incarnation: s.rec.incarnation, Cursor: cursor,
		})}
	}
	s.rec.states[m.From] = &pb.LedgerMessage{From: m.From, Generation: m.Generation, Vector: m.Vector}
	votes := consistentVotes(s.rec.states)
	if len(votes) < majority(len(s.members)) || s.rec.generation < s.rec.promisedForm {
		return nil
	}
	for _, v := range votes {
		for id, inc := range v.Vector {
			s.rec.vector[id] = max(s.rec.vector[id], inc)
		}
	}
	r.finishJoin(s, m.BirthMs)
	return nil
}

// merge merges an entry into the recovered state. Entries of a replica whose vote is
// dropped later may stay: promised and accepted ballots only increase.
func (c *recovery) merge(le *pb.LedgerEntry) {
	e := c.entries[le.Key]
	if e == nil {
		e = &entry{}
		c.entries[le.Key] = e
	}
	if ballotLess(e.promised, le.Promised) {
		e.promised = le.Promised
	}
	if ballotLess(e.accepted, le.Accepted) {
		e.accepted, e.value = le.Accepted, le.Value
	}
}

func (r *Replica) finishJoin(s *slot, birthMS int64) {
	vector := maps.Clone(s.rec.vector)
	vector[r.id] = max(vector[r.id], s.rec.incarnation)
	keys, generation := s.rec.entries, s.rec.generation
	var floor *pb.Ballot
	if f := keys[""]; f != nil {
		floor = f.promised
		delete(keys, "")
	}
	r.activate(s, generation, birthMS)
	s.vector, s.keys, s.floor = vector, keys, floor
	r.keys += len(keys)
	for _, e := range keys {
		r.bytes += answerSize(e.value)
	}
}

// activate makes the partition vote in the generation, with no keys.
func (r *Replica) activate(s *slot, generation uint64, birthMS int64) {
	r.reset(s)
	s.active, s.generation, s.birthMS = true, generation, birthMS
}

// maybeForm starts the formation of a new generation if a majority of the replicas,
// including this one, is known to be recovering.
func (r *Replica) maybeForm(s *slot, now int64) []*pb.LedgerMessage {
	recovering := 1
	for _, t := range s.rec.statuses {
		if !t.Active {
			recovering++
		}
	}
	if recovering < majority(len(s.members)) || s.rec.forming != 0 || s.rec.promisedForm != 0 {
		return nil
	}
	// Higher than every generation received, and distinct from those of all other members.
	base := max(uint64(now), s.rec.seenGeneration/uint64(len(s.members))+1)
	gen := base*uint64(len(s.members)) + uint64(indexOf(s.members, r.id))
	s.rec.forming, s.rec.promisedForm, s.rec.promisedAt = gen, gen, now
	s.rec.formVotes = map[string]uint64{r.id: s.rec.nonce}
	return r.toOthers(s, &pb.LedgerMessage{Kind: uint32(FormPrepare), Nonce: s.rec.nonce, Generation: gen})
}

func indexOf(list []string, s string) int {
	for i, e := range list {
		if e == s {
			return i
		}
	}
	return 0
}

// handleFormPrepare promises the formation of a generation if this replica is recovering.
func (r *Replica) handleFormPrepare(s *slot, m, reply *pb.LedgerMessage, now int64) {
	reply.Kind = uint32(FormPromise)
	reply.Active = s.active
	reply.Generation = m.Generation
	if s.active || m.Generation <= s.rec.promisedForm || m.Generation <= s.rec.seenGeneration {
		return
	}
	s.rec.promisedForm, s.rec.promisedAt = m.Generation, now
	s.rec.joining, s.rec.forming = false, 0
	reply.Ok = true
	reply.Incarnation = s.rec.nonce
}

func (r *Replica) handleFormPromise(s *slot, m *pb.LedgerMessage, now int64) []*pb.LedgerMessage {
	if s.rec.forming == 0 || m.Generation != s.rec.forming || !m.Ok {
		return nil
	}
	s.rec.formVotes[m.From] = m.Incarnation
	if len(s.rec.formVotes) < majority(len(s.members)) {
		return nil
	}
	gen, votes, birth := s.rec.forming, s.rec.formVotes, now+r.limits.SkewMS
	out := r.toOthers(s, &pb.LedgerMessage{Kind: uint32(Formed), Generation: gen, Nonces: votes, BirthMs: birth})
	r.activate(s, gen, birth)
	return out
}

// handleFormed activates a generation whose formation this replica has promised under its
// current nonce.
func (r *Replica) handleFormed(s *slot, m *pb.LedgerMessage) {
	if s.active {
		r.observeGeneration(s, m.Generation)
		return
	}
	if s.rec.promisedForm == m.Generation && m.Nonces[r.id] == s.rec.nonce {
		r.activate(s, m.Generation, m.BirthMs)
		return
	}
	s.rec.seenGeneration = max(s.rec.seenGeneration, m.Generation)
}
