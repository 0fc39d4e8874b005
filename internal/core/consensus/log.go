package consensus

import (
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// replicaLog is the last snapshot and the log entries after it. entries[i] has
// index snapIndex+1+i.
type replicaLog struct {
	snapIndex   uint64
	snapTerm    uint64
	snapMembers *pb.RaftMembers
	snapData    []byte
	entries     []*pb.RaftEntry
	stable      uint64 // last index reported durable
	commit      uint64
	applied     uint64 // last index handed out by Ready
}

func (l *replicaLog) last() uint64 { return l.snapIndex + uint64(len(l.entries)) }

func (l *replicaLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index. It returns false if the entry was
// compacted or is beyond the end of the log.
func (l *replicaLog) term(index uint64) (uint64, bool) {
	if index == l.snapIndex {
		return l.snapTerm, true
	}
	if index < l.snapIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snapIndex-1].Term, true
}

func (l *replicaLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from index low on, up to maxBytes of data but at least
// one entry.
func (l *replicaLog) slice(low uint64, maxBytes int) []*pb.RaftEntry {
	if low <= l.snapIndex || low > l.last() {
		return nil
	}
	from := l.entries[low-l.snapIndex-1:]
	size := 0
	for i, e := range from {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return from[:i:i]
		}
	}
	return from[:len(from):len(from)]
}

// between returns the entries in (low, high].
func (l *replicaLog) between(low, high uint64) []*pb.RaftEntry {
	low = max(low, l.snapIndex)
	if high <= low {
		return nil
	}
	return l.entries[low-l.snapIndex : high-l.snapIndex : high-l.snapIndex]
}

// merge skips the entries already in the log and appends the others. It removes a
// conflicting tail of the log first, but never a committed entry.
func (l *replicaLog) merge(entries []*pb.RaftEntry) {
	for i, e := range entries {
		if e.Index <= l.commit || l.matches(e.Index, e.Term) {
			continue
		}
		l.truncate(e.Index)
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

// truncate removes the entries from index on.
func (l *replicaLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	keep := index - l.snapIndex - 1
	l.entries = append([]*pb.RaftEntry(nil), l.entries[:keep]...)
	l.stable = min(l.stable, index-1)
}

// compact replaces the entries up to index by a snapshot with the state data.
func (l *replicaLog) compact(index uint64, members *pb.RaftMembers, data []byte) {
	t, ok := l.term(index)
	if !ok || index <= l.snapIndex {
		return
	}
	l.entries = append([]*pb.RaftEntry(nil), l.entries[index-l.snapIndex:]...)
	l.snapIndex, l.snapTerm, l.snapMembers, l.snapData = index, t, members, data
}

// reset replaces the whole log with a snapshot.
func (l *replicaLog) reset(s Snapshot) {
	l.entries = nil
	l.snapIndex, l.snapTerm, l.snapMembers, l.snapData = s.Index, s.Term, s.Members, s.Data
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
}

// members returns the members in force and the index of the entry or snapshot that
// set them.
func (l *replicaLog) members() (*pb.RaftMembers, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if e := l.entries[i]; EntryType(e.Type) == EntryMembers {
			return decodeMembers(e.Data), e.Index
		}
	}
	return l.snapMembers, l.snapIndex
}

// membersAt returns the members in force at index.
func (l *replicaLog) membersAt(index uint64) *pb.RaftMembers {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := l.entries[i]
		if e.Index <= index && EntryType(e.Type) == EntryMembers {
			return decodeMembers(e.Data)
		}
	}
	return l.snapMembers
}
