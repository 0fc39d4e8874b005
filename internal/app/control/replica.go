// Package control runs a replica of the control group: it drives the consensus
// core and the configuration state machine with real time, a journal and links
// to the other hosts, and serves the operators' use cases.
package control

import (
	"context"
	"crypto/cipher"
	"crypto/ed25519"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/consensus"
	"github.com/sesamefork/sesamefork/internal/core/fencing"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/quota"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Options configures a Replica.
type Options struct {
	Identity      port.Identity
	Host          string
	Region        string
	FailureDomain string
	Generation    uint64
	Members       []*pb.RaftMember // the group's first members
	Signer        ed25519.PrivateKey
	Tick          time.Duration
	SnapshotEvery int
	MaxOrder      time.Duration
	LoadsPerMin   float64
	// Quotas is by how much teams' quotas may be passed. QuotaStore keeps what may have been
	// given out of them; FirstStart says that there was no control host in this one's place
	// before.
	Quotas     quota.Bound
	QuotaStore port.QuotaStore
	FirstStart bool
	// Quarantine bounds what is remembered of requests that crash servers.
	Quarantine quarantine.Options
	Seed       int64
	// NoOrders says that the group gives no orders to engines, which alone need the
	// leader's lease: the group then elects a leader sooner after a restart.
	NoOrders bool

	Journal port.Journal
	State   *port.JournalState
	// Reopen opens the store anew after its journal failed; nil to end the replica then. It
	// fails while the disk takes nothing.
	Reopen  func() (port.Journal, *port.JournalState, error)
	Peers   port.Peers
	Engines port.Engines
	Clock   port.Clock
	Log     logr.Logger
}

// electionTicks is the election timeout in ticks; it is also a leader's lease.
// A leader sends heartbeats every heartbeatTicks.
const (
	electionTicks  = 10
	heartbeatTicks = 2
)

// Replica is one member of the control group. All consensus state belongs to
// the goroutine of Run; other goroutines post functions to it.
type Replica struct {
	o       Options
	node    *consensus.Node
	machine *configstate.Machine
	gate    *fencing.Gate
	loads   *bucket
	sealer  cipher.AEAD
	quotas  *quotas
	inbox   chan func()
	stopped chan struct{}
	halted  atomic.Pointer[failure.Error]

	waiters  map[uint64]waiter     // by log index
	reads    map[uint64]chan error // by read ID
	nextRead uint64
	lastTerm uint64 // last term in which this replica was seen as leader

	senders   map[senderKey]*sender
	published atomic.Pointer[Published]
	reports   *reports
	wg        sync.WaitGroup
	fleet     *Fleet // nil in a group whose record lists the hosts
	verdicts  *verdicts
	leading   atomic.Bool
	members   atomic.Pointer[[]string]
	// othersInGroup are the peer addresses of the members without this one.
	othersInGroup atomic.Pointer[[]string]
	started       time.Time
	seen          roleSeen                  // as last logged
	currentAt     atomic.Pointer[time.Time] // see Staleness; nil before the first time
	currentTick   uint64                    // the node's tick for currentAt
}

// roleSeen is what a replica believes of the group's leader.
type roleSeen struct {
	role   consensus.Role
	leader string
	term   uint64
}

type waiter struct {
	term uint64
	done chan applied
}

type applied struct {
	result configstate.Result
	err    error
}

// NewReplica restores the replica's state from its journal.
func NewReplica(o Options) (*Replica, error) {
	sealer, err := newSealer(o.Signer)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		o:        o,
		sealer:   sealer,
		quotas:   newQuotas(o),
		gate:     fencing.NewGate(fencing.Limits{Lease: electionTicks * o.Tick, MaxOrder: o.MaxOrder}),
		loads:    newBucket(o.LoadsPerMin),
		inbox:    make(chan func(), 1024),
		stopped:  make(chan struct{}),
		waiters:  map[uint64]waiter{},
		reads:    map[uint64]chan error{},
		senders:  map[senderKey]*sender{},
		reports:  newReports(),
		started:  o.Clock.Now(),
		verdicts: newVerdicts(o.Quarantine, uint64(o.Clock.Now().UnixNano())),
	}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.publish()
	return r, nil
}

