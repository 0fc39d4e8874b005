package configstate

import (
	"bytes"
	"compress/gzip"

	"github.com/juju/errors"
)

// gzipMagic begins compressed bytes; a record in JSON never does.
var gzipMagic = []byte{0x1f, 0x8b}

// maxInflated bounds an inflated record, in bytes.
const maxInflated = 64 << 20

// Compress returns a record's bytes compressed, so that one of hundreds of routes passes
// between regions in one round trip and does not hold up the group's heartbeats beyond the
// election timeout.
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

// Inflate returns a record's bytes as they were before Compress.
func Inflate(raw []byte) ([]byte, error) {
	if !bytes.HasPrefix(raw, gzipMagic) {
		return raw, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out bytes.Buffer
	if _, err := out.ReadFrom(&bounded{r, maxInflated}); err != nil {
		return nil, errors.Trace(err)
	}
	return out.Bytes(), nil
}

// bounded fails when more than left bytes are read.
type bounded struct {
	r    *gzip.Reader
	left int
}

// Read implements io.Reader.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left -= n; b.left < 0 {
		return n, errors.Errorf("the record is over %d bytes", maxInflated)
	}
	return n, err
}
