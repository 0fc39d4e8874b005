package gateway

import (
	"context"
	"testing"

	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// failingStream is a fakeStream that ends with an error.
type failingStream struct {
	fakeStream
	err error
}

func (s *failingStream) Recv() (*pb.ForwardFrame, error) {
	if len(s.list) == 0 {
		return nil, s.err
	}
	return s.fakeStream.Recv()
}

// TestForwardOverTheBudgetIsNoFailureOfItsHost guards against a host of another region that counts as failed, and a
// request that is sent again, because this host has no memory for data that is unread.
func TestForwardOverTheBudgetIsNoFailureOfItsHost(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		outcome dispatch.Outcome
		retried bool
	}{
		{"budget spent", membudget.ErrSpent, dispatch.CallerEnded, false},
		{"link broken", errors.New("reset"), dispatch.ConnectionFailed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			x, fail := f.g.begin(context.Background(), f.request("/stock/1"), &memorySink{})
			if fail != nil {
				t.Fatal(fail)
			}
			head := &pb.ForwardFrame{Frame: &pb.ForwardFrame_Head{Head: &pb.ForwardHead{Status: 200, Length: 1 << 20}}}
			stream := &failingStream{fakeStream{[]*pb.ForwardFrame{head}}, errors.Trace(c.err)}
			choice := &dispatch.Choice{Host: &dispatch.Host{ID: "e1"}}
			res := result{}
			f.g.readForward(x, choice, stream, &res, f.g.o.Clock.Now())
			if res.outcome != c.outcome || res.stage == retry.Answered || f.g.mayRetry(context.Background(), x, res) != c.retried {
				t.Errorf("ended at stage %d with outcome %d, %v", res.stage, res.outcome, res.err)
			}
		})
	}
}
