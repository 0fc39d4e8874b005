package port

import (
	"context"
	"time"
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
