package dispatch

import (
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// coldState is what a host knows about the cold phase of a server.
type coldState struct {
	ColdUntil time.Time
	// restoredAt is when a list of evacuations first left out the server's failure domain after one
	// had named it.
	restoredAt time.Time
	// sentAfterRevision is the highest revision of the evacuation list that a control host had
	// applied before the server sent one of its announcements.
	sentAfterRevision uint64
	// lostAt is when this host last lost all connections to the server; zero for never.
	lostAt time.Time
	// sequence is the highest sequence number of an announcement received in full.
	sequence uint64
	// announcementSource is the control host that reported the latest announcement.
	announcementSource string
	coldSends          []time.Time // times of this host's requests in the last coldRateWindow, while the server is cold
	reported           ColdReason  // reason that ColdChanges returned last
}

// ColdReason is the reason why a host treats a server as cold; "" if it treats it as warm.
type ColdReason string

// Reasons.
const (
	// ColdReported is set if the server reported a cold phase that has not ended.
	ColdReported ColdReason = "reported"
	// ColdRestored is set if no announcement of the server is proved to have been sent after the
	// evacuation of its failure domain was withdrawn.
	ColdRestored ColdReason = "failure domain restored"
	// ColdLost is set if this host lost its connections to the server, and no announcement of the
	// server is proved to have been sent since: another process may run under its ID.
	ColdLost ColdReason = "connections lost"
)

// recordColdPhase records the cold phase in an announcement, unless one with a higher sequence number
// is known. Ages do not order announcements: each message that passes one on leaves its own delay out
// of the age, so that the earlier of two may have the smaller age.
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

// restoration is the withdrawal of a failure domain's evacuation.
type restoration struct {
	revision  uint64 // of the evacuation list
	learnedAt time.Time
}

// applyRestored stores the restorations in a view that are later than those known.
func (f *Fleet) applyRestored(list []*pb.RestoredDomain, now time.Time) {
	for _, d := range list {
		if d.Revision > f.restored[d.FailureDomain].revision {
			f.restored[d.FailureDomain] = restoration{d.Revision, now}
		}
	}
}

// SetColdDurations sets how long a server of each service stays cold after the event that made it
// cold, for the services for which that is known; 0 if they are never cold.
func (f *Fleet) SetColdDurations(d map[string]time.Duration) { f.coldDurations = d }

// ColdReason returns why the server is treated as cold, so that it receives only a low rate of
// requests. A server of a failure domain that was evacuated may have become cold in the meantime,
// and its announcement of that may be lost or late. It therefore counts as cold until an
// announcement proves its state after the restoration, or until a cold phase that began before it
// has ended.
func (f *Fleet) ColdReason(s *Server, now time.Time) ColdReason {
	switch {
	case now.Before(s.ColdUntil):
		return ColdReported
	case f.awaitsConfirmation(s, now):
		return ColdRestored
	case f.mayHaveRestarted(s, now):
		return ColdLost
	}
	return ""
}

// RecordServerLost records that this host has lost all connections to the server, or that the server
// refuses them. Servers that report no start time get a new ID with each process and reject requests
// for an earlier one.
func (f *Fleet) RecordServerLost(s *Server, now time.Time) {
	if s.Start != 0 {
		s.lostAt = now
	}
}

// mayHaveRestarted reports whether another process may run under the server's ID that has not been
// heard of. It is not known after an announcement that a control host received later than the loss by
// the longest delay of a view, whose age omits delays, or once a process that started at the loss has
// been warm for the time of the announcements that a server may miss.
func (f *Fleet) mayHaveRestarted(s *Server, now time.Time) bool {
	if !s.awaitsAnnouncement() {
		return false
	}
	duration, known := f.coldDurations[s.Service]
	return !known || (duration > 0 && now.Sub(s.lostAt) < duration+f.announcementTTL())
}

// awaitsAnnouncement reports whether no announcement is proved to have been sent since this host lost its
// connections to the server.
func (s *Server) awaitsAnnouncement() bool {
	return !s.lostAt.IsZero() && !s.AnnouncedAt.After(s.lostAt.Add(maxViewDelay))
}

// awaitsConfirmation reports whether the server may have become cold before its failure domain was
// restored. Its next announcement is awaited in any case, as control hosts of an earlier version send
// neither restorations nor confirmations.
func (f *Fleet) awaitsConfirmation(s *Server, now time.Time) bool {
	r := f.restored[s.FailureDomain]
	if s.sentAfterRevision >= r.revision && !s.restoredAt.After(s.AnnouncedAt) {
		return false
	}
	learnedAt := r.learnedAt
	if s.restoredAt.After(learnedAt) {
		learnedAt = s.restoredAt
	}
	duration, known := f.coldDurations[s.Service]
	return !known || now.Sub(learnedAt) < duration
}

func (f *Fleet) cold(s *Server, now time.Time) bool { return f.ColdReason(s, now) != "" }

// ColdChange is a change of whether a host treats a server as cold, for the log.
type ColdChange struct {
	Server          *Server
	Reason          ColdReason
	Left            time.Duration // rest of the reported cold phase
	Sequence        uint64        // highest sequence number of an announcement received in full
	AnnouncementAge time.Duration
	Source          string // control host that reported the latest announcement
	// SentAfterRevision and RestoredRevision are the revisions of the evacuation list that decide
	// whether the server's state after the restoration of its failure domain is known.
	SentAfterRevision, RestoredRevision uint64
}

// ColdChanges returns the servers that have become cold or warm since the last call.
func (f *Fleet) ColdChanges(now time.Time) []ColdChange {
	var out []ColdChange
	for _, s := range f.servers {
		reason := f.ColdReason(s, now)
		if reason == s.reported {
			continue
		}
		s.reported = reason
		out = append(out, ColdChange{
			Server: s, Reason: reason, Left: max(0, s.ColdUntil.Sub(now)), Sequence: s.sequence, AnnouncementAge: now.Sub(s.AnnouncedAt),
			Source: s.announcementSource, SentAfterRevision: s.sentAfterRevision, RestoredRevision: f.restored[s.FailureDomain].revision,
		})
	}
	return out
}
