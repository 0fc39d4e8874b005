package peerlink

import (
	"fmt"
	"testing"
	"time"
)

// TestAWholeWindowPassesInARoundTrip guards against answers between regions that take twice as long because the reader
// returns only half of the window in a round trip, depending on the size of the answer's frames.
func TestAWholeWindowPassesInARoundTrip(t *testing.T) {
	const answer = 2 << 20
	// Four windows hold the answer's data, and a fifth the heads of its frames.
	const want = answer/maxStreamWindow + 1
	for _, frame := range []int{10_000, 64 << 10, 256 << 10, answer} {
		t.Run(fmt.Sprintf("frames of %d bytes", frame), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				x := &exchange{id: "whole", chunks: answer / frame, chunkSize: frame}
				h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive})
				h.handler.exchanges[x.id] = x
				began := time.Now()
				h.ask(x)
				h.asked.Wait()
				if trips := time.Since(began) / (2 * regionDelay); trips > want {
					t.Errorf("the answer took %d round trips, want at most %d", trips, want)
				}
				h.stop()
				h.end()
				for _, f := range h.failures() {
					t.Error(f)
				}
			})
		})
	}
}
