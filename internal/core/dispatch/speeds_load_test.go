package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

var fastEngines = []string{"s0", "s4", "s8", "s12", "s16"} // a quarter

// factor returns the factor of an engine: of unequal engines that of fastEngines is 0.55, that of the others 1.2, and
// all take 2.5 times as long in 15% of the time, for 0.6 s. s4 takes four times as long from second 12 to 24.
func (p *simulatedRegion) factor(id string, at time.Time) float64 {
	if p.sent == nil {
		return 1
	}
	after, factor := at.Sub(start).Milliseconds(), 1.2
	if slices.Contains(fastEngines, id) {
		factor = 0.55
	}
	if xxhash.Sum64String(fmt.Sprint(p.seed, id, after/600))%100 < 15 {
		factor *= 2.5
	}
	if id == "s4" && after >= 12_000 && after < 24_000 {
		factor *= 4
	}
	return factor
}

func (p *simulatedRegion) reportWorkTime(u *activeRequest) {
	if id := u.choice.Server.ID; p.sent != nil {
		u.host.RecordWorkTime(&u.choice, p.factor(id, p.now), p.now)
		for _, key := range []string{"all", id, fmt.Sprint(id, " ", int(p.now.Sub(start)/(12*time.Second)))} {
			p.sent[key] += u.choice.UncoveredTokens
		}
	}
}

// TestLoadOnEnginesOfUnequalSpeed guards against prompts that wait at slow engines while fast ones are idle, and
// against an engine that keeps its load while it is slow, or does not get it back afterwards.
func TestLoadOnEnginesOfUnequalSpeed(t *testing.T) {
	t.Parallel()
	var late, fast [2]float64 // with and without factors
	for i, off := range []Mechanisms{0, WorkFactors} {
		var s4 [3]float64
		for seed := range int64(seedsPerLoad) {
			p := newSimulatedRegion(seed, 0, 20, 20)
			p.off, p.sent = off, map[string]float64{}
			p.addHosts(12)
			p.run(36, 200, 45)
			slices.Sort(p.long)
			inTime, _ := slices.BinarySearch(p.long, 500)
			late[i] += (1 - float64(inTime)/float64(len(p.long))) / seedsPerLoad
			for _, id := range fastEngines {
				fast[i] += p.sent[id] / p.sent["all"] / seedsPerLoad
			}
			for k := range s4 {
				s4[k] += p.sent[fmt.Sprint("s4 ", k)] / 12 / seedsPerLoad
			}
		}
		t.Logf("off %v: %.3f of the long prompts late, %.2f of the prefill at fast engines; s4 %.0f tokens/s", off, late[i], fast[i], s4)
		if off == 0 && (s4[1] > s4[0]/2 || s4[2] < 0.7*s4[0]) {
			t.Errorf("s4 got %.0f tokens per second before, while and after it was slow", s4)
		}
	}
	if late[0] > 0.7*late[1] || fast[0] < fast[1]+0.05 {
		t.Errorf("late prompts %v, prefill at fast engines %v, with and without factors", late, fast)
	}
}
