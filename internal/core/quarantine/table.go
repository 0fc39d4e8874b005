// Package quarantine detects requests, and prompt parts of requests, that crash the backend servers
// that run them (poison requests, or queries of death). Entry hosts record which requests were in
// flight at a server that crashed, exchange these records, and refuse a request that crashed several
// servers in succession, or whose prompt has a part that did. The package does no I/O and reads no
// clock.
//
// It protects against a caller that repeats a request which crashes every server that begins
// to run it, through any entry host and under new request IDs, faster than servers restart, and
// against requests that share only a part with this effect.
//
// Invariants: a fingerprint is quarantined only while at least CrashThreshold server processes
// are recorded as crashed while running it, with no complete answer to it since; each process
// counts once, and against a part each request once; a table that holds an answer to a part at a
// release does not count crashes of that release against it; what counts in two tables does not
// depend on the order in which, or how often, records were merged.
package quarantine

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashThreshold is the number of server processes that must crash while running a request
// before it is refused. One or two may crash for other reasons during a request and its repeats.
const CrashThreshold = 3

// singleCrashProbability is the probability that a request caused the one crash recorded for it:
// about thirty requests are in flight at a server.
const singleCrashProbability = 1.0 / 30

// CrashProbability returns the probability that a request crashes the server that runs it, given
// the number of crashes recorded for it. After two it is taken as certain, since no other
// request was in flight at both servers. For a prompt part this overstates it, which only sends
// its requests to servers with few others.
func CrashProbability(crashes int) float64 {
	switch crashes {
	case 0:
		return 0
	case 1:
		return singleCrashProbability
	}
	return 1
}

// maxTrials is the number of trials after which, if each crashed a server, there is no further one.
const maxTrials = 3

// maxCrashes bounds the crashes kept for a request: those that quarantine it and one for each
// trial.
const maxCrashes = CrashThreshold + maxTrials

// Retention times and delays.
const (
	// suspectRetention is how long after the last one fewer crashes than CrashThreshold count,
	// and how long after its last change the record of such a fingerprint, or of a cleared one,
	// is kept.
	suspectRetention = 10 * time.Minute
	// quarantineRetention is how long a quarantined fingerprint is kept after its last change.
	quarantineRetention = 24 * time.Hour
	// confirmationDelay is the time from reaching CrashThreshold to the quarantine: a round trip
	// to all hosts. When many servers crash at once, a request that is sent often reaches
	// CrashThreshold on some hosts while others have just received an answer to it, which clears
	// the crashes.
	confirmationDelay = 1500 * time.Millisecond
	// trialSpacing is the mean interval between the trials of different entry hosts: long enough
	// for the outcome of one to reach the others.
	trialSpacing = 2 * time.Second
)

// Options configures a Table.
type Options struct {
	// Host is the entry host's name, from which the delay of its trials is derived.
	Host string
	// Capacity bounds the number of fingerprints that are kept (default DefaultCapacity).
	Capacity int
	// Hold is how long a request is refused after the crash that quarantined it. It doubles
	// with each trial that crashes another server (default DefaultHold).
	Hold time.Duration
}

// Defaults of the options.
const (
	DefaultCapacity = 4096
	DefaultHold     = 10 * time.Minute
)

// Verdict states how a request is treated.
type Verdict int

// Verdicts.
const (
	Clear       Verdict = iota // no crash counts against the request
	Suspect                    // crashed servers, but fewer than CrashThreshold: routed to where a crash costs least
	Trial                      // quarantined, and its hold time has passed: may run once
	Busy                       // not now: an attempt that must run alone is in flight or would be a repeat, or CrashThreshold was reached within confirmationDelay
	Quarantined                // refused
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "trial", "busy", "quarantined"}[v]
}

// Judgement is a verdict with the evidence it is based on.
type Judgement struct {
	Verdict Verdict
	// ServerCrashes is the number of server processes that crashed while running the request.
	ServerCrashes int
	// LastCrash is when the last of these crashes was recorded.
	LastCrash time.Time
}

