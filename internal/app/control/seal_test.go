package control

import (
	"bytes"
	"crypto/ed25519"
	"testing"
)

// newSealingReplica returns a replica that can only seal and unseal documents.
func newSealingReplica(t *testing.T, seed byte) *Replica {
	t.Helper()
	documentCipher, err := newDocumentCipher(ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize)))
	if err != nil {
		t.Fatal(err)
	}
	return &Replica{documentCipher: documentCipher}
}

// TestSealedDocuments checks that every control host of a group unseals a document unchanged, that
// other groups cannot, that the sealed form contains no plaintext, and that a modified document is
// rejected.
func TestSealedDocuments(t *testing.T) {
	document := []byte(`{"tenants":[{"name":"hall","api_keys":["hush4711hush"]}]}`)
	sealed, err := newSealingReplica(t, 1).Seal(document)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(sealed, []byte("hush")) || bytes.Contains(sealed, []byte("hall")) {
		t.Errorf("sealed as %q", sealed)
	}
	if got, err := newSealingReplica(t, 1).Unseal(sealed); err != nil || !bytes.Equal(got, document) {
		t.Errorf("unsealed to %q, %v", got, err)
	}
	if got, err := newSealingReplica(t, 2).Unseal(sealed); err == nil {
		t.Errorf("another group unseals %q", got)
	}
	sealed[len(sealed)/2] ^= 1
	if got, err := newSealingReplica(t, 1).Unseal(sealed); err == nil {
		t.Errorf("a modified document is unsealed to %q", got)
	}
}
