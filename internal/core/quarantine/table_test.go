package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

var start = time.Unix(1000, 0)

const hold = 10 * time.Minute

func newTable(host string) *Table { return New(Options{Host: host, Capacity: 64, Hold: hold}) }

func request(n int) Fingerprint {
	return Identity{Caller: "team", Target: fmt.Sprint("/chat/", n)}.Fingerprint()
}

func (t *Table) endedAt(f Fingerprint, server uint64, now time.Time) Judgement {
	j, _ := t.Ended(Evidence{Fingerprint: f, Server: server, Team: "team", Service: "llm", Release: "v1"}, now)
	return j
}

// TestVerdicts plays what happens to one request, and checks how the next attempt is treated.
func TestVerdicts(t *testing.T) {
	f := request(1)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	three := func(t *Table) {
		for s := range uint64(3) {
			t.endedAt(f, s, start)
		}
	}
	for _, c := range []struct {
		name  string
		play  func(*Table)
		after time.Duration
		want  Verdict
	}{
		{"never seen", func(*Table) {}, 0, Clear},
		{"one server ended", func(t *Table) { t.endedAt(f, 1, start) }, 0, Suspect},
		{"one start counts once", func(t *Table) { t.endedAt(f, 1, start); t.endedAt(f, 1, start); t.endedAt(f, 1, start) }, 0, Suspect},
		{"two servers ended", func(t *Table) { t.endedAt(f, 1, start); t.endedAt(f, 2, start) }, 0, Suspect},
		{"two servers ended, and it runs already", func(t *Table) { t.endedAt(f, 1, start); t.endedAt(f, 2, start); t.Begin(f, false, start) }, 0, Busy},
		{"two servers ended, and it ran", func(t *Table) {
			t.endedAt(f, 1, start)
			t.endedAt(f, 2, start)
			t.Finish(f, t.Begin(f, false, start))
		}, 0, Suspect},
		{"three servers ended just now", three, objectionTime - time.Millisecond, Busy},
		{"three servers ended", three, objectionTime, Quarantined},
		{"three of another request", func(t *Table) {
			t.endedAt(request(2), 1, start)
			t.endedAt(request(2), 2, start)
			t.endedAt(request(2), 3, start)
		}, 0, Clear},
		{"two ended, it was answered, one more ended", func(t *Table) {
			t.endedAt(f, 1, start)
			t.endedAt(f, 2, start)
			t.Served(f, start)
			t.endedAt(f, 3, at(time.Minute))
		}, time.Minute, Suspect},
		{"three ended at once moments after it was answered", func(t *Table) { t.Served(f, at(-5*time.Second)); three(t) }, 0, Clear},
		{"three ended long after it was answered", func(t *Table) { t.Served(f, at(-time.Minute)); three(t) }, objectionTime, Quarantined},
		{"three ended, it was answered", func(t *Table) { three(t); t.Served(f, start) }, 0, Clear},
		{"three ended, one was heard again", func(t *Table) { three(t); t.Alive(2, start) }, 0, Suspect},
		{"one that was heard again ends again", func(t *Table) { three(t); t.Alive(2, start); t.endedAt(f, 2, start) }, 0, Suspect},
		{"lifted", func(t *Table) { three(t); t.Lift(f, start) }, 0, Clear},
		{"two ended long ago", func(t *Table) { t.endedAt(f, 1, start); t.endedAt(f, 2, start) }, time.Hour, Clear},
		{"two ended long ago, one now", func(t *Table) { t.endedAt(f, 1, start); t.endedAt(f, 2, start); t.endedAt(f, 3, at(time.Hour)) }, time.Hour, Suspect},
		{"three ended, not long enough ago", three, hold - time.Second, Quarantined},
		{"three ended long enough ago", three, hold + trialSpacing, Trial},
		{"the trial runs", func(t *Table) { three(t); t.Begin(f, false, at(hold+trialSpacing)) }, hold + trialSpacing, Busy},
		{"the trial ended a server", func(t *Table) { three(t); t.endedAt(f, 9, at(hold+trialSpacing)) }, 2*hold + trialSpacing, Quarantined},
		{"long after the trial", func(t *Table) { three(t); t.endedAt(f, 9, at(hold)) }, 3*hold + trialSpacing, Trial},
		{"after three trials", func(t *Table) {
			for s := range uint64(6) {
				t.endedAt(f, s, start)
			}
		}, 23 * time.Hour, Quarantined},
		{"another release runs", func(t *Table) { three(t); t.SetReleases("llm", []string{"v2"}, start) }, trialSpacing, Trial},
		{"another release runs beside it", func(t *Table) { three(t); t.SetReleases("llm", []string{"v1", "v2"}, start) }, trialSpacing, Quarantined},
		{"another service's release", func(t *Table) { three(t); t.SetReleases("desk", []string{"v2"}, start) }, trialSpacing, Quarantined},
		{"releases that are not told", func(t *Table) { three(t); t.SetReleases("llm", []string{""}, start) }, trialSpacing, Quarantined},
		{"the trial of another release ended a server", func(t *Table) {
			three(t)
			t.SetReleases("llm", []string{"v2"}, start)
			t.Ended(Evidence{Fingerprint: f, Server: 9, Service: "llm", Release: "v2"}, at(trialSpacing))
			t.SetReleases("llm", []string{"v2"}, at(trialSpacing))
		}, time.Minute, Quarantined},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable("host")
			c.play(table)
			if got := table.Begin(f, false, at(c.after)); got.Verdict != c.want {
				t.Errorf("%s with %d ends, want %s", got.Verdict, got.Ends, c.want)
			}
		})
	}
}

