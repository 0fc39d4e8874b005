package registry

import pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"

// SetEvacuations records the revision of the evacuation list that this control host has applied, and
// the failure domains whose evacuation was withdrawn. It marks the servers as changed whose
// confirmation arrived from another control host before the restoration was applied here.
func (r *Registry) SetEvacuations(revision uint64, restored []*pb.RestoredDomain) {
	before := r.restored
	r.evacuationRevision, r.restored = revision, make(map[string]uint64, len(restored))
	for _, d := range restored {
		r.restored[d.FailureDomain] = d.Revision
	}
	for _, s := range r.servers {
		if r.restored[s.FailureDomain] > before[s.FailureDomain] && s.listed() && !r.AwaitsConfirmation(s) {
			r.recordServerChange(s)
		}
	}
}

// AwaitsConfirmation reports whether the evacuation of the server's failure domain was withdrawn and
// none of its announcements is proved to have been sent after that. It may then have become cold
// without a control host knowing.
func (r *Registry) AwaitsConfirmation(s *Server) bool {
	return s.SentAfterRevision < r.restored[s.FailureDomain]
}

// provedRevision returns a revision of the evacuation list that was applied here before the server
// sent the announcement s; 0 if none is proved.
func (r *Registry) provedRevision(old, s *Server) uint64 {
	if !r.consecutive(old, s) {
		return 0
	}
	return old.appliedRevision
}

// consecutive reports whether the announcement s is proved to have been sent after old was received. The
// time of the receipt proves nothing, because s may have been delayed for seconds. Two consecutive
// announcements do: a server sends the second to the same control host only after that one has
// acknowledged the first. Announcements received together may both have been delayed, and prove nothing.
func (r *Registry) consecutive(old, s *Server) bool {
	return old.AnnouncedHere() && s.AnnouncedHere() && s.Sequence == old.Sequence+1 && s.LastSeen.Sub(old.LastSeen) >= r.announceInterval()/2
}
