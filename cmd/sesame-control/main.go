// Command sesame-control runs one replica of the control group, which holds the replicated
// configuration log and serves the operators' HTTP interface.
package main

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/adapter/enginehttp"
	"github.com/sesamefork/sesamefork/internal/adapter/journal"
	"github.com/sesamefork/sesamefork/internal/adapter/logging"
	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/peerlink"
	"github.com/sesamefork/sesamefork/internal/adapter/settings"
	"github.com/sesamefork/sesamefork/internal/app/control"
	"github.com/sesamefork/sesamefork/internal/daemon"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

func main() {
	var f daemon.Flags
	format := flag.Bool("format", false, "form the group: create this host's first store in the empty data folder and exit")
	daemon.ParseFlags(flag.CommandLine, &f)
	s := settings.DefaultControl()
	if err := settings.Load(f.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemon.ExitSettings)
	}
	if f.Check {
		return
	}
	if err := run(s, *format); err != nil {
		logging.New(os.Stderr, 0).Error(err, "stopped", "code", string(failure.As(err, "").Code))
		os.Exit(daemon.ExitFailure)
	}
}

// groupID returns the group with its generation. A data folder of another group is rejected.
func groupID(s *settings.Control) string {
	return fmt.Sprintf("%s.%d", s.Group.ID, s.Group.Generation)
}

// founderStoreID returns the ID of a host's store when the group is formed.
func founderStoreID(host string) string { return host + ".0" }

// randomStoreID returns a new ID for a store that is no founder of the group, such as one that
// was formatted because the data folder was empty. It has no vote until it is added to the
// group.
func randomStoreID(host string) string {
	b := make([]byte, 6)
	_, _ = rand.Read(b)
	return host + "." + hex.EncodeToString(b)
}

func run(s *settings.Control, format bool) error {
	if s.Interface == settings.InterfacePlatform {
		return runPlatform(s)
	}
	log := logging.New(os.Stderr, s.Log.Level).WithValues("host", s.Host.ID, "region", s.Host.Region, "failure_domain", s.Host.FailureDomain)
	id := port.Identity{Group: groupID(s), Store: founderStoreID(s.Host.ID), Host: s.Host.ID}
	if format {
		return journal.Format(journal.OS{}, s.Store.Dir, id)
	}
	formatted, err := journal.IsFormatted(journal.OS{}, s.Store.Dir)
	if err != nil {
		return failure.Wrap(err, failure.JournalFailed, "")
	}
	if !formatted {
		id.Store = randomStoreID(s.Host.ID)
		if err := journal.Format(journal.OS{}, s.Store.Dir, id); err != nil {
			return err
		}
		log.Info("empty data folder formatted; the store has no vote until it is added", "store", id.Store)
	}
	j, state, err := journal.Open(journal.OS{}, s.Store.Dir, s.Host.ID)
	if err != nil {
		return err
	}
	defer func() { _ = j.Close() }()
	if state.Identity.Group != id.Group {
		return failure.New(failure.JournalForeign, "", "%s belongs to group %s, not %s", s.Store.Dir, state.Identity.Group, id.Group)
	}
	if state.CutBytes > 0 {
		log.Info("torn tail truncated", "bytes", state.CutBytes)
	}
	return serve(s, j, state, log)
}

func randomSeed() int64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return int64(binary.BigEndian.Uint64(b[:]))
}

func configuredMembers(s *settings.Control) []*pb.RaftMember {
	var out []*pb.RaftMember
	for _, m := range s.Group.Members {
		out = append(out, &pb.RaftMember{Id: founderStoreID(m.ID), Address: m.Peer})
	}
	return out
}

func serve(s *settings.Control, j *journal.Journal, state *port.JournalState, log logr.Logger) error {
	key, err := s.Link.HostKey()
	if err != nil {
		return err
	}
	signer, err := s.Group.PrivateKey()
	if err != nil {
		return err
	}
	peerTLS, err := s.TLS.Peer.Source(true)
	if err != nil {
		return err
	}
	operatorTLS, err := s.TLS.Operator.Source(false)
	if err != nil {
		return err
	}
	link := peerlink.Options{Key: key, KeepAlive: s.Link.KeepAlive(), Local: daemon.HostIP(s.Listen.Peer)}
	if peerTLS != nil {
		link.TLS = peerTLS.Config
	}
	m := metrics.New(true)
	plan := daemon.NewMemoryPlan(s.Limits.MemoryMB, s.Limits.MaxFiles, log, m.Gauge)
	link.MaxHandshakes = plan.Handshakes()
	link.Count, link.Metrics, link.Log, link.LeaveTimeout = m.LinkBytes, m, log, leaveTimeout(s.Link.KeepAlive())
	client := peerlink.NewClient(link)
	defer client.Close()
	r, err := control.NewReplica(control.Options{
		Identity: state.Identity, Host: s.Host.ID, Region: s.Host.Region, FailureDomain: s.Host.FailureDomain,
		Generation: s.Group.Generation, Members: configuredMembers(s), Signer: signer,
		Tick: time.Duration(s.Group.TickMS) * time.Millisecond, SnapshotEvery: s.Store.SnapshotEvery,
		MaxOrderDuration: time.Duration(s.Orders.MaxOrderMS) * time.Millisecond, LoadsPerMinute: s.Orders.LoadsPerMinute,
		Seed: randomSeed(), QuotaBound: s.Quotas.Bound(), QuotaStore: journal.QuotaStore{FS: journal.OS{}, Dir: s.Store.Dir},
		FirstStart: state.Snapshot == nil && len(state.Entries) == 0, Quarantine: s.Quarantine.Options(s.Host.ID), Journal: j, State: state, Reopen: reopener(s), Peers: client, Engines: enginehttp.New(),
		Clock: port.SystemClock{}, Log: log,
	})
	if err != nil {
		return err
	}
	m.Gauge("version", func() any { return r.Accepted().Stamp.Version })
	m.Gauge("halted", func() any { return r.Halted() != nil })
	stop, _ := daemon.Signals()
	peers, err := daemon.RetryListen(stop, log, s.Listen.Peer, func() (*peerlink.Server, error) {
		return peerlink.NewServer(s.Listen.Peer, link, r, log)
	})
	if err != nil {
		return err
	}
	handler := operatorhttp.New(r, s.Group.BootstrapOperatorHash, log)
	operators, err := daemon.ListenForCallers(stop, log, s.Listen.Operator, handler, operatorTLS.Server())
	if err != nil {
		return err
	}
	operators.Memory = plan.Connections("operators", operatorShare+directoryShare+debugShare, true)
	log.Info("started", "store", state.Identity.Store, "version", r.Accepted().Stamp.Version)
	p := &parts{replica: r, peers: peers, servers: []*daemon.CallerServer{operators}}
	return p.run(stop)
}
