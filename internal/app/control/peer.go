package control

import (
	"context"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/consensus"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// HandleRequest implements port.PeerHandler.
func (r *Replica) HandleRequest(ctx context.Context, req *pb.Request) *pb.Response {
	resp := &pb.Response{From: r.o.Host, Stamp: r.offered().Stamp, MaxSchema: configstate.CurrentSchema}
	if err := r.handle(ctx, req, resp); err != nil {
		f := failure.As(err, failure.NotRun)
		resp.Refusal = &pb.Refusal{Code: string(f.Code), Detail: f.Detail}
	}
	return resp
}

func (r *Replica) handle(ctx context.Context, req *pb.Request, resp *pb.Response) error {
	resp.Body = &pb.Response_Empty{Empty: &pb.Empty{}}
	switch b := req.Body.(type) {
	case *pb.Request_Consensus:
		return r.post(ctx, func() {
			for _, m := range b.Consensus.Messages {
				// The store at this address may have been replaced. Messages for the lost store
				// must not reach the new one.
				if m.To == r.o.Identity.Store {
					r.node.Step(m)
				}
			}
		})
	case *pb.Request_ConfigFetch:
		if blob := r.answerConfigFetch(b.ConfigFetch); blob != nil {
			resp.Body = &pb.Response_Config{Config: blob}
		}
	case *pb.Request_VersionReport:
		r.reports.add(b.VersionReport.Hosts, r.o.Clock.Now())
	case *pb.Request_Propose:
		res, err := r.executeIfLeader(ctx, b.Propose)
		resp.Body = &pb.Response_ProposeResult{ProposeResult: encodeResult(res, err)}
	case *pb.Request_FleetSync:
		if r.fleet == nil {
			return errNoFleet
		}
		resp.Body = &pb.Response_FleetView{FleetView: r.fleet.handleSync(ctx, b.FleetSync)}
		resp.Stamp = r.offered().Stamp
	case *pb.Request_StreamQuery:
		if r.fleet == nil {
			return errNoFleet
		}
		resp.Body = &pb.Response_StreamOrigins{StreamOrigins: r.fleet.originOf(b.StreamQuery)}
	case *pb.Request_ProcessQuery:
		if r.fleet == nil {
			return errNoFleet
		}
		resp.Body = &pb.Response_ProcessProofs{ProcessProofs: r.fleet.processProofs(b.ProcessQuery)}
	case *pb.Request_ControlExchange:
		if r.fleet == nil {
			return errNoFleet
		}
		if !r.fleet.applyExchange(b.ControlExchange) {
			return failure.New(failure.PeerRefused, "", "exchange refers to an entry host that is not known here; a full exchange is required")
		}
	case *pb.Request_QuarantineUpdate:
		resp.Body = &pb.Response_QuarantineUpdate{QuarantineUpdate: r.answerQuarantineUpdate(b.QuarantineUpdate, req.From)}
	case *pb.Request_QuotaAsk:
		resp.Body = &pb.Response_QuotaGrant{QuotaGrant: r.answerQuotaAsk(req.From, b.QuotaAsk)}
	case *pb.Request_StatusQuery:
		st, err := r.Status(ctx)
		if err != nil {
			return err
		}
		resp.Body = &pb.Response_Status{Status: st}
	default:
		return failure.New(failure.BadRequest, failure.NotRun, "a control host does not handle this message type")
	}
	return nil
}

var errNoFleet = failure.New(failure.BadRequest, failure.NotRun, "this group's record lists the hosts; sync requests and exchanges are not supported")

// executeIfLeader executes another replica's proposal only if this replica is the leader, so that a
// forwarded proposal is not forwarded again.
func (r *Replica) executeIfLeader(ctx context.Context, p *pb.Propose) (*pb.ProposeResult, error) {
	if !r.proposals.begin() {
		return nil, failure.New(failure.NoLeader, failure.NotRun, "%s is shutting down", r.o.Host)
	}
	defer r.proposals.end()
	if isOperatorOrder(p) {
		return nil, errNoAppliedIndex
	}
	leader := false
	if err := r.post(ctx, func() { leader = r.node.Role() == consensus.Leader }); err != nil {
		return nil, err
	}
	if !leader {
		return nil, failure.New(failure.NoLeader, failure.NotRun, "%s is not the leader", r.o.Host)
	}
	return r.execute(ctx, p)
}

// encodeResult encodes an error in a result. A missing leader with outcome unknown becomes the code
// DeadlineExceeded, which operators' tools resend.
func encodeResult(res *pb.ProposeResult, err error) *pb.ProposeResult {
	if err == nil {
		return res
	}
	f := failure.As(err, failure.Unknown)
	code := f.Code
	if f.Code == failure.NoLeader && f.Outcome == failure.Unknown {
		code = failure.DeadlineExceeded
	}
	return &pb.ProposeResult{
		Code: string(code), Detail: f.Detail, CurrentVersion: f.Version, RetryAfterMs: f.RetryAfter.Milliseconds(),
	}
}

func (r *Replica) answerConfigFetch(f *pb.ConfigFetch) *pb.ConfigBlob {
	p := r.offered()
	var base []byte
	for _, a := range p.Recent {
		if a.Version == f.HaveVersion {
			base = a.Record
		}
	}
	return configstate.UpdateFor(p.Blob, f.HaveGeneration, f.HaveVersion, base)
}

// HandleForward implements port.PeerHandler. It refuses every request, because control hosts do not
// serve callers.
func (r *Replica) HandleForward(_ context.Context, _ *pb.Request, s port.IncomingStream) {
	_ = s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_End{End: &pb.ForwardEnd{
		Outcome: string(failure.NotRun), Code: string(failure.PeerRefused), Detail: "a control host does not serve callers' requests",
	}}})
}

