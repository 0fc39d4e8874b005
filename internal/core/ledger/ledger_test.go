package ledger

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// schedules returns the number of schedules of a check; SESAME_SOAK multiplies it.
func schedules(n int) int {
	if f, err := strconv.Atoi(os.Getenv("SESAME_SOAK")); err == nil {
		return n * f
	}
	return n
}

// play runs schedules and returns the first seed that broke a promise, and how
// many schedules dispatched at all.
func play(n, count int, b breakage) (first string, bad, dispatched int) {
	for seed := range int64(count) {
		w := newWorld(seed, n, b)
		w.run(300, 2+int(seed%3), 1+int(seed%4))
		if len(w.executed) > 0 {
			dispatched++
		}
		if v := w.violation(); v != "" {
			bad++
			if first == "" {
				first = fmt.Sprintf("seed %d: %s", seed, v)
			}
		}
	}
	return first, bad, dispatched
}

func TestAtMostOnceOnRandomSchedules(t *testing.T) {
	for _, n := range []int{3, 5} {
		count := schedules(1000)
		first, bad, dispatched := play(n, count, breakage{})
		t.Logf("%d replicas: %d schedules, %d dispatched, %d broken", n, count, dispatched, bad)
		if bad > 0 {
			t.Errorf("%d replicas: %d of %d schedules broke the promise; first: %s", n, bad, count, first)
		}
		if dispatched < count/4 {
			t.Errorf("%d replicas: only %d of %d schedules dispatched; the check sees too little", n, dispatched, count)
		}
	}
}

// TestChecksSeeBrokenMechanisms switches off one mechanism at a time: the same
// schedules must then break the promise.
func TestChecksSeeBrokenMechanisms(t *testing.T) {
	for name, b := range map[string]breakage{
		"majority": {majority: true},
		"recovery": {recovery: true},
		"fence":    {fence: true},
	} {
		t.Run(name, func(t *testing.T) {
			first, bad, _ := play(3, 1500, b)
			t.Logf("%d of 1500 schedules broken; first: %s", bad, first)
			if bad == 0 {
				t.Error("no schedule broke the promise without the mechanism")
			}
		})
	}
}

// deliverAll delivers the messages that match and keeps the others.
func (w *world) deliverAll(match func(*pb.LedgerMessage) bool) {
	for again := true; again; {
		again = false
		for i, m := range w.net {
			if match(m) {
				w.deliver(i)
				again = true
				break
			}
		}
	}
}

func (w *world) restartAndRecover(id string, with func(*pb.LedgerMessage) bool) {
	w.boot(id)
	for range 20 {
		if w.slot(w.replicas[id]).active {
			return
		}
		w.advance(100)
		w.deliverAll(with)
	}
}

func between(ids ...string) func(*pb.LedgerMessage) bool {
	set := map[string]bool{}
	for _, id := range ids {
		set[id] = true
	}
	return func(m *pb.LedgerMessage) bool { return set[m.From] && set[m.To] }
}

// stalePromise plays the schedule in which a promise given before a crash meets
// one given after the recovery read: q's promise by h1 is held back, h1 restarts
// and recovers, p claims with h1 and h2, then q's other promise comes from h0.
func stalePromise(b breakage) *world {
	w := newWorld(1, 3, b)
	w.claimFrom("q", 5)
	w.deliverAll(between("q", "h1"))
	w.net = nil // q's messages to h0 and h2 are lost; its promise by h1 arrived
	w.restartAndRecover("h1", between("h0", "h1", "h2"))
	w.net = nil
	w.claim("p")
	w.deliverAll(between("p", "h1", "h2"))
	w.net = nil
	for _, m := range w.ops["q"].broadcast(&pb.LedgerMessage{Kind: uint32(Prepare)}) {
		if m.To == "h0" {
			w.hand(proto.Clone(m).(*pb.LedgerMessage))
		}
	}
	w.deliverAll(func(*pb.LedgerMessage) bool { return true })
	return w
}

