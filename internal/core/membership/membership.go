// Package membership detects which hosts of a failure domain are alive. Hosts
// probe each other in random order; a host that answers neither a direct probe
// nor indirect probes through other hosts is suspected. It is declared dead
// unless it refutes the suspicion with a higher incarnation number within
// SuspectTimeout (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002). The package
// does no I/O and reads no clock.
package membership

import (
	"math/rand"
	"sort"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// State is the state recorded for a member.
type State uint32

// States. In one incarnation a later state overrides an earlier one.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Options configures a List.
type Options struct {
	ID             string
	SuspectTimeout time.Duration // time a suspect has to refute before it is declared dead
	Retransmit     int           // number of messages that carry an update (default 6)
	Seed           int64
}

// Member is the state that this host has recorded for another host.
type Member struct {
	ID          string
	State       State
	Incarnation uint64
	Draining    bool
	Since       time.Time // time of the last change of State or Incarnation
	Contacted   bool      // a message from the host has been received
}

// Event reports a change of a member's state.
type Event struct {
	ID    string
	State State
}

// List is one host's view of the other hosts. It is not safe for concurrent use.
type List struct {
	o           Options
	rnd         *rand.Rand
	incarnation uint64
	members     map[string]*Member
	order       []string
	next        int
	retransmits map[string]int // remaining retransmissions by host ID
	events      []Event
}

// New returns a view without other hosts. incarnation is this host's incarnation number.
func New(o Options, incarnation uint64) *List {
	if o.Retransmit == 0 {
		o.Retransmit = 6
	}
	return &List{
		o: o, rnd: rand.New(rand.NewSource(o.Seed)), incarnation: incarnation,
		members: map[string]*Member{}, retransmits: map[string]int{},
	}
}

// SetHosts sets the hosts to probe. New ones start as Alive and not Contacted.
func (l *List) SetHosts(ids []string, now time.Time) {
	keep := map[string]bool{}
	for _, id := range ids {
		if id == l.o.ID {
			continue
		}
		keep[id] = true
		if l.members[id] == nil {
			l.members[id] = &Member{ID: id, Since: now}
		}
	}
	for id := range l.members {
		if !keep[id] {
			delete(l.members, id)
			delete(l.retransmits, id)
		}
	}
	l.order, l.next = nil, 0
}

// Incarnation returns this host's incarnation number.
func (l *List) Incarnation() uint64 { return l.incarnation }

// maxSuspectProbes is the maximum number of suspects probed again in one interval.
const maxSuspectProbes = 3

// ProbeTargets returns the hosts to probe in this interval: the next of the round,
// and up to maxSuspectProbes suspects. The probe of a suspect carries the
// suspicion, so that the suspect can refute it before it is declared dead.
func (l *List) ProbeTargets() []string {
	var out []string
	if next := l.nextTarget(); next != "" {
		out = append(out, next)
	}
	for _, m := range l.Members() {
		if m.State == Suspect && m.ID != out[0] && len(out) <= maxSuspectProbes {
			out = append(out, m.ID)
		}
	}
	return out
}

// nextTarget returns the next host of the round, or "" if there are no other
// hosts. Every host is probed once per round, dead ones too, so that the end of a
// network partition is detected.
func (l *List) nextTarget() string {
	if l.next >= len(l.order) {
		l.order = l.order[:0]
		for id := range l.members {
			l.order = append(l.order, id)
		}
		sort.Strings(l.order)
		l.rnd.Shuffle(len(l.order), func(i, j int) { l.order[i], l.order[j] = l.order[j], l.order[i] })
		l.next = 0
	}
	if len(l.order) == 0 {
		return ""
	}
	id := l.order[l.next]
	l.next++
	return id
}

// IndirectProbers returns up to n random live hosts other than target that can send it
// indirect probes.
func (l *List) IndirectProbers(target string, n int) []string {
	var ids []string
	for id, m := range l.members {
		if id != target && m.State == Alive {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	l.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// RecordContact records that a message was received from a host, and the host's incarnation
// number. A host that was declared dead in this incarnation stays dead until it
// refutes with a higher one.
func (l *List) RecordContact(id string, incarnation uint64, draining bool, now time.Time) {
	m := l.members[id]
	if m == nil {
		return
	}
	m.Contacted = true
	m.Draining = draining
	if incarnation > m.Incarnation {
		m.Incarnation = incarnation
		l.change(m, Alive, now)
		return
	}
	if m.State == Suspect && incarnation == m.Incarnation {
		l.change(m, Alive, now)
	}
}

// RecordProbeFailure records that a host answered neither the direct nor the indirect probes.
func (l *List) RecordProbeFailure(id string, now time.Time) {
	if m := l.members[id]; m != nil && m.State == Alive {
		l.change(m, Suspect, now)
	}
}

// Tick declares dead the suspects that did not refute within SuspectTimeout.
func (l *List) Tick(now time.Time) {
	for _, m := range l.members {
		if m.State == Suspect && now.Sub(m.Since) >= l.o.SuspectTimeout {
			l.change(m, Dead, now)
		}
	}
}

// change sets a member's state and queues the update for dissemination.
func (l *List) change(m *Member, s State, now time.Time) {
	if m.State != s {
		l.events = append(l.events, Event{m.ID, s})
	}
	m.State, m.Since = s, now
	l.retransmits[m.ID] = l.o.Retransmit
}

// Merge applies updates received from another host. If an update marks this host
// as suspect or dead in its current incarnation or a later one, Merge refutes it
// with a higher incarnation number and returns true: other hosts had recorded
// this host as failed.
func (l *List) Merge(updates []*pb.MemberUpdate, now time.Time) (refuted bool) {
	for _, u := range updates {
		if u.Host == l.o.ID {
			if State(u.State) != Alive && u.Incarnation >= l.incarnation {
				l.incarnation = u.Incarnation + 1
				l.retransmits[l.o.ID] = l.o.Retransmit
				refuted = true
			}
			continue
		}
		l.mergeOne(u, now)
	}
	return refuted
}

func (l *List) mergeOne(u *pb.MemberUpdate, now time.Time) {
	m := l.members[u.Host]
	if m == nil || u.State > uint32(Dead) {
		return
	}
	s := State(u.State)
	newer := u.Incarnation > m.Incarnation
	if !newer && (u.Incarnation < m.Incarnation || s <= m.State) {
		return
	}
	m.Incarnation = u.Incarnation
	l.change(m, s, now)
}

// maxUpdates is the maximum number of queued updates in one message.
const maxUpdates = 16

// Updates returns the updates to piggyback on the next message to receiver, those
// with the most retransmissions left first. If receiver is recorded as suspect or
// dead, the first update says so, which lets receiver refute it.
func (l *List) Updates(receiver string) []*pb.MemberUpdate {
	var out []*pb.MemberUpdate
	if m := l.members[receiver]; m != nil && m.State != Alive {
		out = append(out, &pb.MemberUpdate{Host: m.ID, Incarnation: m.Incarnation, State: uint32(m.State)})
	}
	ids := make([]string, 0, len(l.retransmits))
	for id := range l.retransmits {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := l.retransmits[ids[i]], l.retransmits[ids[j]]
		return a > b || (a == b && ids[i] < ids[j])
	})
	for _, id := range ids[:min(maxUpdates, len(ids))] {
		if l.retransmits[id]--; l.retransmits[id] <= 0 {
			delete(l.retransmits, id)
		}
		if id == l.o.ID {
			out = append(out, &pb.MemberUpdate{Host: id, Incarnation: l.incarnation})
		} else if m := l.members[id]; m != nil {
			out = append(out, &pb.MemberUpdate{Host: id, Incarnation: m.Incarnation, State: uint32(m.State)})
		}
	}
	return out
}

// Events returns the state changes since the last call.
func (l *List) Events() []Event {
	e := l.events
	l.events = nil
	return e
}

// Get returns the member with the ID.
func (l *List) Get(id string) (Member, bool) {
	if m := l.members[id]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Live returns the IDs of the other hosts that are not recorded as dead, sorted.
func (l *List) Live() []string {
	var ids []string
	for id, m := range l.members {
		if m.State != Dead {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Members returns all members, sorted by ID.
func (l *List) Members() []Member {
	out := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
