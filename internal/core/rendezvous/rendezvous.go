// Package rendezvous spreads keys over members by highest random weight. Each key has an
// order of the members that depends on nothing else, so that all who know the same members
// agree on it, and a member that comes or goes moves only the keys that it holds. It does no
// I/O and reads no clock.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a member for a key. The member with the highest one holds
// the key.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // a digest takes all bytes
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// First returns the member that holds a key; "" when there are none.
func First(key string, members []string) string {
	first, most := "", uint64(0)
	for _, m := range members {
		if w := Weight(key, m); first == "" || w > most || (w == most && m < first) {
			first, most = m, w
		}
	}
	return first
}
