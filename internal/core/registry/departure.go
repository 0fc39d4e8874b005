package registry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamefork/sesamefork/internal/core/incarnation"
)

// A message may arrive seconds after it was sent, also when its sender has ended and another process runs under its
// ID or at its address. So a process that counts as gone is back once it is proved to have sent an announcement since:
// a server that has left sends none, and one that has lost its address is not reached by requests either.

// maxDepartures bounds the departures and the overruled departures that are kept of a process.
const maxDepartures = 16

// heard is an announcement that a server sent to this control host itself.
type heard struct {
	sequence uint64
	address  string
	at       time.Time // of its receipt; zero for none
}

// recordHeard records an announcement s of a known start, and what it proves: a server sends the second of two
// consecutive announcements to the same control host only after that one has acknowledged the first. Announcements
// received together may both have been delayed, and prove nothing.
func (r *Registry) recordHeard(known, s *Server) {
	last := known.heard
	if !s.AnnouncedHere() || (!last.at.IsZero() && s.Sequence <= last.sequence) {
		return
	}
	known.heard = heard{s.Sequence, s.Address, s.LastSeen}
	if last.address != s.Address {
		known.ProvedAt = time.Time{}
		return
	}
	if s.Sequence == last.sequence+1 && s.LastSeen.Sub(last.at) >= r.announceInterval()/2 {
		known.ProvedAt = last.at
	}
}

// rival is another process under a server's ID.
type rival struct {
	start    int64
	heard    heard
	provedAt time.Time
}

// runsAfter records an announcement of a process that counts as an earlier one than the known one, and reports whether
// it is proved to have run since the known one was last heard. Such a process has started later, though the clock of its
// machine was set back, or a late message took its place.
func (r *Registry) runsAfter(known, s *Server) bool {
	if !s.AnnouncedHere() {
		return s.ProvedElsewhere.After(known.LastSeen)
	}
	if known.rival == nil || known.rival.start != s.Start {
		known.rival = &rival{start: s.Start}
	}
	v := &Server{heard: known.rival.heard, ProvedAt: known.rival.provedAt}
	r.recordHeard(v, s)
	known.rival.heard, known.rival.provedAt = v.heard, v.ProvedAt
	if !v.ProvedAt.After(known.LastSeen) {
		return false
	}
	s.heard, s.ProvedAt = v.heard, v.ProvedAt
	return true
}

func (r *Registry) announceInterval() time.Duration { return r.o.ServerLease / MissedAnnouncements }

// overrule removes departures that are proved to be wrong.
func (s *Server) overrule(events []uint64) {
	for _, e := range events {
		if !slices.Contains(s.Overruled, e) {
			s.Overruled = append(s.Overruled, e)
		}
	}
	s.Overruled = s.Overruled[max(0, len(s.Overruled)-maxDepartures):]
	s.Departures = slices.DeleteFunc(s.Departures, func(e uint64) bool { return slices.Contains(s.Overruled, e) })
}

// isBack reports whether a process that counts as gone runs: it is proved to have sent an announcement after each of
// its departures was recorded, to this control host or to another one, and no other server holds its address.
func (r *Registry) isBack(known, s *Server) bool {
	if len(known.Departures) > 0 && s.AnnouncedHere() && !known.ProvedAt.Before(known.departedAt) && r.prevails(known, s.Address, s.LastSeen) {
		known.overrule(known.Departures)
	}
	return len(known.Departures) == 0
}

// departHere records a departure that no other control host knows.
func (r *Registry) departHere(s *Server, now time.Time) (wasInUse bool) {
	s.departedHere = true
	return r.depart(s, r.newDeparture(s, now), now)
}

// depart records an event after which a process counts as gone. It reports whether the process was in use before.
func (r *Registry) depart(s *Server, event uint64, now time.Time) bool {
	if slices.Contains(s.Departures, event) || slices.Contains(s.Overruled, event) {
		return false
	}
	s.Departures = append(s.Departures, event)
	s.Departures = s.Departures[max(0, len(s.Departures)-maxDepartures):]
	wasInUse := !s.Gone
	s.Gone, s.LastSeen, s.departedAt = true, now, now
	clear(r.lists)
	r.recordAnnouncement(s)
	r.recordServerChange(s)
	return wasInUse
}

// newDeparture returns an event that no other message names.
func (r *Registry) newDeparture(s *Server, now time.Time) uint64 {
	return xxhash.Sum64String(r.o.FailureDomain + "\x00" + s.ID + "\x00" + strconv.FormatInt(s.Start, 10) + "\x00" + strconv.FormatInt(now.UnixNano(), 10))
}

