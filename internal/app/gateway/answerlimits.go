package gateway

import (
	"io"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// unreadTolerance is the time for which a stream may be left unread before its end says nothing of its server.
// Servers give up writes that make no progress for seconds.
const unreadTolerance = time.Second

// endsForMemory ends an attempt whose answer does not fit into the host's memory. The server is not at fault, so the
// attempt does not count as its failure.
func (g *Gateway) endsForMemory(err error, res *result) bool {
	if err != membudget.ErrSpent {
		return false
	}
	g.o.Metrics.Add("answers_not_held", 1)
	res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.CallerEnded, membudget.ErrSpent
	return true
}

// endsUnread ends an attempt whose stream broke off after it was left unread because its caller reads slowly. The
// server may have cut it off for that, so the attempt does not count as its failure.
func (g *Gateway) endsUnread(unread time.Duration, err error, res *result) bool {
	if err == nil || err == io.EOF || unread < unreadTolerance {
		return false
	}
	g.o.Metrics.Add("unread_streams_cut", 1)
	res.stage, res.outcome = retry.MidAnswer, dispatch.CallerEnded
	res.err = failure.New(failure.BackendLost, failure.Unknown, "the stream broke off after it was left unread for %d ms, as its caller reads slowly: %s", unread.Milliseconds(), err)
	return true
}

// endForwardAtLimit ends a forward whose answer is over a limit of this host.
func (g *Gateway) endForwardAtLimit(err error, res *result) {
	if g.endsForMemory(err, res) {
		return
	}
	res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.Failed, failure.As(err, failure.Unknown)
}
