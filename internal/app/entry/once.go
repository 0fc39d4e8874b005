package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamefork/sesamefork/internal/app/forward"
	"github.com/sesamefork/sesamefork/internal/core/ledger"
	"github.com/sesamefork/sesamefork/internal/core/membership"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// runOnce runs a non-idempotent request: it claims the request's key in the home region's
// ledger, runs at most one attempt that reaches a backend server, and stores the answer for
// repeated requests with the key.
func (h *Host) runOnce(ctx context.Context, x *execution) *failure.Error {
	team, _ := x.view.Record.Team(x.r.Team) // exists: the residency check found it
	region := team.Home
	for {
		op := h.claimOp(x)
		if f := h.claim(ctx, x, region, op); f != nil {
			return f
		}
		switch op.Result {
		case ledger.Won:
			x.explain.addLedgerStep("claim won")
			return h.runClaimed(ctx, x, op)
		case ledger.Taken:
			x.explain.addLedgerStep("key belongs to attempt " + op.Value.Attempt)
			if again, f := h.attach(ctx, x, region, op); !again {
				return f
			}
		case ledger.Reused:
			return failure.New(failure.KeyReused, failure.NotRun, "the key was used for a request with another method, path or body")
		default:
			x.explain.addLedgerStep("key may be older than the ledger's records")
			return failure.New(failure.LedgerForgot, failure.Unknown,
				"the key may be older than the ledger's records; state when it was issued in Sesame-Key-Issued-Ms, or use a new key if the work was certainly not done")
		}
	}
}

// claim runs a claim operation. A claim without a majority may still be held by a minority of
// the replicas, so it is released in the background: otherwise a resend at another host would
// see the key as in progress.
func (h *Host) claim(ctx context.Context, x *execution, region string, op *ledger.Op) *failure.Error {
	ctx, span := h.o.Tracer.Start(ctx, "ledger.claim", trace.WithAttributes(
		attribute.String("sesame.request_id", x.r.ID), attribute.String("sesame.home", region)))
	defer span.End()
	f := h.ledger.do(ctx, x.view, region, op)
	if f == nil {
		return nil
	}
	x.explain.addLedgerStep("claim: " + f.Detail)
	h.ledger.abandon(op.Attempt)
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		h.releaseClaim(x, region, op)
	}()
	return f
}

// releaseClaim releases a claim that was given up before the request was dispatched.
func (h *Host) releaseClaim(x *execution, region string, claim *ledger.Op) {
	op := &ledger.Op{
		Kind: ledger.OpRelease, Key: claim.Key, Attempt: claim.Attempt,
		RetentionMS: claim.RetentionMS, NowMS: h.o.Clock.Now().UnixMilli(),
	}
	_ = h.ledger.do(context.Background(), x.view, region, op)
}

// claimOp returns the operation that claims the request's key. A key without an issue time is
// assumed to have the greatest age that a key can have.
func (h *Host) claimOp(x *execution) *ledger.Op {
	now := h.o.Clock.Now().UnixMilli()
	retention := x.view.Record.Ledger.RetentionMS
	key, issued := x.r.Key, x.r.IssuedMS
	if key == "" {
		// A key generated here is new, whenever the ledger's records begin: its issue time lies
		// in the future so that it is never too old for them.
		key, issued = "request/"+x.r.ID, now+retention
	}
	if issued == 0 {
		issued = now - retention
	}
	return &ledger.Op{
		Kind: ledger.OpClaim, Key: x.r.Team + "\x00" + key, Attempt: x.r.ID, Owner: h.owner(), Digest: requestDigest(x.r),
		IssuedMS: issued, RetentionMS: retention, NowMS: now, Abandoned: h.ledger.isAbandoned,
	}
}

// requestDigest returns a digest of the request's target, method, URI and body, by which the
// ledger detects a key that is reused for another request.
func requestDigest(r *Request) []byte {
	d := sha256.New()
	for _, s := range []string{r.Target, r.Method, r.URI} {
		d.Write([]byte(s))
		d.Write([]byte{0})
	}
	d.Write(r.Body)
	return d.Sum(nil)
}

// captureSink is a Sink that holds the answer until the ledger has recorded it.
type captureSink struct {
	head Head
	body []byte
}

// Head implements Sink.
func (c *captureSink) Head(hd Head) error {
	c.head = hd
	return nil
}

// Data implements Sink.
func (c *captureSink) Data(b []byte) error {
	c.body = append(c.body, b...)
	return nil
}

// runClaimed runs the request and records its outcome in the ledger before the caller receives
// it. The work continues when the caller disconnects.
func (h *Host) runClaimed(ctx context.Context, x *execution, claim *ledger.Op) *failure.Error {
	out := x.sink
	held := &captureSink{}
	x.sink = held
	work, cancel := detached(ctx, x.r.Deadline)
	defer cancel()
	f := h.run(work, x)
	if f == nil {
		h.recordEnd(x, claim, ledger.OpFinish, h.answerOf(x, held))
		return deliver(out, held.head, held.body)
	}
	if f.Outcome == failure.NotRun {
		h.recordEnd(x, claim, ledger.OpRelease, nil)
		return f
	}
	f.Outcome = failure.Unknown
	h.recordEnd(x, claim, ledger.OpFinish, &pb.LedgerAnswer{})
	return f
}

