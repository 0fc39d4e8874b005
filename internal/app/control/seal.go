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

// documentKeyInfo is the HKDF info that separates the documents' key from other uses of the group's
// key.
const documentKeyInfo = "sesamefork operators' documents"

// newDocumentCipher returns the cipher for the documents from which configuration records are made.
// Documents may contain callers' keys and are stored in the group's log, so they are encrypted. The
// key is derived from the group's signing key, which only control hosts have.
func newDocumentCipher(signer ed25519.PrivateKey) (cipher.AEAD, error) {
	const keyBytes = 32
	key, err := hkdf.Key(sha256.New, signer.Seed(), nil, documentKeyInfo, keyBytes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return cipher.NewGCMWithRandomNonce(block)
}

// Seal compresses and encrypts a document for transfer between control hosts and storage on their
// disks.
func (r *Replica) Seal(document []byte) ([]byte, error) {
	compressed, err := configstate.Compress(document)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun)
	}
	return r.documentCipher.Seal(nil, nil, compressed, nil), nil
}

// Unseal decrypts and decompresses a sealed document.
func (r *Replica) Unseal(sealed []byte) ([]byte, error) {
	compressed, err := r.documentCipher.Open(nil, nil, sealed, nil)
	if err != nil {
		return nil, failure.New(failure.Internal, "", "the document cannot be decrypted: it was sealed with another group's key or is corrupted")
	}
	document, err := configstate.Decompress(compressed)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "")
	}
	return document, nil
}
