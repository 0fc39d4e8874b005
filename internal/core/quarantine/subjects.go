package quarantine

import (
	"encoding/binary"
	"time"
)

// MaxJudgedParts bounds the prompt parts by which a request is judged. Further parts of a longer
// prompt are neither suspected nor cleared.
const MaxJudgedParts = 32

// partLabel separates the fingerprints of prompt parts from those of requests.
const partLabel = "sesamefork prompt part"

// Part is a prompt part that requests share.
type Part struct {
	ID          string
	Fingerprint Fingerprint
}

// Subjects are what may have caused the crash of a server that runs a request, and what the
// request is judged by: the request as a whole and the parts that its prompt shares with others.
type Subjects struct {
	Request Fingerprint
	Parts   []Part
}

// NewSubjects returns the subjects of a request whose prompt consists of the parts with the given
// IDs, in order. The last part belongs to the request itself, so it is left out, and a repeated
// one counts once. A part is bound to the caller, whose requests must not lead to the refusal of
// another caller's, and to the service, since another model may take it.
func NewSubjects(request Fingerprint, caller, service string, ids []string) Subjects {
	s := Subjects{Request: request}
	if len(ids) < 2 {
		return s
	}
	last := ids[len(ids)-1]
	seen := map[string]bool{"": true, last: true}
	for _, id := range ids[:len(ids)-1] {
		if len(s.Parts) == MaxJudgedParts {
			break
		}
		if seen[id] {
			continue
		}
		seen[id] = true
		s.Parts = append(s.Parts, Part{id, partFingerprint(caller, service, id)})
	}
	return s
}

// PartIDs returns the IDs of the parts.
func (s Subjects) PartIDs() []string {
	var ids []string
	for _, p := range s.Parts {
		ids = append(ids, p.ID)
	}
	return ids
}

func partFingerprint(caller, service, id string) Fingerprint {
	return hashFields([]byte(partLabel), []byte(caller), []byte(service), []byte(id))
}

// requestKey returns the short hash that identifies the request in the evidence against a part.
func (s Subjects) requestKey() uint32 { return binary.BigEndian.Uint32(s.Request[:]) }

// Evidence returns e once for each subject.
func (s Subjects) Evidence(e Evidence) []Evidence {
	e.Fingerprint = s.Request
	out := []Evidence{e}
	for _, p := range s.Parts {
		e.Fingerprint, e.Part, e.Request = p.Fingerprint, p.ID, s.requestKey()
		out = append(out, e)
	}
	return out
}

// Admission is the judgement of an attempt by its subjects: the most severe of theirs.
type Admission struct {
	Judgement
	// Subject is the fingerprint that the judgement is about; Part is the part's ID if it is one.
	Subject Fingerprint
	Part    string

	begun []begunSubject
}

type begunSubject struct {
	fingerprint Fingerprint
	judgement   Judgement
}

// Refused reports whether the attempt must not be made.
func (a *Admission) Refused() bool { return a.Verdict == Quarantined || a.Verdict == Busy }

// Admit returns how an attempt of a request is to be treated. The caller must call Release once
// for an attempt that is not refused. again states that the request has been sent to a server before.
func (t *Table) Admit(s Subjects, again bool, now time.Time) Admission {
	a := Admission{Subject: s.Request}
	if len(s.Parts) > 0 {
		t.requested.add(s.Parts, now)
	}
	t.begin(&a, s.Request, "", again, now)
	for _, p := range s.Parts {
		t.begin(&a, p.Fingerprint, p.ID, again, now)
	}
	if a.Refused() {
		t.Release(&a)
	}
	return a
}

// begin begins the attempt for one of its subjects.
func (t *Table) begin(a *Admission, f Fingerprint, part string, again bool, now time.Time) {
	t.namePart(f, part)
	j := t.Begin(f, again, now)
	if j.Verdict != Clear {
		a.begun = append(a.begun, begunSubject{f, j})
	}
	if j.Verdict > a.Verdict || (j.Verdict == a.Verdict && j.ServerCrashes > a.ServerCrashes) {
		a.Judgement, a.Subject, a.Part = j, f, part
	}
}

// namePart sets the kind of a record that came from a host which does not know of parts.
func (t *Table) namePart(f Fingerprint, part string) {
	if r := t.get(f); r != nil && r.part == "" && part != "" {
		r.part = part
		t.parts++
	}
}

// Release records that an admitted attempt has ended.
func (t *Table) Release(a *Admission) {
	for _, b := range a.begun {
		t.Finish(b.fingerprint, b.judgement)
	}
	a.begun = nil
}

// RecordWholeAnswer records that a server of a release answered a request completely. It returns
// the subjects whose crashes were cleared.
func (t *Table) RecordWholeAnswer(s Subjects, release string, now time.Time) (cleared []Change) {
	cleared = t.appendCleared(cleared, s.Request, now, func() bool { return t.RecordAnswer(s.Request, now) })
	for _, p := range s.Parts {
		t.namePart(p.Fingerprint, p.ID)
		cleared = t.appendCleared(cleared, p.Fingerprint, now, func() bool { return t.recordPartAnswer(p.Fingerprint, release, now) })
	}
	return cleared
}

// appendCleared appends the change that record makes to the judgement of f, if it clears crashes.
func (t *Table) appendCleared(list []Change, f Fingerprint, now time.Time, record func() bool) []Change {
	r, before := t.get(f), t.Judge(f, now)
	if !record() {
		return list
	}
	return append(list, Change{Fingerprint: f, Part: r.part, Before: before, Team: r.team, Service: r.service, Release: r.release})
}

// recordPartAnswer records that a request with the part was answered completely by a server of a
// release. It reports whether crashes were cleared.
func (t *Table) recordPartAnswer(f Fingerprint, release string, now time.Time) (cleared bool) {
	t.proved.add(answered{f, release}, now)
	r := t.get(f)
	if r == nil || r.crashCount() == 0 || !r.clearedBy(release) {
		return false
	}
	t.clear(r, now)
	return true
}

// clearedBy reports whether an answer of a release clears the crashes of a part: those of the same
// release, or of one that no server runs.
func (r *record) clearedBy(release string) bool {
	return release == "" || r.release == "" || r.release == release || !r.replacedAt.IsZero()
}
