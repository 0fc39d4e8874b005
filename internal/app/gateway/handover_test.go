package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// fakeControlHosts answer sync requests. A control host holds those that it may hold until the sender
// gives them up.
type fakeControlHosts struct {
	port.Peers
	held chan string // addresses whose sync requests are held

	mu      sync.Mutex
	down    map[string]bool
	handed  int            // messages that are neither introductions nor may be held
	streams map[string]int // origins received, by address
	crashes map[string]int // records of crashing requests
}

func newFakeControlHosts() *fakeControlHosts {
	return &fakeControlHosts{held: make(chan string, 100), down: map[string]bool{}, streams: map[string]int{}, crashes: map[string]int{}}
}

func (f *fakeControlHosts) isDown(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[addr]
}

var controlDomains = map[string]string{"c-w1": "w1", "c-w2": "w2", "c-e1": "e1"}

func (f *fakeControlHosts) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	m := req.GetFleetSync()
	if m == nil || f.isDown(addr) {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "%s is down", addr)
	}
	if m.WaitMs > 0 && m.HaveEpoch != 0 {
		f.held <- addr
		<-ctx.Done()
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnreachable, failure.Unknown)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !m.Introduction && m.WaitMs == 0 {
		f.handed++
	}
	f.streams[addr] += len(m.Streams.GetStream())
	f.crashes[addr] += len(m.Quarantine)
	return &pb.Response{Body: &pb.Response_FleetView{FleetView: &pb.FleetView{Epoch: 1, Version: 1, HomeRegion: testRegions[controlDomains[addr]], HomeDomain: controlDomains[addr]}}}, nil
}

// TestStoppingHostHandsOver guards against origins of streams and evidence of crashes that wait for the
// next sync request when their host stops, and are lost with it.
func TestStoppingHostHandsOver(t *testing.T) {
	for _, c := range []struct {
		name             string
		streams, crashes int
		down             []string // when the host stops
		to               []string // control hosts of which one must receive everything; nil for no message at all
	}{
		{"nothing", 0, 0, nil, nil},
		{"an origin", 1, 0, nil, []string{"c-w1"}},
		{"a crash", 0, 1, nil, []string{"c-w1"}},
		{"more than a message holds", 5000, 300, nil, []string{"c-w1"}},
		{"the nearest control host is down", 1, 1, []string{"c-w1"}, []string{"c-w2", "c-e1"}},
		{"all control hosts of the region are down", 1, 1, []string{"c-w1", "c-w2"}, []string{"c-e1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				hosts := newFakeControlHosts()
				f.g.o.Peers = hosts
				var list []*pb.ControlHost
				for addr, domain := range controlDomains {
					list = append(list, &pb.ControlHost{Peer: addr, FailureDomain: domain, Heard: true})
				}
				f.g.control.update(list)
				ctx, stop := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func() { ended <- f.g.Run(ctx) }()
				for <-hosts.held != "c-w1" {
				}
				for i := range c.streams {
					f.g.streams.record(streamorigin.Key(fmt.Sprint(i)), streamorigin.Origin{Service: "llm", Release: "v1"}, f.clock.Now())
				}
				for i := range c.crashes {
					f.g.o.CrashWatch.RecordCrash(quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: "s", StartID: 1}}, quarantine.Subjects{Request: quarantine.Fingerprint{byte(i), byte(i >> 8)}}, quarantine.Evidence{})
				}
				hosts.mu.Lock()
				for _, addr := range c.down {
					hosts.down[addr] = true
				}
				hosts.mu.Unlock()
				stop()
				if err := <-ended; err != nil {
					t.Fatal(err)
				}
				hosts.mu.Lock()
				defer hosts.mu.Unlock()
				if c.to == nil {
					if hosts.handed > 0 {
						t.Errorf("%d messages, though there is nothing to hand over", hosts.handed)
					}
					return
				}
				if !slices.ContainsFunc(c.to, func(addr string) bool { return hosts.streams[addr] == c.streams && hosts.crashes[addr] == c.crashes }) {
					t.Errorf("received %v origins and %v records of crashes, want %d and %d at one of %v", hosts.streams, hosts.crashes, c.streams, c.crashes, c.to)
				}
			})
		})
	}
}
