package peerlink

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoHandler responds to a call with the sender's name and to a forward with its body.
type echoHandler struct {
	release  chan struct{} // a forward named "held" waits here
	canceled chan struct{} // closed when the client closes the held forward's stream
}

func (h *echoHandler) HandleRequest(_ context.Context, req *pb.Request) *pb.Response {
	return &pb.Response{From: req.From, Body: &pb.Response_Empty{Empty: &pb.Empty{}}}
}

func (h *echoHandler) HandleForward(ctx context.Context, req *pb.Request, s port.IncomingStream) {
	f := req.GetForward()
	body, err := s.Body(f.BodySize, 1<<20)
	if err != nil {
		_ = s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_End{End: &pb.ForwardEnd{Code: string(failure.As(err, "").Code)}}})
		return
	}
	if f.RequestId == "held" {
		ctx, cancel := s.CancelOnClose(ctx)
		defer cancel()
		select {
		case <-ctx.Done():
			close(h.canceled)
		case <-h.release:
		}
		return
	}
	_ = s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_Chunk{Chunk: body}})
	_ = s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_End{End: &pb.ForwardEnd{Complete: true}}})
}

type testLink struct {
	server  *Server
	client  *Client
	handler *echoHandler
}

func newTestLink(t *testing.T, serverKey, clientKey string) *testLink {
	t.Helper()
	l := &testLink{handler: &echoHandler{release: make(chan struct{}), canceled: make(chan struct{})}}
	var err error
	l.server, err = NewServer("127.0.0.1:0", Options{Key: []byte(serverKey)}, l.handler, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		_ = l.server.Run(ctx)
	}()
	l.client = NewClient(Options{Key: []byte(clientKey)})
	t.Cleanup(func() {
		l.client.Close()
		cancel()
		wg.Wait()
	})
	return l
}

func (l *testLink) forward(ctx context.Context, id string, body []byte) ([]byte, error) {
	req := &pb.Request{Body: &pb.Request_Forward{Forward: &pb.Forward{RequestId: id, BodySize: uint64(len(body))}}}
	s, _, err := l.client.Open(ctx, l.server.Addr(), req, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	f, err := s.Recv()
	if err != nil {
		return nil, err
	}
	return f.GetChunk(), nil
}

// TestAnswersReachTheirOwnRequest runs 200 forwards concurrently on a link with one more
// forward whose response is never read. Each must receive its own body.
func TestAnswersReachTheirOwnRequest(t *testing.T) {
	l := newTestLink(t, "k", "k")
	slow := &pb.Request{Body: &pb.Request_Forward{Forward: &pb.Forward{RequestId: "slow", BodySize: 900_000}}}
	s, _, err := l.client.Open(context.Background(), l.server.Addr(), slow, bytes.Repeat([]byte("x"), 900_000))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			want := bytes.Repeat([]byte(fmt.Sprintf("%d,", i)), 1000)
			got, err := l.forward(context.Background(), "r", want)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("request %d: %d bytes, %v", i, len(got), err)
			}
		}()
	}
	wg.Wait()
}

func TestStreamCancellationReachesServer(t *testing.T) {
	l := newTestLink(t, "k", "k")
	ctx, cancel := context.WithCancel(context.Background())
	req := &pb.Request{Body: &pb.Request_Forward{Forward: &pb.Forward{RequestId: "held"}}}
	s, _, err := l.client.Open(ctx, l.server.Addr(), req, nil)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	<-l.handler.canceled
	_ = s.Close()
}

func TestWrongKeyIsRefused(t *testing.T) {
	l := newTestLink(t, "right", "wrong")
	_, err := l.client.Call(context.Background(), l.server.Addr(), &pb.Request{From: "h"})
	if !failure.Is(err, failure.PeerRefused) {
		t.Errorf("got %v, want %s", err, failure.PeerRefused)
	}
}

func TestOtherProtocolIsRefused(t *testing.T) {
	l := newTestLink(t, "k", "k")
	conn, err := net.Dial("tcp", l.server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n" + string(make([]byte, 64)))); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if rest, err := io.ReadAll(conn); err == nil && len(rest) > len(magic)+challengeSize {
		t.Errorf("received %d bytes after an invalid handshake", len(rest))
	}
}

func TestFrames(t *testing.T) {
	huge := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	for _, c := range []struct {
		name string
		data []byte
		code failure.Code
	}{
		{"oversize", huge, failure.BodyTooLarge},
		{"not protobuf", append(binary.BigEndian.AppendUint32(nil, 3), 0xff, 0xff, 0xff), failure.BadRequest},
		{"cut short", append(binary.BigEndian.AppendUint32(nil, 100), 1, 2), failure.Internal},
		{"empty", nil, failure.Internal},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := ReadMessage(bytes.NewReader(c.data), &pb.Request{})
			if err == nil || failure.As(err, "").Code != c.code {
				t.Errorf("got %v, want %s", err, c.code)
			}
		})
	}
}

func FuzzReadMessage(f *testing.F) {
	for _, m := range []proto.Message{
		&pb.Request{From: "h", Body: &pb.Request_Probe{Probe: &pb.Probe{}}},
		&pb.Request{Body: &pb.Request_Forward{Forward: &pb.Forward{RequestId: "r", Path: []string{"a"}}}},
		&pb.Request{Body: &pb.Request_Ledger{Ledger: &pb.LedgerBatch{Messages: []*pb.LedgerMessage{{Kind: 1, Slot: 9999}}}}},
	} {
		var b bytes.Buffer
		if err := WriteMessage(&b, m); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &pb.Request{}
		if ReadMessage(bytes.NewReader(data), m) != nil {
			return
		}
		if err := WriteMessage(io.Discard, m); err != nil {
			t.Errorf("%q was read and cannot be written: %s", data, err)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	h := &echoHandler{}
	s, err := NewServer("127.0.0.1:0", Options{Key: []byte("k")}, h, logr.Discard())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	c := NewClient(Options{Key: []byte("k")})
	defer c.Close()
	req := &pb.Request{From: "h", Body: &pb.Request_Probe{Probe: &pb.Probe{}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Call(ctx, s.Addr(), req); err != nil {
			b.Fatal(err)
		}
	}
}

// TestConnectRetriesUnansweredAttempt leaves the first connection attempt unanswered, as when its
// SYN packet is lost or the host is powered off. The second attempt must start when the first one
// times out, before the operating system would retransmit.
func TestConnectRetriesUnansweredAttempt(t *testing.T) {
	l := newTestLink(t, "key", "key")
	dial, attempts := l.client.dialTCP, 0
	l.client.dialTCP = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if attempts++; attempts == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, network, addr)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := l.client.Call(ctx, l.server.Addr(), &pb.Request{From: "a"}); err != nil {
		t.Fatal(err)
	}
	if attempts != 2 {
		t.Errorf("%d attempts, want 2", attempts)
	}
}

// TestConnectTimesOutWithoutAnswer leaves all connection attempts unanswered. The call must
// fail at the dial timeout.
func TestConnectTimesOutWithoutAnswer(t *testing.T) {
	l := newTestLink(t, "key", "key")
	l.client.dialTCP = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_, err := l.client.Call(context.Background(), l.server.Addr(), &pb.Request{From: "a"})
	if !failure.Is(err, failure.PeerUnreachable) {
		t.Errorf("got %v, want %s", err, failure.PeerUnreachable)
	}
}
