package peerlink

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
	"github.com/sesamefork/sesamefork/internal/port"
)

// incoming is the server's end of a forward's stream.
type incoming struct {
	s *linkStream
	o *Options
	// sendTime bounds the time for which Send waits after the other end has closed the stream. An end that still reads
	// lets this one send more within a round trip.
	sendTime time.Duration
	hold     *membudget.Hold // of the forward's request
}

// Body implements port.IncomingStream.
func (s incoming) Body(size uint64, limit uint64) ([]byte, error) {
	if size > limit {
		return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "a body of %d bytes exceeds the limit of %d bytes", size, limit)
	}
	granted := s.hold.Grow(int64(size))
	var body []byte
	if granted {
		body = make([]byte, 0, size) // the other end has proved to be a host
	}
	for received := uint64(0); received < size; {
		c := new(pb.ForwardChunk)
		if err := ReadMessage(s.s, c); err != nil {
			return nil, errors.Trace(err)
		}
		received += uint64(len(c.Data))
		if len(c.Data) == 0 || received > size {
			return nil, failure.New(failure.BadRequest, failure.NotRun, "the body chunks do not add up to the stated body size")
		}
		if granted {
			body = append(body, c.Data...)
		}
	}
	if !granted { // the other end reads the refusal only after it has sent the body
		return nil, errNoMemory()
	}
	return body, nil
}

// Send implements port.IncomingStream.
func (s incoming) Send(f *pb.ForwardFrame) error {
	err := WriteMessage(s.s, f)
	s.o.reportInvalid(err, s.s.RemoteAddr().String(), f)
	return err
}

// CancelOnClose implements port.IncomingStream.
func (s incoming) CancelOnClose(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		var b [1]byte
		_, _ = s.s.Read(b[:]) // returns when the stream or the session ends
		_ = s.s.SetWriteDeadline(time.Now().Add(s.sendTime))
		cancel()
	}()
	return ctx, cancel
}

// Server accepts links from other hosts.
type Server struct {
	o       Options
	handler port.PeerHandler
	log     logr.Logger
	ln      net.Listener
	wg      sync.WaitGroup
	mu      sync.Mutex
	conns   map[net.Conn]*link // nil for a connection before its link begins
	leaving bool
	// handshakes are the connections before their link begins, the oldest first.
	handshakes         []net.Conn
	handshakesLoggedAt time.Time
	forwardsLoggedAt   time.Time
}

// NewServer returns a server that listens on addr.
func NewServer(addr string, o Options, h port.PeerHandler, log logr.Logger) (*Server, error) {
	o.setDefaults()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "")
	}
	return &Server{o: o, handler: h, log: log, ln: ln, conns: map[net.Conn]*link{}}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Run accepts links until ctx ends. It then leaves them: it accepts no further requests, and waits until
// the other ends have read the answers to all others and closed their links. A link whose other end sends
// nothing for the keep-alive interval, and any that is left after the leave timeout, is closed.
func (s *Server) Run(ctx context.Context) error {
	handling, stopHandling := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHandling()
	stop := context.AfterFunc(ctx, s.leave)
	defer stop()
	for {
		conn, err := s.accept(ctx)
		if err != nil {
			s.await(ctx, stopHandling)
			if ctx.Err() != nil {
				return nil
			}
			return failure.Wrap(err, failure.Internal, "")
		}
		if !s.track(conn) {
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer s.untrack(conn)
			s.serve(ctx, handling, conn)
		}()
	}
}

// acceptRetryInterval is the pause after an error of accept(2) that may pass.
const acceptRetryInterval = 50 * time.Millisecond

