package consensus

import (
	"fmt"
	"math/rand"
	"slices"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// disabledMechanisms switches one mechanism off, from outside the product code.
type disabledMechanisms struct {
	sync     bool // messages leave before the log is durable, and crashes lose it
	vote     bool // a restarted replica forgets its vote
	identity bool // a replica with an empty disk keeps its identity
	reads    bool // a leader answers reads without asking a majority
}

const recordTemplate = `{"schema_version":2,"note":%q,"regions":[{"name":"r","failure_domains":["f"]}],
"hosts":[{"id":"h","region":"r","failure_domain":"f","peer":"127.0.0.1:1","caller":"http://127.0.0.1:2"}],
"operators":[{"name":"o","key_hashes":["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}]}`

// disk is what survives a crash.
type disk struct {
	hard    *pb.HardState
	snap    Snapshot
	entries []*pb.RaftEntry
}

func (d *disk) append(entries []*pb.RaftEntry) {
	for _, e := range entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= e.Index {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries, e)
	}
}

// server is a replica with its disk and state machine.
type server struct {
	id       string
	node     *Node
	machine  *configstate.Machine
	disk     disk
	up       bool
	waiting  map[uint64]pending // by log index
	reads    map[uint64]int     // operation by read ID
	unsynced []Ready            // not on the disk yet; lost in a crash
}

type pending struct {
	term uint64
	op   int
}

// request and answer of the configuration register.
type request struct {
	read bool
	base uint64
	id   string
}

type answer struct {
	known   bool
	version uint64 // accepted version, 0 when refused
	current uint64
}

// operation is one client call in the history.
type operation struct {
	in   request
	out  answer
	call int64
	ret  int64 // 0 while under way
}

type simulation struct {
	rnd      *rand.Rand
	disabled disabledMechanisms
	// noLeases lets replicas vote and stand as soon as they start.
	noLeases       bool
	clock          int64
	servers        map[string]*server
	order          []string
	initialMembers []*pb.RaftMember
	net            []*pb.RaftMessage
	cut            map[string]int // partition of each server
	ops            []operation
	leaders        map[uint64]string
	applied        map[uint64]string
	nextID         int
	violations     []string // violations of invariants seen on the way
}

func newSimulation(seed int64, n int, b disabledMechanisms) *simulation {
	return newSimulationLeases(seed, n, b, false)
}

func newSimulationLeases(seed int64, n int, b disabledMechanisms, noLeases bool) *simulation {
	w := &simulation{
		rnd: rand.New(rand.NewSource(seed)), disabled: b, noLeases: noLeases, servers: map[string]*server{}, cut: map[string]int{},
		leaders: map[uint64]string{}, applied: map[uint64]string{},
	}
	for i := range n {
		w.initialMembers = append(w.initialMembers, &pb.RaftMember{Id: fmt.Sprintf("s%d", i), Address: "a"})
	}
	for _, m := range w.initialMembers {
		w.add(m.Id)
	}
	return w
}

func (w *simulation) add(id string) *server {
	s := &server{id: id, disk: disk{snap: Snapshot{Members: &pb.RaftMembers{Members: w.initialMembers}}}}
	w.servers[id] = s
	w.order = append(w.order, id)
	w.boot(s)
	return s
}

func (w *simulation) boot(s *server) {
	hard := s.disk.hard
	if w.disabled.vote && hard != nil {
		hard = &pb.HardState{Term: hard.Term, Commit: hard.Commit}
	}
	s.node = New(Options{
		ID: s.id, ElectionTicks: 10, Seed: w.rnd.Int63(), ChunkBytes: 256, MaxBatchBytes: 600, MaxInflight: 4,
		HardState: hard, Snapshot: s.disk.snap, Entries: slices.Clone(s.disk.entries), NoLeases: w.noLeases,
	})
	if w.disabled.vote {
		s.node.restarted = false
	}
	s.machine = configstate.NewMachine(1)
	if s.disk.snap.Data != nil {
		_ = s.machine.Restore(s.disk.snap.Data)
	}
	s.up, s.waiting, s.reads = true, map[uint64]pending{}, map[uint64]int{}
}

