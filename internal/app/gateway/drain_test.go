package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// endSink keeps the end of a forward.
type endSink struct {
	port.IncomingStream
	end *pb.ForwardEnd
}

func (s *endSink) CancelOnClose(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

func (s *endSink) Send(f *pb.ForwardFrame) error {
	s.end = f.GetEnd()
	return nil
}

// TestForwardIsRefusedWhileDraining guards against forwards that begin at a host that stops and are cut at its end.
func TestForwardIsRefusedWhileDraining(t *testing.T) {
	for _, path := range []string{"/match/1", "/chat/1", "/order/1", "/stock/1"} {
		f := newFixture(t)
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ranAnswer(200, "ok"), true, nil }
		f.g.Drain(time.Minute)
		s := &endSink{}
		f.g.HandleForward(context.Background(), &pb.Request{Stamp: f.g.stamp(), Body: &pb.Request_RoutedForward{RoutedForward: &pb.RoutedForward{
			RequestId: "r1", Host: "h", Uri: path, Service: "llm", Method: "POST", RemainingMs: 3000, OriginRegion: "east", Attempts: 1,
		}}}, s)
		if s.end.GetCode() != string(failure.Draining) || s.end.GetOutcome() != string(failure.NotRun) {
			t.Errorf("%s: ended with %v, want %s, %s", path, s.end, failure.Draining, failure.NotRun)
		}
		if n := len(f.backends.sent()); n != 0 {
			t.Errorf("%s: %d attempts at servers", path, n)
		}
	}
}

// leavingServers removes the servers of the own region, so that requests are forwarded, and adds entry hosts to the
// other region.
func leavingServers(hosts int) func(v *pb.FleetView) {
	return func(v *pb.FleetView) {
		for _, s := range v.Servers {
			s.Leaving = true
		}
		for n := range hosts - 1 {
			v.Hosts = append(v.Hosts, &pb.FleetHost{Id: fmt.Sprintf("host-e%d", n+2), Peer: fmt.Sprintf("10.2.0.%d:7", n+2), Region: "east", FailureDomain: "e1", Ready: true})
		}
	}
}

// TestForwardGoesOnAtAnotherHostOfTheRegion guards against requests that are refused, or retried elsewhere at the cost of
// the retry budget, because the chosen host of the other region stops.
func TestForwardGoesOnAtAnotherHostOfTheRegion(t *testing.T) {
	served := []*pb.ForwardFrame{headFrame(200, 2), chunkFrame("ok"), endFrame(failure.Done, "")}
	for _, path := range []string{"/order/1", "/stock/1"} {
		f := newFixture(t)
		f.view(leavingServers(4))
		stopping := map[string]bool{}
		f.peers.framesOf = func(addr string) []*pb.ForwardFrame {
			if len(stopping) < 3 {
				stopping[addr] = true
				return []*pb.ForwardFrame{endFrame(failure.NotRun, failure.Draining)}
			}
			return served
		}
		sink := &memorySink{}
		if fail := f.g.Execute(context.Background(), f.request(path), sink); fail != nil || sink.body.String() != "ok" {
			t.Errorf("%s: answer %q, failure %v", path, sink.body.String(), fail)
		}
		tried := slices.Clone(f.peers.addresses)
		slices.Sort(tried)
		if len(slices.Compact(tried)) != 4 {
			t.Errorf("%s: forwarded to %q, want four hosts", path, f.peers.addresses)
		}
		for range 20 {
			_ = f.g.Execute(context.Background(), f.request(path), &memorySink{})
		}
		for _, addr := range f.peers.addresses[4:] {
			if stopping[addr] {
				t.Errorf("%s: a later request is forwarded to %s, which stops", path, addr)
			}
		}
	}
}

// TestNoForwardToAHostWhoseLinkSaysThatItLeaves guards against forwards that are sent to a stopping host until a view
// leaves it out.
func TestNoForwardToAHostWhoseLinkSaysThatItLeaves(t *testing.T) {
	f := newFixture(t)
	f.view(leavingServers(2))
	f.peers.frames = []*pb.ForwardFrame{headFrame(200, 2), chunkFrame("ok"), endFrame(failure.Done, "")}
	f.g.o.Random = func() float64 { return 0 }
	_ = f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
	leaving := f.peers.addresses[0]
	f.g.RecordPeerLeaving(leaving)
	f.g.RecordPeerLeaving("10.9.9.9:7") // of no host that is known
	f.view(leavingServers(2))           // a view from before the stop
	for range 20 {
		_ = f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
	}
	if slices.Contains(f.peers.addresses[1:], leaving) {
		t.Errorf("forwarded to %s after it said that it leaves", leaving)
	}
	if len(f.peers.addresses) != 21 {
		t.Errorf("%d forwards, want 21", len(f.peers.addresses))
	}
}

