// Package journal stores a replica's log and snapshots as files in one data
// folder. A record is durable when Append returns. After a failed write or sync
// the journal rejects all further writes, because the content of the disk is then
// unknown.
//
// Files:
//
//	identity.json  the store's identity, written once by Format
//	wal-N          the current segment of records; the highest N is in force
//	snap-N         the snapshot on which segment N is based
//
// A frame consists of the record's length, the CRC of the length, the CRC of the
// record (each 4 bytes, big endian) and the record. If a valid frame follows a damaged
// one, the segment is corrupt and Open fails. Otherwise the damaged frame is assumed to
// be an incomplete write, which was never acknowledged, and is truncated.
package journal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// FormatVersion is the version of the file format that this build writes and the highest
// that it reads.
const FormatVersion = 1

const (
	tmpSuffix     = ".tmp" // of files that are being written
	identityName  = "identity.json"
	walPrefix     = "wal-"
	snapPrefix    = "snap-"
	headerSize    = 12
	maxRecordSize = 256 << 20
	dirMode       = 0o700
	fileMode      = 0o600
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is the subset of os.File that the journal uses.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// FS is the file system that holds the journal. Tests implement it to inject faults.
type FS interface {
	Create(name string) (File, error)
	OpenAppend(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	ReadDir(name string) ([]fs.DirEntry, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	MkdirAll(name string) error
	SyncDir(name string) error
}

// Journal is an open data folder.
type Journal struct {
	fs     FS
	dir    string
	seq    uint64
	wal    File
	failed error
}

// IsFormatted reports whether the folder contains a store.
func IsFormatted(fsys FS, dir string) (bool, error) {
	_, err := fsys.ReadFile(filepath.Join(dir, identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}

// Format creates a store in an empty folder by writing its identity. A folder that holds only the temporary file of an
// identity counts as empty: an earlier Format was interrupted before it had created a store.
func Format(fsys FS, dir string, id port.Identity) error {
	if err := fsys.MkdirAll(dir); err != nil {
		return failure.Wrap(err, failure.JournalFailed, "")
	}
	names, err := fsys.ReadDir(dir)
	if err != nil {
		return failure.Wrap(err, failure.JournalFailed, "")
	}
	for _, e := range names {
		if e.Name() != identityName+tmpSuffix {
			return failure.New(failure.JournalForeign, "", "%s has no identity and is not empty: it holds %s", dir, e.Name())
		}
	}
	id.Format = FormatVersion
	data, err := json.Marshal(id)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "")
	}
	j := &Journal{fs: fsys, dir: dir}
	return j.writeFile(identityName, data)
}

// Open reads the store in the folder and opens it for appending. host must equal the
// host in the store's identity.
func Open(fsys FS, dir, host string) (*Journal, *port.JournalState, error) {
	j := &Journal{fs: fsys, dir: dir}
	st := &port.JournalState{}
	if err := j.readIdentity(host, &st.Identity); err != nil {
		return nil, nil, err
	}
	if err := j.selectSegment(); err != nil {
		return nil, nil, err
	}
	if err := j.readSnapshot(st); err != nil {
		return nil, nil, err
	}
	if err := j.readSegment(st); err != nil {
		return nil, nil, err
	}
	wal, err := fsys.OpenAppend(j.path(walPrefix, j.seq))
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.JournalFailed, "")
	}
	j.wal = wal
	if err := fsys.SyncDir(dir); err != nil {
		return nil, nil, failure.Wrap(err, failure.JournalFailed, "")
	}
	return j, st, nil
}

func (j *Journal) path(prefix string, seq uint64) string {
	return filepath.Join(j.dir, segmentName(prefix, seq))
}

func segmentName(prefix string, seq uint64) string { return fmt.Sprintf("%s%016d", prefix, seq) }

// readFile reads a file of the data folder. A file that is missing fails with the code missing; any other error is one
// of the disk and may pass, so it fails with JournalFailed.
func (j *Journal) readFile(name string, missing failure.Code) ([]byte, error) {
	data, err := j.fs.ReadFile(filepath.Join(j.dir, name))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, failure.Wrap(err, missing, "")
	case err != nil:
		return nil, failure.Wrap(err, failure.JournalFailed, "")
	}
	return data, nil
}

