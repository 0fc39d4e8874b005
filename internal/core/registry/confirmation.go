package registry

import pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"

// SetEvacuations records the revision of the evacuation list that this control host has applied, and
// the failure domains whose evacuation was withdrawn. Servers of a failure domain restored since the
// last call whose confirmation another control host passed on earlier are sent to entry hosts again.
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

// AwaitsConfirmation reports whether the server may have become cold, during an evacuation of its
// failure domain that was withdrawn, without that having been received: none of its announcements
// is proved to have been sent after the withdrawal.
func (r *Registry) AwaitsConfirmation(s *Server) bool {
	return s.SentAfterRevision < r.restored[s.FailureDomain]
}

// provedRevision returns a revision of the evacuation list that was applied here before the server
// sent its announcement s; 0 if none is proved. The receipt of s proves nothing, as s may have been
// on its way for seconds. But a server sends its announcements one by one, and sends the next one to
// the same control host only after the last one was acknowledged there: s was sent after the receipt
// of old. Announcements that arrive together were held up together and prove nothing.
func (r *Registry) provedRevision(old, s *Server) uint64 {
	consecutive := old.AnnouncedHere() && s.AnnouncedHere() && s.Sequence == old.Sequence+1
	interval := r.o.ServerLease / MissedAnnouncements
	if !consecutive || s.LastSeen.Sub(old.LastSeen) < interval/2 {
		return 0
	}
	return old.appliedRevision
}
