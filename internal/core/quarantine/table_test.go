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

func (t *Table) crashAt(f Fingerprint, server uint64, now time.Time) Judgement {
	j, _ := t.RecordCrash(Evidence{Fingerprint: f, Server: server, Team: "team", Service: "llm", Release: "v1"}, now)
	return j
}

// TestVerdicts replays events of one request and checks the verdict on its next attempt.
func TestVerdicts(t *testing.T) {
	f := request(1)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	three := func(t *Table) {
		for s := range uint64(3) {
			t.crashAt(f, s, start)
		}
	}
	for _, c := range []struct {
		name   string
		events func(*Table)
		after  time.Duration
		want   Verdict
	}{
		{"unknown fingerprint", func(*Table) {}, 0, Clear},
		{"one server crashed", func(t *Table) { t.crashAt(f, 1, start) }, 0, Suspect},
		{"one process counts once", func(t *Table) { t.crashAt(f, 1, start); t.crashAt(f, 1, start); t.crashAt(f, 1, start) }, 0, Suspect},
		{"two servers crashed", func(t *Table) { t.crashAt(f, 1, start); t.crashAt(f, 2, start) }, 0, Suspect},
		{"two servers crashed, an attempt is in progress", func(t *Table) { t.crashAt(f, 1, start); t.crashAt(f, 2, start); t.Begin(f, false, start) }, 0, Busy},
		{"two servers crashed, an attempt has finished", func(t *Table) {
			t.crashAt(f, 1, start)
			t.crashAt(f, 2, start)
			t.Finish(f, t.Begin(f, false, start))
		}, 0, Suspect},
		{"three servers crashed, within the confirmation delay", three, confirmationDelay - time.Millisecond, Busy},
		{"three servers crashed", three, confirmationDelay, Quarantined},
		{"three servers crashed under another request", func(t *Table) {
			t.crashAt(request(2), 1, start)
			t.crashAt(request(2), 2, start)
			t.crashAt(request(2), 3, start)
		}, 0, Clear},
		{"two crashes, an answer, one more crash", func(t *Table) {
			t.crashAt(f, 1, start)
			t.crashAt(f, 2, start)
			t.RecordAnswer(f, start)
			t.crashAt(f, 3, at(time.Minute))
		}, time.Minute, Suspect},
		{"three crashes at once within the validity of an answer", func(t *Table) { t.RecordAnswer(f, at(-5*time.Second)); three(t) }, 0, Clear},
		{"three crashes long after an answer", func(t *Table) { t.RecordAnswer(f, at(-time.Minute)); three(t) }, confirmationDelay, Quarantined},
		{"three crashes, then an answer", func(t *Table) { three(t); t.RecordAnswer(f, start) }, 0, Clear},
		{"three crashes, one process announced itself later", func(t *Table) { three(t); t.RecordAlive(2, start) }, 0, Suspect},
		{"crash of a process that had announced itself later", func(t *Table) { three(t); t.RecordAlive(2, start); t.crashAt(f, 2, start) }, 0, Suspect},
		{"lifted", func(t *Table) { three(t); t.Lift(f, start) }, 0, Clear},
		{"two crashes, expired", func(t *Table) { t.crashAt(f, 1, start); t.crashAt(f, 2, start) }, time.Hour, Clear},
		{"two expired crashes, one new", func(t *Table) { t.crashAt(f, 1, start); t.crashAt(f, 2, start); t.crashAt(f, 3, at(time.Hour)) }, time.Hour, Suspect},
		{"three crashes, hold time not over", three, hold - time.Second, Quarantined},
		{"three crashes, hold time over", three, hold + trialSpacing, Trial},
		{"trial in progress", func(t *Table) { three(t); t.Begin(f, false, at(hold+trialSpacing)) }, hold + trialSpacing, Busy},
		{"trial crashed a server", func(t *Table) { three(t); t.crashAt(f, 9, at(hold+trialSpacing)) }, 2*hold + trialSpacing, Quarantined},
		{"doubled hold time after a trial is over", func(t *Table) { three(t); t.crashAt(f, 9, at(hold)) }, 3*hold + trialSpacing, Trial},
		{"no trial after three that crashed servers", func(t *Table) {
			for s := range uint64(6) {
				t.crashAt(f, s, start)
			}
		}, 23 * time.Hour, Quarantined},
		{"only another release runs", func(t *Table) { three(t); t.SetReleases("llm", []string{"v2"}, start) }, trialSpacing, Trial},
		{"another release runs beside the one that crashed", func(t *Table) { three(t); t.SetReleases("llm", []string{"v1", "v2"}, start) }, trialSpacing, Quarantined},
		{"another release of another service", func(t *Table) { three(t); t.SetReleases("desk", []string{"v2"}, start) }, trialSpacing, Quarantined},
		{"unknown release", func(t *Table) { three(t); t.SetReleases("llm", []string{""}, start) }, trialSpacing, Quarantined},
		{"trial on another release crashed a server", func(t *Table) {
			three(t)
			t.SetReleases("llm", []string{"v2"}, start)
			t.RecordCrash(Evidence{Fingerprint: f, Server: 9, Service: "llm", Release: "v2"}, at(trialSpacing))
			t.SetReleases("llm", []string{"v2"}, at(trialSpacing))
		}, time.Minute, Quarantined},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable("host")
			c.events(table)
			if got := table.Begin(f, false, at(c.after)); got.Verdict != c.want {
				t.Errorf("verdict %s with %d crashes, want %s", got.Verdict, got.ServerCrashes, c.want)
			}
		})
	}
}

