package configstate

import pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"

// MakeDelta returns the delta from base to next: the lengths of their common
// prefix and suffix and the bytes of next between them.
func MakeDelta(baseVersion uint64, base, next []byte) *pb.ConfigDelta {
	limit := min(len(base), len(next))
	prefix := 0
	for prefix < limit && base[prefix] == next[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && base[len(base)-1-suffix] == next[len(next)-1-suffix] {
		suffix++
	}
	return &pb.ConfigDelta{
		BaseVersion: baseVersion, Prefix: uint32(prefix), Suffix: uint32(suffix),
		Middle: next[prefix : len(next)-suffix],
	}
}

// ApplyDelta rebuilds a record from its base. ok is false when the base is shorter
// than the delta's prefix and suffix. It does not detect a wrong base of sufficient
// length, so the caller must check the result's digest.
func ApplyDelta(base []byte, d *pb.ConfigDelta) (next []byte, ok bool) {
	prefix, suffix := int(d.Prefix), int(d.Suffix)
	if prefix+suffix > len(base) {
		return nil, false
	}
	next = make([]byte, 0, prefix+len(d.Middle)+suffix)
	next = append(next, base[:prefix]...)
	next = append(next, d.Middle...)
	next = append(next, base[len(base)-suffix:]...)
	return next, true
}
