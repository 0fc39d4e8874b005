// Package releases keeps which software versions the servers of each service ran lately, so that a host can prove that
// only one of them can have begun a stream.
//
// Control hosts record the releases that servers announce and exchange their records. A history is complete for the
// time in which its host was in contact with all other control hosts and none of them started, as each of them reports
// all that it learns. The package does no I/O and reads no clock.
//
// Invariants:
//   - A record is kept for retention after its release was last announced.
//   - Of several times at which a release was announced, the latest counts, in whatever order they are received.
package releases

import (
	"slices"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

const (
	// retention exceeds the longest time for which callers may take up a stream, by more than reportDelay.
	retention = 15 * time.Minute
	// reportInterval is the time after which a release that is still announced is reported again.
	reportInterval = 2 * time.Second
	// reportDelay bounds the age by which a report of a release may be older than its last announcement: a report
	// passes up to three control hosts, each of which may hold it back for reportInterval, and a server that was
	// announced may begin streams until its lease ends.
	reportDelay = 10 * time.Second
)

// History holds the releases of each service. It is not safe for concurrent use.
type History struct {
	records       map[key]*record
	revision      uint64
	completeSince time.Time
	complete      bool // this host is in contact with all other control hosts
}

type key struct{ service, release string }

type record struct {
	announcedAt time.Time
	reportedAt  time.Time // announcedAt when revision was set
	revision    uint64    // of the last report
}

// New returns an empty history of a control host that starts.
func New(now time.Time) *History { return &History{records: map[key]*record{}, completeSince: now} }

// Record records that a server of a release announced itself.
func (h *History) Record(service, release string, at time.Time) {
	r := h.records[key{service, release}]
	if r == nil {
		r = &record{}
		h.records[key{service, release}] = r
	}
	if !at.After(r.announcedAt) {
		return
	}
	r.announcedAt = at
	if at.Sub(r.reportedAt) >= reportInterval {
		h.revision++
		r.reportedAt, r.revision = at, h.revision
	}
}

// SetComplete states whether this host is in contact with all other control hosts.
func (h *History) SetComplete(complete bool, now time.Time) {
	if !complete || !h.complete {
		h.completeSince = now
	}
	h.complete = complete
}

// RecordStart states when another control host started: what it knew alone before is lost.
func (h *History) RecordStart(at time.Time) {
	if at.After(h.completeSince) {
		h.completeSince = at
	}
}

// Within returns the releases of a service that may have begun streams in the last d, sorted, and whether these are
// certainly all.
func (h *History) Within(service string, d time.Duration, now time.Time) (list []string, complete bool) {
	from := now.Add(-d)
	for k, r := range h.records {
		if k.service == service && !r.announcedAt.Add(reportDelay).Before(from) {
			list = append(list, k.release)
		}
	}
	slices.Sort(list)
	return list, h.complete && !h.completeSince.After(from)
}

// Since returns the records to report to another control host that has those up to a revision, and the revision that
// it has with them.
func (h *History) Since(revision uint64, now time.Time) ([]*pb.ReleaseSeen, uint64) {
	if revision > h.revision {
		revision = 0
	}
	var out []*pb.ReleaseSeen
	for k, r := range h.records {
		if r.revision > revision {
			out = append(out, &pb.ReleaseSeen{Service: k.service, Release: k.release, AgeMs: uint64(max(0, now.Sub(r.announcedAt).Milliseconds()))})
		}
	}
	return out, h.revision
}

// Merge adds the records that another control host reports.
func (h *History) Merge(list []*pb.ReleaseSeen, now time.Time) {
	for _, r := range list {
		if age := time.Duration(r.AgeMs) * time.Millisecond; age >= 0 && age < retention {
			h.Record(r.Service, r.Release, now.Add(-age))
		}
	}
}

// Expire drops the records of releases that have not been announced for long.
func (h *History) Expire(now time.Time) {
	for k, r := range h.records {
		if now.Sub(r.announcedAt) > retention {
			delete(h.records, k)
		}
	}
}
