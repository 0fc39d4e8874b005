package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// turnedAway returns the answer of a server that turns a request away and asks for a pause.
func turnedAway(pause time.Duration) *Answer {
	return &Answer{
		Head:    Head{Status: http.StatusServiceUnavailable, Header: http.Header{}},
		Verdict: NotRun, Body: http.NoBody, Pause: serverpause.Demand{For: pause},
	}
}

// TestServerGetsNothingInThePauseItAskedFor guards against a host that forgets a server's Retry-After with the attempt.
func TestServerGetsNothingInThePauseItAskedFor(t *testing.T) {
	const (
		pause     = 3 * time.Second
		sendEvery = 50 * time.Millisecond
		viewEvery = 250 * time.Millisecond
		reaction  = 500 * time.Millisecond
		allowed   = 2
	)
	for _, path := range []string{"/order/1", "/stock/1", "/chat/1", "/match/1"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			var askedAt time.Time
			inRest, before, after := 0, 0, 0
			f.backends.answer = func(_ int, a *Attempt) (*Answer, bool, error) {
				now := f.clock.Now()
				rests := a.Server == "llm1" || a.Server == "desk1"
				switch {
				case !rests:
				case askedAt.IsZero():
					if before++; before > 5 {
						askedAt = now
						return turnedAway(pause), true, nil
					}
				case now.Sub(askedAt) > reaction && now.Sub(askedAt) < pause:
					inRest++
					return turnedAway(pause), true, nil
				case now.Sub(askedAt) < pause:
					return turnedAway(pause), true, nil
				default:
					after++
				}
				if path == "/order/1" || path == "/stock/1" {
					return ranAnswer(200, "ok"), true, nil
				}
				return streamAnswer(event1+event2+event3, false), true, nil
			}
			for at := time.Duration(0); at < 20*time.Second; at += sendEvery {
				if at%viewEvery == 0 {
					f.view(func(v *pb.FleetView) { v.Hosts, v.Regions = nil, nil })
				}
				if fail := f.g.Execute(context.Background(), f.request(path), &memorySink{}); fail != nil {
					t.Errorf("refused though the other server has room: %v", fail)
				}
				f.clock.advance(sendEvery)
			}
			if askedAt.IsZero() || inRest > allowed {
				t.Errorf("%d requests in the rest of the pause, allowed %d", inRest, allowed)
			}
			if after == 0 {
				t.Error("the server was not used again after its pause")
			}
		})
	}
}
