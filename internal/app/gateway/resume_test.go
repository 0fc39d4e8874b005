package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// TestStreamGoesOnOnlyAtItsRelease guards against streams that join the events of two releases.
func TestStreamGoesOnOnlyAtItsRelease(t *testing.T) {
	for name, c := range map[string]struct {
		releases [2]string // of the server of the first attempt, and of the other server
		want     string
		sends    int
	}{
		"the other server runs its release": {[2]string{"v1", "v1"}, event1 + event2 + event3, 2},
		"the other server runs another one": {[2]string{"v1", "v1.1"}, event1, 1},
		"the other server states none":      {[2]string{"v1", ""}, event1, 1},
		"neither server states one":         {[2]string{"", ""}, event1 + event2 + event3, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			first := ""
			f.backends.answer = func(n int, a *Attempt) (*Answer, bool, error) {
				if n == 1 {
					first = a.Server
					f.view(func(v *pb.FleetView) { setReleases(v, first, c.releases) })
					return streamAnswer(event1, true), true, nil
				}
				return streamAnswer(event2+event3, false), true, nil
			}
			f.view(func(v *pb.FleetView) { setReleases(v, "llm1", c.releases) })
			sink := &memorySink{}
			_ = f.g.Execute(context.Background(), f.request("/match/1"), sink)
			if sends := len(f.backends.sent()); sink.body.String() != c.want || sends != c.sends {
				t.Errorf("the caller got %q in %d sends, want %q in %d", sink.body.String(), sends, c.want, c.sends)
			}
		})
	}
}

// setReleases sets the releases of the servers of the own region, and leaves out other regions.
func setReleases(v *pb.FleetView, first string, releases [2]string) {
	v.Hosts, v.Regions = nil, nil
	for _, s := range v.Servers {
		s.Release = releases[1]
		if s.Id == first {
			s.Release = releases[0]
		}
	}
}

// TestStreamIsTakenUpAtItsRelease guards against take-ups at another release or service, and against refusals
// of streams that can go on.
func TestStreamIsTakenUpAtItsRelease(t *testing.T) {
	releases := func(first, second string) func(*pb.FleetView) {
		return func(v *pb.FleetView) { setReleases(v, "llm1", [2]string{first, second}) }
	}
	for name, c := range map[string]struct {
		view    func(*pb.FleetView)
		resumes string
		origin  *streamorigin.Origin // that the control host knows
		split   bool                 // the route sends most streams to another service
		server  string               // that goes on; "" for none
		code    failure.Code
	}{
		"its release serves":                   {releases("v1", "v1.1"), "a1", &streamorigin.Origin{Service: "llm", Release: "v1.1"}, false, "llm2", ""},
		"the other one of two releases":        {releases("v1", "v1.1"), "a1", &streamorigin.Origin{Service: "llm", Release: "v1"}, false, "llm1", ""},
		"no server of its release is left":     {releases("v1.1", "v1.2"), "a1", &streamorigin.Origin{Service: "llm", Release: "v1"}, false, "", failure.NoServer},
		"nobody knows the stream":              {releases("v1", "v1"), "a1", nil, false, "", failure.StreamUnknown},
		"a split route sends it nowhere else":  {releases("v1", "v1"), "a1", &streamorigin.Origin{Service: "llm", Release: "v1"}, true, "llm", ""},
		"its service is none of the route's":   {releases("v1", "v1"), "a1", &streamorigin.Origin{Service: "other", Release: "v1"}, false, "", failure.StreamMoved},
		"no first attempt named, two releases": {releases("v1", "v1.1"), "", nil, false, "", failure.StreamUnknown},
		"servers that state no release":        {releases("", "v1"), "a1", &streamorigin.Origin{Service: "llm"}, false, "llm1", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			if c.split {
				rec := baseRecord()
				rec.Routes[0].Targets = []configstate.RouteTarget{{Service: "desk", Weight: 1000}, {Service: "llm", Weight: 0.001}}
				f.install(8, rec)
			}
			f.g.control.seeds = []string{"10.0.0.1:7"}
			f.peers.response = func(req *pb.Request) *pb.Response {
				f.clock.advance(maxOriginWait) // each query takes as long as all of them may
				m := &pb.StreamOrigins{}
				if q := req.GetStreamQuery(); c.origin != nil && q.GetStream() == streamorigin.Key("a1") {
					m = &pb.StreamOrigins{Stream: []uint64{q.Stream}, Origin: []uint32{0}, Service: []string{c.origin.Service}, Release: []string{c.origin.Release}}
				}
				return &pb.Response{Body: &pb.Response_StreamOrigins{StreamOrigins: m}}
			}
			f.view(c.view)
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event3, false), true, nil }
			r := f.request("/match/1")
			r.ID, r.ResumeAfter, r.Resumes = "a2", 2, c.resumes
			fail := f.g.Execute(context.Background(), r, &memorySink{})
			sent := f.backends.sent()
			switch {
			case c.server == "" && len(sent) > 0:
				t.Errorf("sent to %s", sent[0].Server)
			case c.server == "" && (fail == nil || fail.Code != c.code || fail.Outcome != failure.NotRun):
				t.Errorf("ended with %v, want %s", fail, c.code)
			case c.server != "" && (len(sent) != 1 || !strings.HasPrefix(sent[0].Server, c.server) || sent[0].ResumeAfter != 2):
				t.Errorf("sent %+v, want once to %s after event 2; %v", sent, c.server, fail)
			}
		})
	}
}

