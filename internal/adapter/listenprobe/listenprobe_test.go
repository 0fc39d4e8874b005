package listenprobe

import (
	"context"
	"net"
	"testing"

	"github.com/sesamefork/sesamefork/internal/port"
)

// TestListening probes an address with a listener, one without, and one with a canceled context.
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
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if got := d.Listening(canceled, addr); got != port.NoAnswer {
		t.Errorf("with a canceled context: %s", got)
	}
}