// crash records that a server process crashed while it ran the request, or a request with the part.
type crash struct {
	server uint64
	// request is the key of the request with the part, the lowest of several at the same server;
	// zero in the record of a request, and if it is not known.
	request uint32
	at      time.Time
	// alive is set when the process announced itself later, so that it did not crash.
	alive bool
}

type record struct {
	fingerprint            Fingerprint
	part                   string  // ID of the prompt part; "" in the record of a request
	cleared                uint32  // how often the crashes were cleared
	crashes                []crash // sorted by server
	team, service, release string

	revision      uint64 // revision of the last change
	localRevision uint64 // revision of the last change by this host's own observations
	changedAt     time.Time
	replacedAt    time.Time // since when no server runs the release that crashed; zero while one does
	condemnedAt   time.Time // since when the crashes suffice, as this host knows them; zero if they don't
	running       int       // attempts in flight on this host that must run alone
}

// Table holds one host's records of requests that crashed servers. It is not safe for
// concurrent use.
type Table struct {
	o        Options
	records  map[Fingerprint]*list.Element
	order    *list.List // of *record, by their last change, the newest last
	revision uint64
	hosts    int
	parts    int           // records of prompt parts
	answers  recentAnswers // of requests
	proved   recentAnswers // of prompt parts
	// requested is empty at control hosts, to which every part is rare.
	requested frequency
}

// New returns an empty table.
func New(o Options) *Table {
	if o.Capacity == 0 {
		o.Capacity = DefaultCapacity
	}
	if o.Hold == 0 {
		o.Hold = DefaultHold
	}
	return &Table{
		o: o, records: map[Fingerprint]*list.Element{}, order: list.New(), hosts: 1,
		answers: recentAnswers{validity: requestAnswerValidity}, proved: recentAnswers{validity: partAnswerValidity},
	}
}

// SetHosts sets the number of entry hosts, over which trials are spread.
func (t *Table) SetHosts(n int) { t.hosts = max(1, n) }

// Revision returns the revision of the table's last change.
func (t *Table) Revision() uint64 { return t.revision }

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.records) }

func (t *Table) get(f Fingerprint) *record {
	if e := t.records[f]; e != nil {
		return e.Value.(*record)
	}
	return nil
}

// Begin returns how an attempt of the request is to be treated. The caller must call Finish
// once with the returned judgement. again states that the request has been sent to a server
// before: a retry by the system itself must not cause the crash that quarantines the request.
func (t *Table) Begin(f Fingerprint, again bool, now time.Time) Judgement {
	r := t.get(f)
	if r == nil {
		return Judgement{}
	}
	j := t.judge(r, now)
	if r.mustRunAlone(j) {
		if r.running > 0 || again {
			j.Verdict = Busy
			return j
		}
		r.running++
	}
	return j
}

// Finish records that the attempt with the judgement that Begin returned has ended.
func (t *Table) Finish(f Fingerprint, j Judgement) {
	if r := t.get(f); r != nil && r.running > 0 && r.mustRunAlone(j) {
		r.running--
	}
}

// mustRunAlone reports whether the request may have only one attempt in flight on this host,
// because one more crash would quarantine it or prolong its quarantine. Requests with a suspect
// part are not held back: most suspect parts were only in flight beside the cause of a crash.
func (r *record) mustRunAlone(j Judgement) bool {
	return j.Verdict == Trial || (j.Verdict == Suspect && r.part == "" && j.ServerCrashes == CrashThreshold-1)
}

// Judge returns the request's current judgement without starting an attempt.
func (t *Table) Judge(f Fingerprint, now time.Time) Judgement {
	if r := t.get(f); r != nil {
		return t.judge(r, now)
	}
	return Judgement{}
}

