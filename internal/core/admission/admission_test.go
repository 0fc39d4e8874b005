package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

var start = time.Unix(1_700_000_000, 0)

func half() float64 { return 0.5 }

func offer(t *testing.T, q *Queue, w *Waiter) {
	t.Helper()
	if err := q.Offer(w, start, half); err != nil {
		t.Fatal(err)
	}
}

func always(*Waiter) bool { return true }

// TestWeightsShareCapacity keeps three teams backlogged and checks that they are
// served in proportion to their weights.
func TestWeightsShareCapacity(t *testing.T) {
	q := NewQueue(100_000)
	for i := range 3000 {
		for team, weight := range map[string]float64{"one": 1, "two": 2, "five": 5} {
			offer(t, q, &Waiter{Team: team, Weight: weight, Cost: 1, Target: "m", Deadline: start.Add(time.Hour * time.Duration(i+1000))})
		}
	}
	served := map[string]int{}
	for range 2400 {
		served[q.Next(start, always).Team]++
	}
	for team, want := range map[string]int{"one": 300, "two": 600, "five": 1500} {
		if got := served[team]; got < want-3 || got > want+3 {
			t.Errorf("team %s: served %d, want about %d", team, got, want)
		}
	}
}

// TestIdleShareIsLentAndGivenBack checks that one team may use all capacity until
// another sends requests, and that the second then gets its share and no more.
func TestIdleShareIsLentAndGivenBack(t *testing.T) {
	q := NewQueue(100_000)
	for range 1000 {
		offer(t, q, &Waiter{Team: "busy", Weight: 1, Cost: 1, Target: "m"})
	}
	for range 500 {
		if w := q.Next(start, always); w == nil || w.Team != "busy" {
			t.Fatal("the idle team's share was not used by the busy team")
		}
	}
	for range 100 {
		offer(t, q, &Waiter{Team: "late", Weight: 1, Cost: 1, Target: "m"})
	}
	late := 0
	for range 100 {
		if q.Next(start, always).Team == "late" {
			late++
		}
	}
	if late < 48 || late > 52 {
		t.Errorf("the late team got %d of 100, want half: no less, and no compensation for its idle time", late)
	}
}

func TestPriorityOrdersWithinATeam(t *testing.T) {
	q := NewQueue(10)
	for i, p := range []int{0, 5, 0, -5, 5} {
		offer(t, q, &Waiter{Team: "t", Weight: 1, Cost: 1, Target: fmt.Sprint(i), Priority: p})
	}
	got := ""
	for range 5 {
		got += q.Next(start, always).Target
	}
	if got != "14023" {
		t.Errorf("order %s, want 14023", got)
	}
}

func TestTargetWithoutSlotDoesNotBlockOthers(t *testing.T) {
	q := NewQueue(10)
	offer(t, q, &Waiter{Team: "a", Weight: 1, Cost: 1, Target: "full"})
	offer(t, q, &Waiter{Team: "a", Weight: 1, Cost: 1, Target: "free"})
	w := q.Next(start, func(w *Waiter) bool { return w.Target == "free" })
	if w == nil || w.Target != "free" {
		t.Errorf("got %v", w)
	}
}

// TestRefusedAtOnce checks that a request that cannot be served before its
// deadline is refused immediately, with a Retry-After that follows from the drain
// rate.
func TestRefusedAtOnce(t *testing.T) {
	q := NewQueue(100)
	now := start
	for range 100 { // 10 requests per second are taken
		now = now.Add(100 * time.Millisecond)
		q.RecordImmediate("m", now)
	}
	for range 50 {
		if err := q.Offer(&Waiter{Team: "t", Weight: 1, Cost: 1, Target: "m", Deadline: now.Add(time.Hour)}, now, half); err != nil {
			t.Fatal(err)
		}
	}
	err := q.Offer(&Waiter{Team: "t", Weight: 1, Cost: 1, Target: "m", Deadline: now.Add(time.Second)}, now, half)
	f := failure.As(err, "")
	if f == nil || f.Code != failure.Overloaded || f.Outcome != failure.NotRun {
		t.Fatalf("got %v, want %s", err, failure.Overloaded)
	}
	if f.RetryAfter < 2*time.Second || f.RetryAfter > 12*time.Second {
		t.Errorf("Retry-After is %s with 50 requests waiting and 10 taken per second, want 2 s to 12 s", f.RetryAfter)
	}
	// A request of another team within its share does not wait behind the 50.
	if err := q.Offer(&Waiter{Team: "other", Weight: 1, Cost: 1, Target: "m", Deadline: now.Add(time.Second)}, now, half); err != nil {
		t.Errorf("a team within its share was refused: %v", err)
	}
}

func TestFullQueueRefuses(t *testing.T) {
	q := NewQueue(1)
	offer(t, q, &Waiter{Team: "t", Target: "m"})
	if err := q.Offer(&Waiter{Team: "t", Target: "m"}, start, half); !failure.Is(err, failure.Overloaded) {
		t.Errorf("got %v", err)
	}
}

func TestExpiredAndCanceledLeaveTheQueue(t *testing.T) {
	q := NewQueue(10)
	a := &Waiter{Team: "t", Target: "m", Deadline: start.Add(time.Hour)}
	b := &Waiter{Team: "t", Target: "m", Deadline: start.Add(time.Hour)}
	offer(t, q, a)
	offer(t, q, b)
	if !q.Cancel(a) || q.Cancel(a) {
		t.Error("a request is canceled once")
	}
	if got := q.Expired(start.Add(time.Hour)); len(got) != 1 || got[0] != b || q.Len() != 0 {
		t.Errorf("expired %v, %d left", got, q.Len())
	}
}
