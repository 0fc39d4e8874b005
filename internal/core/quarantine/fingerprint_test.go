package quarantine

import (
	"testing"

	"pgregory.net/rapid"
)

// TestFingerprintDistinguishesIdentities changes single parts of an identity and moves bytes
// between them; each variant must have a different fingerprint.
func TestFingerprintDistinguishesIdentities(t *testing.T) {
	base := Identity{Caller: "team-a", Method: "POST", Host: "h", Target: "/chat/1", Body: []byte("hello")}
	for name, other := range map[string]Identity{
		"another caller":          {Caller: "team-b", Method: "POST", Host: "h", Target: "/chat/1", Body: []byte("hello")},
		"another method":          {Caller: "team-a", Method: "PUT", Host: "h", Target: "/chat/1", Body: []byte("hello")},
		"another host":            {Caller: "team-a", Method: "POST", Host: "g", Target: "/chat/1", Body: []byte("hello")},
		"another query":           {Caller: "team-a", Method: "POST", Host: "h", Target: "/chat/1?page=2", Body: []byte("hello")},
		"another body":            {Caller: "team-a", Method: "POST", Host: "h", Target: "/chat/1", Body: []byte("hellp")},
		"bytes moved to the body": {Caller: "team-a", Method: "POST", Host: "h", Target: "/chat/", Body: []byte("1hello")},
		"bytes moved to the host": {Caller: "team-a", Method: "POST", Host: "h/chat/1", Target: "", Body: []byte("hello")},
	} {
		if other.Fingerprint() == base.Fingerprint() {
			t.Errorf("%s: the same fingerprint", name)
		}
	}
	if base.Fingerprint() != (Identity{Caller: "team-a", Method: "POST", Host: "h", Target: "/chat/1", Body: []byte("hello")}).Fingerprint() {
		t.Error("equal identities have different fingerprints")
	}
}

// TestFingerprintText checks that ParseFingerprint inverts String and rejects malformed text.
func TestFingerprintText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Identity{Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body")}.Fingerprint()
		if got, err := ParseFingerprint(f.String()); err != nil || got != f {
			t.Fatalf("%s was parsed as %s, error %v", f, got, err)
		}
	})
	for _, text := range []string{"", "zz", "0123", "0123456789abcdef0123456789abcdef00"} {
		if _, err := ParseFingerprint(text); err == nil {
			t.Errorf("ParseFingerprint accepted %q", text)
		}
	}
}
