package peerlink

import (
	"context"
	"sync"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// session is a link with the stream that its calls share. A separate stream per call would cost five
// more small frames.
type session struct {
	*link

	mu       sync.Mutex
	stream   *linkStream // opened by the first call
	lastCall uint64
	pending  map[uint64]chan *pb.Response
	closeErr error
}

func newLinkSession(l *link) *session {
	return &session{link: l, pending: map[uint64]chan *pb.Response{}}
}

// call sends a request on the shared stream and waits for its response.
func (s *session) call(ctx context.Context, req *pb.Request) (*pb.Response, error) {
	answer, number, err := s.send(req)
	if err != nil {
		return nil, err
	}
	select {
	case resp, ok := <-answer:
		if !ok {
			return nil, failure.New(failure.PeerUnreachable, failure.Unknown, "the link was closed before the response")
		}
		return resp, nil
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.pending, number)
		s.mu.Unlock()
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnreachable, failure.Unknown)
	}
}

// send registers the call and writes its request.
func (s *session) send(req *pb.Request) (answer chan *pb.Response, number uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeErr != nil {
		return nil, 0, failure.Wrap(s.closeErr, failure.PeerUnreachable, failure.NotRun)
	}
	if s.stream == nil {
		if s.stream, err = s.openStream(); err != nil {
			s.closeLocked(err)
			return nil, 0, failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
		}
		go s.receive(s.stream)
	}
	s.lastCall++
	number = s.lastCall
	answer = make(chan *pb.Response, 1)
	s.pending[number] = answer
	req.Call = number
	if err := WriteMessage(s.stream, req); err != nil {
		s.closeLocked(err)
		return nil, 0, failure.Wrap(err, failure.PeerUnreachable, failure.Unknown)
	}
	return answer, number, nil
}

// receive passes responses to the waiting calls until the stream ends.
func (s *session) receive(stream *linkStream) {
	for {
		resp := new(pb.Response)
		if err := ReadMessage(stream, resp); err != nil {
			s.mu.Lock()
			s.closeLocked(err)
			s.mu.Unlock()
			return
		}
		s.mu.Lock()
		answer := s.pending[resp.Call]
		delete(s.pending, resp.Call)
		s.mu.Unlock()
		if answer != nil {
			answer <- resp
		}
	}
}

// closeLocked closes the session because of err, so that all waiting calls fail. The caller
// holds s.mu.
func (s *session) closeLocked(err error) {
	if s.closeErr != nil {
		return
	}
	s.closeErr = err
	for number, answer := range s.pending {
		delete(s.pending, number)
		close(answer)
	}
	go func() { _ = s.Close() }()
}
