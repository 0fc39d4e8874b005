package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestOriginsReachAllLogs checks that the origins that hosts report are known to every control host after
// exchanges in any order, and that none is ever another one's.
func TestOriginsReachAllLogs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const logs = 3
		hosts, control := [logs]*Log{}, [logs]*Log{}
		sent := [logs]uint64{}
		cursors := map[[2]int]uint64{}
		for i := range logs {
			hosts[i], control[i] = NewLog(), NewLog()
		}
		want := map[uint64]Origin{}
		now := start
		report := func(i int) {
			m, next := hosts[i].Since(sent[i], FromEntryHost)
			control[i].Merge(m, FromEntryHost, now)
			sent[i] = next
		}
		exchange := func(from, to int) {
			m, next := control[from].Since(cursors[[2]int{from, to}], FromEntryHost)
			control[to].Merge(m, FromElsewhere, now)
			if rapid.Bool().Draw(t, "acknowledged") {
				cursors[[2]int{from, to}] = next
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			i, j := rapid.IntRange(0, logs-1).Draw(t, "i"), rapid.IntRange(0, logs-1).Draw(t, "j")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				id := Key(fmt.Sprint(len(want)))
				o := Origin{"llm", fmt.Sprint("v", rapid.IntRange(0, 2).Draw(t, "release"))}
				want[id] = o
				hosts[i].Record(id, o, FromEntryHost, now)
			case 1:
				report(i)
			case 2:
				if i != j {
					exchange(i, j)
				}
			case 3: // a control host restarts, and its hosts report again
				control[i], sent[i] = NewLog(), 0
				for k := range logs {
					delete(cursors, [2]int{i, k})
					delete(cursors, [2]int{k, i})
				}
			}
		}
		for i := range logs {
			report(i)
		}
		for i := range logs {
			for j := range logs {
				if i != j {
					exchange(i, j)
				}
			}
		}
		for i, c := range control {
			for id, o := range want {
				if got, ok := c.Origin(id); !ok || got != o {
					t.Fatalf("control host %d has %+v (%v) for a stream of %+v", i, got, ok, o)
				}
			}
		}
	})
}

// TestOriginsAreKeptForTheirRetention checks when origins are dropped, and that one that is recorded again is
// kept for longer.
func TestOriginsAreKeptForTheirRetention(t *testing.T) {
	l := NewLog()
	o := Origin{"llm", "v1"}
	l.Record(1, o, FromEntryHost, start)
	l.Record(2, o, FromEntryHost, start)
	l.Record(1, Origin{"llm", "v2"}, FromEntryHost, start.Add(20*time.Second))
	l.Expire(30*time.Second, start.Add(31*time.Second))
	if got, ok := l.Origin(1); !ok || got != o {
		t.Errorf("origin %+v (%v), want %+v", got, ok, o)
	}
	if _, ok := l.Origin(2); ok {
		t.Error("an origin was kept beyond its retention")
	}
	if m, next := l.Since(0, FromEntryHost); len(m.GetStream()) != 1 || next != 3 {
		t.Errorf("%v up to %d", m, next)
	}
}

// TestLogIsBounded checks the numbers of origins in a log and in a message.
func TestLogIsBounded(t *testing.T) {
	l := NewLog()
	for i := range uint64(maxEntries + 10) {
		l.Record(i, Origin{"llm", "v1"}, FromEntryHost, start)
	}
	if _, ok := l.Origin(9); ok || len(l.entries) != maxEntries || len(l.latest) != maxEntries {
		t.Errorf("%d entries, %d streams", len(l.entries), len(l.latest))
	}
	if m, next := l.Since(0, FromEntryHost); len(m.Stream) != maxBatch || next != 10+maxBatch {
		t.Errorf("%d origins up to %d", len(m.Stream), next)
	}
}

// BenchmarkMessage reports the bytes of a message for each stream in it.
func BenchmarkMessage(b *testing.B) {
	for _, streams := range []int{1, 5, 100} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			l := NewLog()
			for i := range streams {
				l.Record(Key(fmt.Sprint(i)), Origin{"sesame-pool", "v1.1"}, FromEntryHost, start)
			}
			size := 0
			for range b.N {
				m, _ := l.Since(0, FromEntryHost)
				size = proto.Size(m)
			}
			b.ReportMetric(float64(size)/float64(streams), "bytes/stream")
		})
	}
}

// TestUnknownOriginOverrides guards against streams that are taken up at a release of which it has turned out that it may
// not have begun them.
func TestUnknownOriginOverrides(t *testing.T) {
	host, control := NewLog(), NewLog()
	known := Origin{"llm", "v1"}
	host.Record(1, known, FromEntryHost, start)
	send := func(position uint64, now time.Time) uint64 {
		m, next := host.Since(position, FromEntryHost)
		control.Merge(m, FromEntryHost, now)
		return next
	}
	position := send(0, start)
	if o, _ := control.Origin(1); o != known {
		t.Fatalf("origin %+v", o)
	}
	host.Record(1, Unknown, FromEntryHost, start.Add(time.Millisecond))
	send(position, start.Add(time.Millisecond))
	for i, l := range []*Log{host, control} {
		l.Record(1, known, FromElsewhere, start.Add(time.Second)) // a late record
		if o, ok := l.Origin(1); !ok || o != Unknown {
			t.Errorf("log %d: origin %+v, known %t", i, o, ok)
		}
	}
}
