package configstate

import (
	"testing"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestRestoredDomainsKeepTheirRevision guards against restorations that a snapshot loses.
func TestRestoredDomainsKeepTheirRevision(t *testing.T) {
	m := NewMachine(1)
	for _, c := range []*pb.Command{{Restore: "b"}, {Evacuate: "b"}, {Evacuate: "a"}, {Restore: "b"}, {Restore: "a"}, {Evacuate: "b"}, {Restore: "b"}, {Restore: "b"}} {
		m.Apply(c)
	}
	restarted := NewMachine(1)
	if err := restarted.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	want := map[string]uint64{"a": 4, "b": 6}
	got := restarted.Restored()
	if len(got) != len(want) {
		t.Fatalf("restored: %v, want %v", got, want)
	}
	for _, d := range got {
		if d.Revision != want[d.FailureDomain] {
			t.Errorf("%s restored in revision %d, want %d", d.FailureDomain, d.Revision, want[d.FailureDomain])
		}
	}
}
