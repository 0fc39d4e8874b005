package daemon

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// callerConn is a connection of a caller. Its reader closes it when the server finishes and the
// connection is idle.
type callerConn struct {
	net.Conn
	server *CallerServer

	mu sync.Mutex
	// inRequest is set from the first byte of a request until its answer is written.
	inRequest bool
	// wakePending is set while the server has interrupted the reader's wait for the next
	// request and the reader has not handled that yet.
	wakePending bool
	answered    bool      // an answer was written
	opened      time.Time // when the connection was accepted
	tls         bool
	// answeredLate is set when an answer ended after the server began to finish: any further
	// request on the connection was sent after that.
	answeredLate bool
}

// expiredDeadline makes a read return at once.
var expiredDeadline = time.Unix(1, 0)

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.setInRequest()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isWakePending() {
			return n, err
		}
		if !c.resumeOrClose() {
			return 0, io.EOF
		}
	}
}

// setInRequest marks the start of a request, and cancels an interruption of the wait for it
// that came at the same time.
func (c *callerConn) setInRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
	if c.wakePending {
		c.wakePending = false
		_ = c.SetReadDeadline(time.Time{}) // an error recurs at the next read
	}
}

func (c *callerConn) isWakePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wakePending
}

// resumeOrClose decides for an interrupted reader whether it has to read on, because the caller
// has sent something. If not, it closes the connection here, under the lock, so that nothing
// happens between the check and the close.
func (c *callerConn) resumeOrClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakePending = false
	if !c.inRequest && !readable(c.Conn) {
		_ = c.Conn.Close() // net/http closes it again and ignores the error
		return false
	}
	c.inRequest = true
	_ = c.SetReadDeadline(time.Time{}) // an error recurs at the next read
	return true
}

// wakeIfIdle interrupts the reader's wait for the next request.
func (c *callerConn) wakeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inRequest {
		c.wakePending = true
		_ = c.SetReadDeadline(expiredDeadline) // an error means that the connection is closed
	}
}

// Close implements net.Conn. It first waits until the caller has received the answer.
func (c *callerConn) Close() error {
	if !c.server.cutting.Load() {
		c.linger()
	}
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// Bounds of the wait for a caller to receive the end of its answer.
const (
	lingerTimeout  = 500 * time.Millisecond
	lingerInterval = 5 * time.Millisecond // between checks
)

// linger ends the connection for writing and discards what the caller sends, until the caller has received
// everything. If a connection is closed while bytes are unread, or more bytes arrive after that, the kernel
// resets it and discards what it has not sent.
func (c *callerConn) linger() {
	if !readable(c.Conn) && allReceived(c.Conn) {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, 4<<10)
	for end := time.Now().Add(lingerTimeout); time.Now().Before(end); {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerInterval)) // an error recurs at the read
		_, err := c.Conn.Read(buffer)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if allReceived(c.Conn) {
				return
			}
		case err != nil:
			return
		}
	}
}

// CloseWrite ends the connection for writing.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest, c.answered = false, true
	c.answeredLate = c.server.finishing.Load()
}

func (c *callerConn) wasAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

func (c *callerConn) wasAnsweredLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredLate
}
