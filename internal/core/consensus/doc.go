// Package consensus is a leader-based replicated log as a deterministic state
// machine. Its caller drives it: Tick and Step feed events, Ready returns the
// pending actions, and Advance reports that the actions were carried out. The
// package does no I/O, reads no clock and starts no goroutine.
//
// The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", USENIX ATC 2014) with the pre-vote, check-quorum (a leader
// without quorum contact steps down), leader leases, read index and single-server
// membership changes of Ongaro's dissertation ("Consensus: Bridging Theory and
// Practice", Stanford 2014, sections 4.1 to 4.3, 6.4 and 9.6).
//
// Invariants:
//   - Election safety: a replica votes at most once per term, and its vote is in
//     Ready's hard state, which the caller makes durable before it sends the messages
//     of the same Ready. So at most one leader is elected per term.
//   - Log matching: an append is accepted only if the preceding entry has the term
//     stated in the message. So if two logs have an entry with the same index and
//     term, they are equal up to that entry.
//   - Leader completeness: a replica votes only for a candidate whose log is at least
//     as up to date as its own, and a leader commits by counting replicas only entries
//     of its own term. So every later leader has every committed entry.
//   - Durability: a leader counts its own copy of an entry only after Advance
//     has reported it durable, and a follower's acknowledgement is in the same
//     Ready as the entry. So a committed entry is durable on a majority.
//   - One membership change at a time: the members in force are those of the
//     latest membership entry in the log, committed or not; a new change is
//     refused until the last one and an entry of the leader's own term are
//     committed. Two successive sets differ by at most one voter, so their
//     majorities intersect.
//   - Lease: a follower that received a message from a leader within the election
//     timeout ignores vote requests; a leader that receives no answers from a majority
//     within the election timeout steps down. LeaseTicks is therefore never positive
//     on two replicas at once while their ticks run at equal speed. A group without
//     leases keeps all other invariants: its replicas vote as soon as they start.
package consensus