// detached returns a context that is not canceled with the caller's connection and keeps the
// request's trace and deadline.
func detached(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx = context.WithoutCancel(ctx)
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func deliver(out Sink, hd Head, body []byte) *failure.Error {
	if err := out.Head(hd); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Done)
	}
	if err := out.Data(body); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Done)
	}
	return nil
}

// answerOf returns the answer as the ledger stores it. A body over the limit is omitted: a
// resend then receives the outcome without the answer.
func (h *Host) answerOf(x *execution, c *captureSink) *pb.LedgerAnswer {
	a := &pb.LedgerAnswer{Status: uint32(c.head.Status), Region: c.head.Region, Headers: forward.Headers(c.head.Header)}
	if len(c.body) > x.view.Record.Ledger.MaxAnswerBytes {
		a.Omitted = true
		return a
	}
	a.Body = c.body
	return a
}

// recordEnd records the end of a claimed attempt in the ledger: its answer (status 0 for an
// unknown outcome), or that it did not run.
func (h *Host) recordEnd(x *execution, claim *ledger.Op, kind ledger.OpKind, a *pb.LedgerAnswer) {
	op := &ledger.Op{
		Kind: kind, Key: claim.Key, Attempt: claim.Attempt, Answer: a,
		RetentionMS: claim.RetentionMS, NowMS: h.o.Clock.Now().UnixMilli(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), ledgerOpTimeout)
	defer cancel()
	f := h.ledger.drive(ctx, x.view, op, op.StartAfterClaim(claim))
	switch {
	case f != nil:
		h.o.Metrics.Add("ledger_unsettled", 1)
		x.explain.addLedgerStep("outcome not recorded: " + f.Detail)
	case op.Result == ledger.Won && kind == ledger.OpRelease:
		x.explain.addLedgerStep("released: not run")
	case op.Result == ledger.Won:
		x.explain.addLedgerStep("answer recorded")
	default:
		h.o.Metrics.Add("ledger_conflicts", 1)
		h.o.Log.Error(nil, "ledger conflict", "request_id", x.r.ID, "result", int(op.Result))
	}
}

// attachPollInterval is the interval at which a resend queries the first request's outcome.
const attachPollInterval = 50 * time.Millisecond

// ownerGrace is how long the owner of a claim may be missing from the lists of live hosts
// before it counts as stopped: a draining host is removed from the lists first, and finishes
// its requests afterwards.
const ownerGrace = 5 * time.Second

// attach answers a resend with the stored answer. Until there is one it waits, as long as the
// host that runs the first request is alive. again is true if the first attempt turned out not
// to have run, so that the key can be claimed again.
func (h *Host) attach(ctx context.Context, x *execution, region string, op *ledger.Op) (again bool, f *failure.Error) {
	value := op.Value
	seen := h.o.Clock.Now()
	for {
		switch ledger.State(value.GetState()) {
		case ledger.Done:
			return false, h.replay(x, value.Answer)
		case ledger.Released:
			return true, nil
		}
		now := h.o.Clock.Now()
		alive, restarted := h.ownerAlive(x.view, value.GetOwner())
		if alive {
			seen = now
		}
		if restarted || now.Sub(seen) > ownerGrace {
			return false, failure.New(failure.InProgress, failure.Unknown,
				"the entry host of the first request with this key has stopped or restarted; whether the request ran is not known")
		}
		select {
		case <-ctx.Done():
			return false, failure.New(failure.InProgress, failure.Unknown, "the first request with this key is still in flight").
				WithRetryAfter(time.Second)
		case <-time.After(attachPollInterval):
		}
		if v := h.ledger.query(ctx, x.view, region, op.Key); v != nil {
			value = v
		}
	}
}

// owner returns the name of this run of the process as the owner of a claim.
func (h *Host) owner() string {
	return h.o.ID + "/" + strconv.FormatUint(h.incarnation, 10)
}

// minRestartGap is the least difference between a host's incarnations before and after a
// restart: the incarnation starts as the time in ms, and a refutation raises it by only one.
const minRestartGap = 200

// ownerAlive reports whether the process that owns a claim is listed as alive, and whether its
// host has restarted since the claim.
func (h *Host) ownerAlive(v *view, name string) (alive, restarted bool) {
	id, text, _ := strings.Cut(name, "/")
	incarnation, _ := strconv.ParseUint(text, 10, 64)
	if id == h.o.ID {
		return incarnation == h.incarnation, incarnation != h.incarnation
	}
	h.mu.Lock()
	m, known := h.members.Get(id)
	h.mu.Unlock()
	if known {
		return m.State == membership.Alive, m.Incarnation > incarnation+minRestartGap
	}
	for _, e := range h.liveHosts(v, v.hosts[id].FailureDomain) {
		if e.ID == id {
			return true, false
		}
	}
	return false, false
}

func (h *Host) replay(x *execution, a *pb.LedgerAnswer) *failure.Error {
	if a.GetStatus() == 0 {
		return failure.New(failure.BackendLost, failure.Unknown, "the first request with this key ended without a known outcome")
	}
	if a.Omitted {
		return failure.New(failure.AnswerNotKept, failure.Done, "the first request with this key was done; its answer was too large to keep")
	}
	h.o.Metrics.Add("answers_replayed", 1)
	x.explain.addLedgerStep("stored answer replayed")
	hd := Head{Status: int(a.Status), Header: http.Header{}, Region: a.Region}
	for _, e := range a.Headers {
		hd.Header.Add(e.Name, e.Value)
	}
	return deliver(x.sink, hd, a.Body)
}
