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

// endlessFromBytes is the size from which an answer without a stated length, or an event, counts as its server's failure
// if the host has no memory for the rest. Three endless answers at once would otherwise never reach maxAnswerBytes in
// a budget of 36 MiB, and their server would not count as failing.
const endlessFromBytes = 512 << 10

// endsForMemory ends an attempt whose answer does not fit into the host's memory. unstated is the size of what has
// arrived, in bytes, or 0 for an answer that states its length.
func (g *Gateway) endsForMemory(err error, unstated int64, res *result) bool {
	if err != membudget.ErrSpent {
		return false
	}
	g.o.Metrics.Add("answers_not_held", 1)
	res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.CallerEnded, membudget.ErrSpent
	if unstated >= endlessFromBytes {
		res.outcome = dispatch.ConnectionFailed
	}
	return true
}

// endsUnread ends an attempt whose stream broke off after it was left unread because its caller reads slowly. The
// server may have cut it off for that, so the attempt does not count as its failure. An event over the limit does.
func (g *Gateway) endsUnread(unread time.Duration, err error, res *result) bool {
	if err == nil || err == io.EOF || err == errEventTooLong || unread < unreadTolerance {
		return false
	}
	g.o.Metrics.Add("unread_streams_cut", 1)
	res.stage, res.outcome = retry.MidAnswer, dispatch.CallerEnded
	res.err = failure.New(failure.BackendLost, failure.Unknown, "the stream broke off after it was left unread for %d ms, as its caller reads slowly: %s", unread.Milliseconds(), err)
	return true
}

// endForwardAtLimit ends a forward whose answer is over a limit of this host.
func (g *Gateway) endForwardAtLimit(err error, res *result) {
	if g.endsForMemory(err, 0, res) {
		return
	}
	res.stage, res.outcome, res.err = retry.MidAnswer, dispatch.Failed, failure.As(err, failure.Unknown)
}
