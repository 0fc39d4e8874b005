package quarantine

import (
	"testing"
	"time"
)

// TestWhatProvesAnEnd replays refused connections and announcements after a server broke a
// request's connection, and checks whether its process is counted as crashed.
func TestWhatProvesAnEnd(t *testing.T) {
	const every = time.Second
	broke := ConnectionBreak{ServerProcess{"s1", 5}, "10.0.0.1:80"}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	announcement := func(id string, startID int64, addr string, receivedAt time.Duration) Announcement {
		return Announcement{ServerProcess{id, startID}, addr, at(receivedAt)}
	}
	type step struct {
		at        time.Duration
		refused   bool
		announced []Announcement
	}
	for _, c := range []struct {
		name    string
		steps   []step
		crashes int
		alive   bool
	}{
		{"no announcement", []step{{at: time.Second}, {at: 14 * time.Second}}, 0, false},
		{"no process listens", []step{{refused: true}}, 1, false},
		{"no process listens, checked twice", []step{{refused: true}, {refused: true}}, 1, false},
		{"the same process announces itself again", []step{{at: 5 * time.Second, announced: []Announcement{announcement("s1", 5, broke.Address, 5*time.Second)}}}, 0, false},
		{"the same process announces itself after a refused connection", []step{{refused: true}, {at: 5 * time.Second, announced: []Announcement{announcement("s1", 5, broke.Address, 5*time.Second)}}}, 1, true},
		{"announcement in flight when the process ended", []step{{refused: true}, {at: 2 * time.Second, announced: []Announcement{announcement("s1", 5, broke.Address, 2*time.Second)}}}, 1, false},
		{"another process under its ID", []step{{at: 4 * time.Second, announced: []Announcement{announcement("s1", 9, broke.Address, 4*time.Second)}}}, 1, false},
		{"another server at its address", []step{{at: 4 * time.Second, announced: []Announcement{announcement("s2", 9, broke.Address, 4*time.Second)}}}, 1, false},
		{"both proofs", []step{{refused: true}, {at: 4 * time.Second, announced: []Announcement{announcement("s2", 9, broke.Address, 4*time.Second)}}}, 1, false},
		{"another server at another address", []step{{at: 4 * time.Second, announced: []Announcement{announcement("s2", 9, "10.0.0.2:80", 4*time.Second)}}}, 0, false},
		{"another server after the proof timeout", []step{{at: 16 * time.Second}, {at: 17 * time.Second, announced: []Announcement{announcement("s2", 9, broke.Address, 17*time.Second)}}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewCrashDetector(every)
			if b.Add(broke, Evidence{Fingerprint: request(1)}, start) {
				t.Error("the break alone proved that the process crashed")
			}
			crashes, alive := 0, false
			for _, s := range c.steps {
				if s.refused {
					crashes += len(b.ConnectionRefused(broke.Process))
				}
				proved, living := b.ObserveAnnouncements(s.announced, at(s.at))
				crashes += len(proved)
				alive = alive || len(living) > 0
			}
			if crashes != c.crashes || alive != c.alive {
				t.Errorf("%d proofs, alive %v; want %d, %v", crashes, alive, c.crashes, c.alive)
			}
		})
	}
}

// TestBreakAfterProofCountsAtOnce checks that evidence added after the proof that its server's
// process crashed counts at once.
func TestBreakAfterProofCountsAtOnce(t *testing.T) {
	b := NewCrashDetector(time.Second)
	broke := ConnectionBreak{ServerProcess{"s1", 5}, "10.0.0.1:80"}
	b.Add(broke, Evidence{Fingerprint: request(1)}, start)
	b.ConnectionRefused(broke.Process)
	if !b.Add(broke, Evidence{Fingerprint: request(2)}, start) {
		t.Error("a break after the proof was not reported as proved")
	}
}