// TestUnnamedStreamNeedsProofOfItsRelease guards against streams that go on at the only release that a host knows,
// though another one began them: its servers left, the host has started since, or a control host is out of step and has
// not heard of them. The rows of a single release check the other side.
func TestUnnamedStreamNeedsProofOfItsRelease(t *testing.T) {
	const near, near2, far, unknown = "10.0.0.1:7", "10.0.0.2:7", "10.1.0.1:7", "10.1.0.2:7"
	type answer struct {
		recent      []string // nil for no answer
		complete    bool
		justStarted bool
	}
	v1, v1Incomplete, no := answer{recent: []string{"v1"}, complete: true}, answer{recent: []string{"v1"}}, answer{}
	both, bothIncomplete := answer{recent: []string{"v0", "v1"}, complete: true}, answer{recent: []string{"v0", "v1"}}
	empty, started := answer{recent: []string{}, complete: true}, answer{recent: []string{}, justStarted: true}
	all := []string{near, near2, far}
	for name, c := range map[string]struct {
		near, near2, far answer
		remembered       []string // control hosts that the answers name
		goesOn           bool
	}{
		"a single release all along":                         {v1, v1, v1, all, true},
		"only another region knows all":                      {v1Incomplete, v1Incomplete, v1, all, true},
		"a seed that is gone for good does not answer":       {v1, v1, no, []string{near, near2}, true},
		"a near control host does not answer":                {no, v1, v1, all, false},
		"a far control host does not answer":                 {v1, v1, no, all, false},
		"a control host is named that this host cannot ask":  {v1, v1, v1, append(all, unknown), false},
		"a near one out of step has not heard of another":    {v1, v1, bothIncomplete, all, false},
		"another release served until lately":                {both, both, both, all, false},
		"only one control host has heard of another one":     {v1, bothIncomplete, v1, all, false},
		"one control host has started, the others know all":  {v1, v1, started, all, false},
		"all control hosts have started":                     {started, started, started, all, false},
		"no release is known":                                {empty, empty, empty, all, false},
		"no control host answers":                            {no, no, no, all, false},
		"no control host has known all servers long enough":  {v1Incomplete, v1Incomplete, v1Incomplete, all, false},
		"control hosts of a build that names no other hosts": {v1, v1, v1, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.view(func(v *pb.FleetView) { setReleases(v, "llm1", [2]string{"v1", "v1"}) })
			answers := map[string]answer{near: c.near, near2: c.near2, far: c.far}
			f.g.control.update([]*pb.ControlHost{{Peer: near, FailureDomain: "w1"}, {Peer: near2, FailureDomain: "w2"}, {Peer: far, FailureDomain: "e1"}})
			f.g.o.Peers = peersByAddress(func(addr string, req *pb.Request) *pb.Response {
				q := req.GetStreamQuery()
				if want := f.g.config.Load().Record.StreamRetention().Milliseconds(); q.GetService() != "llm" || int64(q.GetWithinMs()) != want {
					t.Errorf("asked for %v", q)
				}
				a := answers[addr]
				if a.recent == nil {
					return nil
				}
				m := &pb.StreamOrigins{RecentReleases: a.recent, Complete: a.complete, ControlHosts: c.remembered, UptimeMs: uint64(time.Hour.Milliseconds())}
				if a.justStarted {
					m.UptimeMs = 1000
				}
				return &pb.Response{Body: &pb.Response_StreamOrigins{StreamOrigins: m}}
			})
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event3, false), true, nil }
			r := f.request("/match/1")
			r.ResumeAfter = 2
			fail := f.g.Execute(context.Background(), r, &memorySink{})
			if sent := len(f.backends.sent()); (sent == 1) != c.goesOn || (fail == nil) != c.goesOn {
				t.Errorf("%d sends, ended with %v", sent, fail)
			}
			if fail != nil && (fail.Code != failure.StreamUnknown || fail.Outcome != failure.NotRun) {
				t.Errorf("refused with %v", fail)
			}
		})
	}
}

