package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// fingerprintBytes is the length of a fingerprint: half of a SHA-256 hash.
const fingerprintBytes = sha256.Size / 2

// Fingerprint identifies a request by its caller and content, independent of its request ID, or a
// prompt part by its caller, service and ID.
type Fingerprint [fingerprintBytes]byte

// Identity holds the properties by which two requests count as the same. It excludes whatever
// differs between a caller's repeats, such as the request ID.
type Identity struct {
	// Caller is who sends the request; requests of different callers have different fingerprints.
	Caller string
	Method string
	// Host is the host or service, Target the path with its query.
	Host, Target string
	Body         []byte
}

// Fingerprint returns the identity's hash.
func (i Identity) Fingerprint() Fingerprint {
	return hashFields([]byte(i.Caller), []byte(i.Method), []byte(i.Host), []byte(i.Target), i.Body)
}

// hashFields hashes a list of fields. Each one is preceded by its length, so that different lists
// never concatenate to the same bytes.
func hashFields(fields ...[]byte) Fingerprint {
	h := sha256.New()
	for _, field := range fields {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:]) // writing to a hash never fails
		_, _ = h.Write(field)
	}
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintBytes])
}

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the hex form that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != fingerprintBytes {
		return Fingerprint{}, failure.New(failure.BadRequest, failure.NotRun, "%.80q is not a fingerprint of %d hex digits", text, 2*fingerprintBytes)
	}
	return Fingerprint(raw), nil
}
