package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// largeGroup simulates 24 control hosts, four in each failure domain. It counts the requests that
// they receive and tracks the open links.
type largeGroup struct {
	port.Peers
	mu            sync.Mutex
	domains       map[string]string // by address
	syncs         map[string]int    // sync requests by address
	introductions map[string]int    // by address
	open          map[string]bool
	staleness     time.Duration
}

func newLargeGroup() *largeGroup {
	g := &largeGroup{domains: map[string]string{}, syncs: map[string]int{}, introductions: map[string]int{}, open: map[string]bool{}}
	for _, d := range []string{"w1", "w2", "e1", "e2", "n1", "n2"} {
		for _, n := range []string{"a", "b", "c", "d"} {
			g.domains[d+n] = d
		}
	}
	return g
}

func (c *largeGroup) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	m := req.GetFleetSync()
	if !m.Introduction {
		sleep(ctx, time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[addr] = true
	if m.Introduction {
		c.introductions[addr]++
	} else {
		c.syncs[addr]++
	}
	v := &pb.FleetView{Epoch: 1, Version: 1, HomeRegion: testRegions[c.domains[addr]], HomeDomain: c.domains[addr], StalenessMs: uint64(c.staleness.Milliseconds())}
	for a, d := range c.domains {
		v.ControlHosts = append(v.ControlHosts, &pb.ControlHost{Peer: a, FailureDomain: d, Heard: true})
	}
	return &pb.Response{Stamp: &pb.ConfigStamp{}, Body: &pb.Response_FleetView{FleetView: v}}, nil
}

func (c *largeGroup) drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, addr)
}

func (c *largeGroup) counts() (asked, met, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.syncs), len(c.introductions), len(c.open)
}

// TestHostAsksFewOfManyControlHosts starts a host with three of 24 control hosts as seeds. It
// must sync with one of its failure domain and close the other links, instead of syncing with
// all 24 over a link to each. Before that one has answered, and while none is up to date, the
// host syncs with one in each failure domain.
func TestHostAsksFewOfManyControlHosts(t *testing.T) {
	f := newStartingFixture(t)
	control := newLargeGroup()
	f.g.o.Peers, f.g.o.CloseLink = control, control.drop
	f.g.SetSeeds([]string{"w1a", "e1a", "n1a"})
	f.install(7, baseRecord())
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan error)
	go func() { ran <- f.g.Run(ctx) }()
	defer func() { stop(); <-ran }()
	f.await("the host syncs with one control host", func() bool {
		asked, met, open := control.counts()
		return asked > 0 && met > 0 && met <= 3 && open == 1
	})
	control.mu.Lock()
	control.staleness = time.Minute
	control.mu.Unlock()
	// The control host that fell behind is avoided until the others' last answers are stale, too.
	outOfDate := f.clock.Now().Add(controlhosts.MaxStaleness + controlhosts.AvoidDuration)
	f.await("no control host is up to date any more", func() bool { return f.clock.Now().After(outOfDate) })
	control.mu.Lock()
	clear(control.syncs)
	control.mu.Unlock()
	f.await("the host syncs with one control host in each failure domain", func() bool {
		asked, _, _ := control.counts()
		return asked >= 6
	})
	control.mu.Lock()
	defer control.mu.Unlock()
	perDomain := map[string]int{}
	for addr := range control.syncs {
		perDomain[control.domains[addr]]++
	}
	for domain, n := range perDomain {
		if n != 1 {
			t.Errorf("%d control hosts of %s received sync requests", n, domain)
		}
	}
}

// TestStableHostsQueryRarely checks that a host determines its sync targets more often while its
// control host does not answer, early enough to query others in time.
func TestStableHostsQueryRarely(t *testing.T) {
	f := newFixture(t)
	if got := f.g.nextCheckIn(); got != syncRetryDelay {
		t.Errorf("no answer yet: next check in %s", got)
	}
	f.g.control.answers.RecordAnswer("c", controlhosts.SameDomain, 0, f.clock.Now())
	if got := f.g.nextCheckIn(); got != steadyCheckInterval {
		t.Errorf("just answered: next check in %s", got)
	}
	f.clock.advance(steadyCheckInterval)
	if got := f.g.nextCheckIn(); got != syncRetryDelay || steadyCheckInterval >= controlhosts.ContactTimeout {
		t.Errorf("no answer for %s: next check in %s", steadyCheckInterval, got)
	}
}
