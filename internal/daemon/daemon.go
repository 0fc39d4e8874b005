// Package daemon holds what the long-running binaries share: flags, signals and
// the HTTP server's life.
package daemon

import (
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Exit codes of the binaries.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the process failed while it ran
	ExitUsage    = 2 // wrong flags
	ExitSettings = 3 // the settings are invalid
	ExitCut      = 4 // a shutdown ended before all requests were finished
)

// Flags are the flags of every daemon.
type Flags struct {
	Settings string
	Check    bool
}

// ParseFlags reads the command line.
func ParseFlags(set *flag.FlagSet, f *Flags) {
	set.StringVar(&f.Settings, "settings", "", "the TOML settings `file`")
	set.BoolVar(&f.Check, "check", false, "check the settings and exit")
	_ = set.Parse(os.Args[1:])
	if f.Settings == "" {
		fmt.Fprintln(os.Stderr, "-settings is needed")
		os.Exit(ExitUsage)
	}
}

// Signals returns a context that ends at the first SIGTERM or SIGINT, and a
// channel that is closed at the second.
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

// NewHTTPServer listens on addr and returns the server with its listener.
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
