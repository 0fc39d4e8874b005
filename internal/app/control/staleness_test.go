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

// TestHostThatCatchesUpOffersNothingStale restarts a host that missed changes while it was
// down. It hears the leader's heartbeats before what it missed: a leader is there, but the
// applied configuration is older than one that was acknowledged, so it must not be handed
// to entry hosts.
func TestHostThatCatchesUpOffersNothingStale(t *testing.T) {
	g := newGroup(t)
	g.declare(5)
	addr := founderAddresses[2]
	await(t, "the change is applied there", func() bool { return g.member(addr).r.Accepted().Stamp.Version == 5 })
	j := g.kill(addr).j
	g.declare(6)
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
	await(t, "the leader was heard for some time", func() bool { return heartbeats.Load() > 20 })
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

// TestCutOffHostKnowsThatItIsBehind cuts each control host off in turn: the time since it
// held what the group had committed grows, while its answers go on; after the cut it is
// small again.
func TestCutOffHostKnowsThatItIsBehind(t *testing.T) {
	const long, short = 400 * time.Millisecond, 200 * time.Millisecond
	g := newGroup(t)
	g.declare(5)
	for _, addr := range founderAddresses {
		await(t, "it is up to date", func() bool { return g.member(addr).r.Staleness() < short })
		g.setDrop(func(to string, m *pb.RaftMessage) bool { return to == addr || m.From == addr+".0" })
		await(t, "it knows that it is behind", func() bool { return g.member(addr).r.Staleness() > long })
		view := g.member(addr).f.view(&pb.FleetSync{}, "", "r")
		if view.StalenessMs < uint64(long.Milliseconds()) {
			t.Errorf("%s tells an entry host that it is %d ms behind", addr, view.StalenessMs)
		}
		for _, other := range founderAddresses {
			if other != addr {
				await(t, "the others are up to date", func() bool { return g.member(other).r.Staleness() < short })
			}
		}
		g.setDrop(nil)
	}
}

// handClock stands still but when it is moved.
type handClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *handClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// TestCutOffHostRefusesAtOnce: a host that has heard no leader for longer than an election
// takes refuses an operator's change at once, so that the operator goes to another host.
func TestCutOffHostRefusesAtOnce(t *testing.T) {
	clock := &handClock{now: time.Unix(1000, 0)}
	g := newGroupWithClock(t, clock)
	g.declare(5)
	addr := founderAddresses[2]
	for _, other := range founderAddresses[:2] {
		g.kill(other)
	}
	m := g.member(addr)
	await(t, "no leader is known there", func() bool {
		st, err := m.r.Status(context.Background())
		return err == nil && st.Leader == ""
	})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	refused := make(chan error, 1)
	go func() {
		_, err := m.r.Change(ctx, &pb.Command{Record: []byte(openRecord), DeclaredVersion: 6})
		refused <- err
	}()
	clock.advance(2500 * time.Millisecond) // less than the time for which it waits at most
	err := <-refused
	if f := failure.As(err, ""); !failure.Is(err, failure.NoLeader) || f.Outcome != failure.NotRun || ctx.Err() != nil {
		t.Errorf("ended with %v", err)
	}
}
