package quarantine

import (
	"container/list"
	"slices"
	"strings"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// maxNameBytes bounds each name in a record that is sent or received, in bytes.
const maxNameBytes = 128

// Change is the effect of a received record on the judgement of a fingerprint.
type Change struct {
	Fingerprint            Fingerprint
	Part                   string // ID of the prompt part; "" for a request
	Before, After          Judgement
	Team, Service, Release string
}

// Merge merges records received from another host and returns the judgements that changed. Of
// two records of a fingerprint, the one with the higher cleared count replaces the other; with
// equal counts their crashes are united. The crashes of a fingerprint that was answered here
// recently are cleared again.
func (t *Table) Merge(records []*pb.QuarantineRecord, now time.Time) []Change {
	var out []Change
	for _, m := range records {
		if len(m.Fingerprint) != fingerprintBytes || len(m.Part) > maxNameBytes || len(m.Team) > maxNameBytes || len(m.Service) > maxNameBytes || len(m.Release) > maxNameBytes {
			continue
		}
		f := Fingerprint(m.Fingerprint)
		before := t.Judge(f, now)
		if !t.mergeRecord(f, m, now) {
			continue
		}
		if r := t.get(f); r.crashCount() > 0 && t.isProvedSound(f, r.part, r.release, now) {
			t.clear(r, now) // a received crash is no answer, so it does not extend the answer's validity
		}
		if after := t.Judge(f, now); after.Verdict != before.Verdict || after.ServerCrashes != before.ServerCrashes {
			r := t.get(f)
			out = append(out, Change{f, r.part, before, after, r.team, r.service, r.release})
		}
	}
	return out
}

// mergeRecord merges one received record and reports whether the table changed.
func (t *Table) mergeRecord(f Fingerprint, m *pb.QuarantineRecord, now time.Time) (changed bool) {
	r := t.get(f)
	crashes := decodeCrashes(m, now)
	if r == nil {
		if m.Cleared == 0 && len(crashes) == 0 {
			return false
		}
		r = t.add(f, m.Part)
		changed = true
	}
	t.namePart(f, m.Part)
	switch {
	case m.Cleared < r.cleared:
		return false
	case m.Cleared > r.cleared:
		r.cleared, r.crashes, changed = m.Cleared, nil, true
	}
	keepsRelease := r.keepsRelease()
	for _, e := range crashes {
		changed = r.addCrash(e) || changed
	}
	if !changed {
		return false
	}
	if m.Service != "" {
		r.team, r.service = m.Team, m.Service
		if !keepsRelease {
			r.release = m.Release
		}
	}
	t.markChanged(r, now)
	return true
}

func decodeCrashes(m *pb.QuarantineRecord, now time.Time) []crash {
	var out []crash
	for i, server := range m.Server {
		e := crash{server: server, at: now}
		if i < len(m.AgeS) {
			e.at = now.Add(-time.Duration(m.AgeS[i]) * time.Second)
		}
		e.alive = i < len(m.Alive) && m.Alive[i]
		if i < len(m.Request) {
			e.request = m.Request[i]
		}
		out = append(out, e)
	}
	return out
}

// CountCrashes returns the number of crashes that count in a record.
func CountCrashes(m *pb.QuarantineRecord) int {
	r := record{part: m.Part, crashes: decodeCrashes(m, time.Time{})}
	return r.crashCount()
}

// RecordFilter reports whether a record is to be sent to a host that has been sent this table's
// changes up to sentRevision.
type RecordFilter func(r *record, sentRevision uint64) bool

// LocalChanges selects records that changed by this host's own observations since sentRevision,
// whether or not received records changed them too.
func LocalChanges(r *record, sentRevision uint64) bool { return r.localRevision > sentRevision }

// AllRecords selects every record.
func AllRecords(*record, uint64) bool { return true }

// NeededByEntryHosts selects the records that other entry hosts need: those that were cleared,
// and those from one crash below the threshold on. With fewer crashes only the observing host
// treats the request differently.
func NeededByEntryHosts(r *record, _ uint64) bool {
	return r.cleared > 0 || r.crashCount() >= CrashThreshold-1
}

// Since returns at most limit records that wanted selects and that changed after a revision, in
// the order of their last change, and the revision to continue from.
func (t *Table) Since(revision uint64, limit int, wanted RecordFilter, now time.Time) (out []*pb.QuarantineRecord, next uint64) {
	if revision > t.revision {
		revision = 0 // the revision belongs to an earlier process
	}
	first := t.order.Back()
	if first == nil || first.Value.(*record).revision <= revision {
		return nil, t.revision
	}
	for p := first.Prev(); p != nil && p.Value.(*record).revision > revision; p = p.Prev() {
		first = p
	}
	for e := first; e != nil; e = e.Next() {
		r := e.Value.(*record)
		if !wanted(r, revision) {
			continue
		}
		if len(out) == limit {
			return out, revisionBefore(e)
		}
		out = append(out, r.encode(now))
	}
	return out, t.revision
}

// revisionBefore returns the revision just before the record's last change.
func revisionBefore(e *list.Element) uint64 { return e.Value.(*record).revision - 1 }

// encode returns the record as a peer message. The names are included from a single crash on, as
// three hosts may each have observed one and the combined record needs them.
func (r *record) encode(now time.Time) *pb.QuarantineRecord {
	m := &pb.QuarantineRecord{Fingerprint: slices.Clone(r.fingerprint[:]), Cleared: r.cleared}
	if len(r.crashes) == 0 {
		return m
	}
	m.Part, m.Team, m.Service, m.Release = truncateName(r.part), truncateName(r.team), truncateName(r.service), truncateName(r.release)
	anyAlive := slices.ContainsFunc(r.crashes, func(e crash) bool { return e.alive })
	for _, e := range r.crashes {
		m.Server = append(m.Server, e.server)
		m.AgeS = append(m.AgeS, uint32(max(0, now.Sub(e.at)/time.Second)))
		if anyAlive {
			m.Alive = append(m.Alive, e.alive)
		}
		if r.part != "" {
			m.Request = append(m.Request, e.request)
		}
	}
	return m
}

// truncateName returns a name as messages hold it: of at most maxNameBytes, and without invalid UTF-8,
// which cannot be encoded. Callers choose the IDs of prompt parts.
func truncateName(name string) string {
	return strings.ToValidUTF8(name[:min(len(name), maxNameBytes)], "")
}

// Entry is a fingerprint's state as reported to operators.
type Entry struct {
	Fingerprint            Fingerprint
	Part                   string // ID of the prompt part; "" for a request
	Verdict                Verdict
	Team, Service, Release string
	// Crashes is the number of crashes that count against it.
	Crashes int
	// LastCrash is when the last of them was observed.
	LastCrash time.Time
	// Cleared is how often the crashes were cleared.
	Cleared uint32
}

// List returns the fingerprints with more than one crash, the most recent crash first.
func (t *Table) List(now time.Time) []Entry {
	var out []Entry
	for e := t.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if j := t.judge(r, now); j.ServerCrashes > 1 {
			out = append(out, Entry{r.fingerprint, r.part, j.Verdict, r.team, r.service, r.release, j.ServerCrashes, j.LastCrash, r.cleared})
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return b.LastCrash.Compare(a.LastCrash) })
	return out
}
