package control

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/quotashare"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// simulatedFleet is the control hosts of several regions. The test itself delivers their exchanges.
type simulatedFleet struct {
	t           *testing.T
	clock       *manualClock
	fleets      map[string]*Fleet // by peer address
	down        map[string]bool
	hosts       []*pb.FleetHost
	messages    int // exchanges of the last round
	crossRegion int // those of them to other regions
	// planner and shares are those of the leader of the simulated control group.
	planner *quotashare.Planner
	shares  *pb.IssuerShares
}

func newSimulatedFleet(t *testing.T, regions, domains, controls, hosts int) *simulatedFleet {
	t.Helper()
	w := &simulatedFleet{t: t, clock: &manualClock{now: time.Unix(1000, 0)}, fleets: map[string]*Fleet{}, down: map[string]bool{}}
	regionOf := map[string]string{}
	for r := range regions {
		for d := range domains {
			regionOf[fmt.Sprintf("r%dd%d", r, d)] = fmt.Sprint("r", r)
		}
	}
	var seeds []string
	for r := range regions {
		seeds = append(seeds, fmt.Sprintf("r%dd0c0", r))
	}
	for domain, region := range regionOf {
		for c := range controls {
			addr := fmt.Sprintf("%sc%d", domain, c)
			w.fleets[addr] = newFleetAt(t, w.clock, addr, domain, region, regionOf, seeds)
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

// round lets every entry host send a sync request to a control host of its failure domain, and all
// control hosts exchange messages, as happens once per exchangeInterval.
func (w *simulatedFleet) round() {
	w.clock.advance(exchangeInterval)
	w.messages, w.crossRegion = 0, 0
	for i, h := range w.hosts {
		for c := range 4 {
			f := w.fleets[fmt.Sprintf("%sc%d", h.FailureDomain, (i+c)%4)]
			if f != nil && !w.down[f.o.Peer] {
				f.handleSync(context.Background(), &pb.FleetSync{Host: h, Primary: true})
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
		for _, addr := range f.exchangeTargets() {
			w.sendExchange(f, addr)
		}
	}
	w.planShares()
}

// planShares lets the leader plan the next table of quota shares, and the control hosts that are up apply it.
func (w *simulatedFleet) planShares() {
	now := w.clock.Now()
	v := quotashare.View{Applied: func(store string) bool { return !w.down[strings.TrimSuffix(store, ".0")] }}
	for addr, f := range w.fleets {
		if !slices.Contains(v.FailureDomains, f.o.FailureDomain) {
			v.FailureDomains = append(v.FailureDomains, f.o.FailureDomain)
		}
		if !w.down[addr] {
			f.replica.currentAt.Store(&now)
			v.Live = append(v.Live, quotashare.Issuer{Store: f.replica.o.Identity.Store, Address: addr, FailureDomain: f.o.FailureDomain})
			if w.planner == nil {
				w.planner = f.replica.newIssuerPlanner()
			}
		}
	}
	next := w.planner.Next(w.shares, v, now)
	if next == nil {
		return
	}
	w.shares = next
	for addr, f := range w.fleets {
		if !w.down[addr] {
			f.replica.machine.Apply(&pb.Command{IssuerShares: next})
			f.replica.applyIssuerShares(next.Revision)
		}
	}
}

func (w *simulatedFleet) sendExchange(f *Fleet, addr string) {
	to := w.fleets[addr]
	if to == nil {
		f.buildExchange(addr) // unknown address, the message is lost
		return
	}
	w.messages++
	if to.o.Region != f.o.Region {
		w.crossRegion++
	}
	x, next := f.buildExchange(addr)
	if w.down[addr] || !to.applyExchange(proto.Clone(x).(*pb.ControlExchange)) {
		next = exchangeCursor{prompts: f.cursors[addr].prompts}
	}
	f.cursors[addr] = next
}

// converge runs convergeRounds rounds and checks that every control host has all live hosts.
func (w *simulatedFleet) converge() {
	w.t.Helper()
	const convergeRounds = 10 // 3 s
	for range convergeRounds {
		w.round()
	}
	if err := w.checkKnown(len(w.hosts), len(w.fleets)); err != nil {
		w.t.Fatal(err)
	}
}

// checkKnown checks the numbers of entry hosts and control hosts that are live at every control
// host that is up.
func (w *simulatedFleet) checkKnown(hosts, controls int) error {
	for addr, f := range w.fleets {
		if w.down[addr] {
			continue
		}
		now := w.clock.Now()
		if n := len(f.reg.Hosts(now)); n != hosts {
			return fmt.Errorf("%s has %d live entry hosts, want %d", addr, n, hosts)
		}
		if n := len(f.reg.Controls(now)); n != controls-1 {
			return fmt.Errorf("%s has %d other live control hosts, want %d", addr, n, controls-1)
		}
	}
	return nil
}

// TestRepresentativesSendToOtherRegions checks that in three regions of two failure domains with
// four control hosts each, one representative per failure domain sends its entry hosts and control
// hosts to the other regions. Without representatives each of the 24 control hosts sent to every
// other one: 552 messages per interval.
func TestRepresentativesSendToOtherRegions(t *testing.T) {
	w := newSimulatedFleet(t, 3, 2, 4, 10)
	w.converge()
	for range 20 {
		w.round()
		if err := w.checkKnown(60, 24); err != nil {
			t.Fatalf("after all hosts were known: %v", err)
		}
	}
	const inRegion, betweenRegions = 24 * 7, 6 * 16
	if w.crossRegion != betweenRegions || w.messages != inRegion+betweenRegions {
		t.Errorf("%d messages per interval, %d of them between regions; want %d and %d", w.messages, w.crossRegion, inRegion+betweenRegions, betweenRegions)
	}
	for _, h := range w.fleets["r1d1c2"].reg.Hosts(w.clock.Now()) {
		if age := w.clock.Now().Sub(h.LastSeen); age > hostLease/2 {
			t.Errorf("the last sync request of %s is %s old", h.ID, age)
		}
	}
}

// TestRepresentativeFailover stops representatives of failure domains. Others must replace them
// before the entry hosts there count as lost in other regions for longer than one or two exchanges.
func TestRepresentativeFailover(t *testing.T) {
	w := newSimulatedFleet(t, 3, 2, 4, 10)
	w.converge()
	w.down["r0d0c0"], w.down["r1d0c0"] = true, true
	for range 5 {
		w.round()
	}
	if n := len(w.fleets["r2d0c3"].reg.Hosts(w.clock.Now())); n != 60 {
		t.Errorf("1.5 s after the loss another region has %d live entry hosts of 60", n)
	}
	for range 10 {
		w.round()
	}
	if err := w.checkKnown(60, 22); err != nil {
		t.Error(err)
	}
	w.down = map[string]bool{}
	w.converge()
}

// TestStateReachesOtherRegionsThroughRepresentatives announces a server of another region and
// reports a prompt place to a control host that is not a representative. Both must reach the other
// region.
func TestStateReachesOtherRegionsThroughRepresentatives(t *testing.T) {
	w := newSimulatedFleet(t, 3, 2, 4, 2)
	w.converge()
	f := w.fleets["r0d1c3"]
	if to, err := f.Announce(registry.Server{ID: "s", Service: "llm", Address: "10.0.0.1:1", FailureDomain: "r1d0", Sequence: 1, Slots: 8}); err != nil || w.fleets[to[len("http://"):]].o.FailureDomain != "r1d0" {
		t.Errorf("the server is referred to %q, %v", to, err)
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
			t.Errorf("%s does not list the server", addr)
		}
		if places, _ := other.prompts.ForHost("nobody", 0); len(places) != 1 || places[0].Server != holders.Key("r0") {
			t.Errorf("%s has prompt places %v", addr, places)
		}
	}
	if places, _ := w.fleets["r0d0c2"].prompts.ForHost("nobody", 0); len(places) != 1 || places[0].Server != 70 {
		t.Errorf("a control host of the own region has prompt places %v", places)
	}
}

// TestDelayedExchangeDoesNotMaskNotReady delays an exchange, as on a newly opened connection, while
// the entry host that it reports begins to shut down. The delayed message seemed newer than the
// following one, whose record was discarded. The host then counted as ready in other regions until
// its lease ended, received forwards for seven seconds, and cut them off when it stopped.
func TestDelayedExchangeDoesNotMaskNotReady(t *testing.T) {
	w := newSimulatedFleet(t, 2, 1, 1, 1)
	from, to := w.fleets["r0d0c0"], w.fleets["r1d0c0"]
	hostIndex := slices.IndexFunc(w.hosts, func(h *pb.FleetHost) bool { return h.FailureDomain == "r0d0" })
	h := proto.Clone(w.hosts[hostIndex]).(*pb.FleetHost)
	sendSync := func(ready bool) {
		h.Ready = ready
		from.handleSync(context.Background(), &pb.FleetSync{Host: h, Primary: true})
	}
	sendDelayed := func(delay time.Duration) {
		x, next := from.buildExchange("r1d0c0")
		w.clock.advance(delay)
		if !to.applyExchange(proto.Clone(x).(*pb.ControlExchange)) {
			next = exchangeCursor{}
		}
		from.cursors["r1d0c0"] = next
	}
	sendSync(true)
	sendDelayed(500 * time.Millisecond)
	w.clock.advance(-400 * time.Millisecond) // the next sync request arrived while the exchange was delayed
	sendSync(false)
	sendDelayed(80 * time.Millisecond)
	for range 4 {
		w.clock.advance(250 * time.Millisecond)
		sendSync(false)
		sendDelayed(80 * time.Millisecond)
	}
	for _, known := range to.reg.Hosts(w.clock.Now()) {
		if known.ID == h.Id && known.Ready {
			t.Error("a host that has been shutting down for a second counts as ready")
		}
	}
}

// TestSettledFleetGrantsTheWhole checks that the shares of the simulated control hosts are in force, without
// which the sum of TestQuotaPartsAddUp would always be 0.
func TestSettledFleetGrantsTheWhole(t *testing.T) {
	w := newSimulatedFleet(t, 3, 2, 4, 1)
	w.converge()
	sum := 0.0
	for _, f := range w.fleets {
		if share, active := f.replica.quotaShare(w.clock.Now()); active {
			sum += share
		}
	}
	if sum < 0.999 || sum > 1.001 {
		t.Errorf("the control hosts grant %.3f of each quota", sum)
	}
}

// TestQuotaPartsAddUp checks that the parts of all quotas that the control hosts grant never add up
// to more than the whole. Control hosts of one failure domain divide its part by the number of them
// that are live, so each grants the whole part while they receive no messages from each other.
func TestQuotaPartsAddUp(t *testing.T) {
	w := newSimulatedFleet(t, 3, 2, 4, 1)
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
	check("before the first exchange")
	w.converge()
	check("after all have exchanged messages")
	w.down["r0d0c1"] = true // isolated from the others, but still granting units
	for range 20 {
		w.round()
	}
	check("one has been isolated for 6 s")
}
