package gateway

import (
	"context"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestAdmissionByOldViews guards against a controller that is updated by a view older than 1.2 s, and against one that
// gets no updates by a younger one.
func TestAdmissionByOldViews(t *testing.T) {
	for age, want := range map[time.Duration]int{admissionMaxAge: 1, admissionMaxAge + time.Millisecond: 0} {
		f, c := newOverloadFixture(t, 0, 2)
		f.clock.advance(age)
		_ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
		if c.updates != want {
			t.Errorf("view of %s: %d updates, want %d", age, c.updates, want)
		}
	}
}

// TestAdmissionByRejectionsAlone guards against a host without views that goes on sending to servers that reject
// requests as full, and against one that rejects requests for good.
func TestAdmissionByRejectionsAlone(t *testing.T) {
	f, _ := newOverloadFixture(t, 0, 2)
	f.g.overload.newController = newOverloadState().newController
	_ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
	f.clock.advance(2500 * time.Millisecond)
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return notRunAnswer(NotRun), true, nil }
	unsent := 0
	for range 40 {
		before := len(f.backends.sent())
		err := f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
		if len(f.backends.sent()) == before {
			unsent++
			if err == nil || err.Code != failure.Overloaded || err.RetryAfter <= 0 {
				t.Fatalf("failure %v", err)
			}
		}
		f.clock.advance(100 * time.Millisecond)
	}
	if unsent < 20 {
		t.Errorf("%d of 40 requests rejected by admission", unsent)
	}
	f.clock.advance(10 * time.Second)
	before := len(f.backends.sent())
	_ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
	if len(f.backends.sent()) == before {
		t.Error("a request is rejected 10 s after the last rejection by a server")
	}
}

// TestAdmissionWhileControlHostsAreApart guards against a controller that is told only the requests of the hosts on
// one side of a partition, though servers report more.
func TestAdmissionWhileControlHostsAreApart(t *testing.T) {
	f, c := newOverloadFixture(t, 2, 2)
	for range 50 {
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
			a := streamAnswer(event1, false)
			a.Requests = 8
			return a, true, nil
		}
		_ = f.g.Execute(context.Background(), f.request("/match/1"), &memorySink{})
		f.clock.advance(20 * time.Millisecond)
	}
	if c.room.Requests < 10 {
		t.Errorf("room %+v, while servers report 16 requests", c.room)
	}
}

// TestWorkTimesThatStop guards against a speed that is kept after malformed figures, or none, for a minute, and against
// one that a single malformed figure changes.
func TestWorkTimesThatStop(t *testing.T) {
	for _, malformed := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9} {
		f, figure := newFixture(t), 2.0
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
			a := ranAnswer(200, "ok")
			a.WorkTime = figure
			return a, true, nil
		}
		send := func() { _ = f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{}) }
		send()
		figure = malformed
		for _, s := range []struct {
			after    time.Duration
			reported bool
		}{{time.Second, true}, {time.Minute, false}} {
			f.clock.advance(s.after)
			send()
			factors := f.g.Speeds()["desk"].WorkFactors
			if (factors != nil) != s.reported {
				t.Errorf("%v for %s: factors %+v", malformed, s.after, factors)
			}
			for id, w := range factors {
				if w.Factor != 2 {
					t.Errorf("%v: factor %v of %s", malformed, w.Factor, id)
				}
			}
		}
	}
}

// TestAdmissionAfterServersAreLost guards against a room that keeps the slots of servers which the last view names as
// gone.
func TestAdmissionAfterServersAreLost(t *testing.T) {
	f, c := newOverloadFixture(t, 8, 2)
	f.view(func(v *pb.FleetView) {
		v.Regions = nil
		v.Servers = []*pb.FleetServer{{Id: "llm1", Service: "llm", Gone: true}}
		v.Loads = serverload.Encode(serverload.Loads{holders.Key("llm1"): {Requests: 8}, holders.Key("llm2"): {Requests: 16}})
	})
	_ = f.g.Execute(context.Background(), f.request("/match/1"), &memorySink{})
	if c.room.Slots != 8 || c.room.Requests != 16 {
		t.Errorf("room %+v, want 8 slots and 16 requests", c.room)
	}
}

// slowBody gives one byte, and then nothing until its caller's deadline, which it lets pass.
type slowBody struct {
	expire func()
	begun  bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		return copy(p, "x"), nil
	}
	b.expire()
	return 0, context.DeadlineExceeded
}

func (b *slowBody) Close() error { return nil }

// TestSlowAnswerIsNoFailure guards against a server that counts as failing because its answer arrived slowly until the
// caller's deadline.
func TestSlowAnswerIsNoFailure(t *testing.T) {
	for _, path := range []string{"/stock/1", "/match/1"} {
		f := newFixture(t)
		x, _ := f.g.begin(context.Background(), f.request(path), &memorySink{})
		ctx, cancel := context.WithCancel(context.Background())
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
			return &Answer{Head: Head{Status: 200, Header: http.Header{}, Length: -1}, Body: &slowBody{expire: cancel}}, true, nil
		}
		if res := f.g.attempt(ctx, x, f.g.place(x)); res.outcome != dispatch.CallerEnded || res.err == nil {
			t.Errorf("%s: ended with %d, %v", path, res.outcome, res.err)
		}
	}
}
