package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/ledger"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Intervals, time limits and bounds of the ledger.
const (
	ledgerTick        = 250 * time.Millisecond
	ledgerRetryMS     = 200 // between recovery messages
	ledgerCallTimeout = time.Second
	ledgerOpTimeout   = 3 * time.Second // bounds one operation
	expireEveryTicks  = 20
	defaultMaxKeys    = 200_000
	maxAbandoned      = 10_000
)

// ledgerHost runs this host's ledger replica and its operations on keys.
type ledgerHost struct {
	h        *Host
	proposer string // unique to this run of the process

	mu             sync.Mutex
	replica        *ledger.Replica
	ticks          int
	abandoned      map[string]bool // claims given up before the request was dispatched, by attempt ID
	abandonedOrder []string        // keys of abandoned, oldest first
}

func newLedgerHost(h *Host) *ledgerHost {
	l := &ledgerHost{h: h, abandoned: map[string]bool{}}
	l.proposer = fmt.Sprintf("%s/%x", h.o.ID, rand.Uint64())
	l.replica = ledger.NewReplica(h.o.ID, ledger.Limits{
		MaxKeys: defaultMaxKeys, SkewMS: h.o.Skew.Milliseconds(), RetryMS: ledgerRetryMS,
	}, rand.Int64())
	return l
}

func (l *ledgerHost) interval() time.Duration { return ledgerTick }

// setMembers sets the members from which the replica sets of this host's region are chosen. The
// caller holds l.mu.
func (l *ledgerHost) setMembers(v *view) {
	l.replica.SetLimits(v.Record.Ledger.MaxKeys, v.Record.Ledger.MaxBytes)
	l.replica.SetMembers(ledgerMembers(v.Record.RegionHosts(l.h.o.Region)), v.Record.Ledger.Replicas)
}

func (l *ledgerHost) keys() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replica.Keys()
}

func (l *ledgerHost) bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replica.Bytes()
}

func (l *ledgerHost) active() (active, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replica.Active()
}

// tick sends recovery messages, and expires keys whose retention time has passed.
func (l *ledgerHost) tick(ctx context.Context) {
	v := l.h.config.Load()
	if v == nil {
		return
	}
	now := l.h.o.Clock.Now().UnixMilli()
	l.mu.Lock()
	out := l.replica.Tick(now)
	if l.ticks++; l.ticks%expireEveryTicks == 0 {
		l.replica.Expire(now)
	}
	l.mu.Unlock()
	l.sendRecovery(ctx, v, out)
}

// sendRecovery sends recovery messages, batched by host, and passes the replies to the replica
// until it has no more messages to send.
func (l *ledgerHost) sendRecovery(ctx context.Context, v *view, out []*pb.LedgerMessage) {
	for to, batch := range byReceiver(out) {
		l.h.wg.Add(1)
		go func() {
			defer l.h.wg.Done()
			for _, m := range l.call(ctx, v, to, batch) {
				l.mu.Lock()
				next := l.replica.HandleReply(m, l.h.o.Clock.Now().UnixMilli())
				l.mu.Unlock()
				l.sendRecovery(ctx, v, next)
			}
		}()
	}
}

func byReceiver(ms []*pb.LedgerMessage) map[string][]*pb.LedgerMessage {
	out := map[string][]*pb.LedgerMessage{}
	for _, m := range ms {
		out[m.To] = append(out[m.To], m)
	}
	return out
}

// call delivers a batch to one replica and returns its replies.
func (l *ledgerHost) call(ctx context.Context, v *view, to string, batch []*pb.LedgerMessage) []*pb.LedgerMessage {
	if to == l.h.o.ID {
		return l.handle(&pb.LedgerBatch{Messages: batch}).Messages
	}
	host, ok := v.hosts[to]
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerCallTimeout)
	defer cancel()
	req := l.h.request()
	req.Body = &pb.Request_Ledger{Ledger: &pb.LedgerBatch{Messages: batch}}
	resp, err := l.h.o.Peers.Call(ctx, host.Peer, req)
	if err != nil {
		return nil
	}
	return resp.GetLedger().GetMessages()
}

