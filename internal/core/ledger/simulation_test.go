package ledger

import (
	"fmt"
	"math/rand"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// disabledMechanisms selects the mechanisms that a simulation disables, without
// changes to the code under test.
type disabledMechanisms struct {
	vectors    bool // votes carry no incarnations
	recovery   bool // a restarted replica votes immediately
	majority   bool // operations use a single replica
	fence      bool // an accept below the promised ballot is accepted
	generation bool // an accept of another generation is accepted
}

const (
	testKey  = "team\x00order-1"
	testSkew = 1000
)

// simulation runs the replicas and proposers of one key in virtual time.
type simulation struct {
	rnd      *rand.Rand
	disabled disabledMechanisms
	now      int64
	ids      []string
	replicas map[string]*Replica
	net      []*pb.LedgerMessage
	ops      map[string]*Op // by proposer

	issued   int64
	executed []string // attempts dispatched
	answers  map[string]bool
	outcomes map[Result]int
}

func newSimulation(seed int64, n int, b disabledMechanisms) *simulation {
	w := &simulation{
		rnd: rand.New(rand.NewSource(seed)), disabled: b, now: 1_000_000,
		replicas: map[string]*Replica{}, ops: map[string]*Op{}, answers: map[string]bool{}, outcomes: map[Result]int{},
	}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprintf("h%d", i))
	}
	for _, id := range w.ids {
		w.startReplica(id)
	}
	for !w.allActive() {
		w.advance(50)
		for len(w.net) > 0 {
			w.deliver(0)
		}
	}
	w.now += 2 * testSkew
	w.issued = w.now
	return w
}

// startReplica starts or restarts a replica without state. It holds only the
// partition of the test key.
func (w *simulation) startReplica(id string) {
	old := w.replicas[id]
	r := NewReplica(id, Limits{MaxKeys: 100, SkewMS: testSkew, RetryMS: 100}, w.rnd.Int63())
	s := &slot{number: SlotOf(testKey), members: w.ids}
	r.slots[s.number] = s
	r.reset(s)
	w.replicas[id] = r
	if w.disabled.recovery && old != nil {
		s := w.slot(old)
		r.activate(w.slot(r), s.generation, s.birthMS)
	}
}

func (w *simulation) slot(r *Replica) *slot { return r.slots[SlotOf(testKey)] }

func (w *simulation) allActive() bool {
	for _, r := range w.replicas {
		if !w.slot(r).active {
			return false
		}
	}
	return true
}

func (w *simulation) advance(ms int64) {
	w.now += ms
	for _, id := range w.ids {
		w.net = append(w.net, w.replicas[id].Tick(w.now)...)
	}
}

// deliver delivers the i-th message in transit. Messages are copied, as over a
// network.
func (w *simulation) deliver(i int) {
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	w.receive(proto.Clone(m).(*pb.LedgerMessage))
}

func (w *simulation) receive(m *pb.LedgerMessage) {
	if op := w.ops[m.To]; op != nil {
		if w.disabled.vectors {
			m.Vector = nil
		}
		if w.disabled.generation {
			m.Generation = op.generation
		}
		w.net = append(w.net, op.Handle(m)...)
		w.handleResult(m.To, op)
		return
	}
	r := w.replicas[m.To]
	if r == nil {
		return
	}
	switch Kind(m.Kind) {
	case RecoveryStatus, JoinState, FormPromise:
		w.net = append(w.net, r.HandleReply(m, w.now)...)
		return
	case Accept:
		w.weakenAccept(w.slot(r), m)
	}
	if reply := r.Handle(m, w.now); reply != nil {
		w.net = append(w.net, reply)
	}
}

func (w *simulation) weakenAccept(s *slot, m *pb.LedgerMessage) {
	if w.disabled.generation {
		m.Generation = s.generation
	}
	if e := s.keys[m.Key]; w.disabled.fence && e != nil {
		e.promised = nil
	}
}

// claim starts a claim of the key by a new proposer.
func (w *simulation) claim(proposer string) *Op { return w.claimFrom(proposer, 0) }

