package configstate

import (
	"testing"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

func verdict(fingerprint string, cleared uint32, servers ...uint64) *pb.QuarantineRecord {
	return &pb.QuarantineRecord{Fingerprint: []byte(fingerprint), Cleared: cleared, Server: servers}
}

// TestKeptVerdicts applies sequences of verdicts and checks which is kept, also after restoring a
// snapshot.
func TestKeptVerdicts(t *testing.T) {
	alive := verdict("a", 0, 1, 2, 3)
	alive.Alive = []bool{false, true, false}
	for _, c := range []struct {
		name     string
		commands []*pb.Command
		crashes  int // expected crash count of fingerprint "a"; -1 when nothing is kept
		cleared  uint32
	}{
		{"first verdict", []*pb.Command{{Quarantine: verdict("a", 0, 1, 2, 3)}}, 3, 0},
		{"too few crashes", []*pb.Command{{Quarantine: verdict("a", 0, 1, 2)}}, -1, 0},
		{"same verdict twice", []*pb.Command{{Quarantine: verdict("a", 0, 1, 2, 3)}, {Quarantine: verdict("a", 0, 1, 2, 3)}}, 3, 0},
		{"one more crash", []*pb.Command{{Quarantine: verdict("a", 0, 1, 2, 3)}, {Quarantine: verdict("a", 0, 1, 2, 3, 4)}}, 4, 0},
		{"record with fewer crashes", []*pb.Command{{Quarantine: verdict("a", 0, 1, 2, 3, 4)}, {Quarantine: verdict("a", 0, 1, 2, 3)}}, 4, 0},
		{"one process is alive", []*pb.Command{{Quarantine: verdict("a", 0, 1, 2, 3)}, {Quarantine: alive}}, 2, 0},
		{"lifted", []*pb.Command{{Quarantine: verdict("a", 0, 1, 2, 3)}, {Lift: verdict("a", 1)}}, 0, 1},
		{"lifted, then a verdict from before", []*pb.Command{{Quarantine: verdict("a", 0, 1, 2, 3)}, {Lift: verdict("a", 1)}, {Quarantine: verdict("a", 0, 4, 5, 6)}}, 0, 1},
		{"lifted, then a new verdict", []*pb.Command{{Quarantine: verdict("a", 0, 1, 2, 3)}, {Lift: verdict("a", 1)}, {Quarantine: verdict("a", 1, 4, 5, 6)}}, 3, 1},
		{"suspicion lifted", []*pb.Command{{Lift: verdict("a", 1)}}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewMachine(1)
			for _, cmd := range c.commands {
				m.Apply(cmd)
			}
			again := NewMachine(1)
			if err := again.Restore(m.Snapshot()); err != nil {
				t.Fatal(err)
			}
			for _, m := range []*Machine{m, again} {
				list, _ := m.Quarantined()
				kept := KeptByFingerprint(list)["a"]
				switch {
				case c.crashes < 0 && kept != nil:
					t.Errorf("kept %v, want nothing", kept)
				case c.crashes >= 0 && (kept == nil || crashCount(kept) != c.crashes || kept.Cleared != c.cleared):
					t.Errorf("kept %v, want %d crashes, cleared %d times", kept, c.crashes, c.cleared)
				}
			}
			if m.Version() != 0 {
				t.Error("a verdict changed the configuration's version")
			}
		})
	}
}

// TestKeptVerdictsAreBounded applies more verdicts than MaxQuarantined: the oldest are dropped.
func TestKeptVerdictsAreBounded(t *testing.T) {
	m := NewMachine(1)
	for n := range MaxQuarantined + 10 {
		m.Apply(&pb.Command{Quarantine: verdict(string([]byte{byte(n), byte(n >> 8)}), 0, 1, 2, 3)})
	}
	list, revision := m.Quarantined()
	if len(list) != MaxQuarantined || revision != MaxQuarantined+10 {
		t.Errorf("%d verdicts kept at revision %d", len(list), revision)
	}
	if got := KeptByFingerprint(list)[string([]byte{0, 0})]; got != nil {
		t.Error("the oldest verdict was not dropped")
	}
}
