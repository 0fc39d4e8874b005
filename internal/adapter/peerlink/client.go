package peerlink

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Options configures either end of a link.
type Options struct {
	Key         []byte             // the key shared by all hosts
	TLS         func() *tls.Config // nil for plain TCP; called for each connection
	Local       net.IP             // address to dial from; nil for any
	DialTimeout time.Duration      // default 1 s
	KeepAlive   time.Duration      // interval of keep-alive messages, and bound of a round trip; default 2 s
	// LeaveTimeout bounds the time from the end of Server.Run's context until its links have ended
	// (default two keep-alive intervals). It should exceed the keep-alive interval, after which a silent link
	// is closed.
	LeaveTimeout time.Duration
	Log          logr.Logger // receives a line when a link ends, and for each invalid message
	// Metrics counts invalid messages; nil for none.
	Metrics port.Metrics
	// Count, if not nil, is called with the number of bytes of each write and read.
	Count func(sent, received int)
	// PeerLeaves is called when the other end of a link that a client opened announces that it accepts no further
	// requests; nil for none.
	PeerLeaves func(addr string)
	// Budget limits the unread data of all forwards that a client has opened, beyond 16 KiB of each; nil for no limit.
	Budget *membudget.Budget
	// Forwards limits the requests of all forwards that a server has accepted, beyond 64 KiB of each; nil for no limit.
	Forwards *membudget.Budget
	// MaxHandshakes is the maximum number of connections to a server that are in their handshake; 0 for no limit.
	MaxHandshakes int
}

// countBytes returns conn, wrapped so that its reads and writes call Count.
func (o *Options) countBytes(conn net.Conn) net.Conn {
	if o.Count == nil {
		return conn
	}
	return &countingConn{conn, o.Count}
}

type countingConn struct {
	net.Conn
	count func(sent, received int)
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
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
	if o.LeaveTimeout == 0 {
		o.LeaveTimeout = 2 * o.KeepAlive
	}
}

// maxStreamWindow is the maximum number of unread bytes per stream.
const maxStreamWindow = 512 << 10

// serverKeepAliveFactor multiplies the keep-alive interval at the accepting end of a link. The
// dialing end must detect a lost link soon because its calls wait for it. The accepting end only
// releases resources.
const serverKeepAliveFactor = 8

func (o *Options) serverConfig() *yamux.Config {
	c := o.yamuxConfig()
	c.KeepAliveInterval *= serverKeepAliveFactor
	return c
}

func (o *Options) yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive, c.StreamOpenTimeout = false, 0 // see link
	c.StreamCloseTimeout = 0                          // see isNotAccepted
	c.KeepAliveInterval = o.KeepAlive
	c.ConnectionWriteTimeout = 2 * o.KeepAlive
	c.MaxStreamWindowSize = maxStreamWindow
	c.AcceptBacklog = 4096
	c.LogOutput = io.Discard
	return c
}

// Client calls other hosts. It keeps one session to each address.
type Client struct {
	o       Options
	dialTCP func(ctx context.Context, network, addr string) (net.Conn, error)
	mu      sync.Mutex
	peers   map[string]*peer
	closed  bool
}

// peer holds the sessions to one address. Its mutex serialises dialling.
type peer struct {
	mu      sync.Mutex
	session *session
	// leaving are earlier sessions whose other end leaves, while answers are awaited on them.
	leaving []*session
	dialErr error     // error of the last failed dial, returned until retryAt
	retryAt time.Time // when the next dial is allowed
}

// redialBackoff is the time after a failed dial within which further calls to the address
// fail at once. It limits the dials to an unreachable address, and is short because a host
// refuses connections only briefly while its process starts.
const redialBackoff = 100 * time.Millisecond

// connectAttemptTimeout is the timeout of one connection attempt. It covers two round trips
// between regions 80 ms apart. The operating system retransmits a SYN packet that was lost,
// or was sent to a host that is still powered off, only after 1 s.
const connectAttemptTimeout = 350 * time.Millisecond

// NewClient returns a client without sessions.
func NewClient(o Options) *Client {
	o.setDefaults()
	d := &net.Dialer{}
	if o.Local != nil {
		d.LocalAddr = &net.TCPAddr{IP: o.Local}
	}
	return &Client{o: o, peers: map[string]*peer{}, dialTCP: d.DialContext}
}

// Close ends all sessions.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = map[string]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.closeSessions()
	}
}

// closeSessions closes all sessions to the address.
func (p *peer) closeSessions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil {
		_ = p.session.Close()
		p.session = nil
	}
	for _, s := range p.leaving {
		_ = s.Close()
	}
	p.leaving = nil
}

// replace makes s the session for calls and forwards that begin. p.mu must be held.
func (p *peer) replace(s *session) {
	p.leaving = slices.DeleteFunc(p.leaving, (*session).IsClosed)
	if p.session != nil && !p.session.IsClosed() {
		p.leaving = append(p.leaving, p.session)
	}
	p.session = s
}

// CloseSession closes the sessions to an address that was found to be dead, so that requests in
// flight fail at once and not at the keep-alive timeout.
func (c *Client) CloseSession(addr string) {
	c.mu.Lock()
	p := c.peers[addr]
	c.mu.Unlock()
	if p != nil {
		p.closeSessions()
	}
}

