package configstate

import (
	"bytes"
	"compress/gzip"

	"github.com/juju/errors"
)

// gzipMagic is the prefix of gzip data; a JSON record never begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// maxDecompressedBytes bounds the size of a decompressed record, in bytes.
const maxDecompressedBytes = 64 << 20

// Compress returns the bytes compressed with gzip, so that a record with hundreds of routes is
// transferred between regions in one round trip and does not delay the control group's heartbeats
// beyond the election timeout.
func Compress(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return out.Bytes(), nil
}

// Decompress returns the bytes that were passed to Compress. Uncompressed bytes are returned as
// they are.
func Decompress(raw []byte) ([]byte, error) {
	if !bytes.HasPrefix(raw, gzipMagic) {
		return raw, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out bytes.Buffer
	if _, err := out.ReadFrom(&limitedReader{r, maxDecompressedBytes}); err != nil {
		return nil, errors.Trace(err)
	}
	return out.Bytes(), nil
}

// limitedReader returns an error when more than remaining bytes are read from r.
type limitedReader struct {
	r         *gzip.Reader
	remaining int
}

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.remaining -= n; b.remaining < 0 {
		return n, errors.Errorf("decompressed record exceeds %d bytes", maxDecompressedBytes)
	}
	return n, err
}
