// Package ledger is the at-most-once register of non-idempotent requests: for
// each idempotency key it decides which attempt may be dispatched, and keeps the
// answer of the one that ran. It does no I/O.
//
// Keys are spread over Slots partitions. Each partition has a replica set, whose
// members hold every key of the partition in memory. A key is a compare-and-swap
// register agreed on by ballots (Rystsov, "CASPaxos: Replicated State Machines
// without logs", 2018): a proposer collects promises from a majority, computes
// the next value from the newest accepted one, and has a majority accept it.
//
//	free -> claimed(attempt) -> done(answer)
//	                         -> released (proved not run), which counts as free
//
// An accept also promises its proposer's next ballot, so that the answer of a
// claim that was won is recorded in one round trip.
//
// Invariants:
//   - An attempt is dispatched only by the proposer whose claim a majority
//     accepted, and once. A later proposer finds the claim, or fences it off with
//     a higher ballot before a majority accepted it; never both run.
//   - Replicas have no disk. One that restarted takes a new incarnation number,
//     registers it with a majority of the others while it reads their state, and
//     votes only then. Every vote carries the incarnations its sender knows of; a
//     quorum in which one vote knows that another is of a dead incarnation does
//     not count that vote (Michael et al., "Recovering Shared Objects Without
//     Stable Storage", DISC 2017). So a promise given before a crash is never
//     combined with one given after the recovery read.
//   - When a majority forgot at once, the state is lost: a majority of recovering
//     replicas forms a new generation, whose birth time is later than every vote
//     of the old one. Keys issued before the birth are answered "unknown" and
//     never run. Votes and accepts of different generations never mix.
//   - A replica leaves a generation as if it had crashed when it hears of a
//     higher one that was formed.
//
// Times are in ms since the Unix epoch. The birth time adds the bound on the
// difference between clocks, so a key's issue time may be read from its caller.
package ledger