func (t *Table) judge(r *record, now time.Time) Judgement {
	j := Judgement{ServerCrashes: r.crashCount(), LastCrash: r.lastCrashAt()}
	switch {
	case j.ServerCrashes == 0 || (j.ServerCrashes < CrashThreshold && now.Sub(j.LastCrash) > suspectRetention):
		return Judgement{}
	case j.ServerCrashes < CrashThreshold:
		j.Verdict = Suspect
	default:
		j.Verdict = t.judgeCrashing(r, now)
	}
	return j
}

// judgeCrashing returns the verdict for CrashThreshold or more crashes. It also records in
// condemnedAt since when they suffice.
func (t *Table) judgeCrashing(r *record, now time.Time) Verdict {
	threshold := t.threshold(r, now)
	if r.crashCount() < threshold {
		r.condemnedAt = time.Time{}
		return Suspect
	}
	if r.condemnedAt.IsZero() {
		r.condemnedAt = now
	}
	switch {
	case now.Sub(r.confirmedFrom(threshold)) < confirmationDelay:
		return Busy
	case t.trialDue(r, now):
		return Trial
	}
	return Quarantined
}

// confirmedFrom returns the time from which the confirmation delay runs: for a part not before this
// host first found enough crashes, as the threshold falls when another explanation is ruled out.
func (r *record) confirmedFrom(threshold int) time.Time {
	reached := r.thresholdReachedAt(threshold)
	if r.part != "" && r.condemnedAt.After(reached) {
		return r.condemnedAt
	}
	return reached
}

// trialDue reports whether this host may run a quarantined request as a trial: after the hold
// time, or once no server runs the release that crashed. Each host adds a delay derived from its
// name and the fingerprint, so that the outcome of one trial usually reaches the other hosts before
// the next.
func (t *Table) trialDue(r *record, now time.Time) bool {
	failed, another := t.failedTrials(r)
	if !another {
		return false
	}
	due := r.lastCrashAt().Add(t.o.Hold << failed)
	if !r.replacedAt.IsZero() && r.replacedAt.Before(due) {
		due = r.replacedAt
	}
	const scale = 1 << 53
	position := float64(xxhash.Sum64String(t.o.Host+r.fingerprint.String())>>11) / scale
	return !now.Before(due.Add(time.Duration(position * float64(t.hosts) * float64(trialSpacing))))
}

// counts reports whether a crash counts: its process has not announced itself since, and no earlier
// crash under the same request counts against the part. Otherwise the repeats of a request would
// quarantine the parts that only this request has.
func (r *record) counts(i int) bool {
	e := r.crashes[i]
	if e.alive || r.part == "" {
		return !e.alive
	}
	for k, other := range r.crashes {
		if k == i || other.alive || other.request != e.request {
			continue
		}
		if other.at.Before(e.at) || (other.at.Equal(e.at) && k < i) {
			return false
		}
	}
	return true
}

// crashCount returns the number of crashes that count.
func (r *record) crashCount() int {
	n := 0
	for i := range r.crashes {
		if r.counts(i) {
			n++
		}
	}
	return n
}

// thresholdReachedAt returns when the number of crashes reached a threshold; the record has that
// many.
func (r *record) thresholdReachedAt(threshold int) time.Time { return r.crashTimes()[threshold-1] }