func (w *simulation) nextTimestamp() int64 { w.clock++; return w.clock }

// crash ends a replica; the clients it served learn nothing.
func (w *simulation) crash(s *server) { s.up, s.unsynced = false, nil }

// process carries out a replica's actions. With half, the replica crashes after
// they are durable and before any message leaves.
func (w *simulation) process(s *server, crashBeforeSend bool) {
	for s.up {
		rd := s.node.Ready()
		if rd.Empty() {
			return
		}
		s.unsynced = append(s.unsynced, rd)
		if !w.disabled.sync || w.rnd.Float64() < 0.05 {
			w.persist(s)
		}
		if crashBeforeSend {
			w.crash(s)
			return
		}
		for _, m := range rd.Messages {
			w.net = append(w.net, proto.Clone(m).(*pb.RaftMessage))
		}
		w.apply(s, rd)
		s.node.Advance(rd)
	}
}

func (w *simulation) persist(s *server) {
	for _, rd := range s.unsynced {
		if rd.HardState != nil {
			s.disk.hard = rd.HardState
		}
		if rd.Snapshot != nil {
			s.disk.snap, s.disk.entries = *rd.Snapshot, nil
		}
		s.disk.append(rd.Entries)
	}
	s.unsynced = nil
}

func (w *simulation) apply(s *server, rd Ready) {
	if rd.Snapshot != nil {
		_ = s.machine.Restore(rd.Snapshot.Data)
	}
	before := s.machine.Version()
	for _, e := range rd.Committed {
		w.applyEntry(s, e)
	}
	if s.machine.Version() < before {
		w.violations = append(w.violations, s.id+": the version went back")
	}
	for _, r := range rd.Reads {
		if op, ok := s.reads[r.ID]; ok && r.OK {
			w.complete(op, answer{known: true, current: s.machine.Version()})
		}
	}
	st := s.node.Status()
	if st.Role == Leader {
		if other, ok := w.leaders[st.Term]; ok && other != s.id {
			w.violations = append(w.violations, fmt.Sprintf("term %d has leaders %s and %s", st.Term, other, s.id))
		}
		w.leaders[st.Term] = s.id
	}
}

func (w *simulation) applyEntry(s *server, e *pb.RaftEntry) {
	content := fmt.Sprintf("%d %x", e.Term, e.Data)
	if old, ok := w.applied[e.Index]; ok && old != content {
		w.violations = append(w.violations, fmt.Sprintf("entry %d was applied with two contents", e.Index))
	}
	w.applied[e.Index] = content
	var res configstate.Result
	if EntryType(e.Type) == EntryNormal && len(e.Data) > 0 {
		c := new(pb.Command)
		_ = proto.Unmarshal(e.Data, c)
		res = s.machine.Apply(c)
	}
	if p, ok := s.waiting[e.Index]; ok {
		delete(s.waiting, e.Index)
		if p.term == e.Term {
			w.complete(p.op, answer{known: true, version: res.Version, current: res.Current})
		}
	}
}

func (w *simulation) complete(op int, a answer) {
	if w.ops[op].ret == 0 {
		w.ops[op].out, w.ops[op].ret = a, w.nextTimestamp()
	}
}

// propose sends a change to a replica. Half of them resend an earlier change.
func (w *simulation) propose(s *server) {
	in := request{base: s.machine.Version(), id: fmt.Sprintf("c%d", w.nextID)}
	if w.rnd.Float64() < 0.3 {
		in.base = uint64(max(0, int(in.base)-1))
	}
	if len(w.ops) > 0 && w.rnd.Float64() < 0.4 {
		in = w.ops[w.rnd.Intn(len(w.ops))].in
	}
	if in.read {
		return
	}
	w.nextID++
	data, _ := proto.Marshal(&pb.Command{BaseVersion: in.base, ChangeId: in.id, Record: fmt.Appendf(nil, recordTemplate, in.id)})
	call := w.nextTimestamp()
	index, term, err := s.node.Propose(data)
	if err != nil {
		return
	}
	w.ops = append(w.ops, operation{in: in, call: call})
	s.waiting[index] = pending{term, len(w.ops) - 1}
}

