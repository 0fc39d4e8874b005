package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/consensus"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// executeReplicaChange adds the replica at an address as a learner. If c.Replace is set, it then
// waits until the learner has caught up, promotes it to a voter and removes the replaced replica:
// three membership changes in the log, one at a time. It is superseded by any other membership change after
// appliedIndex.
func (r *Replica) executeReplicaChange(ctx context.Context, c *pb.ReplicaChange, appliedIndex uint64) (*pb.ProposeResult, error) {
	id, err := r.fetchStoreID(ctx, c.Address)
	if err != nil {
		return nil, err
	}
	if c.Replace != "" {
		if err := r.checkReplacement(ctx, c.Replace, id); err != nil {
			return nil, err
		}
	}
	if err := r.changeMembers(ctx, &appliedIndex, func(m *pb.RaftMembers) { addMember(m, id, c.Address) }); err != nil {
		return nil, err
	}
	if c.Replace == "" {
		return &pb.ProposeResult{Leader: r.o.Host, Detail: id + " added as a learner"}, nil
	}
	if err := r.awaitCaughtUp(ctx, id); err != nil {
		return nil, err
	}
	if err := r.changeMembers(ctx, &appliedIndex, func(m *pb.RaftMembers) { promote(m, id) }); err != nil {
		return nil, err
	}
	if err := r.changeMembers(ctx, &appliedIndex, func(m *pb.RaftMembers) { remove(m, c.Replace) }); err != nil {
		return nil, err
	}
	return &pb.ProposeResult{Leader: r.o.Host, Detail: id + " replaced " + c.Replace}, nil
}

// fetchStoreID requests the store identity of the host at the address.
func (r *Replica) fetchStoreID(ctx context.Context, addr string) (string, error) {
	req := r.request()
	req.Body = &pb.Request_StatusQuery{StatusQuery: &pb.StatusQuery{}}
	resp, err := r.o.Peers.Call(ctx, addr, req)
	if err != nil {
		return "", err
	}
	st := resp.GetStatus()
	if st.GetStore() == "" {
		return "", failure.New(failure.BadRequest, failure.NotRun, "the host at %s is not a control replica", addr)
	}
	return st.Store, nil
}

func (r *Replica) checkReplacement(ctx context.Context, old, id string) error {
	found := false
	err := r.post(ctx, func() {
		for _, m := range r.node.Status().Members.Members {
			found = found || m.Id == old
		}
	})
	if err != nil {
		return err
	}
	if !found {
		return failure.New(failure.NotFound, failure.NotRun, "replica %q is not in the group", old)
	}
	if old == id {
		return failure.New(failure.BadRequest, failure.NotRun, "replica %q cannot replace itself", old)
	}
	return nil
}

// changeMembers commits one membership change and waits until it is applied. While an earlier
// change is pending, it retries once per tick. An edit without effect succeeds at once. The change is refused if the
// members have changed since the log index, which becomes that of the change.
func (r *Replica) changeMembers(ctx context.Context, since *uint64, edit func(*pb.RaftMembers)) error {
	for {
		unchanged := false
		done, err := r.propose(ctx, func() (uint64, uint64, error) {
			st := r.node.Status()
			if st.MembersIndex > *since {
				return 0, 0, supersededError("replicas", st.MembersIndex, *since)
			}
			next := proto.Clone(st.Members).(*pb.RaftMembers)
			edit(next)
			if unchanged = proto.Equal(st.Members, next); unchanged {
				return 0, 0, nil
			}
			index, term, err := r.node.ProposeMembers(next)
			if err == nil {
				*since = index
			}
			return index, term, err
		})
		if failure.Is(err, failure.MembershipPending) && ctx.Err() == nil {
			time.Sleep(r.o.Tick)
			continue
		}
		if err != nil || unchanged {
			return err
		}
		select {
		case a := <-done:
			return a.err
		case <-ctx.Done():
			return failure.New(failure.DeadlineExceeded, failure.Unknown, "the membership change was not committed in time")
		}
	}
}

func addMember(m *pb.RaftMembers, id, addr string) {
	for _, e := range m.Members {
		if e.Id == id {
			return
		}
	}
	m.Members = append(m.Members, &pb.RaftMember{Id: id, Address: addr, Learner: true})
}

func promote(m *pb.RaftMembers, id string) {
	for _, e := range m.Members {
		if e.Id == id {
			e.Learner = false
		}
	}
}

func remove(m *pb.RaftMembers, id string) {
	kept := m.Members[:0]
	for _, e := range m.Members {
		if e.Id != id {
			kept = append(kept, e)
		}
	}
	m.Members = kept
}

func (r *Replica) awaitCaughtUp(ctx context.Context, id string) error {
	for ctx.Err() == nil {
		var replicas []consensus.ReplicaStatus
		if err := r.post(ctx, func() { replicas = r.node.Status().Replicas }); err != nil {
			return err
		}
		for _, s := range replicas {
			if s.ID == id && s.CaughtUp {
				return nil
			}
		}
		time.Sleep(r.o.Tick)
	}
	return failure.New(failure.DeadlineExceeded, failure.NotRun, "replica %s did not catch up in time", id)
}
