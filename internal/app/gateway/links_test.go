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

// largeGroup answers as 24 control hosts, four in each failure domain, and counts what it is
// asked and which links are open.
type largeGroup struct {
	port.Peers
	mu        sync.Mutex
	domains   map[string]string // by address
	asked     map[string]int    // presentations
	met       map[string]int    // introductions
	open      map[string]bool
	staleness time.Duration
}

func newLargeGroup() *largeGroup {
	g := &largeGroup{domains: map[string]string{}, asked: map[string]int{}, met: map[string]int{}, open: map[string]bool{}}
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
		pause(ctx, time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[addr] = true
	if m.Introduction {
		c.met[addr]++
	} else {
		c.asked[addr]++
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
	return len(c.asked), len(c.met), len(c.open)
}

// TestHostAsksFewOfManyControlHosts starts a host that is told three of 24 control hosts. It
// meets these and goes by one of its failure domain; the other links end. It once presented
// itself to all 24 and kept a link to each. Before it has heard the one that it goes by, and
// while none is up to date, it asks one in each failure domain.
func TestHostAsksFewOfManyControlHosts(t *testing.T) {
	f := newStartingFixture(t)
	control := newLargeGroup()
	f.g.o.Peers, f.g.o.Drop = control, control.drop
	f.g.SetSeeds([]string{"w1a", "e1a", "n1a"})
	f.install(7, baseRecord())
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan error)
	go func() { ran <- f.g.Run(ctx) }()
	defer func() { stop(); <-ran }()
	f.await("it goes by one control host", func() bool {
		asked, met, open := control.counts()
		return asked > 0 && met > 0 && met <= 3 && open == 1
	})
	control.mu.Lock()
	control.staleness = time.Minute
	control.mu.Unlock()
	// Until what was up to date is too old as well, the one that fell behind is avoided.
	outOfDate := f.clock.Now().Add(controlhosts.MaxStaleness + controlhosts.AvoidDuration)
	f.await("none is up to date any more", func() bool { return f.clock.Now().After(outOfDate) })
	control.mu.Lock()
	clear(control.asked)
	control.mu.Unlock()
	f.await("it asks one in each failure domain", func() bool {
		asked, _, _ := control.counts()
		return asked >= 6
	})
	control.mu.Lock()
	defer control.mu.Unlock()
	perDomain := map[string]int{}
	for addr := range control.asked {
		perDomain[control.domains[addr]]++
	}
	for domain, n := range perDomain {
		if n != 1 {
			t.Errorf("%d control hosts of %s were asked", n, domain)
		}
	}
}

// TestCalmHostsLookSeldom: a host looks more often which control hosts to ask when the one
// that it goes by is silent, early enough to ask others in time.
func TestCalmHostsLookSeldom(t *testing.T) {
	f := newFixture(t)
	if got := f.g.lookAgainIn(); got != syncPause {
		t.Errorf("nothing heard yet: looks again in %s", got)
	}
	f.g.control.heard.RecordAnswer("c", controlhosts.SameDomain, 0, f.clock.Now())
	if got := f.g.lookAgainIn(); got != calmPause {
		t.Errorf("just heard: looks again in %s", got)
	}
	f.clock.advance(calmPause)
	if got := f.g.lookAgainIn(); got != syncPause || calmPause >= controlhosts.ContactTimeout {
		t.Errorf("not heard for %s: looks again in %s", calmPause, got)
	}
}
