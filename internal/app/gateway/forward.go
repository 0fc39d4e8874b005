package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/app/access"
	"github.com/sesamefork/sesamefork/internal/app/forward"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
	"github.com/sesamefork/sesamefork/internal/port"
)

// attemptForward forwards the request to an entry host of another region.
func (g *Gateway) attemptForward(ctx context.Context, x *execution, c *dispatch.Choice) result {
	began := g.o.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.o.Metrics.Add("forwarded", 1)
	req := g.newPeerRequest()
	req.Traceparent = port.Traceparent(ctx)
	req.Body = &pb.Request_RoutedForward{RoutedForward: g.newForward(x, began)}
	stream, sent, err := g.o.Peers.Open(ctx, c.Host.Peer, req, nil)
	if err != nil {
		res := result{stage: retry.BeforeSend, outcome: dispatch.ConnectionFailed, err: failure.As(err, failure.Unknown)}
		switch {
		case sent:
			res.stage = retry.Sent
		case failure.Is(err, failure.MessageInvalid), failure.Is(err, failure.BodyTooLarge):
			res.outcome = dispatch.NotSent
		}
		return res
	}
	defer func() { _ = stream.Close() }()
	res := result{}
	g.readForward(x, c, stream, &res, began)
	return res
}

func (g *Gateway) newForward(x *execution, now time.Time) *pb.RoutedForward {
	left := x.route.Attempts - x.ran
	m := &pb.RoutedForward{
		Route: x.route.Name, Service: x.service, Method: x.r.Method, Host: x.r.Host,
		Body: x.r.Body, RemainingMs: x.deadline.Sub(now).Milliseconds(), OriginRegion: g.o.Region,
		ResumeAfter: x.lastEvent, Attempts: uint32(max(1, left)), Headers: forward.Headers(x.r.Header),
		Team: x.teamName(), KeyHash: x.r.Key.Hash, Release: x.release,
	}
	m.RequestId, m.RequestIdLatin1 = forward.Text(x.r.ID)
	m.Uri, m.UriLatin1 = forward.Text(x.r.URI)
	return m
}

type frameReader interface {
	Recv() (*pb.ForwardFrame, error)
}

// readForward relays the frames of a forwarded request's answer to the caller. The answer is
// complete only if an end frame states so.
func (g *Gateway) readForward(x *execution, c *dispatch.Choice, stream frameReader, res *result, began time.Time) {
	var hd Head
	body := g.newAnswerBuffer()
	defer body.release()
	headReceived := false
	for {
		frame, err := stream.Recv()
		if errors.Is(err, membudget.ErrSpent) { // for data that is unread
			g.endForwardAtLimit(membudget.ErrSpent, res)
			return
		}
		if err != nil {
			res.stage, res.outcome = retry.Sent, dispatch.ConnectionFailed
			outcome := failure.As(err, failure.Unknown).Outcome
			if outcome == failure.NotRun {
				res.stage = retry.BeforeSend
			}
			res.err = failure.New(failure.PeerUnreachable, outcome, "the link to %s broke off: %s", c.Host.ID, err)
			return
		}
		switch f := frame.Frame.(type) {
		case *pb.ForwardFrame_Head:
			var fault *failure.Error
			if hd, fault = headOf(f.Head); fault != nil {
				res.stage, res.outcome, res.err = retry.Sent, dispatch.Failed, fault
				return
			}
			headReceived = true
			g.recordProgress(c, res, began)
		case *pb.ForwardFrame_Chunk:
			if hd.Length >= 0 {
				if err := body.add(f.Chunk); err != nil {
					g.endForwardAtLimit(err, res)
					return
				}
				continue
			}
			g.bindToRelease(x, hd)
			if !body.hold.Grow(int64(len(f.Chunk))) {
				g.endForwardAtLimit(membudget.ErrSpent, res)
				return
			}
			if f := x.sendEvent(hd, f.Chunk); f != nil {
				res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.CallerEnded, f
				return
			}
			body.hold.Release()
		case *pb.ForwardFrame_End:
			g.finishForward(x, &bufferedAnswer{hd, body}, headReceived, f.End, res)
			return
		}
	}
}