// peersByAddress answers calls by their address; a nil response is an unreachable host.
type peersByAddress func(addr string, req *pb.Request) *pb.Response

func (p peersByAddress) Call(_ context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	if resp := p(addr, req); resp != nil {
		return resp, nil
	}
	return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "no network")
}

func (p peersByAddress) Open(context.Context, string, *pb.Request, []byte) (port.ForwardStream, bool, error) {
	return nil, false, failure.New(failure.PeerUnreachable, failure.NotRun, "no network")
}

// TestStreamDoesNotGoOnAtAProcessThatWasNotHeard guards against a new process taken for the one before it under
// its ID, which may run another release.
func TestStreamDoesNotGoOnAtAProcessThatWasNotHeard(t *testing.T) {
	for name, c := range map[string]struct {
		start  int64 // of the servers' processes; 0 if their IDs are never used again
		proved bool  // that it listens at the address
		goesOn bool
	}{
		"proved":                   {7, true, true},
		"not proved":               {7, false, false},
		"IDs are never used again": {0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.view(func(v *pb.FleetView) {
				setReleases(v, "llm1", [2]string{"v1", "v1"})
				for _, s := range v.Servers {
					s.Start = c.start
				}
			})
			f.backends.notConnected = !c.proved
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event2, false), true, nil }
			f.g.streams.record(streamorigin.Key("a1"), streamorigin.Origin{Service: "llm", Release: "v1"}, f.clock.Now())
			r := f.request("/match/1")
			r.ResumeAfter, r.Resumes = 1, "a1"
			fail := f.g.Execute(context.Background(), r, &memorySink{})
			for _, a := range f.backends.sent() {
				want := ""
				if c.start != 0 {
					want = a.Server + "@7"
				}
				if a.Process != want {
					t.Errorf("sent to process %q, want %q", a.Process, want)
				}
			}
			if (fail == nil) != c.goesOn || (fail != nil && (fail.Outcome != failure.NotRun || fail.RetryAfter <= 0)) {
				t.Errorf("ended with %v", fail)
			}
		})
	}
}

