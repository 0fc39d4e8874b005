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

// TestWeightsShareCapacity keeps three teams busy and counts what each is served.
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

// TestIdleShareIsLentAndGivenBack lets one team use everything until another comes.
func TestIdleShareIsLentAndGivenBack(t *testing.T) {
	q := NewQueue(100_000)
	for range 1000 {
		offer(t, q, &Waiter{Team: "busy", Weight: 1, Cost: 1, Target: "m"})
	}
	for range 500 {
		if w := q.Next(start, always); w == nil || w.Team != "busy" {
			t.Fatal("the idle share was not lent")
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
		t.Errorf("the late team got %d of 100, want half: neither less nor arrears", late)
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

func TestTargetWithoutPlaceHoldsUpNobody(t *testing.T) {
	q := NewQueue(10)
	offer(t, q, &Waiter{Team: "a", Weight: 1, Cost: 1, Target: "full"})
	offer(t, q, &Waiter{Team: "a", Weight: 1, Cost: 1, Target: "free"})
	w := q.Next(start, func(w *Waiter) bool { return w.Target == "free" })
	if w == nil || w.Target != "free" {
		t.Errorf("got %v", w)
	}
}

// TestRefusedAtOnce refuses what cannot be done in time, with a time to come
// back that follows from the drain rate.
func TestRefusedAtOnce(t *testing.T) {
	q := NewQueue(100)
	now := start
	for range 100 { // 10 a second are taken
		now = now.Add(100 * time.Millisecond)
		q.Passed("m", now)
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
		t.Errorf("come back after %s; 50 wait and 10 a second are taken", f.RetryAfter)
	}
	// Another team within its share does not wait behind the fifty.
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
