package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// TestNoRetryForWantOfMemory guards against a host that asks another server for an answer which does not fit into its
// memory, and against broken answers that are not retried while the budget is spent.
func TestNoRetryForWantOfMemory(t *testing.T) {
	const ample = 1 << 20
	large := strings.Repeat("x", 2*freeAnswerBytes)
	event := "data: " + large + "\n\n"
	for _, c := range []struct {
		name     string
		stream   bool
		budget   int64
		script   []attemptResult
		outcome  failure.Outcome
		attempts int
	}{
		{"answer", false, 1, []attemptResult{{body: large}}, failure.Unknown, 1},
		{"answer with room", false, ample, []attemptResult{{body: large}}, failure.Done, 1},
		{"event", true, 1, []attemptResult{{stream: true, body: event + lastEvent}}, failure.Unknown, 1},
		{"event with room", true, ample, []attemptResult{{stream: true, body: event + lastEvent}}, failure.Done, 1},
		{"small answer breaks off", false, 1, []attemptResult{{body: "{", broken: true}, {body: completeAnswer}}, failure.Done, 2},
		{"large answer breaks off", false, ample, []attemptResult{{body: large, broken: true}, {body: large}}, failure.Done, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &fakeBackends{script: c.script}
			h := newTestHost(t, b, noPeers{}, func(o *Options) { o.AnswerBudget = membudget.New(c.budget) })
			f := h.Execute(context.Background(), chat(c.stream), &memorySink{})
			check(t, f, c.outcome)
			if len(b.calls) != c.attempts || h.o.AnswerBudget.Used() != 0 {
				t.Errorf("%d attempts, want %d; %d bytes held at the end", len(b.calls), c.attempts, h.o.AnswerBudget.Used())
			}
		})
	}
}

// failingFrames is the answer of a forward that ends with an error.
type failingFrames struct{ err error }

func (f failingFrames) Recv() (*pb.ForwardFrame, error) { return nil, f.err }

// TestForwardOverTheBudgetIsNoFailureOfItsHost guards against an entry host that counts as failed, and a request that is
// forwarded again, because this host has no memory for data that is unread.
func TestForwardOverTheBudgetIsNoFailureOfItsHost(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		atFault bool
	}{
		{"budget spent", membudget.ErrSpent, false},
		{"link broken", errors.New("reset"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, &fakeBackends{}, noPeers{})
			x := &execution{r: chat(false), view: h.config.Load(), sink: &memorySink{}}
			stall := time.NewTimer(time.Hour)
			defer stall.Stop()
			res := h.readForward(context.Background(), x, &placement.Place{ServerID: "k"}, failingFrames{errors.Trace(c.err)}, stall)
			if res.connected == c.atFault || h.mayRetry(context.Background(), x, res) != c.atFault {
				t.Errorf("ended at stage %d with %v", res.stage, res.err)
			}
		})
	}
}
