package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/app/lateorder"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// fakeConn is the connection of a caller.
type fakeConn struct {
	left   bool
	unread time.Duration
	sent   time.Duration
	reused bool // the connection has carried a call before
}

func (c fakeConn) HasLeft() bool            { return c.left }
func (c fakeConn) UnreadFor() time.Duration { return c.unread }

func (c fakeConn) SentWithin() (time.Duration, bool) { return c.sent, !c.reused }

// orderTest is a group with the orders of a test. An order that it takes is executed later.
type orderTest struct {
	*group
	t *testing.T
}

func newOrderTest(t *testing.T) *orderTest {
	g := &orderTest{newGroup(t), t}
	g.commitVersion(1)
	return g
}

// run has an order accepted through any control host.
func (g *orderTest) run(o *pb.OperatorOrder) {
	g.t.Helper()
	await(g.t, "the order is accepted", func() bool {
		for _, a := range g.addresses() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := g.member(a).r.submitOrder(ctx, &pb.OperatorOrder{Command: o.Command, Order: o.Order, Replica: o.Replica})
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

// take returns an order that a control host takes, and that waits there.
func (g *orderTest) take(addr string, o *pb.OperatorOrder) *pb.OperatorOrder {
	g.t.Helper()
	out := &pb.OperatorOrder{Command: o.Command, Order: o.Order, Replica: o.Replica}
	if err := g.member(addr).r.takeOrder(context.Background(), out, time.Now()); err != nil {
		g.t.Fatal(err)
	}
	return out
}

// execute has the leader execute an order that was taken, and returns the failure.
func (g *orderTest) execute(o *pb.OperatorOrder) *failure.Error {
	g.t.Helper()
	var out *failure.Error
	await(g.t, "the leader has decided on the order", func() bool {
		_, err := g.member(g.addresses()[0]).r.runOnLeader(context.Background(), &pb.Propose{OperatorOrder: o})
		out = failure.As(err, failure.Unknown)
		return err == nil || out.Code != failure.NoLeader
	})
	return out
}

// isEvacuated reports whether the failure domain f is evacuated, by a linearizable read.
func (g *orderTest) isEvacuated() bool {
	g.t.Helper()
	r := g.member(g.addresses()[0]).r
	var evacuated []string
	await(g.t, "the state is read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := r.Current(ctx); err != nil {
			return false
		}
		return r.post(ctx, func() { evacuated, _ = r.machine.Evacuated() }) == nil
	})
	return slices.Contains(evacuated, "f")
}

// restart stops all control hosts and starts them from their journals.
func (g *orderTest) restart() {
	for _, a := range founderAddresses {
		m := g.kill(a)
		g.start(a, a+".0", &diskJournal{state: *m.j.read()}, founderAddresses)
	}
}

func evacuate() *pb.OperatorOrder {
	return &pb.OperatorOrder{Command: &pb.Command{Evacuate: "f"}}
}
func restore() *pb.OperatorOrder { return &pb.OperatorOrder{Command: &pb.Command{Restore: "f"}} }

// TestLateOrderIsRefused guards against an order that waits at a control host and takes effect after a later one on the
// same subject was acknowledged.
func TestLateOrderIsRefused(t *testing.T) {
	snapshot := func(g *orderTest) {
		for v := range uint64(150) { // more than two snapshots are apart
			g.commitVersion(2 + v)
		}
	}
	for _, c := range []struct {
		name         string
		before, late *pb.OperatorOrder
		later        []*pb.OperatorOrder
		between      func(*orderTest) // before the late order is executed
		evacuated    bool
	}{
		{"restore after an evacuation", evacuate(), restore(), []*pb.OperatorOrder{restore(), evacuate()}, nil, true},
		{"evacuation after a restore", restore(), evacuate(), []*pb.OperatorOrder{evacuate(), restore()}, nil, false},
		{"restore after the order that was in force", evacuate(), restore(), []*pb.OperatorOrder{evacuate()}, nil, true},
		{"change of leader", evacuate(), restore(), []*pb.OperatorOrder{restore(), evacuate()}, func(g *orderTest) { g.restart() }, true},
		{"restart from a snapshot", evacuate(), restore(), []*pb.OperatorOrder{restore(), evacuate()}, func(g *orderTest) { snapshot(g); g.restart() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newOrderTest(t)
			g.run(c.before)
			waiting := g.take(founderAddresses[0], c.late)
			for _, o := range c.later {
				g.run(o)
			}
			if c.between != nil {
				c.between(g)
			}
			if f := g.execute(waiting); f == nil || f.Code != failure.OrderSuperseded || f.Outcome != failure.NotRun {
				t.Errorf("the late order ended with %v", f)
			}
			if g.isEvacuated() != c.evacuated {
				t.Errorf("evacuated: %v", !c.evacuated)
			}
			g.run(c.late) // the same order, sent again
			if g.isEvacuated() == c.evacuated {
				t.Error("an order that was sent again is not in force")
			}
		})
	}
}

// TestLateOrderToReplicasIsRefused guards against a change of the group that an operator has followed by another one.
func TestLateOrderToReplicasIsRefused(t *testing.T) {
	g := newOrderTest(t)
	first, second := "10.4.0.1:7", "10.5.0.1:7"
	g.start(first, first+".new", &diskJournal{}, nil)
	waiting := g.take(founderAddresses[0], &pb.OperatorOrder{Replica: &pb.ReplicaChange{Address: first}})
	g.start(second, second+".new", &diskJournal{}, nil)
	g.run(&pb.OperatorOrder{Replica: &pb.ReplicaChange{Address: second}})
	if f := g.execute(waiting); f == nil || f.Code != failure.OrderSuperseded {
		t.Errorf("ended with %v", f)
	}
}

// TestLateLiftIsRefused guards against the end of a quarantine that was ordered before the verdict.
func TestLateLiftIsRefused(t *testing.T) {
	g := newOrderTest(t)
	verdict := &pb.QuarantineRecord{Fingerprint: []byte("fingerprint of 16"), Server: []uint64{1, 2, 3}, AgeS: []uint32{1, 1, 1}}
	waiting := g.take(founderAddresses[0], &pb.OperatorOrder{Command: &pb.Command{Lift: &pb.QuarantineRecord{Fingerprint: verdict.Fingerprint, Cleared: 1}}})
	await(t, "the verdict is accepted", func() bool {
		_, err := g.member(founderAddresses[1]).r.Change(context.Background(), &pb.Command{Quarantine: verdict})
		return err == nil
	})
	if f := g.execute(waiting); f == nil || f.Code != failure.OrderSuperseded {
		t.Errorf("ended with %v", f)
	}
}

// TestLateOrderToAnEngineIsRefused guards against an order to an engine that gets a higher fencing number than a later one
// which was carried out before.
func TestLateOrderToAnEngineIsRefused(t *testing.T) {
	g := newOrderTest(t)
	waiting := g.take(founderAddresses[0], &pb.OperatorOrder{Order: &pb.Order{Address: "10.9.0.1:80", Action: "load", Model: "m"}})
	await(t, "a later order is in the log", func() bool {
		for _, a := range g.addresses() {
			if _, err := g.member(a).r.commit(context.Background(), &pb.Command{OrderCounter: 1}, nil); err == nil {
				return true
			}
		}
		return false
	})
	if f := g.execute(waiting); f == nil || f.Code != failure.OrderSuperseded {
		t.Errorf("ended with %v", f)
	}
}

// TestFencesOfAnEngine checks that an order which waited after its commit does not follow one with a higher number.
func TestFencesOfAnEngine(t *testing.T) {
	var f engineFences
	for _, c := range []struct {
		addr        string
		fence, last uint64
	}{{"a", 5, 5}, {"b", 4, 4}, {"a", 3, 5}, {"a", 6, 6}} {
		if got := f.raise(c.addr, c.fence); got != c.last {
			t.Errorf("order %d to %s: last %d, want %d", c.fence, c.addr, got, c.last)
		}
	}
}

// TestOrderOfACallerThatGaveUpIsRefused guards against orders that a control host reads after their caller has sent them
// to another host.
func TestOrderOfACallerThatGaveUpIsRefused(t *testing.T) {
	g := newOrderTest(t)
	r := g.member(founderAddresses[0]).r
	for _, c := range []struct {
		name string
		conn fakeConn
		code failure.Code // "" if the order is accepted
	}{
		{"left", fakeConn{left: true}, failure.Canceled},
		{"read late", fakeConn{unread: 2 * lateorder.Patience}, failure.DeadlineExceeded},
		{"sent long before it arrived", fakeConn{sent: 2 * lateorder.Patience}, failure.DeadlineExceeded},
		{"on a used connection", fakeConn{reused: true}, failure.DeadlineExceeded},
		{"waits", fakeConn{}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := r.Change(port.WithCallerConn(context.Background(), c.conn), &pb.Command{Evacuate: "f"})
			if f := failure.As(err, ""); (f == nil) != (c.code == "") || f != nil && (f.Code != c.code || f.Outcome != failure.NotRun) {
				t.Errorf("ended with %v", f)
			}
			if g.isEvacuated() != (c.code == "") {
				t.Errorf("evacuated: %v", c.code != "")
			}
		})
	}
}

