package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
)

// TestPauseCauses guards against pauses that are attributed to a state in which the server was not.
func TestPauseCauses(t *testing.T) {
	usual := dispatch.StreamState{Requests: 5, Slots: 32, WorkFactor: 1, SteadyFactor: 1}
	for want, c := range map[pauseCause]struct {
		edit    func(*dispatch.StreamState)
		resumed bool
	}{
		causeUnknown:       {func(*dispatch.StreamState) {}, false},
		causeResumed:       {func(s *dispatch.StreamState) { s.WorkFactor = 3 }, true},
		causeSlowPeriod:    {func(s *dispatch.StreamState) { s.WorkFactor, s.PendingMS = 2.5, 300 }, false},
		causePromptPending: {func(s *dispatch.StreamState) { s.PendingMS = 200 }, false},
		causeSlowServer:    {func(s *dispatch.StreamState) { s.WorkFactor, s.SteadyFactor = 1.2, 1.2 }, false},
		causeCrowdedBatch:  {func(s *dispatch.StreamState) { s.Requests = 31 }, false},
	} {
		before := usual
		c.edit(&before)
		after := usual
		after.SteadyFactor = before.SteadyFactor
		if got := causeOf(before, after, c.resumed, 400*time.Millisecond); got != want {
			t.Errorf("cause %s, want %s", got, want)
		}
	}
}

// slowReader advances the clock before each event of a stream.
type slowReader struct {
	clock  *fakeClock
	waits  []time.Duration
	events []string
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.events) == 0 {
		return 0, io.EOF
	}
	r.clock.advance(r.waits[0])
	n := copy(p, r.events[0])
	r.waits, r.events = r.waits[1:], r.events[1:]
	return n, nil
}

// TestPausesAreLoggedOnce guards against pauses that are not logged, and against a line for each pause.
func TestPausesAreLoggedOnce(t *testing.T) {
	f := newFixture(t)
	rec := baseRecord()
	rec.Routes[0].GapTargetMS = 400
	f.install(8, rec)
	var lines []string
	f.g.o.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
		a := streamAnswer("", false)
		a.Body = io.NopCloser(&slowReader{f.clock, []time.Duration{time.Second, 500 * time.Millisecond, 700 * time.Millisecond}, []string{event1, event2, event3}})
		return a, true, nil
	}
	_ = f.g.Execute(context.Background(), f.request("/match/1"), &memorySink{})
	log := strings.Join(lines, "\n")
	if strings.Count(log, "stream paused") != 1 || !strings.Contains(log, `"pauses"=2 "longest_ms"=700`) {
		t.Errorf("want one line about two pauses, got %s", log)
	}
}

// slowSink advances the clock while it takes an event.
type slowSink struct {
	memorySink
	clock *fakeClock
}

func (s *slowSink) Data(b []byte) error {
	s.clock.advance(time.Second)
	return s.memorySink.Data(b)
}

// TestSlowCallerIsNoPause guards against pauses that are counted for a server while the caller did not read.
func TestSlowCallerIsNoPause(t *testing.T) {
	f := newFixture(t)
	rec := baseRecord()
	rec.Routes[0].GapTargetMS = 400
	f.install(8, rec)
	var log strings.Builder
	f.g.o.Log = funcr.New(func(_, args string) { log.WriteString(args) }, funcr.Options{})
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
		return streamAnswer(event1+event2+event3, false), true, nil
	}
	if err := f.g.Execute(context.Background(), f.request("/match/1"), &slowSink{clock: f.clock}); err != nil || strings.Contains(log.String(), "stream paused") {
		t.Errorf("failure %v, log %s", err, log.String())
	}
}
