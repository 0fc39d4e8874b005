package peerlink

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// fakeNet connects fake connections. Bytes arrive in order after a propagation delay. As with TCP, an end
// that is closed with unread bytes, or receives bytes after it was closed, sends a reset; a reset discards
// what the other end has not read and what is unsent.
type fakeNet struct {
	mu      sync.Mutex
	changed *sync.Cond    // signaled when a connection is dialed or the listener closed
	delay   time.Duration // one way
	rate    int           // bytes that an end sends per second; 0 for no limit
	buffer  int           // bytes that an end accepts before its writes wait for the other end's reads
	ln      *fakeListener
	conns   []*fakeConn // dialing ends
}

const fakeBuffer = 4 << 20

func newFakeNet(delay time.Duration) *fakeNet {
	n := &fakeNet{delay: delay, buffer: fakeBuffer}
	n.changed = sync.NewCond(&n.mu)
	n.ln = &fakeListener{net: n}
	return n
}

// dial opens a connection to the network's listener.
func (n *fakeNet) dial(context.Context, string, string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ln.closed {
		return nil, syscall.ECONNREFUSED
	}
	near, far := &fakeConn{net: n, changed: sync.NewCond(&n.mu)}, &fakeConn{net: n, changed: sync.NewCond(&n.mu)}
	near.other, far.other = far, near
	n.conns = append(n.conns, near)
	n.ln.backlog = append(n.ln.backlog, far)
	n.changed.Broadcast()
	return near, nil
}

// fakeListener is the listener of a fakeNet.
type fakeListener struct {
	net     *fakeNet
	backlog []*fakeConn
	closed  bool
}

func (l *fakeListener) Accept() (net.Conn, error) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	for {
		switch {
		case l.closed:
			return nil, net.ErrClosed
		case len(l.backlog) > 0:
			conn := l.backlog[0]
			l.backlog = l.backlog[1:]
			return conn, nil
		}
		l.net.changed.Wait()
	}
}

func (l *fakeListener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	for _, conn := range l.backlog {
		conn.closeLocked()
	}
	l.backlog = nil
	l.net.changed.Broadcast()
	return nil
}

func (l *fakeListener) Addr() net.Addr { return fakeAddr{} }

type fakeAddr struct{}

func (fakeAddr) Network() string { return "tcp" }
func (fakeAddr) String() string  { return "127.0.0.1:1" }

// segment is what an end sends: bytes, or the end of its writes, or a reset.
type segment struct {
	sent, due  time.Time
	data       []byte
	end, reset bool
}

// fakeConn is one end of a connection. Its fields are guarded by net.mu.
type fakeConn struct {
	net     *fakeNet
	other   *fakeConn
	changed *sync.Cond

	arriving []segment // in order; on their way to this end
	unread   []byte    // arrived
	ended    bool      // the other end sends nothing more
	wasReset bool
	closed   bool      // Close was called
	written  bool      // CloseWrite or Close was called
	frozen   bool      // reads return nothing
	mute     bool      // writes fail
	cut      bool      // nothing arrives any more
	sendsAt  time.Time // when the bytes before have been sent
	cleared  func()    // if not nil, called once the deadlines have been removed

	readDeadline, writeDeadline time.Time
}

// wake wakes the reads and writes that wait at both ends.
func (c *fakeConn) wake() {
	c.changed.Broadcast()
	c.other.changed.Broadcast()
}

// send puts a segment on its way to the other end.
func (c *fakeConn) send(s segment) {
	if c.other.cut {
		return
	}
	if now := time.Now(); c.sendsAt.Before(now) {
		c.sendsAt = now
	}
	if c.net.rate > 0 {
		c.sendsAt = c.sendsAt.Add(time.Duration(len(s.data)) * time.Second / time.Duration(c.net.rate))
	}
	s.sent, s.due = c.sendsAt, c.sendsAt.Add(c.net.delay)
	c.other.arriving = append(c.other.arriving, s)
	if !s.due.After(time.Now()) {
		c.other.arrive()
		return
	}
	time.AfterFunc(time.Until(s.due), func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.other.arrive()
	})
}

