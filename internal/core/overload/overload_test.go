package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// twoClasses returns an urgent and a less urgent class of the given demands in slots.
func twoClasses(urgent, other float64) []Class {
	return []Class{
		{Priority: 0, Target: 800 * time.Millisecond, ArrivalsPerSecond: urgent / 0.35, SlotTime: 350 * time.Millisecond},
		{Priority: 2, Target: 3 * time.Second, ArrivalsPerSecond: other / 1.35, SlotTime: 1350 * time.Millisecond},
	}
}

func newTest() *Controller { return New(Options{Random: rand.New(rand.NewPCG(1, 2)).Float64}) }

// Guards against a less urgent class that takes room from a more urgent one, and against admission during normal load.
func TestFillsByUrgency(t *testing.T) {
	for _, c := range []struct {
		name                     string
		urgent, other, requests  float64
		wantUrgent, wantOther    float64
		returns, wantReturnsPart float64
	}{
		{"room for all", 40, 40, 90, 1, 1, 0, 1},
		{"less urgent class cut", 55, 80, 95, 1, 0.5, 0, 1},
		{"urgent class cut", 190, 80, 95, 0.5, 0, 0, 0},
		{"returns first", 55, 80, 95, 1, 0.25, 20, 1},
		{"more returns than room", 55, 80, 95, 1, 0, 80, 0.5},
		{"backlog of the less urgent", 55, 80, 1000, 0, 0, 0, 0},
		{"no requests, no room", 0, 0, 1000, 0, 0, 0, 0},
	} {
		classes := twoClasses(c.urgent, c.other)
		classes[1].ReturnsPerSecond = c.returns / 1.35
		p := newTest().Update(classes, Room{Slots: 100, Requests: c.requests}, start)
		got, want := fmt.Sprintf("%.2f %.2f", p.Fractions, p.Returns[1]), fmt.Sprintf("%.2f %.2f", []float64{c.wantUrgent, c.wantOther}, c.wantReturnsPart)
		if got != want {
			t.Errorf("%s: fractions %s, want %s", c.name, got, want)
		}
	}
}

// Guards against a team with many requests that takes the room of the others, also through its retries.
func TestHotTeamIsCutFirst(t *testing.T) {
	for _, hotRetries := range []int{0, 1} {
		c := newTest()
		classes := twoClasses(55, 80)
		admitted, asked := map[string]int{}, map[string]int{}
		for i := range 4000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			c.Update(classes, Room{Slots: 100, Requests: 95}, now)
			for j := range 4 {
				r := Request{Class: 1, Team: "hot", Weight: 1, Remaining: 12 * time.Second}
				if j == 0 {
					r.Team = "cold" + fmt.Sprint(i%4)
				} else if j == 1 && hotRetries > 0 && i%4 == 0 {
					r.Waited = time.Second
				}
				asked[r.Team[:3]]++
				if c.Decide(r, now).Admit {
					admitted[r.Team[:3]]++
				}
			}
		}
		if admitted["col"]*200 < asked["col"]*199 {
			t.Errorf("%d of %d requests of teams under their share admitted", admitted["col"], asked["col"])
		}
		if sum := admitted["col"] + admitted["hot"]; sum < 7600 || sum > 8800 {
			t.Errorf("%d of 16000 admitted, want about half", sum)
		}
	}
}

// Guards against the last plan being used for too long without views, and against a host that then ignores rejections.
func TestWithoutViews(t *testing.T) {
	c := newTest()
	c.Update(twoClasses(190, 80), Room{Slots: 100, Requests: 95}, start)
	at := func(d time.Duration, class int) float64 {
		return c.Decide(Request{Class: class, Remaining: 4 * time.Second}, start.Add(d)).Fraction
	}
	if f := at(2*time.Second, 0); math.Abs(f-0.5) > 0.01 {
		t.Errorf("fraction %v after 2 s, want that of the plan", f)
	}
	if f := at(4*time.Second, 0); math.Abs(f-0.7) > 0.01 {
		t.Errorf("fraction %v after 4 s, want 0.2 more", f)
	}
	if f := at(4*time.Second, 1); math.Abs(f-0.2) > 0.01 {
		t.Errorf("fraction %v of the less urgent class after 4 s, want 0.2", f)
	}
	c.Refused(0, start.Add(4*time.Second))
	if urgent, other := at(4*time.Second, 0), at(4*time.Second, 1); urgent < 0.69 || other > 0.15 {
		t.Errorf("fractions %v and %v after a rejection, want the less urgent class cut", urgent, other)
	}
}

// Guards against retries that another host, which holds no state of them, does not recognise as told a reservation.
func TestRetriesAreRecognised(t *testing.T) {
	c := newTest()
	c.Update(twoClasses(190, 80), Room{Slots: 100, Requests: 95}, start)
	seen := map[string]int{}
	for range 1000 {
		r := Request{Team: "a", Remaining: 4 * time.Second}
		d := c.Decide(r, start)
		if d.Admit {
			continue
		}
		seen[d.Reason]++
		r.Waited, r.Remaining = d.RetryAfter, r.Remaining-d.RetryAfter
		if want := map[string]kind{ReasonReserved: reserved, ReasonNoPlace: unplaced}[d.Reason]; kindOf(r) != want {
			t.Fatalf("%q: kind %v after %v, want %v", d.Reason, kindOf(r), d.RetryAfter, want)
		}
	}
	if seen[ReasonReserved] == 0 || seen[ReasonNoPlace] == 0 {
		t.Errorf("rejections %v, want both kinds", seen)
	}
}