// load makes the consensus core and the state machine from the store's state.
func (r *Replica) load() error {
	r.currentTick = 0
	r.machine = configstate.NewMachine(r.o.Generation)
	snap := consensus.Snapshot{Members: &pb.RaftMembers{Members: r.o.Members}}
	if s := r.o.State.Snapshot; s != nil {
		snap = consensus.Snapshot{Index: s.Index, Term: s.Term, Members: s.Members, Data: s.Data}
		if err := r.machine.Restore(s.Data); err != nil {
			return err
		}
	}
	r.node = consensus.New(consensus.Options{
		ID: r.o.Identity.Store, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: r.o.Seed, NoLeases: r.o.NoOrders,
		HardState: r.o.State.HardState, Snapshot: snap, Entries: r.o.State.Entries,
	})
	return nil
}

// Run drives the replica until ctx ends or the journal fails. After a journal failure the
// replica takes no part in the group until its store could be opened anew.
func (r *Replica) Run(ctx context.Context) error {
	defer r.wg.Wait()
	defer close(r.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.wg.Add(4)
	go r.keepVerdicts(ctx)
	go r.storeQuotas(ctx)
	go r.shareQuotas(ctx)
	if r.fleet != nil {
		go r.repair(ctx)
	} else {
		go r.spread(ctx)
	}
	ticker := time.NewTicker(r.o.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.failWaiters(failure.New(failure.NoLeader, failure.Unknown, "the replica is shutting down"))
			return nil
		case <-ticker.C:
			r.node.Tick()
		case f := <-r.inbox:
			f()
			r.drainInbox()
		}
		if err := r.advance(ctx); err != nil {
			f := failure.As(err, "")
			r.halt(f)
			if r.o.Reopen == nil {
				return f
			}
			if !r.recoverStore(ctx) {
				return nil
			}
		}
	}
}

// batchLimit bounds the events taken in before their effects are made durable
// together.
const batchLimit = 512

func (r *Replica) drainInbox() {
	for range batchLimit {
		select {
		case f := <-r.inbox:
			f()
		default:
			return
		}
	}
}

// advance carries out the core's actions until there are none left.
func (r *Replica) advance(ctx context.Context) error {
	for {
		rd := r.node.Ready()
		if rd.Empty() {
			r.noteLeadership()
			r.noteCurrent()
			r.publishMembers()
			return nil
		}
		if err := r.persist(rd); err != nil {
			return err
		}
		for _, m := range rd.Messages {
			r.sendTo(ctx, m)
		}
		if err := r.apply(rd); err != nil {
			return err
		}
		r.node.Advance(rd)
	}
}

func (r *Replica) persist(rd consensus.Ready) error {
	if s := rd.Snapshot; s != nil {
		hard, tail := r.node.Tail(s.Index)
		file := &pb.SnapshotFile{Index: s.Index, Term: s.Term, Members: s.Members, Data: s.Data}
		return r.o.Journal.SaveSnapshot(file, &pb.JournalRecord{HardState: hard, Entries: tail})
	}
	if len(rd.Entries) == 0 && !r.mustSync(rd.HardState) {
		return nil
	}
	return r.o.Journal.Append(&pb.JournalRecord{HardState: rd.HardState, Entries: rd.Entries})
}

// mustSync tells whether a hard state has to be durable before the messages
// leave. A commit index alone need not: it is learned again from the leader.
func (r *Replica) mustSync(h *pb.HardState) bool {
	if h == nil {
		return false
	}
	last := r.o.State.HardState
	changed := last == nil || last.Term != h.Term || last.Vote != h.Vote
	if changed {
		r.o.State.HardState = h
	}
	return changed
}

func (r *Replica) apply(rd consensus.Ready) error {
	if s := rd.Snapshot; s != nil {
		if err := r.machine.Restore(s.Data); err != nil {
			return err
		}
		r.publish()
	}
	before := r.machine.Version()
	_, evacuation := r.machine.Evacuated()
	_, quarantined := r.machine.Quarantined()
	for _, e := range rd.Committed {
		r.applyEntry(e)
	}
	_, evacuationNow := r.machine.Evacuated()
	_, quarantinedNow := r.machine.Quarantined()
	if r.machine.Version() != before || evacuationNow != evacuation || quarantinedNow != quarantined {
		r.publish()
	}
	for _, read := range rd.Reads {
		r.answerRead(read)
	}
	if n := len(rd.Committed); n > 0 {
		return r.maybeSnapshot(rd.Committed[n-1].Index)
	}
	return nil
}

func (r *Replica) applyEntry(e *pb.RaftEntry) {
	var res configstate.Result
	if consensus.EntryType(e.Type) == consensus.EntryNormal && len(e.Data) > 0 {
		c := new(pb.Command)
		if err := proto.Unmarshal(e.Data, c); err == nil {
			res = r.machine.Apply(c)
		}
	}
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.done <- applied{err: failure.New(failure.NoLeader, failure.NotRun, "another leader's entry took the place of the change")}
		return
	}
	w.done <- applied{result: res}
}

