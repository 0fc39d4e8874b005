package control

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/registry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// BenchmarkFleetRestart measures the restart of a whole fleet at one control host: every entry host
// sends its first sync request and every server its first announcement, while each live entry host
// requests the next view as soon as it has one. It reports the number and total bytes of the views.
func BenchmarkFleetRestart(b *testing.B) {
	for _, c := range []struct{ hosts, servers int }{{30, 33}, {100, 110}, {294, 327}} {
		b.Run(fmt.Sprintf("%d hosts", c.hosts), func(b *testing.B) {
			views, bytes := 0, 0
			for range b.N {
				f := newBenchFleet(b)
				have := make([]*pb.FleetView, c.hosts)
				for i := range max(c.hosts, c.servers) {
					if i < c.servers {
						s := registry.Server{ID: fmt.Sprintf("i-%06x", i), Service: "llm", Address: fmt.Sprint("10.1.0.0:", i), FailureDomain: "f", Sequence: 1, Slots: 12}
						if _, err := f.Announce(s); err != nil {
							b.Fatal(err)
						}
					}
					if i >= c.hosts {
						continue
					}
					have[i] = &pb.FleetView{}
					if i%restartBatch != restartBatch-1 && i != c.hosts-1 {
						continue
					}
					for k := range i + 1 { // one sync request of each live host
						have[k] = f.handleSync(context.Background(), restartSync(k, have[k]))
						views++
						bytes += proto.Size(have[k])
					}
				}
			}
			b.ReportMetric(float64(views)/float64(b.N), "views/op")
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
		})
	}
}

// restartBatch is the number of hosts that arrive between two views of a host.
const restartBatch = 10

func restartSync(i int, have *pb.FleetView) *pb.FleetSync {
	return &pb.FleetSync{
		Host: &pb.FleetHost{
			Id: fmt.Sprintf("edge-kl-hall-a-%d", i), Peer: fmt.Sprint("10.1.0.1:", i), Caller: fmt.Sprint("10.1.0.1:", i),
			Region: "r", FailureDomain: "f", Ready: true,
		},
		HaveEpoch: have.Epoch, HaveVersion: have.Version, HaveHeard: have.HeardNext, HaveLoads: have.LoadsNext, Primary: true,
	}
}
