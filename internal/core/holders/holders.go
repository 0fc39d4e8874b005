// Package holders is about which engine holds which shared chain of prompts in its KV
// cache. Entry hosts tell their control host where they sent prompts; control hosts
// keep the newest of it in a log and hand it on; each entry host keeps a table of it.
// All of it is a hint: an engine may have evicted a chain, and a hint may be lost.
package holders

import (
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Place says that a prompt with the chain was sent to the server, or to some server of
// another region, which then stands in its place. Both are keys of four bytes, as each host
// hears of every long prompt of its region. Two IDs with one key make a hint wrong, which
// costs one reading.
type Place struct{ Chain, Server uint32 }

// Key returns the key of a chain's or server's ID.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Encode returns the message that holds the places; nil for none.
func Encode(places []Place) *pb.PromptPlaces {
	if len(places) == 0 {
		return nil
	}
	m := &pb.PromptPlaces{}
	for _, p := range places {
		m.Chain = append(m.Chain, p.Chain)
		m.Server = append(m.Server, p.Server)
	}
	return m
}

// Decode returns the places of a message. A chain without a server is left out.
func Decode(m *pb.PromptPlaces) []Place {
	var out []Place
	for i, chain := range m.GetChain() {
		if i < len(m.GetServer()) {
			out = append(out, Place{Chain: chain, Server: m.Server[i]})
		}
	}
	return out
}

// logLength bounds a log: some ten seconds of a region with 400 long prompts a second.
const logLength = 4096

// Log is a control host's list of places, oldest first. It is not safe for concurrent use.
type Log struct {
	first   uint64 // position of the first entry
	entries []entry
}

type entry struct {
	place  Place
	origin string // the entry host that told it here; "" when another control host did
	domain bool   // the other control host is of the own failure domain
}

// Add appends places. An origin names the entry host that told them; "" means that
// another control host did.
func (l *Log) Add(origin string, places []Place) { l.add(places, entry{origin: origin}) }

// AddOfDomain appends places that another control host of the own failure domain told.
func (l *Log) AddOfDomain(places []Place) { l.add(places, entry{domain: true}) }

func (l *Log) add(places []Place, e entry) {
	for _, p := range places {
		e.place = p
		l.entries = append(l.entries, e)
	}
	if over := len(l.entries) - logLength; over > 0 {
		l.entries = append([]entry(nil), l.entries[over:]...)
		l.first += uint64(over)
	}
}

// For returns the places from a position on that an entry host does not know, and the
// position to go on from.
func (l *Log) For(host string, from uint64) ([]Place, uint64) {
	return l.from(from, func(e entry) bool { return e.origin != host })
}

// InRegion returns places that say no more than that some engine of the region holds
// the chains: each chain once.
func InRegion(region string, places []Place) []Place {
	key := Key(region)
	seen := map[uint32]bool{}
	var out []Place
	for _, p := range places {
		if !seen[p.Chain] {
			seen[p.Chain] = true
			out = append(out, Place{p.Chain, key})
		}
	}
	return out
}

// Direct returns the places from a position on that entry hosts told here, for the
// other control hosts.
func (l *Log) Direct(from uint64) ([]Place, uint64) {
	return l.from(from, func(e entry) bool { return e.origin != "" })
}

// OfDomain returns the places from a position on that entry hosts told here or to another
// control host of the failure domain.
func (l *Log) OfDomain(from uint64) ([]Place, uint64) {
	return l.from(from, func(e entry) bool { return e.origin != "" || e.domain })
}

func (l *Log) from(position uint64, wanted func(entry) bool) ([]Place, uint64) {
	next := l.first + uint64(len(l.entries))
	if position > next {
		position = l.first // the log of an earlier process
	}
	var out []Place
	for _, e := range l.entries[max(position, l.first)-l.first:] {
		if wanted(e) {
			out = append(out, e.place)
		}
	}
	return out, next
}

// perChain is how many holders of a chain are kept: the newest ones. A chain that more
// engines hold is hot, and any of these will do.
const perChain = 6

// forgetAfter is how long a holder is kept in the table.
const forgetAfter = 30 * time.Second

// Holder is an engine that probably holds a chain.
type Holder struct {
	Server uint32
	Used   time.Time // when a prompt with the chain was last sent there, as heard
}

// Table is an entry host's view. It is not safe for concurrent use.
type Table struct{ chains map[uint32][]Holder }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{map[uint32][]Holder{}} }

// Note records that a prompt with the chain was sent to the server.
func (t *Table) Note(p Place, now time.Time) {
	list := t.chains[p.Chain]
	for i, h := range list {
		if h.Server == p.Server {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	list = append(list, Holder{p.Server, now})
	if len(list) > perChain {
		list = list[1:]
	}
	t.chains[p.Chain] = list
}

// Of returns the chain's holders, the newest last.
func (t *Table) Of(chain uint32) []Holder { return t.chains[chain] }

// Forget drops what is too old to be of use.
func (t *Table) Forget(now time.Time) {
	for chain, list := range t.chains {
		if now.Sub(list[len(list)-1].Used) > forgetAfter {
			delete(t.chains, chain)
		}
	}
}
