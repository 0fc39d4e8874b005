// Package backendconn sends HTTP/1.1 requests to backend servers over persistent
// connections. A request is written to exactly one connection and is never
// retried here. The transport of net/http retries some requests by itself when a
// reused connection breaks, and the request could then run twice without being
// counted as a retry.
package backendconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/sesamefork/sesamefork/internal/adapter/httpanswer"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// Options configures a Pool.
type Options struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// IdleTimeout is the maximum time that an idle connection is kept. A shorter timeout
	// stated by the server takes precedence.
	IdleTimeout time.Duration
	// MaxIdlePerAddr is the maximum number of idle connections per address.
	MaxIdlePerAddr int
	// LocalIP is the source address of connections; nil for any.
	LocalIP net.IP
	// HeadTimeout limits the time from the first byte of a response's head to its end (default 2 s).
	HeadTimeout time.Duration
	// Budget bounds the heads of responses that are held at once, beyond 8 KiB of each; nil for no bound.
	Budget *membudget.Budget
}

// Pool holds idle connections by address.
type Pool struct {
	o    Options
	mu   sync.Mutex
	idle map[string][]*conn // most recently used last
	// reusedAfter is the longest time after which an idle connection was still open, by address: a
	// server that closes one earlier does so for another reason than its idle timeout.
	reusedAfter map[string]time.Duration
	// inUse is the number of connections that have carried a response and carry a request, by address.
	inUse map[string]int
	// proofs is the latest proof of the process that listens at an address, and proved is closed and replaced
	// with each new one.
	proofs map[string]proof
	proved chan struct{}
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.HeadTimeout == 0 {
		o.HeadTimeout = defaultHeadTimeout
	}
	return &Pool{
		o: o, idle: map[string][]*conn{}, reusedAfter: map[string]time.Duration{}, inUse: map[string]int{},
		proofs: map[string]proof{}, proved: make(chan struct{}),
	}
}

type conn struct {
	net.Conn
	addr      string
	br        *bufio.Reader // of source
	source    *source
	expires   time.Time // not reused from this time on
	idleSince time.Time // zero until it has carried a response
	inUse     bool      // counted in Pool.inUse
	openSince time.Time // when it was established, or later
	process   string    // the process at its other end; "" until it is proved
}

// Error describes a request without a response.
type Error struct {
	// Sent is set when any byte of the request may have reached the server.
	Sent bool
	// DialFailed is set when no connection could be established.
	DialFailed bool
	// ServerLost is set when the server refused or ended a connection, and no other one to its address
	// is established: its process may have ended.
	ServerLost bool
	// Withheld is set when a condition of the request did not hold once a connection was open.
	Withheld bool
	// Unproved is set when it was not proved in time which process listens at the address.
	Unproved bool
	Cause    error
}

// Condition reports whether a request may still be sent. It is evaluated once a connection is open, before
// the request is written to it.
type Condition func() bool

// errWithheld is the cause of a request that was not sent because a condition did not hold.
var errWithheld = errors.New("the request may not be sent any more")

// errIdleClosed is the cause of a request that was not sent because the server had closed all idle
// connections.
var errIdleClosed = errors.New("the server closed its idle connections before their timeout")

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Match reports whether a response belongs to the request. mayBeLate reports whether the server may have sent the
// response before the request: one that does not name its request may then belong to an earlier one on the connection.
type Match func(r *http.Response, mayBeLate func() bool) bool

// Do sends the request with its body and returns the response once its head has
// arrived. Responses that do not match are skipped. The caller must close the response's body; after a body
// read to its end, the connection is reused. Canceling ctx closes the connection, after
// a short wait for the head of the response (see headLinger).
func (p *Pool) Do(ctx context.Context, addr string, req *http.Request, body []byte, matches Match, conditions ...Condition) (*http.Response, error) {
	c, _ := p.takeIdle(addr)
	return p.do(ctx, c, addr, req, body, matches, conditions)
}

// DoSameProcess is like Do, but returns an error with ServerLost set instead of opening a connection if
// the server closed its idle connections early: another process may listen at the address.
func (p *Pool) DoSameProcess(ctx context.Context, addr string, req *http.Request, body []byte, matches Match, conditions ...Condition) (*http.Response, error) {
	c, closedEarly := p.takeIdle(addr)
	if c == nil && closedEarly && !p.Connected(addr) {
		return nil, &Error{ServerLost: true, Cause: errIdleClosed}
	}
	return p.do(ctx, c, addr, req, body, matches, conditions)
}

