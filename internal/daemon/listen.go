package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/clientmem"
)

// listenRetryInterval is the pause between attempts to listen on an address.
const listenRetryInterval = 200 * time.Millisecond

// RetryListen calls listen until it succeeds, fails for a reason that does not pass by itself, or ctx ends. It logs the
// first failure. An address may be in use while another process ends, and it may be missing while the host's network
// starts.
func RetryListen[T any](ctx context.Context, log logr.Logger, addr string, listen func() (T, error)) (T, error) {
	logged := false
	attempt := func() (T, error) {
		v, err := listen()
		if err != nil && !mayPass(err) {
			return v, backoff.Permanent(err)
		}
		return v, err
	}
	notify := func(err error, _ time.Duration) {
		if !logged {
			log.Info("cannot listen; retrying", "address", addr, "reason", err.Error())
			logged = true
		}
	}
	return backoff.Retry(ctx, attempt,
		backoff.WithBackOff(backoff.NewConstantBackOff(listenRetryInterval)), backoff.WithMaxElapsedTime(0), backoff.WithNotify(notify))
}

// ListenForCallers returns a server as NewCallerServer does, and retries as RetryListen does.
func ListenForCallers(ctx context.Context, log logr.Logger, addr string, h http.Handler, tlsConfig *tls.Config) (*CallerServer, error) {
	return RetryListen(ctx, log, addr, func() (*CallerServer, error) { return NewCallerServer(addr, h, tlsConfig) })
}

// ServeOnceListening serves h on addr until ctx ends, as Serve does, once it can listen there. Its error is nil if ctx
// ends before that. It is for servers without which a program does its work, such as those for debugging. What its
// callers make the process hold is bounded by mem.
func ServeOnceListening(ctx context.Context, log logr.Logger, addr string, h http.Handler, answerTime time.Duration, mem *clientmem.Budget) error {
	s, err := ListenForCallers(ctx, log, addr, h, nil)
	if ctx.Err() != nil && err != nil {
		return nil
	}
	if err != nil {
		return err
	}
	s.Memory = mem
	return Serve(ctx, s, answerTime)
}

// mayPass reports whether an error of listen(2) may pass without a change of the settings.
func mayPass(err error) bool {
	for _, e := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
