package configstate

import (
	"slices"

	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// MaxQuarantined bounds the verdicts kept in the log; beyond it the oldest are dropped.
const MaxQuarantined = 1024

// KeptByFingerprint returns the records of the kept verdicts, indexed by fingerprint.
func KeptByFingerprint(kept []*pb.KeptQuarantine) map[string]*pb.QuarantineRecord {
	out := make(map[string]*pb.QuarantineRecord, len(kept))
	for _, k := range kept {
		out[string(k.Record.Fingerprint)] = k.Record
	}
	return out
}

// MustReplaceKept reports whether a record must replace the kept one of its fingerprint, nil for
// none. It must if it is a first verdict, was cleared more often, or has a different crash count
// and at least as many server processes.
func MustReplaceKept(r, kept *pb.QuarantineRecord) bool {
	crashes := crashCount(r)
	switch {
	case kept == nil:
		return crashes >= quarantine.CrashThreshold
	case r.Cleared != kept.Cleared:
		return r.Cleared > kept.Cleared
	}
	return crashes != crashCount(kept) && len(r.Server) >= len(kept.Server)
}

// crashCount returns the number of processes in a record that are not marked alive.
func crashCount(r *pb.QuarantineRecord) int {
	n := len(r.Server)
	for _, alive := range r.Alive {
		if alive {
			n--
		}
	}
	return n
}

// applyQuarantine replaces the kept record of a fingerprint by a new verdict or, with lift, by an
// operator's clearing. The list is replaced rather than modified, as readers may still use it.
func (m *Machine) applyQuarantine(r *pb.QuarantineRecord, lift bool, timeMS int64) Result {
	unchanged := Result{Version: m.log.Version, Current: m.log.Version}
	at := slices.IndexFunc(m.log.Quarantined, func(k *pb.KeptQuarantine) bool { return slices.Equal(k.Record.Fingerprint, r.Fingerprint) })
	var kept *pb.QuarantineRecord
	if at >= 0 {
		kept = m.log.Quarantined[at].Record
	}
	// An operator may also clear a suspect fingerprint, for which no record is kept.
	if !MustReplaceKept(r, kept) && !(lift && kept == nil) {
		return unchanged
	}
	next := slices.Clone(m.log.Quarantined)
	if at >= 0 {
		next = slices.Delete(next, at, at+1)
	}
	next = append(next, &pb.KeptQuarantine{Record: r, TimeMs: timeMS})
	if over := len(next) - MaxQuarantined; over > 0 {
		next = slices.Clone(next[over:])
	}
	m.log.Quarantined = next
	m.log.QuarantineRevision++
	return unchanged
}

// Quarantined returns the kept verdicts, oldest first, and the revision of that list. The
// caller must not modify the list.
func (m *Machine) Quarantined() (kept []*pb.KeptQuarantine, revision uint64) {
	return m.log.Quarantined, m.log.QuarantineRevision
}
