package entry

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/app/crashwatch"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// slowPeers answer only calls that go on when stopped is closed.
type slowPeers struct {
	noPeers
	stopped chan struct{}

	mu      sync.Mutex
	leaving map[string]bool // addresses that received the leave of a server
	crashes map[string]bool // addresses that received a record of crashes
	calls   int             // answered
}

func (p *slowPeers) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	select {
	case <-p.stopped:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnreachable, failure.Unknown)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	for _, s := range req.GetDomainUpdate().GetServers() {
		p.leaving[addr] = p.leaving[addr] || s.Leaving
	}
	p.crashes[addr] = p.crashes[addr] || len(req.GetQuarantineUpdate().GetRecords()) > 0
	return &pb.Response{}, nil
}

// TestStoppingHostHandsOver guards against the leave of a server and evidence of crashes that are lost with
// their host, because it gives up its calls when it stops.
func TestStoppingHostHandsOver(t *testing.T) {
	for _, known := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { testHandOver(t, known) })
	}
}

func testHandOver(t *testing.T, known bool) {
	const other = "127.0.0.3:1"
	peers := &slowPeers{stopped: make(chan struct{}), leaving: map[string]bool{}, crashes: map[string]bool{}}
	watch := crashwatch.New(crashwatch.Options{AnnounceEvery: time.Second, Clock: port.SystemClock{}, Log: logr.Discard(), Metrics: metrics.New(false)})
	h := newTestHost(t, nil, peers, func(o *Options) { o.CrashWatch, o.Control = watch, []string{"control"} })
	record := strings.Replace(testRecord(), `"hosts":[`, `"hosts":[{"id":"h2","region":"r","failure_domain":"f","peer":"127.0.0.3:1","caller":"http://127.0.0.3:2"},`, 1)
	if err := h.install(blob(2, record)); err != nil {
		t.Fatal(err)
	}
	h.members.RecordContact("h2", 1, false, time.Now())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	if known {
		h.Announce(&pb.BackendState{Id: "s0", Address: "127.0.0.1:9000", Kind: "engine", Models: []string{"m"}, Slots: 100, Incarnation: 1, Sequence: 2, Leaving: true})
		watch.RecordCrash(quarantine.ConnectionBreak{Process: quarantine.ServerProcess{ID: "s1", StartID: 1}}, quarantine.Subjects{}, quarantine.Evidence{})
	}
	stop()
	close(peers.stopped)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if peers.leaving[other] != known {
		t.Errorf("the leave of a server was received: %v, want %v", peers.leaving[other], known)
	}
	for _, addr := range []string{other, "control"} {
		if peers.crashes[addr] != known {
			t.Errorf("%s received the record of a crash: %v, want %v", addr, peers.crashes[addr], known)
		}
	}
	if !known && peers.calls > 0 {
		t.Errorf("%d calls, though there is nothing to hand over", peers.calls)
	}
}
