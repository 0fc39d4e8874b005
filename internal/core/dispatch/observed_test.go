package dispatch

import (
	"testing"
	"time"
)

// TestHiddenRequests compares what servers tell with what is known, answer by answer.
func TestHiddenRequests(t *testing.T) {
	cases := []struct {
		name        string
		answers     int
		seen, known float64
		after       time.Duration
		low, high   float64
	}{
		{"nothing told", 0, 0, 0, 0, 1, 1},
		{"as known", 50, 20, 20, 0, 1, 1},
		{"half is known", 50, 20, 10, 0, 1.8, 2},
		{"less than known", 50, 5, 20, 0, 1, 1},
		{"one answer", 1, 20, 10, 0, 1, 1.4},
		{"nothing is known", 50, 20, 0, 0, maxHidden, maxHidden},
		{"long ago", 50, 20, 10, 10 * time.Second, 1, 1.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &observed{}
			for i := range c.answers {
				o.add(c.seen, c.known, start.Add(time.Duration(i)*20*time.Millisecond))
			}
			end := start.Add(time.Duration(c.answers)*20*time.Millisecond + c.after)
			if got := o.hidden(end); got < c.low || got > c.high {
				t.Errorf("%.2f times, want %.2f to %.2f", got, c.low, c.high)
			}
		})
	}
	var none *observed
	if none.hidden(start) != 1 {
		t.Error("a service without answers has hidden requests")
	}
}
