package gateway

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/app/crashwatch"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// fakeProbe returns the same result for every address.
type fakeProbe port.Listening

func (p fakeProbe) Listening(context.Context, string) port.Listening { return port.Listening(p) }

// newCrashFixture returns a gateway with enough servers for each attempt to find another one.
// answer is the result of connecting to any of them.
func newCrashFixture(t *testing.T, answer port.Listening) *fixture {
	f := newFixture(t)
	f.g.o.CrashWatch = crashwatch.New(crashwatch.Options{
		AnnounceEvery: time.Second, Probe: fakeProbe(answer), Clock: f.clock, Log: logr.Discard(), Metrics: noMetrics{},
	})
	f.view(sixDeskServers)
	return f
}

// sixDeskServers edits a view to hold six servers of service desk, and no other region.
func sixDeskServers(v *pb.FleetView) {
	v.Hosts, v.Regions = nil, nil
	for _, n := range []string{"3", "4", "5", "6"} {
		v.Servers = append(v.Servers, &pb.FleetServer{Id: "desk" + n, Service: "desk", Address: "10.1.1." + n + ":80", FailureDomain: "w1", Sequence: 1, Slots: 8})
	}
}

// crashCount returns the number of servers recorded as crashed while running the request.
func (f *fixture) crashCount(path string) int {
	records, _ := f.g.o.CrashWatch.Since(0, 100, quarantine.AllRecords)
	want := fingerprintOf(f.request(path), nil)
	for _, r := range records {
		if string(r.Fingerprint) == string(want[:]) {
			return len(r.Server)
		}
	}
	return 0
}

// TestWhatCountsAsCrash checks for each outcome of an attempt whether the server is recorded as
// crashed while running the request.
func TestWhatCountsAsCrash(t *testing.T) {
	reset := errors.New("connection reset")
	for _, c := range []struct {
		name   string
		path   string
		listen port.Listening
		answer func() (*Answer, bool, error)
		before func(f *fixture, cancel func())
		want   int
	}{
		{"lost, no process listens", "/stock/1", port.Refuses, failed(true, reset), nil, 1},
		{"broken off within the answer, no process listens", "/stock/1", port.Refuses,
			func() (*Answer, bool, error) { return streamAnswer("half", true), true, nil }, nil, 1},
		{"lost, a process listens", "/stock/1", port.Accepts, failed(true, reset), nil, 0},
		{"lost, the address does not answer", "/stock/1", port.NoAnswer, failed(true, reset), nil, 0},
		{"never sent", "/stock/1", port.Refuses, failed(false, reset), nil, 0},
		{"refused by the server", "/stock/1", port.Refuses, answered(notRunAnswer(NotRun)), nil, 0},
		{"the server's own failure", "/stock/1", port.Refuses, answered(ranAnswer(500, "bad")), nil, 0},
		{"an answer without the server's signature", "/stock/1", port.Refuses, answered(notRunAnswer(Unverified)), nil, 0},
		{"the caller left", "/stock/1", port.Refuses, failed(true, reset), func(_ *fixture, cancel func()) { cancel() }, 0},
		{"the server was leaving", "/stock/1", port.Refuses, failed(true, reset), func(f *fixture, _ func()) {
			f.view(func(v *pb.FleetView) {
				for _, s := range v.Servers {
					s.Leaving = true
				}
			})
		}, 0},
		{"the server had left", "/stock/1", port.Refuses, failed(true, reset), func(f *fixture, _ func()) {
			for _, id := range []string{"desk1", "desk2", "desk3", "desk4", "desk5", "desk6"} {
				f.g.fleet.MarkGone(id, 0, f.clock.Now())
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCrashFixture(t, c.listen)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f.backends.answer = func(n int, _ *Attempt) (*Answer, bool, error) {
				if n > 1 {
					return notRunAnswer(NotRun), true, nil
				}
				if c.before != nil {
					c.before(f, cancel)
				}
				return c.answer()
			}
			f.g.Execute(ctx, f.request(c.path), &memorySink{})
			if got := f.crashCount(c.path); got != c.want {
				t.Errorf("%d crashes recorded, want %d", got, c.want)
			}
		})
	}
}

// TestCrashingRequestIsRefused sends a request that crashes every server repeatedly, under new
// IDs. After three crashes it must be refused at once, as not run and without a Retry-After,
// while another caller's request is served.
func TestCrashingRequestIsRefused(t *testing.T) {
	f := newCrashFixture(t, port.Refuses)
	f.backends.answer = func(_ int, a *Attempt) (*Answer, bool, error) {
		if string(a.Request.Body) == "crash" {
			return nil, true, io.ErrUnexpectedEOF
		}
		return ranAnswer(200, "ok"), true, nil
	}
	crash := func() *failure.Error {
		f.clock.advance(300 * time.Millisecond)
		r := f.request("/stock/1")
		r.Body = []byte("crash")
		return f.g.Execute(context.Background(), r, &memorySink{})
	}
	if got := crash(); got == nil || got.Code != failure.BackendLost || got.Outcome != failure.Unknown {
		t.Errorf("the first one ended with %v", got)
	}
	if got := len(f.backends.sent()); got != 2 {
		t.Errorf("%d servers were reached by the first one, want 2", got)
	}
	if got := crash(); got == nil || got.Outcome != failure.Unknown {
		t.Errorf("the second one ended with %v", got)
	}
	if got := crash(); got == nil || got.Code != failure.Suspected || got.Outcome != failure.NotRun || got.RetryAfter == 0 {
		t.Errorf("a repeat just after the third crash ended with %+v", got)
	}
	f.clock.advance(2 * time.Second)
	reached := len(f.backends.sent())
	for range 5 {
		got := crash()
		if got == nil || got.Code != failure.Quarantined || got.Outcome != failure.NotRun || got.RetryAfter != 0 {
			t.Fatalf("a repeat ended with %+v", got)
		}
	}
	if got := len(f.backends.sent()); got != reached || reached != 3 {
		t.Errorf("%d servers were reached, %d of them by repeats; want 3 and none", got, got-reached)
	}
	other := f.request("/stock/1")
	other.Body = []byte("crash")
	other.Header.Set("Authorization", "Bearer other")
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ranAnswer(200, "ok"), true, nil }
	if got := f.g.Execute(context.Background(), other, &memorySink{}); got != nil {
		t.Errorf("another caller's request ended with %v", got)
	}
}

