package gateway

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestRequestsWaitForTheStart sends a request to a host without a configuration and then installs
// one: the request is served, once.
func TestRequestsWaitForTheStart(t *testing.T) {
	f := newStartingFixture(t)
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ranAnswer(http.StatusOK, "ok"), true, nil }
	r := f.request("/order/1")
	sink, ended := &memorySink{}, make(chan *failure.Error)
	go func() { ended <- f.g.Execute(context.Background(), r, sink) }()
	f.install(7, baseRecord())
	f.view(nil)
	f.g.signalInitialized()
	f.g.signalInitialized() // called after each view
	if fail := <-ended; fail != nil {
		t.Fatalf("ended with %+v", fail)
	}
	if n := len(f.backends.sent()); n != 1 || sink.head == nil {
		t.Errorf("sent %d times, answer head %v", n, sink.head)
	}
}

// TestRefusedWhenTheStartTakesLong sends a request after the time by which a host usually has the
// configuration: it is refused at once.
func TestRefusedWhenTheStartTakesLong(t *testing.T) {
	f := newStartingFixture(t)
	f.clock.advance(3 * time.Second)
	fail := f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
	if fail == nil || fail.Code != failure.NotReady || fail.Outcome != failure.NotRun || fail.RetryAfter <= 0 {
		t.Fatalf("ended with %+v", fail)
	}
}

// TestStartQueriesRegionsControlHosts checks that a host without a configuration also queries its
// region's other control hosts while the one of its failure domain answers, as that one may have
// no configuration itself. Those of other regions are queried only if none of its region answers.
func TestStartQueriesRegionsControlHosts(t *testing.T) {
	f := newStartingFixture(t)
	f.g.control.answers.RecordAnswer("c", controlhosts.SameDomain, 0, f.clock.Now())
	if f.g.shouldQuery(controlhosts.SameRegion) {
		t.Error("other control hosts are queried before the nearest one had time to answer")
	}
	f.clock.advance(time.Second)
	if !f.g.shouldQuery(controlhosts.SameRegion) || f.g.shouldQuery(controlhosts.OtherRegion) {
		t.Errorf("without a configuration the region's other control hosts are queried: %v, those of other regions: %v",
			f.g.shouldQuery(controlhosts.SameRegion), f.g.shouldQuery(controlhosts.OtherRegion))
	}
	f.install(7, baseRecord())
	if f.g.shouldQuery(controlhosts.SameRegion) {
		t.Error("the region's other control hosts are queried although a nearer one answers")
	}
}

// TestRequestsWaitForServers sends a request to a host that has just started and has a
// configuration but no server: it is served after the first view with servers. Later, when
// servers would have announced themselves, such a request is refused at once.
func TestRequestsWaitForServers(t *testing.T) {
	f := newStartingFixture(t)
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ranAnswer(http.StatusOK, "ok"), true, nil }
	f.install(7, baseRecord())
	f.view(func(v *pb.FleetView) { v.Servers, v.Regions = nil, nil })
	f.g.signalInitialized()
	sink, ended := &memorySink{}, make(chan *failure.Error)
	go func() { ended <- f.g.Execute(context.Background(), f.request("/order/1"), sink) }()
	for f.g.waitingForStart() == 0 {
		runtime.Gosched()
	}
	f.view(nil)
	if fail := <-ended; fail != nil || sink.head == nil {
		t.Fatalf("ended with %+v", fail)
	}
	f.view(func(v *pb.FleetView) {
		v.Regions = nil
		for _, s := range v.Servers {
			s.Gone = true
		}
	})
	f.clock.advance(5 * time.Second)
	fail := f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
	if fail == nil || fail.Code != failure.NoServer || fail.Outcome != failure.NotRun {
		t.Errorf("later: %+v", fail)
	}
}

func (g *Gateway) waitingForStart() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.startup.Waiting()
}

// shouldQuery reports whether control hosts at a distance are to be queried now.
func (g *Gateway) shouldQuery(d controlhosts.Distance) bool {
	now := g.o.Clock.Now()
	configured, age := g.config.Load() != nil, g.startup.Age(now)
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	return g.control.answers.ShouldQuery(d, configured, age, now)
}
