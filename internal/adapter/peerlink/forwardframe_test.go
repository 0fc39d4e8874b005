package peerlink

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// largeForward returns a forward whose body has n bytes.
func largeForward(n int) *pb.Request {
	release := "v1"
	return &pb.Request{From: "h1", Incarnation: 7, Stamp: &pb.ConfigStamp{Generation: 1, Version: 9}, Traceparent: "00-1", MaxSchema: 3, Body: &pb.Request_RoutedForward{
		RoutedForward: &pb.RoutedForward{
			RequestId: "r1", Route: "chat", Uri: "/chat/1", Body: bytes.Repeat([]byte("ab"), n/2), RemainingMs: 1500, Attempts: 2, Release: &release,
			Headers: []*pb.Header{{Name: "X-A", Value: "1"}, {Name: "X-B", Value: "2"}}, UriLatin1: true,
		},
	}}
}

// TestForwardFrames checks that each end reads the forwards that the other one, or a host of the version before, writes.
func TestForwardFrames(t *testing.T) {
	for _, size := range []int{0, 2, chunkSize, chunkSize + 2, 1 << 20} {
		want := largeForward(size)
		var now, before bytes.Buffer
		if err := writeForward(&now, want); err != nil {
			t.Fatal(err)
		}
		if err := WriteMessage(&before, want); err != nil {
			t.Fatal(err)
		}
		if now.Len() != before.Len() {
			t.Errorf("%d bytes: a frame of %d bytes, before %d", size, now.Len(), before.Len())
		}
		for name, frame := range map[string][]byte{"now": now.Bytes(), "before": before.Bytes()} {
			first, old := new(pb.Request), new(pb.Request)
			hold := membudget.New(4 << 20).NewHold(freeForwardBytes)
			if err := readFirst(bytes.NewReader(frame), first, hold); err != nil {
				t.Fatal(err)
			}
			if err := ReadMessage(bytes.NewReader(frame), old); err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(first, want) || !proto.Equal(old, want) {
				t.Errorf("%d bytes written %s are read as another forward", size, name)
			}
			if size > chunkSize && hold.Bytes() < int64(size) {
				t.Errorf("%d bytes written %s hold %d", size, name, hold.Bytes())
			}
		}
	}
}

// TestForwardWithoutMemory checks that a forward for which there is no memory is refused as not run, and that calls and
// small forwards pass.
func TestForwardWithoutMemory(t *testing.T) {
	spent := membudget.New(1)
	var frame bytes.Buffer
	if err := writeForward(&frame, largeForward(1<<20)); err != nil {
		t.Fatal(err)
	}
	err := readFirst(&frame, new(pb.Request), spent.NewHold(freeForwardBytes))
	if f := failure.As(err, ""); f == nil || f.Code != failure.NoMemory || f.Outcome != failure.NotRun || f.RetryAfter == 0 {
		t.Errorf("failure %v", err)
	}
	if frame.Len() > 0 {
		t.Errorf("%d bytes of the refused forward are unread", frame.Len())
	}
	call := &pb.Request{From: "h1", Body: &pb.Request_Propose{Propose: &pb.Propose{Command: &pb.Command{Record: make([]byte, 1<<20)}}}}
	for name, req := range map[string]*pb.Request{"small forward": largeForward(1000), "large call": call} {
		frame.Reset()
		if err := writeForward(&frame, req); err != nil {
			t.Fatal(err)
		}
		if err := readFirst(&frame, new(pb.Request), spent.NewHold(freeForwardBytes)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestOldestHandshakeEndsForOthers checks that connections without a handshake do not keep hosts from linking.
func TestOldestHandshakeEndsForOthers(t *testing.T) {
	o := Options{Key: []byte("key"), MaxHandshakes: 4}
	s := startLinkServer(t, o)
	var silent []net.Conn
	for range 3 * o.MaxHandshakes {
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		silent = append(silent, conn)
	}
	client := NewClient(o)
	defer client.Close()
	if _, err := client.Call(t.Context(), s.Addr(), &pb.Request{From: "h1", Body: &pb.Request_Probe{Probe: &pb.Probe{}}}); err != nil {
		t.Errorf("a host beside %d silent connections: %v", len(silent), err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.handshakes) > o.MaxHandshakes {
		t.Errorf("%d connections are in their handshake, %d are allowed", len(s.handshakes), o.MaxHandshakes)
	}
}

// startLinkServer starts a server that ends with the test.
func startLinkServer(t *testing.T, o Options) *Server {
	t.Helper()
	s, err := NewServer("127.0.0.1:0", o, &echoHandler{}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return s
}