// TestRequestThatWasServedIsNoCause sends a request that has been answered before and is in
// progress at three servers that end at the same moment, as one that many callers send. No crash
// may be recorded for it.
func TestRequestThatWasServedIsNoCause(t *testing.T) {
	f := newCrashFixture(t, port.Refuses)
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ranAnswer(200, "ok"), true, nil }
	if got := f.g.Execute(context.Background(), f.request("/stock/1"), &memorySink{}); got != nil {
		t.Fatal(got)
	}
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return nil, true, io.ErrUnexpectedEOF }
	for range 3 {
		f.g.Execute(context.Background(), f.request("/stock/1"), &memorySink{})
	}
	if got := f.crashCount("/stock/1"); got != 0 {
		t.Errorf("%d crashes recorded, want none", got)
	}
}

// TestVerdictsOfOtherHosts receives quarantine records with a control host's view, and sends this
// host's own records with the next sync request; a control host that has restarted gets all.
func TestVerdictsOfOtherHosts(t *testing.T) {
	f := newCrashFixture(t, port.Refuses)
	crashing := fingerprintOf(f.request("/stock/9"), nil)
	var sentRecords [][]*pb.QuarantineRecord
	epoch := uint64(1)
	f.peers.response = func(req *pb.Request) *pb.Response {
		sentRecords = append(sentRecords, req.GetFleetSync().Quarantine)
		v := &pb.FleetView{Epoch: epoch, Version: 1, HomeRegion: "west", HomeDomain: "w1", QuarantineNext: 5}
		v.Quarantine = []*pb.QuarantineRecord{{Fingerprint: crashing[:], Server: []uint64{1, 2, 3}, AgeS: []uint32{9, 6, 3}, Service: "desk"}}
		return &pb.Response{Body: &pb.Response_FleetView{FleetView: v}}
	}
	c := &controlHost{addr: "10.1.0.9:7"}
	sync := func() {
		if _, err := f.g.syncOnce(context.Background(), c, true); err != nil {
			t.Fatal(err)
		}
	}
	sync()
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ranAnswer(200, "ok"), true, nil }
	if got := f.g.Execute(context.Background(), f.request("/stock/9"), &memorySink{}); got == nil || got.Code != failure.Quarantined {
		t.Errorf("a request that other hosts quarantined ended with %v", got)
	}
	f.view(nil)
	f.backends.answer = failedAlways
	f.g.Execute(context.Background(), f.request("/stock/1"), &memorySink{})
	sync()
	if got := sentRecords[len(sentRecords)-1]; len(got) != 1 {
		t.Errorf("%d records sent, want the one recorded here", len(got))
	}
	sync()
	if got := sentRecords[len(sentRecords)-1]; len(got) != 0 {
		t.Errorf("%d records sent again", len(got))
	}
	epoch = 2 // the control host has restarted
	sync()
	sync()
	if got := sentRecords[len(sentRecords)-1]; len(got) != 2 {
		t.Errorf("%d records sent to a control host that has restarted, want all 2", len(got))
	}
}

func failedAlways(int, *Attempt) (*Answer, bool, error) { return nil, true, io.ErrUnexpectedEOF }