func TestStalePromiseIsNotCounted(t *testing.T) {
	w := stalePromise(breakage{})
	if v := w.violation(); v != "" {
		t.Errorf("broken: %s", v)
	}
	if w.outcomes[Won] == 0 {
		t.Error("nobody won the key: the schedule proves nothing")
	}
	if w := stalePromise(breakage{vectors: true}); len(w.executed) < 2 && w.outcomes[Won] < 2 {
		t.Error("without incarnation vectors the schedule must give the key away twice")
	}
}

// TestMajorityForgot restarts two of three replicas at once: a new generation
// forms, and the old key is answered as forgotten.
func lostMajority(b breakage, late bool) (*world, *Op) {
	w := newWorld(2, 3, b)
	all := func(*pb.LedgerMessage) bool { return true }
	var held []*pb.LedgerMessage
	if late { // o has its promises, its accepts are held back
		w.claim("o")
		w.deliverAll(func(m *pb.LedgerMessage) bool { return Kind(m.Kind) != Accept })
		held, w.net = w.net, nil
	}
	first := w.claim("p")
	w.deliverAll(all)
	if first.Result != Won {
		return w, first
	}
	w.boot("h0")
	w.boot("h1")
	for range 100 {
		w.advance(100)
		w.deliverAll(all)
	}
	w.net = append(w.net, held...)
	w.deliverAll(all)
	op := w.claim("r")
	w.deliverAll(all)
	return w, op
}

func TestMajorityForgot(t *testing.T) {
	w, op := lostMajority(breakage{}, false)
	if !w.allActive() {
		t.Fatal("no new generation formed")
	}
	if op.Result != Forgot {
		t.Errorf("a key older than the generation: result %d, want Forgot", op.Result)
	}
	w.issued = w.now + 2*testSkew
	fresh := w.claim("s")
	w.deliverAll(func(*pb.LedgerMessage) bool { return true })
	if fresh.Result != Won {
		t.Errorf("a key issued after the birth: result %d, want Won", fresh.Result)
	}
}

// TestLateAcceptOfLostGeneration holds an accept back until its generation is
// lost; it must not complete in the new one.
func TestLateAcceptOfLostGeneration(t *testing.T) {
	won := func(b breakage) int {
		w, _ := lostMajority(b, true)
		return w.outcomes[Won]
	}
	sound := won(breakage{})
	weak := won(breakage{generation: true})
	if sound >= weak {
		t.Errorf("claims won: %d with the generation check, %d without; the check must prevent one", sound, weak)
	}
}

// TestHeldOperationCannotCompleteAfterExpiry holds a proposer between its
// promise and its accept for longer than an empty key lives.
func TestHeldOperationCannotCompleteAfterExpiry(t *testing.T) {
	w := newWorld(3, 3, breakage{})
	w.claim("x")
	w.deliverAll(func(m *pb.LedgerMessage) bool { return Kind(m.Kind) != Accept })
	held := w.net
	w.net = nil
	w.now += emptyLifetimeMS + 1
	for _, id := range w.ids {
		w.replicas[id].Expire(w.now)
	}
	w.issued = w.now
	second := w.claim("y")
	for range 5 {
		w.deliverAll(func(*pb.LedgerMessage) bool { return true })
		if second.Result != Pending {
			break
		}
		w.net = append(w.net, second.Retry()...)
	}
	w.net = append(w.net, held...)
	w.deliverAll(func(*pb.LedgerMessage) bool { return true })
	if second.Result != Won || w.outcomes[Won] != 1+w.outcomes[Conflict] && len(w.executed) > 1 {
		t.Errorf("y: result %d; dispatched %v", second.Result, w.executed)
	}
	if len(w.executed) > 1 {
		t.Errorf("dispatched %v", w.executed)
	}
}

