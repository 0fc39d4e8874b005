package daemon

import (
	"context"
	"crypto/tls"
	"math/bits"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sesamefork/sesamefork/internal/clientmem"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

// CallerServer is an HTTP server that shuts down without losing a request. net/http closes the
// connections that it counts as idle. These include connections whose next request is unread in
// the socket, or has been read but not yet parsed; an overloaded host has such connections when
// it shuts down. Here the goroutine that reads a connection closes it, after it has found the
// socket empty: no other goroutine can rule out that bytes have been read and not yet processed
// (TestFinishAnswersWhatWasSent, TestIdleCloseLosesNoRequest).
type CallerServer struct {
	// LateHandler answers requests that were sent after the server began to finish, since the end
	// of the process could interrupt them. If nil, they are served like any other.
	LateHandler http.Handler
	// Memory bounds what callers make the process hold; nil for no bound. Limits returns the limits on the heads of
	// requests and on idle connections in force; nil for the default ones. Both must be set before Serve.
	Memory *clientmem.Budget
	Limits func() HeadLimits

	srv       *http.Server
	ln        net.Listener
	draining  atomic.Bool
	finishing atomic.Bool
	cutting   atomic.Bool // connections are closed at once

	mu    sync.Mutex
	conns map[*callerConn]struct{}

	abort  context.CancelFunc // cancels the contexts of all requests
	raw    net.Listener       // the TCP listener that ln wraps
	tls    bool
	served chan struct{} // closed when Serve returns
}

// NewCallerServer returns a server that listens on addr and serves callers with h.
func NewCallerServer(addr string, h http.Handler, tlsConfig *tls.Config) (*CallerServer, error) {
	ln, err := listenTCP(addr)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "")
	}
	return newCallerServer(ln, h, tlsConfig), nil
}

// backlog is the number of connections that may wait to be accepted. What they hold unread is not counted yet.
const backlog = 1024

// listenTCP listens on an address with bounded receive buffers, which accepted connections inherit. Without a bound the
// operating system lets them grow to some MiB.
func listenTCP(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, clientmem.MaxUnread/2) // its failure leaves the default
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	control(ln, func(fd int) {
		_ = unix.Listen(fd, backlog) // its failure leaves the backlog of the operating system
	})
	return ln, nil
}

func newCallerServer(ln net.Listener, h http.Handler, tlsConfig *tls.Config) *CallerServer {
	requests, abort := context.WithCancel(context.Background())
	s := &CallerServer{conns: map[*callerConn]struct{}{}, abort: abort, raw: ln, tls: tlsConfig != nil, served: make(chan struct{})}
	s.ln = &callerListener{Listener: ln, server: s}
	if tlsConfig != nil {
		s.ln = tls.NewListener(s.ln, tlsConfig)
	}
	s.srv = &http.Server{
		Handler: trackRequests(s.handleDraining(h)), ConnState: s.stateChanged,
		// callerConn applies the limits in force, which may change while connections are open.
		MaxHeaderBytes: maxHeadBytes, IdleTimeout: maxIdleTime,
		BaseContext: func(net.Listener) context.Context { return requests },
		ConnContext: withConn,
	}
	if tlsConfig != nil {
		s.srv.ReadHeaderTimeout = headerTimeout // bounds the handshake
	}
	return s
}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := callerConnOf(c); ok {
		ctx = clientmem.WithConn(port.WithCallerConn(ctx, conn), conn.mem)
	}
	return context.WithValue(ctx, connKey{}, c)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// handleDraining returns a handler that closes the connection after each answer that begins
// while the server drains, and passes requests that were sent too late to LateHandler.
func (s *CallerServer) handleDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if s.LateHandler != nil && tooLate(r) {
			s.LateHandler.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// tooLate reports whether a request was sent after the server began to finish, which is certain
// only if the previous answer on its connection ended after that.
func tooLate(r *http.Request) bool {
	conn := connOf(r)
	return conn != nil && conn.wasAnsweredLate()
}

// callerConnOf returns the callerConn of a connection, with or without TLS.
func callerConnOf(c net.Conn) (conn *callerConn, ok bool) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, ok = c.(*callerConn)
	return conn, ok
}

// Serve serves requests until Finish. It must be called only once.
func (s *CallerServer) Serve() error {
	defer close(s.served)
	if err := s.srv.Serve(s.ln); err != http.ErrServerClosed && !s.finishing.Load() {
		return failure.Wrap(err, failure.Internal, "")
	}
	return nil
}

