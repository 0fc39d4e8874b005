package gateway

import (
	"context"
	"encoding/json"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// fakeControlHost is the state of a simulated control host.
type fakeControlHost struct {
	domain, region string
	unreachable    bool
	staleness      time.Duration
	version        uint64 // of its configuration
	evacuated      []string
	revision       uint64 // of evacuated
}

// fakeGroup answers calls to several control hosts by address. It delays sync requests by 1 ms,
// as control hosts hold them while nothing changes.
type fakeGroup struct {
	t     *testing.T
	mu    sync.Mutex
	hosts map[string]fakeControlHost
	// syncs counts the sync requests by address.
	syncs map[string]int
	// held, unless nil, delays the answers of heldAddr until it is closed.
	held     chan struct{}
	heldAddr string
}

func (c *fakeGroup) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	if req.GetFleetSync() != nil {
		sleep(ctx, time.Millisecond)
	}
	if c.held != nil && addr == c.heldAddr {
		<-c.held
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h.unreachable || h.domain == "" {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "no answer")
	}
	blob := testBlob(c.t, h.version, baseRecord())
	resp := &pb.Response{Stamp: blob.Stamp}
	if req.GetConfigFetch() != nil {
		resp.Body = &pb.Response_Config{Config: blob}
		return resp, nil
	}
	c.syncs[addr]++
	resp.Body = &pb.Response_FleetView{FleetView: &pb.FleetView{
		Epoch: 1, Version: 1, HomeRegion: h.region, HomeDomain: h.domain, StalenessMs: uint64(h.staleness.Milliseconds()),
		Evacuated: h.evacuated, EvacuationRevision: h.revision,
	}}
	return resp, nil
}

// setHosts replaces the states of the control hosts.
func (c *fakeGroup) setHosts(at map[string]fakeControlHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = at
}

// allSynced reports whether each control host received a sync request, and c1 at least n.
func (c *fakeGroup) allSynced(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.syncs) == len(c.hosts) && c.syncs["c1"] >= n
}

func (c *fakeGroup) Open(context.Context, string, *pb.Request, []byte) (port.ForwardStream, bool, error) {
	return nil, false, failure.New(failure.PeerUnreachable, failure.NotRun, "no forwards here")
}

func testBlob(t testing.TB, version uint64, rec configstate.Record) *pb.ConfigBlob {
	t.Helper()
	raw, err := json.Marshal(&rec)
	if err != nil {
		t.Fatal(err)
	}
	stamp := &pb.ConfigStamp{Generation: 1, Version: version, Digest: configstate.Digest(raw)}
	return &pb.ConfigBlob{Stamp: stamp, Record: raw, Signature: configstate.Sign(signer, stamp)}
}