func (c *Client) session(ctx context.Context, addr string) (*session, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "the client is closed")
	}
	p := c.peers[addr]
	if p == nil {
		p = &peer{}
		c.peers[addr] = p
	}
	c.mu.Unlock()

	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && p.session.isUsable() {
		return p.session, nil
	}
	if time.Now().Before(p.retryAt) {
		return nil, p.dialErr
	}
	session, err := c.dial(ctx, addr)
	if err != nil {
		p.dialErr, p.retryAt = err, time.Now().Add(redialBackoff)
		return nil, err
	}
	p.replace(session)
	return session, nil
}

func (c *Client) dial(ctx context.Context, addr string) (*session, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.o.DialTimeout)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	conn = c.o.countBytes(conn)
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
	l, err := newLink(conn, c.o.yamuxConfig(), c.o.KeepAlive, yamux.Client)
	if err != nil {
		_ = conn.Close()
		return nil, failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	go l.logEnd(c.o.Log, addr)
	s := newLinkSession(l)
	if c.o.PeerLeaves != nil {
		s.onPeerLeaves(func() { c.o.PeerLeaves(addr) })
	}
	return s, nil
}

// connect opens a TCP connection. It retries attempts that time out until ctx ends.
func (c *Client) connect(ctx context.Context, addr string) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, connectAttemptTimeout)
		conn, err := c.dialTCP(attempt, "tcp", addr)
		timedOut := attempt.Err() != nil
		cancel()
		if err == nil || !timedOut || ctx.Err() != nil {
			return conn, errors.Trace(err)
		}
	}
}

// Call implements port.Peers. Calls to one host share a stream. Each call has a
// number, and responses arrive in any order. The number of a call that was given up
// is not reused, so that a late response to it is discarded.
func (c *Client) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	session, err := c.session(ctx, addr)
	if err != nil {
		return nil, err
	}
	resp, err := session.call(ctx, req)
	if err != nil {
		c.o.reportInvalid(err, addr, req)
		return nil, err
	}
	if r := resp.Refusal; r != nil {
		f := failure.New(failure.Code(r.Code), failure.NotRun, "%s", r.Detail)
		if f.Code == failure.MessageInvalid {
			f.Outcome = failure.Unknown // the call ran, and its response is lost
			c.o.reportInvalid(f, addr, req)
		}
		return resp, f
	}
	return resp, nil
}

// reportInvalid logs and counts a message that could not be written or read because it is invalid; it ignores other
// errors.
func (o *Options) reportInvalid(err error, remote string, m proto.Message) {
	if !isNotWritten(err) && !isUndecodable(err) {
		return
	}
	o.Log.Info("message invalid", "remote", remote, "type", messageType(m), "reason", failure.As(err, "").Detail)
	if o.Metrics != nil {
		o.Metrics.Add("peer_messages_invalid", 1)
	}
}

// messageType returns the name of a message's body, or of the message itself if it has none.
func messageType(m proto.Message) string {
	r := m.ProtoReflect()
	if bodies := r.Descriptor().Oneofs().ByName("body"); bodies != nil {
		if f := r.WhichOneof(bodies); f != nil {
			return string(f.Name())
		}
	}
	return string(r.Descriptor().Name())
}

// chunkSize is the maximum size of a body chunk, in bytes.
const chunkSize = 64 << 10

// Open implements port.Peers. It sends the request and then the body in chunks. The
// stream is closed when ctx ends.
func (c *Client) Open(ctx context.Context, addr string, req *pb.Request, body []byte) (port.ForwardStream, bool, error) {
	session, err := c.session(ctx, addr)
	if err != nil {
		return nil, false, err
	}
	stream, err := session.openForward()
	if err != nil {
		return nil, false, failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	session.gate.count(stream, c.o.Budget)
	f := &forwardStream{stream: stream, end: sync.OnceFunc(session.endForward)}
	f.stop = context.AfterFunc(ctx, func() { _ = stream.Close() })
	if err := f.send(req, body); err != nil {
		_ = f.Close()
		if isNotAccepted(err) {
			return nil, false, errPeerLeaves
		}
		if isNotWritten(err) {
			c.o.reportInvalid(err, addr, req)
			return nil, false, err
		}
		return nil, true, failure.Wrap(err, failure.PeerUnreachable, failure.Unknown)
	}
	return f, true, nil
}

type forwardStream struct {
	stream   *linkStream
	stop     func() bool
	end      func() // reports the end of the forward to the session
	answered bool   // a frame was received
}

// send sends the request and its body.
func (f *forwardStream) send(req *pb.Request, body []byte) error {
	if err := writeForward(f.stream, req); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), chunkSize)
		if err := WriteMessage(f.stream, &pb.ForwardChunk{Data: body[:n]}); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// Recv implements port.ForwardStream.
func (f *forwardStream) Recv() (*pb.ForwardFrame, error) {
	frame := new(pb.ForwardFrame)
	if err := ReadMessage(f.stream, frame); err != nil {
		if !f.answered && isNotAccepted(err) {
			return nil, errPeerLeaves
		}
		return nil, errors.Trace(err)
	}
	f.answered = true
	return frame, nil
}

// Close implements port.ForwardStream.
func (f *forwardStream) Close() error {
	f.stop()
	defer f.end()
	defer f.stream.gate.abandon(f.stream)
	return errors.Trace(f.stream.Close())
}
