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

// Before yamux starts, both ends prove that they have the shared key: each sends a
// random challenge and answers the other's with an HMAC over its own role and both
// challenges. Without TLS this authenticates only the start of the connection. Mutual
// TLS protects the bytes that follow.
const (
	challengeSize    = 32
	handshakeTimeout = 3 * time.Second
	magic            = "sesame01"
	dialerRole       = "dialer"
	listenerRole     = "listener"
)

func handshake(conn net.Conn, key []byte, localRole, remoteRole string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	localChallenge := make([]byte, challengeSize)
	if _, err := rand.Read(localChallenge); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun)
	}
	if _, err := conn.Write(append([]byte(magic), localChallenge...)); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	remoteChallenge, err := readChallenge(conn)
	if err != nil {
		return err
	}
	if _, err := conn.Write(proof(key, localRole, localChallenge, remoteChallenge)); err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, failure.NotRun)
	}
	remoteProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, remoteProof); err != nil {
		return failure.Wrap(err, failure.PeerRefused, failure.NotRun)
	}
	if !hmac.Equal(remoteProof, proof(key, remoteRole, remoteChallenge, localChallenge)) {
		return failure.New(failure.PeerRefused, failure.NotRun, "%s did not prove that it has the hosts' shared key", conn.RemoteAddr())
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
		return nil, failure.New(failure.PeerRefused, failure.NotRun, "%s does not use the peer protocol", conn.RemoteAddr())
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