// TestChangeInForceBehindAControlHostThatIsBehind guards against an entry host that keeps an old
// configuration because its control host answers although it is partitioned from the consensus
// group. One of three control hosts was cut off from the others for 30 s while its entry hosts
// could reach all three. They sent it four sync requests per second, each was answered, and
// callers got 404 on a route that had been added minutes before: farther control hosts were
// queried only while the nearer ones did not answer at all. An answer shows that a control host
// is reachable, not that it has received what the group accepted.
//
// During the 30 s the control host's views were 2 to 30 s stale, no call of its entry hosts
// failed, and none received the newer version; 200 ms after the partition all had it.
func TestChangeInForceBehindAControlHostThatIsBehind(t *testing.T) {
	current := func(domain, region string) fakeControlHost {
		return fakeControlHost{domain: domain, region: region, staleness: 100 * time.Millisecond, version: 8, evacuated: []string{"w2"}, revision: 2}
	}
	stale := func(domain, region string) fakeControlHost {
		return fakeControlHost{domain: domain, region: region, staleness: 30 * time.Second, version: 7, evacuated: []string{}, revision: 1}
	}
	cases := map[string]map[string]fakeControlHost{
		"own unreachable":                      {"c1": {domain: "w1", region: "west", unreachable: true}, "c2": current("e1", "east")},
		"own stale, other region's up to date": {"c1": stale("w1", "west"), "c2": current("e1", "east")},
		"own stale, its region's up to date":   {"c1": stale("w1", "west"), "c2": current("w2", "west")},
		"all of its region stale":              {"c1": stale("w1", "west"), "c2": stale("w2", "west"), "c3": current("e1", "east")},
		"own and another region's stale":       {"c1": stale("w1", "west"), "c2": stale("e1", "east"), "c3": current("n1", "north")},
		"own unreachable, its region's stale":  {"c1": {domain: "w1", region: "west", unreachable: true}, "c2": stale("w2", "west"), "c3": current("e1", "east")},
	}
	for name, hosts := range cases {
		t.Run(name, func(t *testing.T) {
			f := newStartingFixture(t)
			f.clock.advance(time.Minute) // past the waits of a starting host
			control := &fakeGroup{t: t, hosts: map[string]fakeControlHost{}, syncs: map[string]int{}}
			var seeds []string
			for addr, h := range hosts {
				control.hosts[addr] = fakeControlHost{domain: h.domain, region: h.region, version: 7, evacuated: []string{}, revision: 1}
				seeds = append(seeds, addr)
			}
			f.g.SetSeeds(seeds)
			f.g.o.Peers = control
			ctx, stop := context.WithCancel(context.Background())
			ran := make(chan error)
			go func() { ran <- f.g.Run(ctx) }()
			defer func() { stop(); <-ran }()
			f.await("version 7 is in force and all control hosts received sync requests", func() bool { return f.g.Version() == 7 && control.allSynced(100) })
			control.setHosts(hosts)
			f.await("the change and the evacuation are in force", func() bool { return f.g.Version() == 8 && f.evacuated("w2") })
		})
	}
}

// TestStartBehindAControlHostThatIsBehind restarts an entry host while its control host is
// partitioned from the group. That one answers first, with an older configuration than the entry
// host had before the restart, and an up-to-date one of another region can be reached. The older
// configuration must not come into force. If no other control host can be reached, the host
// serves with the configuration that it gets.
func TestStartBehindAControlHostThatIsBehind(t *testing.T) {
	stale := fakeControlHost{domain: "w1", region: "west", staleness: 30 * time.Second, version: 7, evacuated: []string{}, revision: 1}
	current := fakeControlHost{domain: "e1", region: "east", staleness: 100 * time.Millisecond, version: 8, evacuated: []string{"w2"}, revision: 2}
	cases := []struct {
		name    string
		hosts   map[string]fakeControlHost
		version uint64
	}{
		{"another region's control host is up to date", map[string]fakeControlHost{"c1": stale, "c2": current}, 8},
		{"no other control host can be reached", map[string]fakeControlHost{"c1": stale, "c2": {domain: "e1", region: "east", unreachable: true}}, 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newStartingFixture(t)
			control := &fakeGroup{t: t, hosts: c.hosts, syncs: map[string]int{}, held: make(chan struct{}), heldAddr: "c2"}
			f.g.SetSeeds([]string{"c1", "c2"})
			f.g.o.Peers = control
			ctx, stop := context.WithCancel(context.Background())
			ran := make(chan error)
			go func() { ran <- f.g.Run(ctx) }()
			defer func() { stop(); <-ran }()
			for control.syncCount("c1") < 20 { // without advancing the clock
				runtime.Gosched()
			}
			if v := f.g.Version(); v != 0 {
				t.Errorf("version %d is in force before others could answer", v)
			}
			close(control.held)
			f.await("the host has a configuration", func() bool { return f.g.Version() != 0 })
			if v := f.g.Version(); v != c.version {
				t.Errorf("version %d is in force, want %d", v, c.version)
			}
		})
	}
}

func (c *fakeGroup) syncCount(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.syncs[addr]
}

// await advances the clock until cond holds.
func (f *fixture) await(what string, cond func() bool) {
	f.t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	deadline := time.After(10 * time.Second)
	for !cond() {
		select {
		case <-tick.C:
			f.clock.advance(10 * time.Millisecond)
		case <-deadline:
			f.t.Fatalf("never happened: %s; version %d is in force", what, f.g.Version())
		}
	}
}

func (f *fixture) evacuated(domain string) bool {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.g.fleet.Evacuated(domain)
}
