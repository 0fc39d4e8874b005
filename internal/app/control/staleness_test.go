package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/consensus"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestCatchingUpHostOffersNoStaleConfiguration restarts a host that missed changes while it was
// down, and that receives the leader's heartbeats before the missing entries. Although it has
// contact with a leader, its applied configuration is older than an acknowledged one and must not
// be offered to entry hosts.
func TestCatchingUpHostOffersNoStaleConfiguration(t *testing.T) {
	g := newGroup(t)
	g.commitVersion(5)
	addr := founderAddresses[2]
	await(t, "the change is applied on the host", func() bool { return g.member(addr).r.Accepted().Stamp.Version == 5 })
	j := g.kill(addr).j
	g.commitVersion(6)
	var heartbeats atomic.Int32
	g.setDrop(func(to string, m *pb.RaftMessage) bool {
		if to != addr {
			return false
		}
		if consensus.MessageType(m.Type) == consensus.MsgHeartbeat {
			heartbeats.Add(1)
		}
		return consensus.MessageType(m.Type) == consensus.MsgAppend
	})
	m := g.start(addr, addr+".0", j, founderAddresses)
	await(t, "more than 20 heartbeats were sent to the host", func() bool { return heartbeats.Load() > 20 })
	resp := m.r.HandleRequest(context.Background(), &pb.Request{Body: &pb.Request_ConfigFetch{ConfigFetch: &pb.ConfigFetch{}}})
	if got := resp.GetConfig().GetStamp().GetVersion(); got != 0 {
		t.Errorf("offered version %d; 6 was acknowledged", got)
	}
	g.setDrop(nil)
	await(t, "the newest version is offered", func() bool {
		resp := m.r.HandleRequest(context.Background(), &pb.Request{Body: &pb.Request_ConfigFetch{ConfigFetch: &pb.ConfigFetch{}}})
		return resp.GetConfig().GetStamp().GetVersion() == 6
	})
}

// TestIsolatedHostReportsStaleness isolates each control host from the group in turn. Its staleness
// must grow, and its views must report it while it continues to answer; after the isolation ends
// the staleness must be small again.
func TestIsolatedHostReportsStaleness(t *testing.T) {
	const long, short = 400 * time.Millisecond, 200 * time.Millisecond
	g := newGroup(t)
	g.commitVersion(5)
	for _, addr := range founderAddresses {
		await(t, "the host is up to date", func() bool { return g.member(addr).r.Staleness() < short })
		g.setDrop(func(to string, m *pb.RaftMessage) bool { return to == addr || m.From == addr+".0" })
		await(t, "the host's staleness grows", func() bool { return g.member(addr).r.Staleness() > long })
		view := g.member(addr).f.buildView(&pb.FleetSync{}, "", "r")
		if view.StalenessMs < uint64(long.Milliseconds()) {
			t.Errorf("the view of %s reports a staleness of %d ms", addr, view.StalenessMs)
		}
		for _, other := range founderAddresses {
			if other != addr {
				await(t, "the others are up to date", func() bool { return g.member(other).r.Staleness() < short })
			}
		}
		g.setDrop(nil)
	}
}

// manualClock changes only by advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// TestIsolatedHostRefusesAtOnce checks that a host that has had no contact with a leader for longer
// than an election takes refuses an operator's change at once, so that the operator tries another
// host.
func TestIsolatedHostRefusesAtOnce(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	g := newGroupWithClock(t, clock)
	g.commitVersion(5)
	addr := founderAddresses[2]
	for _, other := range founderAddresses[:2] {
		g.kill(other)
	}
	m := g.member(addr)
	await(t, "the host has no leader", func() bool {
		st, err := m.r.Status(context.Background())
		return err == nil && st.Leader == ""
	})
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	refused := make(chan error, 1)
	go func() {
		_, err := m.r.Change(ctx, &pb.Command{Record: []byte(openRecord), DeclaredVersion: 6})
		refused <- err
	}()
	clock.advance(2500 * time.Millisecond) // less than leaderWaitTimeout
	err := <-refused
	if f := failure.As(err, ""); !failure.Is(err, failure.NoLeader) || f.Outcome != failure.NotRun || ctx.Err() != nil {
		t.Errorf("ended with %v", err)
	}
}
