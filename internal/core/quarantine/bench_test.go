package quarantine

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
)

// BenchmarkFingerprint measures the fingerprinting cost of each request by body size.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 800, 12_800} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			i := Identity{Caller: "team", Method: "POST", Host: "parts.example", Target: "/chat/113/d19e", Body: make([]byte, size)}
			for b.Loop() {
				i.Fingerprint()
			}
		})
	}
}

// BenchmarkServed measures the cost of recording an answer.
func BenchmarkServed(b *testing.B) {
	t := newTable("h")
	f := make([]Fingerprint, 4096)
	for n := range f {
		f[n] = request(n)
	}
	for n := 0; b.Loop(); n++ {
		t.RecordAnswer(f[n%len(f)], start)
	}
}

// BenchmarkFullTable reports the heap bytes per fingerprint of a table at its default capacity,
// and the encoded size of one record.
func BenchmarkFullTable(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := New(Options{Host: "h"})
	for n := range DefaultCapacity {
		t.crashAt(request(n), 1, start)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	records, _ := t.Since(0, 1, AllRecords, start)
	for b.Loop() {
		t.Since(t.Revision(), 1, AllRecords, start)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(t.Len()), "B/request")
	b.ReportMetric(float64(proto.Size(records[0])), "B/message")
}
