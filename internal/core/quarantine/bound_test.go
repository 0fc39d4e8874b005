package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Parameters of the random schedules.
const (
	boundStep     = 100 * time.Millisecond
	boundSteps    = 240
	exchangeSteps = 10 // steps between two regular exchanges of a host with the control hosts
	windowSteps   = 60 // the stability window (6 s) in steps
	maxLateRuns   = 3  // runs permitted after the window
)

// boundModel simulates entry hosts that all receive the same crashing request, and control hosts,
// modelled as one table, that merge their records. Exchanges come late, repeated and in any order
// across hosts, but each host has one every exchangeSteps.
type boundModel struct {
	tables           []*Table
	control          *Table
	sentRevision     []uint64      // by host: revision up to which it sent its records
	receivedRevision []uint64      // by host: revision up to which it received the control hosts' records
	running          map[int][]run // by the step in which the server crashes
	crashSteps       []int         // steps of the crashes
	runSteps         []int         // steps in which runs began
	nextServer       uint64        // key of the next server process
}

type run struct {
	host   int
	before Judgement
}

func (m *boundModel) now(step int) time.Time { return start.Add(time.Duration(step) * boundStep) }

// exchange exchanges changed records between a host and the control hosts; again sends all records.
func (m *boundModel) exchange(host, step int, again bool) {
	if again {
		m.sentRevision[host], m.receivedRevision[host] = 0, 0
	}
	var records []*pb.QuarantineRecord
	records, m.sentRevision[host] = m.tables[host].Since(m.sentRevision[host], 100, LocalChanges, m.now(step))
	m.control.Merge(records, m.now(step))
	records, m.receivedRevision[host] = m.control.Since(m.receivedRevision[host], 100, NeededByEntryHosts, m.now(step))
	m.tables[host].Merge(records, m.now(step))
}

// TestNeverMoreThanTheBound draws the arrivals of a crashing request at each host, the time until
// its server crashes, and the exchanges. Later than the stability window after the third crash, the
// request runs at most three times on all hosts together.
func TestNeverMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		m := &boundModel{control: newTable("control"), sentRevision: make([]uint64, hosts), receivedRevision: make([]uint64, hosts), running: map[int][]run{}}
		phase := make([]int, hosts)
		for h := range hosts {
			m.tables = append(m.tables, newTable(fmt.Sprint("host-", h)))
			phase[h] = rapid.IntRange(0, exchangeSteps-1).Draw(t, "phase")
		}
		every := rapid.IntRange(1, 12).Draw(t, "steps a request")
		f := request(1)
		for step := range boundSteps {
			m.finish(f, step)
			for h := range hosts {
				if step%exchangeSteps == phase[h] || rapid.IntRange(0, 9).Draw(t, "news") == 0 {
					m.exchange(h, step, rapid.IntRange(0, 4).Draw(t, "again") == 0)
				}
			}
			if rapid.IntRange(1, every).Draw(t, "request") == 1 {
				m.send(f, rapid.IntRange(0, hosts-1).Draw(t, "host"), step, rapid.IntRange(1, 8).Draw(t, "runs for"))
			}
		}
		m.check(t)
	})
}

func (m *boundModel) send(f Fingerprint, host, step, length int) {
	j := m.tables[host].Begin(f, false, m.now(step))
	if j.Verdict == Quarantined || j.Verdict == Busy {
		return
	}
	m.runSteps = append(m.runSteps, step)
	m.running[step+length] = append(m.running[step+length], run{host: host, before: j})
}

// finish crashes the servers whose runs end in this step.
func (m *boundModel) finish(f Fingerprint, step int) {
	for _, r := range m.running[step] {
		m.nextServer++
		m.crashSteps = append(m.crashSteps, step)
		m.tables[r.host].RecordCrash(Evidence{Fingerprint: f, Server: m.nextServer, Service: "llm"}, m.now(step))
		m.tables[r.host].Finish(f, r.before)
	}
}

func (m *boundModel) check(t *rapid.T) {
	if len(m.crashSteps) < CrashThreshold {
		return
	}
	late := 0
	for _, step := range m.runSteps {
		if step > m.crashSteps[CrashThreshold-1]+windowSteps {
			late++
		}
	}
	if late > maxLateRuns {
		t.Fatalf("%d runs later than the stability window after the third crash; %d crashes in all", late, len(m.crashSteps))
	}
}
