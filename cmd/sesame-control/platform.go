package main

import (
	"context"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/adapter/enginehttp"
	"github.com/sesamefork/sesamefork/internal/adapter/journal"
	"github.com/sesamefork/sesamefork/internal/adapter/logging"
	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/peerlink"
	"github.com/sesamefork/sesamefork/internal/adapter/settings"
	"github.com/sesamefork/sesamefork/internal/app/control"
	"github.com/sesamefork/sesamefork/internal/clientmem"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/daemon"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
	"github.com/sesamefork/sesamefork/platform"
)

// runPlatform runs the replica with the platform interface: the group is formed from the seeds,
// replaces lost replicas itself, and hosts register themselves.
func runPlatform(s *settings.Control) error {
	out := logging.NewBounded(os.Stdout, s.Log.Level)
	defer out.Close()
	log := out.WithValues("host", s.Host.ID)
	j, state, err := openStoreWithRetry(s, log)
	if err != nil {
		return err
	}
	defer func() { _ = j.Close() }()
	key, err := s.Link.HostKey()
	if err != nil {
		return err
	}
	signer, err := s.Group.PrivateKey()
	if err != nil {
		return err
	}
	m := metrics.New(true)
	m.Gauge("log_dropped_over_rate", func() any { n, _ := out.Dropped(); return n })
	m.Gauge("log_dropped_slow_output", func() any { _, n := out.Dropped(); return n })
	plan := daemon.NewMemoryPlan(s.Limits.MemoryMB, s.Limits.MaxFiles, log, m.Gauge)
	link := peerlink.Options{MaxHandshakes: plan.Handshakes(), Key: key, KeepAlive: s.Link.KeepAlive(), Local: daemon.HostIP(s.Listen.Peer), LeaveTimeout: leaveTimeout(s.Link.KeepAlive()), Count: m.LinkBytes, Metrics: m, Log: log}
	client := peerlink.NewClient(link)
	defer client.Close()
	r, err := control.NewReplica(control.Options{
		Identity: state.Identity, Host: s.Host.ID, Region: s.Host.Region, FailureDomain: s.Host.FailureDomain,
		Generation: s.Group.Generation, Members: founderMembers(state.Identity), Signer: signer,
		Tick: time.Duration(s.Group.TickMS) * time.Millisecond, SnapshotEvery: s.Store.SnapshotEvery,
		MaxOrderDuration: time.Duration(s.Orders.MaxOrderMS) * time.Millisecond, LoadsPerMinute: s.Orders.LoadsPerMinute,
		Seed: randomSeed(), NoOrders: true, QuotaBound: s.Quotas.Bound(), QuotaStore: journal.QuotaStore{FS: journal.OS{}, Dir: s.Store.Dir},
		FirstStart: state.Snapshot == nil && len(state.Entries) == 0, Quarantine: s.Quarantine.Options(s.Host.ID), Journal: j, State: state, Reopen: reopener(s), Peers: client, Engines: enginehttp.New(),
		Clock: port.SystemClock{}, Log: log,
	})
	if err != nil {
		return err
	}
	fleet := control.NewFleet(control.FleetOptions{
		Peer: s.Fleet.PeerAddress(s.Listen.Peer), Operator: s.Listen.Operator, Region: s.Host.Region, FailureDomain: s.Host.FailureDomain,
		Regions: s.Fleet.Regions, Seeds: s.Fleet.PeerSeeds(),
		ServerLease: registry.MissedAnnouncements * time.Duration(s.Fleet.HeartbeatMS) * time.Millisecond,
		Peers:       client, Clock: port.SystemClock{}, Log: log,
	}, r)
	m.Gauge("staleness_ms", func() any { return r.Staleness().Milliseconds() })
	m.Gauge("version", func() any { return r.Accepted().Stamp.Version })
	return servePlatform(s, r, fleet, link, plan, log)
}

// Shares of the connections of clients, by address.
const (
	operatorShare  = 1.0 / 2
	directoryShare = 3.0 / 8
	debugShare     = 1.0 / 8
)

// openStoreWithRetry opens the store, and retries while the disk reports errors.
func openStoreWithRetry(s *settings.Control, log logr.Logger) (*journal.Journal, *port.JournalState, error) {
	for logged := false; ; time.Sleep(control.StoreRetryInterval) {
		j, state, err := openStore(s, log)
		if !failure.Is(err, failure.JournalFailed) {
			return j, state, err
		}
		if !logged {
			log.Info("store cannot be opened; retrying", "reason", err.Error())
			logged = true
		}
	}
}