func TestClaimResults(t *testing.T) {
	all := func(*pb.LedgerMessage) bool { return true }
	for _, c := range []struct {
		name string
		edit func(*Op)
		want Result
	}{
		{"same request", func(*Op) {}, Taken},
		{"other request", func(o *Op) { o.Digest = []byte("other") }, Reused},
		{"older than the retention", func(o *Op) { o.NowMS = o.IssuedMS + o.RetentionMS + 1 }, Forgot},
		{"takes over an abandoned attempt", func(o *Op) { o.Abandoned = func(a string) bool { return a == "a-first" } }, Won},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(7, 3, breakage{})
			first := w.claim("first")
			w.deliverAll(func(m *pb.LedgerMessage) bool { return first.Result == Pending })
			w.net = nil
			w.ops = map[string]*Op{}
			op := &Op{
				Kind: OpClaim, Key: testKey, Attempt: "a2", Digest: []byte("d"),
				IssuedMS: w.issued, RetentionMS: 1_000_000, NowMS: w.now,
			}
			op.highest = first.highest
			c.edit(op)
			w.ops["second"] = op
			w.net = append(w.net, op.Start("second", w.ids)...)
			w.deliverAll(all)
			if op.Result != c.want {
				t.Errorf("result %d, want %d", op.Result, c.want)
			}
		})
	}
}

func TestFullReplicaRefusesNewKeysOnly(t *testing.T) {
	w := newWorld(4, 3, breakage{})
	for _, r := range w.replicas {
		r.limits.MaxKeys = 1
	}
	w.claim("p")
	w.deliverAll(func(*pb.LedgerMessage) bool { return true })
	op := &Op{Kind: OpClaim, Key: testKey + "x", Attempt: "b", IssuedMS: w.issued, RetentionMS: 1000, NowMS: w.now}
	for _, m := range op.Start("q", w.ids) {
		m.Slot = SlotOf(testKey)
		reply := w.replicas[m.To].Handle(m, w.now)
		op.Handle(reply)
	}
	if !op.Full || !op.Stuck() {
		t.Errorf("a full ledger must refuse a new key: full %v, stuck %v", op.Full, op.Stuck())
	}
	if w.replicas["h0"].Keys() != 1 {
		t.Error("the old key was dropped")
	}
}

// TestMemoryOfAnswersIsBounded stores one large answer: a new key is refused,
// a recovered replica counts the same bytes, and expiry frees them.
func TestMemoryOfAnswersIsBounded(t *testing.T) {
	w := newWorld(4, 3, breakage{})
	for _, r := range w.replicas {
		r.limits.MaxBytes = 100
	}
	claim := w.claim("p")
	w.deliverAll(func(*pb.LedgerMessage) bool { return claim.Result == Pending })
	w.net, w.ops = nil, map[string]*Op{}
	finish := &Op{Kind: OpFinish, Key: testKey, Attempt: claim.Attempt, Answer: &pb.LedgerAnswer{Status: 200, Body: make([]byte, 150)}, RetentionMS: 1000, NowMS: w.now}
	w.ops["p"] = finish
	w.net = append(w.net, finish.Follow(claim)...)
	w.deliverAll(func(*pb.LedgerMessage) bool { return true })
	w.restartAndRecover("h0", func(*pb.LedgerMessage) bool { return true })
	for id, r := range w.replicas {
		r.limits.MaxBytes = 100
		if r.Bytes() != 150 || !r.full() {
			t.Errorf("%s holds %d bytes, full %v", id, r.Bytes(), r.full())
		}
		r.Expire(w.now + 1000 + 2*testSkew)
		if r.Bytes() != 0 || r.full() {
			t.Errorf("%s holds %d bytes after the retention", id, r.Bytes())
		}
	}
}

func TestReplicaSetSpreadsOverFailureDomains(t *testing.T) {
	var members []Member
	for i := range 9 {
		members = append(members, Member{fmt.Sprintf("h%d", i), fmt.Sprintf("d%d", i%3)})
	}
	for slot := range uint32(Slots) {
		for _, n := range []int{3, 5} {
			set := ReplicaSet(members, slot, n)
			used := map[string]int{}
			for _, id := range set {
				used[fmt.Sprintf("d%d", int(id[1]-'0')%3)]++
			}
			if len(set) != n || len(used) != 3 {
				t.Fatalf("slot %d: %v over %v", slot, set, used)
			}
		}
	}
}
