package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/overload"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// fakeController rejects all classes but the first while the room is full.
type fakeController struct {
	updates, refused, served int
	classes                  []overload.Class
	room                     overload.Room
	last                     overload.Request
}

func (c *fakeController) Update(classes []overload.Class, room overload.Room, _ time.Time) overload.Plan {
	c.updates++
	c.classes, c.room = classes, room
	return overload.Plan{Fractions: []float64{1, 0}}
}

func (c *fakeController) Decide(r overload.Request, _ time.Time) overload.Decision {
	c.last = r
	if r.Class > 0 && c.room.Requests >= c.room.Slots {
		return overload.Decision{RetryAfter: 1337 * time.Millisecond, Reason: "full"}
	}
	return overload.Decision{Admit: true, Fraction: 1}
}

func (c *fakeController) Refused(int, time.Time) { c.refused++ }
func (c *fakeController) Served(int, time.Time)  { c.served++ }

// newOverloadFixture returns a gateway whose engines are full or idle, with a fake controller. Chats are less urgent
// than matches.
func newOverloadFixture(t *testing.T, full bool, edit func(*configstate.Record)) (*fixture, *fakeController) {
	f, c := newFixture(t), &fakeController{}
	f.g.overload.newController = func(overload.Options) admissionController { return c }
	rec := baseRecord()
	rec.Routes[0].LatencyTargetMS, rec.Routes[1].LatencyTargetMS, rec.Routes[1].Priority = 800, 3000, 2
	if edit != nil {
		edit(&rec)
	}
	f.install(8, rec)
	f.view(func(v *pb.FleetView) {
		v.Regions = nil
		if full {
			v.Loads = serverload.Encode(serverload.Loads{holders.Key("llm1"): {Requests: 8}, holders.Key("llm2"): {Requests: 8}})
		}
	})
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event1, false), true, nil }
	return f, c
}

// TestAdmission guards against requests that are sent though there is no room for them, and against a rejection of
// requests to which admission does not apply.
func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name, path, origin string
		full               bool
		edit               func(*configstate.Record)
		off                bool
		rejected           bool
		urgency, updates   int
	}{
		{"urgent, full", "/match/1", "", true, nil, false, false, 1, 1},
		{"less urgent, full", "/chat/1", "", true, nil, false, true, 0, 1},
		{"less urgent, free", "/chat/1", "", false, nil, false, false, 3, 1},
		{"forwarded", "/chat/1", "east", true, nil, false, false, 3, 0},
		{"switched off", "/chat/1", "", true, nil, true, false, 0, 0},
		{"one priority", "/chat/1", "", true, func(r *configstate.Record) { r.Routes[1].Priority = 0 }, false, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, controller := newOverloadFixture(t, c.full, c.edit)
			f.g.o.OrderOff = c.off
			r := f.request(c.path)
			r.Origin = c.origin
			err := f.g.Execute(context.Background(), r, &memorySink{})
			sent := f.backends.sent()
			if controller.updates != c.updates {
				t.Errorf("%d updates, want %d", controller.updates, c.updates)
			}
			if c.rejected {
				if err == nil || err.Code != failure.Overloaded || err.Outcome != failure.NotRun || err.RetryAfter != 1337*time.Millisecond || len(sent) > 0 {
					t.Errorf("failure %v, sent %d times", err, len(sent))
				}
				if s := f.g.Admission(); len(s) != 1 || s[0].Rejected["class_1 full"] != 1 || s[0].Slots != 16 || s[0].Requests != 16 {
					t.Errorf("admission reported as %+v", s)
				}
				return
			}
			if err != nil || len(sent) != 1 || sent[0].Urgency != c.urgency {
				t.Errorf("failure %v, sent as %+v", err, sent)
			}
		})
	}
}

// TestAdmissionFigures guards against a controller that learns nothing of arrivals, of callers that waited, or of
// servers that reject requests as full, and against updates by old figures.
func TestAdmissionFigures(t *testing.T) {
	f, c := newOverloadFixture(t, false, nil)
	pause := notRunAnswer(NotRun)
	pause.Pause = serverpause.Demand{For: time.Second}
	for _, answer := range []*Answer{notRunAnswer(NotRun), streamAnswer(event1, false), pause} {
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return answer, true, nil }
		r := f.request("/chat/1")
		r.Wait = 4500 * time.Millisecond // of the route's 5 s
		_ = f.g.Execute(context.Background(), r, &memorySink{})
		f.clock.advance(admissionInterval)
	}
	if c.refused != 2 || c.served != 1 || c.updates != 3 {
		t.Errorf("%d rejections by both servers to the first request, %d served, %d updates", c.refused, c.served, c.updates)
	}
	if c.last.Waited != 500*time.Millisecond || c.classes[1].ReturnsPerSecond <= 0 || c.classes[1].ArrivalsPerSecond != 0 || c.classes[0].ReturnsPerSecond != 0 {
		t.Errorf("request %+v, classes %+v", c.last, c.classes)
	}
	f.clock.advance(admissionMaxAge)
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event1, false), true, nil }
	_ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
	if c.updates != 3 {
		t.Error("the controller was updated by a view that is too old")
	}
}

// TestUrgency guards against a late request that is served before one that can be in time.
func TestUrgency(t *testing.T) {
	var got []int
	for _, classes := range []int{0, 3} {
		for class := range max(1, classes) {
			got = append(got, urgencyOf(class, classes, false), urgencyOf(class, classes, true))
		}
	}
	if want := []int{0, 7, 1, 7, 3, 8, 5, 8}; !slices.Equal(got, want) {
		t.Errorf("urgencies %v, want %v", got, want)
	}
}
