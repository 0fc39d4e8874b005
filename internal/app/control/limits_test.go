package control

import (
	"context"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestLimitsReachTheHostsOfTheRegion guards against limits that only the host of the answer knows.
func TestLimitsReachTheHostsOfTheRegion(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	fleets := map[string]*Fleet{}
	for _, domain := range []string{"d0", "d1", "e0"} {
		fleets[domain] = newFleetAt(t, clock, "control-"+domain, domain, worldRegions[domain], worldRegions, []string{"control-d0", "control-d1", "control-e0"})
	}
	exchange := func(from, to string) {
		x, next := fleets[from].buildExchange("control-" + to)
		fleets[to].applyExchange(x)
		fleets[from].cursors["control-"+to] = next
	}
	sync := func(domain string, have *pb.FleetView, limits *pb.ServerLimits) *pb.FleetView {
		m := &pb.FleetSync{Host: &pb.FleetHost{Id: "h-" + domain, Region: worldRegions[domain], FailureDomain: domain, Ready: true}, Limits: limits}
		m.HaveEpoch, m.HaveVersion, m.HaveLimits = have.GetEpoch(), have.GetVersion(), have.GetLimitsNext()
		return fleets[domain].handleSync(context.Background(), m)
	}
	exchangeAll := func() {
		for _, from := range []string{"d0", "d1", "e0"} {
			for _, to := range []string{"d0", "d1", "e0"} {
				if from != to {
					exchange(from, to)
				}
			}
		}
	}
	exchangeAll()
	limit := func(revision uint64, perSecond float64) *pb.ServerLimits {
		return &pb.ServerLimits{Server: []uint32{7}, Revision: []uint64{revision}, PerSecond: []float64{perSecond}}
	}
	sync("d0", nil, limit(1, 2.5))
	exchangeAll()
	near, far := sync("d1", nil, nil), sync("e0", nil, nil)
	if l := near.Limits; len(l.GetServer()) != 1 || l.Server[0] != 7 || l.Revision[0] != 1 || l.PerSecond[0] != 2.5 {
		t.Errorf("a host of the other failure domain received %v", l)
	}
	if far.Limits != nil {
		t.Errorf("a host of another region received %v", far.Limits)
	}
	if again := sync("d1", near, nil); again.Limits != nil {
		t.Errorf("an unchanged limit was sent again: %v", again.Limits)
	}
	sync("d1", near, limit(1, 0))
	exchangeAll()
	sync("d0", nil, limit(1, 2.5)) // late
	if l := sync("d0", nil, nil).Limits; len(l.GetServer()) != 1 || l.PerSecond[0] != 0 {
		t.Errorf("after the withdrawal a host received %v", l)
	}
	if other := sync("d1", &pb.FleetView{Epoch: near.Epoch + 1, Version: near.Version, LimitsNext: near.LimitsNext + 9}, nil); len(other.Limits.GetServer()) != 1 {
		t.Errorf("a host with the view of an earlier process received %v", other.Limits)
	}
}
