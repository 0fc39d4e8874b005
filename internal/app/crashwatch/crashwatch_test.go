package crashwatch

import (
	"context"
	"fmt"
	"sync"
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

// TestAnnouncementConfirmsNoOpenAnswer guards against a crash that counts as an answer because an announcement arrives late.
func TestAnnouncementConfirmsNoOpenAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Options{AnnounceEvery: time.Second, Clock: port.SystemClock{}, Log: logr.Discard(), Metrics: noMetrics{}})
		subjects := quarantine.Subjects{Request: quarantine.Fingerprint{1}}
		crashed := quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: "crashed", StartID: 1}, Address: "a"}
		answered := quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: "answered", StartID: 1}, Address: "b"}
		w.RecordCrash(crashed, subjects, quarantine.Evidence{})
		w.RecordOpenAnswer(answered, subjects, quarantine.Evidence{})
		w.Settle(t.Context())
		time.Sleep(10 * time.Second)
		w.ObserveAnnouncements([]quarantine.Announcement{{Process: answered.Process, Address: answered.Address, ReceivedAt: time.Now()}})
		if records, _ := w.Since(0, 10, quarantine.AllRecords); len(records) != 1 || len(records[0].Server) != 1 {
			t.Errorf("records %v, want the crash to count", records)
		}
		w.RecordResponse(answered.Process, time.Now())
		if records, _ := w.Since(0, 10, quarantine.AllRecords); len(records) != 1 || len(records[0].Server) != 0 {
			t.Errorf("records %v, want the crash cleared by a response to a later attempt", records)
		}
	})
}

// countingProbe counts the checks; the servers accept connections.
type countingProbe struct{ addresses sync.Map }

func (p *countingProbe) Listening(_ context.Context, addr string) port.Listening {
	p.addresses.Store(addr, true)
	return port.Accepts
}

// TestOpenAnswersBeyondTheBoundAreNotChecked guards against checks of servers without a bound.
func TestOpenAnswersBeyondTheBoundAreNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probe := &countingProbe{}
		w := New(Options{AnnounceEvery: time.Second, Probe: probe, Clock: port.SystemClock{}, Log: logr.Discard(), Metrics: noMetrics{}})
		for i := range 2 * quarantine.MaxOpenAnswers {
			id := fmt.Sprint("s", i)
			w.RecordOpenAnswer(quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: id}, Address: id}, quarantine.Subjects{}, quarantine.Evidence{})
		}
		w.Settle(t.Context())
		checked := 0
		probe.addresses.Range(func(any, any) bool { checked++; return true })
		if checked != quarantine.MaxOpenAnswers {
			t.Errorf("%d servers checked, want %d", checked, quarantine.MaxOpenAnswers)
		}
	})
}
