// Package quotashare decides which fraction of all quotas each control host grants. The shares are
// kept in a table in the replicated state; the leader proposes each change of it.
//
// A control host follows the table that it has applied, which may be an older one. An entry
// therefore has two numbers: the share that the control host may grant from now on, and the share
// held, of which units may still be in use. A change first lowers shares and leaves held as it was.
// Held follows the share once the control host is known to have applied the lower share and the
// units given out before have returned, or once it cannot grant by an older table any more. Only
// then is the difference added to other shares.
//
// Invariants:
//   - A control host never has units of more than its held share in use.
//   - The held shares of a table add up to at most Whole.
//
// So the control hosts never grant more than the whole of a quota together, whoever is partitioned,
// restarted or replaced. The package does no I/O and reads no clock.
package quotashare

import (
	"slices"
	"strings"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Whole is the whole of a quota, the unit of shares in a table.
const Whole = 1_000_000_000

// Fraction returns a share as a fraction from 0 to 1.
func Fraction(share uint32) float64 { return float64(share) / Whole }

// Of returns the share of a store in a table; 0 if the table does not list it.
func Of(table *pb.IssuerShares, store string) uint32 { return find(table, store).GetShare() }

// find returns the entry of a store, or nil.
func find(table *pb.IssuerShares, store string) *pb.IssuerShare {
	entries := table.GetIssuers()
	at, found := slices.BinarySearchFunc(entries, store, func(e *pb.IssuerShare, s string) int { return strings.Compare(e.Store, s) })
	if !found {
		return nil
	}
	return entries[at]
}

// Check reports why the next table may not replace the current one, or nil. It cannot judge whether
// a held share was lowered too early; see Planner.
func Check(current, next *pb.IssuerShares) error {
	if next.Revision != current.GetRevision()+1 {
		return reject("the table has revision %d, the current one %d", next.Revision, current.GetRevision())
	}
	sum := uint64(0)
	for i, e := range next.Issuers {
		if i > 0 && e.Store <= next.Issuers[i-1].Store {
			return reject("store %q is not in order", e.Store)
		}
		if e.Share > e.Held {
			return reject("store %q has a share of %d and holds %d", e.Store, e.Share, e.Held)
		}
		sum += uint64(e.Held)
	}
	if sum > Whole {
		return reject("the held shares add up to %d, more than %d", sum, uint64(Whole))
	}
	for _, e := range current.GetIssuers() {
		if held := find(next, e.Store).GetHeld(); held < e.Share {
			return reject("store %q holds %d and was granted %d until now", e.Store, held, e.Share)
		}
	}
	return nil
}

func reject(format string, args ...any) error {
	return failure.New(failure.BadRequest, failure.NotRun, "issuer shares rejected: "+format, args...)
}
