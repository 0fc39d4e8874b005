// Package requestbody reads the bodies of HTTP requests into memory that is bounded by package clientmem.
package requestbody

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/sesamefork/sesamefork/internal/clientmem"
	"github.com/sesamefork/sesamefork/internal/core/intake"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// refusedRetryAfter is the Retry-After of a request for whose body there is no memory. Requests without progress lose
// theirs within that time.
const refusedRetryAfter = time.Second

// Limits are the limits on a body.
type Limits struct {
	// MaxBytes is the largest body.
	MaxBytes int64
	// Timeout is the time in which it must arrive.
	Timeout time.Duration
}

// Body is the whole body of a request.
type Body struct {
	Bytes []byte
	conn  *clientmem.Conn
	held  int64
}

// Release gives the memory of the body back. Its bytes must not be used any more.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.conn.Shrink(intake.Bodies, b.held)
	b.held, b.Bytes = 0, nil
}

// TooLarge returns the failure of a request that announces a body over the limit; nil if it does not.
func TooLarge(r *http.Request, l Limits) *failure.Error {
	if r.ContentLength > l.MaxBytes {
		return l.tooLarge()
	}
	return nil
}

func (l Limits) tooLarge() *failure.Error {
	return failure.New(failure.BodyTooLarge, failure.NotRun, "the body is over %d bytes", l.MaxBytes)
}

// Read reads the whole body of a request, which must be released once the request has ended. With a failure nothing is
// held.
func Read(w http.ResponseWriter, r *http.Request, l Limits) (*Body, *failure.Error) {
	if f := TooLarge(r, l); f != nil {
		Refuse(w, r)
		return nil, f
	}
	b := &Body{conn: clientmem.ConnOf(r.Context())}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return b, nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(l.Timeout)) // not supported by writers of tests
	if f := b.read(http.MaxBytesReader(w, r.Body, l.MaxBytes), r.ContentLength, l); f != nil {
		b.Release()
		Refuse(w, r)
		return nil, f
	}
	if b.conn.IsEvicted() { // while the last bytes arrived
		b.Release()
		Refuse(w, r)
		return nil, b.noMemory()
	}
	_ = rc.SetReadDeadline(time.Time{})
	return b, nil
}

// refusalTime is the time in which the rest of a refused body is read, without which the caller could lose the answer.
const refusalTime = 500 * time.Millisecond

// smallRest is the largest body that net/http reads before it sends an answer, to go on with the connection.
const smallRest = 256 << 10

// Refuse bounds the time for which net/http reads the rest of a body that the handler does not read, and makes the
// connection close after the answer unless the body is small.
func Refuse(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > smallRest {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalTime))
}

// firstBytes is the size of the first buffer.
const firstBytes = clientmem.FreeBody

// read reads until the end. length is the announced length; negative for none. The buffer grows with what arrives, not
// with what is announced.
func (b *Body) read(r io.Reader, length int64, l Limits) *failure.Error {
	most := l.MaxBytes + 1 // r fails before the buffer is full
	if length >= 0 {
		most = length
	}
	b.Bytes = make([]byte, 0, min(firstBytes, most))
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			switch {
			case int64(len(b.Bytes)) == most:
				return b.readEnd(r, l)
			case !b.grow(most):
				return b.noMemory()
			}
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return b.failureOf(err, l)
		}
	}
}

// readEnd reads the end of a body whose announced bytes have been read.
func (b *Body) readEnd(r io.Reader, l Limits) *failure.Error {
	var more [1]byte
	switch _, err := io.ReadFull(r, more[:]); err {
	case nil:
		return l.tooLarge()
	case io.EOF:
		return nil
	default:
		return b.failureOf(err, l)
	}
}

// grow doubles the buffer, up to most bytes. While it copies, both buffers count.
func (b *Body) grow(most int64) bool {
	had := int64(cap(b.Bytes))
	size := min(2*had, most)
	if !b.conn.Grow(intake.Bodies, size) {
		return false
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	b.conn.Shrink(intake.Bodies, b.held) // the first buffer is free
	b.held = size
	return true
}

func (b *Body) noMemory() *failure.Error {
	if b.conn.IsEvicted() {
		return failure.New(failure.SlowBody, failure.NotRun, "the body made no progress while others needed its memory")
	}
	return failure.New(failure.NoMemory, failure.NotRun, "there is no memory for the body").WithRetryAfter(refusedRetryAfter)
}

// failureOf returns the failure for an error of reading the body.
func (b *Body) failureOf(err error, l Limits) *failure.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return l.tooLarge()
	case b.conn.IsEvicted():
		return b.noMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.New(failure.SlowBody, failure.NotRun, "the body did not arrive within %s", l.Timeout)
	}
	return failure.New(failure.BadRequest, failure.NotRun, "reading the body failed: %v", err)
}
