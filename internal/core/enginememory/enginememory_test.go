package enginememory

import (
	"testing"
	"time"
)

// TestFill guards against requests beyond an engine's memory, against an exclusion where no memory is known, and
// against hosts that overfill an engine on old figures.
func TestFill(t *testing.T) {
	cases := map[string]struct {
		e    Engine
		need float64
		want Fill
	}{
		"memory not known":                         {Engine{Own: 1e9, Others: 1e9, OthersPerSecond: 1e9, OtherHosts: 9}, 1e9, HasRoom},
		"exactly full":                             {Engine{Capacity: 100, Own: 40, Others: 50}, 10, HasRoom},
		"beyond the memory by others":              {Engine{Capacity: 100, Own: 40, Others: 51}, 10, Full},
		"fits by figures, not with what is on way": {Engine{Capacity: 100, Own: 40, Others: 39, OthersPerSecond: 10, OtherHosts: 1}, 10, Tight},
		"fits with what is on way":                 {Engine{Capacity: 100, Own: 40, Others: 20, OthersPerSecond: 10, OtherHosts: 1}, 10, HasRoom},
		"refilled to half":                         {Engine{Capacity: 100, Own: 41, Refilling: true}, 10, Full},
		"room while refilled":                      {Engine{Capacity: 100, Own: 40, Refilling: true}, 10, HasRoom},
		"expected answer too long, empty engine":   {Engine{Capacity: 100}, 150, HasRoom},
		"expected answer too long, engine in use":  {Engine{Capacity: 100, Others: 1}, 150, Full},
	}
	for name, c := range cases {
		if got := c.e.FillWith(c.need); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// TestLargestPrompt guards against a definite rejection of a prompt that fits, and of any where no memory is known.
func TestLargestPrompt(t *testing.T) {
	if Exceeds(100, 100) || !Exceeds(101, 100) || Exceeds(1e9, 0) {
		t.Error("only a prompt above a known memory exceeds it")
	}
}

// TestSharedPartsCountWhileUsed guards against a shared part that stops counting when the request that brought it
// ends while another one still uses it, and against tokens left over after all requests have ended, also after a
// caller named a part twice.
func TestSharedPartsCountWhileUsed(t *testing.T) {
	var h Holding
	first := Request{Shared: []Part{{"top", 50}}, Own: 10}
	second := Request{Shared: []Part{{"top", 50}, {"next", 5}}, Own: 20}
	if got := h.Needs(first); got != 60 {
		t.Errorf("the first request needs %g, want 60", got)
	}
	h.Add(first)
	if got := h.Needs(second); got != 25 {
		t.Errorf("the second request needs %g, want 25", got)
	}
	h.Add(second)
	h.Remove(first)
	if got := h.Tokens(); got != 75 {
		t.Errorf("%g tokens while the second request runs, want 75", got)
	}
	h.Remove(second)
	twice := Request{Shared: []Part{{"top", 50}, {"top", 50}}}
	h.Add(twice)
	h.Remove(twice)
	if h.Tokens() != 0 || len(h.parts) != 0 {
		t.Errorf("%g tokens and %d parts after the last request", h.Tokens(), len(h.parts))
	}
}

// TestCrashByMemory guards against every crash counting as one by memory.
func TestCrashByMemory(t *testing.T) {
	for held, want := range map[float64]bool{90: false, 91: true} {
		if got := (Engine{Capacity: 100, Own: held}).NearlyFull(); got != want {
			t.Errorf("with %g of 100 held: %v", held, got)
		}
	}
}

// TestRatio guards against memory of other hosts' shared parts that is left out, and against a ratio from one request
// or from a load that has ended.
func TestRatio(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Ratio
	if r.At(now) != 1 {
		t.Error("the ratio is not 1 without samples")
	}
	r.Add(9250, 2950, now)
	if got := r.At(now); got > 1.3 {
		t.Errorf("%.2f after one request", got)
	}
	for range 99 {
		r.Add(9250, 2950, now)
	}
	if got := r.At(now); got < 2.8 || got > 3.2 {
		t.Errorf("%.2f after a hundred, want about 3.1", got)
	}
	if got := r.At(now.Add(2 * time.Minute)); got > 1.01 {
		t.Errorf("%.2f two minutes later", got)
	}
	r.Add(1e9, 1, now)
	if got := r.At(now); got != maxRatio {
		t.Errorf("%.2f, want the bound", got)
	}
}

// TestRestart guards against a crash that counts as one by memory though the engine was nearly full long before only,
// and against a refill that ends early, late, or during a cold phase.
func TestRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Restart
	if r.CrashedByMemory(now) || r.Refilling(time.Time{}, now) {
		t.Error("a new engine counts as crashed")
	}
	r.Observe(Engine{Capacity: 100, Own: 95}, now)
	r.Observe(Engine{Capacity: 100, Own: 10}, now.Add(time.Second))
	if !r.CrashedByMemory(now.Add(FigureAge / 2)) {
		t.Error("a crash while nearly full does not count")
	}
	if r.CrashedByMemory(now.Add(time.Second)) {
		t.Error("a crash counts though the engine ran on after it was nearly full")
	}
	r.Refill(now)
	for name, c := range map[string]struct {
		cold, at time.Duration
		want     bool
	}{
		"at first":        {0, RefillTime - 1, true},
		"afterwards":      {0, RefillTime, false},
		"after the cold":  {3 * time.Second, 3*time.Second + RefillTime - 1, true},
		"long afterwards": {3 * time.Second, 3*time.Second + RefillTime, false},
	} {
		if got := r.Refilling(now.Add(c.cold), now.Add(c.at)); got != c.want {
			t.Errorf("%s: refilling %v", name, got)
		}
	}
}
