package journal

import (
	"fmt"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

const dir = "/data"

func open(t *testing.T, m *memFS) (*Journal, *port.JournalState) {
	t.Helper()
	j, st, err := Open(m, dir, "c1")
	if err != nil {
		t.Fatal(err)
	}
	return j, st
}

func newFormattedFS(t *testing.T) *memFS {
	t.Helper()
	m := newMemFS()
	if err := Format(m, dir, port.Identity{Group: "g.1", Store: "c1.0", Host: "c1"}); err != nil {
		t.Fatal(err)
	}
	return m
}

func entry(index uint64) *pb.RaftEntry {
	return &pb.RaftEntry{Term: 1, Index: index, Data: []byte(fmt.Sprintf("change %d", index))}
}

func appendEntries(t *testing.T, j *Journal, from, to uint64) {
	t.Helper()
	for i := from; i <= to; i++ {
		rec := &pb.JournalRecord{HardState: &pb.HardState{Term: 1, Commit: i - 1}, Entries: []*pb.RaftEntry{entry(i)}}
		if err := j.Append(rec); err != nil {
			t.Fatal(err)
		}
	}
}

func lastIndex(st *port.JournalState) uint64 {
	if n := len(st.Entries); n > 0 {
		return st.Entries[n-1].Index
	}
	return st.Snapshot.GetIndex()
}

func TestAcknowledgedEntriesSurviveTornWrite(t *testing.T) {
	m := newFormattedFS(t)
	j, _ := open(t, m)
	appendEntries(t, j, 1, 5)
	m.failSync = true
	if err := j.Append(&pb.JournalRecord{Entries: []*pb.RaftEntry{entry(6)}}); !failure.Is(err, failure.JournalFailed) {
		t.Fatalf("append with a failing sync: %v", err)
	}
	unsynced := len(m.live[filepath.Join(dir, "wal-0000000000000000")]) - len(m.synced[filepath.Join(dir, "wal-0000000000000000")])
	for tear := range unsynced {
		m.tornBytes = tear
		_, st := open(t, m.crash())
		if lastIndex(st) != 5 {
			t.Fatalf("%d unsynced bytes kept: last entry %d, want 5", tear, lastIndex(st))
		}
		if (st.CutBytes > 0) != (tear > 0) {
			t.Fatalf("%d unsynced bytes kept: %d truncated", tear, st.CutBytes)
		}
	}
}

func TestFailedJournalStaysFailed(t *testing.T) {
	for name, injectFault := range map[string]func(*memFS){
		"sync":  func(m *memFS) { m.failSync = true },
		"full":  func(m *memFS) { m.failWrite = syscall.ENOSPC },
		"write": func(m *memFS) { m.failWrite = syscall.EIO },
	} {
		t.Run(name, func(t *testing.T) {
			m := newFormattedFS(t)
			j, _ := open(t, m)
			appendEntries(t, j, 1, 1)
			injectFault(m)
			rec := &pb.JournalRecord{Entries: []*pb.RaftEntry{entry(2)}}
			if err := j.Append(rec); !failure.Is(err, failure.JournalFailed) {
				t.Fatalf("got %v, want %s", err, failure.JournalFailed)
			}
			m.failSync, m.failWrite = false, nil
			if err := j.Append(rec); !failure.Is(err, failure.JournalFailed) {
				t.Errorf("append after a failure: %v; want the journal to reject it", err)
			}
			if err := j.SaveSnapshot(&pb.SnapshotFile{}, &pb.JournalRecord{}); !failure.Is(err, failure.JournalFailed) {
				t.Errorf("snapshot after a failure: %v; want the journal to reject it", err)
			}
		})
	}
}

func TestCorruptionBeforeValidRecordIsRejected(t *testing.T) {
	wal := filepath.Join(dir, "wal-0000000000000000")
	for _, where := range []string{"length", "data", "checksum"} {
		t.Run(where, func(t *testing.T) {
			m := newFormattedFS(t)
			j, _ := open(t, m)
			appendEntries(t, j, 1, 3)
			at := map[string]int{"length": 2, "checksum": 9, "data": headerSize + 3}[where]
			m.live[wal][at] ^= 0x40
			_, _, err := Open(m, dir, "c1")
			if !failure.Is(err, failure.JournalCorrupt) {
				t.Errorf("got %v, want %s", err, failure.JournalCorrupt)
			}
		})
	}
}

func TestForeignFoldersAreRefused(t *testing.T) {
	identity := filepath.Join(dir, identityName)
	for _, c := range []struct {
		name string
		edit func(*memFS)
		host string
		want failure.Code
	}{
		{"other host", func(*memFS) {}, "c2", failure.JournalForeign},
		{"newer format", func(m *memFS) { m.live[identity] = []byte(`{"format":99,"host":"c1"}`) }, "c1", failure.JournalForeign},
		{"no identity", func(m *memFS) { delete(m.live, identity) }, "c1", failure.JournalForeign},
		{"damaged identity", func(m *memFS) { m.live[identity] = []byte("{") }, "c1", failure.JournalCorrupt},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newFormattedFS(t)
			c.edit(m)
			if _, _, err := Open(m, dir, c.host); !failure.Is(err, c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
	if err := Format(newFormattedFS(t), dir, port.Identity{}); !failure.Is(err, failure.JournalForeign) {
		t.Errorf("formatting a non-empty folder: %v", err)
	}
}

// TestSnapshotSurvivesCrashAtEveryStep simulates a crash at each file operation of a
// snapshot. Either the old or the new segment must be in force, with all synced entries.
func TestSnapshotSurvivesCrashAtEveryStep(t *testing.T) {
	for step := range 20 {
		m := newFormattedFS(t)
		j, _ := open(t, m)
		appendEntries(t, j, 1, 10)
		s := &stepFS{memFS: m, stepsLeft: step}
		j.fs = s
		err := j.SaveSnapshot(&pb.SnapshotFile{Index: 8, Term: 1, Data: []byte("state")},
			&pb.JournalRecord{HardState: &pb.HardState{Term: 1, Commit: 10}, Entries: []*pb.RaftEntry{entry(9), entry(10)}})
		_, st := open(t, m.crash())
		if lastIndex(st) != 10 {
			t.Fatalf("crash at step %d: last entry %d, want 10", step, lastIndex(st))
		}
		if err == nil && st.Snapshot.GetIndex() != 8 {
			t.Fatalf("crash at step %d: the acknowledged snapshot is lost", step)
		}
		if err == nil && s.stepsLeft > 0 {
			return // the snapshot completed in fewer steps
		}
	}
	t.Error("the snapshot never completed")
}

// stepFS fails all operations after the first stepsLeft, like a crash.
type stepFS struct {
	*memFS
	stepsLeft int
}

func (s *stepFS) step() error {
	s.stepsLeft--
	if s.stepsLeft < 0 {
		return syscall.EIO
	}
	return nil
}

func (s *stepFS) Create(name string) (File, error) {
	if err := s.step(); err != nil {
		return nil, err
	}
	return s.memFS.Create(name)
}

func (s *stepFS) Rename(from, to string) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.memFS.Rename(from, to)
}

func (s *stepFS) SyncDir(name string) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.memFS.SyncDir(name)
}

func (s *stepFS) Remove(name string) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.memFS.Remove(name)
}

