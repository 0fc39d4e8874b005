package quarantine

import (
	"container/list"
	"slices"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// maxName bounds the names in a record that another host sent.
const maxName = 128

// Change is how another host's news changed how a request stands.
type Change struct {
	Fingerprint            Fingerprint
	Before, After          Judgement
	Team, Service, Release string
}

// Merge takes what another host knows, and returns what it changed here. Of two
// records of a fingerprint the one that was cleared more often holds; with the same number
// their ends are put together. What was answered here moments ago is cleared again.
func (t *Table) Merge(records []*pb.QuarantineRecord, now time.Time) []Change {
	var out []Change
	for _, m := range records {
		if len(m.Fingerprint) != fingerprintBytes || len(m.Team) > maxName || len(m.Service) > maxName || len(m.Release) > maxName {
			continue
		}
		f := Fingerprint(m.Fingerprint)
		before := t.Judge(f, now)
		if !t.mergeOne(f, m, now) {
			continue
		}
		if r := t.get(f); r.counted() > 0 && t.served.lately(f, now) {
			t.clear(r, now) // news of ends is no answer: it does not prolong the objection
		}
		if after := t.Judge(f, now); after.Verdict != before.Verdict || after.Ends != before.Ends {
			r := t.get(f)
			out = append(out, Change{f, before, after, r.team, r.service, r.release})
		}
	}
	return out
}

func (t *Table) mergeOne(f Fingerprint, m *pb.QuarantineRecord, now time.Time) (news bool) {
	r := t.get(f)
	ends := endsOf(m, now)
	if r == nil {
		if m.Cleared == 0 && len(ends) == 0 {
			return false
		}
		r = t.add(f)
		news = true
	}
	switch {
	case m.Cleared < r.cleared:
		return false
	case m.Cleared > r.cleared:
		r.cleared, r.ends, news = m.Cleared, nil, true
	}
	for _, e := range ends {
		news = r.addEnd(e) || news
	}
	if !news {
		return false
	}
	if m.Service != "" {
		r.team, r.service, r.release = m.Team, m.Service, m.Release
	}
	t.change(r, now)
	return true
}

func endsOf(m *pb.QuarantineRecord, now time.Time) []end {
	var out []end
	for i, server := range m.Server {
		e := end{server: server, at: now}
		if i < len(m.AgeS) {
			e.at = now.Add(-time.Duration(m.AgeS[i]) * time.Second)
		}
		e.alive = i < len(m.Alive) && m.Alive[i]
		out = append(out, e)
	}
	return out
}

// Wanted chooses records to tell another host that was told up to a revision.
type Wanted func(r *record, told uint64) bool

// Own are the records that changed by what this host saw itself, whatever it was told since.
func Own(r *record, told uint64) bool { return r.own > told }

// All are all records.
func All(*record, uint64) bool { return true }

// Decisive are the records that an entry host needs of others: with one end alone a request
// is treated as usual elsewhere.
func Decisive(r *record, _ uint64) bool { return r.cleared > 0 || r.counted() >= Crashes-1 }

// Since returns records that changed after a revision, the first to change first, and the
// revision to go on from.
func (t *Table) Since(revision uint64, most int, wanted Wanted, now time.Time) (out []*pb.QuarantineRecord, next uint64) {
	if revision > t.revision {
		revision = 0 // of an earlier process
	}
	first := t.order.Back()
	if first == nil || first.Value.(*record).changed <= revision {
		return nil, t.revision
	}
	for p := first.Prev(); p != nil && p.Value.(*record).changed > revision; p = p.Prev() {
		first = p
	}
	for e := first; e != nil; e = e.Next() {
		r := e.Value.(*record)
		if !wanted(r, revision) {
			continue
		}
		if len(out) == most {
			return out, before(e)
		}
		out = append(out, r.message(now))
	}
	return out, t.revision
}

// before returns a revision just before the record's last change.
func before(e *list.Element) uint64 { return e.Value.(*record).changed - 1 }

// message encodes a record. One with a single end bears its names too: three hosts may have
// seen one end each.
func (r *record) message(now time.Time) *pb.QuarantineRecord {
	m := &pb.QuarantineRecord{
		Fingerprint: slices.Clone(r.fingerprint[:]), Cleared: r.cleared, Team: cut(r.team), Service: cut(r.service), Release: cut(r.release),
	}
	anyAlive := slices.ContainsFunc(r.ends, func(e end) bool { return e.alive })
	for _, e := range r.ends {
		m.Server = append(m.Server, e.server)
		m.AgeS = append(m.AgeS, uint32(max(0, now.Sub(e.at)/time.Second)))
		if anyAlive {
			m.Alive = append(m.Alive, e.alive)
		}
	}
	return m
}

func cut(name string) string { return name[:min(len(name), maxName)] }

// Entry is a fingerprint as operators see it.
type Entry struct {
	Fingerprint            Fingerprint
	Verdict                Verdict
	Team, Service, Release string
	// Crashes is the number of servers that ended, LastCrash when the last one did.
	Crashes   int
	LastCrash time.Time
	Cleared   uint32
}

// List returns the fingerprints under which more than one server ended, the last to crash
// one first.
func (t *Table) List(now time.Time) []Entry {
	var out []Entry
	for e := t.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if j := t.judge(r, now); j.Ends > 1 {
			out = append(out, Entry{r.fingerprint, j.Verdict, r.team, r.service, r.release, j.Ends, j.Last, r.cleared})
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return b.LastCrash.Compare(a.LastCrash) })
	return out
}