// TestOrderAtAReplicaThatIsBehind checks that an order is accepted although the replica that takes it has not heard of
// the last one, as long as its caller waits.
func TestOrderAtAReplicaThatIsBehind(t *testing.T) {
	g := newOrderTest(t)
	behind := g.follower()
	g.setDrop(func(addr string, m *pb.RaftMessage) bool { return addr == behind && len(m.Entries) > 0 })
	others := slices.DeleteFunc(slices.Clone(founderAddresses), func(a string) bool { return a == behind })
	await(t, "an order is accepted elsewhere", func() bool {
		_, err := g.member(others[0]).r.Change(context.Background(), &pb.Command{Evacuate: "f"})
		return err == nil
	})
	time.AfterFunc(50*time.Millisecond, func() { g.setDrop(nil) })
	if _, err := g.member(behind).r.Change(port.WithCallerConn(context.Background(), fakeConn{}), &pb.Command{Restore: "f"}); err != nil {
		t.Fatal(err)
	}
	if g.isEvacuated() {
		t.Error("the second order is not in force")
	}
}

// follower returns the address of a control host that is not the leader.
func (g *orderTest) follower() (addr string) {
	g.t.Helper()
	await(g.t, "a follower knows the leader", func() bool {
		for _, a := range g.addresses() {
			if st, err := g.member(a).r.Status(context.Background()); err == nil && st.Role == "follower" && st.Leader != "" {
				addr = a
				return true
			}
		}
		return false
	})
	return addr
}

