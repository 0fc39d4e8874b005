package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/app/lateorder"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Operators' orders without a version of their own can be applied in the wrong order: a host that was frozen reads an
// order that its caller has long repeated elsewhere and followed by another. Therefore
//   - a replica that takes an order states the log index that it had applied by then, and checks after that whether the
//     caller still waits for it. As a network may delay an order and the end of its connection alike, the order must
//     begin a connection, whose age bounds that of the order (package lateorder), and
//   - the leader appends an order to its log only if that has no entry on the same subject after the stated index.
//
// An order that waits anywhere after it was taken is thus refused once a later one stands in the log, and one that was
// taken later finds its caller gone. Entries are applied without conditions, so replicas of the previous build apply the
// same.

// submitOrder has the leader execute an operator's order. While the caller waits, it submits a superseded order again
// with a newer applied index: the order may be superseded only because this replica was behind.
func (r *Replica) submitOrder(ctx context.Context, o *pb.OperatorOrder) (*pb.ProposeResult, error) {
	taken := r.o.Clock.Now()
	if c := port.CallerConnOf(ctx); c != nil {
		taken = taken.Add(-c.UnreadFor())
	}
	for {
		if err := r.takeOrder(ctx, o, taken); err != nil {
			return nil, r.refuseOrder(o, err)
		}
		res, err := r.runOnLeader(ctx, &pb.Propose{OperatorOrder: proto.Clone(o).(*pb.OperatorOrder)})
		switch {
		case failure.Is(err, failure.BadRequest) && failure.As(err, "").Detail == errEmptyProposal.Detail:
			return nil, failure.New(failure.NoLeader, failure.NotRun, "the leader runs a build that does not check whether an order is superseded")
		case !failure.Is(err, failure.OrderSuperseded):
			return res, err
		}
		r.o.Log.Info("order superseded", "order", describeOrder(o), "applied_index", o.AppliedIndex, "reason", failure.As(err, "").Detail)
		if _, err := r.Current(ctx); err != nil { // waits until this replica has applied what is committed
			return nil, err
		}
		select {
		case <-time.After(r.o.Tick): // the entry that supersedes the order may not be committed yet
		case <-ctx.Done():
		}
	}
}

// takeOrder states the log index that this replica has applied, and then checks that the caller still waits for the
// order, which was received at the given time.
func (r *Replica) takeOrder(ctx context.Context, o *pb.OperatorOrder, received time.Time) error {
	if err := r.post(ctx, func() { o.AppliedIndex = r.node.Status().Applied }); err != nil {
		return err
	}
	if f := lateorder.Check(ctx, r.o.Clock.Now().Sub(received)); f != nil {
		return f
	}
	return nil
}

func (r *Replica) refuseOrder(o *pb.OperatorOrder, err error) error {
	f := failure.As(err, failure.NotRun)
	r.o.Log.Info("order refused", "order", describeOrder(o), "code", string(f.Code), "reason", f.Detail)
	return f
}

// describeOrder names an order in log lines.
func describeOrder(o *pb.OperatorOrder) string {
	switch c := o.Command; {
	case c.GetEvacuate() != "":
		return "evacuate " + c.Evacuate
	case c.GetRestore() != "":
		return "restore " + c.Restore
	case c.GetLift() != nil:
		return "lift " + configstate.Subject(c)
	case o.Order != nil:
		return o.Order.Action + " at " + o.Order.Address
	}
	return "change of replicas"
}

// logEvacuation logs an applied order on a failure domain.
func (r *Replica) logEvacuation(index uint64, c *pb.Command, revision uint64) {
	if c.Evacuate == "" && c.Restore == "" {
		return
	}
	domains, _ := r.machine.Evacuated()
	r.o.Log.Info("order applied", "order", describeOrder(&pb.OperatorOrder{Command: c}), "log_index", index, "term", r.node.Term(),
		"evacuated", domains, "evacuation_revision", revision)
}

// isOperatorOrder reports whether a proposal is an order that needs an applied index. Hosts of the previous build send
// such orders without one.
func isOperatorOrder(p *pb.Propose) bool {
	c := p.Command
	return p.Order != nil || p.Replica != nil || c.GetEvacuate() != "" || c.GetRestore() != "" || c.GetLift() != nil
}

var errNoAppliedIndex = failure.New(failure.PeerRefused, failure.NotRun, "the order does not state the log index that its receiver had applied")

// executeOperatorOrder executes an order on this replica, which was the leader when the caller checked.
func (r *Replica) executeOperatorOrder(ctx context.Context, o *pb.OperatorOrder) (*pb.ProposeResult, error) {
	switch {
	case o.Command != nil:
		if configstate.Subject(o.Command) == "" {
			return nil, failure.New(failure.BadRequest, failure.NotRun, "the command is no operator's order")
		}
		return r.commitChange(ctx, o.Command, &o.AppliedIndex)
	case o.Order != nil:
		return r.executeOrder(ctx, o.Order, o.AppliedIndex)
	case o.Replica != nil:
		return r.executeReplicaChange(ctx, o.Replica, o.AppliedIndex)
	}
	return nil, errEmptyProposal
}

// checkSuperseded returns the error of an order whose receiver had applied the log up to an index, if the log has a
// later entry on the same subject. It must run on the goroutine of Run.
func (r *Replica) checkSuperseded(subject string, appliedIndex uint64) error {
	var unapplied []configstate.LoggedCommand
	for _, e := range r.node.Unapplied() {
		if c := commandOf(e); c != nil {
			unapplied = append(unapplied, configstate.LoggedCommand{Index: e.Index, Command: c})
		}
	}
	if last, superseded := r.orders.Superseded(subject, appliedIndex, unapplied); superseded {
		return supersededError(subject, last, appliedIndex)
	}
	return nil
}

func supersededError(subject string, last, appliedIndex uint64) error {
	return failure.New(failure.OrderSuperseded, failure.NotRun,
		"an order on the %s may stand at log index %d, the receiver of this one had applied %d", subject, last, appliedIndex)
}
