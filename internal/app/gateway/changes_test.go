package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/overload"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// withManyRoutes returns the record with so many further routes, each to a path of its own.
func withManyRoutes(rec configstate.Record, n int) configstate.Record {
	routes := append([]configstate.Route{}, rec.Routes...)
	for i := range n {
		r := rec.Routes[i%len(rec.Routes)]
		r.Name, r.PathPrefix = fmt.Sprintf("more-%d", i), fmt.Sprintf("/more%d/", i)
		routes = append(routes, r)
	}
	rec.Routes = routes
	return rec
}

// TestManyRoutesUnderOverload guards against requests that end without a response when a configuration with 2,000
// further routes comes while the servers are short of room by half, and against the loss of the state of admission.
func TestManyRoutesUnderOverload(t *testing.T) {
	f, c := newOverloadFixture(t, 12, 2)
	made := 0
	f.g.overload.newController = func(overload.Options) admissionController { made++; return c }
	before := *f.g.config.Load().Record
	f.backends.answer = func(n int, _ *Attempt) (*Answer, bool, error) {
		if n == 2 { // the configuration comes while a request runs
			f.install(9, withManyRoutes(before, 2000))
		}
		return streamAnswer(event1, false), true, nil
	}
	for i, path := range []string{"/match/1", "/chat/1", "/match/2", "/chat/2", "/match/3", "/more0/1", "/more1996/1", "/more1/1", "/more1997/1"} {
		sink := &memorySink{}
		err := f.g.Execute(context.Background(), f.request(path), sink)
		urgent := i%2 == 0 && i < 5 || i == 5 || i == 6
		if urgent && (err != nil || sink.body.String() != event1) {
			t.Errorf("%s: %v, %q", path, err, sink.body.String())
		}
		if !urgent && (err == nil || err.Code != failure.Overloaded || err.Outcome != failure.NotRun || err.RetryAfter <= 0) {
			t.Errorf("%s: %v, want a rejection with a Retry-After", path, err)
		}
		f.clock.advance(10 * time.Millisecond)
	}
	// Requests that may run in both regions have a controller of their own.
	if version := f.g.stamp().GetVersion(); version != 9 || made != 2 {
		t.Errorf("version %d in force, %d controllers", version, made)
	}
}

// BenchmarkDecisionWithManyRoutes measures a request that is rejected by admission, with new figures for each and with
// a new configuration for each.
func BenchmarkDecisionWithManyRoutes(b *testing.B) {
	for _, routes := range []int{0, 2000} {
		for _, renewed := range []bool{false, true} {
			b.Run(fmt.Sprintf("routes=%d/new-configuration=%v", routes+4, renewed), func(b *testing.B) {
				f, _ := newOverloadFixture(b, 12, 2)
				rec := withManyRoutes(*f.g.config.Load().Record, routes)
				f.install(9, rec)
				first := f.g.config.Load()
				f.install(10, rec)
				both := [2]*configstate.Installed{f.g.config.Load(), first}
				for i := 0; b.Loop(); i++ {
					if renewed {
						f.g.config.Store(both[i%2])
					}
					f.g.overload.admissions = map[admissionKey]*admission{} // the next decision takes new figures
					if err := f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{}); err == nil || err.Code != failure.Overloaded {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// TestRevokedKeyUnderOverload guards against requests with a revoked key that are admitted at a reserved time, and
// against such requests that count as demand for the room.
func TestRevokedKeyUnderOverload(t *testing.T) {
	f, c := newOverloadFixture(t, 12, 2)
	rec := *f.g.config.Load().Record
	rec.KeysRequired = true
	rec.Teams = []configstate.Team{{Name: "hall", KeyHashes: []string{configstate.KeyHash("hall-key")}}, {Name: "press", KeyHashes: []string{configstate.KeyHash("press-key")}}}
	send := func(key, path string, waited time.Duration) *failure.Error {
		r := f.request(path)
		r.Key, r.Wait = withKey(key), 5*time.Second-waited
		confirmed := r.Arrived.Add(time.Millisecond)
		f.g.configCurrentAt.Store(&confirmed)
		return f.g.Execute(context.Background(), r, &memorySink{})
	}
	f.install(9, rec)
	if err := send("press-key", "/chat/1", 0); err == nil || err.Code != failure.Overloaded {
		t.Fatalf("before the revocation: %v", err)
	}
	rec.Teams = rec.Teams[:1]
	f.install(10, rec)
	f.clock.advance(1250 * time.Millisecond)
	f.view(nil)
	c.last = overload.Request{}
	for _, path := range []string{"/chat/1", "/match/1"} {
		if err := send("press-key", path, 1250*time.Millisecond); err == nil || err.Code != failure.Unauthorized || err.Outcome != failure.NotRun {
			t.Errorf("%s with the revoked key: %v", path, err)
		}
	}
	if c.last.Remaining != 0 || len(f.backends.sent()) != 0 {
		t.Errorf("decided on %+v, sent %d times", c.last, len(f.backends.sent()))
	}
	if err := send("hall-key", "/match/1", 0); err != nil || c.classes[1].ReturnsPerSecond != 0 {
		t.Errorf("another key: %v, classes %+v", err, c.classes)
	}
}

// TestAddedHostUnderOverload guards against a host that sends requests before it has a view, and against one that
// applies no admission although its first view comes from a control host that knows all servers.
func TestAddedHostUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name    string
		uptime  time.Duration // of the control host
		decides bool
	}{
		{"the control host has just started", 300 * time.Millisecond, false},
		{"the control host knows all servers", time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, controller := newOverloadFixture(t, 12, 2)
			rec := *f.g.config.Load().Record
			f.g = newStartingFixture(t).g
			f.g.o.Clock, f.g.o.Backends = f.clock, f.backends
			f.g.overload.newController = func(overload.Options) admissionController { return controller }
			f.g.startup = dispatch.NewStartup(f.clock.Now(), 0, 0)
			if err := f.g.Execute(context.Background(), &Request{ID: "r", Host: "h", Path: "/chat/1", Arrived: f.clock.Now(), Wait: 40 * time.Millisecond}, &memorySink{}); err == nil || err.Code != failure.NotReady {
				t.Fatalf("without a view: %v", err)
			}
			f.install(8, rec)
			f.view(func(v *pb.FleetView) {
				v.Regions, v.UptimeMs = nil, uint64(c.uptime.Milliseconds())
				v.Loads = serverload.Encode(serverload.Loads{holders.Key("llm1"): {Requests: 12}, holders.Key("llm2"): {Requests: 12}})
			})
			f.g.signalInitialized()
			err := f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
			if rejected := err != nil && err.Code == failure.Overloaded; rejected != c.decides {
				t.Errorf("less urgent request: %v", err)
			}
			if err := f.g.Execute(context.Background(), f.request("/match/1"), &memorySink{}); err != nil {
				t.Errorf("urgent request: %v", err)
			}
		})
	}
}
