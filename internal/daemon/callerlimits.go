package daemon

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/requestbody"
	"github.com/sesamefork/sesamefork/internal/clientmem"
	"github.com/sesamefork/sesamefork/internal/core/intake"
)

// HeadLimits are the limits on the heads of requests, and on connections without a request. A zero value stands for the
// default one.
type HeadLimits struct {
	// MaxBytes is the largest head (default 64 KiB).
	MaxBytes int
	// Timeout is the time in which a head must arrive, from its first byte (default 10 s).
	Timeout time.Duration
	// IdleTimeout is the time for which a connection stays open without a request (default 120 s).
	IdleTimeout time.Duration
}

const (
	defaultHeadBytes = 64 << 10
	// maxHeadBytes and maxIdleTime bound what the limits may be.
	maxHeadBytes = 8 << 20
	maxIdleTime  = time.Hour
	// headSlack is what may be read beyond a head in one go.
	headSlack = 4 << 10
	// freeHead is the part of a head that the cost of its connection covers, and headFactor what a byte beyond it costs:
	// net/http holds the head as it came and as a map.
	freeHead   = 4 << 10
	headFactor = 2
)

// orDefault returns the limits with the default ones in place of zero values.
func (l HeadLimits) orDefault() HeadLimits {
	if l.MaxBytes <= 0 {
		l.MaxBytes = defaultHeadBytes
	}
	if l.Timeout <= 0 {
		l.Timeout = headerTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = idleTimeout
	}
	l.MaxBytes, l.IdleTimeout = min(l.MaxBytes, maxHeadBytes-headSlack), min(l.IdleTimeout, maxIdleTime)
	return l
}

// limitsNow returns the limits in force.
func (s *CallerServer) limitsNow() HeadLimits {
	if s.Limits == nil {
		return HeadLimits{}.orDefault()
	}
	return s.Limits().orDefault()
}

