// Package quarantine recognises requests that crash the servers that run them. Entry hosts
// note which requests were under way at a server whose process ended, tell each other, and
// refuse a request under which servers ended one after the other. It does no I/O and reads
// no clock.
//
// The load that it answers: one caller repeats a request that ends each server that begins
// to run it, at any entry host and under new request IDs, faster than servers come back.
//
// Invariants: a fingerprint is quarantined only while Crashes starts of servers or more are
// held to have ended under it, with no whole answer to it since; each start counts once; what
// two tables know does not depend on the order in which, or how often, they were told.
package quarantine

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Crashes is how many starts of servers must end under a request before it is refused. One
// or two may end by chance under the same request and its repeats.
const Crashes = 3

// oneEndSuspicion is the chance that a request is the cause of a server's end: it was one of
// some thirty there.
const oneEndSuspicion = 1.0 / 30

// Suspicion is how likely a request ends the server that runs it, by the ends before. After
// two it is all but sure: no other request was at both servers.
func Suspicion(ends int) float64 {
	switch ends {
	case 0:
		return 0
	case 1:
		return oneEndSuspicion
	}
	return 1
}

// maxEnds is how many ends are kept of a fingerprint: those that quarantine it and one of
// each trial after that. With so many there is no further trial.
const maxEnds = Crashes + 3

// Times of what is remembered.
const (
	// suspectFor is how long fewer ends than Crashes are remembered, and how long it is
	// remembered that ends were taken back.
	suspectFor = 10 * time.Minute
	// quarantinedFor is how long a quarantine is remembered after the last end.
	quarantinedFor = 24 * time.Hour
	// objectionTime passes before a verdict holds: the way to all hosts and back. When many
	// servers end at once a request that many callers send reaches Crashes at some hosts,
	// while others have just had an answer to it.
	objectionTime = 1500 * time.Millisecond
	// trialSpacing is how far apart the turns of two entry hosts are at a trial: long enough
	// for the first one's outcome to reach the others.
	trialSpacing = 2 * time.Second
)

// Options configures a Table.
type Options struct {
	// Host names the entry host, for its turn at a trial.
	Host string
	// Capacity bounds the fingerprints that are remembered (default DefaultCapacity).
	Capacity int
	// Hold is how long a request is refused after the end that quarantined it. After each
	// trial that ended another server it is twice as long (default DefaultHold).
	Hold time.Duration
}

// Defaults of the options.
const (
	DefaultCapacity = 4096
	DefaultHold     = 10 * time.Minute
)

// Verdict is how a request is treated.
type Verdict int

// Verdicts.
const (
	Clear       Verdict = iota
	Suspect             // servers ended under it: it runs where it can do least harm
	Trial               // quarantined for long enough: it may run once
	Busy                // it is a likely cause; it runs already, has just run, or was just found out: not now
	Quarantined         // refused
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "trial", "busy", "quarantined"}[v]
}

// Judgement is a verdict with what it rests on.
type Judgement struct {
	Verdict Verdict
	// Ends is the number of servers that ended under the request.
	Ends int
	// Last is when the last of them ended.
	Last time.Time
}

// end is a start of a server that ended while it ran the request.
type end struct {
	server uint64
	at     time.Time
	// alive is set when the start was heard later: it did not end.
	alive bool
}

type record struct {
	fingerprint            Fingerprint
	cleared                uint32
	ends                   []end // sorted by server
	team, service, release string

	changed    uint64 // revision of the last change
	own        uint64 // revision of the last change by what was seen here
	touched    time.Time
	replacedAt time.Time // when no server of the release that ended was left; zero before
	running    int       // attempts of this host that run beside nothing
}

// Table is what a host knows. It is not safe for concurrent use.
type Table struct {
	o        Options
	records  map[Fingerprint]*list.Element
	order    *list.List // of *record, by their last change, the newest last
	revision uint64
	hosts    int
	served   served
}

// New returns an empty table.
func New(o Options) *Table {
	if o.Capacity == 0 {
		o.Capacity = DefaultCapacity
	}
	if o.Hold == 0 {
		o.Hold = DefaultHold
	}
	return &Table{o: o, records: map[Fingerprint]*list.Element{}, order: list.New(), hosts: 1}
}

// SetHosts tells how many entry hosts there are; it spreads their turns at a trial.
func (t *Table) SetHosts(n int) { t.hosts = max(1, n) }

// Revision is raised by each change.
func (t *Table) Revision() uint64 { return t.revision }