// TestStoppingHostRefusesWhatOutlastsIt guards against streams that a stopping host accepts and cuts at its end: another
// host can take them at once.
func TestStoppingHostRefusesWhatOutlastsIt(t *testing.T) {
	const tokenMS, limit = 20, 5 * time.Second
	for _, c := range []struct {
		name   string
		tokens int
		taken  bool
	}{{"ends in time", 200, true}, {"ends too late", 300, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.backends.answer = func(_ int, a *Attempt) (*Answer, bool, error) {
				return &Answer{Head: Head{Status: 200, Header: http.Header{}, Length: -1}, Body: &slowStream{clock: f.clock, pause: time.Duration(a.Request.Prompt.Hint) * tokenMS * time.Millisecond}}, true, nil
			}
			send := func(tokens int) *failure.Error {
				r := f.request("/chat/1")
				r.Prompt, r.Wait = &Prompt{Tokens: 10, MaxOutput: 1000, Hint: tokens}, time.Minute
				return f.g.Execute(context.Background(), r, &memorySink{})
			}
			for range 20 {
				if fail := send(50); fail != nil {
					t.Fatal(fail)
				}
			}
			f.g.Drain(limit)
			sent, fail := len(f.backends.sent()), send(c.tokens)
			if taken := len(f.backends.sent()) > sent; taken != c.taken {
				t.Fatalf("taken %t, want %t; %v", taken, c.taken, fail)
			}
			if !c.taken && (fail == nil || fail.Code != failure.Draining || fail.Outcome != failure.NotRun || fail.RetryAfter == 0) {
				t.Errorf("failure %+v, want %s, %s, with a time to retry", fail, failure.Draining, failure.NotRun)
			}
		})
	}
}

// slowStream is the body of a stream of two events with a pause between them.
type slowStream struct {
	clock *fakeClock
	pause time.Duration
	sent  int
}

func (s *slowStream) Read(p []byte) (int, error) {
	s.sent++
	switch s.sent {
	case 1:
		return copy(p, event1), nil
	case 2:
		s.clock.advance(s.pause)
		return copy(p, event2), nil
	}
	return 0, io.EOF
}

func (s *slowStream) Close() error { return nil }

// TestResumableForwardGoesOnAfterItsReceiverHasStopped guards against streams that end with the host of the other region
// that relays them, though another host of it can go on.
func TestResumableForwardGoesOnAfterItsReceiverHasStopped(t *testing.T) {
	f := newFixture(t)
	f.view(leavingServers(2))
	release := "v1"
	head := func() *pb.ForwardFrame {
		return &pb.ForwardFrame{Frame: &pb.ForwardFrame_Head{Head: &pb.ForwardHead{Status: 200, Length: -1, Release: &release}}}
	}
	f.peers.framesOf = func(string) []*pb.ForwardFrame {
		if len(f.peers.opened) == 1 {
			return []*pb.ForwardFrame{head(), chunkFrame(event1), endFrame(failure.Unknown, failure.BackendLost)}
		}
		return []*pb.ForwardFrame{head(), chunkFrame(event2), endFrame(failure.Done, "")}
	}
	sink := &memorySink{}
	if fail := f.g.Execute(context.Background(), f.request("/match/1"), sink); fail != nil || sink.body.String() != event1+event2 {
		t.Errorf("the caller got %q, failure %v", sink.body.String(), fail)
	}
	if len(f.peers.opened) != 2 || f.peers.addresses[0] == f.peers.addresses[1] {
		t.Fatalf("forwarded to %q, want two hosts", f.peers.addresses)
	}
	if second := f.peers.opened[1]; second.ResumeAfter != 1 || second.Release == nil || *second.Release != release {
		t.Errorf("the second forward goes on after event %d at release %v, want 1, %s", second.ResumeAfter, second.Release, release)
	}
}

// TestStoppingHostTakesOnlyWhatIsShownToEnd guards against requests that a stopping host passes on though nothing shows
// that they end before it does.
func TestStoppingHostTakesOnlyWhatIsShownToEnd(t *testing.T) {
	const limit = 2 * time.Second
	for _, c := range []struct {
		name, path string
		answers    int           // before the stop
		each       time.Duration // the time of each
		wait       time.Duration // for which the caller waits
		taken      bool
	}{
		{"nothing is known", "/order/1", 0, 0, 3 * time.Second, false},
		{"nothing is known, may be repeated", "/stock/1", 0, 0, 3 * time.Second, false},
		{"nothing is known of a stream", "/chat/1", 0, 0, 3 * time.Second, false},
		{"nothing is known, its caller leaves before", "/order/1", 0, 0, time.Second, true},
		{"short answers", "/order/1", 20, 20 * time.Millisecond, 3 * time.Second, true},
		{"short answers, may be repeated", "/stock/1", 20, 20 * time.Millisecond, 3 * time.Second, true},
		{"long answers", "/order/1", 20, 2500 * time.Millisecond, 3 * time.Second, false},
		{"long answers, may be repeated", "/stock/1", 20, 2500 * time.Millisecond, 3 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
				f.clock.advance(c.each)
				if c.path == "/chat/1" {
					return streamAnswer(event1, false), true, nil
				}
				return ranAnswer(200, "ok"), true, nil
			}
			send := func(wait time.Duration) *failure.Error {
				r := f.request(c.path)
				r.Wait = wait
				return f.g.Execute(context.Background(), r, &memorySink{})
			}
			for range c.answers {
				if fail := send(time.Minute); fail != nil {
					t.Fatal(fail)
				}
			}
			f.g.Drain(limit)
			sent, fail := len(f.backends.sent()), send(c.wait)
			if taken := len(f.backends.sent()) > sent; taken != c.taken {
				t.Fatalf("taken %t, want %t; %v", taken, c.taken, fail)
			}
			if !c.taken && (fail == nil || fail.Code != failure.Draining || fail.Outcome != failure.NotRun || fail.RetryAfter == 0) {
				t.Errorf("failure %+v, want %s, %s, with a time to retry", fail, failure.Draining, failure.NotRun)
			}
		})
	}
}
