// Package peerlink carries protobuf messages between hosts as length-prefixed
// frames on yamux streams. Each forward has its own stream, so that its late or
// repeated frames never reach another request and a slow reader delays only its own
// stream. Calls to one host share one stream and are matched by call number.
package peerlink

import (
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// MaxFrame is the maximum size of an encoded message, in bytes.
const MaxFrame = 16 << 20

const lengthSize = 4

// WriteMessage writes m as one frame. If it cannot be encoded or is too large, isNotWritten holds for the error, and
// further messages can follow.
func WriteMessage(w io.Writer, m proto.Message) error {
	buf := make([]byte, lengthSize, lengthSize+proto.Size(m))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
	if err != nil {
		return failure.Wrap(err, failure.MessageInvalid, failure.NotRun)
	}
	size := len(buf) - lengthSize
	if size > MaxFrame {
		return failure.New(failure.BodyTooLarge, failure.NotRun, "a frame of %d bytes exceeds the limit of %d bytes", size, MaxFrame)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.Write(buf)
	return errors.Trace(err)
}

// ReadMessage reads one frame into m. With the error code failure.BadRequest the frame was read whole and could not be
// decoded: m holds the fields before the invalid one, and further frames can be read.
func ReadMessage(r io.Reader, m proto.Message) error {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return errors.Trace(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrame {
		return failure.New(failure.BodyTooLarge, "", "a frame of %d bytes exceeds the limit of %d bytes", size, MaxFrame)
	}
	// Memory use grows with the bytes received, not with the length in the header.
	buf, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return errors.Trace(err)
	}
	if len(buf) < int(size) {
		return errors.Trace(io.ErrUnexpectedEOF)
	}
	if err := proto.Unmarshal(buf, m); err != nil {
		return failure.Wrap(err, failure.BadRequest, "")
	}
	return nil
}

// isNotWritten reports whether WriteMessage wrote nothing because of the message itself.
func isNotWritten(err error) bool {
	return failure.Is(err, failure.MessageInvalid) || failure.Is(err, failure.BodyTooLarge)
}

// isUndecodable reports whether ReadMessage read a whole frame that it could not decode.
func isUndecodable(err error) bool { return failure.Is(err, failure.BadRequest) }
