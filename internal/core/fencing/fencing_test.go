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
		name   string
		term   uint64
		lease  time.Duration
		checks bool
		after  time.Duration
		want   failure.Code
	}{
		{"engine checks: at once", 3, time.Second, true, 0, ""},
		{"engine ignores: not yet", 3, time.Second, false, 6*time.Second - 1, failure.NotReady},
		{"engine ignores: old orders are over", 3, time.Second, false, 6 * time.Second, ""},
		{"no lease", 3, 0, true, time.Hour, failure.NoLeader},
		{"another term", 4, time.Second, true, time.Hour, failure.NoLeader},
		{"never elected", 0, time.Second, true, time.Hour, failure.NoLeader},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate(limits)
			g.Elected(3, start)
			g.Elected(3, start.Add(time.Minute)) // seen again: the first counts
			err := g.Check(c.term, c.lease, c.checks, start.Add(c.after))
			if c.want == "" && err != nil || c.want != "" && !failure.Is(err, c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}
