package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// turnedAway returns the answer of a server that turns a request away and asks for a pause.
func turnedAway(pause time.Duration) *Answer {
	return &Answer{
		Head:    Head{Status: http.StatusServiceUnavailable, Header: http.Header{}},
		Verdict: NotRun, Body: http.NoBody, Pause: serverpause.Demand{For: pause},
	}
}

// TestServerGetsNothingInThePauseItAskedFor guards against a host that forgets a server's Retry-After with the attempt.
func TestServerGetsNothingInThePauseItAskedFor(t *testing.T) {
	const (
		pause     = 3 * time.Second
		sendEvery = 50 * time.Millisecond
		viewEvery = 250 * time.Millisecond
		reaction  = 500 * time.Millisecond
		allowed   = 2
	)
	for _, path := range []string{"/order/1", "/stock/1", "/chat/1", "/match/1"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			var askedAt time.Time
			inRest, before, after := 0, 0, 0
			f.backends.answer = func(_ int, a *Attempt) (*Answer, bool, error) {
				now := f.clock.Now()
				rests := a.Server == "llm1" || a.Server == "desk1"
				switch {
				case !rests:
				case askedAt.IsZero():
					if before++; before > 5 {
						askedAt = now
						return turnedAway(pause), true, nil
					}
				case now.Sub(askedAt) > reaction && now.Sub(askedAt) < pause:
					inRest++
					return turnedAway(pause), true, nil
				case now.Sub(askedAt) < pause:
					return turnedAway(pause), true, nil
				default:
					after++
				}
				if path == "/order/1" || path == "/stock/1" {
					return ranAnswer(200, "ok"), true, nil
				}
				return streamAnswer(event1+event2+event3, false), true, nil
			}
			for at := time.Duration(0); at < 20*time.Second; at += sendEvery {
				if at%viewEvery == 0 {
					f.view(func(v *pb.FleetView) { v.Hosts, v.Regions = nil, nil })
				}
				if fail := f.g.Execute(context.Background(), f.request(path), &memorySink{}); fail != nil {
					t.Errorf("refused though the other server has room: %v", fail)
				}
				f.clock.advance(sendEvery)
			}
			if askedAt.IsZero() || inRest > allowed {
				t.Errorf("%d requests in the rest of the pause, allowed %d", inRest, allowed)
			}
			if after == 0 {
				t.Error("the server was not used again after its pause")
			}
		})
	}
}

// onlyOwnRegion removes the other regions from a view.
func onlyOwnRegion(v *pb.FleetView) { v.Hosts, v.Regions = nil, nil }

// TestRefusalInPausesIsTrue checks what callers are told whose request was turned away.
func TestRefusalInPausesIsTrue(t *testing.T) {
	const pause = 3 * time.Second
	latest := pause + 300*time.Millisecond + serverpause.SlowStart
	for name, c := range map[string]struct {
		servers      int // of the service
		budgetSpent  bool
		code         failure.Code
		least, most  time.Duration
		sent         int
		laterRefused bool // the next request is refused without being sent
	}{
		"the only server pauses":                {1, false, failure.ServersPaused, pause, latest, 1, true},
		"all servers pause":                     {2, false, failure.ServersPaused, pause, latest, 2, true},
		"not repeated, another server has room": {2, true, failure.BackendRefused, refusedRetryAfter, refusedRetryAfter, 1, false},
		"not repeated, no other server":         {1, true, failure.BackendRefused, pause, latest, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.view(func(v *pb.FleetView) {
				onlyOwnRegion(v)
				v.Servers[3].Gone = c.servers < 2
			})
			for c.budgetSpent && f.g.budget.Retry(f.clock.Now()) {
			}
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return turnedAway(pause), true, nil }
			fail := f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
			if fail == nil || fail.Code != c.code || fail.Outcome != failure.NotRun || fail.RetryAfter < c.least || fail.RetryAfter > c.most {
				t.Fatalf("ended with %+v, want %s and Retry-After from %s to %s", fail, c.code, c.least, c.most)
			}
			if got := len(f.backends.sent()); got != c.sent {
				t.Errorf("sent %d times, want %d", got, c.sent)
			}
			fail = f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
			if refusedAtOnce := len(f.backends.sent()) == c.sent; refusedAtOnce != c.laterRefused {
				t.Errorf("the next request ended with %v, sent %d times", fail, len(f.backends.sent()))
			}
		})
	}
}