// Len returns the number of fingerprints that are remembered.
func (t *Table) Len() int { return len(t.records) }

func (t *Table) get(f Fingerprint) *record {
	if e := t.records[f]; e != nil {
		return e.Value.(*record)
	}
	return nil
}

// Begin returns how an attempt of the request is to be treated. Every Begin is followed by
// one Finish with its verdict. again says that the request has been at a server before: the
// end that would quarantine it is not brought about by the system's own repeats.
func (t *Table) Begin(f Fingerprint, again bool, now time.Time) Judgement {
	r := t.get(f)
	if r == nil {
		return Judgement{}
	}
	j := t.judge(r, now)
	if r.alone(j.Verdict) {
		if r.running > 0 || again {
			j.Verdict = Busy
			return j
		}
		r.running++
	}
	return j
}

// Finish records that an attempt has ended.
func (t *Table) Finish(f Fingerprint, j Judgement) {
	if r := t.get(f); r != nil && r.running > 0 && (j.Verdict == Trial || j.Ends == Crashes-1) && j.Verdict != Busy {
		r.running--
	}
}

// alone reports whether the request must not run beside itself: one more end quarantines it.
func (r *record) alone(v Verdict) bool {
	return v == Trial || (v == Suspect && r.counted() == Crashes-1)
}

// Judge returns how the request stands, without an attempt.
func (t *Table) Judge(f Fingerprint, now time.Time) Judgement {
	if r := t.get(f); r != nil {
		return t.judge(r, now)
	}
	return Judgement{}
}

func (t *Table) judge(r *record, now time.Time) Judgement {
	j := Judgement{Ends: r.counted(), Last: r.last()}
	switch {
	case j.Ends == 0 || (j.Ends < Crashes && now.Sub(j.Last) > suspectFor):
		return Judgement{}
	case j.Ends < Crashes:
		j.Verdict = Suspect
	case now.Sub(r.reached()) < objectionTime:
		j.Verdict = Busy
	case t.trialDue(r, now):
		j.Verdict = Trial
	default:
		j.Verdict = Quarantined
	}
	return j
}

// trialDue reports whether it is this host's turn to try a quarantined request once more:
// after its time, or once the servers run another release. The hosts' turns are apart, so
// that the outcome of one is known before the next.
func (t *Table) trialDue(r *record, now time.Time) bool {
	ends := r.counted()
	if ends >= maxEnds {
		return false
	}
	due := r.last().Add(t.o.Hold << (ends - Crashes))
	if !r.replacedAt.IsZero() && r.replacedAt.Before(due) {
		due = r.replacedAt
	}
	const scale = 1 << 53
	turn := float64(xxhash.Sum64String(t.o.Host+r.fingerprint.String())>>11) / scale
	return !now.Before(due.Add(time.Duration(turn * float64(t.hosts) * float64(trialSpacing))))
}

// counted is the number of ends that speak against the request.
func (r *record) counted() int {
	n := 0
	for _, e := range r.ends {
		if !e.alive {
			n++
		}
	}
	return n
}

