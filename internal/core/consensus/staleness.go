package consensus

// freshness tracks how old a replica's applied state is.
//
// Invariant: all that the leader had committed at tick asOf is in the replica's applied
// state or is about to be applied. A leader that has been replaced may not have received
// the new term yet; it steps down within two election timeouts.
type freshness struct {
	asOf uint64 // 0 if the state was never current since the start
	// pendingCommit is the leader's commit index received at tick pendingSince that the
	// replica has not applied yet; 0 for none.
	pendingCommit uint64
	pendingSince  uint64
}

// observe records the leader's commit index from a heartbeat; 0 is ignored. While an earlier
// commit index is pending, it ignores later ones: otherwise a follower of a leader that
// commits continuously would never count as current.
func (f *freshness) observe(commit, applied, tick uint64) {
	f.markApplied(applied)
	if commit > 0 && f.pendingCommit == 0 {
		f.pendingCommit, f.pendingSince = commit, tick
	}
}

// markApplied records that the log is applied up to an index.
func (f *freshness) markApplied(applied uint64) {
	if f.pendingCommit > 0 && applied >= f.pendingCommit {
		f.asOf, f.pendingCommit = f.pendingSince, 0
	}
}

// CurrentAsOf returns the latest tick as of which the replica's applied state contains all that
// the group had committed; 0 if there is none since its start.
func (n *Node) CurrentAsOf() uint64 {
	n.fresh.markApplied(n.log.applied)
	if n.role == Leader && n.committedInTerm() {
		n.fresh.asOf = max(n.fresh.asOf, n.quorumContactTick())
	}
	return n.fresh.asOf
}

// Ticks returns the number of ticks since the replica's start.
func (n *Node) Ticks() uint64 { return n.tick }

// committedInTerm reports whether the leader has committed an entry of its term. Only then
// does its commit index cover all that earlier leaders committed.
func (n *Node) committedInTerm() bool {
	t, ok := n.log.term(n.log.commit)
	return ok && t == n.term
}

// leaderCommit returns the commit index that heartbeats carry for freshness; 0 until the
// leader has committed an entry of its term.
func (n *Node) leaderCommit() uint64 {
	if !n.committedInTerm() {
		return 0
	}
	return n.log.commit
}
