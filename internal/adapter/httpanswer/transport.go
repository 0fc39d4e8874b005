package httpanswer

import (
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// Transport is a transport of net/http that fails a call whose answer is not a whole HTTP/1.1 answer.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that uses base, and wraps its connections.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = WrapDial(dial)
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, errors.Trace(err)
	}
	resp.Body = &body{resp.Body, resp}
	return resp, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// body checks the trailer at the end of an answer's body.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, EndOf(b.resp, err)
}

// EndOf returns the error with which the read of an answer's body ends: err, or the fault of the answer's trailer.
func EndOf(resp *http.Response, err error) error {
	if err != io.EOF {
		return err
	}
	if fault := CheckFields(resp.Trailer); fault != nil {
		return errors.Trace(fault)
	}
	return err
}
