package peerlink

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// incoming is the server's end of a request's stream.
type incoming struct {
	s *yamux.Stream
}

// Body implements port.IncomingStream.
func (s incoming) Body(size uint64, limit uint64) ([]byte, error) {
	if size > limit {
		return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "a body of %d bytes is over the limit of %d", size, limit)
	}
	body := make([]byte, 0, min(size, chunkSize))
	for uint64(len(body)) < size {
		c := new(pb.ForwardChunk)
		if err := ReadMessage(s.s, c); err != nil {
			return nil, errors.Trace(err)
		}
		if len(c.Data) == 0 || uint64(len(body)+len(c.Data)) > size {
			return nil, failure.New(failure.BadRequest, failure.NotRun, "the body does not have the stated size")
		}
		body = append(body, c.Data...)
	}
	return body, nil
}

// Send implements port.IncomingStream.
func (s incoming) Send(f *pb.ForwardFrame) error { return WriteMessage(s.s, f) }

// Gone implements port.IncomingStream.
func (s incoming) Gone(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		var b [1]byte
		_, _ = s.s.Read(b[:]) // returns when the stream or the session ends
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
	open    map[net.Conn]bool
}

// NewServer listens on addr.
func NewServer(addr string, o Options, h port.PeerHandler, log logr.Logger) (*Server, error) {
	o.setDefaults()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "")
	}
	return &Server{o: o, handler: h, log: log, ln: ln, open: map[net.Conn]bool{}}, nil
}

// Addr returns the address listened on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Run accepts links until ctx ends, then closes them all and waits.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.closeAll)
	defer stop()
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			s.closeAll()
			s.wg.Wait()
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
			s.serve(ctx, conn)
		}()
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		_ = conn.Close()
		return false
	}
	s.open[conn] = true
	return true
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

func (s *Server) closeAll() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_ = conn.Close()
	}
	s.open = nil
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	conn = s.o.counted(conn)
	if s.o.TLS != nil {
		t := tls.Server(conn, s.o.TLS())
		if err := t.HandshakeContext(ctx); err != nil {
			s.log.Info("peer refused", "remote", conn.RemoteAddr().String(), "code", string(failure.PeerRefused), "reason", err.Error())
			return
		}
		conn = t
	}
	if err := handshake(conn, s.o.Key, listenerRole, dialerRole); err != nil {
		s.log.Info("peer refused", "remote", conn.RemoteAddr().String(), "code", string(failure.PeerRefused), "reason", err.Error())
		return
	}
	session, err := yamux.Server(conn, s.o.serverConfig())
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer func() { _ = stream.Close() }()
			s.answer(ctx, stream)
		}()
	}
}

// requestTimeout bounds the arrival of a request's first frame.
const requestTimeout = 10 * time.Second

// answer serves one stream: a forward, or calls one after the other.
func (s *Server) answer(ctx context.Context, stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	req := new(pb.Request)
	if err := ReadMessage(stream, req); err != nil {
		s.refuse(stream, err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if req.GetForward() != nil || req.GetRoutedForward() != nil {
		s.handler.HandleForward(ctx, req, incoming{stream})
		return
	}
	s.serveCalls(ctx, stream, req)
}

// serveCalls answers calls as they are done. A stream of calls lives as long as
// its session.
func (s *Server) serveCalls(ctx context.Context, stream *yamux.Stream, req *pb.Request) {
	var writing sync.Mutex
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		calls.Add(1)
		go func(req *pb.Request) {
			defer calls.Done()
			resp := s.handler.HandleRequest(ctx, req)
			resp.Call = req.Call
			writing.Lock()
			defer writing.Unlock()
			_ = stream.SetWriteDeadline(time.Now().Add(requestTimeout))
			_ = WriteMessage(stream, resp)
		}(req)
		req = new(pb.Request)
		if err := ReadMessage(stream, req); err != nil {
			s.refuse(stream, err)
			return
		}
	}
}

// refuse tells the other end what was wrong with its frame, when it can still
// be told.
func (s *Server) refuse(stream *yamux.Stream, err error) {
	f := failure.As(err, failure.NotRun)
	if f.Code == failure.Internal {
		return // the stream ended
	}
	_ = stream.SetWriteDeadline(time.Now().Add(requestTimeout))
	_ = WriteMessage(stream, &pb.Response{Refusal: &pb.Refusal{Code: string(f.Code), Detail: f.Detail}})
}
