package entry

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamefork/sesamefork/internal/app/forward"
	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/core/residency"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
	"github.com/sesamefork/sesamefork/internal/port"
)

// attemptForward forwards the request to an entry host of another failure domain. It checks the
// residency rules again with the configuration in force now, so that nothing is sent to a
// region that they no longer permit.
func (h *Host) attemptForward(ctx context.Context, stall *time.Timer, x *execution, p *placement.Place) result {
	v := h.config.Load()
	if !residency.Allowed(v.Record, x.r.residencyQuery(), p.Region) {
		return result{
			stage: retry.BeforeSend, connected: true,
			err: failure.New(failure.Residency, failure.NotRun, "the residency rules do not allow region %s any more", p.Region),
		}
	}
	h.o.Metrics.Add("forwarded", 1)
	req := h.request()
	req.Traceparent = port.Traceparent(ctx)
	req.Body = &pb.Request_Forward{Forward: h.forwardMessage(x)}
	stream, sent, err := h.o.Peers.Open(ctx, p.Address, req, x.r.Body)
	if err != nil {
		res := result{stage: retry.BeforeSend, err: failure.As(err, failure.Unknown)}
		if sent {
			res.stage = retry.Sent
		}
		// The host is not at fault if the message cannot be encoded.
		res.connected = !sent && (failure.Is(err, failure.MessageInvalid) || failure.Is(err, failure.BodyTooLarge))
		return res
	}
	defer func() { _ = stream.Close() }()
	return h.readForward(ctx, x, p, stream, stall)
}

type frameReader interface {
	Recv() (*pb.ForwardFrame, error)
}

// readForward relays the frames of a forwarded request's answer. The answer is complete only
// with an end frame that says so.
func (h *Host) readForward(ctx context.Context, x *execution, p *placement.Place, stream frameReader, stall *time.Timer) result {
	var hd Head
	var headed bool
	var body []byte
	hold := h.o.AnswerBudget.NewHold(freeAnswerBytes)
	defer hold.Release()
	for {
		frame, err := stream.Recv()
		if errors.Is(err, membudget.ErrSpent) { // for data that is unread
			return notHeld()
		}
		if err != nil {
			stage, outcome := retry.Sent, failure.As(err, failure.Unknown).Outcome
			switch {
			case headed:
				stage = retry.MidAnswer
			case outcome == failure.NotRun:
				stage = retry.BeforeSend
			}
			return result{
				stage: stage, connected: callerCanceled(ctx),
				err: failure.New(failure.PeerUnreachable, outcome, "the link to %s broke off: %s", p.ServerID, err),
			}
		}
		stall.Reset(h.o.StallTimeout)
		switch f := frame.Frame.(type) {
		case *pb.ForwardFrame_Head:
			var fault *failure.Error
			if hd, fault = headOf(f.Head, p.Region); fault != nil {
				return result{stage: retry.Sent, err: fault, connected: true}
			}
			headed = true
		case *pb.ForwardFrame_Chunk:
			if len(body)+len(f.Chunk) > maxAnswerBytes {
				return result{stage: retry.MidAnswer, err: failure.New(failure.Truncated, failure.Unknown, "the answer is over %d bytes", maxAnswerBytes), connected: true}
			}
			if !hold.Grow(2 * int64(len(f.Chunk))) { // append copies the body as it grows
				return notHeld()
			}
			if !x.r.Stream {
				body = append(body, f.Chunk...)
				continue
			}
			if err := x.sendData(hd, f.Chunk); err != nil {
				return sinkFailed(err)
			}
			hold.Release()
			x.countToken(h)
		case *pb.ForwardFrame_End:
			return h.endForward(x, hd, headed, body, f.End)
		}
	}
}

func headOf(m *pb.ForwardHead, region string) (Head, *failure.Error) {
	status, header, f := forward.ReadHead(m)
	return Head{Status: status, Header: header, Region: region, Server: m.Server}, f
}

// sendData sends a piece of the answer to the sink, after the head. A stream is complete with
// its last event, even if the link breaks afterwards.
func (x *execution) sendData(hd Head, data []byte) error {
	if err := x.sendHead(hd); err != nil {
		return err
	}
	if err := x.sink.Data(data); err != nil {
		return err
	}
	x.ended = x.r.Stream && bytes.HasPrefix(data, doneEvent)
	return nil
}

func (h *Host) endForward(x *execution, hd Head, headed bool, body []byte, end *pb.ForwardEnd) result {
	if end.Complete && headed {
		if !x.r.Stream {
			if err := x.sendData(hd, body); err != nil {
				return sinkFailed(err)
			}
		}
		return result{stage: retry.Answered, connected: true}
	}
	f := failure.New(failure.Code(end.Code), failure.Outcome(end.Outcome), "%s", end.Detail)
	f.RetryAfter = time.Duration(end.RetryAfterMs) * time.Millisecond
	stage := retry.Sent
	switch {
	case headed:
		stage = retry.MidAnswer
	case f.Outcome == failure.NotRun:
		stage = retry.Refused
	}
	return result{stage: stage, err: f, connected: true}
}

