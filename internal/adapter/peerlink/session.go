package peerlink

import (
	"context"
	"sync"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// session is a link with the stream that its calls share. A separate stream per call would cost five
// more small frames.
//
// Once the other end leaves, the session accepts no new calls and forwards, and closes the link when
// those in progress have ended.
type session struct {
	*link

	mu       sync.Mutex
	stream   *linkStream // opened by the first call
	lastCall uint64
	pending  map[uint64]chan *pb.Response
	answered bool // a response was received
	forwards int  // in progress
	leaving  bool // the other end leaves
	closeErr error
}

// errPeerLeaves is the error of calls and forwards that the other end did not accept because it leaves.
var errPeerLeaves = failure.New(failure.PeerUnreachable, failure.NotRun, "the other host accepts no further requests")

func newLinkSession(l *link) *session {
	s := &session{link: l, pending: map[uint64]chan *pb.Response{}}
	go s.closeWhenPeerLeaves()
	return s
}

// closeWhenPeerLeaves closes the link after the other end has announced that it leaves.
func (s *session) closeWhenPeerLeaves() {
	select {
	case <-s.conn.peerLeaves:
	case <-s.CloseChan():
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveLocked()
}

// onPeerLeaves calls f once the other end has announced that it leaves.
func (s *session) onPeerLeaves(f func()) {
	go func() {
		select {
		case <-s.conn.peerLeaves:
			f()
		case <-s.CloseChan():
		}
	}()
}

// leaveLocked accepts no calls and forwards from now on. The caller holds s.mu.
func (s *session) leaveLocked() {
	s.leaving = true
	s.closeIfDoneLocked()
}

// closeIfDoneLocked closes the link if the other end leaves and nothing is in progress. The caller holds
// s.mu.
func (s *session) closeIfDoneLocked() {
	if s.leaving && s.forwards == 0 && len(s.pending) == 0 {
		go func() { _ = s.closeBecause("the other host leaves, and all answers were read") }()
	}
}

// isUsable reports whether calls and forwards may begin.
func (s *session) isUsable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && !s.IsClosed()
}

// openForward opens the stream of a forward. endForward must follow.
func (s *session) openForward() (*linkStream, error) {
	s.mu.Lock()
	if s.leaving {
		s.mu.Unlock()
		return nil, errPeerLeaves
	}
	s.forwards++
	s.mu.Unlock()
	stream, err := s.openStream()
	if err != nil {
		s.endForward()
		return nil, err
	}
	return stream, nil
}

func (s *session) endForward() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwards--
	s.closeIfDoneLocked()
}

// isNotAccepted reports whether the error proves that the other end did not accept the stream: without a
// close timeout, yamux resets only streams that it does not pass on.
func isNotAccepted(err error) bool {
	return errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrRemoteGoAway)
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
			return nil, s.lostCall()
		}
		return resp, nil
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.pending, number)
		s.closeIfDoneLocked()
		s.mu.Unlock()
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnreachable, failure.Unknown)
	}
}

// lostCall returns the error of a call whose stream ended before its response.
func (s *session) lostCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeErr == nil {
		return errPeerLeaves
	}
	return failure.New(failure.PeerUnreachable, failure.Unknown, "the link was closed before the response")
}

// send registers the call and writes its request.
func (s *session) send(req *pb.Request) (answer chan *pb.Response, number uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeErr != nil {
		return nil, 0, failure.Wrap(s.closeErr, failure.PeerUnreachable, failure.NotRun)
	}
	if s.leaving {
		return nil, 0, errPeerLeaves
	}
	if s.stream == nil {
		if s.stream, err = s.openStream(); err != nil {
			s.endCallsLocked(err)
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
		if isNotWritten(err) {
			delete(s.pending, number)
			s.closeIfDoneLocked()
			return nil, 0, err
		}
		if s.endCallsLocked(err) {
			return nil, 0, errPeerLeaves
		}
		return nil, 0, failure.Wrap(err, failure.PeerUnreachable, failure.Unknown)
	}
	return answer, number, nil
}

// receive passes responses to the waiting calls until the stream ends.
func (s *session) receive(stream *linkStream) {
	for {
		resp := new(pb.Response)
		err := ReadMessage(stream, resp)
		if isUndecodable(err) && resp.Call != 0 {
			resp = invalidMessage(resp.Call, err)
			err = nil
		}
		if err != nil {
			s.mu.Lock()
			s.endCallsLocked(err)
			s.mu.Unlock()
			return
		}
		s.mu.Lock()
		s.answered = true
		answer := s.pending[resp.Call]
		delete(s.pending, resp.Call)
		s.closeIfDoneLocked()
		s.mu.Unlock()
		if answer != nil {
			answer <- resp // buffered
		}
	}
}

// invalidMessage returns the response to a call whose own response cannot be sent or read.
func invalidMessage(call uint64, err error) *pb.Response {
	return &pb.Response{Call: call, Refusal: &pb.Refusal{Code: string(failure.MessageInvalid), Detail: failure.As(err, "").Detail}}
}

// endCallsLocked ends the calls because of an error of their stream. If the other end did not accept the
// stream, it leaves, and forwards go on; otherwise the link is closed. It reports the former. The caller
// holds s.mu.
func (s *session) endCallsLocked(err error) (notAccepted bool) {
	if s.answered || !isNotAccepted(err) {
		s.closeLocked(err)
		return false
	}
	s.failPendingLocked()
	s.leaveLocked()
	return true
}

// failPendingLocked ends the waiting calls without a response. The caller holds s.mu.
func (s *session) failPendingLocked() {
	for number, answer := range s.pending {
		delete(s.pending, number)
		close(answer)
	}
}

// closeLocked closes the session because of err, so that all waiting calls fail. The caller
// holds s.mu.
func (s *session) closeLocked(err error) {
	if s.closeErr != nil {
		return
	}
	s.closeErr = err
	s.failPendingLocked()
	go func() { _ = s.Close() }()
}
