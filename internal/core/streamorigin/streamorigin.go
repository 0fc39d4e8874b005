// Package streamorigin keeps the origins of callers' streams: the service and the release of the server
// that wrote a stream's first event. What servers of two releases write does not fit together, so a
// stream goes on only at its release, also if its caller takes it up at another entry host.
//
// Entry hosts record the origins of the streams that they begin, and control hosts collect them. The
// package does no I/O and reads no clock.
//
// Invariants:
//   - The origin of a stream never changes, but for Unknown, which overrides any other one for good.
//   - A log holds an origin for its retention at least after it was last recorded, unless the log is full.
package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Origin is what servers of a stream have in common.
type Origin struct {
	Service string
	Release string // software version; "" for servers that state none, which count as one release
}

// Unknown is the origin of a stream that may have begun at another process than the one that was taken for its server.
var Unknown = Origin{}

// Key returns the key of the stream that the caller's attempt with an ID began.
func Key(attemptID string) uint64 { return xxhash.Sum64String(attemptID) }

// Source states from whom a control host has an origin.
type Source int

// Sources. Each of them includes those before it.
const (
	FromEntryHost     Source = iota // an entry host that reports to this control host
	FromFailureDomain               // another control host of the failure domain
	FromElsewhere                   // a control host of another failure domain
)

// Bounds of a Log.
const (
	// maxEntries bounds the origins that are kept; the oldest are dropped.
	maxEntries = 1 << 17
	// maxBatch bounds the origins in one message.
	maxBatch = 1 << 12
)

// Log holds origins in the order in which they were recorded. It is not safe for concurrent use.
type Log struct {
	first   uint64 // position of the first entry
	entries []entry
	latest  map[uint64]uint64 // position of a stream's last entry, by key
}

type entry struct {
	stream uint64
	origin Origin
	source Source
	at     time.Time
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{latest: map[uint64]uint64{}} }

// Record appends the origin of a stream, also if it is known, so that it is kept for longer.
func (l *Log) Record(stream uint64, o Origin, source Source, now time.Time) {
	if known, ok := l.Origin(stream); ok && o != Unknown {
		o = known
	}
	l.latest[stream] = l.next()
	l.entries = append(l.entries, entry{stream, o, source, now})
	if len(l.entries) > maxEntries {
		l.drop(len(l.entries) - maxEntries)
	}
}

// Origin returns the origin of a stream, and whether it is known.
func (l *Log) Origin(stream uint64) (Origin, bool) {
	at, ok := l.latest[stream]
	if !ok {
		return Origin{}, false
	}
	return l.entries[at-l.first].origin, true
}

// Expire drops the origins that were last recorded longer ago than retention.
func (l *Log) Expire(retention time.Duration, now time.Time) {
	n := 0
	for n < len(l.entries) && now.Sub(l.entries[n].at) > retention {
		n++
	}
	l.drop(n)
}

// drop drops the n oldest entries.
func (l *Log) drop(n int) {
	for i, e := range l.entries[:n] {
		if l.latest[e.stream] == l.first+uint64(i) {
			delete(l.latest, e.stream)
		}
	}
	l.entries = l.entries[n:]
	l.first += uint64(n)
}

func (l *Log) next() uint64 { return l.first + uint64(len(l.entries)) }

// Since returns the next origins from a position on that came from a source up to the given one, and the
// position for the next call. A position that this log has not reached yields all of them.
func (l *Log) Since(position uint64, upTo Source) (m *pb.StreamOrigins, next uint64) {
	if position > l.next() {
		position = 0
	}
	e := encoder{index: map[Origin]uint32{}}
	for position = max(position, l.first); position < l.next() && len(e.m.Stream) < maxBatch; position++ {
		if entry := l.entries[position-l.first]; entry.source <= upTo {
			e.add(entry)
		}
	}
	if len(e.m.Stream) == 0 {
		return nil, position
	}
	return &e.m, position
}

// encoder encodes origins, each of which is written once in a message.
type encoder struct {
	m     pb.StreamOrigins
	index map[Origin]uint32
}

func (e *encoder) add(x entry) {
	i, ok := e.index[x.origin]
	if !ok {
		i = uint32(len(e.m.Service))
		e.index[x.origin] = i
		e.m.Service = append(e.m.Service, x.origin.Service)
		e.m.Release = append(e.m.Release, x.origin.Release)
	}
	e.m.Stream = append(e.m.Stream, x.stream)
	e.m.Origin = append(e.m.Origin, i)
}

// Merge records the origins of a message that are not known. Entries without a valid origin are ignored.
func (l *Log) Merge(m *pb.StreamOrigins, source Source, now time.Time) {
	for i, stream := range m.GetStream() {
		if i >= len(m.Origin) || int(m.Origin[i]) >= min(len(m.Service), len(m.Release)) {
			continue
		}
		o := Origin{m.Service[m.Origin[i]], m.Release[m.Origin[i]]}
		if at, ok := l.latest[stream]; ok && l.entries[at-l.first].source <= source && now.Sub(l.entries[at-l.first].at) < time.Second &&
			(o != Unknown || l.entries[at-l.first].origin == Unknown) {
			continue // the same record, received again
		}
		l.Record(stream, o, source, now)
	}
}
