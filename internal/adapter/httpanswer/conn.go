// Package httpanswer decides whether what a server sent is a whole HTTP/1.1 answer. Go's net/http accepts some heads that
// HTTP does not allow, and takes the end of a connection that was reset for the end of an answer without a length if the
// write of the request has met the reset first.
package httpanswer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose reads do not end with io.EOF after it was reset. The operating system reports a reset once:
// to the read or to the write, whichever comes first. The other one then gets a plain end.
type Conn struct {
	*net.TCPConn
	writing     atomic.Int32 // writes in progress
	writeFailed atomic.Bool
}

// Wrap returns a Conn for a TCP connection, and any other connection as it is.
func Wrap(c net.Conn) net.Conn {
	if t, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: t}
	}
	return c
}

// DialContext is a dial function of net/http.
type DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapDial returns a dial function whose connections are wrapped.
func WrapDial(dial DialContext) DialContext {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Wrap(c), nil
	}
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that io.Copy uses Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF && c.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// Times of the wait for a write that may be about to report a reset, where the state of the connection is not known.
const (
	writeEndWait  = time.Second
	writeEndCheck = time.Millisecond
)

// wasReset reports whether the connection, whose reads have ended, was reset. It was closed by the other end otherwise.
func (c *Conn) wasReset() bool {
	if c.writeFailed.Load() {
		return true
	}
	if state, ok := c.state(); ok {
		return state == tcpClose
	}
	for end := time.Now().Add(writeEndWait); c.writing.Load() > 0 && time.Now().Before(end); time.Sleep(writeEndCheck) {
	}
	return c.writeFailed.Load()
}

// tcpClose is the state of a connection that was reset, in struct tcp_info of Linux.
const tcpClose = 7

// state returns the connection's state as the kernel reports it.
func (c *Conn) state() (state uint8, ok bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if ok = err == nil && info.State != 0; ok {
			state = info.State
		}
	})
	return state, ok && err == nil
}