// handle passes other hosts' messages to the replica and returns its replies.
func (l *ledgerHost) handle(b *pb.LedgerBatch) *pb.LedgerBatch {
	now := l.h.o.Clock.Now().UnixMilli()
	out := &pb.LedgerBatch{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range b.Messages {
		if reply := l.replica.Handle(m, now); reply != nil {
			out.Messages = append(out.Messages, reply)
		}
	}
	return out
}

// replicas returns the replica set of a key whose home region is home.
func (l *ledgerHost) replicas(v *view, home, key string) []string {
	members := ledgerMembers(v.Record.RegionHosts(home))
	return ledger.ReplicaSet(members, ledger.SlotOf(key), v.Record.Ledger.Replicas)
}

// do runs an operation. It returns nil once a majority has decided it; op.Result is the
// decision.
func (l *ledgerHost) do(ctx context.Context, v *view, home string, op *ledger.Op) *failure.Error {
	return l.drive(ctx, v, op, op.Start(l.proposer, l.replicas(v, home, op.Key)))
}

// drive sends an operation's first messages and continues until it is decided, ctx ends or
// ledgerOpTimeout has passed.
func (l *ledgerHost) drive(ctx context.Context, v *view, op *ledger.Op, out []*pb.LedgerMessage) *failure.Error {
	ctx, cancel := context.WithTimeout(ctx, ledgerOpTimeout)
	defer cancel()
	began := l.h.o.Clock.Now()
	pause := 5 * time.Millisecond
	for op.Result == ledger.Pending {
		// Each round has its own channel, so that late replies to an earlier round are not
		// counted in this one.
		replies := make(chan *pb.LedgerMessage, len(out))
		sent := len(out)
		l.sendOp(ctx, v, out, replies)
		out = l.awaitOp(ctx, op, sent, replies)
		if op.Result != ledger.Pending {
			break
		}
		if ctx.Err() != nil {
			l.h.o.Metrics.Add("ledger_no_quorum", 1)
			return noQuorum(op)
		}
		if out == nil {
			time.Sleep(pause + rand.N(pause))
			pause = min(2*pause, 200*time.Millisecond)
			out = op.Retry()
		}
	}
	l.h.o.Metrics.Observe("ledger_op", l.h.o.Clock.Now().Sub(began))
	return nil
}

// noQuorumRetryAfter is the retry time after no majority was reachable.
const noQuorumRetryAfter = 2 * time.Second

func noQuorum(op *ledger.Op) *failure.Error {
	if op.Full {
		return failure.New(failure.LedgerFull, failure.NotRun, "the ledger of the home region is full").WithRetryAfter(noQuorumRetryAfter)
	}
	return failure.New(failure.NoQuorum, failure.NotRun,
		"no majority of the key's replicas in the home region answered").WithRetryAfter(noQuorumRetryAfter)
}

// sendOp sends an operation's messages. Each reply, or nil if there is none, is sent to
// replies, which must have room for all of them.
func (l *ledgerHost) sendOp(ctx context.Context, v *view, out []*pb.LedgerMessage, replies chan<- *pb.LedgerMessage) {
	for _, m := range out {
		l.h.wg.Add(1)
		go func() {
			defer l.h.wg.Done()
			got := l.call(ctx, v, m.To, []*pb.LedgerMessage{m})
			var reply *pb.LedgerMessage
			if len(got) == 1 {
				reply = got[0]
			}
			replies <- reply
		}()
	}
}

// awaitOp passes replies to the operation until it has messages to send, is decided, or can no
// longer reach a majority with this ballot.
func (l *ledgerHost) awaitOp(ctx context.Context, op *ledger.Op, sent int, replies <-chan *pb.LedgerMessage) []*pb.LedgerMessage {
	for range sent {
		select {
		case <-ctx.Done():
			return nil
		case m := <-replies:
			if m == nil {
				continue
			}
			if next := op.Handle(m); next != nil {
				return next
			}
		}
		if op.Result != ledger.Pending || op.Stuck() {
			return nil
		}
	}
	return nil
}

// query reads a key without a promise and returns the newest value found, or nil.
func (l *ledgerHost) query(ctx context.Context, v *view, home, key string) *pb.LedgerValue {
	members := l.replicas(v, home, key)
	replies := make(chan *pb.LedgerMessage, len(members))
	ctx, cancel := context.WithTimeout(ctx, ledgerCallTimeout)
	defer cancel()
	l.sendOp(ctx, v, ledger.Queries(key, l.proposer, members), replies)
	var best *pb.LedgerMessage
	for range members {
		select {
		case m := <-replies:
			if m.GetValue() == nil {
				continue
			}
			if ledger.State(m.Value.State) == ledger.Done {
				return m.Value
			}
			if best == nil || m.Accepted.GetRound() > best.Accepted.GetRound() {
				best = m
			}
		case <-ctx.Done():
			return best.GetValue()
		}
	}
	return best.GetValue()
}

// abandon records an attempt whose claim was given up before the request was dispatched. If a
// replica still holds the claim, this process may take it over.
func (l *ledgerHost) abandon(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned[attempt] = true
	l.abandonedOrder = append(l.abandonedOrder, attempt)
	if len(l.abandonedOrder) > maxAbandoned {
		delete(l.abandoned, l.abandonedOrder[0])
		l.abandonedOrder = l.abandonedOrder[1:]
	}
}

func (l *ledgerHost) isAbandoned(attempt string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.abandoned[attempt]
}
