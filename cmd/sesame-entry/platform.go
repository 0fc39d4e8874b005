package main

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/sesamefork/sesamefork/internal/adapter/logging"
	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/adapter/peerlink"
	"github.com/sesamefork/sesamefork/internal/adapter/settings"
	"github.com/sesamefork/sesamefork/internal/adapter/tracing"
	"github.com/sesamefork/sesamefork/internal/app/gateway"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/daemon"
	"github.com/sesamefork/sesamefork/internal/port"
	"github.com/sesamefork/sesamefork/platform"
)

// runPlatform runs the host with the platform interface: it discovers other hosts through the
// control hosts and forwards requests as received.
func runPlatform(path string, s *settings.Entry) error {
	out := logging.NewBounded(os.Stdout, s.Log.Level)
	defer out.Close()
	log := out.WithValues("host", s.Host.ID)
	link, err := linkOptions(s)
	if err != nil {
		return err
	}
	m := metrics.New(true)
	m.Gauge("log_dropped_over_rate", func() any { n, _ := out.Dropped(); return n })
	m.Gauge("log_dropped_slow_output", func() any { _, n := out.Dropped(); return n })
	plan := daemon.NewMemoryPlan(s.Limits.MemoryMB, s.Limits.MaxFiles, log, m.Gauge)
	answers := plan.Answers()
	link.Forwards, link.MaxHandshakes = plan.Forwards(), plan.Handshakes()
	link.Count, link.Metrics, link.Log, link.LeaveTimeout, link.Budget = m.LinkBytes, m, log, drainTime(s), answers
	var g *gateway.Gateway
	link.PeerLeaves = func(addr string) { g.RecordPeerLeaving(addr) } // links are opened by the gateway
	client := peerlink.NewClient(link)
	defer client.Close()
	tracer, err := tracing.New(s.Trace, s.Host, "sesame-entry")
	if err != nil {
		return err
	}
	defer tracer.Shutdown()
	disabled, fault := dispatch.ParseMechanisms(s.Experiments.Off)
	if fault != nil {
		return fault
	}
	servers := platform.NewServersWithin(daemon.HostIP(s.Listen.Peer), answers)
	crashes := newCrashWatch(s, time.Duration(s.Fleet.HeartbeatMS)*time.Millisecond, m, log)
	g = gateway.New(gateway.Options{
		Host: s.Host.ID, Region: s.Host.Region, FailureDomain: s.Host.FailureDomain,
		Peer: s.Fleet.PeerAddress(s.Listen.Peer), Caller: s.Listen.Caller, Seeds: s.Fleet.PeerSeeds(), Regions: s.Fleet.Regions,
		Retries:       retry.SharedBudgetOptions{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: seconds(s.Retries.WindowS)},
		AnnounceEvery: time.Duration(s.Fleet.HeartbeatMS) * time.Millisecond, VerifyKey: s.Link.PublicKey(), Peers: client, CloseLink: client.CloseSession, Backends: servers,
		CrashWatch: crashes,
		Clock:      port.SystemClock{}, ReadPrompt: platform.ReadPrompt, Random: rand.Float64, Off: disabled, OrderOff: s.Overload.Order == settings.OrderOff, Tracer: tracer, Log: log, Metrics: m, AnswerBudget: answers,
	})
	m.Gauge("version", func() any { return g.Version() })
	m.Gauge("config_staleness_ms", func() any { return g.ConfigStaleness().Milliseconds() })
	m.Gauge("inflight", func() any { return g.Inflight() })
	m.Gauge("learned_speeds", func() any { return g.Speeds() })
	m.Gauge("admission", func() any { return g.Admission() })
	return servePlatform(path, s, g, servers, link, plan, log)
}

// Shares of the connections of callers, by address.
const (
	callerShare = 3.0 / 4
	readyShare  = 1.0 / 8
	debugShare  = 1.0 / 8
)

