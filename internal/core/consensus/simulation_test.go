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

// disabledMechanisms selects safety mechanisms that the simulation disables, without hooks in
// the code under test.
type disabledMechanisms struct {
	sync     bool // messages are sent before the log is durable, and a crash loses what is not
	vote     bool // a restarted replica loses its vote
	identity bool // a replica that lost its disk keeps its ID
	reads    bool // a leader answers reads without confirmation by a majority
}

const recordTemplate = `{"schema_version":2,"note":%q,"regions":[{"name":"r","failure_domains":["f"]}],
"hosts":[{"id":"h","region":"r","failure_domain":"f","peer":"127.0.0.1:1","caller":"http://127.0.0.1:2"}],
"operators":[{"name":"o","key_hashes":["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}]}`

// disk is the state that survives a crash.
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
	id        string
	node      *Node
	machine   *configstate.Machine
	disk      disk
	running   bool
	proposals map[uint64]pending // proposals by log index
	reads     map[uint64]int     // index of the operation by read ID
	unsynced  []Ready            // not written to disk yet; lost in a crash
	orders    *configstate.OrderIndex
}

// pending is a proposal that has not been applied.
type pending struct {
	term uint64
	op   int
}

// request is a call of the configuration register.
type request struct {
	read bool
	base uint64
	id   string
}

// answer is the result of a request.
type answer struct {
	known   bool   // false while there is none
	version uint64 // accepted version, 0 if refused
	current uint64
}

// operation is one client call in the history.
type operation struct {
	in   request
	out  answer
	call int64
	ret  int64 // 0 while there is no answer
}

// simulation runs a group of replicas with simulated disks, network and clients, driven by a
// seeded random generator.
type simulation struct {
	rnd      *rand.Rand
	disabled disabledMechanisms
	// noLeases sets Options.NoLeases of the replicas.
	noLeases       bool
	clock          int64
	servers        map[string]*server
	serverIDs      []string
	initialMembers []*pb.RaftMember
	net            []*pb.RaftMessage
	partitions     map[string]int // network partition of each server
	ops            []operation
	leaders        map[uint64]string
	applied        map[uint64]string
	nextID         int
	violations     []string // violations of invariants observed during the run
	// onApply, unless nil, is called after a replica has applied a command.
	onApply func(s *server, e *pb.RaftEntry, c *pb.Command)
}

func newSimulation(seed int64, n int, disabled disabledMechanisms) *simulation {
	return newSimulationLeases(seed, n, disabled, false)
}

func newSimulationLeases(seed int64, n int, disabled disabledMechanisms, noLeases bool) *simulation {
	sim := &simulation{
		rnd: rand.New(rand.NewSource(seed)), disabled: disabled, noLeases: noLeases, servers: map[string]*server{}, partitions: map[string]int{},
		leaders: map[uint64]string{}, applied: map[uint64]string{},
	}
	for i := range n {
		sim.initialMembers = append(sim.initialMembers, &pb.RaftMember{Id: fmt.Sprintf("s%d", i), Address: "a"})
	}
	for _, m := range sim.initialMembers {
		sim.add(m.Id)
	}
	return sim
}

func (sim *simulation) add(id string) *server {
	s := &server{id: id, disk: disk{snap: Snapshot{Members: &pb.RaftMembers{Members: sim.initialMembers}}}}
	sim.servers[id] = s
	sim.serverIDs = append(sim.serverIDs, id)
	sim.boot(s)
	return s
}

func (sim *simulation) boot(s *server) {
	hard := s.disk.hard
	if sim.disabled.vote && hard != nil {
		hard = &pb.HardState{Term: hard.Term, Commit: hard.Commit}
	}
	s.node = New(Options{
		ID: s.id, ElectionTicks: 10, Seed: sim.rnd.Int63(), ChunkBytes: 256, MaxBatchBytes: 600, MaxInflight: 4,
		HardState: hard, Snapshot: s.disk.snap, Entries: slices.Clone(s.disk.entries), NoLeases: sim.noLeases,
	})
	if sim.disabled.vote {
		s.node.restarted = false
	}
	s.machine, s.orders = configstate.NewMachine(1), configstate.NewOrderIndex(s.disk.snap.Index)
	if s.disk.snap.Data != nil {
		_ = s.machine.Restore(s.disk.snap.Data)
	}
	s.running, s.proposals, s.reads = true, map[uint64]pending{}, map[uint64]int{}
}

func (sim *simulation) nextTimestamp() int64 { sim.clock++; return sim.clock }

// crash stops a replica; its clients get no answers.
func (sim *simulation) crash(s *server) { s.running, s.unsynced = false, nil }

// process carries out a replica's actions. With crashBeforeSend, the replica crashes after
// they are durable and before any message is sent.
func (sim *simulation) process(s *server, crashBeforeSend bool) {
	for s.running {
		rd := s.node.Ready()
		if rd.Empty() {
			return
		}
		s.unsynced = append(s.unsynced, rd)
		if !sim.disabled.sync || sim.rnd.Float64() < 0.05 {
			sim.persist(s)
		}
		if crashBeforeSend {
			sim.crash(s)
			return
		}
		for _, m := range rd.Messages {
			sim.net = append(sim.net, proto.Clone(m).(*pb.RaftMessage))
		}
		sim.apply(s, rd)
		s.node.Advance(rd)
	}
}

