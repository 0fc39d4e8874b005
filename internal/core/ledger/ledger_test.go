package ledger

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// schedules returns the number of schedules to run; SESAME_SOAK multiplies it.
func schedules(n int) int {
	if f, err := strconv.Atoi(os.Getenv("SESAME_SOAK")); err == nil {
		return n * f
	}
	return n
}

// runSchedules runs count schedules of n replicas. It describes the first one that
// violated at-most-once execution, and returns the number of schedules that did and
// the number that dispatched an attempt.
func runSchedules(n, count int, b disabledMechanisms) (first string, bad, dispatched int) {
	for seed := range int64(count) {
		w := newSimulation(seed, n, b)
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
		first, bad, dispatched := runSchedules(n, count, disabledMechanisms{})
		t.Logf("%d replicas: %d schedules, %d dispatched an attempt, %d violated at-most-once execution", n, count, dispatched, bad)
		if bad > 0 {
			t.Errorf("%d replicas: %d of %d schedules violated at-most-once execution; first: %s", n, bad, count, first)
		}
		if dispatched < count/4 {
			t.Errorf("%d replicas: only %d of %d schedules dispatched an attempt, want at least a quarter", n, dispatched, count)
		}
	}
}

// TestChecksSeeBrokenMechanisms disables one mechanism at a time: the same
// schedules must then violate at-most-once execution.
func TestChecksSeeBrokenMechanisms(t *testing.T) {
	for name, b := range map[string]disabledMechanisms{
		"majority": {majority: true},
		"recovery": {recovery: true},
		"fence":    {fence: true},
	} {
		t.Run(name, func(t *testing.T) {
			first, bad, _ := runSchedules(3, 1500, b)
			t.Logf("%d of 1500 schedules violated at-most-once execution; first: %s", bad, first)
			if bad == 0 {
				t.Error("no schedule violated at-most-once execution without the mechanism")
			}
		})
	}
}

// deliverAll delivers the matching messages, including those sent in reply, and
// keeps the others.
func (w *simulation) deliverAll(match func(*pb.LedgerMessage) bool) {
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

func (w *simulation) restartAndRecover(id string, with func(*pb.LedgerMessage) bool) {
	w.startReplica(id)
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

// stalePromise runs the schedule in which a promise given before a crash is combined
// with one given after the recovery read. q has a promise of h1; h1 restarts and
// recovers; p claims the key with h1 and h2; then q receives a promise of h0.
func stalePromise(b disabledMechanisms) *simulation {
	w := newSimulation(1, 3, b)
	w.claimFrom("q", 5)
	w.deliverAll(between("q", "h1"))
	w.net = nil // q's messages to h0 and h2 are lost; the promise of h1 was received
	w.restartAndRecover("h1", between("h0", "h1", "h2"))
	w.net = nil
	w.claim("p")
	w.deliverAll(between("p", "h1", "h2"))
	w.net = nil
	for _, m := range w.ops["q"].broadcast(&pb.LedgerMessage{Kind: uint32(Prepare)}) {
		if m.To == "h0" {
			w.receive(proto.Clone(m).(*pb.LedgerMessage))
		}
	}
	w.deliverAll(func(*pb.LedgerMessage) bool { return true })
	return w
}

func TestStalePromiseIsNotCounted(t *testing.T) {
	w := stalePromise(disabledMechanisms{})
	if v := w.violation(); v != "" {
		t.Errorf("at-most-once execution violated: %s", v)
	}
	if w.outcomes[Won] == 0 {
		t.Error("no claim succeeded: the schedule did not test the stale promise")
	}
	if w := stalePromise(disabledMechanisms{vectors: true}); len(w.executed) < 2 && w.outcomes[Won] < 2 {
		t.Error("without incarnation vectors two claims of the key must succeed")
	}
}

// lostMajority restarts two of three replicas at once after a claim, and claims the
// same key again after a new generation has formed. If late is true, the accepts of
// an earlier claim are delivered only in the new generation.
func lostMajority(b disabledMechanisms, late bool) (*simulation, *Op) {
	w := newSimulation(2, 3, b)
	all := func(*pb.LedgerMessage) bool { return true }
	var held []*pb.LedgerMessage
	if late { // o has received its promises; its accepts are held back
		w.claim("o")
		w.deliverAll(func(m *pb.LedgerMessage) bool { return Kind(m.Kind) != Accept })
		held, w.net = w.net, nil
	}
	first := w.claim("p")
	w.deliverAll(all)
	if first.Result != Won {
		return w, first
	}
	w.startReplica("h0")
	w.startReplica("h1")
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

// TestMajorityForgot checks that a new generation forms when a majority loses its
// memory, that a claim of a key issued before its birth results in TooOld, and that a key
// issued after it can be claimed.
func TestMajorityForgot(t *testing.T) {
	w, op := lostMajority(disabledMechanisms{}, false)
	if !w.allActive() {
		t.Fatal("no new generation formed")
	}
	if op.Result != TooOld {
		t.Errorf("a key older than the generation: result %d, want TooOld", op.Result)
	}
	w.issued = w.now + 2*testSkew
	fresh := w.claim("s")
	w.deliverAll(func(*pb.LedgerMessage) bool { return true })
	if fresh.Result != Won {
		t.Errorf("a key issued after the birth: result %d, want Won", fresh.Result)
	}
}

// TestLateAcceptOfLostGeneration checks that an accept delivered after its generation
// was lost does not complete in the new one.
func TestLateAcceptOfLostGeneration(t *testing.T) {
	won := func(b disabledMechanisms) int {
		w, _ := lostMajority(b, true)
		return w.outcomes[Won]
	}
	sound := won(disabledMechanisms{})
	weak := won(disabledMechanisms{generation: true})
	if sound >= weak {
		t.Errorf("successful claims: %d with the generation check, %d without; the check must prevent one", sound, weak)
	}
}

// TestHeldOperationCannotCompleteAfterExpiry delays a proposer's accepts for longer
// than the lifetime of an empty key, and checks that they no longer succeed.
func TestHeldOperationCannotCompleteAfterExpiry(t *testing.T) {
	w := newSimulation(3, 3, disabledMechanisms{})
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
		{"older than the retention", func(o *Op) { o.NowMS = o.IssuedMS + o.RetentionMS + 1 }, TooOld},
		{"takes over an abandoned attempt", func(o *Op) { o.Abandoned = func(a string) bool { return a == "a-first" } }, Won},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(7, 3, disabledMechanisms{})
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
	w := newSimulation(4, 3, disabledMechanisms{})
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
		t.Error("the existing key was removed")
	}
}

// TestMemoryOfAnswersIsBounded stores one large answer and checks that new keys are
// then refused, that a recovered replica counts the same number of bytes, and that
// expiry frees them.
func TestMemoryOfAnswersIsBounded(t *testing.T) {
	w := newSimulation(4, 3, disabledMechanisms{})
	for _, r := range w.replicas {
		r.limits.MaxBytes = 100
	}
	claim := w.claim("p")
	w.deliverAll(func(*pb.LedgerMessage) bool { return claim.Result == Pending })
	w.net, w.ops = nil, map[string]*Op{}
	finish := &Op{Kind: OpFinish, Key: testKey, Attempt: claim.Attempt, Answer: &pb.LedgerAnswer{Status: 200, Body: make([]byte, 150)}, RetentionMS: 1000, NowMS: w.now}
	w.ops["p"] = finish
	w.net = append(w.net, finish.StartAfterClaim(claim)...)
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
