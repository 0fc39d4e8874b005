package serverlimit

import (
	"maps"
	"slices"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Changes selects limits by what changed them last.
type Changes bool

// Changes.
const (
	AllChanges      Changes = false
	ObservedChanges Changes = true // by answers that this host received
)

// Since returns the limits that changed after a version, sorted by key, and the version for the next
// call. A version that this table has not reached yields all limits.
func (t *Table) Since(version uint64, wanted Changes) (m *pb.ServerLimits, next uint64) {
	if version == t.version {
		return nil, t.version
	}
	if version > t.version {
		version = 0
	}
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[key]
		if e.changedVersion <= version || (wanted == ObservedChanges && !e.observed) {
			continue
		}
		if m == nil {
			m = &pb.ServerLimits{}
		}
		m.Server = append(m.Server, key)
		m.Revision = append(m.Revision, e.Revision)
		m.PerSecond = append(m.PerSecond, e.PerSecond)
	}
	return m, t.version
}

// MergeMessage merges the limits of a message and returns the keys of the processes whose rates
// changed. Entries that are missing from a list or out of range are ignored.
func (t *Table) MergeMessage(m *pb.ServerLimits, now time.Time) (changed []uint32) {
	for i, key := range m.GetServer() {
		if i >= len(m.Revision) || i >= len(m.PerSecond) || !valid(m.PerSecond[i]) {
			continue
		}
		if t.Merge(key, Limit{m.Revision[i], m.PerSecond[i]}, now) {
			changed = append(changed, key)
		}
	}
	return changed
}

// valid reports whether a rate in a message is one that Observe may have recorded.
func valid(perSecond float64) bool { return perSecond == 0 || perSecond >= MinPerSecond }

// CountIn adds a server to the capacity of its service in a region.
func (l Limit) CountIn(sum *pb.RegionLoad, slots int) {
	if !l.InForce() {
		sum.Servers++
		sum.Slots += uint32(slots)
		return
	}
	sum.LimitedServers++
	sum.LimitedSlots += uint32(slots)
	sum.LimitedPerSecond += l.PerSecond
}
