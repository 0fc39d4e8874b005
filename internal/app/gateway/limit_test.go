package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestHostKeepsTheLimitThatAServerAdvertises guards against load on a server by slots beyond its limit.
func TestHostKeepsTheLimitThatAServerAdvertises(t *testing.T) {
	const (
		perSecond = 1.0
		sendEvery = 50 * time.Millisecond
		viewEvery = 250 * time.Millisecond
		window    = 4 * time.Second
		stability = 6 * time.Second // from the first answer that names the limit
	)
	for path, answer := range map[string]func() *Answer{
		"/order/1": func() *Answer { return ranAnswer(200, "ok") },
		"/match/1": func() *Answer { return streamAnswer(event1+event2+event3, false) },
	} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			var arrivals []time.Time
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
				arrivals = append(arrivals, f.clock.Now())
				return limited(answer(), serverlimit.Advertisement{PerSecond: perSecond, Named: true}), true, nil
			}
			for at := time.Duration(0); at < 20*time.Second; at += sendEvery {
				if at%viewEvery == 0 {
					f.view(func(v *pb.FleetView) { v.Regions, v.Servers = nil, v.Servers[1:3] })
				}
				_ = f.g.Execute(context.Background(), f.request(path), &memorySink{})
				f.clock.advance(sendEvery)
			}
			most := 0
			for i, first := range arrivals {
				n := 0
				for _, at := range arrivals[i:] {
					if at.Sub(first) < window {
						n++
					}
				}
				if first.Sub(arrivals[0]) >= stability {
					most = max(most, n)
				}
			}
			if bound := 1.5*perSecond*window.Seconds() + 5; most == 0 || float64(most) > bound {
				t.Errorf("%d requests in %s, allowed 1 to %.0f", most, window, bound)
			}
		})
	}
}