func (j *Journal) readIdentity(host string, id *port.Identity) error {
	data, err := j.readFile(identityName, failure.JournalForeign)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, id); err != nil {
		return failure.Wrap(err, failure.JournalCorrupt, "")
	}
	if id.Format > FormatVersion {
		return failure.New(failure.JournalForeign, "",
			"%s was written by a newer build: format %d, this build reads up to %d", j.dir, id.Format, FormatVersion)
	}
	if id.Host != host {
		return failure.New(failure.JournalForeign, "", "%s belongs to host %q, not %q", j.dir, id.Host, host)
	}
	return nil
}

// selectSegment selects the highest segment and removes the files of older segments and
// temporary files.
func (j *Journal) selectSegment() error {
	names, err := j.fs.ReadDir(j.dir)
	if err != nil {
		return failure.Wrap(err, failure.JournalFailed, "")
	}
	for _, e := range names {
		if seq, ok := segmentNumber(e.Name(), walPrefix); ok && seq > j.seq {
			j.seq = seq
		}
	}
	// The directory entries of the selected segment must be durable before older segments are
	// removed, because a power loss may preserve the removal and lose the rename.
	if err := j.fs.SyncDir(j.dir); err != nil {
		return failure.Wrap(err, failure.JournalFailed, "")
	}
	for _, e := range names {
		if j.isObsolete(e.Name()) {
			if err := j.fs.Remove(filepath.Join(j.dir, e.Name())); err != nil {
				return failure.Wrap(err, failure.JournalFailed, "")
			}
		}
	}
	return nil
}

func (j *Journal) isObsolete(name string) bool {
	if strings.HasSuffix(name, tmpSuffix) {
		return true
	}
	for _, prefix := range []string{walPrefix, snapPrefix} {
		if seq, ok := segmentNumber(name, prefix); ok && seq != j.seq {
			return true
		}
	}
	return false
}

func segmentNumber(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	seq, err := strconv.ParseUint(digits, 10, 64)
	return seq, err == nil
}

func (j *Journal) readSnapshot(st *port.JournalState) error {
	if j.seq == 0 {
		return nil
	}
	data, err := j.readFile(segmentName(snapPrefix, j.seq), failure.JournalCorrupt)
	if err != nil {
		return err
	}
	payload, _, ok := decodeFrame(data)
	if !ok {
		return failure.New(failure.JournalCorrupt, "", "snapshot %d is damaged", j.seq)
	}
	st.Snapshot = new(pb.SnapshotFile)
	if err := proto.Unmarshal(payload, st.Snapshot); err != nil {
		return failure.Wrap(err, failure.JournalCorrupt, "")
	}
	if st.Snapshot.Index == 0 {
		st.Snapshot = nil // Reopen rewrote the segment before the first snapshot
	}
	return nil
}

func (j *Journal) readSegment(st *port.JournalState) error {
	name := j.path(walPrefix, j.seq)
	data, err := j.readFile(filepath.Base(name), failure.JournalCorrupt)
	if errors.Is(err, fs.ErrNotExist) && j.seq == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	offset := 0
	for offset < len(data) {
		payload, size, ok := decodeFrame(data[offset:])
		if !ok {
			break
		}
		rec := new(pb.JournalRecord)
		if err := proto.Unmarshal(payload, rec); err != nil {
			return failure.Wrap(err, failure.JournalCorrupt, "")
		}
		applyRecord(st, rec)
		offset += size
	}
	if offset == len(data) {
		return nil
	}
	if at, found := findFrame(data, offset+1); found {
		return failure.New(failure.JournalCorrupt, "",
			"%s is damaged at byte %d: a valid record follows at byte %d", name, offset, at)
	}
	st.CutBytes = int64(len(data) - offset)
	if err := j.fs.Truncate(name, int64(offset)); err != nil {
		return failure.Wrap(err, failure.JournalFailed, "")
	}
	return nil
}

// applyRecord applies a record to st. An entry replaces all entries with the same or a higher
// index.
func applyRecord(st *port.JournalState, rec *pb.JournalRecord) {
	if rec.HardState != nil {
		st.HardState = rec.HardState
	}
	for _, e := range rec.Entries {
		for len(st.Entries) > 0 && st.Entries[len(st.Entries)-1].Index >= e.Index {
			st.Entries = st.Entries[:len(st.Entries)-1]
		}
		st.Entries = append(st.Entries, e)
	}
}