func (w *simulation) read(s *server) {
	call := w.nextTimestamp()
	id := uint64(len(w.ops)) + 1
	if w.disabled.reads && s.node.Status().Role == Leader {
		w.ops = append(w.ops, operation{in: request{read: true}, call: call})
		w.complete(len(w.ops)-1, answer{known: true, current: s.machine.Version()})
		return
	}
	if err := s.node.ReadIndex(id); err != nil {
		return
	}
	w.ops = append(w.ops, operation{in: request{read: true}, call: call})
	s.reads[id] = len(w.ops) - 1
}

// replaceLost wipes a replica's disk. It comes back under a new identity, and
// some leader is asked for the steps of the replacement until it is a voter.
func (w *simulation) replaceLost(s *server) {
	w.crash(s)
	if w.disabled.identity {
		s.disk = disk{snap: Snapshot{Members: &pb.RaftMembers{Members: w.initialMembers}}}
		w.boot(s)
		return
	}
	delete(w.servers, s.id)
	w.order = slices.DeleteFunc(w.order, func(id string) bool { return id == s.id })
	w.nextID++
	w.add(fmt.Sprintf("n%d", w.nextID))
}

// repair proposes the next membership step at a leader: add a learner, promote
// it, or remove a voter that is gone.
func (w *simulation) repair(s *server) {
	next := proto.Clone(s.node.Status().Members).(*pb.RaftMembers)
	known := map[string]bool{}
	for _, m := range next.Members {
		known[m.Id] = true
		if m.Learner {
			m.Learner = false
			_, _, _ = s.node.ProposeMembers(next)
			return
		}
	}
	for _, id := range w.order {
		if !known[id] {
			next.Members = append(next.Members, &pb.RaftMember{Id: id, Learner: true})
			_, _, _ = s.node.ProposeMembers(next)
			return
		}
	}
	for i, m := range next.Members {
		if w.servers[m.Id] == nil {
			next.Members = slices.Delete(next.Members, i, i+1)
			_, _, _ = s.node.ProposeMembers(next)
			return
		}
	}
}

func (w *simulation) pick() *server { return w.servers[w.order[w.rnd.Intn(len(w.order))]] }

// run plays a schedule: faults for the given steps, then a calm end.
func (w *simulation) run(steps int, diskLosses int) {
	for i := range steps {
		x := w.rnd.Float64()
		s := w.pick()
		switch {
		case x < 0.003:
			w.partition()
		case x < 0.006:
			w.cut = map[string]int{}
		case x < 0.010 && s.up:
			w.crash(s)
		case x < 0.011 && diskLosses > 0 && w.downCount() == 0:
			diskLosses--
			w.replaceLost(s)
		case x < 0.04:
			if !s.up {
				w.boot(s)
			}
		case !s.up:
		case x < 0.055 && len(w.ops) < 60:
			w.propose(s)
		case x < 0.07 && len(w.ops) < 60:
			w.read(s)
		case x < 0.08 && s.node.Status().Role == Leader:
			w.repair(s)
		case x < 0.084:
			w.compact(s)
		case x < 0.20:
			s.node.Tick()
		default:
			w.deliver()
		}
		w.process(s, i%397 == 0)
	}
	w.healAndFinish()
}

func (w *simulation) downCount() int {
	down := 0
	for _, s := range w.servers {
		if !s.up {
			down++
		}
	}
	return down
}

func (w *simulation) partition() {
	for _, id := range w.order {
		w.cut[id] = w.rnd.Intn(2)
	}
}

