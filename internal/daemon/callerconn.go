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
	c.inRequest = false
	c.answeredLate = c.server.finishing.Load()
}

func (c *callerConn) wasAnsweredLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredLate
}
