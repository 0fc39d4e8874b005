package peerlink

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Before yamux starts, both ends prove that they hold the hosts' key: each sends
// a random challenge and answers the other's with an HMAC over both challenges
// and its own role. Without TLS this authenticates the connection's start only;
// mutual TLS protects the bytes that follow.
const (
	challengeSize    = 32
	handshakeTimeout = 3 * time.Second
	magic            = "sesame01"
	dialerRole       = "dialer"
	listenerRole     = "listener"
)

func handshake(conn net.Conn, key []byte, own, other string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	mine := make([]byte, challengeSize)
	if _, err := rand.Read(mine); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun)
	}
	if _, err := conn.Write(append([]byte(magic), mine...)); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	theirs, err := readChallenge(conn)
	if err != nil {
		return err
	}
	if _, err := conn.Write(proof(key, own, mine, theirs)); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return failure.Wrap(err, failure.PeerRefused, failure.NotRun)
	}
	if !hmac.Equal(answer, proof(key, other, theirs, mine)) {
		return failure.New(failure.PeerRefused, failure.NotRun, "%s does not hold the hosts' key", conn.RemoteAddr())
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	return nil
}

func readChallenge(conn net.Conn) ([]byte, error) {
	buf := make([]byte, len(magic)+challengeSize)
	if _, err := io.ReadFull(conn, buf); err != nil {
		return nil, failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	if string(buf[:len(magic)]) != magic {
		return nil, failure.New(failure.PeerRefused, failure.NotRun, "%s does not speak this protocol", conn.RemoteAddr())
	}
	return buf[len(magic):], nil
}

func proof(key []byte, role string, first, second []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(role))
	m.Write(first)
	m.Write(second)
	return m.Sum(nil)
}
