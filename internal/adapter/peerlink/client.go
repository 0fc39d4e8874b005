package peerlink

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Options configures both ends of the links.
type Options struct {
	Key         []byte             // the hosts' shared key
	TLS         func() *tls.Config // nil for plain TCP; called for each connection
	Local       net.IP             // address to dial from; nil for any
	DialTimeout time.Duration      // default 1 s
	KeepAlive   time.Duration      // interval of the keep-alive; default 2 s
	// Count is told of the bytes sent and received; nil for nobody.
	Count func(sent, received int)
}

// counted wraps a connection so that Count is told of its bytes.
func (o *Options) counted(conn net.Conn) net.Conn {
	if o.Count == nil {
		return conn
	}
	return &countedConn{conn, o.Count}
}

type countedConn struct {
	net.Conn
	count func(sent, received int)
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}

func (o *Options) setDefaults() {
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	if o.KeepAlive == 0 {
		o.KeepAlive = 2 * time.Second
	}
}

// maxStreamWindow bounds the bytes a stream may have in flight unread.
const maxStreamWindow = 512 << 10

// serverKeepAlives is how many times seldomer the end that accepted a link asks whether the
// other one is there. The dialing end, whose calls wait, finds a lost link; the other one only
// frees what it holds.
const serverKeepAlives = 8

func (o *Options) serverConfig() *yamux.Config {
	c := o.yamuxConfig()
	c.KeepAliveInterval *= serverKeepAlives
	return c
}

func (o *Options) yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = o.KeepAlive
	c.ConnectionWriteTimeout = 2 * o.KeepAlive
	c.StreamOpenTimeout = 2 * o.KeepAlive
	c.MaxStreamWindowSize = maxStreamWindow
	c.AcceptBacklog = 4096
	c.LogOutput = io.Discard
	return c
}

// Client holds one session to each address that was called.
type Client struct {
	o        Options
	dialTCP  func(ctx context.Context, network, addr string) (net.Conn, error)
	mu       sync.Mutex
	sessions map[string]*slot
	closed   bool
}

// slot serialises dialling of one address.
type slot struct {
	mu      sync.Mutex
	session *session
	failed  error
	retryAt time.Time
}

// redialPause keeps an unreachable address from being dialled by every caller. A host
// whose process is just starting refuses connections for a moment.
const redialPause = 100 * time.Millisecond

// connectTry is how long one try to connect may take: two round trips between regions
// 80 ms apart. The opening packet is lost on a bad link, or finds a host that has no
// power yet, and the system sends it again only after a second.
const connectTry = 350 * time.Millisecond

// NewClient returns a client without sessions.
func NewClient(o Options) *Client {
	o.setDefaults()
	d := &net.Dialer{}
	if o.Local != nil {
		d.LocalAddr = &net.TCPAddr{IP: o.Local}
	}
	return &Client{o: o, sessions: map[string]*slot{}, dialTCP: d.DialContext}
}

// Close ends all sessions.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	slots := c.sessions
	c.sessions = map[string]*slot{}
	c.mu.Unlock()
	for _, s := range slots {
		s.mu.Lock()
		if s.session != nil {
			_ = s.session.Close()
		}
		s.mu.Unlock()
	}
}

// Drop ends the session to an address that was found dead, so that requests
// under way on it fail now and not at the keep-alive's timeout.
func (c *Client) Drop(addr string) {
	c.mu.Lock()
	s := c.sessions[addr]
	c.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil {
		_ = s.session.Close()
		s.session = nil
	}
}

func (c *Client) session(ctx context.Context, addr string) (*session, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "the client is closed")
	}
	s := c.sessions[addr]
	if s == nil {
		s = &slot{}
		c.sessions[addr] = s
	}
	c.mu.Unlock()

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil && !s.session.IsClosed() {
		return s.session, nil
	}
	if time.Now().Before(s.retryAt) {
		return nil, s.failed
	}
	session, err := c.dial(ctx, addr)
	if err != nil {
		s.failed, s.retryAt = err, time.Now().Add(redialPause)
		return nil, err
	}
	s.session = session
	return session, nil
}

func (c *Client) dial(ctx context.Context, addr string) (*session, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.o.DialTimeout)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	conn = c.o.counted(conn)
	if c.o.TLS != nil {
		t := tls.Client(conn, c.o.TLS())
		if err := t.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, failure.Wrap(err, failure.PeerRefused, failure.NotRun)
		}
		conn = t
	}
	if err := handshake(conn, c.o.Key, dialerRole, listenerRole); err != nil {
		_ = conn.Close()
		return nil, err
	}
	mux, err := yamux.Client(conn, c.o.yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	return newSession(mux), nil
}

// connect opens a TCP connection, with a new try as long as the last one got no answer.
func (c *Client) connect(ctx context.Context, addr string) (net.Conn, error) {
	for {
		try, cancel := context.WithTimeout(ctx, connectTry)
		conn, err := c.dialTCP(try, "tcp", addr)
		silent := try.Err() != nil
		cancel()
		if err == nil || !silent || ctx.Err() != nil {
			return conn, errors.Trace(err)
		}
	}
}

// Call implements port.Peers. Calls to one host share a stream: each has a
// number, and answers come in any order. A call that is given up leaves its
// number behind, so that a late answer reaches nobody.
func (c *Client) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	session, err := c.session(ctx, addr)
	if err != nil {
		return nil, err
	}
	resp, err := session.call(ctx, req)
	if err != nil {
		return nil, err
	}
	if r := resp.Refusal; r != nil {
		return resp, failure.New(failure.Code(r.Code), failure.NotRun, "%s", r.Detail)
	}
	return resp, nil
}

func (c *Client) open(ctx context.Context, addr string, req *pb.Request) (s *yamux.Stream, sent bool, err error) {
	session, err := c.session(ctx, addr)
	if err != nil {
		return nil, false, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, false, failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	if err := WriteMessage(stream, req); err != nil {
		_ = stream.Close()
		return nil, true, failure.Wrap(err, failure.PeerUnreachable, failure.Unknown)
	}
	return stream, true, nil
}

// chunkSize is the size of the pieces in which a body travels.
const chunkSize = 64 << 10

// Open implements port.Peers. The body follows the request in chunks. The
// stream ends with ctx.
func (c *Client) Open(ctx context.Context, addr string, req *pb.Request, body []byte) (port.ForwardStream, bool, error) {
	stream, sent, err := c.open(ctx, addr, req)
	if err != nil {
		return nil, sent, err
	}
	f := &forwardStream{stream: stream}
	f.stop = context.AfterFunc(ctx, func() { _ = stream.Close() })
	for len(body) > 0 {
		n := min(len(body), chunkSize)
		if err := WriteMessage(stream, &pb.ForwardChunk{Data: body[:n]}); err != nil {
			_ = f.Close()
			return nil, true, failure.Wrap(err, failure.PeerUnreachable, failure.Unknown)
		}
		body = body[n:]
	}
	return f, true, nil
}

type forwardStream struct {
	stream *yamux.Stream
	stop   func() bool
}

// Recv implements port.ForwardStream.
func (f *forwardStream) Recv() (*pb.ForwardFrame, error) {
	frame := new(pb.ForwardFrame)
	if err := ReadMessage(f.stream, frame); err != nil {
		return nil, errors.Trace(err)
	}
	return frame, nil
}

// Close implements port.ForwardStream.
func (f *forwardStream) Close() error {
	f.stop()
	return errors.Trace(f.stream.Close())
}