func (r *Replica) answerRead(read consensus.Read) {
	ch, ok := r.reads[read.ID]
	if !ok {
		return
	}
	delete(r.reads, read.ID)
	if !read.OK {
		ch <- failure.New(failure.NoLeader, "", "the leader lost its role")
		return
	}
	ch <- nil
}

// maybeSnapshot saves a snapshot when enough entries were applied since the last.
func (r *Replica) maybeSnapshot(appliedIndex uint64) error {
	first := uint64(0)
	if s := r.o.State.Snapshot; s != nil {
		first = s.Index
	}
	if appliedIndex < first+uint64(r.o.SnapshotEvery) {
		return nil
	}
	s := r.node.SnapshotAt(appliedIndex, r.machine.Snapshot())
	hard, tail := r.node.Tail(appliedIndex)
	file := &pb.SnapshotFile{Index: s.Index, Term: s.Term, Members: s.Members, Data: s.Data}
	if err := r.o.Journal.SaveSnapshot(file, &pb.JournalRecord{HardState: hard, Entries: tail}); err != nil {
		return err
	}
	r.node.Compact(appliedIndex, s.Data)
	r.o.State.Snapshot = &pb.SnapshotFile{Index: s.Index}
	r.o.Log.V(1).Info("snapshot saved", "index", s.Index, "bytes", len(s.Data))
	return nil
}

// Store returns the identity of the replica's store.
func (r *Replica) Store() string { return r.o.Identity.Store }

// MemberAddresses returns the peer addresses of the group's members.
func (r *Replica) MemberAddresses() []string {
	if m := r.members.Load(); m != nil {
		return slices.Clone(*m)
	}
	return nil
}

// publishMembers makes the members' addresses visible to other goroutines.
func (r *Replica) publishMembers() {
	var addrs, others []string
	for _, m := range r.node.Status().Members.GetMembers() {
		addrs = append(addrs, m.Address)
		if m.Id != r.o.Identity.Store {
			others = append(others, m.Address)
		}
	}
	r.othersInGroup.Store(&others)
	if old := r.members.Load(); old == nil || !slices.Equal(*old, addrs) {
		r.members.Store(&addrs)
	}
}

// logRole writes each change of what this replica believes of the group's leader.
func (r *Replica) logRole(role consensus.Role, term uint64) {
	seen := roleSeen{role, r.node.Leader(), term}
	if seen == r.seen {
		return
	}
	r.seen = seen
	st := r.node.Status()
	r.o.Log.Info("role changed", "role", role.String(), "leader", seen.leader, "term", term, "commit", st.Commit, "applied", st.Applied)
}

// noteLeadership opens the gate for orders when this replica becomes leader.
func (r *Replica) noteLeadership() {
	role, term := r.node.Role(), r.node.Term()
	r.logRole(role, term)
	r.leading.Store(role == consensus.Leader)
	if role == consensus.Leader && term != r.lastTerm {
		r.lastTerm = term
		r.gate.Elected(term, r.o.Clock.Now())
	}
	if role != consensus.Leader && len(r.waiters) > 0 {
		r.failWaiters(failure.New(failure.NoLeader, failure.Unknown, "the leader lost its role before the change was committed"))
	}
}

func (r *Replica) failWaiters(err error) {
	for index, w := range r.waiters {
		delete(r.waiters, index)
		w.done <- applied{err: err}
	}
	for id, ch := range r.reads {
		delete(r.reads, id)
		ch <- err
	}
}

// post runs f on the replica's goroutine and waits until it ran.
func (r *Replica) post(ctx context.Context, f func()) error {
	if h := r.halted.Load(); h != nil {
		return h
	}
	done := make(chan struct{})
	select {
	case r.inbox <- func() { f(); close(done) }:
	case <-r.stopped:
		return r.stopError()
	case <-ctx.Done():
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the replica is busy")
	}
	select {
	case <-done:
		return nil
	case <-r.stopped:
		return r.stopError()
	}
}

func (r *Replica) stopError() error {
	if f := r.halted.Load(); f != nil {
		return f
	}
	return failure.New(failure.NoLeader, failure.NotRun, "the replica is stopped")
}

// Halted returns the failure that took the replica out of the group, or nil.
func (r *Replica) Halted() *failure.Error { return r.halted.Load() }