func (w *simulation) compact(s *server) {
	at := s.node.Status().Applied
	data := s.machine.Snapshot()
	if at == 0 || at <= s.disk.snap.Index {
		return
	}
	w.persist(s)
	snap := s.node.SnapshotAt(at, data)
	_, tail := s.node.Tail(at)
	s.node.Compact(at, data)
	s.disk.snap, s.disk.entries = snap, slices.Clone(tail[:max(0, min(len(tail), int(s.node.log.stable-at)))])
}

// deliver hands over, repeats or drops one message.
func (w *simulation) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := w.rnd.Intn(min(len(w.net), 12))
	m := w.net[i]
	if w.rnd.Float64() > 0.03 {
		w.net = slices.Delete(w.net, i, i+1)
	}
	to := w.servers[m.To]
	if to == nil || !to.up || w.cut[m.From] != w.cut[m.To] || w.rnd.Float64() < 0.03 {
		return
	}
	to.node.Step(proto.Clone(m).(*pb.RaftMessage))
	w.process(to, false)
}

// healAndFinish heals everything and lets the group finish.
func (w *simulation) healAndFinish() {
	w.cut = map[string]int{}
	for _, id := range w.order {
		if s := w.servers[id]; !s.up {
			w.boot(s)
		}
	}
	for range 120 {
		for _, id := range w.order {
			w.servers[id].node.Tick()
			w.process(w.servers[id], false)
		}
		for range 200 {
			if len(w.net) == 0 {
				break
			}
			m := w.net[0]
			w.net = w.net[1:]
			if to := w.servers[m.To]; to != nil {
				to.node.Step(m)
				w.process(to, false)
			}
		}
	}
	for _, id := range w.order {
		w.read(w.servers[id])
		w.process(w.servers[id], false)
	}
}

// register is the sequential model: a register with compare-and-swap by
// version, in which a change ID is answered once and for all. The empty ID holds
// the version.
var register = porcupine.Model{
	Init: func() any { return map[string]answer{"": {}} },
	Step: func(state, input, output any) (bool, any) {
		m := state.(map[string]answer)
		in, out := input.(request), output.(answer)
		version := m[""].version
		if in.read {
			return !out.known || out.current == version, state
		}
		want, seen := m[in.id]
		next := state
		if !seen {
			want = answer{known: true, current: version}
			copied := make(map[string]answer, len(m)+1)
			for k, v := range m {
				copied[k] = v
			}
			if in.base == version {
				want = answer{known: true, version: version + 1, current: version + 1}
				copied[""] = answer{version: version + 1}
			}
			copied[in.id] = want
			next = copied
		}
		return !out.known || out == want, next
	},
	Equal: func(a, b any) bool {
		x, y := a.(map[string]answer), b.(map[string]answer)
		if len(x) != len(y) {
			return false
		}
		for k, v := range x {
			if y[k] != v {
				return false
			}
		}
		return true
	},
}

// history returns the operations for the checker. One without an answer may
// take effect at any time after its call, or never: it is given both ways by
// ending after everything else.
func (w *simulation) history() []porcupine.Operation {
	var out []porcupine.Operation
	for i, o := range w.ops {
		if o.ret == 0 && o.in.read {
			continue
		}
		ret := o.ret
		if ret == 0 {
			ret = 1 << 40
		}
		out = append(out, porcupine.Operation{ClientId: i, Input: o.in, Output: o.out, Call: o.call, Return: ret})
	}
	return out
}

// violation says what the schedule broke, or "".
func (w *simulation) violation() string {
	if len(w.violations) > 0 {
		return w.violations[0]
	}
	if !porcupine.CheckOperations(register, w.history()) {
		return "the history is not linearizable"
	}
	return ""
}

// acceptedChanges counts the changes that were accepted and acceptedChanges.
func (w *simulation) acceptedChanges() int {
	n := 0
	for _, o := range w.ops {
		if o.out.version > 0 {
			n++
		}
	}
	return n
}
