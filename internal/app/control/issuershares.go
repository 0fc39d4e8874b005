package control

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/consensus"
	"github.com/sesamefork/sesamefork/internal/core/quota"
	"github.com/sesamefork/sesamefork/internal/core/quotashare"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// issuerShares is what the replica's goroutine knows of the table of issuer shares.
type issuerShares struct {
	// revision is the highest one that was applied. A replica whose store was reopened applies
	// earlier tables again and ignores them.
	revision uint64
	// index is the position in the log at which the machine's table was applied, or that of the
	// snapshot that contained it.
	index uint64
}

// applyIssuerShares sets this control host's share from the machine's table, which was applied at a
// position in the log. The share is in force before the replica reports the position as applied.
func (r *Replica) applyIssuerShares(index uint64) {
	table := r.machine.IssuerShares()
	if table.GetRevision() <= r.shares.revision {
		return
	}
	r.shares = issuerShares{revision: table.Revision, index: index}
	share := quotashare.Of(table, r.o.Identity.Store)
	if r.ownShare.Swap(share) != share {
		r.o.Log.Info("share of quotas changed", "share", quotashare.Fraction(share), "revision", table.Revision)
	}
	r.updateQuotaShare()
}

// updateQuotaShare applies this control host's share, and whether it may grant units of it.
func (r *Replica) updateQuotaShare() {
	now := r.o.Clock.Now()
	share, active := r.quotaShare(now)
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	r.quotas.issuer.SetShare(share, active, now)
}

// quotaShare returns the fraction of all quotas that this control host grants, by the replicated
// table, and whether it may grant units now. It may not before its state has been the group's newest
// since the start, as a table that lowered the share may then be missing.
func (r *Replica) quotaShare(now time.Time) (share float64, active bool) {
	at := r.currentAt.Load()
	return quotashare.Fraction(r.ownShare.Load()), at != nil && now.Sub(*at) <= issuerStalenessLimit
}

const (
	// issuerStalenessLimit is how stale a control host's state may be while it still grants units: a
	// failure domain that is partitioned from the group has its part for that long.
	issuerStalenessLimit = 30 * time.Second
	// issuerPlanInterval is the pause between the leader's checks for the next change of the table.
	issuerPlanInterval = 300 * time.Millisecond
	// issuerJoinDelay covers the time within which control hosts that start together join.
	issuerJoinDelay = time.Second
	// issuerGoneAfter is longer than a restart and an election.
	issuerGoneAfter = 10 * time.Second
	// deposedLeaderElections is the number of election timeouts for which a leader that has been
	// replaced may count its state as the newest.
	deposedLeaderElections = 2
)

func (r *Replica) newIssuerPlanner() *quotashare.Planner {
	return quotashare.NewPlanner(quotashare.PlannerOptions{
		JoinDelay: issuerJoinDelay, GoneAfter: issuerGoneAfter, DomainGoneAfter: issuerStalenessLimit,
		ReturnDelay: quota.ReturnDelay(r.o.QuotaBound), FenceDelay: issuerStalenessLimit + deposedLeaderElections*electionTicks*r.o.Tick,
	}, r.o.Clock.Now())
}

// planIssuerShares proposes the changes of the table while this replica is the leader.
func (r *Replica) planIssuerShares(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(issuerPlanInterval)
	defer t.Stop()
	var planner *quotashare.Planner
	plannedTerm := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		st, table, index, err := r.leaderState(ctx)
		if err != nil || st.Role != consensus.Leader {
			planner = nil
			continue
		}
		if planner == nil || st.Term != plannedTerm {
			planner, plannedTerm = r.newIssuerPlanner(), st.Term
		}
		if next := planner.Next(table, r.issuerView(st, index), r.o.Clock.Now()); next != nil {
			r.commitIssuerShares(ctx, table, next)
		}
	}
}

// leaderState returns the status, the table of issuer shares and the log position of the table.
func (r *Replica) leaderState(ctx context.Context) (st consensus.Status, table *pb.IssuerShares, index uint64, err error) {
	err = r.post(ctx, func() { st, table, index = r.node.Status(), r.machine.IssuerShares(), r.shares.index })
	return st, table, index, err
}

// issuerView returns the live control hosts. In a group whose record lists the hosts, the failure
// domains of the members are not known here, and the members divide the whole equally.
func (r *Replica) issuerView(st consensus.Status, tableIndex uint64) quotashare.View {
	v := quotashare.View{}
	member, applied := map[string]bool{}, map[string]bool{}
	for _, m := range st.Replicas {
		member[m.ID], applied[m.ID] = true, m.Applied >= tableIndex
		if r.fleet == nil && m.Recent {
			v.Live = append(v.Live, quotashare.Issuer{Store: m.ID, Address: m.Address})
		}
	}
	v.Applied = func(store string) bool { return applied[store] }
	if r.fleet == nil {
		return v
	}
	for domain := range r.fleet.o.Regions {
		v.FailureDomains = append(v.FailureDomains, domain)
	}
	for _, s := range r.liveStores() {
		if member[s.ID] {
			v.Live = append(v.Live, quotashare.Issuer{Store: s.ID, Address: s.Address, FailureDomain: s.FailureDomain})
		}
	}
	return v
}

// commitIssuerShares proposes a table, waits until it is committed and logs the result.
func (r *Replica) commitIssuerShares(ctx context.Context, from, to *pb.IssuerShares) {
	ctx, cancel := context.WithTimeout(ctx, repairStepTimeout)
	defer cancel()
	res, err := r.commit(ctx, &pb.Command{IssuerShares: to}, nil)
	if err == nil && res.Code != "" {
		err = failure.New(res.Code, failure.NotRun, "%s", res.Detail)
	}
	kv := []any{"revision", to.Revision, "from", describeShares(from), "to", describeShares(to)}
	if err != nil {
		r.o.Log.Info("issuer shares change failed", append(kv, "reason", err.Error())...)
		return
	}
	r.o.Log.Info("issuer shares changed", kv...)
}

// describeShares returns each issuer's store, share, and held share if it differs.
func describeShares(t *pb.IssuerShares) []string {
	out := []string{}
	for _, e := range t.GetIssuers() {
		s := fmt.Sprintf("%s %.4f", e.Store, quotashare.Fraction(e.Share))
		if e.Held != e.Share {
			s += fmt.Sprintf(" (held %.4f)", quotashare.Fraction(e.Held))
		}
		out = append(out, s)
	}
	return out
}
