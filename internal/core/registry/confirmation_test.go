package registry

import (
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestAnnouncementProvesRevision guards against delayed announcements that confirm a server's state.
func TestAnnouncementProvesRevision(t *testing.T) {
	const lease = 3600 * time.Millisecond
	type announcement struct {
		sequence uint64
		at       time.Duration // since the restoration was applied; negative for before
		via      string
		sent     uint64 // revision proved elsewhere
	}
	cases := []struct {
		name  string
		list  []announcement
		waits bool
	}{
		{"none since", []announcement{{1, -1200, "", 0}}, true},
		{"one since", []announcement{{1, -1200, "", 0}, {2, 100, "", 0}}, true},
		{"two since", []announcement{{1, -1200, "", 0}, {2, 100, "", 0}, {3, 1300, "", 0}}, false},
		{"two since, together", []announcement{{1, -1200, "", 0}, {2, 1300, "", 0}, {3, 1301, "", 0}}, true},
		{"two together and a third", []announcement{{2, 1300, "", 0}, {3, 1301, "", 0}, {4, 2500, "", 0}}, false},
		{"one between them to another control host", []announcement{{2, 100, "", 0}, {3, 1300, "d1", 0}, {4, 2500, "", 0}}, true},
		{"one between them not received", []announcement{{2, 100, "", 0}, {4, 2500, "", 0}}, true},
		{"the same one twice", []announcement{{2, 100, "", 0}, {2, 1300, "", 0}}, true},
		{"one from before again, and the next", []announcement{{1, -1200, "", 0}, {2, -100, "", 0}, {2, 100, "", 0}, {3, 1300, "", 0}}, true},
		{"an earlier one after a later one", []announcement{{3, 100, "", 0}, {2, 1300, "", 0}}, true},
		{"two passed on", []announcement{{2, 100, "d1", 0}, {3, 1300, "d1", 0}}, true},
		{"proved elsewhere", []announcement{{3, 100, "d1", 2}}, false},
		{"proved elsewhere, an earlier restoration", []announcement{{3, 100, "d1", 1}}, true},
		{"proved, then announced here", []announcement{{3, 100, "d1", 2}, {4, 1300, "", 0}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(Options{Region: "r", FailureDomain: "d0", ServerLease: lease, Regions: map[string]string{"d0": "r", "d1": "r"}})
			applied := time.Unix(1000, 0)
			r.SetEvacuations(1, nil)
			for _, a := range c.list {
				if a.at >= 0 {
					r.SetEvacuations(2, []*pb.RestoredDomain{{FailureDomain: "d0", Revision: 2}})
				}
				now := applied.Add(a.at * time.Millisecond)
				s := Server{ID: "s", Service: "llm", Address: "a:1", FailureDomain: "d0", Sequence: a.sequence, Via: a.via, SentAfterRevision: a.sent, LastSeen: now}
				if a.via == "" {
					s.DirectAt = now
				}
				r.Announce(s, now)
			}
			r.SetEvacuations(2, []*pb.RestoredDomain{{FailureDomain: "d0", Revision: 2}})
			if got := r.AwaitsConfirmation(r.Server("s")); got != c.waits {
				t.Errorf("awaits confirmation: %t, want %t", got, c.waits)
			}
		})
	}
}

// TestAnnouncementsProveWhenAProcessRan guards against delayed announcements that prove a process at a time after its
// end.
func TestAnnouncementsProveWhenAProcessRan(t *testing.T) {
	const lease = 3600 * time.Millisecond
	type announcement struct {
		sequence uint64
		start    int64
		address  string
		at       time.Duration
		via      string
	}
	for _, c := range []struct {
		name string
		list []announcement
		want time.Duration // -1 for none
	}{
		{"one", []announcement{{1, 7, "a:1", 0, ""}}, -1},
		{"two", []announcement{{1, 7, "a:1", 0, ""}, {2, 7, "a:1", 1200, ""}}, 0},
		{"three", []announcement{{1, 7, "a:1", 0, ""}, {2, 7, "a:1", 1200, ""}, {3, 7, "a:1", 2400, ""}}, 1200},
		{"two, received together", []announcement{{1, 7, "a:1", 0, ""}, {2, 7, "a:1", 1, ""}}, -1},
		{"the third is late", []announcement{{1, 7, "a:1", 0, ""}, {2, 7, "a:1", 1200, ""}, {3, 7, "a:1", 9000, ""}}, 1200},
		{"one between them not received", []announcement{{1, 7, "a:1", 0, ""}, {3, 7, "a:1", 2400, ""}}, -1},
		{"passed on", []announcement{{1, 7, "a:1", 0, "d1"}, {2, 7, "a:1", 1200, "d1"}}, -1},
		{"one of them passed on", []announcement{{1, 7, "a:1", 0, ""}, {2, 7, "a:1", 1200, "d1"}}, -1},
		{"an earlier one again", []announcement{{2, 7, "a:1", 0, ""}, {1, 7, "a:1", 1200, ""}}, -1},
		{"of two processes", []announcement{{1, 7, "a:1", 0, ""}, {2, 9, "a:1", 1200, ""}}, -1},
		{"the process has started again", []announcement{{1, 7, "a:1", 0, ""}, {2, 7, "a:1", 1200, ""}, {1, 9, "a:1", 2400, ""}}, -1},
		{"at two addresses", []announcement{{1, 7, "a:1", 0, ""}, {2, 7, "b:1", 1200, ""}}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(Options{Region: "r", FailureDomain: "d0", ServerLease: lease, Regions: map[string]string{"d0": "r", "d1": "r"}})
			began := time.Unix(1000, 0)
			for _, a := range c.list {
				now := began.Add(a.at * time.Millisecond)
				s := Server{ID: "s", Start: a.start, Service: "llm", Address: a.address, FailureDomain: "d0", Sequence: a.sequence, Via: a.via, LastSeen: now}
				r.Announce(s, now)
			}
			got := r.Server("s").ProvedAt
			if want := began.Add(c.want * time.Millisecond); got.IsZero() != (c.want < 0) || (c.want >= 0 && !got.Equal(want)) {
				t.Errorf("proved at %s, want %s after the first", got, c.want*time.Millisecond)
			}
		})
	}
}

// TestEarlyConfirmationIsSent guards against a confirmation that is lost because it precedes the restoration.
func TestEarlyConfirmationIsSent(t *testing.T) {
	r := New(Options{Region: "r", FailureDomain: "d1", ServerLease: time.Minute, Regions: map[string]string{"d0": "r", "d1": "r"}})
	now := time.Unix(1000, 0)
	r.Announce(Server{ID: "s", FailureDomain: "d0", Address: "a:1", Sequence: 1, Via: "d0", LastSeen: now}, now)
	r.Announce(Server{ID: "s", FailureDomain: "d0", Address: "a:1", Sequence: 2, Via: "d0", LastSeen: now, SentAfterRevision: 2}, now)
	version := r.Version()
	r.SetEvacuations(2, []*pb.RestoredDomain{{FailureDomain: "d0", Revision: 2}})
	if c, complete := r.ChangesSince(version, "r", now); !complete || len(c.Servers) != 1 || c.Servers[0].SentAfterRevision != 2 {
		t.Errorf("sent after the restoration: %+v", c.Servers)
	}
}
