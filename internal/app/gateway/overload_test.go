package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/overload"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
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
	c.updates, c.classes, c.room = c.updates+1, classes, room
	return overload.Plan{}
}

func (c *fakeController) Decide(r overload.Request, _ time.Time) overload.Decision {
	c.last = r
	return overload.Decision{Admit: r.Class == 0 || c.room.Requests < c.room.Slots, RetryAfter: 1337 * time.Millisecond, Reason: "full"}
}

func (c *fakeController) Refused(int, time.Time) { c.refused++ }
func (c *fakeController) Served(int, time.Time)  { c.served++ }

// newOverloadFixture returns a gateway with two engines of 8 slots and so many requests at each, and with a fake
// controller. Chats, of the given priority, are less urgent than matches.
func newOverloadFixture(t testing.TB, requests uint32, priority int) (*fixture, *fakeController) {
	f, c, rec := newFixture(t), &fakeController{}, baseRecord()
	f.g.overload.newController = func(overload.Options) admissionController { return c }
	rec.Routes[0].LatencyTargetMS, rec.Routes[1].LatencyTargetMS, rec.Routes[1].Priority = 800, 3000, priority
	f.install(8, rec)
	f.view(func(v *pb.FleetView) {
		v.Regions = nil
		v.Loads = serverload.Encode(serverload.Loads{holders.Key("llm1"): {Requests: requests}, holders.Key("llm2"): {Requests: requests}})
	})
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event1, false), true, nil }
	return f, c
}

// TestAdmission guards against requests that are sent though there is no room for them, and against a rejection of
// requests to which admission does not apply.
func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name, path, origin string
		requests           uint32
		priority           int // of chats
		off, rejected      bool
		urgency, updates   int
		resumeAfter        uint64
	}{
		{"urgent, full", "/match/1", "", 8, 2, false, false, 1, 1, 0},
		{"less urgent, full", "/chat/1", "", 8, 2, false, true, 0, 1, 0},
		{"less urgent, free", "/chat/1", "", 0, 2, false, false, 3, 1, 0},
		{"forwarded", "/chat/1", "east", 8, 2, false, false, 3, 0, 0},
		{"stream that is taken up", "/chat/1", "", 8, 2, false, false, 3, 0, 1},
		{"switched off", "/chat/1", "", 8, 2, true, false, 0, 0, 0},
		{"one priority", "/chat/1", "", 8, 0, false, false, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, controller := newOverloadFixture(t, c.requests, c.priority)
			f.g.o.OrderOff = c.off
			r := f.request(c.path)
			r.Origin, r.ResumeAfter, r.Resumes = c.origin, c.resumeAfter, "a1"
			f.g.streams.record(streamorigin.Key("a1"), streamorigin.Origin{Service: "llm"}, f.clock.Now())
			err := f.g.Execute(context.Background(), r, &memorySink{})
			sent := f.backends.sent()
			if controller.updates != c.updates {
				t.Errorf("%d updates, want %d", controller.updates, c.updates)
			}
			if !c.rejected {
				if err != nil || len(sent) != 1 || sent[0].Urgency != c.urgency {
					t.Errorf("failure %v, sent as %+v", err, sent)
				}
				return
			}
			if err == nil || err.Code != failure.Overloaded || err.Outcome != failure.NotRun || err.RetryAfter != 1337*time.Millisecond || len(sent) > 0 {
				t.Errorf("failure %v, sent %d times", err, len(sent))
			}
			if s := f.g.Admission(); len(s) != 1 || s[0].Rejected["class_1 full"] != 1 || s[0].Slots != 16 || s[0].Requests != 16 {
				t.Errorf("admission reported as %+v", s)
			}
		})
	}
}

// TestAdmissionWithoutServers guards against a rejection for lack of room that hides that no server is usable, and
// against requests that are forwarded to a full region because the own one has no server.
func TestAdmissionWithoutServers(t *testing.T) {
	for slots, want := range map[uint32]failure.Code{0: failure.NoServer, 16: failure.Overloaded} {
		f, _ := newOverloadFixture(t, 0, 2)
		f.g.config.Load().Record.Routes[1].Homes = []string{"east"}
		f.view(func(v *pb.FleetView) {
			v.Regions = []*pb.RegionLoad{{Region: "east", Service: "llm", Servers: slots / 8, Slots: slots, Requests: slots}}
		})
		if err := f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{}); err == nil || err.Code != want {
			t.Errorf("%d slots in the other region: %v, want %s", slots, err, want)
		}
	}
}

