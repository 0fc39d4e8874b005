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

// TestRequestsWaitForTheStart sends a request to a host that knows no configuration yet,
// and lets one come: the request is served, once.
func TestRequestsWaitForTheStart(t *testing.T) {
	f := newStartingFixture(t)
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ran(http.StatusOK, "ok"), true, nil }
	r := f.request("/order/1")
	sink, ended := &memorySink{}, make(chan *failure.Error)
	go func() { ended <- f.g.Execute(context.Background(), r, sink) }()
	f.install(7, baseRecord())
	f.view(nil)
	f.g.noteKnown()
	f.g.noteKnown() // with each view
	if fail := <-ended; fail != nil {
		t.Fatalf("ended with %+v", fail)
	}
	if n := len(f.backends.sent()); n != 1 || sink.head == nil {
		t.Errorf("sent %d times, answer head %v", n, sink.head)
	}
}

// TestRefusedWhenTheStartTakesLong comes after the time in which a host usually knows the
// configuration: the request is refused at once.
func TestRefusedWhenTheStartTakesLong(t *testing.T) {
	f := newStartingFixture(t)
	f.clock.advance(3 * time.Second)
	fail := f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
	if fail == nil || fail.Code != failure.NotReady || fail.Outcome != failure.NotRun || fail.RetryAfter <= 0 {
		t.Fatalf("ended with %+v", fail)
	}
}

// TestStartHearsTheRegionsControlHosts: a host without a configuration goes on asking the
// region's other control hosts while the one of its failure domain answers, which may
// know none itself; those of other regions only when none of its own answers.
func TestStartHearsTheRegionsControlHosts(t *testing.T) {
	f := newStartingFixture(t)
	f.g.control.heard.RecordAnswer("c", controlhosts.SameDomain, 0, f.clock.Now())
	if f.g.asks(controlhosts.SameRegion) {
		t.Error("others are asked before the nearest control host had time to answer")
	}
	f.clock.advance(time.Second)
	if !f.g.asks(controlhosts.SameRegion) || f.g.asks(controlhosts.OtherRegion) {
		t.Errorf("without a configuration the region's other control hosts are asked: %v, those of other regions: %v",
			f.g.asks(controlhosts.SameRegion), f.g.asks(controlhosts.OtherRegion))
	}
	f.install(7, baseRecord())
	if f.g.asks(controlhosts.SameRegion) {
		t.Error("the region's other control hosts are asked though a nearer one is there")
	}
}

// TestRequestsWaitForServers sends a request to a host that has just started and knows the
// configuration, but no server yet: it goes on with the view that names one. Later, when
// servers would have announced themselves, it is refused at once.
func TestRequestsWaitForServers(t *testing.T) {
	f := newStartingFixture(t)
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ran(http.StatusOK, "ok"), true, nil }
	f.install(7, baseRecord())
	f.view(func(v *pb.FleetView) { v.Servers, v.Regions = nil, nil })
	f.g.noteKnown()
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

// asks reports whether control hosts at a distance are to be asked now.
func (g *Gateway) asks(d controlhosts.Distance) bool {
	now := g.o.Clock.Now()
	configured, age := g.config.Load() != nil, g.startup.Age(now)
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	return g.control.heard.ShouldQuery(d, configured, age, now)
}
