package ledger

import (
	"fmt"
	"math/rand"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// breakage switches one mechanism off, from outside the product code.
type breakage struct {
	vectors    bool // votes carry no incarnations
	recovery   bool // a restarted replica votes at once
	majority   bool // one replica decides
	fence      bool // an accept is taken below the promised ballot
	generation bool // an accept of another generation is taken
}

const (
	testKey  = "team\x00order-1"
	testSkew = 1000
)

// world is a group of replicas and proposers of one key under virtual time.
type world struct {
	rnd      *rand.Rand
	broken   breakage
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

func newWorld(seed int64, n int, b breakage) *world {
	w := &world{
		rnd: rand.New(rand.NewSource(seed)), broken: b, now: 1_000_000,
		replicas: map[string]*Replica{}, ops: map[string]*Op{}, answers: map[string]bool{}, outcomes: map[Result]int{},
	}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprintf("h%d", i))
	}
	for _, id := range w.ids {
		w.boot(id)
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

// boot starts a replica without memory. Only the key's partition is kept.
func (w *world) boot(id string) {
	old := w.replicas[id]
	r := NewReplica(id, Limits{MaxKeys: 100, SkewMS: testSkew, RetryMS: 100}, w.rnd.Int63())
	s := &slot{number: SlotOf(testKey), members: w.ids}
	r.slots[s.number] = s
	r.forget(s)
	w.replicas[id] = r
	if w.broken.recovery && old != nil {
		s := w.slot(old)
		r.activate(w.slot(r), s.generation, s.birthMS)
	}
}

func (w *world) slot(r *Replica) *slot { return r.slots[SlotOf(testKey)] }

func (w *world) allActive() bool {
	for _, r := range w.replicas {
		if !w.slot(r).active {
			return false
		}
	}
	return true
}

func (w *world) advance(ms int64) {
	w.now += ms
	for _, id := range w.ids {
		w.net = append(w.net, w.replicas[id].Tick(w.now)...)
	}
}

// deliver hands the i-th message to its receiver. Messages are copied, as over
// a network.
func (w *world) deliver(i int) {
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	w.hand(proto.Clone(m).(*pb.LedgerMessage))
}

func (w *world) hand(m *pb.LedgerMessage) {
	if op := w.ops[m.To]; op != nil {
		if w.broken.vectors {
			m.Vector = nil
		}
		if w.broken.generation {
			m.Generation = op.generation
		}
		w.net = append(w.net, op.Handle(m)...)
		w.settle(m.To, op)
		return
	}
	r := w.replicas[m.To]
	if r == nil {
		return
	}
	switch Kind(m.Kind) {
	case Told, JoinState, FormPromise:
		w.net = append(w.net, r.HandleReply(m, w.now)...)
		return
	case Accept:
		w.weaken(w.slot(r), m)
	}
	if reply := r.Handle(m, w.now); reply != nil {
		w.net = append(w.net, reply)
	}
}

func (w *world) weaken(s *slot, m *pb.LedgerMessage) {
	if w.broken.generation {
		m.Generation = s.generation
	}
	if e := s.keys[m.Key]; w.broken.fence && e != nil {
		e.promised = nil
	}
}

// claim starts an attempt at the key by a new proposer.
func (w *world) claim(proposer string) *Op { return w.claimFrom(proposer, 0) }

// claimFrom starts an attempt with a ballot above the round.
func (w *world) claimFrom(proposer string, round uint64) *Op {
	op := &Op{
		highest: round, Kind: OpClaim, Key: testKey, Attempt: "a-" + proposer, Owner: proposer, Digest: []byte("d"),
		IssuedMS: w.issued, RetentionMS: 1_000_000, NowMS: w.now,
	}
	w.ops[proposer] = op
	members := w.ids
	if w.broken.majority {
		members = w.ids[w.rnd.Intn(len(w.ids)):][:1]
	}
	w.net = append(w.net, op.Start(proposer, members)...)
	return op
}

// settle acts on a decided operation: a winner is dispatched, or gives the key
// back without having been.
func (w *world) settle(proposer string, op *Op) {
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
		if w.rnd.Float64() < 0.7 && !w.broken.majority {
			w.ops[proposer] = next
			w.net = append(w.net, next.Follow(op)...)
			return
		}
		w.ops[proposer+"'"] = next
		w.net = append(w.net, next.Start(proposer+"'", w.ids)...)
	}
}

// run plays one schedule: few proposers, few restarts, some messages held long.
func (w *world) run(steps, proposers, restarts int) {
	slow := map[string]float64{}
	started := 0
	for range steps {
		x := w.rnd.Float64()
		switch {
		case x < 0.08 && started < proposers:
			started++
			w.claim(fmt.Sprintf("p%d", started))
		case x < 0.11 && restarts > 0:
			restarts--
			w.boot(w.ids[w.rnd.Intn(len(w.ids))])
		case x < 0.14:
			w.retryStuck()
		case x < 0.25:
			w.advance(w.rnd.Int63n(150))
		case len(w.net) > 0:
			w.deliverSome(slow)
		}
	}
	w.drain()
}

// drain delivers everything that is left, and lets the proposers finish.
func (w *world) drain() {
	for range 6 {
		for len(w.net) > 0 {
			w.deliver(w.rnd.Intn(len(w.net)))
		}
		w.advance(200)
		w.retryStuck()
	}
}

func (w *world) retryStuck() {
	for i := 1; i <= 9; i++ {
		for _, suffix := range []string{"", "'"} {
			p := fmt.Sprintf("p%d%s", i, suffix)
			if op := w.ops[p]; op != nil && (op.Stuck() || w.rnd.Float64() < 0.2) {
				w.net = append(w.net, op.Retry()...)
			}
		}
	}
}

// deliverSome delivers, repeats, drops or holds back one message.
func (w *world) deliverSome(slow map[string]float64) {
	i := w.rnd.Intn(len(w.net))
	m := w.net[i]
	link := fmt.Sprint(m.Kind, m.From, m.To)
	if _, ok := slow[link]; !ok {
		slow[link] = 0
		if w.rnd.Float64() < 0.2 {
			slow[link] = 0.97
		}
	}
	y := w.rnd.Float64()
	switch {
	case y < slow[link]:
	case y > 0.995:
		w.net = slices.Delete(w.net, i, i+1)
	case y > 0.97:
		w.hand(proto.Clone(m).(*pb.LedgerMessage))
	default:
		w.deliver(i)
	}
}

// violation says what promise the schedule broke, or "".
func (w *world) violation() string {
	if len(w.executed) > 1 {
		return fmt.Sprintf("dispatched %v", w.executed)
	}
	for a := range w.answers {
		if len(w.executed) != 1 || w.executed[0] != a {
			return fmt.Sprintf("answer of %s, dispatched %v", a, w.executed)
		}
	}
	return ""
}
