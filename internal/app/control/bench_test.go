package control

import (
	"context"
	"fmt"
	"testing"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// BenchmarkSyncRequest measures one sync request to a control host with 50 entry hosts, in a region
// of 1,000 busy servers, as in a fleet of 300 hosts. A control host answers 200 of them per second.
func BenchmarkSyncRequest(b *testing.B) {
	const hosts, servers = 50, 1000
	f := newBenchFleet(b)
	loads := serverload.Loads{}
	for i := range servers {
		id := fmt.Sprintf("i-%06x", i)
		if _, err := f.Announce(registry.Server{ID: id, Service: "llm", Address: fmt.Sprint("10.1.0.0:", i), FailureDomain: "f", Sequence: 1, Slots: 16}); err != nil {
			b.Fatal(err)
		}
		if i%10 == 0 {
			loads[holders.Key(id)] = serverload.Load{Requests: 1, PromptTokens: 500, MemoryTokens: 900}
		}
	}
	have := &pb.FleetView{}
	sendSync := func(i int) {
		have = f.handleSync(context.Background(), &pb.FleetSync{
			Host:      &pb.FleetHost{Id: fmt.Sprint("h", i%hosts), Region: "r", FailureDomain: "f", Ready: true},
			HaveEpoch: have.Epoch, HaveVersion: have.Version, HaveHeard: have.HeardNext, HaveLoads: have.LoadsNext,
			Loads: serverload.Encode(loads), Primary: true,
		})
	}
	for i := range hosts {
		sendSync(i)
	}
	b.ResetTimer()
	for i := range b.N {
		sendSync(i)
	}
}

// newBenchFleet returns the Fleet of a control host that is alone in its group.
func newBenchFleet(b *testing.B) *Fleet {
	b.Helper()
	return newFleetAt(b, port.SystemClock{}, "10.0.0.1:7", "f", "r", map[string]string{"f": "r"}, []string{"a"})
}