// do sends the request on an idle connection, or on a new one if c is nil.
func (p *Pool) do(ctx context.Context, c *conn, addr string, req *http.Request, body []byte, matches Match, conditions []Condition) (*http.Response, error) {
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, &Error{DialFailed: true, ServerLost: p.refused(addr, err), Cause: err}
		}
	}
	if slices.ContainsFunc(conditions, func(holds Condition) bool { return !holds() }) {
		p.putBack(c)
		return nil, &Error{Withheld: true, Cause: errWithheld}
	}
	if ctx.Err() != nil {
		p.putBack(c)
		return nil, &Error{Cause: context.Cause(ctx)}
	}
	x := &exchange{p: p, c: c, written: make(chan struct{}), head: p.o.Budget.NewHold(freeHeadBytes), newConn: c.idleSince.IsZero()}
	x.unsolicited, x.writeBegan = !x.newConn && (c.unread() || !c.reusable()), time.Now()
	x.stop = context.AfterFunc(ctx, func() { x.cancel(ctx) })
	go x.write(req, body)
	// While the server works, only what is needed of the request is held: a head with many fields takes several times
	// its bytes.
	resp, err := x.readHead(&http.Request{Method: req.Method}, matches)
	x.headRead.Store(true)
	if err == nil {
		p.confirmByAnswer(x)
	}
	if err == nil && ctx.Err() != nil {
		_ = c.Conn.Close() // the caller has left
	}
	if err != nil {
		x.stop()
		x.head.Release()
		_ = c.Conn.Close()
		<-x.written
		p.setInUse(c, false)
		if ctx.Err() != nil {
			return nil, &Error{Sent: x.sent, Cause: context.Cause(ctx)}
		}
		return nil, &Error{Sent: x.sent, ServerLost: p.serverLost(addr, err), Cause: err}
	}
	p.setInUse(c, true)
	resp.Body = &responseBody{ctx: ctx, x: x, resp: resp, body: resp.Body}
	return resp, nil
}

// refused reports whether an error of dial means that no process listens at the address, or that the server ended
// the connection and no other one is established.
func (p *Pool) refused(addr string, err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || p.serverLost(addr, err)
}

// serverLost reports whether an error means that the server ended a connection, and no other one to
// its address is established.
func (p *Pool) serverLost(addr string, err error) bool {
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return ended && !p.Connected(addr)
}

// Connected reports whether a connection to the address that has carried a response is open.
func (p *Pool) Connected(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse[addr] > 0 || slices.ContainsFunc(p.idle[addr], (*conn).reusable)
}

// setInUse records whether a connection that has carried a response carries a request.
func (p *Pool) setInUse(c *conn, inUse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.inUse == inUse:
		return
	case inUse:
		p.inUse[c.addr]++
	default:
		if p.inUse[c.addr]--; p.inUse[c.addr] == 0 {
			delete(p.inUse, c.addr)
		}
	}
	c.inUse = inUse
}

// exchange is one request and its response on a connection.
type exchange struct {
	p           *Pool
	c           *conn
	stop        func() bool
	headRead    atomic.Bool
	head        *membudget.Hold // of the bytes of the response's head
	written     chan struct{}   // closed when the write of the request has ended
	sent        bool            // any byte of the request was written; set before written is closed
	newConn     bool            // the request is the first one on its connection
	unsolicited bool            // bytes had arrived before the write of the request began
	writeBegan  time.Time       // of the request
	writeErr    error           // of the write; set before written is closed
}

// headLinger is the longest time for which a connection waits for the head of a response after the caller has left.
// The head may name a pause that the server asks for.
const headLinger = 100 * time.Millisecond

// cancel ends the exchange. If its caller left before the head of the response arrived, the connection stays open
// for at most headLinger. After any other cause it is closed at once, as the caller waits for the end.
func (x *exchange) cancel(ctx context.Context) {
	if x.headRead.Load() || context.Cause(ctx) != context.Canceled {
		_ = x.c.Conn.Close()
		return
	}
	_ = x.c.Conn.SetReadDeadline(time.Now().Add(headLinger))
}

