package peerlink

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/runtime/protoiface"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// A routed forward carries the body of its request in its message. The body is neither copied into the frame that is
// sent nor out of the frame that was received, so that a host holds it once.

// freeForwardBytes is the part of a forward's request that does not count toward the budget: small ones pass when large
// ones have spent it.
const freeForwardBytes = 64 << 10

// refusedRetryAfter is the Retry-After of a forward for which there is no memory.
const refusedRetryAfter = time.Second

// Field numbers of a routed forward and of its body, from the descriptors.
var (
	forwardField = fieldNumber(&pb.Request{}, "routed_forward")
	bodyField    = fieldNumber(&pb.RoutedForward{}, "body")
)

func fieldNumber(m proto.Message, name protoreflect.Name) protowire.Number {
	return m.ProtoReflect().Descriptor().Fields().ByName(name).Number()
}

// writeForward writes a request as WriteMessage does. It does not copy the body of a routed forward.
func writeForward(w io.Writer, req *pb.Request) error {
	f := req.GetRoutedForward()
	if f == nil || len(f.Body) <= chunkSize {
		return WriteMessage(w, req)
	}
	body := f.Body
	buf, err := marshalWithout(req, forwardField)
	if err != nil {
		return failure.Wrap(err, failure.MessageInvalid, failure.NotRun)
	}
	fields, err := marshalWithout(f, bodyField)
	if err != nil {
		return failure.Wrap(err, failure.MessageInvalid, failure.NotRun)
	}
	bodySize := protowire.SizeTag(bodyField) + protowire.SizeBytes(len(body))
	buf = protowire.AppendTag(buf, forwardField, protowire.BytesType)
	buf = protowire.AppendVarint(buf, uint64(len(fields)+bodySize))
	buf = append(buf, fields...)
	buf = protowire.AppendTag(buf, bodyField, protowire.BytesType)
	buf = protowire.AppendVarint(buf, uint64(len(body)))
	size := len(buf) + len(body)
	if size > MaxFrame {
		return failure.New(failure.BodyTooLarge, failure.NotRun, "a frame of %d bytes exceeds the limit of %d bytes", size, MaxFrame)
	}
	head := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(buf)), uint32(size))
	if _, err := w.Write(append(head, buf...)); err != nil {
		return errors.Trace(err)
	}
	_, err = w.Write(body)
	return errors.Trace(err)
}

// marshalWithout encodes a message without one of its fields.
func marshalWithout(m proto.Message, field protowire.Number) ([]byte, error) {
	rest := m.ProtoReflect().New()
	m.ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if fd.Number() != field {
			rest.Set(fd, v)
		}
		return true
	})
	return proto.Marshal(rest.Interface())
}

// forwardPrefixBytes is the part of a frame in which the fields of a request before its body are found.
const forwardPrefixBytes = 4 << 10

// readFirst reads the first message of a stream, as ReadMessage does. What a forward holds beyond its free part counts
// toward a budget; if that does not allow it, the message is read and dropped, as the other end reads the refusal only
// then. The bodies of the message share the memory of its frame.
func readFirst(r io.Reader, m proto.Message, hold *membudget.Hold) error {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return errors.Trace(err)
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size > MaxFrame {
		return failure.New(failure.BodyTooLarge, "", "a frame of %d bytes exceeds the limit of %d bytes", size, MaxFrame)
	}
	prefix := make([]byte, min(size, forwardPrefixBytes))
	if _, err := io.ReadFull(r, prefix); err != nil {
		return errors.Trace(err)
	}
	if carriesForward(prefix) && !hold.Grow(size) {
		return dropForward(r, size-int64(len(prefix)))
	}
	buf := prefix
	if rest := size - int64(len(prefix)); rest > 0 {
		buf = make([]byte, size) // the other end has proved to be a host
		if _, err := io.ReadFull(r, buf[copy(buf, prefix):]); err != nil {
			return errors.Trace(err)
		}
	}
	if err := unmarshalShared(buf, m); err != nil {
		return failure.Wrap(err, failure.BadRequest, "")
	}
	return nil
}

// dropForward reads the rest of a forward for which there is no memory.
func dropForward(r io.Reader, rest int64) error {
	if _, err := io.CopyN(io.Discard, r, rest); err != nil {
		return errors.Trace(err)
	}
	return errNoMemory()
}

func errNoMemory() error {
	return failure.New(failure.NoMemory, failure.NotRun, "this host has no memory for the forward").WithRetryAfter(refusedRetryAfter)
}

// carriesForward reports whether the beginning of an encoded request shows that it is a routed forward.
func carriesForward(prefix []byte) bool {
	for len(prefix) > 0 {
		number, kind, n := protowire.ConsumeTag(prefix)
		if n < 0 || number == forwardField {
			return n >= 0
		}
		prefix = prefix[n:]
		if n = protowire.ConsumeFieldValue(number, kind, prefix); n < 0 {
			return false
		}
		prefix = prefix[n:]
	}
	return false
}

// unmarshalShared decodes a message whose byte fields share the memory of buf.
func unmarshalShared(buf []byte, m proto.Message) error {
	r := m.ProtoReflect()
	methods := r.ProtoMethods()
	if methods == nil || methods.Unmarshal == nil {
		return proto.Unmarshal(buf, m)
	}
	_, err := methods.Unmarshal(protoiface.UnmarshalInput{Message: r, Buf: buf, Flags: protoiface.UnmarshalAliasBuffer, Depth: protowire.DefaultRecursionLimit})
	return err
}
