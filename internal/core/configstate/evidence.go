package configstate

import (
	"bytes"
	"crypto/ed25519"
	"encoding/binary"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// evidenceContext is a domain separator: a signature made with the key for another
// purpose is not valid here.
const evidenceContext = "sesamefork configuration"

// evidenceBytes returns the bytes that Sign signs.
func evidenceBytes(s *pb.ConfigStamp) []byte {
	b := []byte(evidenceContext)
	b = binary.BigEndian.AppendUint64(b, s.Generation)
	b = binary.BigEndian.AppendUint64(b, s.Version)
	return append(b, s.Digest...)
}

// Sign returns the signature that proves a configuration committed. A control replica
// must sign only configurations that it has applied, which are durable on a majority.
func Sign(key ed25519.PrivateKey, s *pb.ConfigStamp) []byte {
	return ed25519.Sign(key, evidenceBytes(s))
}

// Newer reports whether a is a later configuration than b: by generation, then by version.
func Newer(a, b *pb.ConfigStamp) bool {
	if a.GetGeneration() != b.GetGeneration() {
		return a.GetGeneration() > b.GetGeneration()
	}
	return a.GetVersion() > b.GetVersion()
}

// Installed is a configuration in force on a host.
type Installed struct {
	Stamp  *pb.ConfigStamp
	Raw    []byte
	Record *Record
	Blob   *pb.ConfigBlob // complete record with its signature, to send to other hosts
}

// Install verifies a received configuration and returns it ready for use. It rejects a
// configuration that is not newer than current, does not match its digest, is not signed
// by the control group, or has an invalid record. A nil current accepts any version.
func Install(current *Installed, blob *pb.ConfigBlob, key ed25519.PublicKey) (*Installed, error) {
	var have *pb.ConfigStamp
	var base []byte
	if current != nil {
		have, base = current.Stamp, current.Raw
	}
	if !Newer(blob.GetStamp(), have) {
		return nil, failure.New(failure.VersionConflict, "", "version %d is not newer than %d",
			blob.GetStamp().GetVersion(), have.GetVersion())
	}
	raw := blob.Record
	if d := blob.Delta; d != nil {
		next, ok := ApplyDelta(base, d)
		if !ok {
			return nil, failure.New(failure.EvidenceInvalid, "", "delta cannot be applied to base version %d", have.GetVersion())
		}
		raw = next
	}
	if !bytes.Equal(Digest(raw), blob.Stamp.Digest) {
		return nil, failure.New(failure.EvidenceInvalid, "", "record of version %d does not match its digest", blob.Stamp.Version)
	}
	if !ed25519.Verify(key, evidenceBytes(blob.Stamp), blob.Signature) {
		return nil, failure.New(failure.EvidenceInvalid, "", "version %d is not signed by the control group", blob.Stamp.Version)
	}
	record, err := Parse(raw)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRecord, "")
	}
	whole := &pb.ConfigBlob{Stamp: blob.Stamp, Record: raw, Signature: blob.Signature}
	return &Installed{Stamp: blob.Stamp, Raw: raw, Record: record, Blob: whole}, nil
}

// UpdateFor returns the configuration to send to a host that has the given generation and
// version: a delta when base, that version's record, is available and of the same
// generation, else the complete record. It returns nil when blob is not newer.
func UpdateFor(blob *pb.ConfigBlob, generation, version uint64, base []byte) *pb.ConfigBlob {
	if blob == nil || !Newer(blob.Stamp, &pb.ConfigStamp{Generation: generation, Version: version}) {
		return nil
	}
	if len(base) == 0 || generation != blob.Stamp.Generation {
		return blob
	}
	return &pb.ConfigBlob{
		Stamp: blob.Stamp, Signature: blob.Signature,
		Delta: MakeDelta(version, base, blob.Record),
	}
}
