package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// eventReader reads the events of a stream. An event is held until the next one is read.
type eventReader struct {
	r    *bufio.Reader
	hold *membudget.Hold // of the last event
}

// errEventTooLong is the error of an event over maxEventBytes.
var errEventTooLong = failure.New(failure.Truncated, failure.Unknown, "an event is over %d bytes", maxEventBytes)

// next reads one event up to and including the empty line that ends it. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF after part of an event.
func (e *eventReader) next() ([]byte, error) {
	e.hold.Release()
	var event []byte
	for {
		line, err := e.r.ReadSlice('\n')
		if len(event)+len(line) > maxEventBytes {
			return nil, errEventTooLong
		}
		if event, err = e.add(event, line, err); err != nil && err != bufio.ErrBufferFull {
			return event, err
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// add adds a line, or a part of one, to an event, and returns the event with the error that follows the line.
func (e *eventReader) add(event, line []byte, err error) ([]byte, error) {
	if needed := len(event) + len(line); needed > cap(event) {
		grown := max(needed, 2*cap(event))
		if !e.hold.Grow(int64(grown - cap(event))) {
			return nil, membudget.ErrSpent
		}
		event = append(make([]byte, 0, grown), event...)
	}
	event = append(event, line...)
	if err == io.EOF && len(event) > 0 {
		err = io.ErrUnexpectedEOF
	}
	return event, err
}
