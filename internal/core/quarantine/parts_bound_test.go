package quarantine

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// partsModel extends boundModel by sound requests that share parts with the crashing ones, and by
// servers that each run several requests.
type partsModel struct {
	boundModel
	servers    [][]partRun // by server: requests in flight
	answered   []map[Fingerprint]bool
	nextNumber int
}

type partRun struct {
	host, ends int
	subjects   Subjects
	admission  Admission
	bad        bool
}

// newPartRun returns a request with two parts that sound requests share, and the crashing part if
// bad is set.
func (m *partsModel) newPartRun(t *rapid.T, bad bool) partRun {
	ids := []string{"first", fmt.Sprint("shared", rapid.IntRange(0, 4).Draw(t, "shared part"))}
	if bad {
		ids = append(ids, "bad")
	}
	m.nextNumber++
	ids = append(ids, fmt.Sprint("own", m.nextNumber))
	request := Identity{Body: []byte(ids[len(ids)-1])}.Fingerprint()
	return partRun{host: rapid.IntRange(0, len(m.tables)-1).Draw(t, "host"), subjects: NewSubjects(request, "team", "llm", ids), bad: bad}
}

func (m *partsModel) sendPart(t *rapid.T, r partRun, step int) {
	r.admission = m.tables[r.host].Admit(r.subjects, false, m.now(step))
	if r.admission.Refused() {
		if r.admission.Verdict == Quarantined && m.answered[r.host][r.admission.Subject] {
			t.Fatalf("step %d: host %d refuses part %s, which was answered there", step, r.host, r.admission.Part)
		}
		return
	}
	if r.bad {
		m.runSteps = append(m.runSteps, step)
	}
	r.ends = step + rapid.IntRange(1, 8).Draw(t, "runs for")
	s := rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")
	m.servers[s] = append(m.servers[s], r)
}

// finishParts ends the requests that are due: sound ones are answered, and the others crash their
// server with all requests in flight.
func (m *partsModel) finishParts(step int) {
	for s, runs := range m.servers {
		var left []partRun
		crashed := false
		for _, r := range runs {
			switch {
			case r.ends > step:
				left = append(left, r)
			case r.bad:
				left, crashed = append(left, r), true
			default:
				m.answerPart(r, step)
			}
		}
		m.servers[s] = left
		if crashed {
			m.crashServer(s, step)
		}
	}
}

func (m *partsModel) answerPart(r partRun, step int) {
	t := m.tables[r.host]
	t.RecordWholeAnswer(r.subjects, "v1", m.now(step))
	t.Release(&r.admission)
	for _, p := range r.subjects.Parts {
		m.answered[r.host][p.Fingerprint] = true
	}
}

func (m *partsModel) crashServer(s, step int) {
	m.nextServer++
	m.crashSteps = append(m.crashSteps, step)
	for _, r := range m.servers[s] {
		t := m.tables[r.host]
		for _, e := range r.subjects.Evidence(Evidence{Server: m.nextServer, Team: "team", Service: "llm", Release: "v1"}) {
			t.RecordCrash(e, m.now(step))
		}
		t.Release(&r.admission)
	}
	m.servers[s] = nil
}

// TestPartsNeverMoreThanTheBound draws the arrivals of requests with a crashing part and of sound
// ones with the same other parts, their servers, and exchanges that come late, repeated or not at
// all. A host never quarantines a part that was answered there, and later than the stability window
// after the fifth crash at most three requests with the crashing part reach servers.
func TestPartsNeverMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		m := &partsModel{
			boundModel: boundModel{control: newTable("control"), sentRevision: make([]uint64, hosts), receivedRevision: make([]uint64, hosts)},
			servers:    make([][]partRun, rapid.IntRange(2, 8).Draw(t, "servers")),
		}
		phase := make([]int, hosts)
		for h := range hosts {
			m.tables = append(m.tables, newTable(fmt.Sprint("host-", h)))
			m.answered = append(m.answered, map[Fingerprint]bool{})
			phase[h] = rapid.IntRange(0, exchangeSteps-1).Draw(t, "phase")
		}
		every := rapid.IntRange(1, 12).Draw(t, "steps a request with the part")
		for step := range boundSteps {
			m.finishParts(step)
			for h := range hosts {
				if step%exchangeSteps == phase[h] || rapid.IntRange(0, 9).Draw(t, "news") == 0 {
					m.exchange(h, step, rapid.IntRange(0, 4).Draw(t, "again") == 0)
				}
			}
			for range 2 {
				m.sendPart(t, m.newPartRun(t, false), step)
			}
			if rapid.IntRange(1, every).Draw(t, "request") == 1 {
				m.sendPart(t, m.newPartRun(t, true), step)
			}
		}
		m.checkParts(t)
	})
}

// crashesBeforeBound is the number of crashes after which the stability window begins.
const crashesBeforeBound = 5

func (m *partsModel) checkParts(t *rapid.T) {
	if len(m.crashSteps) < crashesBeforeBound {
		return
	}
	late := 0
	for _, step := range m.runSteps {
		if step > m.crashSteps[crashesBeforeBound-1]+windowSteps {
			late++
		}
	}
	if late > maxLateRuns {
		t.Fatalf("%d requests with the part reached servers after the stability window; %d crashes in all", late, len(m.crashSteps))
	}
}

// TestPartRecordsMergeInAnyOrder merges the evidence of several hosts in two orders, some of it
// repeatedly: the number of crashes that count is the same.
func TestPartRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := partFingerprint("team", "llm", "p")
		var evidence []Evidence
		distinct := map[uint32]bool{}
		for range rapid.IntRange(1, 10).Draw(t, "crashes") {
			e := Evidence{Fingerprint: f, Part: "p", Request: rapid.Uint32Range(1, 4).Draw(t, "request"), Server: uint64(len(evidence)), Service: "llm"}
			evidence = append(evidence, e)
			distinct[e.Request] = true
		}
		for range 2 {
			together := newTable("together")
			for _, i := range rapid.Permutation(indices(len(evidence))).Draw(t, "order") {
				table := newTable("host")
				table.RecordCrash(evidence[i], start)
				records, _ := table.Since(0, 9, LocalChanges, start)
				for range rapid.IntRange(1, 3).Draw(t, "times") {
					together.Merge(records, start)
				}
			}
			if got := together.Judge(f, start).ServerCrashes; got != len(distinct) {
				t.Fatalf("%d crashes count, want one for each of %d requests", got, len(distinct))
			}
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
