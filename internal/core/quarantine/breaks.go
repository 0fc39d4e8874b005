package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServerProcess identifies one process of a backend server. Processes that run under the same
// server ID differ in StartID.
type ServerProcess struct {
	ID      string
	StartID int64
}

// Key returns the hash that identifies the process in evidence and peer messages.
func (s ServerProcess) Key() uint64 {
	return xxhash.Sum64String(s.ID + "\x00" + strconv.FormatInt(s.StartID, 10))
}

// proofTimeout is how long a break is tracked. A server that crashed is replaced within that time
// or not at all, so no proof is expected later.
const proofTimeout = 15 * time.Second

// ConnectionBreak identifies a server process that broke the connections of requests in flight.
type ConnectionBreak struct {
	Process ServerProcess
	Address string
}

type trackedBreak struct {
	ConnectionBreak
	at       time.Time  // when the first request's connection broke
	proved   bool       // the process is proved to have crashed
	evidence []Evidence // the evidence of its requests, until the crash is proved
}

// CrashDetector holds the server processes that broke the connections of requests until it is
// established whether they crashed. A broken connection alone proves nothing, as it may have
// been reset or the network may have failed. There are two proofs: that no process listens at
// the address, and that another process announced itself under the same ID or at the same
// address. A process that announces itself again did not crash.
//
// A false proof counts against the requests that were in flight at the server, which matters
// only if three are false for the same request. A missing proof lets a request crash one more
// server before it is quarantined.
type CrashDetector struct {
	byProcess map[ServerProcess]*trackedBreak
	// aliveAfter is the delay after a break from which an announcement shows that the process is
	// alive. Earlier ones may have been sent before the crash.
	aliveAfter time.Duration
}

// maxAnnouncementsInFlight is how many announcements of a server may arrive after its process
// crashed.
const maxAnnouncementsInFlight = 3

// NewCrashDetector returns an empty detector for servers that announce themselves at the given
// interval.
func NewCrashDetector(announceEvery time.Duration) *CrashDetector {
	return &CrashDetector{byProcess: map[ServerProcess]*trackedBreak{}, aliveAfter: maxAnnouncementsInFlight * announceEvery}
}

// Add records that a server broke the connection of a request. It reports whether the server's
// process is already proved to have crashed; the evidence is then not kept, and the caller
// counts it at once.
func (b *CrashDetector) Add(x ConnectionBreak, e Evidence, now time.Time) (proved bool) {
	o := b.byProcess[x.Process]
	if o == nil {
		o = &trackedBreak{ConnectionBreak: x, at: now}
		b.byProcess[x.Process] = o
	}
	if !o.proved {
		o.evidence = append(o.evidence, e)
	}
	return o.proved
}

// Len returns the number of server processes recorded, proved to have crashed or not.
func (b *CrashDetector) Len() int { return len(b.byProcess) }

// ConnectionRefused records that the server's address refused a connection, so that no process
// listens there. It returns the evidence that this proves.
func (b *CrashDetector) ConnectionRefused(s ServerProcess) []Evidence { return b.prove(b.byProcess[s]) }

// prove marks the process as crashed and returns its evidence, once.
func (b *CrashDetector) prove(o *trackedBreak) []Evidence {
	if o == nil || o.proved {
		return nil
	}
	out := o.evidence
	o.proved, o.evidence = true, nil
	return out
}

// Announcement is a server process as described by its last announcement.
type Announcement struct {
	Process    ServerProcess
	Address    string
	ReceivedAt time.Time
}

// ObserveAnnouncements compares the breaks with the last announcements of the servers. It
// returns the evidence that they prove, and the keys of processes that were proved to have
// crashed but are alive.
func (b *CrashDetector) ObserveAnnouncements(servers []Announcement, now time.Time) (proved []Evidence, alive []uint64) {
	if len(b.byProcess) == 0 {
		return nil, nil
	}
	for process, o := range b.byProcess {
		for _, s := range servers {
			switch {
			case s.Process == process && s.ReceivedAt.After(o.at.Add(b.aliveAfter)):
				if o.proved {
					alive = append(alive, process.Key())
				}
				delete(b.byProcess, process)
			case s.Process.ID == process.ID && s.Process != process, s.Address == o.Address && s.Process.ID != process.ID:
				proved = append(proved, b.prove(o)...)
			}
		}
		if now.Sub(o.at) > proofTimeout {
			delete(b.byProcess, process)
		}
	}
	return proved, alive
}
