// Package holders tracks which engine probably holds which shared prefix chain of prompts in
// its KV cache. Entry hosts report to their control host where they sent prompts; control hosts
// keep the newest reports in a bounded log and forward them; each entry host keeps a table of
// them. The reports are hints: an engine may have evicted a chain, and a report may be lost.
package holders

import (
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Place records that a prompt with the chain was sent to the server. For a server of another
// region, Server is the key of the region. Both fields are 4-byte keys because each entry host
// receives a place for every long prompt of its region. A key collision makes a hint wrong,
// which costs one prefill.
type Place struct{ Chain, Server uint32 }

// Key returns the key of the ID of a chain, server, host or region.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Encode returns the message for the places; nil if there are none.
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

// Decode returns the places of a message. Chains without a server are skipped.
func Decode(m *pb.PromptPlaces) []Place {
	var out []Place
	for i, chain := range m.GetChain() {
		if i < len(m.GetServer()) {
			out = append(out, Place{Chain: chain, Server: m.Server[i]})
		}
	}
	return out
}

// maxLogEntries bounds a log: about 10 s of a region with 400 long prompts per second.
const maxLogEntries = 4096

// Log is a control host's list of places, oldest first. It is not safe for concurrent use.
type Log struct {
	first   uint64 // position of the first entry
	entries []entry
}

type entry struct {
	place      Place
	origin     string // ID of the entry host that reported it; "" if a control host forwarded it
	sameDomain bool   // forwarded by a control host of this failure domain
}

// Add appends places. origin is the ID of the entry host that reported them; "" if a control
// host of another failure domain forwarded them.
func (l *Log) Add(origin string, places []Place) { l.add(places, entry{origin: origin}) }

// AddFromDomain appends places that another control host of this failure domain forwarded.
func (l *Log) AddFromDomain(places []Place) { l.add(places, entry{sameDomain: true}) }

func (l *Log) add(places []Place, e entry) {
	for _, p := range places {
		e.place = p
		l.entries = append(l.entries, e)
	}
	if over := len(l.entries) - maxLogEntries; over > 0 {
		l.entries = append([]entry(nil), l.entries[over:]...)
		l.first += uint64(over)
	}
}

// ForHost returns the places from a position on that the entry host did not report itself, and the
// position for the next call.
func (l *Log) ForHost(host string, from uint64) ([]Place, uint64) {
	return l.filterFrom(from, func(e entry) bool { return e.origin != host })
}

// InRegion returns one place per chain, with the key of the region in place of the server. Other
// regions need only know that some engine of the region holds the chain.
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

// FromEntryHosts returns the places from a position on that entry hosts reported to this control
// host, for forwarding to other control hosts, and the position for the next call.
func (l *Log) FromEntryHosts(from uint64) ([]Place, uint64) {
	return l.filterFrom(from, func(e entry) bool { return e.origin != "" })
}

// FromDomain returns the places from a position on that entry hosts reported to this control
// host or to another one of its failure domain, and the position for the next call.
func (l *Log) FromDomain(from uint64) ([]Place, uint64) {
	return l.filterFrom(from, func(e entry) bool { return e.origin != "" || e.sameDomain })
}

func (l *Log) filterFrom(position uint64, wanted func(entry) bool) ([]Place, uint64) {
	next := l.first + uint64(len(l.entries))
	if position > next {
		position = l.first // a position in the log of an earlier process
	}
	var out []Place
	for _, e := range l.entries[max(position, l.first)-l.first:] {
		if wanted(e) {
			out = append(out, e.place)
		}
	}
	return out, next
}

// maxHoldersPerChain bounds the holders kept for a chain; the newest are kept. A chain with more
// holders is hot, and its newest holders are enough to choose from.
const maxHoldersPerChain = 6

// holderTTL is how long a chain stays in the table after its last use.
const holderTTL = 30 * time.Second

// Holder is an engine that probably holds a chain.
type Holder struct {
	Server uint32
	Used   time.Time // when the last prompt with the chain was recorded
}

// Table maps chains to their probable holders, for one entry host. It is not safe for concurrent
// use.
type Table struct{ chains map[uint32][]Holder }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{map[uint32][]Holder{}} }

// Record records that a prompt with the chain was sent to the server.
func (t *Table) Record(p Place, now time.Time) {
	list := t.chains[p.Chain]
	for i, h := range list {
		if h.Server == p.Server {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	list = append(list, Holder{p.Server, now})
	if len(list) > maxHoldersPerChain {
		list = list[1:]
	}
	t.chains[p.Chain] = list
}

// Holders returns the chain's holders, the most recently used last.
func (t *Table) Holders(chain uint32) []Holder { return t.chains[chain] }

// Expire deletes chains that have not been used within holderTTL.
func (t *Table) Expire(now time.Time) {
	for chain, list := range t.chains {
		if now.Sub(list[len(list)-1].Used) > holderTTL {
			delete(t.chains, chain)
		}
	}
}