// TestOwnRepeatsDoNotQuarantine checks that the system's own retry does not send a request that
// crashed two servers to a third one.
func TestOwnRepeatsDoNotQuarantine(t *testing.T) {
	f := request(1)
	for crashes, want := range []Verdict{Clear, Suspect, Busy, Quarantined} {
		now := start.Add(confirmationDelay)
		table := newTable("host")
		for s := range crashes {
			table.crashAt(f, uint64(s), start)
		}
		if got := table.Begin(f, true, now).Verdict; got != want {
			t.Errorf("after %d crashes: verdict %s, want %s", crashes, got, want)
		}
	}
}

// TestRecentAnswerClearsCrashesOfOtherHost records three crashes on one host for a request that
// another host has just received an answer to; after an exchange both hosts clear them.
func TestRecentAnswerClearsCrashesOfOtherHost(t *testing.T) {
	f := request(1)
	answered, other := newTable("a"), newTable("b")
	answered.RecordAnswer(f, start)
	now := start.Add(4 * time.Second)
	for s := range uint64(3) {
		other.crashAt(f, s, now)
	}
	now = now.Add(confirmationDelay / 2)
	records, _ := other.Since(0, 9, NeededByEntryHosts, now)
	answered.Merge(records, now)
	records, _ = answered.Since(0, 9, LocalChanges, now)
	other.Merge(records, now)
	for _, table := range []*Table{answered, other} {
		if got := table.Judge(f, now.Add(confirmationDelay)); got.Verdict != Clear {
			t.Errorf("verdict %s with %d crashes, want clear", got.Verdict, got.ServerCrashes)
		}
	}
}

// TestRecentAnswerExpires has one host receive one answer to a request that crashes servers from
// then on. Received crashes must not extend the answer's validity, or the request would never be
// quarantined.
func TestRecentAnswerExpires(t *testing.T) {
	f := request(1)
	answered, other := newTable("a"), newTable("b")
	answered.RecordAnswer(f, start)
	now := start
	for server := range uint64(10) {
		now = now.Add(4 * time.Second)
		other.crashAt(f, server, now)
		records, _ := other.Since(0, 9, AllRecords, now)
		answered.Merge(records, now)
		records, _ = answered.Since(0, 9, LocalChanges, now)
		other.Merge(records, now)
	}
	now = now.Add(confirmationDelay + time.Second)
	for _, table := range []*Table{answered, other} {
		if got := table.Judge(f, now); got.Verdict != Quarantined {
			t.Errorf("verdict %s with %d crashes, want quarantined", got.Verdict, got.ServerCrashes)
		}
	}
}

// TestTrialsAreSpreadOverHosts checks that at most six of 300 hosts are due for a trial in the same
// second, and that every host becomes due.
func TestTrialsAreSpreadOverHosts(t *testing.T) {
	const hosts = 300
	f := request(1)
	first := map[time.Duration]int{}
	for h := range hosts {
		table := newTable(fmt.Sprint("host-", h))
		table.SetHosts(hosts)
		for s := range uint64(3) {
			table.crashAt(f, s, start)
		}
		due := time.Duration(-1)
		for d := hold; d <= hold+hosts*trialSpacing; d += time.Second {
			if table.Judge(f, start.Add(d)).Verdict == Trial {
				due = d
				break
			}
		}
		if due < 0 {
			t.Fatalf("host %d never becomes due for a trial", h)
		}
		first[due]++
	}
	for d, n := range first {
		if n > 6 {
			t.Errorf("%d hosts become due for a trial at %s", n, d)
		}
	}
}

