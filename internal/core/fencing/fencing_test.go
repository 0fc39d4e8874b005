package fencing

import (
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

func TestGate(t *testing.T) {
	start := time.Unix(0, 0)
	limits := Limits{Lease: time.Second, MaxOrder: 5 * time.Second}
	for _, c := range []struct {
		name            string
		term            uint64
		lease           time.Duration
		enforcesFencing bool
		after           time.Duration
		want            failure.Code
	}{
		{"engine checks fencing: allowed immediately", 3, time.Second, true, 0, ""},
		{"engine ignores fencing: refused 1 ns before the wait ends", 3, time.Second, false, 6*time.Second - 1, failure.NotReady},
		{"engine ignores fencing: allowed when earlier orders have ended", 3, time.Second, false, 6 * time.Second, ""},
		{"lease expired", 3, 0, true, time.Hour, failure.NoLeader},
		{"another term", 4, time.Second, true, time.Hour, failure.NoLeader},
		{"never elected", 0, time.Second, true, time.Hour, failure.NoLeader},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate(limits)
			g.Elected(3, start)
			g.Elected(3, start.Add(time.Minute)) // a repeated call keeps the first election time
			err := g.Check(c.term, c.lease, c.enforcesFencing, start.Add(c.after))
			if c.want == "" && err != nil || c.want != "" && !failure.Is(err, c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}
