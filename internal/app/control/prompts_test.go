package control

import (
	"context"
	"slices"
	"testing"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// syncRequest returns an entry host's sync request to a control host.
func syncRequest(host, region string, have uint64, places []holders.Place) *pb.Request {
	return &pb.Request{Body: &pb.Request_FleetSync{FleetSync: &pb.FleetSync{
		Host: &pb.FleetHost{Id: host, Region: region, FailureDomain: "f", Ready: true}, Prompts: holders.Encode(places), HavePrompts: have, Primary: true,
	}}}
}

// TestPromptPlacesArePropagated lets an entry host report to its control host where it sent
// prompts. Every other entry host of the region must receive these places once, from any control
// host; the sender and entry hosts of other regions must not receive them.
func TestPromptPlacesArePropagated(t *testing.T) {
	g := newGroup(t)
	view := func(at, host, region string, have uint64, places []holders.Place) *pb.FleetView {
		g.mu.Lock()
		m := g.up[at]
		g.mu.Unlock()
		return m.r.HandleRequest(context.Background(), syncRequest(host, region, have, places)).GetFleetView()
	}
	sent := []holders.Place{{Chain: 7, Server: 70}, {Chain: 8, Server: 80}}
	own := view(founderAddresses[0], "h1", "r", 0, sent)
	if got := holders.Decode(own.Prompts); len(got) != 0 {
		t.Errorf("the sender receives its own places %v", got)
	}
	if got := holders.Decode(view(founderAddresses[0], "h9", "elsewhere", 0, nil).Prompts); len(got) != 0 {
		t.Errorf("a host of another region receives %v", got)
	}
	var next uint64
	await(t, "a host with another control host receives the places", func() bool {
		v := view(founderAddresses[1], "h2", "r", 0, nil)
		next = v.PromptsNext
		return slices.Equal(holders.Decode(v.Prompts), sent)
	})
	x, _ := g.up[founderAddresses[0]].f.buildExchange("10.9.0.1:7")
	if x.Prompts != nil {
		t.Errorf("a control host that never sent a message receives %v", x.Prompts)
	}
	if again := holders.Decode(view(founderAddresses[1], "h2", "r", next, nil).Prompts); len(again) != 0 {
		t.Errorf("received again: %v", again)
	}
}