// TestProcessIsProvedByControlHosts guards against a process that is taken to have run later than its announcements
// prove, and against streams that wait though a control host has the proof.
func TestProcessIsProvedByControlHosts(t *testing.T) {
	f := newFixture(t)
	f.view(func(v *pb.FleetView) {
		setReleases(v, "llm1", [2]string{"v1", "v1"})
		for _, s := range v.Servers {
			s.Start, s.Address = 7, s.Id+":1"
		}
	})
	f.g.control.update([]*pb.ControlHost{{Peer: "near", FailureDomain: "w1"}})
	const age = 250 * time.Millisecond
	f.peers.response = func(req *pb.Request) *pb.Response {
		q := req.GetProcessQuery()
		if len(q.GetId()) != 1 || q.Id[0] != "llm1" || q.Start[0] != 7 {
			return &pb.Response{}
		}
		return &pb.Response{Body: &pb.Response_ProcessProofs{ProcessProofs: &pb.ProcessProofs{Proofs: []*pb.ProcessProof{{Known: true, Address: "llm1:1", AgeMs: uint64(age.Milliseconds())}}}}}
	}
	confirmed := make(chan struct{})
	f.backends.onConfirm = sync.OnceFunc(func() { close(confirmed) })
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
		<-confirmed
		return streamAnswer(event2, false), true, nil
	}
	f.g.streams.record(streamorigin.Key("a1"), streamorigin.Origin{Service: "llm", Release: "v1"}, f.clock.Now())
	r := f.request("/match/1")
	r.ResumeAfter, r.Resumes = 1, "a1"
	began := time.Now()
	if fail := f.g.Execute(context.Background(), r, &memorySink{}); fail != nil {
		t.Fatal(fail)
	}
	f.backends.mu.Lock()
	defer f.backends.mu.Unlock()
	got := f.backends.confirmed[0]
	if got.addr != "llm1:1" || got.process != "llm1@7" || got.at.Before(began.Add(-age)) || got.at.After(time.Now().Add(-age)) {
		t.Errorf("confirmed %+v", got)
	}
}

// TestOriginOfABegunStreamIsReported guards against take-ups at hosts that cannot know the release.
func TestOriginOfABegunStreamIsReported(t *testing.T) {
	f := newFixture(t)
	f.view(func(v *pb.FleetView) { setReleases(v, "llm1", [2]string{"v2", "v2"}) })
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event1, false), true, nil }
	_ = f.g.Execute(context.Background(), f.request("/match/1"), &memorySink{})
	_ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{}) // cannot be resumed
	m, c := &pb.FleetSync{}, &controlHost{}
	position := f.g.addStreams(m, c, true)
	if s := m.Streams; len(s.GetStream()) != 1 || s.Stream[0] != streamorigin.Key("r1") || s.Service[0] != "llm" || s.Release[0] != "v2" {
		t.Fatalf("reported %v", s)
	}
	c.recordStreamsSent(&pb.FleetView{Epoch: 1}, 1, position)
	again := &pb.FleetSync{}
	c.recordStreamsSent(&pb.FleetView{Epoch: 2}, 1, f.g.addStreams(again, c, true)) // the control host has restarted
	if again.Streams != nil {
		t.Errorf("reported again: %v", again.Streams)
	}
	if f.g.addStreams(again, c, true); len(again.Streams.GetStream()) != 1 {
		t.Errorf("after the control host's restart reported %v", again.Streams)
	}
}

