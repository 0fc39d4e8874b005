package peerlink

import (
	"net"
	"sync"
	"time"
)

// readGate ends the reads of a link's streams before the yamux session shuts down. From the beginning
// of a shutdown until the session's receive loop has returned, a read in yamux neither blocks nor
// returns: it takes a whole core, and on a single processor nothing else may run to end it.
type readGate struct {
	mu      sync.Mutex
	left    *sync.Cond // signaled when a read has returned
	streams map[*stream]bool
	reads   int // in progress
	ended   bool
}

func newReadGate() *readGate {
	g := &readGate{streams: map[*stream]bool{}}
	g.left = sync.NewCond(&g.mu)
	return g
}

// end makes all reads return, and waits until they have.
func (g *readGate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	for s := range g.streams {
		_ = s.Stream.SetReadDeadline(time.Unix(1, 0)) // long past
	}
	for g.reads > 0 {
		g.left.Wait()
	}
}

// enter begins a read. It reports false if reads have ended.
func (g *readGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		g.reads++
	}
	return !g.ended
}

func (g *readGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads--
	g.left.Broadcast()
}

// gatedConn is a connection that ends a gate's reads before it reports an error, on which yamux shuts
// the session down.
type gatedConn struct {
	net.Conn
	gate *readGate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.gate.end()
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.gate.end()
	}
	return n, err
}
