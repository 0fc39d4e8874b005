package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/consensus"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Change asks the control group to accept a new record. Any replica accepts the call and forwards
// it to the leader. After an error with outcome unknown the change may or may not have been
// accepted: resend it with the same change_id.
func (r *Replica) Change(ctx context.Context, c *pb.Command) (*pb.ProposeResult, error) {
	if c.ChangeId == "" {
		c.ChangeId = randomID()
	}
	if p := (&pb.Propose{Command: c}); !isOperatorOrder(p) {
		return r.runOnLeader(ctx, p)
	}
	return r.submitOrder(ctx, &pb.OperatorOrder{Command: c})
}

// Current returns the newest accepted change by a linearizable read: the leader confirms its role
// and returns the log index that this replica must have applied. The record is read from the local
// state and not sent by the leader.
func (r *Replica) Current(ctx context.Context) (*pb.Accepted, error) {
	res, err := r.runOnLeader(ctx, &pb.Propose{Read: true})
	if err != nil {
		return nil, err
	}
	return r.awaitApplied(ctx, res.ReadIndex)
}

// awaitApplied waits until the replica has applied the log up to index and returns the newest
// accepted change.
func (r *Replica) awaitApplied(ctx context.Context, index uint64) (*pb.Accepted, error) {
	for {
		var last *pb.Accepted
		done := false
		err := r.post(ctx, func() {
			done = r.node.Status().Applied >= index
			last = r.machine.Last()
		})
		if err != nil || done {
			return last, err
		}
		select {
		case <-time.After(r.o.Tick):
		case <-ctx.Done():
			return nil, failure.New(failure.NoLeader, "", "this replica did not apply the log up to the leader's read index in time")
		}
	}
}

// Order sends an order to an engine through the leader.
func (r *Replica) Order(ctx context.Context, o *pb.Order) (*pb.ProposeResult, error) {
	return r.submitOrder(ctx, &pb.OperatorOrder{Order: o})
}

// ChangeReplica adds or replaces a replica through the leader.
func (r *Replica) ChangeReplica(ctx context.Context, c *pb.ReplicaChange) (*pb.ProposeResult, error) {
	return r.submitOrder(ctx, &pb.OperatorOrder{Replica: c})
}

func randomID() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// leaderWaitTimeout is how long a request waits for the group to elect a leader.
const leaderWaitTimeout = 3 * time.Second

// isolationElectionTimeouts is the number of election timeouts after which a replica without
// up-to-date state considers itself isolated: one candidacy of each of three voters, and the time
// for the votes.
const isolationElectionTimeouts = 4

// isIsolated reports whether the replica's state has been stale for longer than an election takes.
func (r *Replica) isIsolated() bool {
	return r.Staleness() > isolationElectionTimeouts*electionTicks*r.o.Tick
}

// runOnLeader executes p on the leader, locally or by a remote call. It retries results that report
// that there is no leader and that p did not run, until leaderWaitTimeout has passed. An isolated
// replica refuses at once, because operators wait for a second before they try another host
// (TestIsolatedHostRefusesAtOnce).
func (r *Replica) runOnLeader(ctx context.Context, p *pb.Propose) (*pb.ProposeResult, error) {
	deadline := r.o.Clock.Now().Add(leaderWaitTimeout)
	for {
		res, err := r.tryOnLeader(ctx, p)
		if err == nil || !failure.Is(err, failure.NoLeader) || failure.As(err, "").Outcome == failure.Unknown {
			return res, err
		}
		if ctx.Err() != nil || r.o.Clock.Now().After(deadline) || r.isIsolated() {
			return nil, failure.As(err, failure.NotRun).WithRetryAfter(time.Second)
		}
		select {
		case <-time.After(r.o.Tick):
		case <-ctx.Done():
		}
	}
}

