package releases

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// TestWithin checks which releases may have begun streams, and when it is certain that these are all.
func TestWithin(t *testing.T) {
	const within = 30 * time.Second
	for _, c := range []struct {
		name     string
		play     func(*History)
		list     []string
		complete bool
	}{
		{"one release since the start", func(*History) {}, []string{"v1"}, true},
		{"another release left before", func(h *History) { h.Record("llm", "v0", at(10)) }, []string{"v1"}, true},
		{"another release may have begun streams", func(h *History) { h.Record("llm", "v0", at(60)) }, []string{"v0", "v1"}, true},
		{"another release of another service", func(h *History) { h.Record("desk", "v0", at(60)) }, []string{"v1"}, true},
		{"a control host was out of contact", func(h *History) { h.SetComplete(false, at(80)); h.SetComplete(true, at(80.1)) }, []string{"v1"}, false},
		{"a control host was out of contact before", func(h *History) { h.SetComplete(false, at(60)); h.SetComplete(true, at(60.1)) }, []string{"v1"}, true},
		{"a control host is out of contact", func(h *History) { h.SetComplete(false, at(100)) }, []string{"v1"}, false},
		{"a control host started", func(h *History) { h.RecordStart(at(85)) }, []string{"v1"}, false},
		{"an announcement is heard late", func(h *History) { h.Record("llm", "v0", at(70)); h.Record("llm", "v0", at(20)) }, []string{"v0", "v1"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := New(start)
			h.SetComplete(true, at(1))
			c.play(h)
			h.Record("llm", "v1", at(100))
			list, complete := h.Within("llm", within, at(100))
			if !slices.Equal(list, c.list) || complete != c.complete {
				t.Errorf("%v, complete: %v", list, complete)
			}
		})
	}
}

// TestExpire checks that records are dropped once no stream of their release can be taken up.
func TestExpire(t *testing.T) {
	h := New(start)
	h.Record("llm", "v1", start)
	h.Expire(start.Add(retention))
	if len(h.records) != 1 {
		t.Error("dropped within the retention")
	}
	h.Expire(start.Add(retention + time.Second))
	if len(h.records) != 0 {
		t.Error("kept beyond the retention")
	}
}

// TestOnlyReleaseIsTrue lets servers announce themselves to control hosts that exchange reports, lose contact and
// start again. Whenever a history claims that a single release ran within a time, no other one was announced in it.
func TestOnlyReleaseIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, within = 3, 20 * time.Second
		now := start
		var histories [hosts]*History
		var sent [hosts][hosts]uint64
		var heard [hosts][hosts]time.Time
		var started [hosts]time.Time
		for i := range hosts {
			histories[i], started[i] = New(now), now
		}
		cut := -1
		announced := map[string]time.Time{}
		proved := 0
		announce := func(i int, release string) {
			histories[i].Record("llm", release, now)
			announced[release] = now
		}
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			now = now.Add(300 * time.Millisecond)
			switch rapid.IntRange(0, 120).Draw(t, "event") {
			case 71: // rapid draws low values more often
				cut = rapid.IntRange(0, hosts-1).Draw(t, "cut")
			case 72, 73, 74:
				cut = -1
			case 75: // it reports nothing of the last interval
				i := rapid.IntRange(0, hosts-1).Draw(t, "restarted")
				announce(i, "v0")
				histories[i], started[i] = New(now), now
				heard[i] = [hosts]time.Time{}
				for k := range hosts {
					sent[i][k], sent[k][i] = 0, 0
				}
			}
			for from := range hosts {
				for to := range hosts {
					if from == to || from == cut || to == cut {
						continue
					}
					list, next := histories[from].Since(sent[from][to], now)
					histories[to].Merge(list, now)
					histories[to].RecordStart(started[from])
					sent[from][to], heard[to][from] = next, now
				}
			}
			for i, h := range histories {
				all := true
				for k := range hosts {
					all = all && (k == i || now.Sub(heard[i][k]) < 1500*time.Millisecond)
				}
				h.SetComplete(all, now)
				list, complete := h.Within("llm", within, now)
				if !complete || len(list) != 1 {
					continue
				}
				proved++
				for release, last := range announced {
					// A cut is noticed after the contact timeout.
					if release != list[0] && now.Sub(last) <= within && now.Sub(last) > 2*time.Second {
						t.Fatalf("host %d claims that %v is the only release, %s was announced %s ago", i, list, release, now.Sub(last))
					}
				}
			}
			release := "v1"
			if rapid.IntRange(0, 60).Draw(t, "release") == 37 {
				release = "v0"
			}
			announce(rapid.IntRange(0, hosts-1).Draw(t, "at"), release)
		}
	})
}
