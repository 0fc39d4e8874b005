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
// connections that it counts as idle; one whose next request has been read already, but not
// yet parsed, still counts as idle then, and the request runs for a caller that gets no
// answer. Here a connection is closed as idle only if nothing was read from it since its
// last answer, and nothing that arrives later is taken (TestIdleCloseLosesNoRequest).
type CallerServer struct {
	srv      *http.Server
	ln       net.Listener
	draining atomic.Bool
	finished atomic.Bool

	mu    sync.Mutex
	conns map[*callerConn]struct{}

	raw     net.Listener
	unread  int
	dropped atomic.Int32
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
	s := &CallerServer{conns: map[*callerConn]struct{}{}, raw: ln}
	s.ln = &callerListener{ln, s}
	if tlsConfig != nil {
		s.ln = tls.NewListener(s.ln, tlsConfig)
	}
	s.srv = &http.Server{
		Handler: s.closing(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: s.stateChanged,
	}
	return s
}

// closing lets the answers that begin while the server drains end their connections.
func (s *CallerServer) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Serve serves until Finish.
func (s *CallerServer) Serve() error {
	if err := s.srv.Serve(s.ln); err != http.ErrServerClosed && !s.finished.Load() {
		return failure.Wrap(err, failure.Internal, "")
	}
	return nil
}

// StartDraining lets each answer end its connection; requests are still taken.
func (s *CallerServer) StartDraining() { s.draining.Store(true) }

// idlePoll is how often a server that finishes looks for connections that became idle.
const idlePoll = 10 * time.Millisecond

// Finished says how the connections of a server that finished ended.
type Finished struct {
	Waiting bool // connections waited to be accepted when the listener was closed
	Unread  int  // connections that were closed as idle with bytes unread in their socket
	Dropped int  // connections from which bytes were read that nobody handled
	Cut     int  // connections that were still busy in the end
}

// Finish takes no more connections and closes each one once it is idle, until ctx ends.
func (s *CallerServer) Finish(ctx context.Context) Finished {
	s.StartDraining()
	s.finished.Store(true)
	waiting := readable(s.raw)
	_ = s.ln.Close() // nothing more is accepted, whatever it says
	cut := s.closeEach(ctx)
	_ = s.srv.Close() // the busy ones are cut
	s.mu.Lock()
	defer s.mu.Unlock()
	return Finished{Waiting: waiting, Unread: s.unread, Dropped: int(s.dropped.Load()), Cut: cut}
}

// closeEach closes the connections as they become idle, and returns the number of those
// that were still busy when ctx ended.
func (s *CallerServer) closeEach(ctx context.Context) (cut int) {
	t := time.NewTicker(idlePoll)
	defer t.Stop()
	for {
		if cut = s.closeIdle(); cut == 0 {
			return 0
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return cut
		}
	}
}

// closeIdle closes the idle connections and returns the number of the others.
func (s *CallerServer) closeIdle() (busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

func (s *CallerServer) stateChanged(c net.Conn, state http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, ok := c.(*callerConn)
	if ok && state == http.StateIdle {
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

// callerConn is a caller's connection. read is set from the first byte of a request until
// its answer is written; closed lets no byte through any more.
type callerConn struct {
	net.Conn
	server *CallerServer

	mu           sync.Mutex
	read, closed bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		if n > 0 {
			c.server.dropped.Add(1)
		}
		return 0, net.ErrClosed
	}
	c.read = c.read || n > 0
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = false
}

// closeIfIdle closes a connection from which no byte of a request was read. It reports
// whether the connection is closed.
func (c *callerConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read {
		return c.closed
	}
	if !c.closed {
		c.closed = true
		if readable(c.Conn) {
			c.server.unread++
		}
		_ = c.Conn.Close() // ends the reading; net/http then closes it for good
	}
	return true
}
