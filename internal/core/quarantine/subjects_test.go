package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestJudgedParts checks by which parts of a prompt a request is judged.
func TestJudgedParts(t *testing.T) {
	var many []string
	for n := range 10_000 {
		many = append(many, fmt.Sprint(n))
	}
	for _, c := range []struct {
		name string
		ids  []string
		want string
	}{
		{"no part", nil, ""},
		{"one part", []string{"a"}, ""},
		{"the last is left out", []string{"a", "b", "c"}, "a b"},
		{"the same part twice", []string{"a", "a", "b"}, "a"},
		{"the last among the others", []string{"a", "b", "a"}, "b"},
		{"an empty ID", []string{"", "b", "c"}, "b"},
		{"not hexadecimal", []string{"no hex!", "b"}, "no hex!"},
		{"10,000 parts", many, strings.Join(many[:MaxJudgedParts], " ")},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, p := range NewSubjects(Fingerprint{}, "team", "llm", c.ids).Parts {
				got = append(got, p.ID)
			}
			if strings.Join(got, " ") != c.want {
				t.Errorf("judged by %q, want %q", got, c.want)
			}
		})
	}
}

// FuzzSubjects checks that no list of part IDs yields more than MaxJudgedParts parts, the last part,
// or one part twice.
func FuzzSubjects(f *testing.F) {
	f.Add("5c1e07a2,91bd3f06,e4402b7d")
	f.Add(",,a,a,b")
	f.Fuzz(func(t *testing.T, list string) {
		ids := strings.Split(list, ",")
		s := NewSubjects(Fingerprint{}, "team", "llm", ids)
		seen := map[Fingerprint]bool{}
		for _, p := range s.Parts {
			if p.ID == ids[len(ids)-1] || p.ID == "" || seen[p.Fingerprint] {
				t.Errorf("part %q of %q", p.ID, ids)
			}
			seen[p.Fingerprint] = true
		}
		if len(s.Parts) > MaxJudgedParts {
			t.Errorf("%d parts", len(s.Parts))
		}
	})
}

// partTable returns a table and a function that records crashes under as many requests with part p.
func partTable() (*Table, func(release string, servers ...uint64)) {
	t := newTable("host")
	return t, func(release string, servers ...uint64) {
		for _, s := range servers {
			t.RecordCrash(Evidence{Fingerprint: partFingerprint("team", "llm", "p"), Part: "p", Request: uint32(s), Server: s, Service: "llm", Release: release}, start)
		}
	}
}