// Leave records that a start of a server has left for good; start 0 means the known one. It reports whether the server
// was in use before. A late message of an earlier start changes nothing.
func (r *Registry) Leave(id string, start int64, now time.Time) bool {
	return r.leave(id, start, nil, now)
}

// MergeDepartures records departures of a start that another control host sent. One of an earlier version sends none.
func (r *Registry) MergeDepartures(id string, start int64, events []uint64, now time.Time) {
	if len(events) == 0 {
		events = []uint64{xxhash.Sum64String(id + "\x00" + strconv.FormatInt(start, 10))}
	}
	r.leave(id, start, events, now)
}

// leave records departures of a start, or a new one if there are none.
func (r *Registry) leave(id string, start int64, events []uint64, now time.Time) (wasInUse bool) {
	s := r.servers[id]
	if s == nil {
		s = &Server{ID: id, FirstSeen: now}
		r.servers[id] = s
	}
	switch r.compareToKnownStart(s, start, now) {
	case incarnation.Older:
		return false
	case incarnation.Newer:
		s.Gone, s.Departures, s.Overruled, s.departedHere = false, nil, nil, false
		s.ProvedAt, s.ProvedElsewhere, s.heard, s.rival = time.Time{}, time.Time{}, heard{}, nil
	}
	s.starts.Advance(start)
	s.Start = s.starts.Current
	if events == nil {
		return r.departHere(s, now)
	}
	for _, e := range events {
		wasInUse = r.depart(s, e, now) || wasInUse
	}
	return wasInUse
}

func (r *Registry) releaseAddress(s *Server) {
	if r.byAddress[s.Address] == s.ID {
		delete(r.byAddress, s.Address)
	}
}

// claim is the outcome of a server's claim to an address.
type claim int

// Outcomes.
const (
	claimWon   claim = iota
	claimLost        // another server holds the address, and the process departs
	claimWaits       // as claimLost, but the process may still be the one that runs there
)

// claimAddress decides whether the address of s is assigned to s. A server that held it then departs. The outcome of a
// claim that another control host has decided is known. A claim that was received elsewhere waits for the departure of
// the holder that may follow it.
func (r *Registry) claimAddress(s *Server, decided bool, now time.Time) claim {
	s.claims = false
	holder := r.holderOf(s.Address)
	switch {
	case holder == nil || holder.ID == s.ID:
	case r.prevails(s, s.Address, now) || (decided && !s.AnnouncedHere()):
		r.departHere(holder, now)
	case !s.AnnouncedHere() || (s.Start == 0 && holder.Start != 0):
		return claimWaits
	default:
		return claimLost
	}
	r.byAddress[s.Address] = s.ID
	return claimWon
}

// storeLost records a server whose claim to its address was not successful. It reports whether the server was in use
// before.
func (r *Registry) storeLost(known *Server, s Server, outcome claim, now time.Time) (wasInUse bool) {
	wasInUse = known.ID != "" && known.listed()
	s.changedVersion, s.logPosition, s.starts = known.changedVersion, known.logPosition, known.starts
	s.starts.Advance(s.Start)
	s.claims = outcome == claimWaits
	*known = s
	clear(r.lists)
	if outcome == claimLost {
		r.departHere(known, now)
	} else if wasInUse {
		r.recordServerChange(known)
	}
	return wasInUse
}

// holderOf returns the server that holds an address; nil for none that is in use.
func (r *Registry) holderOf(addr string) *Server {
	id, ok := r.byAddress[addr]
	if s := r.servers[id]; ok && s != nil && !s.Gone && s.Address == addr {
		return s
	}
	return nil
}

// silentAfter is the number of announcement intervals after which a server that sent nothing counts as silent for one
// that claims its address.
const silentAfter = 1.5

// prevails reports whether s, of which an announcement was just received, holds an address rather than the server that
// holds it. A server that is proved to have run since the holder was last heard does. Otherwise the later start does,
// and a start that is not known prevails over one that is if the holder is silent. Of two that are not known it is the
// one that was first seen last.
func (r *Registry) prevails(s *Server, addr string, now time.Time) bool {
	holder := r.holderOf(addr)
	switch {
	case holder == nil, holder.ID == s.ID:
		return true
	case s.ProvedAt.After(holder.LastSeen):
		return true
	case s.Start != 0 && holder.Start != 0:
		return s.Start > holder.Start
	case holder.Start != 0:
		return float64(now.Sub(holder.LastSeen)) > silentAfter*float64(r.announceInterval())
	}
	return !holder.FirstSeen.After(s.FirstSeen)
}
