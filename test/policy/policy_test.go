package policy_test

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
)

func preset(name string, edit func(*configstate.Policy)) *configstate.Policy {
	p := configstate.Presets[name]
	p.Preset, p.MaxQueuePerSlot, p.MaxAttempts, p.RetryBudget = name, configstate.DefaultQueuePerSlot, 3, 0.1
	if edit != nil {
		edit(&p)
	}
	return &p
}

// policies are the placement core with each preset and with other settings, and the baselines.
var policies = []policy{
	{name: "archive preset", settings: preset("archive", nil)},
	{name: "railhalt preset", settings: preset("railhalt", nil)},
	{name: "balanced preset", settings: preset("balanced", nil)},
	{name: "always home", settings: preset("balanced", func(p *configstate.Policy) {
		p.SendAwayCeiling, p.SendAwayPriceMS = 0, 1e9
	})},
	{name: "cheapest, no hysteresis", settings: preset("balanced", func(p *configstate.Policy) {
		p.SendAwayCeiling, p.SendAwayPriceMS, p.SendAwayMargin = 1, 0, 0
	})},
	{name: "random", pick: func(s *sim, h *simHost, _ *simRequest) *simServer {
		up := reachable(s, h.region, false)
		return up[s.rnd.Intn(len(up))]
	}},
	{name: "round robin", pick: func(s *sim, h *simHost, _ *simRequest) *simServer {
		up := reachable(s, h.region, false)
		h.next++
		return up[h.next%len(up)]
	}},
	{name: "least outstanding, local", pick: leastOutstanding},
}

// reachable returns the running servers that a region reaches, or with local, only the region's own.
func reachable(s *sim, region int, local bool) []*simServer {
	var out []*simServer
	for _, srv := range s.servers {
		if !srv.up || srv.region != region && (local || s.cut[region] || s.cut[srv.region]) {
			continue
		}
		out = append(out, srv)
	}
	return out
}

// leastOutstanding picks the local server with the lowest load by its lagged report, without
// corrections.
func leastOutstanding(s *sim, h *simHost, _ *simRequest) *simServer {
	var best *simServer
	load := math.Inf(1)
	up := reachable(s, h.region, true)
	for i := range up {
		srv := up[(i+h.next)%len(up)]
		x := float64(h.ownAttempts[srv.id])
		for _, l := range srv.past {
			if l.at <= s.now-s.scene.lag {
				x = math.Max(float64(l.running+l.queued), float64(h.ownAttempts[srv.id]))
			}
		}
		if x < load {
			best, load = srv, x
		}
	}
	h.next++
	return best
}

// dailyCycle returns a load that passes through one daily cycle in the given seconds, with the
// regions' peaks offset.
func dailyCycle(seconds, low, high float64, regions int) func(int, float64) float64 {
	return func(region int, t float64) float64 {
		phase := 2*math.Pi*t/seconds - 2*math.Pi*float64(region)/float64(regions)
		return low + (high-low)*(0.5+0.5*math.Cos(phase))
	}
}

func constantLoad(x float64) func(int, float64) float64 {
	return func(int, float64) float64 { return x }
}

func railhalt(name string) scene {
	return scene{name: name, servers: []int{4, 4, 4}, slots: 8, decodeMS: 20, seconds: 600, load: dailyCycle(600, 0.35, 1.25, 3), lag: 0.5, teams: 4}
}

func setServersUp(region, from, to int, up bool) func(*sim) {
	return func(s *sim) {
		for i, srv := range serversOf(s, region) {
			if i >= from && i < to {
				srv.up = up
				srv.epoch++
				lost := srv.queue
				srv.queue, srv.running, srv.held = nil, 0, map[uint64]int{}
				for _, r := range lost {
					s.lost(r)
				}
			}
		}
	}
}

func serversOf(s *sim, region int) []*simServer {
	var out []*simServer
	for _, srv := range s.servers {
		if srv.region == region {
			out = append(out, srv)
		}
	}
	return out
}

