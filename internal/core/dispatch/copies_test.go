package dispatch

import (
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
)

// copyJob returns a job with a long prompt for engines that copy KV cache from each other.
func copyJob() *Job {
	j := longJob("chain")
	j.Permits, j.CopyTokensPerMS = only("west"), 500
	return j
}

// TestSharedPartsAreCopied reports to a host that another one sent the chain to s0, and checks
// the engine from which s1 would copy it.
func TestSharedPartsAreCopied(t *testing.T) {
	cases := []struct {
		name string
		make func(*Fleet, *Job)
		age  time.Duration
		want string
	}{
		{"held by another engine", func(*Fleet, *Job) {}, time.Second, "10.1.0.0:80"},
		{"held too long ago", func(*Fleet, *Job) {}, 50 * time.Second, ""},
		{"evicted, as much was read there since", func(f *Fleet, _ *Job) { f.servers["s0"].othersPrefill = 5000 }, 3 * time.Second, ""},
		{"engines that don't copy", func(_ *Fleet, j *Job) { j.CopyTokensPerMS = 0 }, time.Second, ""},
		{"little to copy", func(_ *Fleet, j *Job) { j.Parts = j.Parts[1:]; j.Parts[0].Tokens = 300 }, time.Second, ""},
		{"the holder is leaving", func(f *Fleet, _ *Job) { f.servers["s0"].Leaving = true }, time.Second, ""},
		{"the holder's connections break", func(f *Fleet, _ *Job) { f.servers["s0"].health.recordConnectionFailure(start.Add(time.Second)) }, time.Second, ""},
		{"the holder sends nothing", func(f *Fleet, _ *Job) {
			f.servers["s0"].own.requests, f.servers["s0"].progressAt = 1, start.Add(-time.Second)
		}, time.Second, ""},
		{"the holder runs another release", func(f *Fleet, _ *Job) { f.servers["s0"].Release = "v2" }, time.Second, ""},
		{"the holder advertises a limit", func(f *Fleet, _ *Job) {
			f.limits.Merge(f.servers["s0"].key, serverlimit.Limit{Revision: 1, PerSecond: 5}, start)
		}, time.Second, ""},
		{"the holder's cache is cold", func(f *Fleet, _ *Job) { f.servers["s0"].ColdUntil = start.Add(9 * time.Second) }, time.Second, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(2)
			v := testView(2)
			v.Prompts = holders.Encode([]holders.Place{{Chain: holders.Key("chain"), Server: holders.Key("s0")}})
			f.ApplyView(v, FullScope, start)
			j := copyJob()
			c.make(f, j)
			now := start.Add(c.age)
			missingTokens := float64(sharedTokens(j.Parts))
			addr, tokens := f.copySource(f.servers["s1"], j, f.locationsOf(j, now), missingTokens, now)
			if addr != c.want || (addr == "") != (tokens == 0) || tokens > missingTokens {
				t.Errorf("copies %.0f tokens from %q, want %q", tokens, addr, c.want)
			}
		})
	}
}

// TestHolderIsPreferredUntilItIsBusy sends a long prompt while its holder is idle, and then
// while the holder has a long backlog of prefill: in the second case another engine copies the
// shared parts.
func TestHolderIsPreferredUntilItIsBusy(t *testing.T) {
	f := newTestFleet(2)
	v := testView(2)
	v.Regions = nil
	v.Prompts = holders.Encode([]holders.Place{{Chain: holders.Key("chain"), Server: holders.Key("s0")}})
	f.ApplyView(v, FullScope, start)
	c := f.Choose(copyJob(), start)
	if c.Server.ID != "s0" || c.CopyFrom != "" {
		t.Errorf("idle: sent to %s, copies from %q", c.Server.ID, c.CopyFrom)
	}
	f.servers["s0"].others = load{8, 40_000, 60_000}
	c = f.Choose(copyJob(), start)
	if c.Server.ID != "s1" || c.CopyFrom != "10.1.0.0:80" || c.UncoveredTokens > 3500 {
		t.Errorf("busy: sent to %s, copies from %q, %.0f tokens to prefill", c.Server.ID, c.CopyFrom, c.UncoveredTokens)
	}
}

// TestSentPromptsAreReportedOnce checks what a host reports of the prompts that it sent: only
// long shared chains, each once, and a bounded number.
func TestSentPromptsAreReportedOnce(t *testing.T) {
	f := newTestFleet(2)
	send := func(j *Job) {
		c := f.Choose(j, start)
		f.Started(&c, start)
	}
	j := copyJob()
	send(j)
	send(shortJob())
	reported := f.TakeUnreportedPlaces()
	if len(reported) != 1 || reported[0].Chain != holders.Key("chain") || f.serversByKey[reported[0].Server] == nil {
		t.Errorf("reported %v, want the chain once", reported)
	}
	if again := f.TakeUnreportedPlaces(); len(again) != 0 {
		t.Errorf("reported again: %v", again)
	}
	for range maxUnreportedPlaces + 10 {
		send(copyJob())
	}
	if n := len(f.TakeUnreportedPlaces()); n > maxUnreportedPlaces {
		t.Errorf("%d places kept while no control host is reachable", n)
	}
}

// TestRegionThatHoldsTheChain checks how many tokens are expected to be prefilled again if a
// prompt goes to another region: none if the region used the chain recently, otherwise all.
func TestRegionThatHoldsTheChain(t *testing.T) {
	cases := []struct {
		name       string
		reportedBy string // region that reported holding the chain
		age        time.Duration
		job        *Job
		want       float64
	}{
		{"held there", "east", time.Second, copyJob(), 0},
		{"held elsewhere", "north", time.Second, copyJob(), 6300},
		{"held there long ago", "east", 25 * time.Second, copyJob(), 6300},
		{"not reported, as the shared parts are short", "", time.Second, shortJob(), 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(2)
			v := testView(2)
			v.Prompts = holders.Encode(holders.InRegion(c.reportedBy, []holders.Place{{Chain: holders.Key("chain"), Server: 1}, {Chain: holders.Key("chain"), Server: 2}}))
			f.ApplyView(v, FullScope, start)
			got := f.repeatedPrefillInRegion(f.regions[regionKey{"east", "llm"}], c.job, start.Add(c.age))
			if got != c.want {
				t.Errorf("%.0f tokens, want %.0f", got, c.want)
			}
		})
	}
}
