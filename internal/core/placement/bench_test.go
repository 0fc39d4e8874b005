package placement

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/backend"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

var start = time.Unix(1_700_000_000, 0)

// newState returns a state with the given numbers of servers and of other failure domains, and a
// job.
func newState(servers, domains int) (*State, *Job) {
	rnd := rand.New(rand.NewSource(1))
	s := New(Options{
		Region: "r", FailureDomain: "f", MaxWaiting: 1000, Random: rnd.Float64,
		Limits: backend.Limits{Lease: time.Hour, Lag: 500 * time.Millisecond},
	})
	for i := range servers {
		s.Table.Merge(&pb.BackendState{
			Id: fmt.Sprint("s", i), Kind: backend.KindEngine, Models: []string{"m"}, Slots: 64, Running: uint32(rnd.Intn(60)),
			Incarnation: 1, Sequence: 1, PrefillRate: 8000, Prefixes: []uint64{rnd.Uint64(), rnd.Uint64()},
		}, start)
	}
	permitted := []string{"r"}
	for i := range domains {
		name := fmt.Sprint("d", i)
		permitted = append(permitted, name)
		sum := &pb.Summary{FailureDomain: name, Region: name, Sequence: 1, Hosts: []string{"x"}}
		for m := range 11 {
			sum.Models = append(sum.Models, &pb.ModelSummary{Name: fmt.Sprintf("engine/m%d", m), Slots: 100})
		}
		sum.Models = append(sum.Models, &pb.ModelSummary{Name: "engine/m", Slots: 2000, Running: 1000, ServiceMs: 3000})
		s.MergeSummary(sum, start, true)
	}
	p := configstate.Presets["railhalt"]
	p.MaxQueuePerSlot = configstate.DefaultQueuePerSlot
	return s, &Job{
		Team: "t", Weight: 1, Kind: backend.KindEngine, Target: "m", Prefixes: []uint64{1, 2, 3, 4, 5, 6, 7, 8},
		Tokens: 2000, MaxTokens: 200, Deadline: start.Add(time.Minute), Permitted: permitted, Policy: p,
	}
}

// BenchmarkAcquire measures a placement with its release, by the size of the host's view.
func BenchmarkAcquire(b *testing.B) {
	for _, c := range []struct{ servers, domains int }{{4, 2}, {32, 2}, {32, 25}, {128, 25}} {
		b.Run(fmt.Sprintf("servers=%d/domains=%d", c.servers, c.domains), func(b *testing.B) {
			s, j := newState(c.servers, c.domains)
			b.ReportAllocs()
			for b.Loop() {
				p, _, _, err := s.Acquire(j, start)
				if err != nil || p == nil {
					b.Fatal(err)
				}
				s.Release(p, true, start)
			}
		})
	}
}

// BenchmarkSummaryMerge measures the merge of a summary from another failure domain.
func BenchmarkSummaryMerge(b *testing.B) {
	s, _ := newState(4, 25)
	sum := &pb.Summary{FailureDomain: "d0", Region: "d0", Hosts: []string{"x"}}
	b.ReportAllocs()
	for b.Loop() {
		sum.Sequence++
		s.MergeSummary(sum, start, true)
	}
}