func (h *Host) forwardMessage(x *execution) *pb.Forward {
	r := x.r
	f := &pb.Forward{
		RequestId: r.ID, AttemptId: fmt.Sprintf("%s.%d", r.ID, x.attempts), Path: append(slices.Clone(r.Path), h.o.ID),
		Team: r.Team, Kind: r.Kind, Model: r.Target, Service: r.Service, Idempotent: r.Idempotent,
		Method: r.Method, BodySize: uint64(len(r.Body)), ResumeTokens: uint32(x.relayed),
		Stream: r.Stream, Priority: int32(r.Priority), Key: r.Key, OriginRegion: r.Origin,
	}
	if !r.Deadline.IsZero() {
		f.DeadlineMs = max(1, r.Deadline.Sub(h.o.Clock.Now()).Milliseconds())
	}
	f.Uri, f.UriLatin1 = forward.Text(r.URI)
	f.Headers = forward.Headers(forwardableHeaders(r.Header))
	return f
}

// streamSink is a Sink that sends the answer back over the link of a forwarded request.
type streamSink struct {
	s port.IncomingStream
}

// Head implements Sink.
func (s *streamSink) Head(hd Head) error {
	m := &pb.ForwardHead{Status: uint32(hd.Status), Server: hd.Server, Headers: forward.Headers(hd.Header)}
	return s.s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_Head{Head: m}})
}

// Data implements Sink. It splits a large answer into several frames.
func (s *streamSink) Data(data []byte) error {
	const frameBytes = 256 << 10
	for {
		n := min(len(data), frameBytes)
		if err := s.s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_Chunk{Chunk: data[:n]}}); err != nil {
			return err
		}
		if data = data[n:]; len(data) == 0 {
			return nil
		}
	}
}

// HandleForward executes a request that another entry host forwarded.
func (h *Host) HandleForward(ctx context.Context, req *pb.Request, s port.IncomingStream) {
	h.recordStamp(req.From, "", req.Stamp, req.MaxSchema)
	f := req.GetForward()
	ctx = port.WithTraceparent(ctx, req.Traceparent)
	ctx, span := h.o.Tracer.Start(ctx, "receive", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("sesame.request_id", f.RequestId), attribute.String("sesame.from", req.From)))
	defer span.End()
	fail := h.executeForward(ctx, f, s)
	_ = s.Send(forward.End(fail)) // the sending entry host may have disconnected
}

// checkPath refuses a request that was already forwarded: the path of a forward must consist of
// the one host where the request entered, and not be this host.
func (h *Host) checkPath(path []string) *failure.Error {
	if len(path) == 1 && path[0] != h.o.ID {
		return nil
	}
	return failure.New(failure.Circulating, failure.NotRun, "the request was forwarded along %v before", path)
}

func (h *Host) executeForward(ctx context.Context, f *pb.Forward, s port.IncomingStream) *failure.Error {
	if f := h.checkPath(f.Path); f != nil {
		return f
	}
	v := h.config.Load()
	if v == nil {
		return failure.New(failure.NotReady, failure.NotRun, "entry host %s has no configuration yet", h.o.ID)
	}
	body, err := s.Body(f.BodySize, uint64(h.o.MaxBody))
	if err != nil {
		return failure.As(err, failure.NotRun)
	}
	ctx, cancel := s.CancelOnClose(ctx)
	defer cancel()
	return h.Execute(ctx, h.forwardedRequest(v, f, body), &streamSink{s})
}

func (h *Host) forwardedRequest(v *view, f *pb.Forward, body []byte) *Request {
	r := &Request{
		ID: f.AttemptId, Team: f.Team, Kind: f.Kind, Target: f.Model, Service: f.Service, Idempotent: f.Idempotent,
		Method: f.Method, URI: forward.ReadText(f.Uri, f.UriLatin1), Header: forward.ReadHeaders(f.Headers), Body: body, Stream: f.Stream, Priority: int(f.Priority),
		Key: f.Key, Resume: int(f.ResumeTokens), Path: f.Path, Origin: f.OriginRegion, Weight: 1,
	}
	if t, ok := v.Record.Team(f.Team); ok {
		r.Weight = t.Weight
	}
	if f.DeadlineMs > 0 {
		r.Deadline = h.o.Clock.Now().Add(time.Duration(f.DeadlineMs) * time.Millisecond)
	}
	if !f.Service {
		if p, err := ParsePrompt(body); err == nil {
			r.Prefixes, r.Tokens, r.MaxTokens = PrefixChain(f.Model, p.Text), EstimateTokens(p.Text), p.MaxTokens
		}
	}
	return r
}
