package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// fingerprintBytes is the length of a fingerprint: half of a SHA-256 hash.
const fingerprintBytes = sha256.Size / 2

// Fingerprint tells requests apart by what a server is asked to run.
type Fingerprint [fingerprintBytes]byte

// Identity is what makes two requests the same one. It holds nothing that differs between
// a caller's repeats, such as a request ID.
type Identity struct {
	// Caller is who asks; no caller's requests have the fingerprint of another's.
	Caller string
	Method string
	// Target is the path with its query, and the host or service that it belongs to.
	Host, Target string
	Body         []byte
}

// Fingerprint returns the identity's hash. Each part is preceded by its length, so that no
// two identities are joined to the same bytes.
func (i Identity) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(i.Caller), []byte(i.Method), []byte(i.Host), []byte(i.Target), i.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // a hash takes everything
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != fingerprintBytes {
		return Fingerprint{}, failure.New(failure.BadRequest, failure.NotRun, "%.80q is not a fingerprint: %d hex digits", text, 2*fingerprintBytes)
	}
	return Fingerprint(raw), nil
}
