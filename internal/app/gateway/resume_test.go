package gateway

import (
	"context"
	"testing"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestStreamGoesOnOnlyAtItsRelease guards against streams that join the events of two releases.
func TestStreamGoesOnOnlyAtItsRelease(t *testing.T) {
	for name, c := range map[string]struct {
		releases [2]string // of the first server that is tried, and of the other one
		want     string
		sends    int
	}{
		"the other server runs its release": {[2]string{"v1", "v1"}, event1 + event2 + event3, 2},
		"the other server runs another one": {[2]string{"v1", "v1.1"}, event1, 1},
		"the other server states none":      {[2]string{"v1", ""}, event1, 1},
		"neither server states one":         {[2]string{"", ""}, event1 + event2 + event3, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			first := ""
			f.backends.answer = func(n int, a *Attempt) (*Answer, bool, error) {
				if n == 1 {
					first = a.Server
					f.view(func(v *pb.FleetView) { setReleases(v, first, c.releases) })
					return streamAnswer(event1, true), true, nil
				}
				return streamAnswer(event2+event3, false), true, nil
			}
			f.view(func(v *pb.FleetView) { setReleases(v, "llm1", c.releases) })
			sink := &memorySink{}
			_ = f.g.Execute(context.Background(), f.request("/match/1"), sink)
			if sends := len(f.backends.sent()); sink.body.String() != c.want || sends != c.sends {
				t.Errorf("the caller got %q in %d sends, want %q in %d", sink.body.String(), sends, c.want, c.sends)
			}
		})
	}
}

// setReleases sets the releases of the servers of the own region, and leaves out other regions.
func setReleases(v *pb.FleetView, first string, releases [2]string) {
	v.Hosts, v.Regions = nil, nil
	for _, s := range v.Servers {
		s.Release = releases[1]
		if s.Id == first {
			s.Release = releases[0]
		}
	}
}