// arrive takes in the segments that are due.
func (c *fakeConn) arrive() {
	for len(c.arriving) > 0 && !c.arriving[0].due.After(time.Now()) {
		s := c.arriving[0]
		c.arriving = c.arriving[1:]
		if !c.cut {
			c.take(s)
		}
	}
	c.wake()
}

func (c *fakeConn) take(s segment) {
	switch {
	case c.wasReset:
	case s.reset:
		c.reset()
	case c.closed && len(s.data) > 0:
		c.reset()
		c.send(segment{reset: true})
	case s.end:
		c.ended = true
	default:
		c.unread = append(c.unread, s.data...)
	}
}

// reset discards what is unread at this end, and what it has not sent.
func (c *fakeConn) reset() {
	c.wasReset = true
	c.unread = nil
	now := time.Now()
	c.other.arriving = slices.DeleteFunc(c.other.arriving, func(s segment) bool { return s.sent.After(now) })
	c.sendsAt = now
}

// inFlight returns the bytes that this end has sent and the other end has not read.
func (c *fakeConn) inFlight() int {
	n := len(c.other.unread)
	for _, s := range c.other.arriving {
		n += len(s.data)
	}
	return n
}

// freeze stops, or lets go on, the reads of this end.
func (c *fakeConn) freeze(frozen bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.frozen = frozen
	c.wake()
}

// failWrites makes the writes of this end fail from now on.
func (c *fakeConn) failWrites() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.mute = true
	c.wake()
}

// onCleared sets what is called once the deadlines have been removed.
func (c *fakeConn) onCleared(f func()) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.cleared = f
}

// silence freezes this end, and lets nothing that it sends arrive.
func (c *fakeConn) silence() {
	c.freeze(true)
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.other.cut = true
}

// cutOff lets nothing arrive at either end any more.
func (c *fakeConn) cutOff() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.cut, c.other.cut = true, true
}

// wakeAt wakes the waiting reads and writes at a deadline.
func (c *fakeConn) wakeAt(t time.Time) {
	c.wake()
	if t.IsZero() {
		return
	}
	time.AfterFunc(time.Until(t), func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.wake()
	})
}

func passed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func (c *fakeConn) Read(p []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case passed(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case c.frozen:
		case c.wasReset:
			return 0, syscall.ECONNRESET
		case len(c.unread) > 0:
			n := copy(p, c.unread)
			c.unread = c.unread[n:]
			c.wake()
			return n, nil
		case c.ended:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
}

func (c *fakeConn) Write(p []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	total := 0
	for len(p) > 0 {
		room := c.net.buffer - c.inFlight()
		switch {
		case c.closed || c.written:
			return total, net.ErrClosed
		case c.wasReset, c.mute:
			return total, syscall.ECONNRESET
		case passed(c.writeDeadline):
			return total, os.ErrDeadlineExceeded
		case room <= 0:
			c.changed.Wait()
			continue
		}
		n := min(room, len(p))
		c.send(segment{data: append([]byte(nil), p[:n]...)})
		total, p = total+n, p[n:]
	}
	return total, nil
}

// CloseWrite ends the writes of this end.
func (c *fakeConn) CloseWrite() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed || c.written {
		return net.ErrClosed
	}
	c.written = true
	c.send(segment{end: true})
	c.wake()
	return nil
}

func (c *fakeConn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closeLocked()
	return nil
}

func (c *fakeConn) closeLocked() {
	c.closed = true
	switch {
	case c.wasReset:
	case len(c.unread) > 0:
		c.reset()
		c.send(segment{reset: true})
	case !c.written:
		c.send(segment{end: true})
	}
	c.written = true
	c.wake()
}

func (c *fakeConn) LocalAddr() net.Addr  { return fakeAddr{} }
func (c *fakeConn) RemoteAddr() net.Addr { return fakeAddr{} }

func (c *fakeConn) SetDeadline(t time.Time) error {
	err := errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
	c.net.mu.Lock()
	cleared := c.cleared
	c.net.mu.Unlock()
	if t.IsZero() && cleared != nil {
		cleared()
	}
	return err
}

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.readDeadline = t
	c.wakeAt(t)
	return nil
}

func (c *fakeConn) SetWriteDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.writeDeadline = t
	c.wakeAt(t)
	return nil
}