// Guards against a host that goes on with counts and reservations from before a freeze.
func TestDropsStateAfterFreeze(t *testing.T) {
	c, _ := busy()
	c.Served(1, start.Add(3*time.Second))
	if s := c.states[1]; len(s.teams.byName) != 0 || s.calendar.next != 0 {
		t.Errorf("%d teams and a calendar up to %v kept", len(s.teams.byName), s.calendar.next)
	}
}

// Guards against a permitted backlog that full servers do not lower, or that stays low.
func TestPermittedBacklog(t *testing.T) {
	b := newBacklogPart()
	for i := range 10 {
		b.refused(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	if math.Abs(b.value-maxBacklogPart*math.Pow(backlogDecrease, 3)) > 1e-9 {
		t.Errorf("part %v after 1 s of rejections, want three reductions", b.value)
	}
	for i := range 100 {
		b.served(start.Add(time.Duration(10+i) * 100 * time.Millisecond))
	}
	if b.value != maxBacklogPart {
		t.Errorf("part %v after 10 s of answers", b.value)
	}
}

// Guards against fractions outside [0, 1], a less urgent class ahead of a more urgent one, more admitted demand than
// room, and Retry-After times out of bounds or at one instant, for any input.
func TestProperties(t *testing.T) {
	number := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 1000), rapid.SampledFrom([]float64{0, math.NaN(), math.Inf(1), math.Inf(-1)}))
	span := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(-100, 15000).Draw(t, "ms")) * time.Millisecond
	})
	rapid.Check(t, func(t *rapid.T) {
		random := rapid.SampledFrom([]float64{0, 0.5, 0.999}).Draw(t, "random")
		c := New(Options{Random: func() float64 { return random }, Hosts: func() int { return rapid.IntRange(-1, 300).Draw(t, "hosts") }})
		now, taken := start, map[time.Time]bool{}
		for range rapid.IntRange(1, 5).Draw(t, "updates") {
			classes := make([]Class, rapid.IntRange(0, 4).Draw(t, "classes"))
			for i := range classes {
				classes[i] = Class{i, span.Draw(t, "target"), number.Draw(t, "arrivals"), number.Draw(t, "returns"), span.Draw(t, "slot time")}
			}
			now = now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 3 * time.Second}).Draw(t, "step"))
			room := Room{number.Draw(t, "slots"), number.Draw(t, "requests"), number.Draw(t, "surplus")}
			checkPlan(t, c, c.Update(classes, room, now), room, now)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				r := Request{rapid.IntRange(-1, 5).Draw(t, "class"), "t", number.Draw(t, "weight"), span.Draw(t, "waited"), span.Draw(t, "remaining"), span.Draw(t, "recognized")}
				d := c.Decide(r, now)
				if d.RetryAfter != 0 && (d.Admit || d.RetryAfter < MinRetryAfter || d.RetryAfter > r.Remaining/3) {
					t.Fatalf("Retry-After %v of %v", d.RetryAfter, r.Remaining)
				}
				if d.Reason == ReasonReserved {
					if at := now.Add(d.RetryAfter); taken[at] {
						t.Fatalf("two reservations at %v", at)
					} else {
						taken[at] = true
					}
				}
			}
		}
	})
}

func checkPlan(t *rapid.T, c *Controller, p Plan, room Room, now time.Time) {
	used := 0.0
	for i, f := range p.Fractions {
		if !(f >= 0 && f <= 1 && p.Returns[i] >= f && p.Returns[i] <= 1) {
			t.Fatalf("fractions %v, of returns %v", f, p.Returns[i])
		}
		if i > 0 && (f > p.Fractions[i-1] || p.Returns[i] > p.Returns[i-1]) {
			t.Fatalf("class %d ahead of a more urgent one: %v", i, p.Fractions)
		}
		used += c.states[i].admitted(now)
	}
	slots := clean(room.Slots)
	if limit := (targetUtilization+maxIdleCorrection)*slots + clean(room.Surplus); used > limit*(1+1e-9) {
		t.Fatalf("%v slots admitted, %v at most", used, limit)
	}
}

func busy() (*Controller, []Class) {
	c, classes := newTest(), twoClasses(55, 80)
	c.Update(classes, Room{Slots: 100, Requests: 95}, start)
	for i := range 1000 {
		c.Decide(Request{Class: 1, Team: fmt.Sprint(i % 16), Weight: 1, Remaining: 12 * time.Second}, start)
	}
	return c, classes
}

func BenchmarkDecide(b *testing.B) {
	c, _ := busy()
	b.ReportAllocs()
	for b.Loop() {
		c.Decide(Request{Class: 1, Team: "3", Weight: 1, Remaining: 12 * time.Second}, start)
	}
}

func BenchmarkUpdate(b *testing.B) {
	c, classes := busy()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		c.Update(classes, Room{Slots: 100, Requests: 95}, now)
	}
}
