package dispatch

import (
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// coldState is what a host knows about the cold phase of a server.
type coldState struct {
	ColdUntil time.Time
	// restoredAt is the time at which the evacuation of the server's failure domain was last
	// withdrawn.
	restoredAt time.Time
	// sequence is the highest sequence number of the announcements that were received in full.
	sequence uint64
	// announcementSource is the control host that reported the latest announcement.
	announcementSource string
	coldSends          []time.Time // times of this host's requests in the last second, while the server is cold
	reported           ColdReason  // reason that ColdChanges returned last
}

// ColdReason is the reason why a host treats a server as cold; "" if it treats it as warm.
type ColdReason string

// Reasons.
const (
	// ColdReported is set if the server reported a cold phase that has not ended.
	ColdReported ColdReason = "reported"
	// ColdRestored is set if the server has not announced itself since the evacuation of its
	// failure domain was withdrawn.
	ColdRestored ColdReason = "failure domain restored"
)

// recordColdPhase records the cold phase in an announcement, unless a later announcement is known.
// The order is that of the server's sequence numbers: the ages of announcements grow shorter by the
// delay of each message that passes them on, so that by age an earlier one may seem to be later.
func (s *Server) recordColdPhase(m *pb.FleetServer, announcedAt time.Time) {
	if m.Sequence < s.sequence {
		return
	}
	s.sequence = m.Sequence
	if m.ColdMs > 0 {
		s.SetCold(announcedAt.Add(ms(m.ColdMs)))
	}
}

// SetCold records that the server is cold, with an empty cache, until the given time.
func (s *Server) SetCold(until time.Time) {
	if until.After(s.ColdUntil) {
		s.ColdUntil = until
		s.cache = newPartCache()
	}
}

// ColdReason returns why the server is treated as cold, so that it receives only a low rate of
// requests. A server of a failure domain that was evacuated may have become cold in the meantime,
// and its announcement of that may be lost. It therefore counts as cold until it announces itself
// again, at most one interval later. Otherwise an engine whose announcements did not reach the
// control hosts would receive its full load as soon as its failure domain is restored, and fail.
func (s *Server) ColdReason(now time.Time) ColdReason {
	switch {
	case now.Before(s.ColdUntil):
		return ColdReported
	case s.restoredAt.After(s.AnnouncedAt):
		return ColdRestored
	}
	return ""
}

func (s *Server) cold(now time.Time) bool { return s.ColdReason(now) != "" }

// ColdChange is a change of whether a host treats a server as cold, for the log.
type ColdChange struct {
	Server          *Server
	Reason          ColdReason
	Left            time.Duration // rest of the reported cold phase
	Sequence        uint64        // highest one of the announcements that were received in full
	AnnouncementAge time.Duration
	Source          string // control host that reported the latest announcement
}

// ColdChanges returns the servers that have become cold or warm since the last call.
func (f *Fleet) ColdChanges(now time.Time) []ColdChange {
	var out []ColdChange
	for _, s := range f.servers {
		reason := s.ColdReason(now)
		if reason == s.reported {
			continue
		}
		s.reported = reason
		out = append(out, ColdChange{s, reason, max(0, s.ColdUntil.Sub(now)), s.sequence, now.Sub(s.AnnouncedAt), s.announcementSource})
	}
	return out
}
