package peerlink

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"
)

// link is a yamux session whose reads in progress have ended before it shuts down, whatever ends it: an error of
// its connection, silence of the other end, or Close. From the beginning of a shutdown until the
// session's receive loop has returned, a read in yamux neither blocks nor returns; on a single
// processor without preemption nothing else runs then. Later reads return what was received before the end.
//
// The end that accepted the link may leave. It then serves no further streams, which are reset, and goes
// on with those that it serves. The end that opens streams opens no more, and closes the link once it has
// read the end of each of them. So the end that leaves is the last to send, and the other one is the
// first to close: when the link has ended, nothing that was sent is unread.
//
// yamux must not shut down by itself while reads are in progress. So the link sends its own keep-alive
// messages, and hides errors of the connection until the reads have ended.
type link struct {
	*yamux.Session
	gate *readGate
	conn *frameConn

	mu     sync.Mutex
	reason string // why this end closed the link; "" if it did not
}

// openSession opens a session over a connection; it is yamux.Client or yamux.Server.
type openSession func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error)

// newLink returns a link over a connection. It ends when the other end sends nothing for a keep-alive
// interval of the config and the given time after something was sent to it.
func newLink(conn net.Conn, config *yamux.Config, answerTime time.Duration, open openSession) (*link, error) {
	gate := newReadGate()
	framed := newFrameConn(conn, gate)
	mux, err := open(framed, config)
	if err != nil {
		return nil, err
	}
	l := &link{Session: mux, gate: gate, conn: framed}
	go l.keepAlive(config.KeepAliveInterval, config.KeepAliveInterval+answerTime)
	return l, nil
}

// silenceChecks is the number of checks for silence per keep-alive interval.
const silenceChecks = 2

// keepAlive sends a keep-alive message per interval and closes the link after silence.
func (l *link) keepAlive(interval, maxSilence time.Duration) {
	t := time.NewTicker(interval / silenceChecks)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-l.CloseChan():
			l.gate.end()
			return
		case now := <-t.C:
			if l.conn.silence(now) >= maxSilence {
				_ = l.closeBecause("the other host sent nothing for " + maxSilence.String())
				return
			}
		}
		if n%silenceChecks == 0 {
			go func() { _, _ = l.Ping() }() // the silence of an unanswered one ends the link
		}
	}
}

// leaveChecks is the number of checks for silence, each with a keep-alive message, in the time for which a
// link that is being left may be silent.
const leaveChecks = 4

// leave announces to the other end that this end serves no further streams. It closes the link if the
// other end sends nothing for maxSilence, and returns when the link has ended.
func (l *link) leave(maxSilence time.Duration) {
	began := time.Now()
	go func() { _ = l.GoAway() }() // the silence of an end that does not receive it ends the link
	t := time.NewTicker(maxSilence / leaveChecks)
	defer t.Stop()
	for {
		go func() { _, _ = l.Ping() }()
		select {
		case <-l.CloseChan():
			return
		case now := <-t.C:
			if now.Sub(began) >= maxSilence && l.conn.silence(now) >= maxSilence {
				_ = l.closeBecause("the other host sent nothing for " + maxSilence.String() + " while this host left")
			}
		}
	}
}

// Close ends the reads and closes the session.
func (l *link) Close() error { return l.closeBecause("closed by this host") }

// closeBecause is Close with a reason for the log.
func (l *link) closeBecause(reason string) error {
	l.mu.Lock()
	if l.reason == "" && l.conn.endReason() == "" {
		l.reason = reason
	}
	l.mu.Unlock()
	_ = l.conn.Conn.Close() // a write that blocks would keep reads from returning
	select {
	case <-l.conn.readsEnded: // the session has taken over all frames that were received
	case <-l.CloseChan():
	}
	l.gate.end()
	return l.Session.Close()
}

// IsClosed reports whether the link has ended or is about to.
func (l *link) IsClosed() bool {
	return l.conn.hasFailed() || l.gate.hasEnded() || l.Session.IsClosed()
}

// openStream opens a stream.
func (l *link) openStream() (*linkStream, error) {
	s, err := l.Session.OpenStream()
	if err != nil {
		return nil, err
	}
	return l.gate.add(s), nil
}

// acceptStream waits for a stream that the other end opens.
func (l *link) acceptStream() (*linkStream, error) {
	s, err := l.Session.AcceptStream()
	if err != nil {
		return nil, err
	}
	return l.gate.add(s), nil
}

// logEnd waits until the link has ended, and logs which end closed it and what that left undone.
func (l *link) logEnd(log logr.Logger, peer string) {
	<-l.CloseChan()
	l.gate.end()
	l.mu.Lock()
	reason := l.reason
	l.mu.Unlock()
	if reason == "" {
		reason = l.conn.endReason()
	}
	streams, unread := l.gate.unfinished()
	log.Info("link ended", "peer", peer, "reason", reason, "streams", streams, "unread_bytes", unread, "unsent_bytes", l.conn.unsent())
}
