package ctl

import (
	"io"
	"net/http"
	"os"

	"github.com/sesamefork/sesamefork/internal/adapter/httpanswer"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Limits on what the command reads, in bytes.
const (
	// maxReadBytes bounds an answer, a file and standard input. The largest record has 8 MiB, and each of its bytes
	// takes up to six in an answer, where JSON escapes it.
	maxReadBytes = 64 << 20
	// maxHeadBytes bounds the head of an answer. Without it, net/http reads 10 MiB.
	maxHeadBytes = 64 << 10
)

// readBounded reads all of r. It fails if that is over maxReadBytes.
func readBounded(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxReadBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxReadBytes {
		return nil, failure.New(failure.BodyTooLarge, failure.Unknown, "the input is over %d bytes", maxReadBytes)
	}
	return data, nil
}

// readFile is os.ReadFile with the limit of readBounded.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return readBounded(f)
}

// transport is shared by all clients. It keeps no connections: hosts take an order only as the first call of one.
var transport = newTransport()

// newTransport returns the default transport with the limit on heads, and without kept connections.
func newTransport() http.RoundTripper {
	t, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return http.DefaultTransport
	}
	t = t.Clone()
	t.MaxResponseHeaderBytes, t.DisableKeepAlives = maxHeadBytes, true
	return httpanswer.NewTransport(t)
}
