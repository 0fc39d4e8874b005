package control

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// wholeFleet is the control hosts of several regions, which exchange views by hand.
type wholeFleet struct {
	t      *testing.T
	clock  *handClock
	fleets map[string]*Fleet // by peer address
	down   map[string]bool
	hosts  []*pb.FleetHost
	told   int // messages of the last round
	far    int // of these, to other regions
}

func newWholeFleet(t *testing.T, regions, domains, controls, hosts int) *wholeFleet {
	t.Helper()
	w := &wholeFleet{t: t, clock: &handClock{now: time.Unix(1000, 0)}, fleets: map[string]*Fleet{}, down: map[string]bool{}}
	of := map[string]string{}
	for r := range regions {
		for d := range domains {
			of[fmt.Sprintf("r%dd%d", r, d)] = fmt.Sprint("r", r)
		}
	}
	var seeds []string
	for r := range regions {
		seeds = append(seeds, fmt.Sprintf("r%dd0c0", r))
	}
	for domain, region := range of {
		for c := range controls {
			addr := fmt.Sprintf("%sc%d", domain, c)
			w.fleets[addr] = newFleetAt(t, w.clock, addr, domain, region, of, seeds)
		}
		for h := range hosts {
			w.hosts = append(w.hosts, &pb.FleetHost{Id: fmt.Sprintf("%sh%d", domain, h), Peer: fmt.Sprintf("%sh%d:7", domain, h), Region: region, FailureDomain: domain, Ready: true})
		}
	}
	return w
}

