package quarantine

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// crashPart records the crash of a server of a release under a request with the part.
func (t *Table) crashPart(p Part, n int, release string, now time.Time) {
	t.RecordCrash(Evidence{Fingerprint: p.Fingerprint, Part: p.ID, Request: uint32(n), Server: uint64(n), Service: "llm", Release: release}, now)
}

// TestCrashAtAnotherReleaseKeepsTheVerdictOnAPart guards against a crashing part that is cleared by answers of a release that bears it.
func TestCrashAtAnotherReleaseKeepsTheVerdictOnAPart(t *testing.T) {
	s := NewSubjects(request(1), "team", "llm", []string{"bad", "last"})
	a, b := newTable("a"), newTable("b")
	b.RecordWholeAnswer(s, "v1", start)
	now := start
	for n := 1; n <= ambiguousThreshold; n++ {
		now = now.Add(time.Second)
		b.crashPart(s.Parts[0], n, "v2", now)
	}
	all, _ := b.Since(0, 10, AllRecords, now)
	a.Merge(all, now)
	a.crashPart(s.Parts[0], ambiguousThreshold+1, "v1", now)
	all, _ = a.Since(0, 10, AllRecords, now)
	b.Merge(all, now)
	for _, table := range []*Table{a, b} {
		if j := table.Judge(s.Parts[0].Fingerprint, now.Add(2*confirmationDelay)); j.Verdict != Quarantined {
			t.Errorf("%s: %s, want quarantined", table.o.Host, j.Verdict)
		}
	}
}

// TestRecordOfAnyPartCanBeEncoded guards against a host that sends nothing more because a caller chose an ID that is no UTF-8.
func TestRecordOfAnyPartCanBeEncoded(t *testing.T) {
	for _, id := range []string{"\xff\xfe", string(make([]byte, maxNameBytes-1)) + "é"} {
		table := newTable("a")
		s := NewSubjects(request(1), "team", "llm", []string{id, "last"})
		table.crashPart(s.Parts[0], 1, "v1", start)
		records, _ := table.Since(0, 10, AllRecords, start)
		if _, err := proto.Marshal(&pb.FleetSync{Quarantine: records}); err != nil {
			t.Errorf("part %q: %v", id, err)
		}
	}
}

// TestSlowCrashesAreNoFailedTrials guards against a part that stays refused because its crashes came slowly.
func TestSlowCrashesAreNoFailedTrials(t *testing.T) {
	table := newTable("a")
	s := NewSubjects(request(1), "team", "llm", []string{"one", "other", "last"})
	now := start
	for n := 1; n <= ambiguousThreshold; n++ {
		now = now.Add(stragglerTime + time.Second)
		for _, p := range s.Parts {
			table.crashPart(p, n, "v1", now)
		}
	}
	f := s.Parts[0].Fingerprint
	if j := table.Judge(f, now.Add(hold+trialSpacing)); j.Verdict != Trial {
		t.Errorf("%s after the hold, want a trial", j.Verdict)
	}
	trial := now.Add(hold + trialSpacing)
	table.crashPart(s.Parts[0], ambiguousThreshold+1, "v1", trial)
	if j := table.Judge(f, trial.Add(hold+trialSpacing)); j.Verdict != Quarantined {
		t.Errorf("%s after the hold of a failed trial, want quarantined: the hold doubles", j.Verdict)
	}
	if j := table.Judge(f, trial.Add(2*hold+trialSpacing)); j.Verdict != Trial {
		t.Errorf("%s after twice the hold, want a trial", j.Verdict)
	}
}
