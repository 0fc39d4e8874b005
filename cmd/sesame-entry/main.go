// Command sesame-entry runs an entry host.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/sesamefork/sesamefork/internal/adapter/backendhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/callerhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/directory"
	"github.com/sesamefork/sesamefork/internal/adapter/enginehttp"
	"github.com/sesamefork/sesamefork/internal/adapter/listenprobe"
	"github.com/sesamefork/sesamefork/internal/adapter/logging"
	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/adapter/peerlink"
	"github.com/sesamefork/sesamefork/internal/adapter/settings"
	"github.com/sesamefork/sesamefork/internal/adapter/tracing"
	"github.com/sesamefork/sesamefork/internal/app/crashwatch"
	"github.com/sesamefork/sesamefork/internal/app/entry"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/daemon"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
	"github.com/sesamefork/sesamefork/internal/port"
)

func main() {
	var f daemon.Flags
	daemon.ParseFlags(flag.CommandLine, &f)
	s := settings.DefaultEntry()
	if err := settings.Load(f.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemon.ExitSettings)
	}
	if f.Check {
		return
	}
	if s.Interface == settings.InterfacePlatform {
		if err := runPlatform(f.Settings, s); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(daemon.ExitFailure)
		}
		return
	}
	log := logging.New(os.Stderr, s.Log.Level).WithValues("host", s.Host.ID, "region", s.Host.Region, "failure_domain", s.Host.FailureDomain)
	cut, err := run(s, log)
	if err != nil {
		log.Error(err, "stopped", "code", string(failure.As(err, "").Code))
		os.Exit(daemon.ExitFailure)
	}
	if len(cut) > 0 {
		log.Info("requests cut by the shutdown", "request_ids", cut)
		os.Exit(daemon.ExitUnfinished)
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// linkOptions returns the options of the peer client and the peer server.
func linkOptions(s *settings.Entry) (peerlink.Options, error) {
	key, err := s.Link.HostKey()
	if err != nil {
		return peerlink.Options{}, err
	}
	o := peerlink.Options{Key: key, KeepAlive: s.Link.KeepAlive(), Local: daemon.HostIP(s.Listen.Peer)}
	source, err := s.TLS.Peer.Source(true)
	if err != nil {
		return o, err
	}
	if source != nil {
		o.TLS = source.Config
	}
	return o, nil
}

func newHost(s *settings.Entry, client *peerlink.Client, backends *enginehttp.Client, answers *membudget.Budget, t *tracing.Tracer, m *metrics.Set, log logr.Logger) *entry.Host {
	crashes := newCrashWatch(s, ms(s.Timing.LeaseMS)/registry.MissedAnnouncements, m, log)
	o := entry.Options{
		ID: s.Host.ID, Region: s.Host.Region, FailureDomain: s.Host.FailureDomain,
		Peer: s.Listen.Peer, Seeds: s.Link.Seeds, Control: s.Link.Control, VerifyKey: s.Link.PublicKey(),
		ProbeInterval: ms(s.Timing.ProbeMS), UpdateInterval: ms(s.Timing.UpdateMS), SummaryInterval: ms(s.Timing.SummaryMS),
		Lease: ms(s.Timing.LeaseMS), Skew: ms(s.Timing.ClockSkewMS), StallTimeout: ms(s.Limits.StallTimeoutMS),
		MaxBody: s.Limits.MaxBodyBytes, MaxExplained: s.Limits.MaxExplained,
		Peers: client, CloseLink: client.CloseSession, Backends: backends, Clock: port.SystemClock{}, CrashWatch: crashes,
		Log: log, Metrics: m, Tracer: t, AnswerBudget: answers,
	}
	if s.Directory.URL != "" {
		o.Directory = &directory.HTTP{URL: s.Directory.URL, Client: directory.NewClient()}
	}
	return entry.New(o)
}

// newCrashWatch returns the detector of requests that crash backend servers. Servers announce
// themselves every announceEvery.
func newCrashWatch(s *settings.Entry, announceEvery time.Duration, m *metrics.Set, log logr.Logger) *crashwatch.Watch {
	w := crashwatch.New(crashwatch.Options{
		Quarantine: s.Quarantine.Options(s.Host.ID), AnnounceEvery: announceEvery,
		Probe: listenprobe.Dialer{Local: daemon.HostIP(s.Listen.Peer)}, Clock: port.SystemClock{}, Log: log, Metrics: m,
	})
	m.Gauge("requests_under_suspicion", func() any { n, _ := w.Sizes(); return n })
	m.Gauge("requests_refused_as_crashing", func() any { _, n := w.Sizes(); return n })
	return w
}

// run serves until a signal, then drains. It returns the IDs of the requests that it aborted.
func run(s *settings.Entry, log logr.Logger) ([]string, error) {
	link, err := linkOptions(s)
	if err != nil {
		return nil, err
	}
	callerTLS, err := s.TLS.Caller.Source(false)
	if err != nil {
		return nil, err
	}
	tracer, err := tracing.New(s.Trace, s.Host, "sesame-entry")
	if err != nil {
		return nil, err
	}
	defer tracer.Shutdown()
	m := metrics.New(true)
	plan := daemon.NewMemoryPlan(s.Limits.MemoryMB, s.Limits.MaxFiles, log, m.Gauge)
	answers := plan.Answers()
	link.Forwards, link.MaxHandshakes = plan.Forwards(), plan.Handshakes()
	link.Count, link.Metrics, link.Log, link.Budget = m.LinkBytes, m, log, answers
	client := peerlink.NewClient(link)
	defer client.Close()
	backends := enginehttp.New()
	defer backends.Close()
	host := newHost(s, client, backends, answers, tracer, m, log)
	stop, secondSignal := daemon.Signals()
	peers, err := daemon.RetryListen(stop, log, s.Listen.Peer, func() (*peerlink.Server, error) {
		return peerlink.NewServer(s.Listen.Peer, link, host, log)
	})
	if err != nil {
		return nil, err
	}
	router := mux.NewRouter().SkipClean(true)
	backendhttp.Mount(router, host)
	callerhttp.Mount(router, host, callerhttp.Limits{MaxBodyBytes: s.Limits.MaxBodyBytes, BodyTimeout: ms(s.Limits.BodyTimeoutMS)}, log)
	callers, err := daemon.ListenForCallers(stop, log, s.Listen.Caller, router, callerTLS.Server())
	if err != nil {
		return nil, err
	}
	callers.Memory = plan.Connections("callers", callerShare+readyShare, true)
	serving, stopServing := context.WithCancel(context.Background())
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return host.Run(serving) })
	serveLinks, leaveLinks := context.WithCancel(serving)
	defer leaveLinks()
	linksEnded := make(chan struct{})
	g.Go(func() error { defer close(linksEnded); return peers.Run(serveLinks) })
	g.Go(callers.Serve)
	serveDebug(serving, g, s, host, plan, log)
	log.Info("started", "caller", s.Listen.Caller, "peer", s.Listen.Peer)
	select {
	case <-stop.Done():
	case <-serving.Done():
	}
	log.Info("draining")
	drain, cancel := context.WithTimeout(context.Background(), ms(s.Limits.DrainTimeoutMS))
	callers.StartDraining()
	cut := host.Drain(drain, ms(s.Limits.DrainLingerMS), secondSignal)
	leaveLinks()
	callers.Finish(drain)
	<-linksEnded
	cancel()
	stopServing()
	return cut, g.Wait()
}

// serveDebug serves the debug routes if the settings name an address for them.
func serveDebug(ctx context.Context, g *errgroup.Group, s *settings.Entry, host *entry.Host, plan *daemon.MemoryPlan, log logr.Logger) {
	if s.Listen.Debug == "" {
		return
	}
	router := mux.NewRouter()
	callerhttp.MountDebug(router, host, log)
	g.Go(func() error {
		return daemon.ServeOnceListening(ctx, log, s.Listen.Debug, router, statusAnswerTime, plan.Connections("debug", debugShare, false))
	})
}
