package control

import (
	"context"
	"slices"
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

// TestLostControlHostIsForgotten checks how long a control host that sends nothing keeps the records of releases
// incomplete: one that others report, and one that was heard here.
func TestLostControlHostIsForgotten(t *testing.T) {
	for name, lose := range map[string]func(*Fleet){
		"reported by others": func(f *Fleet) { f.controlDomains["control-x"] = "d1" },
		"heard before": func(f *Fleet) {
			f.applyExchange(&pb.ControlExchange{Peer: "control-x", Region: "r", FailureDomain: "d1", UptimeMs: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: time.Unix(1000, 0)}
			f := newFleetAt(t, clock, "control-d0", "d0", "r", worldRegions, []string{"control-d0"})
			lose(f)
			clock.advance(controlForgottenAfter - time.Second)
			if f.hearsAllControlsLocked(clock.Now()) {
				t.Error("the control host counts as gone too early")
			}
			clock.advance(time.Second)
			if !f.hearsAllControlsLocked(clock.Now()) {
				t.Error("the control host never counts as gone")
			}
		})
	}
}

// TestReleasesReachOtherRegions guards against control hosts that take the release of their own region for the only one,
// or that claim to know all while others are out of contact.
func TestReleasesReachOtherRegions(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	domains := []string{"d0", "d1", "e0"}
	fleets := map[string]*Fleet{}
	newFleet := func(domain string) {
		fleets[domain] = newFleetAt(t, clock, "control-"+domain, domain, worldRegions[domain], worldRegions, []string{"control-d0", "control-d1", "control-e0"})
	}
	for _, domain := range domains {
		newFleet(domain)
	}
	exchange := func(d time.Duration, but string) {
		for end := clock.Now().Add(d); clock.Now().Before(end); clock.advance(exchangeInterval) {
			for _, from := range domains {
				for _, to := range domains {
					if from != to && from != but && to != but {
						x, next := fleets[from].buildExchange("control-" + to)
						fleets[to].applyExchange(x)
						fleets[from].cursors["control-"+to] = next
					}
				}
				fleets[from].releases.SetComplete(fleets[from].hearsAllControlsLocked(clock.Now()), clock.Now())
			}
		}
	}
	announce := func(domain, id, release string, sequence uint64) {
		m := (&worldServer{w: &coldWorld{clock: clock}, id: id}).message(1, sequence, 0)
		m.Release, m.FailureDomain = release, domain
		if _, err := fleets[domain].Announce(m); err != nil {
			t.Fatal(err)
		}
	}
	const within = 5 * time.Second
	check := func(when string, want []string, complete bool, asked ...string) {
		t.Helper()
		for _, domain := range asked {
			resp := fleets[domain].replica.HandleRequest(context.Background(), &pb.Request{Body: &pb.Request_StreamQuery{StreamQuery: &pb.StreamQuery{Service: "llm", WithinMs: uint64(within.Milliseconds())}}})
			if m := resp.GetStreamOrigins(); !slices.Equal(m.GetRecentReleases(), want) || m.GetComplete() != complete {
				t.Errorf("%s the control host of %s answers %v, complete: %v", when, domain, m.GetRecentReleases(), m.GetComplete())
			}
		}
	}
	exchange(time.Second, "")
	announce("d0", "s0", "v1", 1)
	exchange(time.Second, "")
	check("soon after the start", []string{"v1"}, false, domains...)
	exchange(within, "")
	check("later", []string{"v1"}, true, domains...)
	announce("e0", "s9", "v2", 1)
	exchange(time.Second, "")
	check("with a release in another region", []string{"v1", "v2"}, true, domains...)
	exchange(2*time.Second, "e0")
	check("while a control host is out of contact", []string{"v1", "v2"}, false, domains...)
	exchange(within, "")
	for range 20 {
		announce("d1", "s1", "v1", 2)
		exchange(time.Second, "")
	}
	check("after the other release has ended", []string{"v1"}, true, domains...)
	newFleet("d1")
	exchange(2*time.Second, "")
	check("after a control host has started", []string{"v1"}, false, domains...)
}
