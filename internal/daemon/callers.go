package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// CallerServer is an HTTP server that stops without losing a request. net/http closes the
// connections that it counts as idle; one whose next request lies in the socket, or has been
// read but not yet parsed, still counts as idle then; a host that is behind in its work has
// such connections at its stop. Here the goroutine that reads a connection closes it, after
// it has found the socket empty: nobody else can tell that nothing is on its way through the
// process (TestFinishAnswersWhatWasSent, TestIdleCloseLosesNoRequest).
type CallerServer struct {
	// TooLate refuses a request that was sent after the server began to finish: it could be
	// cut by the end of the process. Nil serves it.
	TooLate http.Handler

	srv      *http.Server
	ln       net.Listener
	draining atomic.Bool
	finished atomic.Bool

	mu    sync.Mutex
	conns map[*callerConn]struct{}

	raw    net.Listener  // the socket below ln
	served chan struct{} // closed when Serve has returned
}

// NewCallerServer listens on addr for callers of a handler.
func NewCallerServer(addr string, h http.Handler, tlsConfig *tls.Config) (*CallerServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "")
	}
	return newCallerServer(ln, h, tlsConfig), nil
}

func newCallerServer(ln net.Listener, h http.Handler, tlsConfig *tls.Config) *CallerServer {
	s := &CallerServer{conns: map[*callerConn]struct{}{}, raw: ln, served: make(chan struct{})}
	s.ln = &callerListener{ln, s}
	if tlsConfig != nil {
		s.ln = tls.NewListener(s.ln, tlsConfig)
	}
	s.srv = &http.Server{
		Handler: s.closing(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: s.stateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// closing lets the answers that begin while the server drains end their connections, and
// refuses the requests that come too late.
func (s *CallerServer) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if s.TooLate != nil && tooLate(r) {
			s.TooLate.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// tooLate reports whether a request was sent after the server began to finish: only then
// had its connection's last answer ended.
func tooLate(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	conn, ok := callerConnOf(c)
	return ok && conn.isLate()
}

// callerConnOf returns the connection below TLS.
func callerConnOf(c net.Conn) (conn *callerConn, ok bool) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, ok = c.(*callerConn)
	return conn, ok
}

// Serve serves until Finish. It is called once.
func (s *CallerServer) Serve() error {
	defer close(s.served)
	if err := s.srv.Serve(s.ln); err != http.ErrServerClosed && !s.finished.Load() {
		return failure.Wrap(err, failure.Internal, "")
	}
	return nil
}

// StartDraining lets each answer end its connection; requests are still taken.
func (s *CallerServer) StartDraining() { s.draining.Store(true) }

// idlePoll is how often a server that finishes looks for connections that became idle.
const idlePoll = 10 * time.Millisecond

// Finish takes the connections that wait already and no more, answers what was sent on them,
// and closes each one once it is idle. It returns the number of connections that were still
// busy when ctx ended.
func (s *CallerServer) Finish(ctx context.Context) (cut int) {
	s.StartDraining()
	s.finished.Store(true)
	t := time.NewTicker(idlePoll)
	defer t.Stop()
	s.acceptWaiting(ctx, t.C)
	_ = s.ln.Close() // nothing more is accepted, whatever it says
	select {
	case <-s.served: // a connection that was being accepted is known now
	case <-ctx.Done():
	}
	cut = s.closeEach(ctx, t.C)
	_ = s.srv.Close() // the busy ones are cut
	return cut
}

// acceptWaiting waits until no connection waits to be accepted: the close of the listener
// resets those that do, with the requests on them.
func (s *CallerServer) acceptWaiting(ctx context.Context, tick <-chan time.Time) {
	for readable(s.raw) {
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
	}
}

// closeEach closes the connections as they become idle, and returns the number of those
// that were still there when ctx ended.
func (s *CallerServer) closeEach(ctx context.Context, tick <-chan time.Time) (cut int) {
	for {
		if cut = s.closeIdle(); cut == 0 {
			return 0
		}
		select {
		case <-tick:
		case <-ctx.Done():
			return cut
		}
	}
}

// closeIdle wakes the readers of the idle connections, which then close them or read on. It
// returns the number of connections that are still open.
func (s *CallerServer) closeIdle() (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.wakeIfIdle()
	}
	return len(s.conns)
}

func (s *CallerServer) stateChanged(c net.Conn, state http.ConnState) {
	if conn, ok := callerConnOf(c); ok && state == http.StateIdle {
		conn.setIdle()
	}
}

type callerListener struct {
	net.Listener
	server *CallerServer
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: c, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[conn] = struct{}{}
	return conn, nil
}
