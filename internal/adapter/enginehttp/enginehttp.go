// Package enginehttp is the HTTP client for backend servers: model engines with an
// OpenAI-compatible interface, and services.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/httpanswer"
	"github.com/sesamefork/sesamefork/internal/adapter/httpheader"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Headers between entry hosts and backend servers.
const (
	HeaderAttemptID    = "Sesame-Attempt-Id"
	HeaderResumeTokens = "Sesame-Resume-Tokens"
	HeaderOutcome      = "Sesame-Outcome"
	// HeaderLeaving is "1" in the answers of a server that leaves.
	HeaderLeaving = "Sesame-Leaving"
)

// Client implements port.Backends and port.Engines.
type Client struct {
	http *http.Client
}

// Limits on connections to one backend server.
const (
	dialTimeout      = time.Second
	maxIdlePerServer = 256
	idleTimeout      = 30 * time.Second
	// maxHeadBytes bounds the head of a response, with the interim responses before it.
	maxHeadBytes = 64 << 10
	// readBufferBytes bounds the trailer of a chunked body too.
	readBufferBytes = 4 << 10
)

// New returns a client that has no connections yet.
func New() *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{
		Transport: httpanswer.NewTransport(&http.Transport{
			DialContext:         dialIfMaySend(d),
			MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			// Without it, net/http reads heads of up to 10 MiB.
			MaxResponseHeaderBytes: maxHeadBytes,
			ReadBufferSize:         readBufferBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// maySendKey is the context key of a call's condition to send.
type maySendKey struct{}

// dialIfMaySend returns a dialer that fails with port.ErrWithheld if the call's condition does not hold once the
// connection is open.
func dialIfMaySend(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if may, ok := ctx.Value(maySendKey{}).(func() bool); err == nil && ok && !may() {
			_ = conn.Close()
			return nil, port.ErrWithheld
		}
		return conn, err
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do implements port.Backends. It reports the request as sent once a connection was
// obtained, because the server may then have received bytes of it.
func (c *Client) Do(ctx context.Context, call port.BackendCall) (*port.BackendAnswer, bool, error) {
	var connected atomic.Bool
	if call.MaySend != nil {
		ctx = context.WithValue(ctx, maySendKey{}, call.MaySend)
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.URI, bytes.NewReader(call.Body))
	if err != nil {
		return nil, false, failure.Wrap(err, failure.BadRequest, failure.NotRun)
	}
	// Without GetBody, net/http does not resend a request with a body when a reused connection
	// breaks. It still resends one without a body, if the method is safe or the request has an
	// idempotency key.
	req.GetBody = nil
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderAttemptID, call.AttemptID)
	if call.ResumeTokens > 0 {
		req.Header.Set(HeaderResumeTokens, strconv.Itoa(call.ResumeTokens))
	}
	resp, err := c.http.Do(req)
	switch {
	case errors.Is(err, port.ErrWithheld):
		return nil, false, port.ErrWithheld
	case err != nil:
		return nil, connected.Load(), failure.Wrap(err, failure.BackendLost, outcomeOf(connected.Load()))
	}
	pause := httpheader.Pause(resp.StatusCode, resp.Header)
	leaving := httpheader.Flag(resp.Header, HeaderLeaving)
	resp.Header.Del(HeaderLeaving)
	return &port.BackendAnswer{
		Status: resp.StatusCode, Header: resp.Header, Body: resp.Body,
		OpenEnded: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
		Refused:   resp.Header.Get(HeaderOutcome) == string(failure.NotRun),
		Pause:     pause.For, InvalidPause: pause.Invalid,
		Leaving: leaving,
	}, true, nil
}

func outcomeOf(sent bool) failure.Outcome {
	if sent {
		return failure.Unknown
	}
	return failure.NotRun
}

// OrderReply is an engine's response to an order.
type OrderReply struct {
	Checked bool   `json:"fence_checked"`
	Error   string `json:"error"`
}

// Order implements port.Engines.
func (c *Client) Order(ctx context.Context, address string, o port.Order) (bool, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return false, failure.Wrap(err, failure.Internal, failure.NotRun)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return false, failure.Wrap(err, failure.BadRequest, failure.NotRun)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false, failure.Wrap(err, failure.BackendLost, failure.Unknown)
	}
	defer func() { _ = resp.Body.Close() }()
	var reply OrderReply
	data, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	_ = json.Unmarshal(data, &reply)
	if resp.StatusCode != http.StatusOK {
		return reply.Checked, failure.New(failure.BackendRefused, failure.NotRun, "the engine refused order %d: %s", o.Fence, reply.Error)
	}
	return reply.Checked, nil
}