// TestOwnRepeatsDoNotQuarantine checks that a request which two servers ended under is not
// sent to a third one by the system itself.
func TestOwnRepeatsDoNotQuarantine(t *testing.T) {
	f := request(1)
	for ends, want := range []Verdict{Clear, Suspect, Busy, Quarantined} {
		now := start.Add(objectionTime)
		table := newTable("host")
		for s := range ends {
			table.endedAt(f, uint64(s), start)
		}
		if got := table.Begin(f, true, now).Verdict; got != want {
			t.Errorf("after %d ends: %s, want %s", ends, got, want)
		}
	}
}

// TestObjection lets three servers end at once under a request that one of two hosts has
// answered lately and the other has not.
func TestObjection(t *testing.T) {
	f := request(1)
	answered, other := newTable("a"), newTable("b")
	answered.Served(f, start)
	now := start.Add(4 * time.Second)
	for s := range uint64(3) {
		other.endedAt(f, s, now)
	}
	now = now.Add(objectionTime / 2)
	records, _ := other.Since(0, 9, Decisive, now)
	answered.Merge(records, now)
	records, _ = answered.Since(0, 9, Own, now)
	other.Merge(records, now)
	for _, table := range []*Table{answered, other} {
		if got := table.Judge(f, now.Add(objectionTime)); got.Verdict != Clear {
			t.Errorf("%s with %d ends, want clear", got.Verdict, got.Ends)
		}
	}
}

// TestObjectionsEnd lets a request crash servers that one host has answered once: news of the ends
// is no answer, so the host stops objecting some time after it, and the request is quarantined.
func TestObjectionsEnd(t *testing.T) {
	f := request(1)
	answered, other := newTable("a"), newTable("b")
	answered.Served(f, start)
	now := start
	for server := range uint64(10) {
		now = now.Add(4 * time.Second)
		other.endedAt(f, server, now)
		records, _ := other.Since(0, 9, All, now)
		answered.Merge(records, now)
		records, _ = answered.Since(0, 9, Own, now)
		other.Merge(records, now)
	}
	now = now.Add(objectionTime + time.Second)
	for _, table := range []*Table{answered, other} {
		if got := table.Judge(f, now); got.Verdict != Quarantined {
			t.Errorf("%s with %d ends, want quarantined", got.Verdict, got.Ends)
		}
	}
}

// TestTurnsAtATrial checks that two hosts of many hardly ever try at the same moment, and
// that each comes to its turn.
func TestTurnsAtATrial(t *testing.T) {
	const hosts = 300
	f := request(1)
	first := map[time.Duration]int{}
	for h := range hosts {
		table := newTable(fmt.Sprint("host-", h))
		table.SetHosts(hosts)
		for s := range uint64(3) {
			table.endedAt(f, s, start)
		}
		due := time.Duration(-1)
		for d := hold; d <= hold+hosts*trialSpacing; d += time.Second {
			if table.Judge(f, start.Add(d)).Verdict == Trial {
				due = d
				break
			}
		}
		if due < 0 {
			t.Fatalf("host %d never comes to its turn", h)
		}
		first[due]++
	}
	for d, n := range first {
		if n > 6 {
			t.Errorf("%d hosts try at %s", n, d)
		}
	}
}

