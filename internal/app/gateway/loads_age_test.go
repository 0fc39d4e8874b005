package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestViewFromBeforeAFreeze guards against a host that was frozen while it waited for a view and takes its figures for
// current.
func TestViewFromBeforeAFreeze(t *testing.T) {
	for frozen, want := range map[time.Duration]int{0: 1, 3 * time.Second: 0} {
		f, c := newOverloadFixture(t, 0, 2)
		f.clock.advance(2 * time.Second)
		f.peers.response = func(*pb.Request) *pb.Response {
			f.clock.advance(frozen)
			return &pb.Response{Body: &pb.Response_FleetView{FleetView: &pb.FleetView{Epoch: 1, Version: 2, HomeRegion: "west", HomeDomain: "w1"}}}
		}
		if _, err := f.g.syncOnce(context.Background(), &controlHost{addr: "c1", domain: "w1"}, true); err != nil {
			t.Fatal(err)
		}
		_ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{})
		if c.updates != want {
			t.Errorf("frozen for %s: %d updates, want %d", frozen, c.updates, want)
		}
	}
}

// TestViewsWithoutLoads guards against loads older than 1.2 s that count as current since a control host that sends
// none still answers.
func TestViewsWithoutLoads(t *testing.T) {
	f, c := newOverloadFixture(t, 0, 2)
	f.clock.advance(admissionMaxAge + time.Millisecond)
	f.g.applyView(&pb.FleetView{Epoch: 1, Version: 2, HomeRegion: "west", HomeDomain: "w1"}, dispatch.ViewScope{Fleet: true, SameHosts: true})
	if _ = f.g.Execute(context.Background(), f.request("/chat/1"), &memorySink{}); c.updates != 0 {
		t.Error("the controller was updated by loads that are too old")
	}
}
