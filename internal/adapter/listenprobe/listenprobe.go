// Package listenprobe checks whether a process listens on an address.
package listenprobe

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/sesamefork/sesamefork/internal/port"
)

// Dialer implements port.ListenProbe.
type Dialer struct {
	// Local is the address to dial from; nil for any.
	Local net.IP
}

// Listening implements port.ListenProbe. A refused connection shows that no process listens
// on addr. Without a response nothing is known, because the network path may be interrupted.
func (d Dialer) Listening(ctx context.Context, addr string) port.Listening {
	var dialer net.Dialer
	if d.Local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: d.Local}
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		_ = conn.Close()
		return port.Accepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return port.Refuses
	}
	return port.NoAnswer
}
