package dispatch

import (
	"testing"
	"time"
)

// TestUnreportedFactor checks the factor between the requests that servers report and the
// recorded ones.
func TestUnreportedFactor(t *testing.T) {
	cases := []struct {
		name               string
		answers            int
		reported, recorded float64
		after              time.Duration
		low, high          float64
	}{
		{"no answers", 0, 0, 0, 0, 1, 1},
		{"as recorded", 50, 20, 20, 0, 1, 1},
		{"half is recorded", 50, 20, 10, 0, 1.8, 2},
		{"less than recorded", 50, 5, 20, 0, 1, 1},
		{"one answer", 1, 20, 10, 0, 1, 1.4},
		{"nothing is recorded", 50, 20, 0, 0, maxUnreportedFactor, maxUnreportedFactor},
		{"long ago", 50, 20, 10, 10 * time.Second, 1, 1.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &loadComparison{}
			for i := range c.answers {
				o.add(c.reported, c.recorded, start.Add(time.Duration(i)*20*time.Millisecond))
			}
			end := start.Add(time.Duration(c.answers)*20*time.Millisecond + c.after)
			if got := o.unreportedFactor(end); got < c.low || got > c.high {
				t.Errorf("factor %.2f, want %.2f to %.2f", got, c.low, c.high)
			}
		})
	}
	var none *loadComparison
	if none.unreportedFactor(start) != 1 {
		t.Error("a service without answers has a factor other than 1")
	}
}
