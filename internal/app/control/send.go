package control

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/consensus"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// sender delivers consensus messages to one address in batches. It drops messages if its queue is
// full, because the consensus core retransmits them.
type sender struct {
	queue chan *pb.RaftMessage
}

// senderKey identifies one of the two senders of an address. Appends and snapshots may be large,
// and heartbeats and votes must not wait behind them. Appends stay in order among themselves: an
// append that overtakes an earlier one is rejected.
type senderKey struct {
	addr string
	bulk bool
}

const (
	maxQueuedMessages = 256
	maxBatchMessages  = 64
	sendTimeout       = 2 * time.Second
	// maxInFlightBatches limits the unanswered batches to one address: one second of heartbeats.
	maxInFlightBatches = 8
)

func (r *Replica) sendTo(ctx context.Context, m *pb.RaftMessage) {
	addr := r.addressOf(m.To)
	if addr == "" {
		return
	}
	t := consensus.MessageType(m.Type)
	key := senderKey{addr, t == consensus.MsgAppend || t == consensus.MsgSnapshot}
	s := r.senders[key]
	if s == nil {
		s = &sender{queue: make(chan *pb.RaftMessage, maxQueuedMessages)}
		r.senders[key] = s
		r.wg.Add(1)
		go r.runSender(ctx, key, s)
	}
	select {
	case s.queue <- m:
	default:
	}
}

// addressOf returns a store's address, or "" if it is not known. A replica that has just joined
// does not know the group's members yet and uses the addresses of the live control hosts.
func (r *Replica) addressOf(store string) string {
	if addr := r.node.Address(store); addr != "" || r.fleet == nil {
		return addr
	}
	for _, c := range r.fleet.liveControls() {
		if c.Store == store {
			return c.Peer
		}
	}
	return ""
}

func (r *Replica) runSender(ctx context.Context, key senderKey, s *sender) {
	defer r.wg.Done()
	// Heartbeats and votes do not wait for the answer to earlier batches, which takes longer than
	// the heartbeat interval between regions.
	inFlight := make(chan struct{}, maxInFlightBatches)
	for {
		var batch []*pb.RaftMessage
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			batch = append(batch, m)
		}
		for len(batch) < maxBatchMessages && len(s.queue) > 0 {
			batch = append(batch, <-s.queue)
		}
		if key.bulk {
			r.deliver(ctx, key.addr, batch)
			continue
		}
		inFlight <- struct{}{}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.deliver(ctx, key.addr, batch)
			<-inFlight
		}()
	}
}

// deliver sends a batch and waits for the answer. The consensus core retransmits lost messages.
func (r *Replica) deliver(ctx context.Context, addr string, batch []*pb.RaftMessage) {
	req := r.request()
	req.Body = &pb.Request_Consensus{Consensus: &pb.Consensus{Messages: batch}}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if _, err := r.o.Peers.Call(ctx, addr, req); err != nil {
		r.o.Log.V(1).Info("consensus messages not delivered", "peer", addr, "messages", len(batch), "reason", err.Error())
	}
}

// request returns a request with the sender's fields set.
func (r *Replica) request() *pb.Request {
	return &pb.Request{From: r.o.Host, Stamp: r.offered().Stamp, MaxSchema: configstate.CurrentSchema}
}

// tokenBucket limits the rate of loads from the weight store.
type tokenBucket struct{ limiter *rate.Limiter }

func newTokenBucket(perMinute float64) *tokenBucket {
	return &tokenBucket{rate.NewLimiter(rate.Limit(perMinute/60), max(1, int(perMinute)))}
}

// take takes a token, or returns the time until one is available.
func (b *tokenBucket) take(now time.Time) (wait time.Duration) {
	res := b.limiter.ReserveN(now, 1)
	if !res.OK() {
		return time.Minute
	}
	wait = res.DelayFrom(now)
	if wait > 0 {
		res.CancelAt(now)
	}
	return wait
}