// TestServersOwnRefusalKeepsItsRetryAfter guards against a server's 503 that reaches its caller without the time it names.
func TestServersOwnRefusalKeepsItsRetryAfter(t *testing.T) {
	f := newFixture(t)
	f.view(onlyOwnRegion)
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
		a := ranAnswer(http.StatusServiceUnavailable, "busy")
		a.Header.Set("Retry-After", "3")
		a.Pause = serverpause.Demand{For: 3 * time.Second}
		return a, true, nil
	}
	sink := &memorySink{}
	fail := f.g.Execute(context.Background(), f.request("/order/1"), sink)
	f.clock.advance(3500 * time.Millisecond)
	f.view(onlyOwnRegion)
	if f.backends.answer = okAnswered; f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{}) != nil {
		t.Error("the server is not used after its pause")
	}
	if fail != nil || sink.head.Status != http.StatusServiceUnavailable || sink.head.Header.Get("Retry-After") != "3" {
		t.Errorf("ended with %v, head %+v", fail, sink.head)
	}
}

func okAnswered(int, *Attempt) (*Answer, bool, error) { return ranAnswer(200, "ok"), true, nil }

// askForPause makes a server of the plain service turn another request away and ask for a pause.
func (f *fixture) askForPause(server string) {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	c := f.g.fleet.Choose(&dispatch.Job{
		Service: "desk", Permits: func(string) bool { return true }, Remaining: time.Second,
		Tried: map[string]bool{"desk1": server != "desk1", "desk2": server != "desk2"},
	}, f.clock.Now())
	f.g.fleet.RecordPause(&c, serverpause.Demand{For: 3 * time.Second}, f.clock.Now())
}

// TestRequestChosenBeforeAPauseIsNotSentInIt guards against requests that wait for a connection while their server asks for a pause.
func TestRequestChosenBeforeAPauseIsNotSentInIt(t *testing.T) {
	f := newFixture(t)
	f.view(onlyOwnRegion)
	var servers []string
	f.backends.answer = func(n int, a *Attempt) (*Answer, bool, error) {
		if n == 1 {
			f.askForPause(a.Server)
		}
		if !a.MaySend() {
			return nil, false, ErrWithheld
		}
		servers = append(servers, a.Server)
		return ranAnswer(200, "ok"), true, nil
	}
	if fail := f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{}); fail != nil {
		t.Fatal(fail)
	}
	if first := f.backends.sent()[0].Server; len(servers) != 1 || servers[0] == first {
		t.Errorf("sent to %v; %s asked for a pause", servers, first)
	}
}

// TestServerThatSaysItLeavesGetsNothingMore checks which answers take their server out of use.
func TestServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		answer func() *Answer
		leaves bool
	}{
		"a whole answer":                       {"/order/1", func() *Answer { return ranAnswer(200, "ok") }, true},
		"its own failure":                      {"/order/1", func() *Answer { return ranAnswer(500, "bad") }, true},
		"the head of a stream":                 {"/chat/1", func() *Answer { return streamAnswer(event1+event2, false) }, true},
		"the head of a stream that breaks off": {"/chat/1", func() *Answer { return streamAnswer(event1, true) }, true},
		"a refusal":                            {"/order/1", func() *Answer { return notRunAnswer(NotRun) }, true},
		"an answer that proves no server":      {"/order/1", func() *Answer { return notRunAnswer(Unverified) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.view(onlyOwnRegion)
			said := ""
			f.backends.answer = func(_ int, a *Attempt) (*Answer, bool, error) {
				if said == "" {
					said = a.Server
				}
				answer := c.answer()
				answer.Leaving = a.Server == said
				return answer, true, nil
			}
			after := 0
			for range 40 {
				f.view(onlyOwnRegion)
				_ = f.g.Execute(context.Background(), f.request(c.path), &memorySink{})
				f.clock.advance(100 * time.Millisecond)
			}
			for _, a := range f.backends.sent()[1:] {
				if a.Server == said {
					after++
				}
			}
			if (after == 0) != c.leaves {
				t.Errorf("%d requests of %d at the server that said it leaves", after, len(f.backends.sent()))
			}
		})
	}
}

