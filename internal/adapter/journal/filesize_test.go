package journal

import (
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// TestAppendAtFileSizeLimit appends until a record exceeds RLIMIT_FSIZE, as on a full disk,
// then removes the limit and reopens the store. All acknowledged records must be there and
// further appends must succeed.
func TestAppendAtFileSizeLimit(t *testing.T) {
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	folder := filepath.Join(t.TempDir(), "store")
	if err := Format(OS{}, folder, port.Identity{Store: "c1.0", Host: "c1"}); err != nil {
		t.Fatal(err)
	}
	j, _, err := Open(OS{}, folder, "c1")
	if err != nil {
		t.Fatal(err)
	}
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	const limit = 4 << 10
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: limit, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	acknowledged := uint64(0)
	for err == nil {
		if err = j.Append(&pb.JournalRecord{Entries: []*pb.RaftEntry{entry(acknowledged + 1)}}); err == nil {
			acknowledged++
		}
	}
	if e := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before); e != nil {
		t.Fatal(e)
	}
	if !failure.Is(err, failure.JournalFailed) || acknowledged == 0 {
		t.Fatalf("%d records, then %v", acknowledged, err)
	}
	_ = j.Close() // the journal has failed already
	j, st, err := Reopen(OS{}, folder, "c1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = j.Close() }()
	if lastIndex(st) != acknowledged {
		t.Errorf("last entry %d, acknowledged %d", lastIndex(st), acknowledged)
	}
	if err := j.Append(&pb.JournalRecord{Entries: []*pb.RaftEntry{entry(acknowledged + 1)}}); err != nil {
		t.Error(err)
	}
}
