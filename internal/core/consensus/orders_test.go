package consensus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// orderCopy is one sending of an order that a replica has taken. It may be executed at any time after that.
type orderCopy struct {
	number    int    // of the order
	applied   uint64 // log index that the replica had applied when it took the order
	command   []byte
	evacuates bool
}

// orderRun is a simulation with an operator that evacuates a failure domain and takes that back in turn, each order sent to
// several replicas until it is acknowledged or given up, and with entry hosts that get views of the replicas late and in
// any order.
type orderRun struct {
	*simulation
	unchecked    bool // orders are executed without the check that the tests are about
	number       int  // of the order that the operator gives
	waiting      []orderCopy
	proposed     map[uint64]orderCopy // by log index, with the term of the proposal
	terms        map[uint64]uint64
	acknowledged map[uint64]int // number of the order, by log index
	log          map[uint64]int // number of the order of each applied entry, by log index
	lists        map[uint64]string
	views        []*pb.FleetView // on their way to the entry hosts
	hosts        []*entryHost
}

// entryHost is an entry host and the highest revision that it has heard.
type entryHost struct {
	fleet *dispatch.Fleet
	heard uint64
}

const orderDomain = "f"

func newOrderRun(seed int64, unchecked bool) *orderRun {
	r := &orderRun{
		simulation: newSimulationLeases(seed, 3, disabledMechanisms{}, seed%2 == 0), unchecked: unchecked, proposed: map[uint64]orderCopy{}, terms: map[uint64]uint64{},
		acknowledged: map[uint64]int{}, log: map[uint64]int{}, lists: map[uint64]string{},
	}
	for i := range 2 {
		r.hosts = append(r.hosts, &entryHost{fleet: dispatch.New(dispatch.Options{Host: fmt.Sprint("h", i), Region: "r", FailureDomain: orderDomain, Random: r.rnd.Float64})})
	}
	r.onApply = r.applied
	return r
}

// take lets a replica take the operator's current order.
func (r *orderRun) take(s *server) {
	c := &pb.Command{ChangeId: fmt.Sprint(r.number), Restore: orderDomain}
	evacuates := r.number%2 == 0
	if evacuates {
		c.Evacuate, c.Restore = orderDomain, ""
	}
	data, _ := proto.Marshal(c)
	r.waiting = append(r.waiting, orderCopy{r.number, s.node.Status().Applied, data, evacuates})
}

// execute has a replica execute an order that was taken, if it is the leader.
func (r *orderRun) execute(s *server) {
	if len(r.waiting) == 0 || s.node.Status().Role != Leader {
		return
	}
	i := r.rnd.Intn(len(r.waiting))
	o := r.waiting[i]
	r.waiting = slices.Delete(r.waiting, i, i+1)
	var unapplied []configstate.LoggedCommand
	for _, e := range s.node.Unapplied() {
		c := new(pb.Command)
		if EntryType(e.Type) == EntryNormal && proto.Unmarshal(e.Data, c) == nil {
			unapplied = append(unapplied, configstate.LoggedCommand{Index: e.Index, Command: c})
		}
	}
	c := new(pb.Command)
	_ = proto.Unmarshal(o.command, c)
	if _, superseded := s.orders.Superseded(configstate.Subject(c), o.applied, unapplied); superseded && !r.unchecked {
		return
	}
	if index, term, err := s.node.Propose(o.command); err == nil {
		r.proposed[index], r.terms[index] = o, term
	}
}

// applied acknowledges the operator's current order where its leader applies it, and records what a replica has applied.
func (r *orderRun) applied(s *server, e *pb.RaftEntry, c *pb.Command) {
	number := 0
	if _, err := fmt.Sscan(c.ChangeId, &number); err != nil {
		return
	}
	r.log[e.Index] = number
	domains, revision := s.machine.Evacuated()
	list := strings.Join(domains, " ")
	if known, ok := r.lists[revision]; ok && known != list {
		r.violations = append(r.violations, fmt.Sprintf("revision %d stands for %q and %q", revision, known, list))
	}
	r.lists[revision] = list
	if o, ok := r.proposed[e.Index]; ok && r.terms[e.Index] == e.Term && o.number == r.number && s.node.Status().Role == Leader {
		r.acknowledged[e.Index] = r.number
		r.number++
	}
}

