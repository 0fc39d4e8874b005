package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamefork/sesamefork/internal/app/forward"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// promptRequest returns the n-th of requests that differ in their body and the last part of their
// prompt.
func (f *fixture) promptRequest(path string, n int, shared ...string) *Request {
	r := f.request(path)
	r.ID = fmt.Sprint("r", n)
	r.Body = []byte(r.ID)
	r.attempts = 1
	r.Prompt = &Prompt{}
	for _, id := range append(shared, fmt.Sprintf("%04x", n)) {
		r.Prompt.Parts = append(r.Prompt.Parts, dispatch.Part{ID: id, Tokens: 10})
	}
	return r
}

func hasPart(r *Request, id string) bool {
	return r.Prompt != nil && slices.ContainsFunc(r.Prompt.Parts, func(p dispatch.Part) bool { return p.ID == id })
}

// crashUnderPart makes each server crash under a request with part "bad", and answer any other.
func (f *fixture) crashUnderPart(sound func() *Answer) {
	f.backends.answer = func(_ int, a *Attempt) (*Answer, bool, error) {
		if hasPart(a.Request, "bad") {
			return nil, true, io.ErrUnexpectedEOF
		}
		return sound(), true, nil
	}
}

func okAnswer() *Answer { return ranAnswer(200, "ok") }

func (f *fixture) execute(r *Request) *failure.Error {
	f.clock.advance(300 * time.Millisecond)
	r.Arrived = f.clock.Now()
	return f.g.Execute(context.Background(), r, &memorySink{})
}

// TestRequestsWithACrashingPartAreRefused guards against servers crashing one after the other under
// requests that have only a prompt part in common.
func TestRequestsWithACrashingPartAreRefused(t *testing.T) {
	f := newCrashFixture(t, port.Refuses)
	f.crashUnderPart(okAnswer)
	if got := f.execute(f.promptRequest("/stock/1", 0, "first", "second")); got != nil {
		t.Fatal(got)
	}
	for n := range 3 {
		f.execute(f.promptRequest("/stock/1", 1+n, "first", "bad", fmt.Sprint("third", n)))
	}
	if got := f.execute(f.promptRequest("/stock/1", 5, "first", "bad")); got == nil || got.Code != failure.SuspectedPart || got.Outcome != failure.NotRun || got.RetryAfter == 0 {
		t.Errorf("a request just after the third crash ended with %+v", got)
	}
	f.clock.advance(2 * time.Second)
	reached := len(f.backends.sent())
	for n := range 5 {
		got := f.execute(f.promptRequest("/stock/1", 10+n, "first", "bad"))
		if got == nil || got.Code != failure.QuarantinedPart || got.Outcome != failure.NotRun || got.RetryAfter != 0 {
			t.Fatalf("a request with the part ended with %+v", got)
		}
	}
	if got := len(f.backends.sent()); got != reached || reached != 4 {
		t.Errorf("%d requests reached servers, %d after the quarantine; want 4 and none", got, got-reached)
	}
	f.view(sixDeskServers)
	if got := f.execute(f.promptRequest("/stock/1", 20, "first", "second")); got != nil {
		t.Errorf("a sound request with the same first part ended with %v", got)
	}
	if got := f.execute(f.promptRequest("/stock/1", 21, "first", "other", "bad")); got == nil {
		t.Error("a request with the part among others was not refused")
	}
}

// removeLastServer removes the server to which the last attempt was sent.
func (f *fixture) removeLastServer() {
	sent := f.backends.sent()
	f.g.fleet.MarkGone(sent[len(sent)-1].Server, 0, f.clock.Now())
}

// TestPartsThatCannotBeToldApart guards against the refusal of a sound part that was in all requests
// with the crashing one so far: it takes five crashes instead of three.
func TestPartsThatCannotBeToldApart(t *testing.T) {
	f := newCrashFixture(t, port.Refuses)
	f.crashUnderPart(okAnswer)
	for n := range 5 {
		if got := f.execute(f.promptRequest("/stock/1", n, "beside", "bad")); got == nil || got.Code != failure.BackendLost {
			t.Fatalf("request %d ended with %v", n, got)
		}
		f.removeLastServer()
	}
	if got := f.execute(f.promptRequest("/stock/1", 5, "beside", "bad")); got == nil || got.Code != failure.SuspectedPart {
		t.Errorf("a request after the fifth crash ended with %v", got)
	}
}

