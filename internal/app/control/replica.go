// Package control runs a replica of the control group: it connects the consensus
// core and the configuration state machine to the clock, the journal and the other
// hosts, and implements the operators' calls.
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
	Identity         port.Identity
	Host             string
	Region           string
	FailureDomain    string
	Generation       uint64
	Members          []*pb.RaftMember // initial members of the group
	Signer           ed25519.PrivateKey
	Tick             time.Duration
	SnapshotEvery    int
	MaxOrderDuration time.Duration
	LoadsPerMinute   float64
	// QuotaBound limits by how much teams may exceed their quotas. QuotaStore persists the units that
	// may have been granted. FirstStart reports that no control host ran in this one's place
	// before.
	QuotaBound quota.Bound
	QuotaStore port.QuotaStore
	FirstStart bool
	// Quarantine limits the records of requests that crash servers.
	Quarantine quarantine.Options
	Seed       int64
	// NoOrders means that the group sends no orders to engines. Only orders need the leader's
	// lease; without it the group elects a leader sooner after a restart.
	NoOrders bool

	Journal port.Journal
	State   *port.JournalState
	// Reopen opens the store again after its journal failed; it returns an error while the disk
	// cannot be written. If it is nil, Run returns after a journal failure.
	Reopen  func() (port.Journal, *port.JournalState, error)
	Peers   port.Peers
	Engines port.Engines
	Clock   port.Clock
	Log     logr.Logger
}

// electionTicks is the election timeout in ticks, which is also the duration of a leader's lease. A
// leader sends heartbeats every heartbeatTicks.
const (
	electionTicks  = 10
	heartbeatTicks = 2
)

// Replica is one member of the control group. All consensus state is owned by the goroutine of Run;
// other goroutines post functions to it.
type Replica struct {
	o              Options
	node           *consensus.Node
	machine        *configstate.Machine
	orders         *configstate.OrderIndex
	gate           *fencing.Gate
	loadBucket     *tokenBucket
	documentCipher cipher.AEAD
	quotas         *quotas
	inbox          chan func()
	stopped        chan struct{}
	halted         atomic.Pointer[failure.Error]

	waiters     map[uint64]waiter     // by log index
	reads       map[uint64]chan error // by read ID
	nextRead    uint64
	lastLedTerm uint64 // last term in which this replica was the leader

	senders         map[senderKey]*sender
	published       atomic.Pointer[Published]
	reports         *reports
	proposals       *proposals
	engineFences    engineFences
	wg              sync.WaitGroup
	fleet           *Fleet // nil in a group whose record lists the hosts
	verdicts        *verdicts
	leading         atomic.Bool
	memberAddresses atomic.Pointer[[]string]
	// otherMemberAddresses are the peer addresses of the members without this one.
	otherMemberAddresses atomic.Pointer[[]string]
	started              time.Time
	loggedRole           roleState // last logged state
	// currentAt is the time as of which the applied state was the group's newest; nil if it never
	// was since the start. See Staleness.
	currentAt   atomic.Pointer[time.Time]
	currentTick uint64 // the node's tick for currentAt
	shares      issuerShares
	ownShare    atomic.Uint32 // of all quotas, in units of quotashare.Whole
}

// roleState is a replica's own role and its view of the group's leader.
type roleState struct {
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
	documentCipher, err := newDocumentCipher(o.Signer)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		o:              o,
		documentCipher: documentCipher,
		quotas:         newQuotas(o),
		gate:           fencing.NewGate(fencing.Limits{Lease: electionTicks * o.Tick, MaxOrder: o.MaxOrderDuration}),
		loadBucket:     newTokenBucket(o.LoadsPerMinute),
		inbox:          make(chan func(), 1024),
		stopped:        make(chan struct{}),
		waiters:        map[uint64]waiter{},
		reads:          map[uint64]chan error{},
		senders:        map[senderKey]*sender{},
		reports:        newReports(),
		proposals:      newProposals(),
		started:        o.Clock.Now(),
		verdicts:       newVerdicts(o.Quarantine, uint64(o.Clock.Now().UnixNano())),
	}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.publish()
	return r, nil
}

// load creates the consensus core and the state machine from the store's state.
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
	r.orders = configstate.NewOrderIndex(snap.Index)
	r.applyIssuerShares(snap.Index)
	r.node = consensus.New(consensus.Options{
		ID: r.o.Identity.Store, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: r.o.Seed, NoLeases: r.o.NoOrders,
		HardState: r.o.State.HardState, Snapshot: snap, Entries: r.o.State.Entries,
	})
	return nil
}

