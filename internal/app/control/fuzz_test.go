package control

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// FuzzExchange applies arbitrary exchange messages to a control host, and then builds the views and
// messages that contain the received state. None of these may panic.
func FuzzExchange(f *testing.F) {
	good, err := proto.Marshal(&pb.ControlExchange{
		Store: "c.1", Peer: "c1", Region: "r0", FailureDomain: "r0d0", HeardHosts: []uint32{7}, SeenAges: []uint32{3},
		Hosts:        []*pb.FleetHost{{Id: "h", Region: "r0", FailureDomain: "r0d0", Ready: true, Primary: true}},
		Servers:      []*pb.FleetServer{{Id: "s", Service: "llm", Address: "a:1", FailureDomain: "r1d0", Sequence: 1, AgeMs: 20}, {Id: "t", Gone: true}},
		Loads:        []*pb.RegionLoad{{Region: "r0", Service: "llm", Servers: 1}},
		ServerLoads:  &pb.ServerLoads{Server: []uint32{1, 2}, Requests: []uint32{3}},
		Prompts:      &pb.PromptPlaces{Chain: []uint32{1}, Server: []uint32{2}},
		Controls:     []*pb.ControlHeard{{Store: "c.2", Peer: "c2", AgeMs: 100}},
		ControlHosts: []*pb.ControlHost{{Peer: "c3", FailureDomain: "r0d1"}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		x := new(pb.ControlExchange)
		if proto.Unmarshal(raw, x) != nil {
			return
		}
		w := newSimulatedFleet(t, 2, 1, 1, 1)
		to := w.fleets["r1d0c0"]
		for range 2 {
			to.applyExchange(proto.Clone(x).(*pb.ControlExchange))
			w.round()
		}
		v := to.buildView(&pb.FleetSync{Primary: true}, "h", "r1")
		to.buildView(&pb.FleetSync{Primary: true, HaveEpoch: v.Epoch, HaveVersion: v.Version, HaveHeard: v.HeardNext, HaveLoads: v.LoadsNext}, "h", "r1")
		w.clock.advance(time.Minute)
		to.Report()
		to.buildExchange("c1")
	})
}