func scenes() []scene {
	archive := scene{name: "archive: offset peaks", servers: []int{3, 3, 3}, slots: 8, decodeMS: 30, seconds: 600, load: dailyCycle(600, 0.3, 1.15, 3), lag: 0.5, teams: 3}
	hot := railhalt("hot prefix")
	hot.hot, hot.load = 0.6, constantLoad(0.8)
	half := railhalt("half of a region's servers lost")
	half.load = constantLoad(0.7)
	half.events = []intervention{{200, setServersUp(0, 0, 2, false)}, {400, setServersUp(0, 0, 2, true)}}
	cut := railhalt("a region cut off, back with cold caches")
	cut.load = constantLoad(0.75)
	cut.events = []intervention{
		{200, func(s *sim) { s.cut[0] = true }},
		{260, func(s *sim) { s.cut[0] = false }},
		{260, setServersUp(0, 0, 4, true)},
	}
	lag2, lag5 := railhalt("railhalt: reports lag 2 s"), railhalt("railhalt: reports lag 5 s")
	lag2.lag, lag5.lag = 2, 5
	tenfold := railhalt("capacity differs tenfold")
	tenfold.servers = []int{10, 4, 1}
	return []scene{archive, railhalt("railhalt: offset peaks"), hot, half, cut, lag2, lag5, tenfold}
}

// row is one line of the report.
type row struct {
	Scene  string `json:"scene"`
	Policy string `json:"policy"`
	outcome
}

// TestPolicyReport logs the comparison. With SESAME_REPORT, it also writes it to that file as JSON.
// It only checks that every request was answered or refused.
func TestPolicyReport(t *testing.T) {
	var rows []row
	full := os.Getenv("SESAME_REPORT") != ""
	for _, sc := range scenes() {
		if !full {
			sc.seconds = 60 // enough to check the simulation itself
		}
		t.Logf("%s", sc.name)
		t.Logf("  %-26s %8s %6s %6s %6s %6s %8s %8s %8s %8s %6s", "policy", "answered", "refus", "late", "away", "hits", "cost", "ttft50", "ttft95", "ttft99", "jain")
		for _, p := range policies {
			o := run(sc, p, 1)
			rows = append(rows, row{sc.name, p.name, o})
			t.Logf("  %-26s %8d %6d %6d %6.3f %6.3f %8.0f %8.3f %8.3f %8.3f %6.3f", p.name, o.Answered, o.Refused, o.Late, o.Away, o.Hits, o.Cost, o.TTFT50, o.TTFT95, o.TTFT99, o.Fairness)
			if o.Answered+o.Refused != o.Requests {
				t.Errorf("%s, %s: %d answered and %d refused of %d", sc.name, p.name, o.Answered, o.Refused, o.Requests)
			}
		}
	}
	if path := os.Getenv("SESAME_REPORT"); path != "" {
		data, _ := json.MarshalIndent(rows, "", " ")
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// TestNoCongestionCollapse offers a load of 2, 5 and 10 times the capacity, most of it by one team.
// Goodput must stay at 90 % of its peak, and the other teams must be served equally.
func TestNoCongestionCollapse(t *testing.T) {
	at := func(x float64) outcome {
		sc := scene{name: fmt.Sprint(x), servers: []int{4}, slots: 8, decodeMS: 20, seconds: 200, load: constantLoad(x), lag: 0.5, teams: 5}
		if x > 1 {
			sc.noisy = 1 - 0.8/x // the other teams together offer 0.8 of the capacity
		}
		return run(sc, policy{name: "balanced", settings: preset("balanced", nil)}, 1)
	}
	peak := at(1).Goodput
	for _, x := range []float64{2, 5, 10} {
		o := at(x)
		t.Logf("load %.0fx: goodput %.2f/s of %.2f/s, refused %d, late %d, jain %.3f, ttft p99 %.2f s", x, o.Goodput, peak, o.Refused, o.Late, o.Fairness, o.TTFT99)
		if o.Goodput < 0.9*peak {
			t.Errorf("load %.0fx: goodput %.2f/s is under 90%% of the peak %.2f/s", x, o.Goodput, peak)
		}
		if o.Fairness < 0.95 {
			t.Errorf("load %.0fx: Jain's fairness index of the teams within their share is %.3f, want 0.95", x, o.Fairness)
		}
	}
}