// finishForward handles the end frame of a forwarded request's answer.
func (g *Gateway) finishForward(x *execution, answer *bufferedAnswer, headReceived bool, end *pb.ForwardEnd, res *result) {
	if end.Complete && headReceived {
		res.stage = retry.Answered
		switch {
		case answer.head.Length < 0:
			if f := x.sendHead(answer.head); f != nil {
				res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.CallerEnded, f
			}
		case x.headSent:
			res.stage = retry.Refused
			res.err = failure.New(failure.BackendRefused, failure.NotRun, "the server answered %d instead of the rest of the stream", answer.head.Status)
		default:
			if f := deliver(x, answer); f != nil {
				res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.CallerEnded, f
			}
		}
		return
	}
	f := forward.Failure(end)
	res.err, res.outcome, res.stage = f, dispatch.Failed, retry.Sent
	switch {
	case f.Outcome != failure.NotRun || headReceived:
	case f.Code == failure.Draining: // another host of the region may take it
		res.stage, res.outcome = retry.BeforeSend, dispatch.ConnectionFailed
	default:
		res.stage, res.outcome = retry.Refused, dispatch.Refused
	}
}

// recordHostRefusal records that an entry host of another region refused a forward because the servers there
// have asked it for pauses.
func (g *Gateway) recordHostRefusal(c *dispatch.Choice, f *failure.Error) {
	if f == nil || f.Code != failure.ServersPaused {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RecordHostRefusal(c, f.RetryAfter, g.o.Clock.Now())
}

func headOf(m *pb.ForwardHead) (Head, *failure.Error) {
	status, header, f := forward.ReadHead(m)
	return Head{Status: status, Header: header, Length: m.Length, Release: m.Release}, f
}

// streamSink writes an answer to the stream of a forward.
type streamSink struct {
	s port.IncomingStream
}

// Head implements Sink.
func (s *streamSink) Head(hd Head) error {
	m := &pb.ForwardHead{Status: uint32(hd.Status), Length: hd.Length, Headers: forward.Headers(hd.Header), Release: hd.Release}
	return s.s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_Head{Head: m}})
}

// Data implements Sink.
func (s *streamSink) Data(data []byte) error {
	return s.s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_Chunk{Chunk: data}})
}

// HandleForward executes a request that an entry host of another region forwarded.
func (g *Gateway) HandleForward(ctx context.Context, req *pb.Request, s port.IncomingStream) {
	ctx, cancel := s.CancelOnClose(ctx)
	defer cancel()
	g.enter() // until the end of the answer is sent
	defer g.inflight.Add(-1)
	_ = s.Send(forward.End(g.receive(ctx, req, &streamSink{s}))) // the sender may have disconnected
}

func (g *Gateway) receive(ctx context.Context, req *pb.Request, sink Sink) *failure.Error {
	f := req.GetRoutedForward()
	if f == nil {
		return failure.New(failure.BadRequest, failure.NotRun, "this host accepts only forwards of routed requests")
	}
	if g.draining.Load() {
		g.o.Metrics.Add("forwards_refused_while_draining", 1)
		g.o.Log.Info("forward refused", "request_id", forward.ReadText(f.RequestId, f.RequestIdLatin1), "from", req.From, "reason", "this host is shutting down")
		return g.DrainingFailure()
	}
	// The sender's newer configuration may forbid the request here, or allow it.
	if configstate.Newer(req.Stamp, g.stamp()) && (g.o.Off.Has(dispatch.ConfigFromSender) || !g.catchUp(ctx, req)) {
		return notRun(failure.NotReady, 0, "version %d is in force here, the sender has version %d", g.Version(), req.Stamp.GetVersion())
	}
	uri := forward.ReadText(f.Uri, f.UriLatin1)
	r := &Request{
		ID: forward.ReadText(f.RequestId, f.RequestIdLatin1), Method: f.Method, Host: f.Host, URI: uri, Path: pathOf(uri), Header: forward.ReadHeaders(f.Headers), Body: f.Body,
		Arrived: g.o.Clock.Now(), Wait: max(time.Millisecond, time.Duration(f.RemainingMs)*time.Millisecond),
		ResumeAfter: f.ResumeAfter, Origin: f.OriginRegion, attempts: int(f.Attempts), service: f.Service, release: f.Release, team: f.Team, Key: access.Credential{Hash: f.KeyHash, Fault: "the request was forwarded without a key"},
		traceparent: req.Traceparent,
	}
	if g.o.ReadPrompt != nil {
		r.Prompt = g.o.ReadPrompt(r.Header)
	}
	return g.execute(ctx, r, sink)
}
