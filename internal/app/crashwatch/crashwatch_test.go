package crashwatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/port"
)

// endingServer accepts connections at the first probe and refuses them later.
type endingServer struct{ probes atomic.Int32 }

func (s *endingServer) Listening(context.Context, string) port.Listening {
	if s.probes.Add(1) == 1 {
		return port.Accepts
	}
	return port.Refuses
}

type noMetrics struct{}

func (noMetrics) Add(string, int64)             {}
func (noMetrics) Observe(string, time.Duration) {}

// TestSettledWatchHasAllEvidence guards against evidence that a host which stops does not hand over, as the
// check of the server goes on when the request has ended.
func TestSettledWatchHasAllEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Options{AnnounceEvery: time.Second, Probe: &endingServer{}, Clock: port.SystemClock{}, Log: logr.Discard(), Metrics: noMetrics{}})
		w.RecordBreakLater(quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: "s", StartID: 1}, Address: "a"}, quarantine.Subjects{}, quarantine.Evidence{})
		w.Settle(t.Context())
		if records, _ := w.Since(0, 10, quarantine.AllRecords); len(records) != 1 {
			t.Errorf("%d records, want 1", len(records))
		}
		w.Settle(t.Context()) // returns at once
	})
}
