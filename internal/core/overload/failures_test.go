package overload

import (
	"math"
	"testing"
	"time"
)

// TestRetryTimesWithoutViews guards against reservations by figures older than 2 s, and against callers that are all
// told the same time then.
func TestRetryTimesWithoutViews(t *testing.T) {
	random := 0.0
	c := New(Options{Random: func() float64 { return random }})
	c.Update(twoClasses(190, 200), Room{Slots: 100, Requests: 95}, start)
	for next, want := range map[float64]time.Duration{0: 300 * time.Millisecond, 0.5: 650 * time.Millisecond, 1: time.Second} {
		random = next
		d := c.Decide(Request{Class: 1, Remaining: 3 * time.Second}, start.Add(maxStateAge+time.Millisecond))
		if d.Admit || d.Reason != ReasonNoPlace || d.RetryAfter != want {
			t.Errorf("random number %v: %+v, want a retry after %s", next, d, want)
		}
	}
}

// TestRejectionsAtOnceCountOnce guards against a host without views that one full moment of its servers makes admit
// nothing.
func TestRejectionsAtOnceCountOnce(t *testing.T) {
	c := newTest()
	c.Update(twoClasses(40, 40), Room{Slots: 100, Requests: 90}, start)
	now := start.Add(3 * time.Second)
	for range 50 {
		c.Refused(1, now)
	}
	if f := c.Decide(Request{Class: 1, Remaining: time.Second}, now).Fraction; math.Abs(f-ownDecrease) > 1e-9 {
		t.Errorf("fraction %v after rejections at one time, want %v", f, ownDecrease)
	}
}

// TestFreezeDropsPermittedBacklog guards against a host that keeps the permitted backlog from before a freeze.
func TestFreezeDropsPermittedBacklog(t *testing.T) {
	c, classes := busy()
	c.Refused(1, start)
	p := c.Update(classes, Room{Slots: 100, Requests: 95}, start.Add(maxStateAge+time.Millisecond))
	if p.Part != maxBacklogPart {
		t.Errorf("permitted part %v after the freeze, want the initial %v", p.Part, maxBacklogPart)
	}
}

// TestFirstFiguresAfterAFreeze guards against a host that keeps to the plan from before a freeze though it has new
// figures.
func TestFirstFiguresAfterAFreeze(t *testing.T) {
	c, now := newTest(), start.Add(10*time.Second)
	c.Update(twoClasses(40, 40), Room{Slots: 100, Requests: 90}, start)
	before := c.Decide(Request{Class: 1, Remaining: 12 * time.Second}, now).Fraction
	c.Update(twoClasses(55, 80), Room{Slots: 100, Requests: 95}, now)
	after := c.Decide(Request{Class: 1, Remaining: 12 * time.Second}, now).Fraction
	if before != 1 || math.Abs(after-0.5) > 0.01 {
		t.Errorf("fractions %v, and %v with new figures, want 1 and 0.5", before, after)
	}
}

// TestReservationOfALostHost guards against callers that lose their reservation with the host that made it.
func TestReservationOfALostHost(t *testing.T) {
	lost, other := newTest(), newTest()
	classes := twoClasses(55, 200)
	classes[1].ReturnsPerSecond = 10
	lost.Update(classes, Room{Slots: 100, Requests: 95}, start)
	other.Update(classes, Room{Slots: 100, Requests: 95}, start)
	kept, told := 0, 0
	for range 40 {
		r := Request{Class: 1, Remaining: 12 * time.Second}
		d := lost.Decide(r, start)
		if d.Reason != ReasonReserved {
			continue
		}
		r.Waited, r.Remaining = d.RetryAfter, r.Remaining-d.RetryAfter
		told++
		if other.Decide(r, start.Add(time.Second)).Admit {
			kept++
		}
	}
	// The random start of the credit may reject the first one.
	if fresh := other.plan.Fractions[1]; told < 10 || kept < told-1 || fresh > 0.5 {
		t.Errorf("%d of %d reservations kept at another host, which admits %.2f of the new requests", kept, told, fresh)
	}
}

// TestServersLostInABurst guards against new requests that are admitted while the backlog of lost servers' requests is
// there, against reserved retries that are rejected before them, and against a plan that stays low once it is gone.
func TestServersLostInABurst(t *testing.T) {
	c, classes := newTest(), twoClasses(30, 90)
	classes[1].ReturnsPerSecond = 10
	for i, s := range []struct {
		room                 Room
		minFresh, maxFresh   float64
		minReturn, maxReturn float64
	}{
		{Room{Slots: 100, Requests: 100}, 0.4, 0.7, 1, 1},
		{Room{Slots: 70, Requests: 100}, 0, 0.35, 1, 1},
		{Room{Slots: 70, Requests: 200}, 0, 0, 0, 0.9},
		{Room{Slots: 100, Requests: 100}, 0.4, 0.7, 1, 1},
	} {
		p := c.Update(classes, s.room, start.Add(time.Duration(i)*time.Second))
		if f, r := p.Fractions[1], p.Returns[1]; f < s.minFresh || f > s.maxFresh || r < s.minReturn || r > s.maxReturn {
			t.Errorf("%+v: fractions %.2f of new requests and %.2f of retries", s.room, f, r)
		}
	}
}

// TestWithoutSlots guards against requests that are admitted though no server has a slot for them.
func TestWithoutSlots(t *testing.T) {
	c := newTest()
	c.Update(twoClasses(40, 40), Room{}, start)
	for i := range 100 {
		if d := c.Decide(Request{Class: i % 2, Remaining: 12 * time.Second}, start); d.Admit {
			t.Fatalf("request %d admitted", i)
		}
	}
}
