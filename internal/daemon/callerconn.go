package daemon

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	server *CallerServer

	mu sync.Mutex
	// read is set from the first byte of a request until its answer is written.
	read bool
	// woken is set when the server that finishes has ended a wait for the next request.
	woken bool
	// late is set when an answer ended after the server began to finish: whatever follows
	// on the connection was sent later still.
	late bool
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.setRead()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.wasWoken() {
			return n, err
		}
		if !c.goesOn() {
			return 0, io.EOF
		}
	}
}

// setRead notes that a request begins, and takes back the end of a wait that came with it.
func (c *callerConn) setRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = true
	if c.woken {
		c.woken = false
		_ = c.SetReadDeadline(time.Time{}) // an error shows at the next read
	}
}

func (c *callerConn) wasWoken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.woken
}

// goesOn decides, for a reader that was woken, whether something was sent that it has to
// read. If not, the connection is closed here, with nothing done in between.
func (c *callerConn) goesOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = false
	if !c.read && !readable(c.Conn) {
		_ = c.Conn.Close() // net/http closes it once more, and forgets it
		return false
	}
	c.read = true
	_ = c.SetReadDeadline(time.Time{}) // an error shows at the next read
	return true
}

// wakeIfIdle ends the wait for the next request.
func (c *callerConn) wakeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.read {
		c.woken = true
		_ = c.SetReadDeadline(past) // an error means that it is closed
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
	c.read = false
	c.late = c.server.finished.Load()
}

func (c *callerConn) isLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}
