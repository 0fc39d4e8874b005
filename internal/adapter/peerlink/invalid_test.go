package peerlink

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

const notText = "\xff\xfe"

// invalidHandler answers a status query with a message that cannot be encoded.
type invalidHandler struct{ echoHandler }

func (h *invalidHandler) HandleRequest(ctx context.Context, req *pb.Request) *pb.Response {
	if req.GetStatusQuery() != nil {
		return &pb.Response{Body: &pb.Response_Status{Status: &pb.HostStatus{Host: notText}}}
	}
	return h.echoHandler.HandleRequest(ctx, req)
}

// sessionOf returns the client's session to an address.
func sessionOf(c *Client, addr string) *session {
	c.mu.Lock()
	p := c.peers[addr]
	c.mu.Unlock()
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session
}

// TestInvalidMessageEndsOneCall guards against links that end for everybody because one message cannot be encoded.
func TestInvalidMessageEndsOneCall(t *testing.T) {
	server, err := NewServer("127.0.0.1:0", Options{Key: []byte("k")}, &invalidHandler{}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = server.Run(ctx) }()
	var counted counter
	client := NewClient(Options{Key: []byte("k"), Metrics: &counted})
	defer func() { client.Close(); cancel(); <-ended }()
	call := func(req *pb.Request) error {
		_, err := client.Call(ctx, server.Addr(), req)
		return err
	}
	if err := call(&pb.Request{From: "h"}); err != nil {
		t.Fatal(err)
	}
	first := sessionOf(client, server.Addr())
	for _, c := range []struct {
		name    string
		run     func() error
		code    failure.Code
		outcome failure.Outcome
	}{
		{"request", func() error { return call(&pb.Request{From: notText}) }, failure.MessageInvalid, failure.NotRun},
		{"request over the limit", func() error {
			return call(&pb.Request{Body: &pb.Request_Propose{Propose: &pb.Propose{Command: &pb.Command{Record: make([]byte, MaxFrame)}}}})
		}, failure.BodyTooLarge, failure.NotRun},
		{"response", func() error {
			return call(&pb.Request{Body: &pb.Request_StatusQuery{StatusQuery: &pb.StatusQuery{}}})
		}, failure.MessageInvalid, failure.Unknown},
		{"forward", func() error {
			_, sent, err := client.Open(ctx, server.Addr(), &pb.Request{Body: &pb.Request_RoutedForward{RoutedForward: &pb.RoutedForward{Uri: notText}}}, nil)
			if sent {
				t.Error("the forward is reported as sent")
			}
			return err
		}, failure.MessageInvalid, failure.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := counted.Load()
			f := failure.As(c.run(), "")
			if f == nil || f.Code != c.code || f.Outcome != c.outcome {
				t.Errorf("ended with %v, want %s, %s", f, c.code, c.outcome)
			}
			if err := call(&pb.Request{From: "h"}); err != nil || sessionOf(client, server.Addr()) != first {
				t.Errorf("the next call ended with %v, on the same link: %v", err, sessionOf(client, server.Addr()) == first)
			}
			if counted.Load() != before+1 {
				t.Errorf("%d messages counted, want 1", counted.Load()-before)
			}
		})
	}
}

// counter counts invalid messages.
type counter struct {
	atomic.Int64
	noObservations
}

func (c *counter) Add(_ string, n int64) { c.Int64.Add(n) }

// TestUndecodableRequestEndsOneCall guards against links that end for everybody because a host of another build sends a
// request that cannot be decoded.
func TestUndecodableRequestEndsOneCall(t *testing.T) {
	l := newTestLink(t, "k", "k")
	if _, err := l.client.Call(context.Background(), l.server.Addr(), &pb.Request{From: "h"}); err != nil {
		t.Fatal(err)
	}
	s := sessionOf(l.client, l.server.Addr())
	s.mu.Lock()
	s.lastCall++
	number, answer := s.lastCall, make(chan *pb.Response, 1)
	s.pending[number] = answer
	invalid := &pb.Request{Call: number, Traceparent: "-", Body: &pb.Request_Propose{Propose: &pb.Propose{Command: &pb.Command{Evacuate: "XXXX"}}}}
	err := WriteMessage(replacing{s.stream, "XXXX", "\xff\xff\xff\xff"}, invalid)
	s.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	if resp := <-answer; resp.GetRefusal().GetCode() != string(failure.BadRequest) {
		t.Errorf("answered with %v", resp)
	}
	if _, err := l.client.Call(context.Background(), l.server.Addr(), &pb.Request{From: "h"}); err != nil || sessionOf(l.client, l.server.Addr()) != s {
		t.Errorf("the next call ended with %v", err)
	}
}

// replacing writes with one text in place of another of the same length.
type replacing struct {
	*linkStream
	old, new string
}

func (w replacing) Write(p []byte) (int, error) {
	return w.linkStream.Write(bytes.ReplaceAll(p, []byte(w.old), []byte(w.new)))
}

type noObservations struct{}

func (noObservations) Observe(string, time.Duration) {}
