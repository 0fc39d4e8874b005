package control

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"

	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// sealContext separates the key of sealed documents from other uses of the group's key.
const sealContext = "sesamefork operators' documents"

// newSealer returns the cipher of the documents from which records were made. They may hold
// callers' keys, and lie in the group's log: only control hosts have the group's signing key,
// from which the cipher's key is derived.
func newSealer(signer ed25519.PrivateKey) (cipher.AEAD, error) {
	const keyBytes = 32
	key, err := hkdf.Key(sha256.New, signer.Seed(), nil, sealContext, keyBytes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return cipher.NewGCMWithRandomNonce(block)
}

// Seal returns a document as it travels between control hosts and lies on their disks.
func (r *Replica) Seal(document []byte) ([]byte, error) {
	packed, err := configstate.Compress(document)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun)
	}
	return r.sealer.Seal(nil, nil, packed, nil), nil
}

// Unseal returns a sealed document as it came.
func (r *Replica) Unseal(sealed []byte) ([]byte, error) {
	packed, err := r.sealer.Open(nil, nil, sealed, nil)
	if err != nil {
		return nil, failure.New(failure.Internal, "", "the document was sealed with another group's key")
	}
	document, err := configstate.Decompress(packed)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "")
	}
	return document, nil
}
