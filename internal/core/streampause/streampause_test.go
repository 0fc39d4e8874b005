package streampause

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// TestRisk guards against thresholds that do not follow the gap target and the engine's speed.
func TestRisk(t *testing.T) {
	for _, c := range []struct {
		name                   string
		pending, steps, factor float64
		gap                    time.Duration
		want                   float64
	}{
		{"no gap target", 10_000, 0, 1, 0, 0},
		{"the lower fixed threshold", 250, 0, 1, 600 * time.Millisecond, 0},
		{"between the fixed thresholds", 425, 0, 1, 600 * time.Millisecond, 0.5},
		{"the upper fixed threshold", 600, 0, 1, 600 * time.Millisecond, 1},
		{"a shorter gap target", 400, 0, 1, 400 * time.Millisecond, 1},
		{"a slow engine", 240, 0, 1.25, 300 * time.Millisecond, 1},
		{"a fast engine delays an event by seven chunks at most", 10_000, 7, 0.4, 400 * time.Millisecond, 0},
		{"a slow engine exceeds the target with seven chunks", 10_000, 7, 1.2, 400 * time.Millisecond, 1},
	} {
		got := Risk(Engine{PendingMS: c.pending, Steps: c.steps, StepMS: 5, Factor: c.factor, Gap: c.gap})
		if math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: risk %.3f, want %.3f", c.name, got, c.want)
		}
	}
}

// TestStepsIgnorePrefill guards against events lengthened by prefill that raise the steps per event.
func TestStepsIgnorePrefill(t *testing.T) {
	var s Steps
	for i := range 500 {
		interval := 5 * 5.0
		if i%2 == 0 {
			interval += 200
		}
		s.Add(interval, 5)
	}
	if got := s.Value(); got < 4.5 || got > 6 {
		t.Errorf("%.2f steps per event, want about 5", got)
	}
}

func testMembers(factors ...float64) []Member {
	var out []Member
	for i, factor := range factors {
		out = append(out, Member{fmt.Sprint("s", i), factor})
	}
	return out
}

// TestPool guards against pools that are too small for the prefill, prefer slower engines, or are empty.
func TestPool(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand float64 // ms per second
		in     []Member
		size   int
		want   []string // sorted; nil for any
	}{
		{"no engines", 1000, nil, 0, nil},
		{"engines of one speed", 1000, testMembers(1, 1.02, 0.97), 0, nil},
		{"little prefill leaves two engines", 1, testMembers(0.5, 1.2, 0.5, 0.5), minSize, nil},
		{"fast engines first", 1900, testMembers(0.5, 1.2, 1.2, 0.5), 2, []string{"s0", "s3"}},
		{"slow engines for the rest", 2700, testMembers(0.5, 1.2, 1.2, 0.5), 4, []string{"s0", "s1", "s2", "s3"}},
		{"the fast engines are lost", 1, testMembers(2, 1.2, 1.2, 2), 2, []string{"s1", "s2"}},
	} {
		var p Pool
		var got []string
		for _, m := range p.Update(c.in, c.demand, time.Unix(100, 0)) {
			got = append(got, m.ID)
		}
		slices.Sort(got)
		if len(got) != c.size || (c.want != nil && !slices.Equal(got, c.want)) {
			t.Errorf("%s: %v, want %d engines: %v", c.name, got, c.size, c.want)
		}
	}
}

// TestPoolIsDamped guards against homes that move with each change of the demand.
func TestPoolIsDamped(t *testing.T) {
	var p Pool
	now, changes, size := time.Unix(100, 0), 0, 0
	for i := range 600 {
		demand := 2900.0
		if i/10%2 == 0 {
			demand = 1200
		}
		n := len(p.Update(testMembers(0.5, 0.5, 0.5, 1.2, 1.2, 1.2), demand, now))
		if n != size {
			size, changes = n, changes+1
		}
		now = now.Add(100 * time.Millisecond)
	}
	if changes > 3 {
		t.Errorf("the size changed %d times in a minute", changes)
	}
}
