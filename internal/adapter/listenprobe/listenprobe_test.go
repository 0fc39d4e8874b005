package listenprobe

import (
	"context"
	"net"
	"testing"

	"github.com/sesamefork/sesamefork/internal/port"
)

// TestListening asks an address with a listener, one without, and without waiting for an answer.
func TestListening(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr, d := ln.Addr().String(), Dialer{Local: net.IPv4(127, 0, 0, 1)}
	if got := d.Listening(context.Background(), addr); got != port.Accepts {
		t.Errorf("with a listener: %s", got)
	}
	_ = ln.Close()
	if got := d.Listening(context.Background(), addr); got != port.Refuses {
		t.Errorf("without a listener: %s", got)
	}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if got := d.Listening(over, addr); got != port.NoAnswer {
		t.Errorf("when the time is over: %s", got)
	}
}
