package consensus

// freshness is what a replica knows of how old its applied state is.
//
// Invariant: at tick asOf the replica's applied state held, or was about to hold, all that
// the leader had committed then. A leader that was just replaced may not know it yet; it
// steps down within two election timeouts.
type freshness struct {
	asOf uint64 // 0 when it was never current
	// awaited is the leader's commit index as heard at tick heardAt, while the replica has
	// not applied it; 0 for none.
	awaited uint64
	heardAt uint64
}

// hear takes the leader's commit index from a heartbeat. While an earlier one is awaited,
// later ones are passed over, or a follower under constant changes would never count as
// current.
func (f *freshness) hear(commit, applied, tick uint64) {
	f.settle(applied)
	if commit > 0 && f.awaited == 0 {
		f.awaited, f.heardAt = commit, tick
	}
}

// settle notes that the log up to an index is applied.
func (f *freshness) settle(applied uint64) {
	if f.awaited > 0 && applied >= f.awaited {
		f.asOf, f.awaited = f.heardAt, 0
	}
}

// CurrentAsOf returns the tick as of which the replica last held all that the group had
// committed; 0 when it never did since its start.
func (n *Node) CurrentAsOf() uint64 {
	n.fresh.settle(n.log.applied)
	if n.role == Leader && n.committedInTerm() {
		n.fresh.asOf = max(n.fresh.asOf, n.majorityHeardUntil())
	}
	return n.fresh.asOf
}

// Ticks returns how many ticks the replica has run.
func (n *Node) Ticks() uint64 { return n.tick }

// committedInTerm reports whether the leader has committed an entry of its term: only then
// does its commit index cover all that earlier leaders committed.
func (n *Node) committedInTerm() bool {
	t, ok := n.log.term(n.log.commit)
	return ok && t == n.term
}

// leaderCommit returns the commit index that heartbeats tell.
func (n *Node) leaderCommit() uint64 {
	if !n.committedInTerm() {
		return 0
	}
	return n.log.commit
}