func (sim *simulation) persist(s *server) {
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

func (sim *simulation) apply(s *server, rd Ready) {
	if rd.Snapshot != nil {
		_ = s.machine.Restore(rd.Snapshot.Data)
		s.orders = configstate.NewOrderIndex(rd.Snapshot.Index)
	}
	before := s.machine.Version()
	for _, e := range rd.Committed {
		sim.applyEntry(s, e)
	}
	if s.machine.Version() < before {
		sim.violations = append(sim.violations, s.id+": the applied version decreased")
	}
	for _, r := range rd.Reads {
		if op, ok := s.reads[r.ID]; ok && r.OK {
			sim.complete(op, answer{known: true, current: s.machine.Version()})
		}
	}
	st := s.node.Status()
	if st.Role == Leader {
		if other, ok := sim.leaders[st.Term]; ok && other != s.id {
			sim.violations = append(sim.violations, fmt.Sprintf("term %d has leaders %s and %s", st.Term, other, s.id))
		}
		sim.leaders[st.Term] = s.id
	}
}

func (sim *simulation) applyEntry(s *server, e *pb.RaftEntry) {
	content := fmt.Sprintf("%d %x", e.Term, e.Data)
	if old, ok := sim.applied[e.Index]; ok && old != content {
		sim.violations = append(sim.violations, fmt.Sprintf("entry %d was applied with two different contents", e.Index))
	}
	sim.applied[e.Index] = content
	var res configstate.Result
	if EntryType(e.Type) == EntryNormal && len(e.Data) > 0 {
		c := new(pb.Command)
		_ = proto.Unmarshal(e.Data, c)
		res = s.machine.Apply(c)
		s.orders.Record(e.Index, c)
		if sim.onApply != nil {
			sim.onApply(s, e, c)
		}
	}
	if p, ok := s.proposals[e.Index]; ok {
		delete(s.proposals, e.Index)
		if p.term == e.Term {
			sim.complete(p.op, answer{known: true, version: res.Version, current: res.Current})
		}
	}
}

func (sim *simulation) complete(op int, a answer) {
	if sim.ops[op].ret == 0 {
		sim.ops[op].out, sim.ops[op].ret = a, sim.nextTimestamp()
	}
}

// propose proposes a change at a replica. Some proposals repeat an earlier change, and some
// have an outdated base version.
func (sim *simulation) propose(s *server) {
	in := request{base: s.machine.Version(), id: fmt.Sprintf("c%d", sim.nextID)}
	if sim.rnd.Float64() < 0.3 {
		in.base = uint64(max(0, int(in.base)-1))
	}
	if len(sim.ops) > 0 && sim.rnd.Float64() < 0.4 {
		in = sim.ops[sim.rnd.Intn(len(sim.ops))].in
	}
	if in.read {
		return
	}
	sim.nextID++
	data, _ := proto.Marshal(&pb.Command{BaseVersion: in.base, ChangeId: in.id, Record: fmt.Appendf(nil, recordTemplate, in.id)})
	call := sim.nextTimestamp()
	index, term, err := s.node.Propose(data)
	if err != nil {
		return
	}
	sim.ops = append(sim.ops, operation{in: in, call: call})
	s.proposals[index] = pending{term, len(sim.ops) - 1}
}

func (sim *simulation) read(s *server) {
	call := sim.nextTimestamp()
	id := uint64(len(sim.ops)) + 1
	if sim.disabled.reads && s.node.Status().Role == Leader {
		sim.ops = append(sim.ops, operation{in: request{read: true}, call: call})
		sim.complete(len(sim.ops)-1, answer{known: true, current: s.machine.Version()})
		return
	}
	if err := s.node.ReadIndex(id); err != nil {
		return
	}
	sim.ops = append(sim.ops, operation{in: request{read: true}, call: call})
	s.reads[id] = len(sim.ops) - 1
}

// replaceLost erases a replica's disk and starts it under a new ID. Calls of repair
// at a leader then make it a voter.
func (sim *simulation) replaceLost(s *server) {
	sim.crash(s)
	if sim.disabled.identity {
		s.disk = disk{snap: Snapshot{Members: &pb.RaftMembers{Members: sim.initialMembers}}}
		sim.boot(s)
		return
	}
	delete(sim.servers, s.id)
	sim.serverIDs = slices.DeleteFunc(sim.serverIDs, func(id string) bool { return id == s.id })
	sim.nextID++
	sim.add(fmt.Sprintf("n%d", sim.nextID))
}

// repair proposes the next membership change at a leader: promote a learner, add
// one, or remove a member whose server no longer exists.
func (sim *simulation) repair(s *server) {
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
	for _, id := range sim.serverIDs {
		if !known[id] {
			next.Members = append(next.Members, &pb.RaftMember{Id: id, Learner: true})
			_, _, _ = s.node.ProposeMembers(next)
			return
		}
	}
	for i, m := range next.Members {
		if sim.servers[m.Id] == nil {
			next.Members = slices.Delete(next.Members, i, i+1)
			_, _, _ = s.node.ProposeMembers(next)
			return
		}
	}
}

func (sim *simulation) randomServer() *server {
	return sim.servers[sim.serverIDs[sim.rnd.Intn(len(sim.serverIDs))]]
}

// run executes a schedule: random events and faults for the given number of steps, at most
// diskLosses of them losses of a disk, and then a phase without faults.
func (sim *simulation) run(steps int, diskLosses int) {
	for i := range steps {
		x := sim.rnd.Float64()
		s := sim.randomServer()
		switch {
		case x < 0.003:
			sim.partition()
		case x < 0.006:
			sim.partitions = map[string]int{}
		case x < 0.010 && s.running:
			sim.crash(s)
		case x < 0.011 && diskLosses > 0 && sim.downCount() == 0:
			diskLosses--
			sim.replaceLost(s)
		case x < 0.04:
			if !s.running {
				sim.boot(s)
			}
		case !s.running:
		case x < 0.055 && len(sim.ops) < 60:
			sim.propose(s)
		case x < 0.07 && len(sim.ops) < 60:
			sim.read(s)
		case x < 0.08 && s.node.Status().Role == Leader:
			sim.repair(s)
		case x < 0.084:
			sim.compact(s)
		case x < 0.20:
			s.node.Tick()
		default:
			sim.deliver()
		}
		sim.process(s, i%397 == 0)
	}
	sim.healAndFinish()
}

func (sim *simulation) downCount() int {
	down := 0
	for _, s := range sim.servers {
		if !s.running {
			down++
		}
	}
	return down
}

func (sim *simulation) partition() {
	for _, id := range sim.serverIDs {
		sim.partitions[id] = sim.rnd.Intn(2)
	}
}

func (sim *simulation) compact(s *server) {
	at := s.node.Status().Applied
	data := s.machine.Snapshot()
	if at == 0 || at <= s.disk.snap.Index {
		return
	}
	sim.persist(s)
	snap := s.node.SnapshotAt(at, data)
	_, tail := s.node.Tail(at)
	s.node.Compact(at, data)
	s.disk.snap, s.disk.entries = snap, slices.Clone(tail[:max(0, min(len(tail), int(s.node.log.stable-at)))])
}

// deliver delivers, duplicates or drops one message.
func (sim *simulation) deliver() {
	if len(sim.net) == 0 {
		return
	}
	i := sim.rnd.Intn(min(len(sim.net), 12))
	m := sim.net[i]
	if sim.rnd.Float64() > 0.03 {
		sim.net = slices.Delete(sim.net, i, i+1)
	}
	to := sim.servers[m.To]
	if to == nil || !to.running || sim.partitions[m.From] != sim.partitions[m.To] || sim.rnd.Float64() < 0.03 {
		return
	}
	to.node.Step(proto.Clone(m).(*pb.RaftMessage))
	sim.process(to, false)
}

// healAndFinish ends all faults, lets the group complete its work and reads from each replica.
func (sim *simulation) healAndFinish() {
	sim.partitions = map[string]int{}
	for _, id := range sim.serverIDs {
		if s := sim.servers[id]; !s.running {
			sim.boot(s)
		}
	}
	for range 120 {
		for _, id := range sim.serverIDs {
			sim.servers[id].node.Tick()
			sim.process(sim.servers[id], false)
		}
		for range 200 {
			if len(sim.net) == 0 {
				break
			}
			m := sim.net[0]
			sim.net = sim.net[1:]
			if to := sim.servers[m.To]; to != nil {
				to.node.Step(m)
				sim.process(to, false)
			}
		}
	}
	for _, id := range sim.serverIDs {
		sim.read(sim.servers[id])
		sim.process(sim.servers[id], false)
	}
}

// registerModel is the sequential model of the configuration: a register with
// compare-and-swap by version, in which a repeated change ID gets the answer of the
// first. The state maps change IDs to answers; the empty ID holds the version.
var registerModel = porcupine.Model{
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

// history returns the operations for the linearizability checker. A change without
// an answer may take effect at any time after its call, or never. Its return time is
// after all others, which allows both. Reads without an answer are left out.
func (sim *simulation) history() []porcupine.Operation {
	var out []porcupine.Operation
	for i, o := range sim.ops {
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

// violation returns the first violation in the schedule, or "" if there is none.
func (sim *simulation) violation() string {
	if len(sim.violations) > 0 {
		return sim.violations[0]
	}
	if !porcupine.CheckOperations(registerModel, sim.history()) {
		return "the history is not linearizable"
	}
	return ""
}

// acceptedChanges returns the number of changes whose clients received an acceptance.
func (sim *simulation) acceptedChanges() int {
	n := 0
	for _, o := range sim.ops {
		if o.out.version > 0 {
			n++
		}
	}
	return n
}
