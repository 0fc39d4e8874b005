package releases

import (
	"slices"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
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

// message is what a control host has sent to another one.
type message struct {
	list    []*pb.ReleaseSeen
	started time.Time
}

// TestProofIsTrue lets servers announce themselves to control hosts of which one is frozen, cut off in one direction or
// both, or starts again. Messages to a frozen or cut-off host arrive late. Whenever answers prove that a single release
// ran within a time, no other one was announced in it, not even a moment before the answers.
func TestProofIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, within = 4, 20 * time.Second
		now := start
		names := []string{"c0", "c1", "c2", "c3"}
		var histories [hosts]*History
		var sent [hosts][hosts]uint64
		var heard [hosts][hosts]time.Time
		var queued [hosts][hosts][]message
		var started [hosts]time.Time
		for i := range hosts {
			histories[i], started[i] = New(now), now
		}
		frozen, deaf, mute := -1, -1, -1
		announced := map[string]time.Time{}
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			now = now.Add(300 * time.Millisecond)
			switch rapid.IntRange(0, 120).Draw(t, "event") {
			case 71: // rapid draws low values more often
				frozen = rapid.IntRange(0, hosts-1).Draw(t, "frozen")
			case 72:
				deaf = rapid.IntRange(0, hosts-1).Draw(t, "deaf")
			case 73:
				mute = rapid.IntRange(0, hosts-1).Draw(t, "mute")
			case 74, 75, 76:
				frozen, deaf, mute = -1, -1, -1
			case 77:
				i := rapid.IntRange(0, hosts-1).Draw(t, "restarted")
				histories[i], started[i] = New(now), now
				heard[i] = [hosts]time.Time{}
				for k := range hosts {
					sent[i][k], sent[k][i], queued[k][i] = 0, 0, nil
				}
			}
			for from := range hosts {
				for to := range hosts {
					if from == to {
						continue
					}
					if from != frozen {
						list, next := histories[from].Since(sent[from][to], now)
						queued[from][to] = append(queued[from][to], message{list, started[from]})
						sent[from][to] = next
					}
					if to == frozen || to == deaf || from == mute || len(queued[from][to]) == 0 {
						continue
					}
					// One message in each step, so that a host that was out of step hears old ones first.
					m := queued[from][to][0]
					queued[from][to] = queued[from][to][1:]
					histories[to].Merge(m.list, now)
					histories[to].RecordStart(m.started)
					heard[to][from] = now
				}
			}
			release := "v1"
			if rapid.IntRange(0, 60).Draw(t, "release") == 37 {
				release = "v0"
			}
			if at := rapid.IntRange(0, hosts-1).Draw(t, "at"); at != frozen {
				histories[at].Record("llm", release, now)
				announced[release] = now
			}
			var answers []Answer
			for i, h := range histories {
				if i == frozen || rapid.IntRange(0, 30).Draw(t, "unanswered") == 17 {
					continue
				}
				all := true
				for k := range hosts {
					all = all && (k == i || now.Sub(heard[i][k]) < 1500*time.Millisecond)
				}
				h.SetComplete(all, now)
				list, complete := h.Within("llm", within, now)
				answers = append(answers, Answer{names[i], list, complete, now.Sub(started[i]), names})
			}
			host, _ := Prove("v1", within, answers)
			if last, ok := announced["v0"]; host != "" && ok && now.Sub(last) <= within {
				t.Fatalf("%s proves that v1 is the only release, v0 was announced %s ago", host, now.Sub(last))
			}
		}
	})
}

// TestProve checks each reason for which answers prove nothing.
func TestProve(t *testing.T) {
	const within = 10 * time.Second
	sound := func(host string) Answer {
		return Answer{host, []string{"v1"}, true, time.Hour, []string{"c0", "c1"}}
	}
	for _, c := range []struct {
		name   string
		edit   func(list []Answer) []Answer
		proves bool
	}{
		{"all know one release", func(l []Answer) []Answer { return l }, true},
		{"one history is incomplete", func(l []Answer) []Answer { l[0].Complete = false; return l }, true},
		{"one has heard no server of it", func(l []Answer) []Answer { l[0].Releases = nil; return l }, true},
		{"no history is complete", func(l []Answer) []Answer { l[0].Complete, l[1].Complete = false, false; return l }, false},
		{"one does not answer", func(l []Answer) []Answer { return l[:1] }, false},
		{"one has started", func(l []Answer) []Answer { l[1].Uptime = within - 1; return l }, false},
		{"one names another release", func(l []Answer) []Answer { l[1].Releases = []string{"v0", "v1"}; return l }, false},
		{"one names another release only", func(l []Answer) []Answer { l[1].Releases = []string{"v0"}; return l }, false},
		{"none names the others", func(l []Answer) []Answer { l[0].Hosts, l[1].Hosts = nil, nil; return l }, false},
		{"none answers", func([]Answer) []Answer { return nil }, false},
	} {
		if host, reason := Prove("v1", within, c.edit([]Answer{sound("c0"), sound("c1")})); (host != "") != c.proves || (reason == "") != c.proves {
			t.Errorf("%s: host %q, reason %q", c.name, host, reason)
		}
	}
}