func TestDiskUseStaysBounded(t *testing.T) {
	m := newFormattedFS(t)
	j, _ := open(t, m)
	for i := uint64(1); i <= 3000; i++ {
		appendEntries(t, j, i, i)
		if i%100 == 0 {
			if err := j.SaveSnapshot(&pb.SnapshotFile{Index: i, Term: 1, Data: []byte("state")}, &pb.JournalRecord{}); err != nil {
				t.Fatal(err)
			}
		}
	}
	size := 0
	for _, data := range m.live {
		size += len(data)
	}
	if len(m.live) > 3 || size > 20_000 {
		t.Errorf("%d files with %d bytes after 3,000 entries, want at most 3 files with 20,000 bytes", len(m.live), size)
	}
}

func BenchmarkAppendSynced(b *testing.B) {
	tmp := b.TempDir()
	if err := Format(OS{}, tmp+"/d", port.Identity{Host: "c1"}); err != nil {
		b.Fatal(err)
	}
	j, _, err := Open(OS{}, tmp+"/d", "c1")
	if err != nil {
		b.Fatal(err)
	}
	for i := range b.N {
		if err := j.Append(&pb.JournalRecord{Entries: []*pb.RaftEntry{entry(uint64(i))}}); err != nil {
			b.Fatal(err)
		}
	}
}

