package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Figures of the drawn schedules.
const (
	boundStep   = 100 * time.Millisecond
	boundSteps  = 240
	newsWithin  = 10 // steps in which each connected host and the control hosts tell each other once
	windowSteps = 60 // the stability window
	runsAllowed = 3
)

// boundModel is a few hosts that all get the same crashing request, with control hosts that put
// together what they tell. News comes late, doubled and in any order, but comes.
type boundModel struct {
	tables  []*Table
	control *Table
	told    []uint64 // by host: what it told
	heard   []uint64 // by host: what it was told
	running map[int][]run
	ends    []int // steps
	begun   []int
	next    uint64
}

type run struct {
	host   int
	before Judgement
}

func (m *boundModel) now(step int) time.Time { return start.Add(time.Duration(step) * boundStep) }

// tell lets a host and the control hosts tell each other what changed, or all again.
func (m *boundModel) tell(host, step int, again bool) {
	if again {
		m.told[host], m.heard[host] = 0, 0
	}
	var records []*pb.QuarantineRecord
	records, m.told[host] = m.tables[host].Since(m.told[host], 100, Own, m.now(step))
	m.control.Merge(records, m.now(step))
	records, m.heard[host] = m.control.Since(m.heard[host], 100, Decisive, m.now(step))
	m.tables[host].Merge(records, m.now(step))
}

// TestNeverMoreThanTheBound draws when a crashing request comes to which host, how long it runs
// before its server ends, and when hosts are told. Once three servers have
// ended and the window is over, it runs no more than three times, at all hosts together.
func TestNeverMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		m := &boundModel{control: newTable("control"), told: make([]uint64, hosts), heard: make([]uint64, hosts), running: map[int][]run{}}
		phase := make([]int, hosts)
		for h := range hosts {
			m.tables = append(m.tables, newTable(fmt.Sprint("host-", h)))
			phase[h] = rapid.IntRange(0, newsWithin-1).Draw(t, "phase")
		}
		every := rapid.IntRange(1, 12).Draw(t, "steps a request")
		f := request(1)
		for step := range boundSteps {
			m.finish(f, step)
			for h := range hosts {
				if step%newsWithin == phase[h] || rapid.IntRange(0, 9).Draw(t, "news") == 0 {
					m.tell(h, step, rapid.IntRange(0, 4).Draw(t, "again") == 0)
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
	m.begun = append(m.begun, step)
	m.running[step+length] = append(m.running[step+length], run{host: host, before: j})
}

// finish ends the servers whose time has come.
func (m *boundModel) finish(f Fingerprint, step int) {
	for _, r := range m.running[step] {
		m.next++
		m.ends = append(m.ends, step)
		m.tables[r.host].Ended(Evidence{Fingerprint: f, Server: m.next, Service: "llm"}, m.now(step))
		m.tables[r.host].Finish(f, r.before)
	}
}

func (m *boundModel) check(t *rapid.T) {
	if len(m.ends) < Crashes {
		return
	}
	late := 0
	for _, step := range m.begun {
		if step > m.ends[Crashes-1]+windowSteps {
			late++
		}
	}
	if late > runsAllowed {
		t.Fatalf("%d runs later than the window after the third end; %d ends", late, len(m.ends))
	}
}
