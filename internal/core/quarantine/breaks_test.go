package quarantine

import (
	"testing"
	"time"
)

// TestWhatProvesAnEnd plays what is heard after a server broke off a request, and checks
// whether the end counts.
func TestWhatProvesAnEnd(t *testing.T) {
	const every = time.Second
	broke := Break{Start{"s1", 5}, "10.0.0.1:80"}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	seen := func(id string, born int64, addr string, heard time.Duration) Sighting {
		return Sighting{Start{id, born}, addr, at(heard)}
	}
	type step struct {
		at      time.Duration
		refused bool
		heard   []Sighting
	}
	for _, c := range []struct {
		name  string
		steps []step
		ends  int
		alive bool
	}{
		{"nothing is heard", []step{{at: time.Second}, {at: 14 * time.Second}}, 0, false},
		{"no process listens", []step{{refused: true}}, 1, false},
		{"asked twice", []step{{refused: true}, {refused: true}}, 1, false},
		{"it goes on announcing itself", []step{{at: 5 * time.Second, heard: []Sighting{seen("s1", 5, broke.Address, 5*time.Second)}}}, 0, false},
		{"it goes on, though a connection was refused", []step{{refused: true}, {at: 5 * time.Second, heard: []Sighting{seen("s1", 5, broke.Address, 5*time.Second)}}}, 1, true},
		{"an announcement was on its way", []step{{refused: true}, {at: 2 * time.Second, heard: []Sighting{seen("s1", 5, broke.Address, 2*time.Second)}}}, 1, false},
		{"another start under its ID", []step{{at: 4 * time.Second, heard: []Sighting{seen("s1", 9, broke.Address, 4*time.Second)}}}, 1, false},
		{"another server at its address", []step{{at: 4 * time.Second, heard: []Sighting{seen("s2", 9, broke.Address, 4*time.Second)}}}, 1, false},
		{"both proofs", []step{{refused: true}, {at: 4 * time.Second, heard: []Sighting{seen("s2", 9, broke.Address, 4*time.Second)}}}, 1, false},
		{"another server elsewhere", []step{{at: 4 * time.Second, heard: []Sighting{seen("s2", 9, "10.0.0.2:80", 4*time.Second)}}}, 0, false},
		{"another server much later", []step{{at: 16 * time.Second}, {at: 17 * time.Second, heard: []Sighting{seen("s2", 9, broke.Address, 17*time.Second)}}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBreaks(every)
			if b.Add(broke, Evidence{Fingerprint: request(1)}, start) {
				t.Error("proved by the break alone")
			}
			ends, alive := 0, false
			for _, s := range c.steps {
				if s.refused {
					ends += len(b.Refused(broke.Start))
				}
				proved, living := b.Heard(s.heard, at(s.at))
				ends += len(proved)
				alive = alive || len(living) > 0
			}
			if ends != c.ends || alive != c.alive {
				t.Errorf("%d ends, alive %v; want %d, %v", ends, alive, c.ends, c.alive)
			}
		})
	}
}

// TestLaterBreaksOfAServerThatEnded checks that a request that breaks off after the proof
// counts at once.
func TestLaterBreaksOfAServerThatEnded(t *testing.T) {
	b := NewBreaks(time.Second)
	broke := Break{Start{"s1", 5}, "10.0.0.1:80"}
	b.Add(broke, Evidence{Fingerprint: request(1)}, start)
	b.Refused(broke.Start)
	if !b.Add(broke, Evidence{Fingerprint: request(2)}, start) {
		t.Error("not proved")
	}
}
