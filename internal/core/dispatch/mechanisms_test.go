package dispatch

import (
	"testing"
	"time"
)

func TestParseMechanisms(t *testing.T) {
	all, f := ParseMechanisms(MechanismNames())
	if f != nil {
		t.Fatal(f)
	}
	for _, name := range MechanismNames() {
		one, f := ParseMechanisms([]string{name})
		if f != nil || one == 0 || !all.Has(one) {
			t.Errorf("%s: %b, %v", name, one, f)
		}
	}
	if none, f := ParseMechanisms(nil); f != nil || none != 0 {
		t.Errorf("no names: %b, %v", none, f)
	}
	if _, f := ParseMechanisms([]string{"copys"}); f == nil {
		t.Error("an unknown name is accepted")
	}
}

// TestMechanismsOff checks that each mechanism changes a choice when enabled and no longer does
// when disabled.
func TestMechanismsOff(t *testing.T) {
	for _, c := range []struct {
		name string
		off  Mechanisms
		set  func(f *Fleet)
		want func(c Choice) bool
	}{
		{"other regions", OtherRegions, func(f *Fleet) { // the servers of the own region are gone
			f.MarkGone("s0", 0, start)
			f.MarkGone("s1", 0, start)
		}, func(c Choice) bool { return c.Host != nil }},
		{"health", Health, func(f *Fleet) {
			f.ApplyView(testView(2), FullScope, start)
			f.servers["s0"].health.errors = decayingMean{1, start}
		}, func(c Choice) bool { return c.Server != nil && c.Server.ID == "s1" }},
		{"silence", StallAvoidance, func(f *Fleet) {
			f.ApplyView(testView(2), FullScope, start)
			f.servers["s0"].own.requests, f.servers["s0"].progressAt = 1, start.Add(-time.Minute)
			f.servers["s1"].own.requests, f.servers["s1"].progressAt = 2, start
		}, func(c Choice) bool { return c.Server != nil && c.Server.ID == "s1" }},
		{"own domain first", OwnDomainFirst, func(f *Fleet) {
			v := testView(2)
			v.Servers[1].FailureDomain = "w2"
			f.ApplyView(v, FullScope, start)
			f.servers["s0"].own.prompt = 1500 // a short wait
		}, func(c Choice) bool { return c.Server != nil && c.Server.ID == "s0" }},
		{"memory room", MemoryRoom, func(f *Fleet) { // little work, but most of the memory of s0 is held
			f.servers["s0"].others = load{requests: 1, memory: 179_500}
			f.servers["s1"].others = load{requests: 4, prompt: 9000, memory: 9000}
		}, func(c Choice) bool { return c.Server != nil && c.Server.ID == "s1" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			choose := func(off Mechanisms) Choice {
				f := newTestFleet(2)
				f.o.Off, f.o.Random = off, func() float64 { return 0 }
				c.set(f)
				j := shortJob()
				j.Parts = j.Parts[2:] // no shared parts, so that no engine is a home
				return f.Choose(j, start)
			}
			if on := choose(0); !c.want(on) {
				t.Errorf("enabled: %v", on.Considered)
			}
			if off := choose(c.off); c.want(off) {
				t.Errorf("disabled: %v", off.Considered)
			}
		})
	}
}