// TestRequestChosenBeforeItsServerLeavesIsSentElsewhere guards against requests that wait for a connection to a leaving server.
func TestRequestChosenBeforeItsServerLeavesIsSentElsewhere(t *testing.T) {
	f := newFixture(t)
	f.view(onlyOwnRegion)
	var servers []string
	f.backends.answer = func(n int, a *Attempt) (*Answer, bool, error) {
		if n == 1 {
			f.view(func(v *pb.FleetView) {
				onlyOwnRegion(v)
				for _, s := range v.Servers {
					s.Leaving = s.Id == a.Server
				}
			})
		}
		if !a.MaySend() {
			return nil, false, ErrWithheld
		}
		servers = append(servers, a.Server)
		return ranAnswer(200, "ok"), true, nil
	}
	if fail := f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{}); fail != nil {
		t.Fatal(fail)
	}
	if first := f.backends.sent()[0].Server; len(servers) != 1 || servers[0] == first {
		t.Errorf("sent to %v; %s leaves", servers, first)
	}
}

// TestRequestChosenBeforeAnEvacuationIsNotSentInIt guards against requests that wait for a connection while the failure
// domain of their server is evacuated.
func TestRequestChosenBeforeAnEvacuationIsNotSentInIt(t *testing.T) {
	f := newFixture(t)
	other := func(v *pb.FleetView) {
		onlyOwnRegion(v)
		for _, s := range v.Servers {
			if s.Id == "desk2" {
				s.FailureDomain = "w2"
			}
		}
	}
	f.view(other)
	var domains []string
	f.backends.answer = func(n int, a *Attempt) (*Answer, bool, error) {
		domain := map[string]string{"desk1": "w1", "desk2": "w2"}[a.Server]
		if n == 1 {
			f.view(func(v *pb.FleetView) { other(v); v.Evacuated, v.EvacuationRevision = []string{domain}, 1 })
		}
		if !a.MaySend() {
			return nil, false, ErrWithheld
		}
		domains = append(domains, domain)
		return ranAnswer(200, "ok"), true, nil
	}
	if fail := f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{}); fail != nil {
		t.Fatal(fail)
	}
	if evacuated, _ := f.g.fleet.Evacuations(); len(domains) != 1 || domains[0] == evacuated[0] {
		t.Errorf("sent to %v, %v is evacuated", domains, evacuated)
	}
}

// TestPausesAreLogged guards against a refused request whose cause logs do not name.
func TestPausesAreLogged(t *testing.T) {
	f := newFixture(t)
	f.view(func(v *pb.FleetView) { onlyOwnRegion(v); v.Servers[3].Gone = true })
	var lines []string
	f.g.o.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	for _, d := range []serverpause.Demand{{Invalid: `"x"`}, {Invalid: `"y"`}, {For: time.Second}, {For: time.Second}} {
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
			a := turnedAway(d.For)
			a.Pause = d
			return a, true, nil
		}
		_ = f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
	}
	want := []string{
		`"level"=0 "msg"="server pause ignored" "server"="desk1" "request_id"="r1" "reason"="the time is neither a decimal number of seconds nor a date" "retry_after"="\"x\""`,
		`"level"=0 "msg"="server asked for a pause" "server"="desk1" "start"=0 "service"="desk" "address"="10.1.0.1:80" "failure_domain"="w1" "status"=503 "asked_ms"=1000 "pause_ms"=1050 "repeats"=0 "light_load"=false "server_requests"=1 "slots"=8 "request_id"="r1"`,
	}
	got := slices.DeleteFunc(slices.Clone(lines), func(l string) bool {
		return !strings.Contains(l, "pause ignored") && !strings.Contains(l, "asked for a pause\" \"server\"")
	})
	if !slices.Equal(got, want) {
		t.Errorf("logged %q, want %q", got, want)
	}
	if last := lines[len(lines)-1]; !strings.Contains(last, `"code"="backend-servers-paused"`) || !strings.Contains(lines[len(lines)-2], `"reason"="paused"`) && !strings.Contains(lines[len(lines)-2], "paused") {
		t.Errorf("the refusal does not name the pause: %q", lines[len(lines)-2:])
	}
}

// TestRepeatedPausesAtALightLoadAreFound guards against a server that turns requests away for no reason and that nobody finds.
func TestRepeatedPausesAtALightLoadAreFound(t *testing.T) {
	f := newFixture(t)
	view := func(v *pb.FleetView) { onlyOwnRegion(v); v.Servers[3].Gone = true }
	f.view(view)
	var lines []string
	f.g.o.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return turnedAway(time.Second), true, nil }
	for range 4 {
		_ = f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
		f.advanceWithViews(2*time.Second, view)
	}
	found := 0
	for _, l := range lines {
		if strings.Contains(l, `"msg"="server asked for a pause"`) && strings.Contains(l, `"light_load"=true`) {
			found++
		}
	}
	if found != 2 {
		t.Errorf("%d of 4 pauses found at a light load, want those after two repeats: %q", found, lines)
	}
}