// TestWhatIsForgottenFirst fills a table beyond its capacity: quarantined fingerprints stay,
// and those with one end go first.
func TestWhatIsForgottenFirst(t *testing.T) {
	table := New(Options{Host: "h", Capacity: 40, Hold: hold})
	quarantined := request(-1)
	for s := range uint64(3) {
		table.endedAt(quarantined, s, start)
	}
	twice := request(-2)
	table.endedAt(twice, 1, start)
	table.endedAt(twice, 2, start)
	for n := range 10_000 {
		table.endedAt(request(n), 7, start.Add(time.Duration(n)*time.Millisecond))
		if table.Len() > 40 {
			t.Fatalf("%d fingerprints are kept", table.Len())
		}
	}
	if got := table.Judge(quarantined, start.Add(objectionTime)).Verdict; got != Quarantined {
		t.Errorf("a quarantined request is %s after a flood of others", got)
	}
	if got := table.Judge(twice, start).Ends; got != 2 {
		t.Errorf("%d ends are left of two", got)
	}
	table.Forget(start.Add(suspectFor + time.Hour))
	if table.Len() != 1 {
		t.Errorf("%d fingerprints are kept after an hour, want the quarantined one", table.Len())
	}
	table.Forget(start.Add(quarantinedFor + time.Hour))
	if table.Len() != 0 {
		t.Errorf("%d fingerprints are kept after a day", table.Len())
	}
}

// fleetModel is a fleet of tables that tell each other, by a random schedule.
type fleetModel struct {
	tables []*Table
	next   uint64 // key of the next start of a server
	now    time.Time
	ends   map[Fingerprint]map[uint64]bool // ends since the last answer, as they were
	held   []message
}

type message struct {
	to      int
	records []*pb.QuarantineRecord
}

// TestAnyOrderOfNews plays ends, answers and news between hosts that is lost, doubled, late and
// out of order. A request under which fewer than Crashes servers ended is never refused; and
// once everything was told again, all hosts refuse exactly those that ended as many with no
// answer since.
func TestAnyOrderOfNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{now: start, ends: map[Fingerprint]map[uint64]bool{}}
		for h := range 4 {
			m.tables = append(m.tables, newTable(fmt.Sprint("host-", h)))
		}
		crashing, healthy := request(1), request(2)
		t.Repeat(map[string]func(*rapid.T){
			"a server ends under the crashing request": func(t *rapid.T) { m.end(t, crashing) },
			"a server ends under the healthy request": func(t *rapid.T) {
				if len(m.ends[healthy]) < Crashes-1 {
					m.end(t, healthy)
				}
			},
			"the healthy request is answered": func(t *rapid.T) {
				m.table(t).Served(healthy, m.now)
			},
			"news is sent": func(t *rapid.T) {
				records, _ := m.table(t).Since(0, 100, All, m.now)
				m.held = append(m.held, message{rapid.IntRange(0, 3).Draw(t, "to"), records})
			},
			"news arrives": func(t *rapid.T) {
				if len(m.held) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(m.held)-1).Draw(t, "message")
				m.tables[m.held[i].to].Merge(m.held[i].records, m.now)
				if rapid.Bool().Draw(t, "only once") {
					m.held = append(m.held[:i], m.held[i+1:]...)
				}
			},
			"time passes": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				for h, table := range m.tables {
					if v := table.Judge(healthy, m.now); v.Verdict >= Trial || v.Ends >= Crashes {
						t.Fatalf("host %d refuses a request under which %d servers ended", h, len(m.ends[healthy]))
					}
				}
			},
		})
		m.tellAll()
		m.now = m.now.Add(objectionTime + time.Second) // ages are told in whole seconds
		for h, table := range m.tables {
			refused := table.Judge(crashing, m.now).Verdict == Quarantined
			if owed := len(m.ends[crashing]) >= Crashes; refused != owed {
				t.Fatalf("host %d refuses: %v; %d servers ended under the request", h, refused, len(m.ends[crashing]))
			}
		}
	})
}

func (m *fleetModel) table(t *rapid.T) *Table {
	return m.tables[rapid.IntRange(0, len(m.tables)-1).Draw(t, "host")]
}

func (m *fleetModel) end(t *rapid.T, f Fingerprint) {
	m.next++
	if _, counted := m.table(t).Ended(Evidence{Fingerprint: f, Server: m.next, Team: "team", Service: "llm"}, m.now); !counted {
		return
	}
	if m.ends[f] == nil {
		m.ends[f] = map[uint64]bool{}
	}
	m.ends[f][m.next] = true
}

