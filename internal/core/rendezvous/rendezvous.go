// Package rendezvous assigns keys to members by rendezvous hashing (highest random weight).
// A weight depends only on the key and the member, so all hosts with the same member list
// compute the same owner, and adding or removing a member moves only the keys that it owns.
// The package does no I/O and reads no clock.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a member for a key. The member with the highest weight owns
// the key.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // a Digest's WriteString never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Owner returns the member that owns a key, or "" if there are no members. If two members
// have the same weight, it returns the one that sorts first.
func Owner(key string, members []string) string {
	owner, highest := "", uint64(0)
	for _, m := range members {
		if w := Weight(key, m); owner == "" || w > highest || (w == highest && m < owner) {
			owner, highest = m, w
		}
	}
	return owner
}