// reached is when the number of ends reached Crashes.
func (r *record) reached() time.Time {
	var ends []time.Time
	for _, e := range r.ends {
		if !e.alive {
			ends = append(ends, e.at)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[Crashes-1]
}

func (r *record) last() time.Time {
	var last time.Time
	for _, e := range r.ends {
		if !e.alive && e.at.After(last) {
			last = e.at
		}
	}
	return last
}

// Evidence is that a start of a server ended while it ran a request.
type Evidence struct {
	Fingerprint Fingerprint
	// Server is the key of the start.
	Server uint64
	// Team is whose request it is, Service what it asked for and Release the version of the
	// server's software.
	Team, Service, Release string
}

// Ended takes evidence and returns how the request stands then. A request that was answered
// moments ago did not end the server: many callers may send the same one.
func (t *Table) Ended(e Evidence, now time.Time) (j Judgement, counted bool) {
	if t.served.lately(e.Fingerprint, now) {
		return t.Judge(e.Fingerprint, now), false
	}
	r := t.get(e.Fingerprint)
	if r == nil {
		r = t.add(e.Fingerprint)
	}
	if t.judge(r, now).Ends == 0 && len(r.ends) > 0 {
		r.ends = nil // long ago
		r.cleared++
	}
	if !r.addEnd(end{server: e.Server, at: now}) {
		return t.judge(r, now), false
	}
	r.team, r.service, r.release, r.replacedAt = e.Team, e.Service, e.Release, time.Time{}
	t.changeOwn(r, now)
	return t.judge(r, now), true
}

// addEnd adds an end or merges it with the one of the same start. It reports whether
// something was news.
func (r *record) addEnd(e end) bool {
	at, found := slices.BinarySearchFunc(r.ends, e.server, func(have end, want uint64) int { return cmp.Compare(have.server, want) })
	if !found {
		if len(r.ends) >= maxEnds {
			return false
		}
		r.ends = slices.Insert(r.ends, at, e)
		return true
	}
	have := &r.ends[at]
	if e.at.Before(have.at) {
		have.at = e.at
	}
	news := e.alive && !have.alive
	have.alive = have.alive || e.alive
	return news
}

// Served records that a server answered the request to its end: it does not crash servers.
// It reports whether ends were taken back for it.
func (t *Table) Served(f Fingerprint, now time.Time) (cleared bool) {
	t.served.note(f, now)
	r := t.get(f)
	if r == nil || r.counted() == 0 {
		return false
	}
	t.clear(r, now)
	return true
}

// Lift ends a fingerprint's quarantine, or the suspicion of it. It reports whether there was one.
func (t *Table) Lift(f Fingerprint, now time.Time) bool {
	r := t.get(f)
	if r == nil || r.counted() == 0 {
		return false
	}
	t.clear(r, now)
	return true
}

func (t *Table) clear(r *record, now time.Time) {
	r.cleared++
	r.ends, r.replacedAt = nil, time.Time{}
	t.changeOwn(r, now)
}

// Alive records that a start was heard after it was held to have ended. It returns the
// fingerprints for which its end was taken back.
func (t *Table) Alive(server uint64, now time.Time) []Fingerprint {
	var out []Fingerprint
	for e := t.order.Front(); e != nil; {
		r := e.Value.(*record)
		e = e.Next() // a change moves r to the end
		i := slices.IndexFunc(r.ends, func(x end) bool { return x.server == server && !x.alive })
		if i < 0 {
			continue
		}
		r.ends[i].alive = true
		t.changeOwn(r, now)
		out = append(out, r.fingerprint)
	}
	return out
}

// SetReleases tells which releases the servers of a service run now. A quarantine made by
// another release gets a trial.
func (t *Table) SetReleases(service string, releases []string, now time.Time) {
	if len(releases) == 0 || slices.Contains(releases, "") {
		return
	}
	for e := t.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		switch {
		case r.service != service || r.release == "":
		case slices.Contains(releases, r.release):
			r.replacedAt = time.Time{}
		case r.replacedAt.IsZero():
			r.replacedAt = now
		}
	}
}

// add makes room for a fingerprint and returns its record.
func (t *Table) add(f Fingerprint) *record {
	if len(t.records) >= t.o.Capacity {
		t.evict()
	}
	r := &record{fingerprint: f}
	t.records[f] = t.order.PushBack(r)
	return r
}

// evictShare of the capacity is freed at once, so that a flood does not sort the table for
// each fingerprint.
const evictShare = 8

// evict drops what costs least to forget: first fingerprints whose ends were taken back, then
// those with fewest ends, of these the ones that changed longest ago.
func (t *Table) evict() {
	all := make([]*record, 0, len(t.records))
	for e := t.order.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); r.running == 0 {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *record) int { return cmp.Compare(a.counted(), b.counted()) })
	for _, r := range all[:min(len(all), max(1, t.o.Capacity/evictShare))] {
		t.drop(r)
	}
}

func (t *Table) drop(r *record) {
	t.order.Remove(t.records[r.fingerprint])
	delete(t.records, r.fingerprint)
}

// Forget drops what is too old to matter.
func (t *Table) Forget(now time.Time) {
	for e := t.order.Front(); e != nil; {
		r := e.Value.(*record)
		e = e.Next()
		keep := suspectFor
		if r.counted() >= Crashes {
			keep = quarantinedFor
		}
		if now.Sub(r.touched) <= suspectFor {
			return // the order is by the last change
		}
		if now.Sub(r.touched) > keep && r.running == 0 {
			t.drop(r)
		}
	}
}

// change notes that a record has changed.
func (t *Table) change(r *record, now time.Time) {
	t.revision++
	r.changed, r.touched = t.revision, now
	t.order.MoveToBack(t.records[r.fingerprint])
}

// changeOwn notes that a record has changed by what was seen here.
func (t *Table) changeOwn(r *record, now time.Time) {
	t.change(r, now)
	r.own = r.changed
}