// TestServerThatCrashesAtTheEndOfAnAnswerIsSeen guards against an answer without a length or chunks,
// which a crashing server ends like a complete one, clearing the part that crashed it.
func TestServerThatCrashesAtTheEndOfAnAnswerIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, port.Refuses)
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return openAnswer(), true, nil }
		for n := range 3 {
			f.execute(f.promptRequest("/stock/1", n, fmt.Sprint("first", n), "bad"))
			synctest.Wait()
			f.removeLastServer()
		}
		f.clock.advance(2 * time.Second)
		if got := f.execute(f.promptRequest("/stock/1", 5, "other", "bad")); got == nil || got.Code != failure.QuarantinedPart {
			t.Errorf("a request with the part ended with %v", got)
		}
	})
}

// TestOpenAnswerCountsOnceItsServerResponds guards against the condemnation of sound parts at
// servers whose answers have neither a length nor chunks.
func TestOpenAnswerCountsOnceItsServerResponds(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(*fixture)
		want  int
	}{
		{"nothing after it", func(*fixture) {}, 1},
		{"the server responds to a later attempt", func(f *fixture) { f.execute(f.promptRequest("/stock/1", 2, "unrelated")) }, 0},
		{"the server announces itself later", func(f *fixture) {
			f.clock.advance(5 * time.Second)
			f.view(oneDeskServer)
		}, 1},
		{"an announcement from before its end arrives", func(f *fixture) { f.view(oneDeskServer) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFixture(t, port.Accepts)
				f.view(oneDeskServer)
				f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return openAnswer(), true, nil }
				f.execute(f.promptRequest("/stock/1", 1, "shared"))
				c.after(f)
				time.Sleep(time.Second) // the check of the server's address ends
				s := quarantine.NewSubjects(quarantine.Fingerprint{1}, "", "desk", []string{"shared", "last"})
				f.g.o.CrashWatch.RecordCrash(quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: "other"}}, s, quarantine.Evidence{Service: "desk"})
				if got := f.partCrashes("shared"); got != c.want {
					t.Errorf("%d crashes recorded against the part, want %d", got, c.want)
				}
			})
		})
	}
}

// TestOpenAnswerIsNotConfirmedByAnotherProcess guards against a crashed server whose ID another process has taken over.
func TestOpenAnswerIsNotConfirmedByAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, port.Accepts)
		f.view(func(v *pb.FleetView) {
			oneDeskServer(v)
			for _, s := range v.Servers {
				s.Start = 7
			}
		})
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return openAnswer(), true, nil }
		f.execute(f.promptRequest("/stock/1", 1, "shared"))
		f.backends.answer = func(n int, _ *Attempt) (*Answer, bool, error) {
			if n == 2 {
				return nil, false, &ServerLost{errors.New("connection refused")}
			}
			return openAnswer(), true, nil
		}
		f.execute(f.promptRequest("/stock/1", 2, "unrelated"))
		f.clock.advance(time.Second)
		f.execute(f.promptRequest("/stock/1", 3, "unrelated"))
		time.Sleep(time.Second) // the check of the server's address ends
		if sends := len(f.backends.sent()); sends < 3 {
			t.Fatalf("%d sends, want 3: the test is inconclusive", sends)
		}
		s := quarantine.NewSubjects(quarantine.Fingerprint{1}, "", "desk", []string{"shared", "last"})
		f.g.o.CrashWatch.RecordCrash(quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: "other"}}, s, quarantine.Evidence{Service: "desk"})
		if got := f.partCrashes("shared"); got != 1 {
			t.Errorf("%d crashes recorded against the part, want 1", got)
		}
	})
}

// oneDeskServer edits a view to hold a single server of service desk, and no other region.
func oneDeskServer(v *pb.FleetView) {
	v.Hosts, v.Regions = nil, nil
	v.Servers = slices.DeleteFunc(v.Servers, func(s *pb.FleetServer) bool { return s.Id != "desk1" })
	v.Servers = append(v.Servers, &pb.FleetServer{Id: "desk2", Service: "desk", Leaving: true, Sequence: 1, Address: "10.1.0.2:80", FailureDomain: "w1"})
	for _, n := range []string{"3", "4", "5", "6"} {
		v.Servers = append(v.Servers, &pb.FleetServer{Id: "desk" + n, Service: "desk", Leaving: true, Sequence: 1, Address: "10.1.1." + n + ":80", FailureDomain: "w1"})
	}
}

// openAnswer returns an answer with neither a length nor chunks.
func openAnswer() *Answer {
	a := streamAnswer(event1, false)
	a.OpenEnded = true
	return a
}