func (r *Replica) tryOnLeader(ctx context.Context, p *pb.Propose) (*pb.ProposeResult, error) {
	var role consensus.Role
	var addr string
	err := r.post(ctx, func() {
		role = r.node.Role()
		addr = r.addressOf(r.node.Leader())
	})
	if err != nil {
		return nil, err
	}
	if role == consensus.Leader {
		return r.execute(ctx, p)
	}
	if addr == "" {
		return nil, failure.New(failure.NoLeader, failure.NotRun, "the control group has no reachable leader")
	}
	req := r.request()
	req.Body = &pb.Request_Propose{Propose: p}
	resp, err := r.o.Peers.Call(ctx, addr, req)
	if err != nil {
		f := failure.As(err, failure.Unknown)
		if f.Code == failure.PeerUnreachable && f.Outcome == failure.NotRun {
			return nil, failure.New(failure.NoLeader, failure.NotRun, "the leader cannot be reached: %s", f.Detail)
		}
		return nil, f
	}
	res := resp.GetProposeResult()
	if res == nil {
		return nil, failure.New(failure.PeerRefused, failure.Unknown, "the leader's response contains no result")
	}
	return res, resultError(res)
}

// execute executes p on this replica, which was the leader when the caller checked.
func (r *Replica) execute(ctx context.Context, p *pb.Propose) (*pb.ProposeResult, error) {
	switch {
	case p.Command != nil:
		return r.executeChange(ctx, p.Command)
	case p.OperatorOrder != nil:
		return r.executeOperatorOrder(ctx, p.OperatorOrder)
	case p.Read:
		return r.executeRead(ctx)
	}
	return nil, errEmptyProposal
}

// errEmptyProposal also answers kinds of proposals that this build does not know.
var errEmptyProposal = failure.New(failure.BadRequest, failure.NotRun, "the proposal is empty")

func (r *Replica) executeChange(ctx context.Context, c *pb.Command) (*pb.ProposeResult, error) {
	if c.Quarantine != nil {
		return r.commitChange(ctx, c, nil)
	}
	parsed, err := configstate.Parse(c.Record)
	schema := recordSchema(c.Record)
	if parsed != nil {
		schema = uint32(parsed.SchemaVersion)
	}
	if host, ok := r.reports.hostBelowSchema(schema, r.o.Clock.Now()); ok {
		return nil, failure.New(failure.UnsupportedSchema, failure.NotRun,
			"host %s supports schema versions up to %d, but the record has %d; upgrade the host first", host.Host, host.MaxSchema, schema)
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRecord, failure.NotRun)
	}
	c.SchemaVersion = schema
	return r.commitChange(ctx, c, nil)
}

// commitChange commits a command, with appliedIndex only if no later entry supersedes it; see checkSuperseded.
func (r *Replica) commitChange(ctx context.Context, c *pb.Command, appliedIndex *uint64) (*pb.ProposeResult, error) {
	c.TimeMs = r.o.Clock.Now().UnixMilli()
	res, err := r.commit(ctx, c, appliedIndex)
	if err != nil {
		return nil, err
	}
	out := &pb.ProposeResult{
		Version: res.Version, CurrentVersion: res.Current,
		Code: string(res.Code), Detail: res.Detail, Leader: r.o.Host,
		LogIndex: res.LogIndex, EvacuationRevision: res.EvacuationRevision,
	}
	return out, resultError(out)
}

// commit proposes a command and waits until it is applied. With appliedIndex it is refused if it is superseded.
func (r *Replica) commit(ctx context.Context, c *pb.Command, appliedIndex *uint64) (configstate.Result, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return configstate.Result{}, failure.Wrap(err, failure.Internal, failure.NotRun)
	}
	done, err := r.propose(ctx, func() (uint64, uint64, error) {
		if appliedIndex != nil {
			if err := r.checkSuperseded(configstate.Subject(c), *appliedIndex); err != nil {
				return 0, 0, err
			}
		}
		return r.node.Propose(data)
	})
	if err != nil {
		return configstate.Result{}, err
	}
	select {
	case a := <-done:
		return a.result, a.err
	case <-ctx.Done():
		return configstate.Result{}, failure.New(failure.DeadlineExceeded, failure.Unknown,
			"the change was not committed in time; resend it with the same change_id")
	}
}

func (r *Replica) propose(ctx context.Context, f func() (uint64, uint64, error)) (chan applied, error) {
	done := make(chan applied, 1)
	var perr error
	err := r.post(ctx, func() {
		index, term, err := f()
		if err != nil {
			perr = err
			return
		}
		r.waiters[index] = waiter{term, done}
	})
	if err != nil {
		return nil, err
	}
	return done, perr
}

