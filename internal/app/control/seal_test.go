package control

import (
	"bytes"
	"crypto/ed25519"
	"testing"
)

// sealing returns a replica as far as it seals documents.
func sealing(t *testing.T, seed byte) *Replica {
	t.Helper()
	sealer, err := newSealer(ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize)))
	if err != nil {
		t.Fatal(err)
	}
	return &Replica{sealer: sealer}
}

// TestSealedDocuments: every control host of a group reads a document as it came, nobody else
// does, and nothing of it shows.
func TestSealedDocuments(t *testing.T) {
	document := []byte(`{"tenants":[{"name":"hall","api_keys":["hush4711hush"]}]}`)
	sealed, err := sealing(t, 1).Seal(document)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(sealed, []byte("hush")) || bytes.Contains(sealed, []byte("hall")) {
		t.Errorf("sealed as %q", sealed)
	}
	if got, err := sealing(t, 1).Unseal(sealed); err != nil || !bytes.Equal(got, document) {
		t.Errorf("read as %q, %v", got, err)
	}
	if got, err := sealing(t, 2).Unseal(sealed); err == nil {
		t.Errorf("another group reads %q", got)
	}
	sealed[len(sealed)/2] ^= 1
	if got, err := sealing(t, 1).Unseal(sealed); err == nil {
		t.Errorf("changed on the way and read as %q", got)
	}
}