// start begins to count what the connection holds. It must be called before the first read.
func (c *callerConn) start(mem *clientmem.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mem = mem
	c.awaitRequestLocked()
	if c.evicted {
		_ = c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// awaitRequestLocked begins the wait for a request. c.mu must be held.
func (c *callerConn) awaitRequestLocked() {
	c.endHeadLocked()
	c.mem.Shrink(intake.Connections, c.headHeld)
	c.headHeld = 0
	if c.answered {
		c.receiving, c.unfinished = false, false
		c.mem.Finish()
	}
	c.limits = c.server.limitsNow()
	c.limitDeadline = time.Now().Add(c.limits.IdleTimeout)
	_ = c.applyDeadline() // an error recurs at the next read
}

// beginLocked marks the start of a request. c.mu must be held.
func (c *callerConn) beginLocked() {
	if c.inRequest {
		return
	}
	c.inRequest, c.inHead, c.receiving, c.headBytes = true, true, true, 0
	c.limits = c.server.limitsNow()
	c.limitDeadline = time.Now().Add(c.limits.Timeout)
	c.mem.Begin()
	_ = c.applyDeadline() // an error recurs at the next read
}

// endHeadLocked ends the read of a head. What it holds counts until the answer is complete. c.mu must be held.
func (c *callerConn) endHeadLocked() { c.inHead, c.limitDeadline = false, time.Time{} }

// SetReadDeadline implements net.Conn. The limits may set an earlier deadline.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedDeadline = t
	return c.applyDeadline()
}

// applyDeadline sets the deadline of reads. c.mu must be held.
func (c *callerConn) applyDeadline() error {
	t := earlier(c.requestedDeadline, c.limitDeadline)
	if c.receiving {
		t = earlier(t, c.finishDeadline)
	}
	if c.evicted || c.wakePending {
		t = expiredDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// earlier returns the earlier of two deadlines; a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// isInterrupted reports whether a read has ended because the server wakes the reader or ends the connection, or because
// of the limits.
func (c *callerConn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := !c.inRequest && !c.limitDeadline.IsZero() && !time.Now().Before(c.limitDeadline)
	return c.wakePending || isIdle || c.evicted && (!c.inRequest || c.inHead)
}

// count records n bytes that were read. If they exceed the limit on heads or the memory for them, it refuses the request
// and reports false.
func (c *callerConn) count(n int) bool {
	c.mem.Received(n)
	c.mu.Lock()
	if !c.inHead {
		c.mu.Unlock()
		return true
	}
	c.headBytes += n
	tooLarge := c.headBytes > c.limits.MaxBytes+headSlack
	hold := headFactor * int64(max(0, min(n, c.headBytes-freeHead)))
	c.mu.Unlock()
	switch {
	case tooLarge:
		c.mem.RecordLargeHead(c.limits.MaxBytes)
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, "")
		return false
	case !c.mem.Grow(intake.Connections, hold):
		c.refuse(http.StatusServiceUnavailable, "Retry-After: 1\r\n")
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headHeld += hold
	return true
}

// refuse answers a request whose head is not read. Nothing else is written meanwhile.
func (c *callerConn) refuse(status int, header string) {
	if c.tls {
		return // the connection ends without an answer
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+header+"Content-Length: 0\r\nConnection: close\r\n\r\n")
}

// evict makes the connection give way to others. Its request has not been received whole, or has been answered.
func (c *callerConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.Conn.SetReadDeadline(expiredDeadline) // an error means that the connection is closed
	if c.unfinished {
		c.endNow()
	}
}

// endNow ends an evicted connection whose request was answered before its body had been read: net/http would wait for
// 500 ms before it closes it.
func (c *callerConn) endNow() {
	_ = c.Conn.Close()
	c.mem.Close()
}

// trackRequests returns a handler that records the phases of a request, and refuses one whose connection has been evicted.
func trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r)
		if conn == nil {
			h.ServeHTTP(w, r)
			return
		}
		conn.endHead()
		if r.ContentLength == 0 || r.Body == http.NoBody {
			if !conn.execute() {
				w.Header().Set("Retry-After", "1")
				w.Header().Set("Connection", "close")
				http.Error(w, "there is no memory for the request", http.StatusServiceUnavailable)
				return
			}
			h.ServeHTTP(w, r)
			return
		}
		body := &trackedBody{ReadCloser: r.Body, conn: conn}
		r.Body = body
		h.ServeHTTP(w, r)
		if !body.ended {
			conn.setUnfinished()
			requestbody.Refuse(w, r) // net/http reads the rest
		}
	})
}

// connOf returns the connection of a request; nil for a request of another server.
func connOf(r *http.Request) *callerConn {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	conn, _ := callerConnOf(c)
	return conn
}

func (c *callerConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginLocked() // a request that was read together with the one before
	c.endHeadLocked()
	_ = c.applyDeadline()
}

// execute records that a request has been read whole. It reports false if the connection has been evicted, so that the
// request must not run.
func (c *callerConn) execute() bool {
	c.mu.Lock()
	c.receiving = false
	if !c.finishDeadline.IsZero() {
		_ = c.applyDeadline() // an error recurs at the next read
	}
	c.mu.Unlock()
	return c.mem.Execute()
}

// setFinishDeadline sets the time by which a request that is being read must have been read whole.
func (c *callerConn) setFinishDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishDeadline = t
	if c.receiving {
		_ = c.applyDeadline() // an error means that the connection is closed
	}
}

// isEvicted reports whether the connection has been evicted.
func (c *callerConn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// isUnfinished reports whether a request was answered before its body had been read.
func (c *callerConn) isUnfinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unfinished
}

// setUnfinished records that a request is answered before its body has been read.
func (c *callerConn) setUnfinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unfinished = true
	if c.evicted {
		time.AfterFunc(evictedAnswerTime, c.endNow)
	}
}

// evictedAnswerTime is the time in which the answer to a request on an evicted connection is sent.
const evictedAnswerTime = 20 * time.Millisecond

// trackedBody records the end of a request's body.
type trackedBody struct {
	io.ReadCloser
	conn  *callerConn
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.conn.execute()
	}
	return n, err
}