// tellAll lets each host tell each other one all that it knows.
func (m *fleetModel) tellAll() {
	for _, from := range m.tables {
		for _, to := range m.tables {
			records, _ := from.Since(0, 100, All, m.now)
			to.Merge(records, m.now)
		}
	}
	for _, from := range m.tables {
		for _, to := range m.tables {
			records, _ := from.Since(0, 100, All, m.now)
			to.Merge(records, m.now)
		}
	}
}

// TestNewsInParts reads a table's changes a few at a time, and again after more changes.
func TestNewsInParts(t *testing.T) {
	table, other := newTable("a"), newTable("b")
	for n := range 10 {
		table.endedAt(request(n), 1, start)
	}
	read, seen := uint64(0), 0
	for {
		records, next := table.Since(read, 3, All, start)
		if len(records) == 0 {
			break
		}
		other.Merge(records, start)
		read, seen = next, seen+len(records)
	}
	if seen != 10 || other.Len() != 10 {
		t.Errorf("%d records were read, %d merged, want 10", seen, other.Len())
	}
	table.endedAt(request(4), 2, start)
	records, next := table.Since(read, 3, All, start)
	if len(records) != 1 || next != table.Revision() {
		t.Errorf("%d records after one change", len(records))
	}
	if own, _ := other.Since(0, 100, Own, start); len(own) != 0 {
		t.Errorf("%d records that were told pass for own ones", len(own))
	}
	table.endedAt(request(5), 2, start)
	table.Merge([]*pb.QuarantineRecord{other.get(request(5)).message(start), {Fingerprint: bytesOf(request(5)), Server: []uint64{9}, AgeS: []uint32{0}}}, start)
	if own, _ := table.Since(next, 100, Own, start); len(own) != 1 || len(own[0].Server) != 3 {
		t.Errorf("what was seen here is not told after news of the same request: %v", own)
	}
	table.Lift(request(5), start)
	if decisive, _ := table.Since(0, 100, Decisive, start); len(decisive) != 2 || decisive[0].Service != "llm" {
		t.Errorf("decisive records: %v", decisive)
	}
}

// TestNamesOfEndsSeenApart lets three hosts see one end each: what is put together names the
// team and the service.
func TestNamesOfEndsSeenApart(t *testing.T) {
	together := newTable("control")
	for s, host := range []string{"a", "b", "c"} {
		table := newTable(host)
		table.endedAt(request(1), uint64(s), start)
		records, _ := table.Since(0, 9, Own, start)
		together.Merge(records, start)
	}
	list := together.List(start)
	if len(list) != 1 || list[0].Team != "team" || list[0].Service != "llm" || list[0].Release != "v1" || list[0].Crashes != 3 {
		t.Errorf("listed: %+v", list)
	}
}

// TestEvidenceAfterAnAnswerElsewhere lets one host take back an end that only it knows of, and
// another see three ends later: they count at the control hosts only if the second host was told
// that the first end was taken back.
func TestEvidenceAfterAnAnswerElsewhere(t *testing.T) {
	first, second, control := newTable("a"), newTable("b"), newTable("control")
	first.endedAt(request(1), 1, start)
	first.Served(request(1), start)
	records, _ := first.Since(0, 9, Own, start)
	control.Merge(records, start)
	records, _ = control.Since(0, 9, Decisive, start)
	second.Merge(records, start)
	later := start.Add(time.Minute)
	for s := range uint64(3) {
		second.endedAt(request(1), 10+s, later)
	}
	records, _ = second.Since(0, 9, Own, later)
	control.Merge(records, later)
	if got := control.Judge(request(1), later); got.Ends != 3 {
		t.Errorf("%d ends are known to the control host, want 3", got.Ends)
	}
}

// TestMergeRefusesWhatIsNoRecord gives a table records that no host makes.
func TestMergeRefusesWhatIsNoRecord(t *testing.T) {
	table := newTable("a")
	long := string(make([]byte, maxName+1))
	f := request(1)
	table.Merge([]*pb.QuarantineRecord{
		{}, {Fingerprint: []byte("short"), Server: []uint64{1}}, {Fingerprint: f[:], Server: []uint64{1}, Team: long}, {Fingerprint: f[:]},
	}, start)
	if table.Len() != 0 {
		t.Errorf("%d records were taken", table.Len())
	}
}

func bytesOf(f Fingerprint) []byte { return f[:] }
