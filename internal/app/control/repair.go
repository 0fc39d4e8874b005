package control

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/consensus"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Times and limits of the group's repair.
const (
	// repairInterval is the pause between the leader's checks for the next repair step.
	repairInterval = 300 * time.Millisecond
	// repairStepTimeout limits the time to commit one step.
	repairStepTimeout = 3 * time.Second
	// lostAfter is how long a voter must leave the leader's messages unanswered before a caught-up
	// learner replaces it. It is longer than a restart, which takes 1.0 to 1.6 s. It is short enough
	// that the successor of a lost host can vote 4 s after its start; otherwise the group does not
	// survive the loss of another disk. An election and four repair steps take up to 2 s of these
	// 4 s. A voter that returns later joins again, which costs one snapshot transfer.
	lostAfter = 2 * time.Second
	// maxVoters lets the group survive the loss of any two control hosts.
	maxVoters = 5
)

// repair keeps the group complete without an operator, on the leader: it adds control hosts that
// appear, replaces a lost store by the new one at its address, and replaces a lost voter by a
// learner.
func (r *Replica) repair(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(repairInterval)
	defer t.Stop()
	lastResponse := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var st consensus.Status
		if err := r.post(ctx, func() { st = r.node.Status() }); err != nil {
			clear(lastResponse) // the replica is halted or stopped
			continue
		}
		if st.Role != consensus.Leader {
			clear(lastResponse)
			continue
		}
		next := consensus.NextMembers(st, r.liveStores(), r.timeSinceResponse(st, lastResponse), consensus.RepairLimits{
			MaxVoters: maxVoters, LostAfter: lostAfter,
		})
		if next != nil {
			r.commitMembership(ctx, st.Members, next)
		}
	}
}

// timeSinceResponse returns for each member how long it has not answered this leader. lastResponse
// keeps the time of each member's last answer between calls.
func (r *Replica) timeSinceResponse(st consensus.Status, lastResponse map[string]time.Time) map[string]time.Duration {
	now := r.o.Clock.Now()
	out := map[string]time.Duration{}
	for _, s := range st.Replicas {
		if _, ok := lastResponse[s.ID]; !ok || s.Recent {
			lastResponse[s.ID] = now
		}
		out[s.ID] = now.Sub(lastResponse[s.ID])
	}
	return out
}

// joinMaxAge is how recent a control host's last message must be for it to join the group: five
// exchange intervals. It is shorter than lostAfter; otherwise a host that was just removed as lost
// would join again and count as one that may return.
const joinMaxAge = 1500 * time.Millisecond

// liveStores returns the stores of all control hosts from which a message was received within
// joinMaxAge, this one included.
func (r *Replica) liveStores() []consensus.LiveStore {
	live := []consensus.LiveStore{{ID: r.o.Identity.Store, Address: r.fleet.o.Peer, Region: r.o.Region, FailureDomain: r.o.FailureDomain}}
	now := r.o.Clock.Now()
	for _, c := range r.fleet.liveControls() {
		if now.Sub(c.LastSeen) <= joinMaxAge {
			live = append(live, consensus.LiveStore{ID: c.Store, Address: c.Peer, Region: c.Region, FailureDomain: c.FailureDomain})
		}
	}
	return live
}

// commitMembership proposes one membership change, waits until it is committed and logs the result.
func (r *Replica) commitMembership(ctx context.Context, from, to *pb.RaftMembers) {
	ctx, cancel := context.WithTimeout(ctx, repairStepTimeout)
	defer cancel()
	done, err := r.propose(ctx, func() (uint64, uint64, error) { return r.node.ProposeMembers(to) })
	if err == nil {
		select {
		case a := <-done:
			err = a.err
		case <-ctx.Done():
			err = failure.New(failure.DeadlineExceeded, failure.Unknown, "the membership change was not committed in time")
		}
	}
	kv := []any{"from", memberNames(from), "to", memberNames(to)}
	if err != nil {
		r.o.Log.Info("membership change failed", append(kv, "reason", err.Error())...)
		return
	}
	r.o.Log.Info("membership changed", kv...)
}

// memberNames returns the members' IDs; those of learners end with a question mark.
func memberNames(m *pb.RaftMembers) []string {
	var out []string
	for _, e := range m.Members {
		name := e.Id
		if e.Learner {
			name += "?"
		}
		out = append(out, name)
	}
	return out
}