// TestOrdersOfTheBuildBeforeAreRefused checks that a leader refuses orders without an applied index, and that a replica
// refuses an order whose leader does not know it.
func TestOrdersOfTheBuildBeforeAreRefused(t *testing.T) {
	g := newOrderTest(t)
	for _, p := range []*pb.Propose{
		{Command: &pb.Command{Restore: "f"}}, {Command: &pb.Command{Evacuate: "f"}},
		{Command: &pb.Command{Lift: &pb.QuarantineRecord{Fingerprint: []byte{1}, Cleared: 1}}},
		{Order: &pb.Order{Address: "a"}}, {Replica: &pb.ReplicaChange{Address: "a"}},
	} {
		resp := g.member(founderAddresses[0]).r.HandleRequest(context.Background(), &pb.Request{Body: &pb.Request_Propose{Propose: p}})
		if res := resp.GetProposeResult(); res.GetCode() != string(failure.PeerRefused) {
			t.Errorf("%v was answered with %v", p, res)
		}
	}
	if g.isEvacuated() {
		t.Error("an order without an applied index is in force")
	}
	g.mu.Lock()
	g.answer = answerAsOldLeader
	g.mu.Unlock()
	_, err := g.member(g.follower()).r.Change(context.Background(), &pb.Command{Evacuate: "f"})
	if f := failure.As(err, ""); f == nil || f.Code != failure.NoLeader || f.Outcome != failure.NotRun {
		t.Errorf("ended with %v", f)
	}
}

// answerAsOldLeader answers the proposals that a leader of the previous build does not know.
func answerAsOldLeader(req *pb.Request) *pb.Response {
	if req.GetPropose().GetOperatorOrder() == nil {
		return nil
	}
	return &pb.Response{Body: &pb.Response_ProposeResult{ProposeResult: encodeResult(nil, errEmptyProposal)}}
}