func (r *Replica) executeRead(ctx context.Context) (*pb.ProposeResult, error) {
	done := make(chan error, 1)
	var rerr error
	err := r.post(ctx, func() {
		r.nextRead++
		if rerr = r.node.ReadIndex(r.nextRead); rerr == nil {
			r.reads[r.nextRead] = done
		}
	})
	if err == nil {
		err = rerr
	}
	if err != nil {
		return nil, err
	}
	select {
	case err := <-done:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		return nil, failure.New(failure.NoLeader, "", "no majority of the control group confirmed the leader in time")
	}
	res := &pb.ProposeResult{Leader: r.o.Host}
	err = r.post(ctx, func() {
		res.ReadIndex = r.node.Status().Applied
		res.CurrentVersion = r.machine.Version()
	})
	return res, err
}

// executeOrder reserves a fencing number in the log, checks the leader's lease and sends the order
// to the engine. Load orders take a token of the weight store's rate limit first.
func (r *Replica) executeOrder(ctx context.Context, o *pb.Order, appliedIndex uint64) (*pb.ProposeResult, error) {
	if o.Action == "load" {
		if wait := r.loadBucket.take(r.o.Clock.Now()); wait > 0 {
			return nil, failure.New(failure.Overloaded, failure.NotRun, "rate limit of the weight store exceeded").WithRetryAfter(wait)
		}
	}
	var fence uint64 // the entry's log index, which is unique once committed
	done, err := r.propose(ctx, func() (uint64, uint64, error) {
		if err := r.checkSuperseded(configstate.SubjectOfEngineOrders, appliedIndex); err != nil {
			return 0, 0, err
		}
		data, err := proto.Marshal(&pb.Command{OrderCounter: r.machine.OrderCounter() + 1})
		if err != nil {
			return 0, 0, failure.Wrap(err, failure.Internal, failure.NotRun)
		}
		index, term, err := r.node.Propose(data)
		fence = index
		return index, term, err
	})
	if err != nil {
		return nil, err
	}
	if a := <-done; a.err != nil {
		return nil, a.err
	}
	if err := r.checkGate(ctx); err != nil {
		return nil, err
	}
	if last := r.engineFences.raise(o.Address, fence); last > fence {
		return nil, supersededError("engine at "+o.Address, last, fence)
	}
	ctx, cancel := context.WithTimeout(ctx, r.o.MaxOrderDuration)
	defer cancel()
	checked, err := r.o.Engines.Order(ctx, o.Address, port.Order{
		Fence: fence, Action: o.Action, Model: o.Model, Adapter: o.Adapter, Version: o.Version, Role: o.Role,
	})
	if err != nil {
		return nil, err
	}
	return &pb.ProposeResult{Fence: fence, FenceChecked: checked, Leader: r.o.Host}, nil
}

// engineFences holds the fencing number of the last order to each engine, so that an order that waited does not follow
// a later one to an engine that ignores the numbers.
type engineFences struct {
	mu   sync.Mutex
	last map[string]uint64 // by address
}

// raise records an order's fencing number and returns the highest one of the engine.
func (f *engineFences) raise(addr string, fence uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last == nil {
		f.last = map[string]uint64{}
	}
	f.last[addr] = max(f.last[addr], fence)
	return f.last[addr]
}

// checkGate treats every engine as one that ignores fencing numbers, because only its answer shows
// whether it checks them.
func (r *Replica) checkGate(ctx context.Context) error {
	var gerr error
	err := r.post(ctx, func() {
		lease := time.Duration(r.node.LeaseTicks()) * r.o.Tick
		gerr = r.gate.Check(r.node.Term(), lease, false, r.o.Clock.Now())
	})
	if err != nil {
		return err
	}
	return gerr
}

func recordSchema(raw []byte) uint32 {
	var head struct {
		SchemaVersion uint32 `json:"schema_version"`
	}
	_ = json.Unmarshal(raw, &head)
	return head.SchemaVersion
}

// resultError converts a result's code into an error; nil if there is none.
func resultError(res *pb.ProposeResult) error {
	if res.Code == "" {
		return nil
	}
	f := failure.New(failure.Code(res.Code), failure.NotRun, "%s", res.Detail)
	f.Version = res.CurrentVersion
	f.RetryAfter = time.Duration(res.RetryAfterMs) * time.Millisecond
	return f
}