// headLimits returns the limits of the configuration in force on the heads of callers' requests.
func headLimits(g *gateway.Gateway) daemon.HeadLimits {
	l := g.Limits()
	return daemon.HeadLimits{
		MaxBytes: l.MaxHeaderBytes, Timeout: time.Duration(l.HeaderTimeoutMS) * time.Millisecond,
		IdleTimeout: time.Duration(l.IdleTimeoutMS) * time.Millisecond,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// statusAnswerTime is the time in which questions for the host's state are answered when it stops.
const statusAnswerTime = 100 * time.Millisecond

// servePlatform serves until a signal, then drains.
func servePlatform(path string, s *settings.Entry, g *gateway.Gateway, servers *platform.Servers, link peerlink.Options, plan *daemon.MemoryPlan, log logr.Logger) error {
	stop, _ := daemon.Signals()
	peers, err := daemon.RetryListen(stop, log, s.Listen.Peer, func() (*peerlink.Server, error) {
		return peerlink.NewServer(s.Listen.Peer, link, g, log)
	})
	if err != nil {
		return err
	}
	callers := &platform.Callers{Gateway: g, Log: log}
	callerServer, err := daemon.ListenForCallers(stop, log, s.Listen.Caller, callers, nil)
	if err != nil {
		return err
	}
	callerServer.LateHandler = callers.DrainingHandler()
	callerServer.Memory, callerServer.Limits = plan.Connections("callers", callerShare, true), func() daemon.HeadLimits { return headLimits(g) }
	ready, err := daemon.ListenForCallers(stop, log, s.Listen.Ready, platform.Ready(g), nil)
	if err != nil {
		return err
	}
	ready.Memory = plan.Connections("ready", readyShare, false)
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	daemon.OnReload(serving, func() { reload(path, g, log) })
	group, ctx := errgroup.WithContext(serving)
	group.Go(func() error { return g.Run(ctx) })
	group.Go(func() error { return servers.Run(ctx) })
	serveLinks, leaveLinks := context.WithCancel(ctx)
	defer leaveLinks()
	linksEnded := make(chan struct{})
	group.Go(func() error { defer close(linksEnded); return peers.Run(serveLinks) })
	group.Go(callerServer.Serve)
	group.Go(func() error { return daemon.Serve(ctx, ready, statusAnswerTime) })
	if s.Listen.Debug != "" {
		group.Go(func() error {
			return daemon.ServeOnceListening(ctx, log, s.Listen.Debug, daemon.DebugHandler(), statusAnswerTime, plan.Connections("debug", debugShare, false))
		})
	}
	log.Info("started", "caller", s.Listen.Caller, "peer", s.Listen.Peer)
	select {
	case <-stop.Done():
	case <-ctx.Done():
	}
	drainPlatform(s, g, callerServer, leaveLinks, log)
	<-linksEnded
	stopServing()
	err = group.Wait()
	log.Info("stopped")
	return err
}

// Fractions of the grace period, the time from SIGTERM until the process is killed.
const (
	// acceptShare is the part in which the host still accepts callers' requests, until callers
	// have been notified of the stop and use other hosts.
	acceptShare = 0.3
	// drainShare is the part after which the drain ends; the rest is for the exit itself.
	drainShare = 0.92
)

// drainTime returns the time from SIGTERM in which the requests in flight and the links from other hosts must end.
func drainTime(s *settings.Entry) time.Duration {
	return time.Duration(drainShare * float64(seconds(s.Limits.GraceS)))
}

// drainPlatform removes the host from the lists of hosts and leaves the links from other hosts, which then use others
// of the region. It accepts callers' requests for a while longer and waits for those in flight.
func drainPlatform(s *settings.Entry, g *gateway.Gateway, callerServer *daemon.CallerServer, leaveLinks func(), log logr.Logger) {
	deadline, cancel := context.WithTimeout(context.Background(), drainTime(s))
	defer cancel()
	g.Drain(drainTime(s))
	leaveLinks()
	callerServer.StartDraining()
	log.Info("draining", "inflight", g.Inflight())
	accept := time.NewTimer(time.Duration(acceptShare * float64(seconds(s.Limits.GraceS))))
	defer accept.Stop()
	<-accept.C
	if cut := callerServer.Finish(deadline); cut > 0 {
		log.Info("requests cut by the shutdown", "connections", cut, "inflight", g.Inflight())
	}
}

// reload reads the settings file again and applies its seeds.
func reload(path string, g *gateway.Gateway, log logr.Logger) {
	next := settings.DefaultEntry()
	if err := settings.Load(path, next); err != nil {
		log.Info("changed settings rejected; the previous settings stay in force", "reason", err.Error())
		return
	}
	g.SetSeeds(next.Fleet.PeerSeeds())
	log.Info("settings read again", "seeds", next.Fleet.Seeds)
}