// TestVerdictsOnParts replays events of one prompt part and checks the verdict on requests with it.
func TestVerdictsOnParts(t *testing.T) {
	request := func(n int) Subjects {
		return NewSubjects(Identity{Body: fmt.Append(nil, n)}.Fingerprint(), "team", "llm", []string{"p", fmt.Sprint("own", n)})
	}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	quarantine := func(table *Table, crash func(string, ...uint64)) {
		crash("v1", 1, 2, 3)
		table.Admit(request(0), false, start) // the confirmation delay begins
	}
	for _, c := range []struct {
		name   string
		events func(*Table, func(string, ...uint64))
		after  time.Duration
		want   Verdict
	}{
		{"two crashes, other attempts in flight", func(table *Table, crash func(string, ...uint64)) {
			crash("v1", 1, 2)
			table.Admit(request(1), false, start)
		}, 0, Suspect},
		{"three crashes", quarantine, 0, Busy},
		{"three crashes, confirmed", quarantine, confirmationDelay, Quarantined},
		{"beside a part that crashed more servers", func(table *Table, crash func(string, ...uint64)) {
			cause := partFingerprint("team", "llm", "cause")
			for s := range uint64(6) {
				table.RecordCrash(Evidence{Fingerprint: cause, Part: "cause", Request: uint32(s), Server: s, Service: "llm"}, start)
			}
			quarantine(table, crash)
		}, confirmationDelay, Suspect},
		{"most crashes without it", func(table *Table, crash func(string, ...uint64)) {
			for s := range uint64(6) {
				table.crashAt(request(int(s)).Request, 100+s, start)
			}
			quarantine(table, crash)
		}, confirmationDelay, Suspect},
		{"most crashes without it, five with it", func(table *Table, crash func(string, ...uint64)) {
			for s := range uint64(10) {
				table.crashAt(request(int(s)).Request, 100+s, start)
			}
			crash("v1", 4, 5)
			quarantine(table, crash)
		}, confirmationDelay, Quarantined},
		{"one request crashed three servers", func(table *Table, _ func(string, ...uint64)) {
			for s := range uint64(3) {
				for _, e := range request(7).Evidence(Evidence{Server: s, Service: "llm"}) {
					table.RecordCrash(e, start)
				}
			}
		}, confirmationDelay, Suspect},
		{"answered before", func(table *Table, crash func(string, ...uint64)) {
			table.RecordWholeAnswer(request(1), "v1", at(-2*time.Minute))
			quarantine(table, crash)
		}, confirmationDelay, Clear},
		{"answered before at another release", func(table *Table, crash func(string, ...uint64)) {
			table.RecordWholeAnswer(request(1), "v0", at(-time.Second))
			quarantine(table, crash)
		}, confirmationDelay, Quarantined},
		{"answered afterwards", func(table *Table, crash func(string, ...uint64)) {
			quarantine(table, crash)
			table.RecordWholeAnswer(request(1), "v1", start)
		}, confirmationDelay, Clear},
		{"answered afterwards at another release", func(table *Table, crash func(string, ...uint64)) {
			quarantine(table, crash)
			table.RecordWholeAnswer(request(1), "v0", start)
		}, confirmationDelay, Quarantined},
		{"answered at the release that replaced the crashing one", func(table *Table, crash func(string, ...uint64)) {
			quarantine(table, crash)
			table.SetReleases("llm", []string{"v2"}, start)
			table.RecordWholeAnswer(request(1), "v2", start)
		}, confirmationDelay, Clear},
		{"only another release runs", func(table *Table, crash func(string, ...uint64)) {
			quarantine(table, crash)
			table.SetReleases("llm", []string{"v2"}, start)
		}, trialSpacing, Trial},
		{"hold time over", quarantine, hold + trialSpacing, Trial},
		{"another trial in flight", func(table *Table, crash func(string, ...uint64)) {
			quarantine(table, crash)
			table.Admit(request(1), false, at(hold+trialSpacing))
		}, hold + trialSpacing, Busy},
		{"lifted", func(table *Table, crash func(string, ...uint64)) {
			quarantine(table, crash)
			table.Lift(partFingerprint("team", "llm", "p"), start)
		}, confirmationDelay, Clear},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, crash := partTable()
			c.events(table, crash)
			if got := table.Admit(request(99), false, at(c.after)); got.Verdict != c.want {
				t.Errorf("verdict %s with %d crashes, want %s", got.Verdict, got.ServerCrashes, c.want)
			}
		})
	}
}

// TestFloodOfPartsKeepsRequests guards against records of parts displacing those of requests, and
// against suspect parts displacing quarantined ones.
func TestFloodOfPartsKeepsRequests(t *testing.T) {
	table := New(Options{Host: "h", Capacity: 40, Hold: hold})
	for n := range 15 {
		table.crashAt(request(n), 7, start)
	}
	bad := NewSubjects(Fingerprint{1}, "team", "llm", []string{"bad", "own"})
	for s := range uint64(3) {
		for _, e := range bad.Evidence(Evidence{Server: s, Service: "llm"})[1:] {
			e.Request = uint32(s) + 1
			table.RecordCrash(e, start)
		}
	}
	for n := range 10_000 {
		s := NewSubjects(Fingerprint{2}, "team", "llm", []string{fmt.Sprint("flood", n), "own"})
		for _, e := range s.Evidence(Evidence{Server: 9, Service: "other"})[1:] {
			table.RecordCrash(e, start)
		}
		if table.Len() > 40 {
			t.Fatalf("table holds %d fingerprints, capacity 40", table.Len())
		}
	}
	for n := range 15 {
		if table.Judge(request(n), start).ServerCrashes != 1 {
			t.Errorf("the record of request %d is lost", n)
		}
	}
	if got := table.Judge(bad.Parts[0].Fingerprint, start).ServerCrashes; got != 3 {
		t.Errorf("%d crashes are left of three against the quarantined part", got)
	}
}
