package port

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// CallerConn is the connection on which a call arrived.
type CallerConn interface {
	// HasLeft reports whether the caller has closed its end, even if that is unread.
	HasLeft() bool
	// UnreadFor returns how long ago the last bytes of the caller arrived in the socket. At the start of a call
	// without a body, this is how long the call waited there.
	UnreadFor() time.Duration
	// SentWithin returns a time within which the caller has sent the call, however long the network or this process
	// delayed it: the caller was there when the connection was established. It is not known for a later call on a
	// connection.
	SentWithin() (d time.Duration, known bool)
}

type callerConnKey struct{}

// WithCallerConn returns ctx with the connection of the call that it belongs to.
func WithCallerConn(ctx context.Context, c CallerConn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// CallerConnOf returns the connection of the call that ctx belongs to; nil for none.
func CallerConnOf(ctx context.Context) CallerConn {
	c, _ := ctx.Value(callerConnKey{}).(CallerConn)
	return c
}

// OrderPatience is the time after which operators' clients send an order to another host.
const OrderPatience = time.Second

// CheckOrderTime returns the failure of an order whose caller may have given it up already, and sent it elsewhere:
// an order without a version must not take effect then, as a later one may have been accepted. waited is the time
// since the order was received; c may be nil.
func CheckOrderTime(c CallerConn, waited time.Duration) error {
	if c == nil {
		return nil
	}
	sent, known := c.SentWithin()
	switch {
	case c.HasLeft():
		return failure.New(failure.Canceled, failure.NotRun, "the operator no longer waits for the order, which was received %d ms ago", waited.Milliseconds())
	case !known:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the order may have been sent long ago, as its connection has carried another call or its handshake was repeated: send it again on a new connection")
	case waited > OrderPatience:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the order was received %d ms ago, over the limit of %d ms", waited.Milliseconds(), OrderPatience.Milliseconds())
	case sent > OrderPatience:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the order may have been sent %d ms ago, over the limit of %d ms", sent.Milliseconds(), OrderPatience.Milliseconds())
	}
	return nil
}