// countingWriter counts the bytes that the connection accepted.
type countingWriter struct {
	w io.Writer
	n int
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.n += n
	return n, err
}

func (x *exchange) write(req *http.Request, body []byte) {
	defer close(x.written)
	out := req.WithContext(context.Background())
	out.Body, out.ContentLength = http.NoBody, 0
	if len(body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	cw := &countingWriter{w: x.c.Conn}
	bw := bufio.NewWriterSize(cw, 8<<10)
	err := writeRequest(bw, out)
	if err == nil {
		err = bw.Flush()
	}
	x.sent, x.writeErr = cw.n > 0, err
}

// writeRequest writes a request whose target is the opaque part of its URL. net/http writes one that begins with two
// slashes as "://...".
func writeRequest(w *bufio.Writer, req *http.Request) error {
	if !strings.HasPrefix(req.URL.Opaque, "//") {
		return req.Write(w)
	}
	u := *req.URL
	u.Opaque = "/" + strings.TrimLeft(u.Opaque, "/")
	slashes := len(req.URL.Opaque) - len(u.Opaque)
	req.URL = &u
	return req.Write(&targetWriter{w: w, before: []byte(req.Method + " "), slashes: strings.Repeat("/", slashes)})
}

// targetWriter writes a request with slashes before its target.
type targetWriter struct {
	w       *bufio.Writer
	before  []byte // what precedes the target; nil once that is written
	slashes string
}

// Write implements io.Writer. The first part that is written holds what precedes the target.
func (t *targetWriter) Write(p []byte) (int, error) {
	if t.before == nil {
		return t.w.Write(p)
	}
	if !bytes.HasPrefix(p, t.before) {
		return 0, errors.New("the request does not begin with its method")
	}
	n, err := t.w.Write(t.before)
	if err == nil {
		_, err = t.w.WriteString(t.slashes)
	}
	t.before = nil
	if err != nil {
		return n, err
	}
	m, err := t.w.Write(p[n:])
	return n + m, err
}

// readHead reads up to the head of the response that belongs to the request. Interim responses and late responses to
// earlier requests are skipped, up to maxSkippedHeadBytes and maxSkippedBodyBytes.
func (x *exchange) readHead(req *http.Request, matches Match) (*http.Response, error) {
	heads, bodies := maxSkippedHeadBytes, int64(maxSkippedBodyBytes)
	for {
		size, err := x.awaitHead()
		if err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.c.br, req)
		if err == nil {
			err = httpanswer.Check(resp)
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		interim := resp.StatusCode >= 100 && resp.StatusCode < 200
		if !interim && matches(resp, func() bool { return x.mayBeLate(resp) }) {
			return resp, nil
		}
		if heads -= size; heads <= 0 {
			return nil, errSkippedTooLong
		}
		if interim {
			continue
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, bodies))
		if err == nil {
			err = httpanswer.CheckFields(resp.Trailer)
		}
		if bodies -= n; bodies <= 0 {
			return nil, errSkippedTooLong
		}
		if err != nil || resp.Close || !selfDelimited(resp) {
			return nil, failure.New(failure.BackendLost, failure.Unknown, "the connection carried a response to another request")
		}
	}
}

// mayBeLate reports whether the server may have sent a response, whose head was read, before the request. It has not if
// nothing had arrived when the write of the request began, the head arrived a round trip after that or later, and no
// other response follows it at once, as far as its stated length shows.
func (x *exchange) mayBeLate(resp *http.Response) bool {
	if x.newConn {
		return false
	}
	after := time.Since(x.writeBegan)
	followed := resp.ContentLength >= 0 && int64(x.c.br.Buffered()+len(x.c.source.ahead)) > resp.ContentLength
	return x.unsolicited || followed || after < x.c.minRoundTrip()
}