// claimFrom starts a claim with a ballot above the given round.
func (w *simulation) claimFrom(proposer string, round uint64) *Op {
	op := &Op{
		highest: round, Kind: OpClaim, Key: testKey, Attempt: "a-" + proposer, Owner: proposer, Digest: []byte("d"),
		IssuedMS: w.issued, RetentionMS: 1_000_000, NowMS: w.now,
	}
	w.ops[proposer] = op
	members := w.ids
	if w.disabled.majority {
		members = w.ids[w.rnd.Intn(len(w.ids)):][:1]
	}
	w.net = append(w.net, op.Start(proposer, members)...)
	return op
}

// handleResult processes a decided operation: a successful claim's attempt is
// dispatched, or its key is released without a dispatch.
func (w *simulation) handleResult(proposer string, op *Op) {
	if op.Result == Pending {
		return
	}
	w.outcomes[op.Result]++
	delete(w.ops, proposer)
	if op.Result == Taken && State(op.Value.State) == Done {
		w.answers[op.Value.Attempt] = true
	}
	if op.Kind != OpClaim || op.Result != Won {
		return
	}
	next := &Op{
		Kind: OpRelease, Key: testKey, Attempt: op.Attempt, Answer: &pb.LedgerAnswer{Status: 200},
		RetentionMS: 1_000_000, NowMS: w.now,
	}
	if w.rnd.Float64() < 0.8 {
		w.executed = append(w.executed, op.Attempt)
		next.Kind = OpFinish
	}
	if w.rnd.Float64() < 0.5 {
		if w.rnd.Float64() < 0.7 && !w.disabled.majority {
			w.ops[proposer] = next
			w.net = append(w.net, next.StartAfterClaim(op)...)
			return
		}
		w.ops[proposer+"'"] = next
		w.net = append(w.net, next.Start(proposer+"'", w.ids)...)
	}
}

// run runs one schedule with few proposers and restarts, in which some links delay
// messages for long.
func (w *simulation) run(steps, proposers, restarts int) {
	holdProbability := map[string]float64{}
	started := 0
	for range steps {
		x := w.rnd.Float64()
		switch {
		case x < 0.08 && started < proposers:
			started++
			w.claim(fmt.Sprintf("p%d", started))
		case x < 0.11 && restarts > 0:
			restarts--
			w.startReplica(w.ids[w.rnd.Intn(len(w.ids))])
		case x < 0.14:
			w.retryStuck()
		case x < 0.25:
			w.advance(w.rnd.Int63n(150))
		case len(w.net) > 0:
			w.deliverSome(holdProbability)
		}
	}
	w.finish()
}

// finish delivers all remaining messages and lets the proposers finish.
func (w *simulation) finish() {
	for range 6 {
		for len(w.net) > 0 {
			w.deliver(w.rnd.Intn(len(w.net)))
		}
		w.advance(200)
		w.retryStuck()
	}
}

func (w *simulation) retryStuck() {
	for i := 1; i <= 9; i++ {
		for _, suffix := range []string{"", "'"} {
			p := fmt.Sprintf("p%d%s", i, suffix)
			if op := w.ops[p]; op != nil && (op.Stuck() || w.rnd.Float64() < 0.2) {
				w.net = append(w.net, op.Retry()...)
			}
		}
	}
}

// deliverSome delivers, duplicates, drops or holds back one message.
func (w *simulation) deliverSome(holdProbability map[string]float64) {
	i := w.rnd.Intn(len(w.net))
	m := w.net[i]
	link := fmt.Sprint(m.Kind, m.From, m.To)
	if _, ok := holdProbability[link]; !ok {
		holdProbability[link] = 0
		if w.rnd.Float64() < 0.2 {
			holdProbability[link] = 0.97
		}
	}
	y := w.rnd.Float64()
	switch {
	case y < holdProbability[link]:
	case y > 0.995:
		w.net = slices.Delete(w.net, i, i+1)
	case y > 0.97:
		w.receive(proto.Clone(m).(*pb.LedgerMessage))
	default:
		w.deliver(i)
	}
}

// violation describes how the schedule violated at-most-once execution; "" if it did
// not.
func (w *simulation) violation() string {
	if len(w.executed) > 1 {
		return fmt.Sprintf("dispatched %v", w.executed)
	}
	for a := range w.answers {
		if len(w.executed) != 1 || w.executed[0] != a {
			return fmt.Sprintf("stored answer of %s, dispatched %v", a, w.executed)
		}
	}
	return ""
}