// TestReopenAfterFailure checks, for each kind of disk failure, that Reopen fails as long as the
// disk fails, and that the reopened store then contains all acknowledged entries, accepts further
// ones and keeps them in a power loss.
func TestReopenAfterFailure(t *testing.T) {
	for name, injectFault := range map[string]func(*memFS){
		"sync":  func(m *memFS) { m.failSync = true },
		"full":  func(m *memFS) { m.failWrite = syscall.ENOSPC },
		"write": func(m *memFS) { m.failWrite = syscall.EIO },
	} {
		for _, withSnapshot := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, snapshot %v", name, withSnapshot), func(t *testing.T) {
				m := newFormattedFS(t)
				j, _ := open(t, m)
				appendEntries(t, j, 1, 3)
				if withSnapshot {
					tail := &pb.JournalRecord{HardState: &pb.HardState{Term: 1, Commit: 3}, Entries: []*pb.RaftEntry{entry(3)}}
					if err := j.SaveSnapshot(&pb.SnapshotFile{Index: 2, Term: 1}, tail); err != nil {
						t.Fatal(err)
					}
				}
				injectFault(m)
				if err := j.Append(&pb.JournalRecord{Entries: []*pb.RaftEntry{entry(4)}}); err == nil {
					t.Fatal("append on a failing disk succeeded")
				}
				if _, _, err := Reopen(m, dir, "c1"); !failure.Is(err, failure.JournalFailed) {
					t.Fatalf("reopen on a failing disk: %v", err)
				}
				m.failSync, m.failWrite = false, nil
				j, st, err := Reopen(m, dir, "c1")
				if err != nil {
					t.Fatal(err)
				}
				if got := lastIndex(st); got != 3 && got != 4 {
					t.Errorf("last entry %d after reopening, want 3 or 4", got)
				}
				kept := lastIndex(st)
				appendEntries(t, j, kept+1, kept+1)
				if _, st := open(t, m.crash()); lastIndex(st) != kept+1 || (st.Snapshot != nil) != withSnapshot {
					t.Errorf("last entry %d after a crash, want %d; snapshot %v", lastIndex(st), kept+1, st.Snapshot)
				}
			})
		}
	}
}

// TestOldSegmentRemovedOnlyAfterDirSync simulates a crash while Open reads a store whose newest
// segment has directory entries that were never synced. The previous segment must not have been
// removed, because the power loss discards those entries but may preserve the removal.
func TestOldSegmentRemovedOnlyAfterDirSync(t *testing.T) {
	for step := range 4 {
		m := newFormattedFS(t)
		j, _ := open(t, m)
		appendEntries(t, j, 1, 3)
		j.fs = &stepFS{memFS: m, stepsLeft: 5} // the names of the last rename are not synced
		err := j.SaveSnapshot(&pb.SnapshotFile{Index: 2, Term: 1}, &pb.JournalRecord{Entries: []*pb.RaftEntry{entry(3)}})
		if err == nil {
			t.Fatal("the snapshot succeeded; stepsLeft must stop it before the last sync of the folder")
		}
		_, _, _ = Open(&stepFS{memFS: m, stepsLeft: step}, dir, "c1") // fails at this step
		if _, st := open(t, m.crashKeepingRemovals()); lastIndex(st) != 3 {
			t.Fatalf("crash at step %d: last entry %d", step, lastIndex(st))
		}
	}
}

// crashKeepingRemovals returns the state of the file system after a power loss that preserves
// removals and discards unsynced directory entries.
func (m *memFS) crashKeepingRemovals() *memFS {
	out := m.crash()
	for name := range m.syncedNames {
		if _, ok := m.live[name]; !ok {
			delete(out.live, name)
			delete(out.syncedNames, name)
		}
	}
	return out
}
