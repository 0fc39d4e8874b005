package control

import (
	"context"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestOriginsOfStreamsReachOtherRegions guards against streams that only one region can go on with.
func TestOriginsOfStreamsReachOtherRegions(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	domains := []string{"d0", "d1", "e0"}
	fleets := map[string]*Fleet{}
	for _, domain := range domains {
		fleets[domain] = newFleetAt(t, clock, "control-"+domain, domain, worldRegions[domain], worldRegions, []string{"control-d0", "control-d1", "control-e0"})
	}
	exchangeAll := func() {
		for _, from := range domains {
			for _, to := range domains {
				if from != to {
					x, next := fleets[from].buildExchange("control-" + to)
					fleets[to].applyExchange(x)
					fleets[from].cursors["control-"+to] = next
				}
			}
		}
	}
	exchangeAll()
	stream := streamorigin.Key("attempt")
	fleets["d1"].handleSync(context.Background(), &pb.FleetSync{
		Host:    &pb.FleetHost{Id: "h1", Region: "r", FailureDomain: "d1", Ready: true},
		Streams: &pb.StreamOrigins{Stream: []uint64{stream}, Origin: []uint32{0}, Service: []string{"llm"}, Release: []string{"v1.1"}},
	})
	exchangeAll()
	for _, domain := range domains {
		resp := fleets[domain].replica.HandleRequest(context.Background(), &pb.Request{Body: &pb.Request_StreamQuery{StreamQuery: &pb.StreamQuery{Stream: stream}}})
		if m := resp.GetStreamOrigins(); len(m.GetRelease()) != 1 || m.Release[0] != "v1.1" || m.Service[0] != "llm" {
			t.Errorf("the control host of %s answers %v", domain, m)
		}
	}
	if resp := fleets["e0"].replica.HandleRequest(context.Background(), &pb.Request{Body: &pb.Request_StreamQuery{StreamQuery: &pb.StreamQuery{Stream: stream + 1}}}); len(resp.GetStreamOrigins().GetStream()) != 0 || resp.Refusal != nil {
		t.Errorf("for an unknown stream it answers %v", resp)
	}
}

// TestViewsNameReleasesOnlyIfThereAreSeveral guards against views that grow while one release runs.
func TestViewsNameReleasesOnlyIfThereAreSeveral(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	f := newFleetAt(t, clock, "control-d0", "d0", "r", worldRegions, []string{"control-d0"})
	far := func(release string) *pb.FleetView {
		f.applyExchange(&pb.ControlExchange{Peer: "control-e0", Region: "q", FailureDomain: "e0", Loads: []*pb.RegionLoad{{Region: "q", Service: "llm", Servers: 1, Releases: []string{release}}}})
		return f.handleSync(context.Background(), &pb.FleetSync{Host: &pb.FleetHost{Id: "h0", Region: "r", FailureDomain: "d0", Ready: true}})
	}
	m := (&worldServer{w: &coldWorld{clock: clock}, id: "s0"}).message(1, 1, 0)
	m.Release = "v1"
	if _, err := f.Announce(m); err != nil {
		t.Fatal(err)
	}
	if v := far("v1"); len(v.Regions) != 1 || len(v.Regions[0].Releases) != 0 {
		t.Errorf("one release: %v", v.Regions)
	}
	if v := far("v1.1"); len(v.Regions) != 1 || len(v.Regions[0].Releases) != 1 {
		t.Errorf("two releases: %v", v.Regions)
	}
}