// TestEvictionOrder fills a table beyond its capacity: fingerprints with one crash are evicted
// first, and quarantined ones are kept. It then checks the retention times.
func TestEvictionOrder(t *testing.T) {
	table := New(Options{Host: "h", Capacity: 40, Hold: hold})
	quarantined := request(-1)
	for s := range uint64(3) {
		table.crashAt(quarantined, s, start)
	}
	twice := request(-2)
	table.crashAt(twice, 1, start)
	table.crashAt(twice, 2, start)
	for n := range 10_000 {
		table.crashAt(request(n), 7, start.Add(time.Duration(n)*time.Millisecond))
		if table.Len() > 40 {
			t.Fatalf("table holds %d fingerprints, capacity 40", table.Len())
		}
	}
	if got := table.Judge(quarantined, start.Add(confirmationDelay)).Verdict; got != Quarantined {
		t.Errorf("a quarantined request has verdict %s after a flood of other fingerprints", got)
	}
	if got := table.Judge(twice, start).ServerCrashes; got != 2 {
		t.Errorf("%d crashes are left of two", got)
	}
	table.RemoveExpired(start.Add(suspectRetention + time.Hour))
	if table.Len() != 1 {
		t.Errorf("table holds %d fingerprints after the suspect retention, want only the quarantined one", table.Len())
	}
	table.RemoveExpired(start.Add(quarantineRetention + time.Hour))
	if table.Len() != 0 {
		t.Errorf("table holds %d fingerprints after the quarantine retention, want 0", table.Len())
	}
}

// fleetModel is a set of tables that exchange records by a random schedule.
type fleetModel struct {
	tables     []*Table
	nextServer uint64 // key of the next server process
	now        time.Time
	crashes    map[Fingerprint]map[uint64]bool // crashed processes, by request
	inFlight   []message                       // sent and not yet delivered for the last time
}

type message struct {
	to      int
	records []*pb.QuarantineRecord
}

// TestAnyOrderOfNews draws crashes, answers and exchanges between hosts whose messages are lost,
// duplicated, delayed and reordered. A request with fewer than CrashThreshold crashes is never
// refused. After a complete exchange, every host refuses the crashing request exactly if it has
// at least CrashThreshold crashes.
func TestAnyOrderOfNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{now: start, crashes: map[Fingerprint]map[uint64]bool{}}
		for h := range 4 {
			m.tables = append(m.tables, newTable(fmt.Sprint("host-", h)))
		}
		crashing, healthy := request(1), request(2)
		t.Repeat(map[string]func(*rapid.T){
			"a server crashes under the crashing request": func(t *rapid.T) { m.crash(t, crashing) },
			"a server crashes under the healthy request": func(t *rapid.T) {
				if len(m.crashes[healthy]) < CrashThreshold-1 {
					m.crash(t, healthy)
				}
			},
			"the healthy request is answered": func(t *rapid.T) {
				m.table(t).RecordAnswer(healthy, m.now)
			},
			"message is sent": func(t *rapid.T) {
				records, _ := m.table(t).Since(0, 100, AllRecords, m.now)
				m.inFlight = append(m.inFlight, message{rapid.IntRange(0, 3).Draw(t, "to"), records})
			},
			"message arrives": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
				m.tables[m.inFlight[i].to].Merge(m.inFlight[i].records, m.now)
				if rapid.Bool().Draw(t, "only once") {
					m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
				}
			},
			"time passes": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				for h, table := range m.tables {
					if v := table.Judge(healthy, m.now); v.Verdict >= Trial || v.ServerCrashes >= CrashThreshold {
						t.Fatalf("host %d refuses a request with %d crashes", h, len(m.crashes[healthy]))
					}
				}
			},
		})
		m.exchangeAll()
		m.now = m.now.Add(confirmationDelay + time.Second) // ages are encoded in whole seconds
		for h, table := range m.tables {
			refused := table.Judge(crashing, m.now).Verdict == Quarantined
			if owed := len(m.crashes[crashing]) >= CrashThreshold; refused != owed {
				t.Fatalf("host %d refuses: %v; the request has %d crashes", h, refused, len(m.crashes[crashing]))
			}
		}
	})
}

func (m *fleetModel) table(t *rapid.T) *Table {
	return m.tables[rapid.IntRange(0, len(m.tables)-1).Draw(t, "host")]
}

func (m *fleetModel) crash(t *rapid.T, f Fingerprint) {
	m.nextServer++
	if _, counted := m.table(t).RecordCrash(Evidence{Fingerprint: f, Server: m.nextServer, Team: "team", Service: "llm"}, m.now); !counted {
		return
	}
	if m.crashes[f] == nil {
		m.crashes[f] = map[uint64]bool{}
	}
	m.crashes[f][m.nextServer] = true
}

