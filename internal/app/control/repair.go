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
	// repairInterval is how often the leader looks for the next step.
	repairInterval = 300 * time.Millisecond
	// repairTimeout bounds the commit of one step.
	repairTimeout = 3 * time.Second
	// lostAfter is how long a voter is silent before a caught-up learner replaces it: longer
	// than a restart, which takes 1.0 to 1.6 s. The successor of a host that is gone must
	// have its vote 4 s after its start, or the group does not bear the next loss of a disk;
	// an election and four steps of the repair take up to 2 s of it. A voter that comes back
	// later joins anew and costs one transfer of the state.
	lostAfter = 2 * time.Second
	// maxVoters bears the loss of any two control hosts.
	maxVoters = 5
)

// repair lets the leader keep the group complete without an operator: hosts that
// appear join, a host with an empty folder replaces its lost self, and a learner
// replaces a voter that is gone.
func (r *Replica) repair(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(repairInterval)
	defer t.Stop()
	heard := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var st consensus.Status
		if err := r.post(ctx, func() { st = r.node.Status() }); err != nil {
			clear(heard) // out of the group while the store fails
			continue
		}
		if st.Role != consensus.Leader {
			clear(heard)
			continue
		}
		next := consensus.NextMembers(st, r.liveStores(), r.silence(st, heard), consensus.RepairLimits{
			MaxVoters: maxVoters, LostAfter: lostAfter,
		})
		if next != nil {
			r.changeOnce(ctx, st.Members, next)
		}
	}
}

// silence returns for how long each member has not answered this leader.
func (r *Replica) silence(st consensus.Status, heard map[string]time.Time) map[string]time.Duration {
	now := r.o.Clock.Now()
	out := map[string]time.Duration{}
	for _, s := range st.Replicas {
		if _, ok := heard[s.ID]; !ok || s.Recent {
			heard[s.ID] = now
		}
		out[s.ID] = now.Sub(heard[s.ID])
	}
	return out
}

// joinsWithin is how lately a control host must have been heard to join the group: five
// exchanges. It is shorter than lostAfter, or a host that was just removed as lost would
// join again, and count as one that may come back.
const joinsWithin = 1500 * time.Millisecond

// liveStores returns the stores of all control hosts heard lately, this one included.
func (r *Replica) liveStores() []consensus.LiveStore {
	live := []consensus.LiveStore{{ID: r.o.Identity.Store, Address: r.fleet.o.Peer, Region: r.o.Region, FailureDomain: r.o.FailureDomain}}
	now := r.o.Clock.Now()
	for _, c := range r.fleet.liveControls() {
		if now.Sub(c.LastSeen) <= joinsWithin {
			live = append(live, consensus.LiveStore{ID: c.Store, Address: c.Peer, Region: c.Region, FailureDomain: c.FailureDomain})
		}
	}
	return live
}

// changeOnce proposes one membership change and waits until it is committed.
func (r *Replica) changeOnce(ctx context.Context, from, to *pb.RaftMembers) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
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

// memberNames lists the members; learners end with a question mark.
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
