package gateway

import (
	"io"

	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// Sizes of an answer's buffers, in bytes.
const (
	// freeAnswerBytes is the part of an answer or an event that does not count toward the host's budget: ordinary ones
	// pass when large ones have spent it.
	freeAnswerBytes = 16 << 10
	minChunkBytes   = 512
	maxChunkBytes   = 64 << 10
)

// answerBuffer holds a whole answer in chunks, which are not copied as it grows and are given back one by one as it is
// sent.
type answerBuffer struct {
	chunks [][]byte
	size   int64 // of the answer
	hold   *membudget.Hold
}

func (g *Gateway) newAnswerBuffer() *answerBuffer {
	return &answerBuffer{hold: g.o.AnswerBudget.NewHold(freeAnswerBytes)}
}

// errAnswerTooLong is the error of an answer over maxAnswerBytes.
var errAnswerTooLong = failure.New(failure.Truncated, failure.Unknown, "the answer is over %d bytes", maxAnswerBytes)

// readAll reads an answer of a stated length, which is negative if unknown.
func (b *answerBuffer) readAll(r io.Reader, length int64) error {
	if length > maxAnswerBytes {
		return errAnswerTooLong
	}
	for {
		chunk, err := b.newChunk(b.nextChunkBytes(length))
		if err != nil {
			return err
		}
		n, err := fill(r, chunk)
		b.chunks[len(b.chunks)-1] = chunk[:n]
		b.size += int64(n)
		switch {
		case b.size > maxAnswerBytes:
			return errAnswerTooLong
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// nextChunkBytes returns the size of the next chunk: one that holds the rest of an answer of a known length and one
// more byte, by which its end is found, or as many bytes as the chunks before.
func (b *answerBuffer) nextChunkBytes(length int64) int64 {
	n := b.size
	if length >= 0 {
		n = length - b.size + 1
	}
	return min(max(n, minChunkBytes), maxChunkBytes)
}

// newChunk adds a chunk of n bytes.
func (b *answerBuffer) newChunk(n int64) ([]byte, error) {
	if !b.hold.Grow(n) {
		return nil, membudget.ErrSpent
	}
	chunk := make([]byte, n)
	b.chunks = append(b.chunks, chunk)
	return chunk, nil
}

// add adds a chunk that is not changed afterwards.
func (b *answerBuffer) add(chunk []byte) error {
	switch {
	case b.size+int64(len(chunk)) > maxAnswerBytes:
		return errAnswerTooLong
	case !b.hold.Grow(int64(cap(chunk))):
		return membudget.ErrSpent
	}
	b.chunks = append(b.chunks, chunk)
	b.size += int64(len(chunk))
	return nil
}

// sendTo sends the answer and gives back each chunk once it is sent.
func (b *answerBuffer) sendTo(sink Sink) error {
	for i, chunk := range b.chunks {
		if err := sink.Data(chunk); err != nil {
			return err
		}
		b.hold.Shrink(int64(cap(chunk)))
		b.chunks[i] = nil
	}
	return nil
}

// release gives back what is held.
func (b *answerBuffer) release() {
	b.chunks = nil
	b.hold.Release()
}

// fill reads until p is full or the reader returns an error.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}