// exchangeAll sends all records of each table to every table, twice, so that answers to received
// crashes also reach all tables.
func (m *fleetModel) exchangeAll() {
	for _, from := range m.tables {
		for _, to := range m.tables {
			records, _ := from.Since(0, 100, AllRecords, m.now)
			to.Merge(records, m.now)
		}
	}
	for _, from := range m.tables {
		for _, to := range m.tables {
			records, _ := from.Since(0, 100, AllRecords, m.now)
			to.Merge(records, m.now)
		}
	}
}

// TestSinceInParts reads a table's changes a few at a time, and again after more changes.
func TestSinceInParts(t *testing.T) {
	table, other := newTable("a"), newTable("b")
	for n := range 10 {
		table.crashAt(request(n), 1, start)
	}
	read, seen := uint64(0), 0
	for {
		records, next := table.Since(read, 3, AllRecords, start)
		if len(records) == 0 {
			break
		}
		other.Merge(records, start)
		read, seen = next, seen+len(records)
	}
	if seen != 10 || other.Len() != 10 {
		t.Errorf("%d records read, %d merged, want 10", seen, other.Len())
	}
	table.crashAt(request(4), 2, start)
	records, next := table.Since(read, 3, AllRecords, start)
	if len(records) != 1 || next != table.Revision() {
		t.Errorf("%d records after one change, want 1", len(records))
	}
	if own, _ := other.Since(0, 100, LocalChanges, start); len(own) != 0 {
		t.Errorf("%d received records are reported as own, want 0", len(own))
	}
	table.crashAt(request(5), 2, start)
	table.Merge([]*pb.QuarantineRecord{other.get(request(5)).encode(start), {Fingerprint: bytesOf(request(5)), Server: []uint64{9}, AgeS: []uint32{0}}}, start)
	if own, _ := table.Since(next, 100, LocalChanges, start); len(own) != 1 || len(own[0].Server) != 3 {
		t.Errorf("own crash is not sent after a received record of the same request: %v", own)
	}
	table.Lift(request(5), start)
	if needed, _ := table.Since(0, 100, NeededByEntryHosts, start); len(needed) != 2 || needed[0].Service != "llm" {
		t.Errorf("records that entry hosts need: %v", needed)
	}
}

// TestMergedRecordHasNames merges the records of three hosts that observed one crash each: the
// combined record names the team, service and release.
func TestMergedRecordHasNames(t *testing.T) {
	together := newTable("control")
	for s, host := range []string{"a", "b", "c"} {
		table := newTable(host)
		table.crashAt(request(1), uint64(s), start)
		records, _ := table.Since(0, 9, LocalChanges, start)
		together.Merge(records, start)
	}
	list := together.List(start)
	if len(list) != 1 || list[0].Team != "team" || list[0].Service != "llm" || list[0].Release != "v1" || list[0].Crashes != 3 {
		t.Errorf("List returned %+v", list)
	}
}

// TestEvidenceAfterAnAnswerElsewhere has one host clear a crash that only it recorded, and another
// record three crashes later. Records with a lower cleared count are discarded on merging, so these
// count at the control hosts only if the second host received the cleared record first.
func TestEvidenceAfterAnAnswerElsewhere(t *testing.T) {
	first, second, control := newTable("a"), newTable("b"), newTable("control")
	first.crashAt(request(1), 1, start)
	first.RecordAnswer(request(1), start)
	records, _ := first.Since(0, 9, LocalChanges, start)
	control.Merge(records, start)
	records, _ = control.Since(0, 9, NeededByEntryHosts, start)
	second.Merge(records, start)
	later := start.Add(time.Minute)
	for s := range uint64(3) {
		second.crashAt(request(1), 10+s, later)
	}
	records, _ = second.Since(0, 9, LocalChanges, later)
	control.Merge(records, later)
	if got := control.Judge(request(1), later); got.ServerCrashes != 3 {
		t.Errorf("control host counts %d crashes, want 3", got.ServerCrashes)
	}
}

// TestMergeIgnoresMalformedRecords merges records that no host produces.
func TestMergeIgnoresMalformedRecords(t *testing.T) {
	table := newTable("a")
	long := string(make([]byte, maxNameBytes+1))
	f := request(1)
	table.Merge([]*pb.QuarantineRecord{
		{}, {Fingerprint: []byte("short"), Server: []uint64{1}}, {Fingerprint: f[:], Server: []uint64{1}, Team: long}, {Fingerprint: f[:]},
	}, start)
	if table.Len() != 0 {
		t.Errorf("%d malformed records were merged", table.Len())
	}
}

func bytesOf(f Fingerprint) []byte { return f[:] }
