package answertime

import (
	"testing"
	"time"
)

// TestLongest guards against a host that takes requests in its stop though nothing shows that they end in time.
func TestLongest(t *testing.T) {
	const ms = time.Millisecond
	repeat := func(n int, d time.Duration) (out []time.Duration) {
		for range n {
			out = append(out, d)
		}
		return out
	}
	for _, c := range []struct {
		name     string
		answers  []time.Duration
		inFlight time.Duration // age of a request in flight; 0 for none
		want     time.Duration
		known    bool
	}{
		{"no answers", nil, 0, 0, false},
		{"nine answers", repeat(9, 20*ms), 0, 0, false},
		{"ten answers", repeat(10, 20*ms), 0, 20 * ms, true},
		{"one of them is slow", append(repeat(20, 20*ms), 6000*ms), 0, 6000 * ms, true},
		{"a slow one long ago", append([]time.Duration{6000 * ms}, repeat(64, 20*ms)...), 0, 20 * ms, true},
		{"a request in flight as usual", repeat(10, 20*ms), 200 * ms, 20 * ms, true},
		{"a request in flight for longer than any answer", repeat(10, 20*ms), 1000 * ms, 0, false},
		{"a request in flight for less than twice the longest answer", repeat(10, 1000*ms), 1900 * ms, 1000 * ms, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, now := NewTable(), time.Unix(1000, 0)
			for _, d := range c.answers {
				table.Begin("r", now).End(true, now.Add(d))
				table.Begin("r", now).End(false, now.Add(time.Hour)) // not answered
			}
			if c.inFlight > 0 {
				table.Begin("r", now.Add(-c.inFlight))
			}
			if got, known := table.Longest("r", now); got != c.want || known != c.known {
				t.Errorf("%s, known %t; want %s, %t", got, known, c.want, c.known)
			}
			if _, known := table.Longest("other", now); known {
				t.Error("another route's time is known")
			}
		})
	}
}

// TestKeep guards against a table that grows with each route that was ever configured.
func TestKeep(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	table.Begin("removed", now).End(true, now)
	running := table.Begin("removed, in flight", now)
	table.Begin("kept", now).End(true, now)
	table.Keep(func(name string) bool { return name == "kept" })
	if len(table.routes) != 2 {
		t.Errorf("%d routes, want 2", len(table.routes))
	}
	running.End(true, now)
	table.Keep(func(name string) bool { return name == "kept" })
	if len(table.routes) != 1 {
		t.Errorf("%d routes, want 1", len(table.routes))
	}
}
