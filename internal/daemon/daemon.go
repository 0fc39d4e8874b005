// Package daemon provides what the long-running programs share: flags, signals, exit codes and
// HTTP servers.
package daemon

import (
	"context"
	"crypto/tls"
	"expvar"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sesamefork/sesamefork/internal/daemon/hangup"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Exit codes of the programs.
const (
	ExitOK         = 0
	ExitFailure    = 1 // the program failed while it ran
	ExitUsage      = 2 // wrong flags
	ExitSettings   = 3 // the settings are invalid
	ExitUnfinished = 4 // a shutdown ended with requests unfinished
)

// Flags holds the command-line flags of every daemon.
type Flags struct {
	Settings string
	Check    bool
}

// ParseFlags adds the flags of f to set and parses the command line. It exits with ExitUsage if
// they are invalid.
func ParseFlags(set *flag.FlagSet, f *Flags) {
	set.StringVar(&f.Settings, "settings", "", "the TOML settings `file`")
	set.BoolVar(&f.Check, "check", false, "check the settings and exit")
	_ = set.Parse(os.Args[1:])
	if f.Settings == "" {
		fmt.Fprintln(os.Stderr, "-settings is required")
		os.Exit(ExitUsage)
	}
}

// Signals returns a context that is canceled at the first SIGTERM or SIGINT, and a channel that
// is closed at the second.
func Signals() (ctx context.Context, second <-chan struct{}) {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		<-ch
		cancel()
		<-ch
		close(done)
	}()
	return ctx, done
}

// Timeouts of the HTTP servers, against clients that send slowly.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 120 * time.Second
)

// NewHTTPServer returns a server for h and a listener on addr, with TLS unless tlsConfig is
// nil.
func NewHTTPServer(addr string, h http.Handler, tlsConfig *tls.Config) (*http.Server, net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.InvalidSettings, "")
	}
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}, ln, nil
}

// OnReload calls f at each SIGHUP until ctx ends, and for one that arrived since the start of the program.
func OnReload(ctx context.Context, f func()) {
	go func() {
		for {
			select {
			case <-hangup.Received():
				f()
			case <-ctx.Done():
				return
			}
		}
	}()
}

// DebugHandler returns a handler that serves counters and histograms at /debug/vars.
func DebugHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/debug/vars", expvar.Handler())
	return m
}

// abortTimeout is the time in which a request is refused after its context was canceled.
const abortTimeout = 100 * time.Millisecond

// Serve serves requests until ctx ends. It then accepts no more and answers those that were sent. After
// answerTime it cancels the contexts of requests that still run, so that their handlers refuse them.
func Serve(ctx context.Context, s *CallerServer, answerTime time.Duration) error {
	finished := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(finished)
		s.finishWithin(answerTime)
	})
	err := s.Serve()
	if !stop() {
		<-finished
	}
	return err
}

// HostIP returns the IP address of a host:port address, or nil if it has none.
func HostIP(addr string) net.IP {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}
