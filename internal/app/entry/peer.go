package entry

import (
	"context"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// HandleRequest implements port.PeerHandler: it answers messages of other hosts.
func (h *Host) HandleRequest(ctx context.Context, req *pb.Request) *pb.Response {
	h.recordStamp(req.From, "", req.Stamp, req.MaxSchema)
	resp := &pb.Response{From: h.o.ID, Stamp: h.Stamp(), MaxSchema: configstate.CurrentSchema}
	if h.config.Load() == nil && !alwaysServed(req) {
		resp.Refusal = &pb.Refusal{Code: string(failure.NotReady), Detail: "no configuration yet"}
		return resp
	}
	resp.Body = &pb.Response_Empty{Empty: &pb.Empty{}}
	switch b := req.Body.(type) {
	case *pb.Request_Probe:
		resp.Body = &pb.Response_ProbeAck{ProbeAck: h.answerProbe(req, b.Probe)}
	case *pb.Request_IndirectProbe:
		resp.Body = &pb.Response_ProbeAck{ProbeAck: h.answerIndirect(ctx, b.IndirectProbe)}
	case *pb.Request_DomainUpdate:
		h.mergeUpdate(req.From, b.DomainUpdate)
	case *pb.Request_SummaryUpdate:
		h.mergeSummaries(b.SummaryUpdate)
	case *pb.Request_ConfigFetch:
		if blob := h.configReply(b.ConfigFetch); blob != nil {
			resp.Body = &pb.Response_Config{Config: blob}
		}
	case *pb.Request_ConfigOffer:
		// The stamp of the request was recorded above.
	case *pb.Request_Ledger:
		resp.Body = &pb.Response_Ledger{Ledger: h.ledger.handle(b.Ledger)}
	case *pb.Request_QuarantineUpdate:
		h.o.CrashWatch.Merge(b.QuarantineUpdate.Records, req.From)
	case *pb.Request_StatusQuery:
		resp.Body = &pb.Response_Status{Status: h.status()}
	default:
		resp.Body = nil
		resp.Refusal = &pb.Refusal{Code: string(failure.BadRequest), Detail: "an entry host does not take this message"}
	}
	h.mu.Lock()
	resp.Incarnation = h.members.Incarnation()
	h.mu.Unlock()
	return resp
}

func alwaysServed(req *pb.Request) bool {
	switch req.Body.(type) {
	case *pb.Request_ConfigFetch, *pb.Request_ConfigOffer, *pb.Request_StatusQuery:
		return true
	}
	return false
}

func (h *Host) status() *pb.HostStatus {
	return &pb.HostStatus{
		Host: h.o.ID, Role: "entry", Region: h.o.Region, FailureDomain: h.o.FailureDomain,
		Stamp: h.Stamp(), MaxSchema: configstate.CurrentSchema, Ready: h.Ready() == nil,
	}
}
