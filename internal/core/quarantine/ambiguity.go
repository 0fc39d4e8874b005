package quarantine

import "time"

// Bounds of the evidence against a prompt part.
const (
	// ambiguousThreshold is the number of crashes that quarantine a part while something else
	// explains them as well as the part does.
	ambiguousThreshold = 5
	// popularShare is the share of the requests from which a part is in flight at most servers, so
	// that its presence at a crash says little. popularThreshold is the number of crashes that
	// quarantine such a part: requests with it are frequent enough to reach it, and some of them are
	// answered before if another part is the cause.
	popularShare     = 0.25
	popularThreshold = 12
	// maxAmbiguity is how long after ambiguousThreshold was reached another explanation protects a
	// part. By then requests with a sound part have been answered.
	maxAmbiguity = 4 * time.Second
	// unrelatedBefore is how long before the first crash with the part crashes without it count.
	unrelatedBefore = 5 * time.Second
	// never exceeds any number of crashes that is kept.
	never = maxPartCrashes + 1
	// maxPartCrashes bounds the crashes kept for a part: a part reaches more servers than a request
	// before all hosts refuse it.
	maxPartCrashes = 16
	// stragglerTime is how long after the quarantine began crashes come from attempts that were made
	// before.
	stragglerTime = 6 * time.Second
)

// threshold returns the number of crashes that quarantine the subject of a record, which has
// CrashThreshold or more.
func (t *Table) threshold(r *record, now time.Time) int {
	if r.part == "" || r.crashCount() >= ambiguousThreshold && now.Sub(r.thresholdReachedAt(ambiguousThreshold)) > maxAmbiguity {
		return CrashThreshold
	}
	x := t.explanationsOf(r)
	switch {
	case x.popularBesideOther:
		return popularThreshold
	case x.covered:
		return never
	case x.ambiguous:
		return ambiguousThreshold
	}
	return CrashThreshold
}

// explanations are the other explanations of the crashes recorded for a part.
type explanations struct {
	// covered: a part that crashed more servers was in flight at each of them.
	covered bool
	// ambiguous: another part was in flight at each of them, or most crashes around them were without
	// the part.
	ambiguous bool
	// popularBesideOther: the part is popular, and a rarer one was in flight at several of them.
	popularBesideOther bool
}

// explanationsOf compares a part with all else that was in flight at crashed servers of its service.
func (t *Table) explanationsOf(r *record) (x explanations) {
	unrelated := map[uint64]bool{} // crashes without the part
	for e := t.order.Front(); e != nil; e = e.Next() {
		other := e.Value.(*record)
		if other == r || other.service != r.service {
			continue
		}
		if other.part != "" {
			x.addPart(t, r, other)
		}
		r.addUnrelated(other, unrelated)
	}
	x.ambiguous = x.ambiguous || len(unrelated) >= r.crashCount()
	return x
}

// addPart adds what another part explains of the crashes of r. A more popular one explains nothing.
func (x *explanations) addPart(t *Table, r, other *record) {
	share, otherShare := t.requested.share(r.fingerprint), t.requested.share(other.fingerprint)
	if otherShare >= popularShare && otherShare > share {
		return
	}
	shared := r.sharedWith(other)
	atAll := shared == r.deadProcesses()
	x.covered = x.covered || atAll && other.crashCount() > r.crashCount()
	x.ambiguous = x.ambiguous || atAll
	x.popularBesideOther = x.popularBesideOther || share >= popularShare && otherShare < popularShare && shared >= CrashThreshold-1
}

// addUnrelated adds the crashes of another record that came about the time of those of r, without r.
func (r *record) addUnrelated(other *record, unrelated map[uint64]bool) {
	first, last := r.firstCrashAt().Add(-unrelatedBefore), r.lastCrashAt()
	for _, c := range other.crashes {
		if !c.alive && !c.at.Before(first) && !c.at.After(last) && !r.includes(c.server) {
			unrelated[c.server] = true
		}
	}
}

// deadProcesses returns the number of processes recorded as crashed, whether or not they count.
func (r *record) deadProcesses() int {
	n := 0
	for _, c := range r.crashes {
		if !c.alive {
			n++
		}
	}
	return n
}

// sharedWith returns the number of crashes that another record has too.
func (r *record) sharedWith(other *record) int {
	n := 0
	for _, c := range r.crashes {
		if !c.alive && other.includes(c.server) {
			n++
		}
	}
	return n
}

// includes reports whether the crash of a process is recorded.
func (r *record) includes(server uint64) bool {
	i, found := r.find(server)
	return found && !r.crashes[i].alive
}

// firstCrashAt returns when the first crash was recorded that counts.
func (r *record) firstCrashAt() time.Time {
	var first time.Time
	for i, e := range r.crashes {
		if r.counts(i) && (first.IsZero() || e.at.Before(first)) {
			first = e.at
		}
	}
	return first
}

// failedTrials returns the number of trials that crashed a server, and whether another is allowed.
func (t *Table) failedTrials(r *record) (failed int, another bool) {
	if r.part == "" {
		crashes := r.crashCount()
		return crashes - CrashThreshold, crashes < maxCrashes
	}
	times := r.crashTimes()
	for i := CrashThreshold; i < len(times); i++ {
		if t.isTrial(times, i) {
			failed++
		}
	}
	return failed, failed < maxTrials && len(r.crashes) < maxPartCrashes
}

// isTrial reports whether a trial caused a crash of a part, by the times of its crashes: a trial follows
// the crash before it by the hold time at least, and after ambiguousThreshold crashes, with which every
// part is refused, nothing but trials and attempts that were made before reach a server.
func (t *Table) isTrial(times []time.Time, i int) bool {
	if times[i].Sub(times[i-1]) >= t.o.Hold {
		return true
	}
	return i >= ambiguousThreshold && times[i].Sub(times[ambiguousThreshold-1]) > maxAmbiguity+stragglerTime
}