// Status describes the replica and, on the leader, the group.
func (r *Replica) Status(ctx context.Context) (*pb.HostStatus, error) {
	var st consensus.Status
	if err := r.post(ctx, func() { st = r.node.Status() }); err != nil {
		return nil, err
	}
	out := &pb.HostStatus{
		Host: r.o.Host, Role: st.Role.String(), Region: r.o.Region, FailureDomain: r.o.FailureDomain,
		Stamp: r.published.Load().Stamp, MaxSchema: configstate.CurrentSchema, Store: r.o.Identity.Store,
		Leader: st.Leader, Term: st.Term, Commit: st.Commit, Ready: st.Leader != "",
		SurvivableLosses: int32(consensus.SurvivableLosses(st)),
	}
	for _, s := range st.Replicas {
		out.Replicas = append(out.Replicas, &pb.ReplicaStatus{
			Id: s.ID, Learner: s.Learner, Match: s.Match, Recent: s.Recent, Address: s.Address, CaughtUp: s.CaughtUp,
		})
	}
	out.Hosts = r.reports.list(r.o.Clock.Now())
	return out, nil
}

// LeaderStatus returns the leader's status, requested from the leader if this replica is a
// follower. It returns the own status if the leader is unknown or does not answer.
func (r *Replica) LeaderStatus(ctx context.Context) (*pb.HostStatus, error) {
	own, err := r.Status(ctx)
	if err != nil || own.Leader == "" || own.Leader == own.Store {
		return own, err
	}
	var addr string
	if err := r.post(ctx, func() { addr = r.node.Address(own.Leader) }); err != nil {
		return nil, err
	}
	req := r.request()
	req.Body = &pb.Request_StatusQuery{StatusQuery: &pb.StatusQuery{}}
	resp, err := r.o.Peers.Call(ctx, addr, req)
	if err != nil || resp.GetStatus() == nil {
		return own, nil
	}
	return resp.GetStatus(), nil
}

// Accepted returns the newest configuration that this replica has applied.
func (r *Replica) Accepted() *Published { return r.published.Load() }
