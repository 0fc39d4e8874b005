package peerlink

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// Fields of a yamux frame's header.
const (
	headerSize   = 12
	typeOffset   = 1
	flagsOffset  = 2
	streamOffset = 4
	lengthOffset = 8
	typeData     = 0
	typeUpdate   = 1
	typeGoAway   = 3
	flagsEnd     = 0x4 | 0x8 // the sender closes, or resets, the stream
)

// frameConn is the connection of a session. It passes frames on whole, as yamux holds a stream's lock
// while it reads a frame's data, and reports an error of the connection only after the reads of the
// session's streams have ended. After an error of a write it discards what is written, and reads what has
// arrived until the receive loop has reported the end.
type frameConn struct {
	net.Conn
	gate  *readGate
	br    *bufio.Reader
	frame []byte // rest of the frame being passed on
	buf   []byte // holds frame
	// readsEnded is closed when a read of the connection has failed, by which the session has handled the
	// frames before.
	readsEnded     chan struct{}
	readsEndedOnce sync.Once
	// peerLeaves is closed when the other end has announced that it serves no further streams.
	peerLeaves     chan struct{}
	peerLeavesOnce sync.Once

	mu           sync.Mutex
	failed       bool      // a write failed
	discarded    int       // bytes that were written after that
	end          string    // why reads ended; "" before
	waitingSince time.Time // when the first bytes were sent after which none was received; zero for none
}

// readRestTimeout bounds the reads of what arrives after a write has failed.
const readRestTimeout = time.Second

// readBufferSize holds several frames of calls.
const readBufferSize = 16 << 10

func newFrameConn(conn net.Conn, gate *readGate) *frameConn {
	return &frameConn{
		Conn: conn, gate: gate, br: bufio.NewReaderSize(conn, readBufferSize), buf: make([]byte, headerSize), readsEnded: make(chan struct{}),
		peerLeaves: make(chan struct{}),
	}
}

// Read implements io.Reader.
func (c *frameConn) Read(p []byte) (int, error) {
	if len(c.frame) == 0 {
		if err := c.readFrame(); err != nil {
			c.recordEnd(err)
			_ = c.Conn.Close() // a write that blocks would keep reads from returning
			c.gate.end()
			c.readsEndedOnce.Do(func() { close(c.readsEnded) })
			return 0, err
		}
	}
	n := copy(p, c.frame)
	c.frame = c.frame[n:]
	return n, nil
}

// readFrame reads the next frame. It leaves out the data of a frame that is longer than a stream's
// window, which yamux rejects by its header. A frame whose data may not be held is passed on as an empty one.
func (c *frameConn) readFrame() error {
	header := c.buf[:headerSize]
	if _, err := io.ReadFull(c.br, header); err != nil {
		return err
	}
	c.recordReceived()
	c.frame = header
	if header[typeOffset] == typeGoAway {
		c.peerLeavesOnce.Do(func() { close(c.peerLeaves) })
	}
	id, size := binary.BigEndian.Uint32(header[streamOffset:]), binary.BigEndian.Uint32(header[lengthOffset:])
	if header[typeOffset] <= typeUpdate && binary.BigEndian.Uint16(header[flagsOffset:])&flagsEnd != 0 {
		defer c.gate.recordRemoteEnd(id)
	}
	if header[typeOffset] != typeData || size > maxStreamWindow {
		return nil
	}
	total := headerSize + int(size)
	if cap(c.buf) < total {
		grown := make([]byte, total)
		copy(grown, header)
		c.buf = grown
	}
	c.frame = c.buf[:total]
	if _, err := io.ReadFull(c.br, c.frame[headerSize:]); err != nil {
		return err
	}
	if !c.gate.received(id, int(size)) {
		binary.BigEndian.PutUint32(c.frame[lengthOffset:], 0)
		c.frame = c.frame[:headerSize]
	}
	return nil
}

func (c *frameConn) recordEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = "reads failed: " + err.Error()
	if err == io.EOF {
		c.end = "closed by the other host"
	}
}

// endReason returns why reads ended.
func (c *frameConn) endReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// unsent returns the number of bytes that were written after a write had failed.
func (c *frameConn) unsent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.discarded
}

// Write implements io.Writer.
func (c *frameConn) Write(p []byte) (int, error) {
	if c.recordSent(len(p)) {
		return len(p), nil
	}
	if n, err := c.Conn.Write(p); err != nil {
		c.mu.Lock()
		c.failed = true
		c.discarded += len(p) - n
		c.mu.Unlock()
		_ = c.Conn.SetReadDeadline(time.Now().Add(readRestTimeout))
	}
	return len(p), nil
}

// hasFailed reports whether a write has failed.
func (c *frameConn) hasFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// recordSent records that n bytes are sent. It reports whether a write has failed before, so that they
// are discarded.
func (c *frameConn) recordSent(n int) (failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		c.discarded += n
	}
	if c.waitingSince.IsZero() {
		c.waitingSince = time.Now()
	}
	return c.failed
}

func (c *frameConn) recordReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince = time.Time{}
}

// silence returns for how long nothing has been received after something was sent; 0 if nothing is
// awaited.
func (c *frameConn) silence(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(c.waitingSince)
}
