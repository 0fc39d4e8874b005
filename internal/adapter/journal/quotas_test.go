package journal

import (
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestQuotas checks that Load returns the state that was saved last, and an error without
// any state for a damaged file.
func TestQuotas(t *testing.T) {
	dir := t.TempDir()
	q := QuotaStore{FS: OS{}, Dir: dir}
	if s, err := q.Load(); s != nil || err != nil {
		t.Fatalf("read %v, %v before anything was saved", s, err)
	}
	var last *pb.QuotaState
	for _, units := range []float64{10, 20} {
		last = &pb.QuotaState{Teams: map[string]*pb.QuotaUnits{"hall": {Spent: units, Back: []*pb.QuotaBack{{Units: units, InMs: 3000}}}}}
		if err := q.Save(last); err != nil {
			t.Fatal(err)
		}
	}
	if s, err := q.Load(); err != nil || !proto.Equal(s, last) {
		t.Errorf("read %v, %v, want %v", s, err, last)
	}
	path := filepath.Join(dir, quotaFileName)
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != fileMode {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	valid, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"empty": {}, "truncated": valid[:len(valid)-1], "flipped bit": append(append([]byte{}, valid[:6]...), append([]byte{valid[6] ^ 1}, valid[7:]...)...)} {
		if err := os.WriteFile(path, data, fileMode); err != nil {
			t.Fatal(err)
		}
		if s, err := q.Load(); s != nil || !failure.Is(err, failure.JournalCorrupt) {
			t.Errorf("%s: read %v, %v", name, s, err)
		}
	}
}