// selfDelimited reports whether the body has a known length or is chunked, so that
// its end does not depend on the end of the connection.
func selfDelimited(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// responseBody returns the connection to the pool once the body was read to its end.
type responseBody struct {
	ctx  context.Context // of the request
	x    *exchange
	resp *http.Response
	body io.ReadCloser
	done bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	err = httpanswer.EndOf(b.resp, err)
	if err == io.EOF && !b.done {
		b.finish(true)
	} else if err != nil && !b.done {
		b.finish(false)
		if b.ctx.Err() == nil {
			err = &Error{Sent: true, ServerLost: b.x.p.serverLost(b.x.c.addr, err), Cause: err}
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if !b.done {
		b.finish(false)
	}
	return nil
}

func (b *responseBody) finish(complete bool) {
	b.done = true
	x := b.x
	x.p.setInUse(x.c, false)
	x.head.Release()
	if !x.stop() || !complete || b.resp.Close || !selfDelimited(b.resp) || x.c.unread() {
		_ = x.c.Conn.Close()
		return
	}
	select {
	case <-x.written:
		x.release(b.resp)
	default:
		// The response arrived before the end of the write was observed. Usually the
		// write has ended by now, but a server that responds early may never read the
		// rest of the request.
		_ = x.c.Conn.SetWriteDeadline(time.Now().Add(lateWriteTimeout))
		go func() {
			<-x.written
			x.release(b.resp)
		}()
	}
}

// lateWriteTimeout limits the rest of a request's write after its response is complete.
const lateWriteTimeout = time.Second

// release returns the connection to the pool if the whole request was written, and
// closes it otherwise.
func (x *exchange) release(resp *http.Response) {
	if x.writeErr != nil {
		_ = x.c.Conn.Close()
		return
	}
	_ = x.c.Conn.SetWriteDeadline(time.Time{})
	x.p.put(x.c, resp)
}

// takeIdle returns an open idle connection, or nil. closedEarly reports that the server closed one
// after a shorter time than others stayed open.
func (p *Pool) takeIdle(addr string) (c *conn, closedEarly bool) {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil, closedEarly
		}
		unexpired := time.Now().Before(c.expires)
		if unexpired && c.reusable() {
			p.recordReuse(c)
			p.setInUse(c, true)
			return c, closedEarly
		}
		closedEarly = closedEarly || (unexpired && p.reusableFor(addr) >= time.Since(c.idleSince))
		_ = c.Conn.Close()
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: p.o.DialTimeout}
	if p.o.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.o.LocalIP}
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	limitReceiveBuffer(nc)
	nc = httpanswer.Wrap(nc)
	src := &source{conn: nc}
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(src, readBufferBytes), source: src, openSince: time.Now()}, nil
}

// recordReuse records that a connection was open at the end of its idle time.
func (p *Pool) recordReuse(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reusedAfter[c.addr] = max(p.reusedAfter[c.addr], time.Since(c.idleSince))
}

func (p *Pool) reusableFor(addr string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reusedAfter[addr]
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// reusable reports whether the idle connection is open and has no bytes to read. It
// detects a close by the server, or an unsolicited response, before the next request
// is sent.
func (c *conn) reusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && open
}

// minRoundTrip returns the connection's minimum round-trip time as the kernel reports it (TCP_INFO); 0 if unknown.
func (c *conn) minRoundTrip() (d time.Duration) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.Min_rtt != math.MaxUint32 {
				d = time.Duration(info.Min_rtt) * time.Microsecond
			}
		})
	}
	return d
}

// put adds the connection to the pool. It expires before the timeout that the server
// stated in the response.
func (p *Pool) put(c *conn, resp *http.Response) {
	idleTimeout := p.o.IdleTimeout
	if s := keepAliveTimeout(resp.Header.Get("Keep-Alive")); s > 0 {
		// The server's timeout runs from when it sent its last byte, which is before
		// this host received it.
		idleTimeout = min(idleTimeout, s*3/4)
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= p.o.MaxIdlePerAddr {
		_ = c.Conn.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// putBack returns a connection without a request to the idle ones. It closes one that has never carried a response.
func (p *Pool) putBack(c *conn) {
	p.setInUse(c, false)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idleSince.IsZero() || len(p.idle[c.addr]) >= p.o.MaxIdlePerAddr {
		_ = c.Conn.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// keepAliveTimeout returns the "timeout=N" parameter of a Keep-Alive header, or 0 without
// a valid one.
func keepAliveTimeout(value string) time.Duration {
	for _, f := range strings.Split(value, ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			s, err := strconv.Atoi(n)
			if err != nil {
				return 0
			}
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Conn.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			delete(p.reusedAfter, addr)
			continue
		}
		p.idle[addr] = kept
	}
	p.dropOldProofs(now)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Conn.Close()
		}
	}
	p.idle = map[string][]*conn{}
}
