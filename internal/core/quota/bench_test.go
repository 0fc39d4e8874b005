package quota

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

func manyTeams(n int) []configstate.Team {
	var out []configstate.Team
	for i := range n {
		out = append(out, configstate.Team{Name: fmt.Sprintf("team%04d", i), Quota: &configstate.Quota{Unit: configstate.UnitTokens, PerSecond: 1e5, Burst: 1e5}})
	}
	return out
}

// BenchmarkAsk measures one ask of an entry host and its answer, for a number of teams with recent
// requests. It reports the size of both messages in bytes.
func BenchmarkAsk(b *testing.B) {
	for _, teams := range []int{1, 16, 200} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			now := time.Unix(1000, 0)
			i := NewIssuer(IssuerOptions{Bound: simBound, FirstStart: true}, now)
			i.SetShare(1, true, now)
			i.SetTeams(manyTeams(teams), now)
			i.ConfirmStored(i.StateToStore(now))
			h := NewHolder()
			var ask *pb.QuotaAsk
			var grant *pb.QuotaGrant
			for b.Loop() {
				now = now.Add(200 * time.Millisecond)
				for n := range teams {
					h.RecordDemand(fmt.Sprintf("team%04d", n), 1000, now)
				}
				ask = h.ComposeAsk("c", true, func(string) bool { return false }, now)
				ask.Sequence = uint64(b.N) + uint64(now.UnixNano())
				grant = i.Answer("h", ask, now)
				h.ApplyGrant("c", ask, grant, now)
			}
			b.ReportMetric(float64(proto.Size(ask)+proto.Size(grant)), "B/ask")
		})
	}
}

// BenchmarkToStore measures computing the state to store for a number of teams, each with units
// spent in every 100 ms of a window.
func BenchmarkToStore(b *testing.B) {
	for _, teams := range []int{16, 2000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			now := time.Unix(1000, 0)
			i := NewIssuer(IssuerOptions{Bound: simBound, FirstStart: true}, now)
			i.SetShare(1, true, now)
			i.SetTeams(manyTeams(teams), now)
			for range 80 {
				now = now.Add(100 * time.Millisecond)
				for _, p := range i.allotments {
					p.free -= 1000
					i.recordSpent(p, 1000, now)
				}
			}
			var s *pb.QuotaState
			for b.Loop() {
				i.InvalidateStored()
				s = i.StateToStore(now)
			}
			b.ReportMetric(float64(proto.Size(s)), "B/store")
		})
	}
}