// TestPartOfAnotherTeamOrServiceIsNotRefused guards against one caller's crashes leading to the
// refusal of another's requests.
func TestPartOfAnotherTeamOrServiceIsNotRefused(t *testing.T) {
	own := quarantine.NewSubjects(quarantine.Fingerprint{}, "team", "llm", []string{"bad", "last"})
	for _, other := range []quarantine.Subjects{
		quarantine.NewSubjects(quarantine.Fingerprint{}, "other", "llm", []string{"bad", "last"}),
		quarantine.NewSubjects(quarantine.Fingerprint{}, "team", "desk", []string{"bad", "last"}),
		quarantine.NewSubjects(quarantine.Fingerprint{}, "teamllm", "", []string{"bad", "last"}),
	} {
		if other.Parts[0].Fingerprint == own.Parts[0].Fingerprint {
			t.Errorf("the part has the fingerprint of another caller or service: %v", other)
		}
	}
}

// TestForwardWithACrashingPartIsRefused guards against requests with a quarantined part reaching the
// servers of another region by a forward.
func TestForwardWithACrashingPartIsRefused(t *testing.T) {
	f := newCrashFixture(t, port.Refuses)
	f.g.o.ReadPrompt = func(h http.Header) *Prompt {
		return &Prompt{Parts: []dispatch.Part{{ID: h.Get("Part")}, {ID: "own"}}}
	}
	f.crashUnderPart(okAnswer)
	for n := range 3 {
		f.execute(f.promptRequest("/stock/1", n, "bad"))
	}
	f.execute(f.promptRequest("/stock/1", 3, "bad"))
	f.clock.advance(2 * time.Second)
	f.view(sixDeskServers)
	receive := func(part string) *failure.Error {
		header := http.Header{"Part": {part}}
		return f.g.receive(context.Background(), &pb.Request{From: "host-e", Stamp: f.g.stamp(), Body: &pb.Request_RoutedForward{RoutedForward: &pb.RoutedForward{
			RequestId: "f1", Route: "stock", Service: "desk", Method: "POST", Uri: "/stock/1", Host: "h", RemainingMs: 1000, OriginRegion: "east", Headers: forward.Headers(header),
		}}}, &memorySink{})
	}
	if got := receive("bad"); got == nil || got.Code != failure.QuarantinedPart || got.Outcome != failure.NotRun {
		t.Errorf("a forward with the part ended with %v", got)
	}
	if got := receive("other"); got != nil {
		t.Errorf("a forward without the part ended with %v", got)
	}
}

// partCrashes returns the number of crashes recorded against a part of the requests.
func (f *fixture) partCrashes(part string) int {
	records, _ := f.g.o.CrashWatch.Since(0, 100, quarantine.AllRecords)
	for _, r := range records {
		if r.Part == part {
			return len(r.Server)
		}
	}
	return 0
}

// TestWhatClearsAPart checks which answers prove a prompt part sound at a server that then breaks
// the connection of another request with it.
func TestWhatClearsAPart(t *testing.T) {
	release := func(name string) func(*pb.FleetView) {
		return func(v *pb.FleetView) {
			sixDeskServers(v)
			for _, s := range v.Servers {
				s.Release = name
			}
		}
	}
	for _, c := range []struct {
		name    string
		answer  func() *Answer
		between func(*fixture)
		want    int
	}{
		{"a whole answer", okAnswer, nil, 0},
		{"a server's failure", func() *Answer { return ranAnswer(500, "bad") }, nil, 1},
		{"a timeout of the server", func() *Answer { return ranAnswer(504, "late") }, nil, 1},
		{"an answer that is no success", func() *Answer { return ranAnswer(404, "none") }, nil, 1},
		{"an answer of an earlier release", okAnswer, func(f *fixture) {
			f.view(func(v *pb.FleetView) {
				release("v2")(v)
				for _, s := range v.Servers {
					f.g.fleet.MarkGone(s.Id, 0, f.clock.Now())
					s.Id += "-v2"
				}
			})
		}, 1},
		{"an answer that ended with its connection", openAnswer, nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCrashFixture(t, port.Refuses)
			f.view(release("v1"))
			f.crashUnderPart(c.answer)
			f.execute(f.promptRequest("/stock/1", 1, "shared"))
			if c.between != nil {
				c.between(f)
			}
			f.backends.answer = failedAlways
			f.execute(f.promptRequest("/stock/1", 2, "shared"))
			f.g.o.CrashWatch.Settle(context.Background())
			if got := min(1, f.partCrashes("shared")); got != c.want {
				t.Errorf("crashes recorded against the part: %d, want %d", got, c.want)
			}
		})
	}
}
