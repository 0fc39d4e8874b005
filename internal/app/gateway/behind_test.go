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

// fakeMember is a control host as entry hosts meet it.
type fakeMember struct {
	domain, region string
	silent         bool
	staleness      time.Duration
	version        uint64 // of its configuration
	evacuated      []string
	revision       uint64 // of evacuated
}

// fakeGroup answers calls to several control hosts by address. Presentations are held
// for a moment, as nothing changes.
type fakeGroup struct {
	t  *testing.T
	mu sync.Mutex
	at map[string]fakeMember
	// asked counts the presentations by address.
	asked map[string]int
	// held, unless nil, keeps the answers of an address until it is closed.
	held     chan struct{}
	heldAddr string
}

func (c *fakeGroup) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	if req.GetFleetSync() != nil {
		pause(ctx, time.Millisecond)
	}
	if c.held != nil && addr == c.heldAddr {
		<-c.held
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.at[addr]
	if h.silent || h.domain == "" {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "no answer")
	}
	blob := testBlob(c.t, h.version, baseRecord())
	resp := &pb.Response{Stamp: blob.Stamp}
	if req.GetConfigFetch() != nil {
		resp.Body = &pb.Response_Config{Config: blob}
		return resp, nil
	}
	c.asked[addr]++
	resp.Body = &pb.Response_FleetView{FleetView: &pb.FleetView{
		Epoch: 1, Version: 1, HomeRegion: h.region, HomeDomain: h.domain, StalenessMs: uint64(h.staleness.Milliseconds()),
		Evacuated: h.evacuated, EvacuationRevision: h.revision,
	}}
	return resp, nil
}

// turn gives the control hosts new states.
func (c *fakeGroup) turn(at map[string]fakeMember) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = at
}

// eachAsked reports whether each control host was asked, and the first one at least n times.
func (c *fakeGroup) eachAsked(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.asked) == len(c.at) && c.asked["c1"] >= n
}

func (c *fakeGroup) Open(context.Context, string, *pb.Request, []byte) (port.ForwardStream, bool, error) {
	return nil, false, failure.New(failure.PeerUnreachable, failure.NotRun, "no forwards here")
}

func testBlob(t *testing.T, version uint64, rec configstate.Record) *pb.ConfigBlob {
	t.Helper()
	raw, err := json.Marshal(&rec)
	if err != nil {
		t.Fatal(err)
	}
	stamp := &pb.ConfigStamp{Generation: 1, Version: version, Digest: configstate.Digest(raw)}
	return &pb.ConfigBlob{Stamp: stamp, Record: raw, Signature: configstate.Sign(signer, stamp)}
}

// TestChangeInForceBehindAControlHostThatIsBehind tells this story. Users got 404 on a route
// that an operator had added minutes ago, from some entry hosts only. One control host was
// cut from the two others for 30 s; its entry hosts could reach all three. The change was
// accepted by the two others. The entry hosts of the cut-off one asked it four times a
// second, were answered each time, and went on with its configuration: farther control hosts
// were asked only while the nearer ones gave no answer at all. An answer says that a host
// is there, not that it knows what the group has accepted.
//
// Evidence: over the 30 s the cut-off host's views were 2 to 30 s stale, none of its entry
// hosts had a call that failed, and none heard of the newer version; 200 ms after the cut
// had ended, all had it.
func TestChangeInForceBehindAControlHostThatIsBehind(t *testing.T) {
	current := func(domain, region string) fakeMember {
		return fakeMember{domain: domain, region: region, staleness: 100 * time.Millisecond, version: 8, evacuated: []string{"w2"}, revision: 2}
	}
	behind := func(domain, region string) fakeMember {
		return fakeMember{domain: domain, region: region, staleness: 30 * time.Second, version: 7, evacuated: []string{}, revision: 1}
	}
	cases := map[string]map[string]fakeMember{
		"its own is silent":                        {"c1": {domain: "w1", region: "west", silent: true}, "c2": current("e1", "east")},
		"its own is behind, another region's not":  {"c1": behind("w1", "west"), "c2": current("e1", "east")},
		"its own is behind, another of its region": {"c1": behind("w1", "west"), "c2": current("w2", "west")},
		"all of its region are behind":             {"c1": behind("w1", "west"), "c2": behind("w2", "west"), "c3": current("e1", "east")},
		"another region's is behind too":           {"c1": behind("w1", "west"), "c2": behind("e1", "east"), "c3": current("n1", "north")},
		"its own is silent, its region's behind":   {"c1": {domain: "w1", region: "west", silent: true}, "c2": behind("w2", "west"), "c3": current("e1", "east")},
	}
	for name, hosts := range cases {
		t.Run(name, func(t *testing.T) {
			f := newStartingFixture(t)
			f.clock.advance(time.Minute) // the start is long over
			control := &fakeGroup{t: t, at: map[string]fakeMember{}, asked: map[string]int{}}
			var seeds []string
			for addr, h := range hosts {
				control.at[addr] = fakeMember{domain: h.domain, region: h.region, version: 7, evacuated: []string{}, revision: 1}
				seeds = append(seeds, addr)
			}
			f.g.SetSeeds(seeds)
			f.g.o.Peers = control
			ctx, stop := context.WithCancel(context.Background())
			ran := make(chan error)
			go func() { ran <- f.g.Run(ctx) }()
			defer func() { stop(); <-ran }()
			f.await("the host goes by its own control host", func() bool { return f.g.Version() == 7 && control.eachAsked(100) })
			control.turn(hosts)
			f.await("the change and the evacuation are in force", func() bool { return f.g.Version() == 8 && f.evacuated("w2") })
		})
	}
}

// TestStartBehindAControlHostThatIsBehind restarts an entry host while its control host is
// cut off from the group. The nearest one answers first, with an older configuration than
// the entry host had before; one that is up to date is in reach. What was in force here must
// not come back older. Where no other one is in reach, the host serves with what there is.
func TestStartBehindAControlHostThatIsBehind(t *testing.T) {
	behind := fakeMember{domain: "w1", region: "west", staleness: 30 * time.Second, version: 7, evacuated: []string{}, revision: 1}
	current := fakeMember{domain: "e1", region: "east", staleness: 100 * time.Millisecond, version: 8, evacuated: []string{"w2"}, revision: 2}
	cases := []struct {
		name    string
		hosts   map[string]fakeMember
		version uint64
	}{
		{"another region's is up to date", map[string]fakeMember{"c1": behind, "c2": current}, 8},
		{"none else is in reach", map[string]fakeMember{"c1": behind, "c2": {domain: "e1", region: "east", silent: true}}, 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newStartingFixture(t)
			control := &fakeGroup{t: t, at: c.hosts, asked: map[string]int{}, held: make(chan struct{}), heldAddr: "c2"}
			f.g.SetSeeds([]string{"c1", "c2"})
			f.g.o.Peers = control
			ctx, stop := context.WithCancel(context.Background())
			ran := make(chan error)
			go func() { ran <- f.g.Run(ctx) }()
			defer func() { stop(); <-ran }()
			for control.count("c1") < 20 { // the clock stands still
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

func (c *fakeGroup) count(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked[addr]
}

// await lets the clock run until cond holds.
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
