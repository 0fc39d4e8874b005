// Package lateorder tells the orders of operators that wait for an answer from those that were given up. An order
// without a version takes effect whenever it is read: one that was given up, and sent to another host, must not take
// effect any more, as a later order may have been accepted since.
package lateorder

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Patience is the time after which operators' clients send an order to another host.
const Patience = time.Second

// endDelay is the time by which the end of a caller's connection may follow its order, where a proxy or an overloaded
// host has held both back.
const endDelay = 50 * time.Millisecond

// Check returns the failure of an order whose caller may have given it up; nil if the caller waits. waited is the time
// since the order was received, and ctx that of the call, which ends when its caller leaves. Of a call without a
// port.CallerConn only ctx is checked. Check takes endDelay: a replica must note the log index that it has applied before.
func Check(ctx context.Context, waited time.Duration) *failure.Error {
	c := port.CallerConnOf(ctx)
	if c == nil && ctx.Err() == nil {
		return nil
	}
	if c == nil || c.HasLeft() {
		return errLeft(waited)
	}
	sent, known := c.SentWithin()
	switch {
	case !known:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the order may have been sent long ago, as its connection has carried another call or its handshake was repeated: send it again on a new connection")
	case waited > Patience:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the order was received %d ms ago, over the limit of %d ms", waited.Milliseconds(), Patience.Milliseconds())
	case sent > Patience:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the order may have been sent %d ms ago, over the limit of %d ms", sent.Milliseconds(), Patience.Milliseconds())
	}
	select {
	case <-ctx.Done():
	case <-time.After(endDelay):
	}
	if ctx.Err() != nil || c.HasLeft() {
		return errLeft(waited)
	}
	return nil
}

func errLeft(waited time.Duration) *failure.Error {
	return failure.New(failure.Canceled, failure.NotRun, "the operator no longer waits for the order, which was received %d ms ago", waited.Milliseconds())
}
