package dispatch

import (
	"testing"
	"time"
)

// TestLost checks that a server with a request in flight is lost only if it has sent nothing for
// some time and its announcements have also expired at the last view. The age at which
// announcements expire depends on the interval of the servers' announcements.
func TestLost(t *testing.T) {
	for _, c := range []struct {
		name                       string
		announceEvery              time.Duration // interval of the announcements; 0 for the default
		silentFor, announcementAge time.Duration
		lost, unused               bool
	}{
		{"both", 0, 5 * time.Second, 4600 * time.Millisecond, true, true},
		{"announces itself", 0, 3 * time.Second, time.Second, false, false},
		{"announcement late, but it sends", 0, 500 * time.Millisecond, 4600 * time.Millisecond, false, true},
		{"announcements are rarer", 3 * time.Second, 8 * time.Second, 7 * time.Second, false, false},
		{"announcements are rarer, three missed", 3 * time.Second, 11 * time.Second, 10 * time.Second, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := New(Options{Host: "h1", Region: "west", FailureDomain: "w1", Random: func() float64 { return 0 }, PrefillRate: 38 / 1.25, AnnounceEvery: c.announceEvery})
			v := testView(2)
			v.Hosts, v.Regions = nil, nil
			f.ApplyView(v, FullScope, start)
			choice := f.Choose(shortJob(), start)
			f.Started(&choice, start)
			now := start.Add(20 * time.Second)
			f.Progress(&choice, now.Add(-c.silentFor))
			for _, s := range v.Servers {
				if s.AgeMs = 100; s.Id == choice.Server.ID {
					s.AgeMs = uint64(c.announcementAge.Milliseconds())
				}
			}
			f.ApplyView(v, FullScope, now)
			if got := f.Lost(&choice, now); got != c.lost {
				t.Errorf("lost: %v", got)
			}
			j := shortJob()
			for id := range f.servers {
				j.Tried[id] = id != choice.Server.ID
			}
			if only := f.Choose(j, now); (only.Refused != "") != c.unused {
				t.Errorf("when no other is left: refused %q", only.Refused)
			}
		})
	}
}