func newFleetAt(t testing.TB, clock port.Clock, addr, domain, region string, regions map[string]string, seeds []string) *Fleet {
	t.Helper()
	r, err := NewReplica(Options{
		Identity: port.Identity{Store: addr + ".0"}, Host: addr, Region: region, FailureDomain: domain, Generation: 1,
		Members: []*pb.RaftMember{{Id: seeds[0] + ".0", Address: seeds[0]}}, Signer: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
		Tick: time.Millisecond, SnapshotEvery: 100, Journal: &memoryJournal{}, State: &port.JournalState{}, Peers: noPeers{}, Engines: &engines{}, Clock: clock, Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return NewFleet(FleetOptions{
		Peer: addr, Operator: "http://" + addr, Region: region, FailureDomain: domain, Regions: regions, Seeds: seeds,
		ServerLease: time.Hour, Peers: noPeers{}, Clock: clock, Log: logr.Discard(),
	}, r)
}

// round lets every entry host present itself to a control host of its failure domain, and all
// control hosts tell each other, as happens in an exchange's interval.
func (w *wholeFleet) round() {
	w.clock.advance(exchangeInterval)
	w.told, w.far = 0, 0
	for i, h := range w.hosts {
		for c := range 4 {
			f := w.fleets[fmt.Sprintf("%sc%d", h.FailureDomain, (i+c)%4)]
			if f != nil && !w.down[f.o.Peer] {
				f.sync(context.Background(), &pb.FleetSync{Host: h, Primary: true})
				break
			}
		}
	}
	for from, f := range w.fleets {
		if w.down[from] {
			continue
		}
		f.mu.Lock()
		f.reg.Expire(w.clock.Now().Add(-exchangeInterval), w.clock.Now())
		f.refreshControlsLocked(w.clock.Now())
		f.mu.Unlock()
		for _, addr := range f.others() {
			w.tell(f, addr)
		}
	}
}

func (w *wholeFleet) tell(f *Fleet, addr string) {
	to := w.fleets[addr]
	if to == nil {
		f.exchangeFor(addr) // reached by nobody
		return
	}
	w.told++
	if to.o.Region != f.o.Region {
		w.far++
	}
	x, next := f.exchangeFor(addr)
	if w.down[addr] || !to.takeExchange(proto.Clone(x).(*pb.ControlExchange)) {
		next = told{prompts: f.told[addr].prompts}
	}
	f.told[addr] = next
}

// settle lets the control hosts find each other.
func (w *wholeFleet) settle() {
	w.t.Helper()
	const settleRounds = 10 // 3 s
	for range settleRounds {
		w.round()
	}
	if err := w.known(len(w.hosts), len(w.fleets)); err != nil {
		w.t.Fatal(err)
	}
}

// known checks what every control host that is up knows of hosts and control hosts.
func (w *wholeFleet) known(hosts, controls int) error {
	for addr, f := range w.fleets {
		if w.down[addr] {
			continue
		}
		now := w.clock.Now()
		if n := len(f.reg.Hosts(now)); n != hosts {
			return fmt.Errorf("%s knows %d entry hosts, want %d", addr, n, hosts)
		}
		if n := len(f.reg.Controls(now)); n != controls-1 {
			return fmt.Errorf("%s knows %d other control hosts, want %d", addr, n, controls-1)
		}
	}
	return nil
}

// TestSpeakersTellOtherRegions has three regions of two failure domains with four control
// hosts each: one of each failure domain tells the other regions of all its entry hosts and
// control hosts. Each of 24 told each other one before: 552 messages an interval.
func TestSpeakersTellOtherRegions(t *testing.T) {
	w := newWholeFleet(t, 3, 2, 4, 10)
	w.settle()
	for range 20 {
		w.round()
		if err := w.known(60, 24); err != nil {
			t.Fatalf("all was known, and then: %v", err)
		}
	}
	const inRegion, elsewhere = 24 * 7, 6 * 16
	if w.far != elsewhere || w.told != inRegion+elsewhere {
		t.Errorf("%d messages an interval, %d of them between regions; want %d and %d", w.told, w.far, inRegion+elsewhere, elsewhere)
	}
	for _, h := range w.fleets["r1d1c2"].reg.Hosts(w.clock.Now()) {
		if age := w.clock.Now().Sub(h.LastSeen); age > hostLease/2 {
			t.Errorf("%s was heard %s ago", h.ID, age)
		}
	}
}

// TestSpeakerIsLost takes speakers away: the others of their failure domains speak before the
// entry hosts there count as gone for longer than an exchange or two.
func TestSpeakerIsLost(t *testing.T) {
	w := newWholeFleet(t, 3, 2, 4, 10)
	w.settle()
	w.down["r0d0c0"], w.down["r1d0c0"] = true, true
	for range 5 {
		w.round()
	}
	if n := len(w.fleets["r2d0c3"].reg.Hosts(w.clock.Now())); n != 60 {
		t.Errorf("1.5 s after the loss another region knows %d entry hosts of 60", n)
	}
	for range 10 {
		w.round()
	}
	if err := w.known(60, 22); err != nil {
		t.Error(err)
	}
	w.down = map[string]bool{}
	w.settle()
}

// TestNewsCrossesRegionsThroughSpeakers follows what control hosts that do not speak have
// heard: a server of another region that announced itself to one, and where a prompt went.
func TestNewsCrossesRegionsThroughSpeakers(t *testing.T) {
	w := newWholeFleet(t, 3, 2, 4, 2)
	w.settle()
	f := w.fleets["r0d1c3"]
	if to, err := f.Announce(registry.Server{ID: "s", Service: "llm", Address: "10.0.0.1:1", FailureDomain: "r1d0", Sequence: 1, Slots: 8}); err != nil || w.fleets[to[len("http://"):]].o.FailureDomain != "r1d0" {
		t.Errorf("the server is told to announce itself to %q, %v", to, err)
	}
	f.mu.Lock()
	f.prompts.Add("r0d1h0", []holders.Place{{Chain: 7, Server: 70}})
	f.mu.Unlock()
	for range 4 {
		w.round()
	}
	for _, addr := range []string{"r1d0c0", "r1d1c3"} {
		other := w.fleets[addr]
		if s := other.reg.Server("s"); s == nil || s.Gone {
			t.Errorf("%s does not know the server", addr)
		}
		if places, _ := other.prompts.ForHost("nobody", 0); len(places) != 1 || places[0].Server != holders.Key("r0") {
			t.Errorf("%s knows of prompts at %v", addr, places)
		}
	}
	if places, _ := w.fleets["r0d0c2"].prompts.ForHost("nobody", 0); len(places) != 1 || places[0].Server != 70 {
		t.Errorf("in its own region prompts are at %v", places)
	}
}

// TestStoppingHostIsKnownAfterADelay tells another control host of an entry host in a message
// that is long under way, as over a link that is being opened, while the entry host begins to
// stop. The delayed message seemed to be newer than the one that followed, whose record was
// passed over; the host then counted as ready elsewhere until it was gone, was sent forwards
// for seven seconds, and cut them when its time was over.
func TestStoppingHostIsKnownAfterADelay(t *testing.T) {
	w := newWholeFleet(t, 2, 1, 1, 1)
	from, to := w.fleets["r0d0c0"], w.fleets["r1d0c0"]
	there := slices.IndexFunc(w.hosts, func(h *pb.FleetHost) bool { return h.FailureDomain == "r0d0" })
	h := proto.Clone(w.hosts[there]).(*pb.FleetHost)
	present := func(ready bool) {
		h.Ready = ready
		from.sync(context.Background(), &pb.FleetSync{Host: h, Primary: true})
	}
	tell := func(delay time.Duration) {
		x, next := from.exchangeFor("r1d0c0")
		w.clock.advance(delay)
		if !to.takeExchange(proto.Clone(x).(*pb.ControlExchange)) {
			next = told{}
		}
		from.told["r1d0c0"] = next
	}
	present(true)
	tell(500 * time.Millisecond)
	w.clock.advance(-400 * time.Millisecond) // the next presentation came while it was under way
	present(false)
	tell(80 * time.Millisecond)
	for range 4 {
		w.clock.advance(250 * time.Millisecond)
		present(false)
		tell(80 * time.Millisecond)
	}
	for _, known := range to.reg.Hosts(w.clock.Now()) {
		if known.ID == h.Id && known.Ready {
			t.Error("a host that has been stopping for a second counts as ready")
		}
	}
}

// TestQuotaPartsAddUp adds up the parts of all quotas that the control hosts give out: never
// more than the whole. Several control hosts of a failure domain share its part by how many of
// them they hear, so that each takes the whole of it while they do not hear each other.
func TestQuotaPartsAddUp(t *testing.T) {
	w := newWholeFleet(t, 3, 2, 4, 1)
	check := func(when string) {
		t.Helper()
		sum := 0.0
		for _, f := range w.fleets {
			if share, active := f.replica.quotaShare(w.clock.Now()); active {
				sum += share
			}
		}
		if sum > 1.001 {
			t.Errorf("%s: parts of %.2f in all", when, sum)
		}
	}
	check("before they have heard each other")
	w.settle()
	check("all hear each other")
	w.down["r0d0c1"] = true // cut off from the others, and still giving out
	for range 20 {
		w.round()
	}
	check("one is cut off for 6 s")
}