// accept returns the next connection. While the process or the system is out of descriptors or memory, it waits.
func (s *Server) accept(ctx context.Context) (net.Conn, error) {
	for logged := false; ; {
		conn, err := s.ln.Accept()
		if err == nil || !outOfResources(err) {
			return conn, err
		}
		if !logged {
			s.log.Info("link not accepted; retrying", "reason", err.Error())
			logged = true
		}
		select {
		case <-time.After(acceptRetryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func outOfResources(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// refusalTime is the time before the leave timeout at which the handling of requests is canceled, so that
// they are refused.
const refusalTime = 100 * time.Millisecond

// await waits until all links have ended, and ends those that are left after the leave timeout. If ctx
// has not ended, it ends all at once.
func (s *Server) await(ctx context.Context, stopHandling context.CancelFunc) {
	began := time.Now()
	if ctx.Err() == nil {
		stopHandling()
		s.closeAll()
	}
	refuse := time.AfterFunc(s.o.LeaveTimeout-refusalTime, stopHandling)
	defer refuse.Stop()
	timer := time.AfterFunc(s.o.LeaveTimeout, s.closeAll)
	s.wg.Wait()
	inTime := timer.Stop()
	s.log.Info("links ended", "in_time", inTime, "took_ms", time.Since(began).Milliseconds(), "limit_ms", s.o.LeaveTimeout.Milliseconds())
}

// leave stops accepting links and leaves the ones that are open.
func (s *Server) leave() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for conn, l := range s.conns {
		if l == nil {
			_ = conn.SetDeadline(time.Now().Add(s.o.KeepAlive)) // bounds the handshake
			continue
		}
		go l.leave(s.o.KeepAlive)
	}
}

// track adds an accepted connection. It closes it if the server leaves. If too many are in their handshake, it closes the
// one that has been for the longest time: a host needs two round trips.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = nil
	s.handshakes = append(s.handshakes, conn)
	if s.o.MaxHandshakes > 0 && len(s.handshakes) > s.o.MaxHandshakes {
		s.closeOldestHandshake()
	}
	return true
}

// begin records the link of a connection, and leaves it if the server leaves: the other end may have
// sent a request already.
func (s *Server) begin(conn net.Conn, l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = l
	s.endHandshakeLocked(conn)
	if s.leaving {
		_ = conn.SetDeadline(time.Time{}) // it bounded the handshake
		go l.leave(s.o.KeepAlive)
	}
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.endHandshakeLocked(conn)
}

// closeOldestHandshake closes the connection that has been in its handshake for the longest time. s.mu must be held.
func (s *Server) closeOldestHandshake() {
	_ = s.handshakes[0].Close()
	s.handshakes = s.handshakes[1:]
	if s.o.Metrics != nil {
		s.o.Metrics.Add("link_handshakes_closed_for_others", 1)
	}
	if now := time.Now(); now.Sub(s.handshakesLoggedAt) >= refusalLogInterval {
		s.handshakesLoggedAt = now
		s.log.Info("handshake of a link ended for others", "limit", s.o.MaxHandshakes)
	}
}

// refusalLogInterval is the least time between two log lines about refusals of one kind.
const refusalLogInterval = time.Second

// endHandshakeLocked removes a connection from those in their handshake. s.mu must be held.
func (s *Server) endHandshakeLocked(conn net.Conn) {
	s.handshakes = slices.DeleteFunc(s.handshakes, func(c net.Conn) bool { return c == conn })
}

func (s *Server) closeAll() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// serve serves a connection. The context handling bounds its requests. When the context running has ended,
// the end of the link cancels them too: nobody awaits their answers then.
func (s *Server) serve(running, handling context.Context, accepted net.Conn) {
	conn := s.o.countBytes(accepted)
	if s.o.TLS != nil {
		t := tls.Server(conn, s.o.TLS())
		if err := t.HandshakeContext(handling); err != nil {
			s.log.Info("peer refused", "remote", conn.RemoteAddr().String(), "code", string(failure.PeerRefused), "reason", err.Error())
			return
		}
		conn = t
	}
	if err := handshake(conn, s.o.Key, listenerRole, dialerRole); err != nil {
		s.log.Info("peer refused", "remote", conn.RemoteAddr().String(), "code", string(failure.PeerRefused), "reason", err.Error())
		return
	}
	l, err := newLink(conn, s.o.serverConfig(), s.o.KeepAlive, yamux.Server)
	if err != nil {
		return
	}
	s.begin(accepted, l)
	ctx, cancel := context.WithCancel(handling)
	defer cancel()
	var streams sync.WaitGroup
	s.acceptStreams(ctx, l, &streams)
	_ = l.Close()
	l.logEnd(s.log, conn.RemoteAddr().String())
	stop := context.AfterFunc(running, cancel) // nobody awaits the answers
	defer stop()
	streams.Wait()
}

// acceptStreams serves the streams of a link until it ends.
func (s *Server) acceptStreams(ctx context.Context, l *link, streams *sync.WaitGroup) {
	for {
		stream, err := l.acceptStream()
		if err != nil {
			return
		}
		streams.Go(func() {
			defer func() { _ = stream.Close() }()
			s.serveStream(ctx, stream)
		})
	}
}

// requestTimeout is the timeout for reading a stream's first frame and for writing a response.
const requestTimeout = 10 * time.Second

// serveStream serves one stream, which carries either one forward or any number of calls.
func (s *Server) serveStream(ctx context.Context, stream *linkStream) {
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	req := new(pb.Request)
	hold := s.o.Forwards.NewHold(freeForwardBytes)
	defer hold.Release()
	if err := readFirst(stream, req, hold); err != nil {
		if failure.Is(err, failure.NoMemory) {
			s.refuseForward(stream, failure.As(err, failure.NotRun))
			return
		}
		s.sendRefusal(stream, err)
		return
	}
	stream.Shrink()
	_ = stream.SetReadDeadline(time.Time{})
	if req.GetForward() != nil || req.GetRoutedForward() != nil {
		s.handler.HandleForward(ctx, req, incoming{stream, &s.o, s.o.KeepAlive, hold})
		return
	}
	s.serveCalls(ctx, stream, req)
}

// serveCalls serves the calls on a stream concurrently and sends each response when it
// is ready. The stream stays open as long as its session.
func (s *Server) serveCalls(ctx context.Context, stream *linkStream, req *pb.Request) {
	w := &responseWriter{server: s, stream: stream}
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		calls.Add(1)
		go func(req *pb.Request) {
			defer calls.Done()
			resp := s.handler.HandleRequest(ctx, req)
			resp.Call = req.Call
			w.write(resp)
		}(req)
		var err error
		if req, err = s.nextCall(stream, w); err != nil {
			s.sendRefusal(stream, err)
			return
		}
	}
}

// nextCall returns the next request that can be decoded, and refuses those before it.
func (s *Server) nextCall(stream *linkStream, w *responseWriter) (*pb.Request, error) {
	for {
		req := new(pb.Request)
		err := ReadMessage(stream, req)
		if !isUndecodable(err) || req.Call == 0 {
			return req, err
		}
		s.o.reportInvalid(err, stream.RemoteAddr().String(), req)
		w.write(&pb.Response{Call: req.Call, Refusal: refusalOf(failure.As(err, failure.NotRun))})
	}
}

// responseWriter writes the responses to the calls on one stream.
type responseWriter struct {
	server *Server
	stream *linkStream
	mu     sync.Mutex
}

// write writes a response. If it cannot be encoded, its caller gets a refusal in its place, as the other calls on the
// stream go on.
func (w *responseWriter) write(resp *pb.Response) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.stream.SetWriteDeadline(time.Now().Add(requestTimeout))
	err := WriteMessage(w.stream, resp)
	if isNotWritten(err) {
		w.server.o.reportInvalid(err, w.stream.RemoteAddr().String(), resp)
		err = WriteMessage(w.stream, invalidMessage(resp.Call, err))
	}
	if err != nil {
		w.server.log.V(1).Info("response not sent", "remote", w.stream.RemoteAddr().String(), "call", resp.Call, "reason", err.Error())
	}
}

func refusalOf(f *failure.Error) *pb.Refusal {
	return &pb.Refusal{Code: string(f.Code), Detail: f.Detail}
}

// refuseForward ends a forward that was not run, as there is no memory for it.
func (s *Server) refuseForward(stream *linkStream, f *failure.Error) {
	s.logForwardsRefused()
	_ = stream.SetWriteDeadline(time.Now().Add(requestTimeout))
	_ = WriteMessage(stream, &pb.ForwardFrame{Frame: &pb.ForwardFrame_End{End: &pb.ForwardEnd{
		Outcome: string(f.Outcome), Code: string(f.Code), Detail: f.Detail, RetryAfterMs: f.RetryAfter.Milliseconds(),
	}}})
}

// logForwardsRefused logs that the memory for forwards is spent.
func (s *Server) logForwardsRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.forwardsLoggedAt) >= refusalLogInterval {
		s.forwardsLoggedAt = now
		b := s.o.Forwards
		s.log.Info("memory for forwards spent", "held_bytes", b.Used(), "limit_bytes", b.Limit(), "refused", b.Refused())
	}
}

// sendRefusal reports an invalid frame to the other end, unless the stream has ended.
func (s *Server) sendRefusal(stream *linkStream, err error) {
	f := failure.As(err, failure.NotRun)
	if f.Code == failure.Internal {
		return // the stream ended
	}
	_ = stream.SetWriteDeadline(time.Now().Add(requestTimeout))
	_ = WriteMessage(stream, &pb.Response{Refusal: refusalOf(f)})
}