// Run drives the replica until ctx ends or the journal fails. After a journal failure with Reopen
// set, it continues: the replica does not take part in the group until its store has been reopened.
func (r *Replica) Run(ctx context.Context) error {
	defer r.wg.Wait()
	defer close(r.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.wg.Add(5)
	go r.planIssuerShares(ctx)
	go r.persistVerdicts(ctx)
	go r.storeQuotas(ctx)
	go r.maintainQuotaShare(ctx)
	if r.fleet != nil {
		go r.repair(ctx)
	} else {
		go r.disseminate(ctx)
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

// maxInboxBatch is the maximum number of queued functions that run before their effects are synced
// to disk together.
const maxInboxBatch = 512

func (r *Replica) drainInbox() {
	for range maxInboxBatch {
		select {
		case f := <-r.inbox:
			f()
		default:
			return
		}
	}
}

// advance executes the core's pending actions until none are left.
func (r *Replica) advance(ctx context.Context) error {
	for {
		rd := r.node.Ready()
		if rd.Empty() {
			r.updateLeadership()
			r.updateCurrentAt()
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

// mustSync reports whether a hard state must be durable before the messages are sent. A commit
// index alone need not be: the leader sends it again.
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
		r.orders = configstate.NewOrderIndex(s.Index)
		r.applyIssuerShares(s.Index)
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

// commandOf returns the command in a log entry; nil for an entry without one.
func commandOf(e *pb.RaftEntry) *pb.Command {
	if consensus.EntryType(e.Type) != consensus.EntryNormal || len(e.Data) == 0 {
		return nil
	}
	c := new(pb.Command)
	if err := proto.Unmarshal(e.Data, c); err != nil {
		return nil
	}
	return c
}

func (r *Replica) applyEntry(e *pb.RaftEntry) {
	var res configstate.Result
	if c := commandOf(e); c != nil {
		res = r.machine.Apply(c)
		res.LogIndex = e.Index
		_, res.EvacuationRevision = r.machine.Evacuated()
		r.logEvacuation(e.Index, c, res.EvacuationRevision)
		r.orders.Record(e.Index, c)
		if c.IssuerShares != nil {
			r.applyIssuerShares(e.Index)
		}
	}
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.done <- applied{err: failure.New(failure.NoLeader, failure.NotRun, "the change was overwritten by another leader's log entry")}
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
		ch <- failure.New(failure.NoLeader, "", "the leader stepped down")
		return
	}
	ch <- nil
}

// maybeSnapshot saves a snapshot once SnapshotEvery entries have been applied since the last one.
func (r *Replica) maybeSnapshot(appliedIndex uint64) error {
	snapshotIndex := uint64(0)
	if s := r.o.State.Snapshot; s != nil {
		snapshotIndex = s.Index
	}
	if appliedIndex < snapshotIndex+uint64(r.o.SnapshotEvery) {
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
	if m := r.memberAddresses.Load(); m != nil {
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
	r.otherMemberAddresses.Store(&others)
	if old := r.memberAddresses.Load(); old == nil || !slices.Equal(*old, addrs) {
		r.memberAddresses.Store(&addrs)
	}
}

// logRole logs each change of this replica's role, leader or term.
func (r *Replica) logRole(role consensus.Role, term uint64) {
	current := roleState{role, r.node.Leader(), term}
	if current == r.loggedRole {
		return
	}
	r.loggedRole = current
	st := r.node.Status()
	r.o.Log.Info("role changed", "role", role.String(), "leader", current.leader, "term", term, "commit", st.Commit, "applied", st.Applied)
}

// updateLeadership opens the gate for orders when this replica becomes the leader, and fails
// pending changes when it no longer is.
func (r *Replica) updateLeadership() {
	role, term := r.node.Role(), r.node.Term()
	r.logRole(role, term)
	r.leading.Store(role == consensus.Leader)
	if role == consensus.Leader && term != r.lastLedTerm {
		r.lastLedTerm = term
		r.gate.Elected(term, r.o.Clock.Now())
	}
	if role != consensus.Leader && len(r.waiters) > 0 {
		r.failWaiters(failure.New(failure.NoLeader, failure.Unknown, "the leader stepped down before the change was committed"))
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

// post runs f on the goroutine of Run and waits until it has returned.
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
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the replica's queue is full")
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

// Halted returns the journal failure that halted the replica, or nil.
func (r *Replica) Halted() *failure.Error { return r.halted.Load() }