// send puts a view of a replica on its way, or delivers one to an entry host.
func (r *orderRun) send(s *server) {
	if r.rnd.Intn(2) == 0 || len(r.views) == 0 {
		domains, revision := s.machine.Evacuated()
		r.views = append(r.views, &pb.FleetView{Evacuated: domains, EvacuationRevision: revision})
		return
	}
	i := r.rnd.Intn(len(r.views))
	v, h := r.views[i], r.hosts[r.rnd.Intn(len(r.hosts))]
	r.views = slices.Delete(r.views, i, i+1)
	h.fleet.ApplyView(v, dispatch.FullScope, time.Unix(r.nextTimestamp(), 0))
	h.heard = max(h.heard, v.EvacuationRevision)
	if got, want := h.fleet.Evacuated(orderDomain), r.lists[h.heard] != ""; got != want {
		r.violations = append(r.violations, fmt.Sprintf("an entry host that has heard revision %d: evacuated %v, want %v", h.heard, got, want))
	}
}

// run executes a schedule of orders, elections, crashes, snapshots and views.
func (r *orderRun) run(steps int) {
	for i := range steps {
		x, s := r.rnd.Float64(), r.randomServer()
		switch {
		case x < 0.003:
			r.partition()
		case x < 0.006:
			r.partitions = map[string]int{}
		case x < 0.010 && s.running:
			r.crash(s)
		case x < 0.04:
			if !s.running {
				r.boot(s)
			}
		case !s.running:
		case x < 0.06:
			r.take(s)
		case x < 0.08:
			r.execute(s)
		case x < 0.082:
			r.number++ // the operator gives its order up
		case x < 0.086:
			r.compact(s)
		case x < 0.12:
			r.send(s)
		case x < 0.22:
			s.node.Tick()
		default:
			r.deliver()
		}
		r.process(s, i%397 == 0)
	}
	r.healAndFinish()
	r.check()
}

// check checks that no order stands in the log after a later one.
func (r *orderRun) check() {
	last := 0
	for index := uint64(1); index < uint64(len(r.simulation.applied)+1); index++ {
		number, ok := r.log[index]
		if !ok {
			continue
		}
		if number < last {
			r.violations = append(r.violations, fmt.Sprintf("order %d was applied at log index %d, after order %d", number, index, last))
		}
		last = max(last, number)
	}
	final := 0
	for _, number := range r.acknowledged {
		final = max(final, number)
	}
	for _, id := range r.serverIDs {
		domains, _ := r.servers[id].machine.Evacuated()
		if evacuated := len(domains) > 0; final == last && final > 0 && evacuated != (final%2 == 0) {
			r.violations = append(r.violations, fmt.Sprintf("%s: evacuated %v after order %d", id, evacuated, final))
		}
	}
}

// runOrderSchedules returns the number of schedules with violations, the first violation, and the number of
// acknowledged orders.
func runOrderSchedules(count int, unchecked bool) (bad int, first string, acknowledged int) {
	for seed := range int64(count) {
		r := newOrderRun(seed+1, unchecked)
		r.run(4000)
		acknowledged += len(r.acknowledged)
		if len(r.violations) > 0 {
			if bad++; first == "" {
				first = fmt.Sprintf("seed %d: %s", seed+1, r.violations[0])
			}
		}
	}
	return bad, first, acknowledged
}

// TestOrdersOnRandomSchedules guards against an order that takes effect after a later one, and against entry hosts with
// another list than the newest they have heard of, over elections, restarts, snapshots and late views.
func TestOrdersOnRandomSchedules(t *testing.T) {
	count := schedules(150)
	bad, first, acknowledged := runOrderSchedules(count, false)
	t.Logf("%d schedules, %d orders acknowledged", count, acknowledged)
	if bad > 0 {
		t.Errorf("%d of %d schedules with violations; first: %s", bad, count, first)
	}
	if acknowledged < 2*count {
		t.Errorf("only %d orders acknowledged in %d schedules, too few for a meaningful check", acknowledged, count)
	}
}

// TestOrderScheduleSeesUncheckedOrders checks that the same schedules have violations without the check.
func TestOrderScheduleSeesUncheckedOrders(t *testing.T) {
	if bad, _, _ := runOrderSchedules(30, true); bad == 0 {
		t.Error("no schedule had a violation")
	}
}