// StartDraining makes each answer close its connection. Requests are still accepted.
func (s *CallerServer) StartDraining() { s.draining.Store(true) }

// idlePollInterval is the interval at which a finishing server checks for idle connections.
const idlePollInterval = 10 * time.Millisecond

// Finish accepts the connections that are waiting already and no others, answers the requests
// that were sent, and closes each connection once it is idle. It returns the number of
// connections that were still open when ctx ended.
func (s *CallerServer) Finish(ctx context.Context) (cut int) {
	s.StartDraining()
	s.finishing.Store(true)
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	s.awaitEmptyBacklog(ctx, t.C)
	_ = s.ln.Close() // no more connections are accepted, even if Close fails
	select {
	case <-s.served: // a connection that was being accepted is in s.conns now
	case <-ctx.Done():
	}
	s.setFinishDeadlines(ctx)
	cut = s.closeAllIdle(ctx, t.C)
	s.cutting.Store(true)
	_ = s.srv.Close() // interrupts the requests that still run
	s.abort()
	return cut
}

// receiveShare is the part of the time that is left at a stop in which requests may arrive whole.
const receiveShare = 0.5

// setFinishDeadlines refuses requests that are not read whole in a part of the time until ctx ends, so that they do not keep the
// server from ending and the refusals arrive.
func (s *CallerServer) setFinishDeadlines(ctx context.Context) {
	end, ok := ctx.Deadline()
	if !ok {
		return
	}
	now := time.Now()
	t := now.Add(time.Duration(receiveShare * float64(end.Sub(now))))
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.setFinishDeadline(t)
	}
}

// finishWithin finishes the server. After answerTime it cancels the requests that still run.
func (s *CallerServer) finishWithin(answerTime time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime+abortTimeout)
	defer cancel()
	abort := time.AfterFunc(answerTime, s.abort)
	defer abort.Stop()
	s.Finish(ctx)
}

// awaitEmptyBacklog waits until no connection waits to be accepted: closing the listener resets
// those that do, and their requests are lost.
func (s *CallerServer) awaitEmptyBacklog(ctx context.Context, tick <-chan time.Time) {
	for readable(s.raw) {
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
	}
}

// closeAllIdle closes the connections as they become idle, and returns the number of those that
// were still open when ctx ended.
func (s *CallerServer) closeAllIdle(ctx context.Context, tick <-chan time.Time) (cut int) {
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

// closeIdle interrupts the readers of the idle connections, which then close them or read on.
// It returns the number of connections that are still open.
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
	// unread is what the sockets of connections may hold unread that are opened now, in bytes; 0 for MaxUnread.
	unread int
}

// sendBufferBytes is the size of a caller's socket buffer, which holds what the caller has not taken; the operating
// system may double it, and would let it grow to 4 MiB otherwise. At a round trip of 80 ms it allows 3 MB/s.
const sendBufferBytes = 256 << 10

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &callerConn{Conn: c, server: l.server, opened: time.Now(), tls: l.server.tls}
		mem, ok := l.server.Memory.Enter(conn.evict)
		if !ok {
			_ = c.Close() // nothing of a request has been read
			continue
		}
		conn.start(mem)
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetWriteBuffer(sendBufferBytes) // its failure leaves the default
			l.boundUnread(t, mem)
		}
		l.server.mu.Lock()
		l.server.conns[conn] = struct{}{}
		l.server.mu.Unlock()
		return conn, nil
	}
}

// boundUnread records what the socket of a connection may hold unread, and sets that of the next ones. A connection
// inherits the size of its receive buffer, which the operating system doubles: a sender that has been promised more than
// a buffer holds waits for its retransmission timeout time and again.
func (l *callerListener) boundUnread(c *net.TCPConn, mem *clientmem.Conn) {
	holds := clientmem.MaxUnread
	if l.unread != 0 { // the connection may have been opened before the last change
		control(c, func(fd int) {
			if n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF); err == nil {
				holds = n
			}
		})
	}
	next := 1 << (bits.Len64(uint64(mem.ReserveUnread(int64(holds)))) - 1) // a power of two, for fewer changes
	if next == l.unread || l.unread == 0 && next == clientmem.MaxUnread {
		return
	}
	l.unread = next
	control(l.server.raw, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, next/2) // its failure leaves the size before
	})
}