// reopener returns a function that opens the store again after its journal failed.
func reopener(s *settings.Control) func() (port.Journal, *port.JournalState, error) {
	return func() (port.Journal, *port.JournalState, error) {
		return journal.Reopen(journal.OS{}, s.Store.Dir, s.Host.ID)
	}
}

// openStore opens the data folder, and formats it if it is empty. Only a store that is formatted
// at the fleet's first start is a founder of the group; any later one has no vote until the
// group has added it.
func openStore(s *settings.Control, log logr.Logger) (*journal.Journal, *port.JournalState, error) {
	formatted, err := journal.IsFormatted(journal.OS{}, s.Store.Dir)
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.JournalFailed, "")
	}
	if !formatted {
		ownAddress := s.Fleet.PeerAddress(s.Listen.Peer)
		id := port.Identity{Group: groupID(s), Store: randomStoreID(ownAddress), Host: s.Host.ID}
		if seeds := s.Fleet.PeerSeeds(); s.Fleet.FormGroup && slices.Contains(seeds, ownAddress) {
			id.Store = founderStoreID(ownAddress)
			for _, addr := range seeds {
				id.Founders = append(id.Founders, port.Founder{Store: founderStoreID(addr), Address: addr})
			}
		}
		if err := journal.Format(journal.OS{}, s.Store.Dir, id); err != nil {
			return nil, nil, err
		}
		log.Info("empty data folder formatted", "store", id.Store, "founder", len(id.Founders) > 0)
	}
	j, state, err := journal.Open(journal.OS{}, s.Store.Dir, s.Host.ID)
	if err != nil {
		return nil, nil, err
	}
	if state.CutBytes > 0 {
		log.Info("torn tail truncated", "bytes", state.CutBytes)
	}
	return j, state, nil
}

func founderMembers(id port.Identity) []*pb.RaftMember {
	var out []*pb.RaftMember
	for _, f := range id.Founders {
		out = append(out, &pb.RaftMember{Id: f.Store, Address: f.Address})
	}
	return out
}

func regionList(domains map[string]string) []configstate.Region {
	byName := map[string][]string{}
	for d, r := range domains {
		byName[r] = append(byName[r], d)
	}
	var out []configstate.Region
	for name, list := range byName {
		slices.Sort(list)
		out = append(out, configstate.Region{Name: name, FailureDomains: list})
	}
	slices.SortFunc(out, func(a, b configstate.Region) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// servePlatform serves peers, operators and callers' look-ups until a signal.
func servePlatform(s *settings.Control, r *control.Replica, fleet *control.Fleet, link peerlink.Options, plan *daemon.MemoryPlan, log logr.Logger) error {
	ctx, _ := daemon.Signals()
	peers, err := daemon.RetryListen(ctx, log, s.Listen.Peer, func() (*peerlink.Server, error) {
		return peerlink.NewServer(s.Listen.Peer, link, r, log)
	})
	if err != nil {
		return err
	}
	daemon.OnReload(ctx, func() { log.Info("settings are not reloaded; changes take effect at the next start") })
	handlers := map[string]struct {
		http.Handler
		mem *clientmem.Budget
	}{
		s.Listen.Operator:  {platform.NewControl(r, fleet, regionList(s.Fleet.Regions), log), plan.Connections("operators", operatorShare, true)},
		s.Listen.Directory: {platform.NewDirectory(fleet), plan.Connections("directory", directoryShare, false)},
	}
	p := &parts{replica: r, fleet: fleet, peers: peers}
	if s.Listen.Debug != "" {
		router := mux.NewRouter()
		operatorhttp.MountQuarantine(router, r, log)
		operatorhttp.MountQuotas(router, r)
		operatorhttp.MountFleet(router, fleet)
		router.NotFoundHandler = daemon.DebugHandler()
		p.debug = func(ctx context.Context) error {
			return daemon.ServeOnceListening(ctx, log, s.Listen.Debug, router, answerTime, plan.Connections("debug", debugShare, false))
		}
	}
	for addr, h := range handlers {
		srv, err := daemon.ListenForCallers(ctx, log, addr, h.Handler, nil)
		if err != nil {
			return err
		}
		srv.Memory = h.mem
		p.servers = append(p.servers, srv)
	}
	log.Info("started", "store", r.Store(), "version", r.Accepted().Stamp.Version, "peer", s.Listen.Peer)
	err = p.run(ctx)
	log.Info("stopped")
	return err
}
