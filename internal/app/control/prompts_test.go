package control

import (
	"context"
	"slices"
	"testing"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// presentation is an entry host's message to a control host.
func presentation(host, region string, have uint64, places []holders.Place) *pb.Request {
	return &pb.Request{Body: &pb.Request_FleetSync{FleetSync: &pb.FleetSync{
		Host: &pb.FleetHost{Id: host, Region: region, FailureDomain: "f", Ready: true}, Prompts: holders.Encode(places), HavePrompts: have, Primary: true,
	}}}
}

// TestPlacesOfPromptsAreHandedOn lets one entry host tell its control host where it
// sent prompts. Entry hosts of the region hear it from any control host, once; the
// sender and other regions do not.
func TestPlacesOfPromptsAreHandedOn(t *testing.T) {
	g := newGroup(t)
	view := func(at, host, region string, have uint64, places []holders.Place) *pb.FleetView {
		g.mu.Lock()
		m := g.up[at]
		g.mu.Unlock()
		return m.r.HandleRequest(context.Background(), presentation(host, region, have, places)).GetFleetView()
	}
	told := []holders.Place{{Chain: 7, Server: 70}, {Chain: 8, Server: 80}}
	own := view(founderAddresses[0], "h1", "r", 0, told)
	if got := holders.Decode(own.Prompts); len(got) != 0 {
		t.Errorf("the sender is told its own places %v", got)
	}
	if got := holders.Decode(view(founderAddresses[0], "h9", "elsewhere", 0, nil).Prompts); len(got) != 0 {
		t.Errorf("a host of another region is told %v", got)
	}
	var next uint64
	await(t, "a host that presents itself elsewhere is told", func() bool {
		v := view(founderAddresses[1], "h2", "r", 0, nil)
		next = v.PromptsNext
		return slices.Equal(holders.Decode(v.Prompts), told)
	})
	x, _ := g.up[founderAddresses[0]].f.exchangeFor("10.9.0.1:7")
	if x.Prompts != nil {
		t.Errorf("a control host that was never heard is told %v", x.Prompts)
	}
	if again := holders.Decode(view(founderAddresses[1], "h2", "r", next, nil).Prompts); len(again) != 0 {
		t.Errorf("told again: %v", again)
	}
}