// TestForwardedStreamStaysAtItsRelease guards against a region that goes on at another release than the one
// that began the stream.
func TestForwardedStreamStaysAtItsRelease(t *testing.T) {
	v1 := "v1"
	for name, c := range map[string]struct {
		m     *pb.RoutedForward
		sends int
	}{
		"goes on at its release":                {&pb.RoutedForward{ResumeAfter: 1, Release: &v1}, 1},
		"goes on, the release is not stated":    {&pb.RoutedForward{ResumeAfter: 1}, 0},
		"begins":                                {&pb.RoutedForward{}, 1},
		"goes on at a release that is not here": {&pb.RoutedForward{ResumeAfter: 1, Release: new(string)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.view(func(v *pb.FleetView) { setReleases(v, "llm1", [2]string{v1, v1}) })
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event2, false), true, nil }
			c.m.RequestId, c.m.Host, c.m.Uri, c.m.Service, c.m.Method, c.m.RemainingMs, c.m.OriginRegion, c.m.Attempts = "r1", "h", "/match/1", "llm", "POST", 3000, "east", 1
			sink := &memorySink{}
			fail := f.g.receive(context.Background(), &pb.Request{Stamp: f.g.stamp(), Body: &pb.Request_RoutedForward{RoutedForward: c.m}}, sink)
			if n := len(f.backends.sent()); n != c.sends {
				t.Errorf("sent %d times, want %d: %v", n, c.sends, fail)
			}
			if c.sends > 0 && (sink.head == nil || sink.head.Release == nil || *sink.head.Release != v1) {
				t.Errorf("the answer's head %+v does not name the release", sink.head)
			}
		})
	}
}

// stepReader calls each step in turn, and returns what it returns.
type stepReader struct{ steps []func() (string, error) }

func (r *stepReader) Read(p []byte) (int, error) {
	if len(r.steps) == 0 {
		return 0, io.EOF
	}
	text, err := r.steps[0]()
	r.steps = r.steps[1:]
	return copy(p, text), err
}

// TestStreamThatMayHaveBegunAtTheNextProcess guards against streams of two releases: a process that has started again under
// its server's ID, and was not heard yet, begins a stream, which then goes on at a server of the release before.
func TestStreamThatMayHaveBegunAtTheNextProcess(t *testing.T) {
	for name, c := range map[string]struct {
		announced bool // the process was announced after the request was sent
		breaks    bool // the stream breaks off
		sends     int
		origin    streamorigin.Origin
	}{
		"not announced since, breaks off":  {false, true, 1, streamorigin.Unknown},
		"not announced since, is complete": {false, false, 1, streamorigin.Unknown},
		"announced since, breaks off":      {true, true, 2, streamorigin.Origin{Service: "llm", Release: "v1"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			started := map[string]int64{"llm1": 7, "llm2": 7}
			apply := func() {
				f.view(func(v *pb.FleetView) {
					setReleases(v, "llm1", [2]string{"v1", "v1"})
					for _, s := range v.Servers {
						s.Start = started[s.Id]
					}
				})
			}
			apply()
			f.backends.answer = func(n int, a *Attempt) (*Answer, bool, error) {
				if n > 1 {
					return streamAnswer(event2, false), true, nil
				}
				body := &stepReader{[]func() (string, error){
					func() (string, error) { return event1, nil },
					func() (string, error) {
						f.clock.advance(2 * time.Second)
						if c.announced {
							apply()
						}
						started[a.Server] = 8
						apply()
						if c.breaks {
							return "", failure.New(failure.BackendLost, failure.Unknown, "connection reset")
						}
						return event2, nil
					},
				}}
				return &Answer{Head: Head{Status: http.StatusOK, Header: http.Header{}, Length: -1}, Body: io.NopCloser(body)}, true, nil
			}
			fail := f.g.Execute(context.Background(), f.request("/match/1"), &memorySink{})
			if n := len(f.backends.sent()); n != c.sends || (fail != nil) != (c.breaks && c.sends == 1) {
				t.Errorf("%d attempts, ended with %v", n, fail)
			}
			if got, ok := f.g.streams.origin(streamorigin.Key("r1")); !ok || got != c.origin {
				t.Errorf("origin %+v, known %t, want %+v", got, ok, c.origin)
			}
			r := f.request("/match/1")
			r.ResumeAfter, r.Resumes = 1, "r1"
			fail = f.g.Execute(context.Background(), r, &memorySink{})
			if refused := fail != nil && fail.Code == failure.StreamUnknown && fail.Outcome == failure.NotRun; refused != (c.origin == streamorigin.Unknown) {
				t.Errorf("taken up: %v", fail)
			}
		})
	}
}
