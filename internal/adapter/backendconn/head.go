package backendconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/adapter/httpanswer"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// Bounds of what a server may send before the body of its response. Without them an endless status line, header field
// or header section takes memory until the caller's deadline: 450 to 600 MB within 5 s.
const (
	// maxHeadBytes bounds the head of a response. It is four times what the platform allows callers' requests.
	maxHeadBytes = 64 << 10
	// freeHeadBytes is the part of a head that does not count toward the pool's budget: ordinary heads pass when it is
	// spent.
	freeHeadBytes = 8 << 10
	// maxHeadLines bounds the lines of a head: a parsed header field takes about 130 bytes beside its text, which is
	// 26 times the shortest field.
	maxHeadLines = 512
	// maxSkippedHeadBytes and maxSkippedBodyBytes bound the heads and the bodies of the interim responses and of the
	// late responses to earlier requests that are skipped for one request, in total.
	maxSkippedHeadBytes = 64 << 10
	maxSkippedBodyBytes = 1 << 20
	// defaultHeadTimeout covers the loss of three packets in a row: TCP sends them again after 0.2, 0.4 and 0.8 s.
	defaultHeadTimeout = 2 * time.Second
	// readBufferBytes is the size of a connection's read buffer. It bounds the trailer of a chunked body too, and
	// net/http bounds a line with a chunk's size and extension to the same 4 KiB.
	readBufferBytes = 4 << 10
	// receiveBufferBytes is the size of a connection's socket buffer, which holds what a server sends while its caller
	// reads slowly; the operating system may double it, and would let it grow to 6 MiB otherwise. Within a region
	// (round trips of 1 ms) it allows over 100 MB/s.
	receiveBufferBytes = 128 << 10
)

// Errors of responses beyond the bounds. The request may have run.
var (
	errHeadTooLong    = failure.New(failure.Truncated, failure.Unknown, "the head of the response is over %d bytes or %d lines", maxHeadBytes, maxHeadLines)
	errHeadTooSlow    = failure.New(failure.Truncated, failure.Unknown, "the head of the response was not complete in time")
	errSkippedTooLong = failure.New(failure.Truncated, failure.Unknown, "over %d bytes of heads or %d of bodies of interim responses and of responses to other requests", maxSkippedHeadBytes, maxSkippedBodyBytes)
)

// limitReceiveBuffer bounds what the operating system holds of unread responses. Its failure leaves the default.
func limitReceiveBuffer(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(receiveBufferBytes)
	}
}

// source is what a connection's buffered reader reads from: a head that was read ahead, then the connection.
type source struct {
	ahead []byte
	conn  io.Reader
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if len(s.ahead) == 0 {
		s.ahead = nil
		return s.conn.Read(p)
	}
	n := copy(p, s.ahead)
	s.ahead = s.ahead[n:]
	return n, nil
}

// unread reports whether bytes were received that no response has used.
func (c *conn) unread() bool { return c.br.Buffered() > 0 || len(c.source.ahead) > 0 }

// awaitHead reads ahead until a whole head can be parsed without waiting, and returns its size in bytes. Once the
// first byte has arrived, the rest must follow within the pool's HeadTimeout.
func (x *exchange) awaitHead() (int, error) {
	if _, err := x.c.br.Peek(1); err != nil {
		return 0, err
	}
	t := time.AfterFunc(x.p.o.HeadTimeout, func() { _ = x.c.Conn.Close() })
	head, err := readHeadBytes(x.c.br, x.head)
	if !t.Stop() {
		return 0, errHeadTooSlow // also with a whole head: the connection is closed before its body is read
	}
	if err == nil {
		err = errors.Trace(httpanswer.CheckBytes(head))
	}
	if err != nil {
		return 0, err
	}
	x.c.putBack(head)
	return len(head), nil
}

// putBack makes the buffered reader return a head again, before what it has buffered.
func (c *conn) putBack(head []byte) {
	rest, _ := c.br.Peek(c.br.Buffered())
	c.source.ahead = append(append(head, rest...), c.source.ahead...)
	c.br.Reset(c.source)
}

// readHeadBytes reads the head of a response up to and including the empty line that ends it. The hold counts the
// head's buffer; the error is membudget.ErrSpent if the budget does not allow it.
func readHeadBytes(r *bufio.Reader, hold *membudget.Hold) ([]byte, error) {
	hold.Release() // of a head that was skipped
	var head []byte
	for lines := 0; lines < maxHeadLines; {
		part, err := r.ReadSlice('\n')
		if len(head)+len(part) > maxHeadBytes {
			return nil, errHeadTooLong
		}
		begins := len(head) == 0 || head[len(head)-1] == '\n'
		if needed := len(head) + len(part); needed > cap(head) {
			grown := max(needed, 2*cap(head))
			if !hold.Grow(int64(grown - cap(head))) {
				return nil, membudget.ErrSpent
			}
			head = append(make([]byte, 0, grown), head...)
		}
		head = append(head, part...)
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(head) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if begins && len(bytes.TrimRight(part, "\r\n")) == 0 {
			return head, nil
		}
		lines++
	}
	return nil, errHeadTooLong
}
