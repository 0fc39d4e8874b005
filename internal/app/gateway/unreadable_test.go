package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/app/forward"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// transmit encodes a message and decodes it into out, as a link does.
func transmit(t testing.TB, m, out proto.Message) {
	t.Helper()
	data, err := proto.Marshal(m)
	if err == nil {
		err = proto.Unmarshal(data, out)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestForwardCarriesAnyBytes guards against requests and answers that cannot be forwarded because a caller or a server
// sent bytes that are not valid UTF-8.
func TestForwardCarriesAnyBytes(t *testing.T) {
	const raw = "caf\xe9"
	for name, edit := range map[string]func(*Request){
		"nothing":    func(*Request) {},
		"header":     func(r *Request) { r.Header.Set("X-Note", raw) },
		"request ID": func(r *Request) { r.ID = raw },
		"query":      func(r *Request) { r.URI += "?q=" + raw },
		"path":       func(r *Request) { r.URI, r.Path = r.Path+raw, r.Path+raw },
	} {
		t.Run(name, func(t *testing.T) {
			sender, receiver := newFixture(t), newFixture(t)
			r := sender.request("/order/1")
			edit(r)
			x, f := sender.g.begin(context.Background(), r, &memorySink{})
			if f != nil {
				t.Fatal(f)
			}
			receiver.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
				a := ranAnswer(http.StatusOK, "ok")
				a.Head.Header.Set("X-Note", raw)
				return a, true, nil
			}
			got := new(pb.Request)
			transmit(t, &pb.Request{Stamp: receiver.g.stamp(), Body: &pb.Request_RoutedForward{RoutedForward: sender.g.newForward(x, sender.clock.Now())}}, got)
			sink := &memorySink{}
			if f := receiver.g.receive(context.Background(), got, sink); f != nil {
				t.Fatal(f)
			}
			sent := receiver.backends.sent()[0].Request
			if sent.ID != r.ID || sent.URI != r.URI || sent.Path != r.Path || sent.Header.Get("X-Note") != r.Header.Get("X-Note") {
				t.Errorf("received as %q %q %q %v", sent.ID, sent.URI, sent.Path, sent.Header)
			}
			head := new(pb.ForwardHead)
			transmit(t, &pb.ForwardHead{Status: http.StatusOK, Headers: forward.Headers(sink.head.Header)}, head)
			if hd, f := headOf(head); f != nil || hd.Header.Get("X-Note") != raw {
				t.Errorf("the answer's field was received as %q, %v", hd.Header.Get("X-Note"), f)
			}
		})
	}
}

// TestUnreadableErrorIsForwarded guards against ends of answers that cannot be sent because an error quotes what a
// server sent.
func TestUnreadableErrorIsForwarded(t *testing.T) {
	for _, f := range []*failure.Error{
		failure.New(failure.BackendLost, failure.Unknown, "malformed line: %s", "\xff\xfe"),
		failure.Wrap(http.ErrNotSupported, failure.BackendLost, failure.Unknown),
	} {
		got := new(pb.ForwardFrame)
		transmit(t, forward.End(f), got)
		if got.GetEnd().Code != string(failure.BackendLost) {
			t.Errorf("received as %v", got)
		}
	}
}

// TestHostIsUsedAfterAnInvalidMessage guards against an entry host that gets no forwards because one could not be
// encoded.
func TestHostIsUsedAfterAnInvalidMessage(t *testing.T) {
	for _, c := range []struct {
		code   failure.Code
		served bool
	}{{failure.MessageInvalid, true}, {failure.BodyTooLarge, true}, {failure.PeerUnreachable, false}} {
		t.Run(string(c.code), func(t *testing.T) {
			f := newFixture(t)
			f.view(func(v *pb.FleetView) {
				for _, s := range v.Servers {
					s.Sequence, s.Leaving = 2, true
				}
			})
			f.peers.err = failure.New(c.code, failure.NotRun, "not sent")
			if fail := f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{}); fail == nil || fail.Outcome != failure.NotRun {
				t.Errorf("ended with %v", fail)
			}
			f.peers.err = nil
			f.peers.frames = []*pb.ForwardFrame{
				{Frame: &pb.ForwardFrame_Head{Head: &pb.ForwardHead{Status: http.StatusOK, Length: 0}}}, forward.End(nil),
			}
			if fail := f.g.Execute(context.Background(), f.request("/order/2"), &memorySink{}); (fail == nil) != c.served {
				t.Errorf("the next request ended with %v", fail)
			}
		})
	}
}

// BenchmarkForward encodes and decodes a forward with ten header fields.
func BenchmarkForward(b *testing.B) {
	f := newFixture(b)
	r := f.request("/order/1")
	for n := range 10 {
		r.Header.Set(fmt.Sprint("X-Benchmark-Field-", n), "a value of usual length, 1460,80")
	}
	x, fail := f.g.begin(context.Background(), r, &memorySink{})
	if fail != nil {
		b.Fatal(fail)
	}
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		data, err := proto.Marshal(f.g.newForward(x, f.clock.Now()))
		got := new(pb.RoutedForward)
		if err == nil {
			err = proto.Unmarshal(data, got)
		}
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		_ = forward.ReadHeaders(got.Headers)
	}
	b.ReportMetric(float64(size), "wire-B")
}
