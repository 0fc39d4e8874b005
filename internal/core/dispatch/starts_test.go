package dispatch

import (
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/incarnation"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// restartedView returns a view in which s0 runs as a process with the given start time.
func restartedView(start int64) *pb.FleetView {
	v := testView(1)
	v.Servers[0].Start = start
	return v
}

// TestRestartForgetsTheServer checks that no state of a server's earlier incarnation applies to
// the next one: cache, load, failures, cold phase, leaving, and holders reported by other
// hosts.
func TestRestartForgetsTheServer(t *testing.T) {
	f := newTestFleet(1)
	v := restartedView(10)
	v.Servers[0].Leaving = true
	f.ApplyView(v, FullScope, start)
	old := f.servers["s0"]
	old.health.recordConnectionFailure(start)
	old.SetCold(start.Add(time.Hour))
	old.own.add(load{5, 100, 100})

	v = restartedView(20)
	v.Loads = serverload.Encode(serverload.Loads{incarnation.Key("s0", 10): {Requests: 60}})
	v.Prompts = holders.Encode([]holders.Place{{Chain: holders.Key("chain"), Server: incarnation.Key("s0", 10)}})
	f.ApplyView(v, FullScope, start)
	s := f.servers["s0"]
	if s == old || s.Leaving || s.inFlight() != 0 || s.others.requests != 0 || start.Before(s.ColdUntil) || f.usable(s, start) != "" {
		t.Errorf("the state of the new incarnation is %+v", s)
	}
	for _, h := range f.holders.Holders(holders.Key("chain")) {
		if f.serversByKey[h.Server] != nil {
			t.Error("a holder entry of the earlier incarnation leads to the new one")
		}
	}
	f.ApplyView(restartedView(10), FullScope, start) // a late view
	if f.servers["s0"] != s {
		t.Error("a late view restored the earlier incarnation")
	}
}

// TestRestartLosesRequestsUnderWay checks that an attempt at a process that was replaced counts
// as lost at once, and that its end does not change the state of the new process.
func TestRestartLosesRequestsUnderWay(t *testing.T) {
	f := newTestFleet(1)
	f.ApplyView(restartedView(10), FullScope, start)
	c := f.Choose(shortJob(), start)
	f.Started(&c, start)
	if f.Lost(&c, start) || f.Replaced(&c) {
		t.Fatal("lost while its server is well")
	}
	f.ApplyView(restartedView(20), FullScope, start)
	if !f.Lost(&c, start) || !f.Replaced(&c) {
		t.Error("not lost though another process runs under the ID")
	}
	f.Ended(&c, ConnectionFailed, 0, start)
	if s := f.servers["s0"]; s == nil || s.inFlight() != 0 || f.usable(s, start) != "" {
		t.Errorf("the end of the lost attempt changed the new incarnation: %+v", s)
	}
}

// TestGoneServerMayReturnAsNewIncarnation checks that an incarnation that left is not used
// again, and that the next one is.
func TestGoneServerMayReturnAsNewIncarnation(t *testing.T) {
	f := newTestFleet(1)
	f.ApplyView(restartedView(10), FullScope, start)
	f.MarkGone("s0", 10, start)
	f.ApplyView(restartedView(10), FullScope, start)
	if f.servers["s0"] != nil {
		t.Error("an incarnation that left is used again")
	}
	f.ApplyView(restartedView(20), FullScope, start)
	if f.servers["s0"] == nil {
		t.Error("the next incarnation is not used")
	}
	f.MarkGone("s0", 10, start) // a late message
	if s := f.servers["s0"]; s == nil || s.Leaving {
		t.Error("a late message on the earlier incarnation removed the next one")
	}
}