// decodeFrame returns the payload and the total size of the frame at the start of data.
func decodeFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize {
		return nil, 0, false
	}
	if crc32.Checksum(data[:4], castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(data))
	if length > maxRecordSize || headerSize+length > len(data) {
		return nil, 0, false
	}
	payload = data[headerSize : headerSize+length]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	return payload, headerSize + length, true
}

// findFrame returns the offset of the first valid, non-empty frame at or after from.
func findFrame(data []byte, from int) (int, bool) {
	for at := from; at+headerSize < len(data); at++ {
		if payload, _, ok := decodeFrame(data[at:]); ok && len(payload) > 0 {
			return at, true
		}
	}
	return 0, false
}

func encodeFrame(payload []byte) []byte {
	buf := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(buf, uint32(len(payload)))
	binary.BigEndian.PutUint32(buf[4:], crc32.Checksum(buf[:4], castagnoli))
	binary.BigEndian.PutUint32(buf[8:], crc32.Checksum(payload, castagnoli))
	return append(buf, payload...)
}

// Reopen opens the store again after its journal failed and writes its full content to a new
// segment, because data that can be read back after a failed write or sync is not necessarily
// on the disk. It returns an error if the disk still fails.
func Reopen(fsys FS, dir, host string) (*Journal, *port.JournalState, error) {
	j, st, err := Open(fsys, dir, host)
	if err != nil {
		return nil, nil, err
	}
	snap := st.Snapshot
	if snap == nil {
		snap = &pb.SnapshotFile{}
	}
	if err := j.SaveSnapshot(snap, &pb.JournalRecord{HardState: st.HardState, Entries: st.Entries}); err != nil {
		_ = j.Close() // the earlier error is reported
		return nil, nil, err
	}
	return j, st, nil
}

// Append implements port.Journal.
func (j *Journal) Append(rec *pb.JournalRecord) error {
	if j.failed != nil {
		return j.failed
	}
	payload, err := proto.Marshal(rec)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "")
	}
	if _, err := j.wal.Write(encodeFrame(payload)); err != nil {
		return j.fail(err)
	}
	if err := j.wal.Sync(); err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) fail(err error) error {
	j.failed = failure.Wrap(err, failure.JournalFailed, "")
	return j.failed
}

// SaveSnapshot implements port.Journal. The new segment takes effect when its wal
// file is renamed. After a crash before that, the old segment is still in force.
func (j *Journal) SaveSnapshot(s *pb.SnapshotFile, tail *pb.JournalRecord) error {
	if j.failed != nil {
		return j.failed
	}
	snap, err := proto.Marshal(s)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "")
	}
	rec, err := proto.Marshal(tail)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "")
	}
	next := j.seq + 1
	if err := j.writeFile(filepath.Base(j.path(snapPrefix, next)), encodeFrame(snap)); err != nil {
		return j.fail(err)
	}
	if err := j.writeFile(filepath.Base(j.path(walPrefix, next)), encodeFrame(rec)); err != nil {
		return j.fail(err)
	}
	return j.activateSegment(next)
}

func (j *Journal) activateSegment(next uint64) error {
	wal, err := j.fs.OpenAppend(j.path(walPrefix, next))
	if err != nil {
		return j.fail(err)
	}
	_ = j.wal.Close()
	old := j.seq
	j.wal, j.seq = wal, next
	_ = j.fs.Remove(j.path(walPrefix, old))
	if old > 0 {
		_ = j.fs.Remove(j.path(snapPrefix, old))
	}
	return nil
}

// writeFile atomically creates or replaces a file and makes it durable.
func (j *Journal) writeFile(name string, data []byte) error {
	tmp := filepath.Join(j.dir, name+tmpSuffix)
	f, err := j.fs.Create(tmp)
	if err != nil {
		return failure.Wrap(err, failure.JournalFailed, "")
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = j.fs.Rename(tmp, filepath.Join(j.dir, name))
	}
	if err == nil {
		err = j.fs.SyncDir(j.dir)
	}
	if err != nil {
		return failure.Wrap(err, failure.JournalFailed, "")
	}
	return nil
}

// Close implements port.Journal.
func (j *Journal) Close() error {
	if j.wal == nil {
		return nil
	}
	return errors.Trace(j.wal.Close())
}
