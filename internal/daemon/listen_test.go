package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/failure"
)

func listenError(err error) error {
	return failure.Wrap(&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", err)}, failure.InvalidSettings, "")
}

// TestListenIsRetriedWhileTheReasonMayPass guards against a program that ends at its start because another one still
// uses its address.
func TestListenIsRetriedWhileTheReasonMayPass(t *testing.T) {
	cases := []struct {
		err   error
		calls int
	}{
		{listenError(syscall.EADDRINUSE), 2}, {listenError(syscall.EADDRNOTAVAIL), 2}, {listenError(syscall.EMFILE), 2},
		{listenError(syscall.EACCES), 1}, {failure.New(failure.InvalidSettings, "", "missing port in address"), 1},
	}
	for _, c := range cases {
		calls := 0
		_, err := RetryListen(t.Context(), logr.Discard(), "x", func() (int, error) {
			if calls++; calls == 1 {
				return 0, c.err
			}
			return 0, nil
		})
		if calls != c.calls || (err == nil) != (c.calls > 1) {
			t.Errorf("%v: %d attempts, want %d; %v", c.err, calls, c.calls, err)
		}
	}
}

func TestListenIsNotRetriedAfterAStop(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	_, err := RetryListen(ctx, logr.Discard(), "x", func() (int, error) {
		calls++
		cancel()
		return 0, listenError(syscall.EADDRINUSE)
	})
	if calls != 1 || err == nil {
		t.Errorf("%d attempts, %v", calls, err)
	}
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v, want %v", err, context.Canceled)
	}
}

// TestDebugServerDoesNotKeepAProgramFromStopping checks that a server whose address stays in use ends with its context.
func TestDebugServerDoesNotKeepAProgramFromStopping(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = held.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := ServeOnceListening(ctx, logr.Discard(), held.Addr().String(), http.NotFoundHandler(), 0, nil); err != nil {
		t.Errorf("ended with %v", err)
	}
}
