package retry

import (
	"math/rand"
	"testing"
	"time"
)

// TestSharedBudgetHolds lets each host retry as often as its budget allows, under
// bursts and pauses of requests, and checks for every window that the retries of
// all hosts together stay within the ratio of the requests plus the slack.
func TestSharedBudgetHolds(t *testing.T) {
	const window = 10 * time.Second
	o := SharedBudgetOptions{Ratio: 0.2, Slack: 56, Window: window}
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		hosts := 1 + rnd.Intn(30)
		start := time.Unix(1000, 0)
		budgets := make([]*SharedBudget, hosts)
		for i := range budgets {
			budgets[i] = NewSharedBudget(o, start)
			budgets[i].SetHosts(hosts)
		}
		const step = 100 * time.Millisecond
		const steps = 400
		var requests, repeats [steps]int
		for i := range steps {
			now := start.Add(time.Duration(i) * step)
			if (i/50+int(seed))%2 == 0 {
				requests[i] = rnd.Intn(40)
			}
			for range requests[i] {
				budgets[rnd.Intn(hosts)].Request(now)
			}
			for _, b := range budgets {
				for b.Retry(now) {
					repeats[i]++
				}
			}
		}
		const span = int(window / step)
		for from := 0; from+span <= steps; from++ {
			asked, again := 0, 0
			for i := from; i < from+span; i++ {
				asked += requests[i]
				again += repeats[i]
			}
			if limit := o.Ratio*float64(asked) + o.Slack; float64(again) > limit {
				t.Fatalf("seed %d, %d hosts: %d retries in the window from step %d, want at most %.0f", seed, hosts, again, from, limit)
			}
		}
	}
}

// TestSharedBudgetIsUsed checks that the budget does not withhold retries that
// callers need: at a steady rate, retries reach at least half of the ratio.
func TestSharedBudgetIsUsed(t *testing.T) {
	start := time.Unix(1000, 0)
	b := NewSharedBudget(SharedBudgetOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, start)
	repeats := 0
	const requests = 2000
	for i := range requests {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		b.Request(now)
		for b.Retry(now) {
			repeats++
		}
	}
	if repeats < requests/10 {
		t.Errorf("%d retries for %d requests, want at least a tenth", repeats, requests)
	}
}
