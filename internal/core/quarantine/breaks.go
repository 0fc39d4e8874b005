package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Start names one process of a server: its ID and what tells its starts apart.
type Start struct {
	ID   string
	Born int64
}

// Key returns the key of the start in evidence.
func (s Start) Key() uint64 { return xxhash.Sum64String(s.ID + "\x00" + strconv.FormatInt(s.Born, 10)) }

// breakKept is how long a break waits for proof that the server ended: a crashed server is
// replaced within that time or not at all.
const breakKept = 15 * time.Second

// Break is a start of a server that ended the connections of requests under way.
type Break struct {
	Start   Start
	Address string
}

type openBreak struct {
	Break
	at       time.Time // of the first request that broke off
	proved   bool
	evidence []Evidence
}

// Breaks holds the servers that broke off requests until it is known whether their
// processes ended. A connection alone proves nothing: it may have been reset, or cut.
// The proofs are that no process listens at the address any more, and that another start was
// heard under the ID or at the address. A start that is heard again did not end.
//
// A wrong proof counts against the requests that were under way, which matters only where
// three are wrong about the same one; a missing one lets a request end one more server.
type Breaks struct {
	open map[Start]*openBreak
	// aliveAfter is how long after a break a start must be heard to be held alive: earlier
	// announcements may have been on their way.
	aliveAfter time.Duration
}

// announcementsUnderWay is how many announcements of a server may arrive after its end.
const announcementsUnderWay = 3

// NewBreaks returns no breaks, of servers that announce themselves at an interval.
func NewBreaks(announceEvery time.Duration) *Breaks {
	return &Breaks{open: map[Start]*openBreak{}, aliveAfter: announcementsUnderWay * announceEvery}
}

// Add notes that a server broke off a request. It reports whether the end of the server is
// proved already, so that the evidence counts at once.
func (b *Breaks) Add(x Break, e Evidence, now time.Time) (proved bool) {
	o := b.open[x.Start]
	if o == nil {
		o = &openBreak{Break: x, at: now}
		b.open[x.Start] = o
	}
	if !o.proved {
		o.evidence = append(o.evidence, e)
	}
	return o.proved
}

// Len returns the number of servers that wait for proof.
func (b *Breaks) Len() int { return len(b.open) }

// Refused takes that no process listens at the server's address. It returns the evidence
// that is proved by it.
func (b *Breaks) Refused(s Start) []Evidence { return b.prove(b.open[s]) }

func (b *Breaks) prove(o *openBreak) []Evidence {
	if o == nil || o.proved {
		return nil
	}
	out := o.evidence
	o.proved, o.evidence = true, nil
	return out
}

// Sighting is a start of a server as its last announcement shows it.
type Sighting struct {
	Start   Start
	Address string
	HeardAt time.Time
}

// Heard takes which servers are known now. It returns the evidence that is proved by it, and
// the keys of starts that were held to have ended and did not.
func (b *Breaks) Heard(servers []Sighting, now time.Time) (proved []Evidence, alive []uint64) {
	if len(b.open) == 0 {
		return nil, nil
	}
	for start, o := range b.open {
		for _, s := range servers {
			switch {
			case s.Start == start && s.HeardAt.After(o.at.Add(b.aliveAfter)):
				if o.proved {
					alive = append(alive, start.Key())
				}
				delete(b.open, start)
			case s.Start.ID == start.ID && s.Start != start, s.Address == o.Address && s.Start.ID != start.ID:
				proved = append(proved, b.prove(o)...)
			}
		}
		if now.Sub(o.at) > breakKept {
			delete(b.open, start)
		}
	}
	return proved, alive
}
