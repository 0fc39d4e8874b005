// Package ledger is the at-most-once register of non-idempotent requests: for
// each idempotency key it decides which attempt may be dispatched, and stores the
// answer of the attempt that ran. It does no I/O.
//
// Keys are hashed to Slots partitions. Each partition has a replica set, whose
// members hold every key of the partition in memory. A key is a compare-and-swap
// register agreed on by ballots (Rystsov, "CASPaxos: Replicated State Machines
// without logs", 2018): a proposer collects promises from a majority, computes
// the next value from the newest accepted one, and has a majority accept it.
//
//	free -> claimed(attempt) -> done(answer)
//	                         -> released (proved not run), which counts as free
//
// An accept also promises the proposer's next ballot, so that the answer of a
// successful claim is recorded in one round trip.
//
// Invariants:
//   - An attempt is dispatched only by the proposer whose claim a majority
//     accepted, and once. A later proposer either finds the claim, or fences it off
//     with a higher ballot before a majority accepted it; never do both run.
//   - Replicas have no disk. A restarted replica takes a new incarnation number,
//     registers it with a majority of the others while it reads their state, and
//     votes only then. Every vote carries the incarnations known to its sender. A
//     quorum does not count a vote whose incarnation is superseded according to
//     another of its votes (Michael et al., "Recovering Shared Objects Without
//     Stable Storage", DISC 2017). So a promise given before a crash is never
//     combined with one given after the recovery read.
//   - When a majority lost its memory at the same time, the state is lost: a
//     majority of recovering replicas forms a new generation, whose birth time is
//     later than every vote of the old one. Claims of keys issued before the birth
//     are answered "unknown" and never run. Votes and accepts of different
//     generations are never combined.
//   - A replica that receives a message of a higher, formed generation discards its
//     state as if it had crashed.
//
// Times are in ms since the Unix epoch. The birth time includes the bound on the
// difference between clocks, so a key's issue time may come from the caller's
// clock.
package ledger
