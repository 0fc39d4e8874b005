package daemon

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/clientmem"
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

	mem *clientmem.Conn
	// inHead is set while the head of a request is being read, of which headBytes have arrived.
	inHead bool
	// receiving is set from the first byte of a request until it has been read whole.
	receiving bool
	headBytes int
	headHeld  int64
	limits    HeadLimits // in force when the wait for the request or its head began
	evicted   bool       // the connection gives way to others
	// unfinished is set when a request was answered before its body had been read.
	unfinished bool
	// Deadlines of reads; zero for none. requestedDeadline is the one that net/http has set, limitDeadline that of the limits,
	// and finishDeadline that for the rest of a request when the server finishes.
	requestedDeadline, limitDeadline, finishDeadline time.Time
}

// expiredDeadline makes a read return at once.
var expiredDeadline = time.Unix(1, 0)

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.setInRequest()
			if !c.count(n) {
				return 0, io.EOF
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isInterrupted() {
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
	c.beginLocked()
	if c.wakePending {
		c.wakePending = false
		_ = c.applyDeadline() // an error recurs at the next read
	}
}

// resumeOrClose decides for an interrupted reader whether it has to read on, because the caller
// has sent something. If not, it closes the connection here, under the lock, so that nothing
// happens between the check and the close.
func (c *callerConn) resumeOrClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakePending = false
	if c.evicted || !c.inRequest && !readable(c.Conn) {
		_ = c.Conn.Close() // net/http closes it again and ignores the error
		return false
	}
	c.beginLocked()
	_ = c.applyDeadline() // an error recurs at the next read
	return true
}

// wakeIfIdle interrupts the reader's wait for the next request.
func (c *callerConn) wakeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inRequest {
		c.wakePending = true
		_ = c.Conn.SetReadDeadline(expiredDeadline) // an error means that the connection is closed
	}
}

// Close implements net.Conn. It first waits until the caller has received the answer.
func (c *callerConn) Close() error {
	if !c.server.cutting.Load() {
		c.mem.Linger()
		c.linger()
	}
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	defer c.mem.Close()
	return c.Conn.Close()
}

// Bounds of the wait for a caller to receive the end of its answer.
const (
	lingerTimeout  = 500 * time.Millisecond
	lingerInterval = 5 * time.Millisecond // between checks
)

// linger ends the connection for writing and discards what the caller sends, until the caller has received
// everything. If a connection is closed while bytes are unread, or more bytes arrive after that, the kernel
// resets it and discards what it has not sent. A caller whose request was answered before it had sent all of it may go
// on to send; linger waits for it to end the connection, unless others need its memory.
func (c *callerConn) linger() {
	untilEnd := c.isUnfinished()
	if !untilEnd && !readable(c.Conn) && allReceived(c.Conn) {
		return
	}
	if c.closeWrite() != nil {
		return
	}
	buffer := make([]byte, 4<<10)
	for end := time.Now().Add(lingerTimeout); time.Now().Before(end) && !c.isEvicted(); {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerInterval)) // an error recurs at the read
		_, err := c.Conn.Read(buffer)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !untilEnd && allReceived(c.Conn) {
				return
			}
		case err != nil:
			return
		}
	}
}

// closeWrite ends the connection for writing. It is not exported, as net/http would end the connection itself and then
// wait without reading.
func (c *callerConn) closeWrite() error {
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
	c.awaitRequestLocked()
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