// TestAdmissionFigures guards against a controller that learns nothing of callers that waited or of servers that
// reject requests as full, and against updates by old figures.
func TestAdmissionFigures(t *testing.T) {
	f, c := newOverloadFixture(t, 0, 2)
	pause := notRunAnswer(NotRun)
	pause.Pause = serverpause.Demand{For: time.Second}
	for _, answer := range []*Answer{notRunAnswer(NotRun), streamAnswer(event1, false), pause, pause} {
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return answer, true, nil }
		r := f.request("/chat/1")
		r.Wait = 3750 * time.Millisecond // of the route's 5 s
		_ = f.g.Execute(context.Background(), r, &memorySink{})
		f.clock.advance(admissionMaxAge / 3)
	}
	if c.refused != 2 || c.served != 1 || c.updates != 4 {
		t.Errorf("%d rejections by both servers, %d served, %d updates", c.refused, c.served, c.updates)
	}
	if c.last.Waited != 1250*time.Millisecond || c.classes[1].ReturnsPerSecond <= 0 || c.classes[1].ArrivalsPerSecond != 0 || c.classes[0].ReturnsPerSecond != 0 {
		t.Errorf("request %+v, classes %+v", c.last, c.classes)
	}
	if _ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{}); c.updates != 4 {
		t.Error("the controller was updated by a view that is too old")
	}
}

// TestAdmissionWhileStarting guards against rejections by a host that does not know all servers yet.
func TestAdmissionWhileStarting(t *testing.T) {
	f, c := newOverloadFixture(t, 8, 2)
	f.g.startup = dispatch.NewStartup(f.clock.Now(), 0, 0)
	if err := f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{}); err != nil || c.last.Remaining != 0 {
		t.Errorf("failure %v, decided on %+v", err, c.last)
	}
}

// TestStatedTimesVary guards against first attempts that count as retries since their callers state less than the
// route's time.
func TestStatedTimesVary(t *testing.T) {
	f, c := newOverloadFixture(t, 0, 2)
	r := f.request("/chat/1")
	r.Wait = 4250 * time.Millisecond // 15% less than the route's 5 s
	_ = f.g.Execute(context.Background(), r, &memorySink{})
	if c.last.Waited != 0 || c.last.Recognized != time.Second {
		t.Errorf("decided on %+v", c.last)
	}
}

// TestDemandWithinReach guards against arrivals that no region may run and that would take room from others.
func TestDemandWithinReach(t *testing.T) {
	f, c := newOverloadFixture(t, 0, 2)
	f.g.config.Load().Record.Routes[1].Homes = []string{"south"}
	for range 2 {
		_ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
		f.clock.advance(admissionMaxAge / 3)
	}
	_ = f.g.Execute(context.Background(), f.request("/match/1"), &memorySink{})
	if c.updates == 0 || c.classes[1].ArrivalsPerSecond != 0 {
		t.Errorf("%d updates, classes %+v", c.updates, c.classes)
	}
}

// TestUrgency guards against a late request that is served before one that can be in time.
func TestUrgency(t *testing.T) {
	got := []int{urgencyOf(0, 0, false), urgencyOf(0, 0, true)}
	for class := range 3 {
		got = append(got, urgencyOf(class, 3, false), urgencyOf(class, 3, true))
	}
	if want := []int{0, 7, 1, 7, 3, 8, 5, 8}; !slices.Equal(got, want) {
		t.Errorf("urgencies %v, want %v", got, want)
	}
}

// TestAdmissionAfterAnOutage guards against rejections by a plan for no slots while a server has just come back.
func TestAdmissionAfterAnOutage(t *testing.T) {
	f, c := newOverloadFixture(t, 0, 2)
	for _, back := range []bool{false, true} {
		f.view(func(v *pb.FleetView) {
			v.Regions = nil
			for _, s := range v.Servers {
				if s.Sequence, s.Leaving = 2, !back; back {
					s.Id = "new-" + s.Id
				}
			}
		})
		_ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
	}
	if len(f.backends.sent()) != 1 || c.updates != 1 {
		t.Errorf("sent %d times after %d updates", len(f.backends.sent()), c.updates)
	}
}

// TestAdmissionAfterAConfigurationChange guards against answers to requests of an earlier configuration that replace
// the controller of the current one, and against a status of services that have no classes any more.
func TestAdmissionAfterAConfigurationChange(t *testing.T) {
	f, c := newOverloadFixture(t, 0, 2)
	made := 0
	f.g.overload.newController = func(overload.Options) admissionController { made++; return c }
	rec := *f.g.config.Load().Record
	rec.Routes = slices.Clone(rec.Routes)
	rec.Routes[1].LatencyTargetMS = 2000
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
		if made == 1 { // a request under the new configuration comes while this one runs
			f.install(9, rec)
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event1, false), true, nil }
			_ = f.g.Execute(context.Background(), f.request("/chat/2"), &memorySink{})
		}
		return streamAnswer(event1, false), true, nil
	}
	_ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
	if made != 2 || c.served != 1 || len(f.g.Admission()) != 1 {
		t.Errorf("%d controllers, %d answers, status %+v", made, c.served, f.g.Admission())
	}
	same := rec
	same.Routes = slices.Clone(rec.Routes)
	same.Routes[1].Priority = same.Routes[0].Priority
	f.install(10, same)
	if _ = f.g.Execute(context.Background(), f.request("/chat/3"), &memorySink{}); len(f.g.Admission()) != 0 {
		t.Errorf("status %+v of a service without classes", f.g.Admission())
	}
}