// crashTimes returns the times of the crashes that count, the earliest first.
func (r *record) crashTimes() []time.Time {
	var times []time.Time
	for i, e := range r.crashes {
		if r.counts(i) {
			times = append(times, e.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// lastCrashAt returns when the last counted crash was recorded; zero for none.
func (r *record) lastCrashAt() time.Time {
	var last time.Time
	for _, e := range r.crashes {
		if !e.alive && e.at.After(last) {
			last = e.at
		}
	}
	return last
}

// Evidence states that a server process crashed while it ran a request, or one with a prompt part.
type Evidence struct {
	Fingerprint Fingerprint
	// Part is the ID of the prompt part, and Request the key of the request that had it; both are
	// zero in evidence against a request.
	Part    string
	Request uint32
	// Server is the key of the process; see ServerProcess.Key.
	Server uint64
	// Team is the request's team, Service its service or model, and Release the version of the
	// server's software.
	Team, Service, Release string
}

// RecordCrash records evidence and returns the resulting judgement. It reports in counted
// whether the evidence added a crash. Evidence against what was answered recently is
// discarded: many callers may send the same request, so it may be in flight at servers whose crash
// it did not cause.
func (t *Table) RecordCrash(e Evidence, now time.Time) (j Judgement, counted bool) {
	t.namePart(e.Fingerprint, e.Part)
	if t.isProvedSound(e.Fingerprint, e.Part, e.Release, now) {
		return t.Judge(e.Fingerprint, now), false
	}
	r := t.get(e.Fingerprint)
	if r == nil {
		r = t.add(e.Fingerprint, e.Part)
	}
	if t.judge(r, now).ServerCrashes == 0 && len(r.crashes) > 0 {
		r.crashes = nil // the earlier crashes have expired
		r.cleared++
	}
	keepsRelease := r.keepsRelease()
	if !r.addCrash(crash{server: e.Server, request: e.Request, at: now}) {
		return t.judge(r, now), false
	}
	r.team, r.service = e.Team, e.Service
	if !keepsRelease {
		r.release, r.replacedAt = e.Release, time.Time{}
	}
	t.markChangedLocally(r, now)
	return t.judge(r, now), true
}

// keepsRelease reports whether a further crash leaves the release of the record as it is. A part that is
// suspected at a release that runs stays so: otherwise a crash at another release, where the part may be
// proved sound, would clear it.
func (r *record) keepsRelease() bool {
	return r.part != "" && r.crashCount() > 0 && r.replacedAt.IsZero()
}

// isProvedSound reports whether a request, or a part at a release, was answered recently.
func (t *Table) isProvedSound(f Fingerprint, part, release string, now time.Time) bool {
	if part == "" {
		return t.answers.contains(answered{f, ""}, now)
	}
	return t.proved.contains(answered{f, release}, now)
}

// addCrash adds a crash or merges it with the recorded one of the same process. It reports
// whether it added the crash or changed what counts; an earlier time alone is no change.
func (r *record) addCrash(e crash) bool {
	at, found := r.find(e.server)
	if found {
		return r.crashes[at].merge(e)
	}
	if len(r.crashes) >= r.maxCrashes() && !r.dropRepeated(e) {
		return false
	}
	at, _ = r.find(e.server)
	r.crashes = slices.Insert(r.crashes, at, e)
	return true
}

func (r *record) maxCrashes() int {
	if r.part != "" {
		return maxPartCrashes
	}
	return maxCrashes
}

func (r *record) find(server uint64) (at int, found bool) {
	return slices.BinarySearchFunc(r.crashes, server, func(have crash, want uint64) int { return cmp.Compare(have.server, want) })
}

// merge adds what another record holds of the same process's crash.
func (e *crash) merge(other crash) (changed bool) {
	if other.at.Before(e.at) {
		e.at = other.at
	}
	if other.request != 0 && (e.request == 0 || other.request < e.request) {
		e.request, changed = other.request, true
	}
	if other.alive && !e.alive {
		e.alive, changed = true, true
	}
	return changed
}

// dropRepeated makes room in a full record for a crash under another request than those recorded:
// it drops a crash that does not count for its request. It reports whether there was one.
func (r *record) dropRepeated(e crash) bool {
	if slices.ContainsFunc(r.crashes, func(have crash) bool { return have.request == e.request }) {
		return false
	}
	for i := range r.crashes {
		if !r.counts(i) && !r.crashes[i].alive {
			r.crashes = slices.Delete(r.crashes, i, i+1)
			return true
		}
	}
	return false
}

// RecordAnswer records that a server answered the request completely, so that it does not crash
// servers. It reports whether crashes were cleared.
func (t *Table) RecordAnswer(f Fingerprint, now time.Time) (cleared bool) {
	t.answers.add(answered{f, ""}, now)
	r := t.get(f)
	if r == nil || r.crashCount() == 0 {
		return false
	}
	t.clear(r, now)
	return true
}

// Lift clears a fingerprint's crashes, which makes its verdict Clear. It reports whether there
// were any.
func (t *Table) Lift(f Fingerprint, now time.Time) bool {
	r := t.get(f)
	if r == nil || r.crashCount() == 0 {
		return false
	}
	t.clear(r, now)
	return true
}

// clear removes the crashes of a record and raises its cleared count.
func (t *Table) clear(r *record, now time.Time) {
	r.cleared++
	r.crashes, r.replacedAt, r.condemnedAt = nil, time.Time{}, time.Time{}
	t.markChangedLocally(r, now)
}

// RecordAlive records that a server process announced itself after it was recorded as crashed.
// It returns the fingerprints against which it no longer counts.
func (t *Table) RecordAlive(server uint64, now time.Time) []Fingerprint {
	var out []Fingerprint
	for e := t.order.Front(); e != nil; {
		r := e.Value.(*record)
		e = e.Next() // markChangedLocally moves r to the back
		i := slices.IndexFunc(r.crashes, func(x crash) bool { return x.server == server && !x.alive })
		if i < 0 {
			continue
		}
		r.crashes[i].alive = true
		t.markChangedLocally(r, now)
		out = append(out, r.fingerprint)
	}
	return out
}

// SetReleases sets the releases that the servers of a service run. A quarantine caused by crashes
// of a release that no server runs is due for a trial. The call has no effect if any server's
// release is unknown.
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

// add inserts an empty record for a fingerprint, evicting others when the table is full.
func (t *Table) add(f Fingerprint, part string) *record {
	if len(t.records) >= t.o.Capacity {
		t.evict(t.parts > len(t.records)/2)
	}
	r := &record{fingerprint: f, part: part}
	t.records[f] = t.order.PushBack(r)
	if part != "" {
		t.parts++
	}
	return r
}

// evictionDivisor sets the part of the capacity that one eviction frees (1/8), so that a flood
// of new fingerprints does not sort the table for each of them.
const evictionDivisor = 8

// evict removes records of parts, or of requests, with no attempt in flight that must run alone:
// first those whose crashes were cleared, then those with the fewest crashes, and among equals the
// least recently changed. The kind with more records yields, so that each keeps half of the table.
func (t *Table) evict(parts bool) {
	all := make([]*record, 0, len(t.records))
	for e := t.order.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); r.running == 0 && (r.part != "") == parts {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *record) int { return cmp.Compare(a.crashCount(), b.crashCount()) })
	for _, r := range all[:min(len(all), max(1, t.o.Capacity/evictionDivisor))] {
		t.drop(r)
	}
}

func (t *Table) drop(r *record) {
	if r.part != "" {
		t.parts--
	}
	t.order.Remove(t.records[r.fingerprint])
	delete(t.records, r.fingerprint)
}

// RemoveExpired removes expired records.
func (t *Table) RemoveExpired(now time.Time) {
	for e := t.order.Front(); e != nil; {
		r := e.Value.(*record)
		e = e.Next()
		keep := suspectRetention
		if r.crashCount() >= CrashThreshold {
			keep = quarantineRetention
		}
		if now.Sub(r.changedAt) <= suspectRetention {
			return // ordered by last change: the following records are newer
		}
		if now.Sub(r.changedAt) > keep && r.running == 0 {
			t.drop(r)
		}
	}
}

// markChanged assigns the next revision to a record and moves it to the back of the order.
func (t *Table) markChanged(r *record, now time.Time) {
	t.revision++
	r.revision, r.changedAt = t.revision, now
	t.order.MoveToBack(t.records[r.fingerprint])
}

// markChangedLocally marks a record as changed by this host's own observations.
func (t *Table) markChangedLocally(r *record, now time.Time) {
	t.markChanged(r, now)
	r.localRevision = r.revision
}
