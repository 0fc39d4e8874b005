package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/sesamefork/sesamefork/internal/app/access"
	"github.com/sesamefork/sesamefork/internal/app/crashwatch"
	"github.com/sesamefork/sesamefork/internal/core/answertime"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Options configures a Gateway.
type Options struct {
	Host, Region, FailureDomain string
	Peer, Caller                string // addresses of this host for other hosts and for callers
	// Seeds are the peer addresses of the control hosts to contact first.
	Seeds []string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Retries configures this host's part of the retry budget that all entry hosts share.
	Retries retry.SharedBudgetOptions
	// AnnounceEvery is the interval at which backend servers announce themselves.
	AnnounceEvery time.Duration
	VerifyKey     []byte
	Peers         port.Peers
	CloseLink     func(addr string) // closes the link to an address; nil keeps links open
	Backends      Backends
	// CrashWatch detects requests that crash servers; nil for a Watch without a probe, which does
	// not check whether a server's process has ended.
	CrashWatch *crashwatch.Watch
	Clock      port.Clock
	// ReadPrompt reads the description of a forwarded request's prompt from its headers; nil if
	// requests have none.
	ReadPrompt func(http.Header) *Prompt
	Random     func() float64
	// Off is the set of dispatch mechanisms that are disabled for an experiment.
	Off dispatch.Mechanisms
	// OrderOff disables the order of requests by urgency, and admission.
	OrderOff bool
	// Tracer starts a span for each request and attempt; nil disables tracing.
	Tracer  trace.Tracer
	Log     logr.Logger
	Metrics port.Metrics
	// AnswerBudget limits the answers and events that are held at once, beyond 16 KiB of each; nil for no limit.
	AnswerBudget *membudget.Budget
}

// Gateway executes routed requests on an entry host and synchronizes the host with the control
// hosts.
type Gateway struct {
	o               Options
	config          atomic.Pointer[configstate.Installed]
	configCurrentAt atomic.Pointer[time.Time] // see ConfigStaleness; nil until a control host has confirmed the configuration
	fetching        sync.Mutex
	// fetchFailedAt is when a fetch from the sender of a forward last failed, in Unix ns.
	fetchFailedAt atomic.Int64
	draining      atomic.Bool
	drainEnd      atomic.Pointer[time.Time] // when the requests in flight must have ended; nil before Drain
	inflight      atomic.Int64
	becameBusy    chan struct{} // receives a signal when the number of requests in flight rises from 0

	mu          sync.Mutex
	fleet       *dispatch.Fleet
	budget      *retry.SharedBudget
	startup     *dispatch.Startup
	initialized chan struct{} // closed once a configuration is in force and a view has been applied
	viewChanged chan struct{} // closed and replaced after each view
	// invalidLimitLoggedAt is when a limit that cannot be decoded was last logged.
	invalidLimitLoggedAt time.Time
	// invalidPauseLoggedAt is when a demand for a pause that cannot be decoded was last logged.
	invalidPauseLoggedAt time.Time
	// streamPauseLoggedAt is when pauses of a stream were last logged.
	streamPauseLoggedAt time.Time

	overload overloadState
	// answerTimes are those of requests that ran here or were forwarded from here; under mu.
	answerTimes *answertime.Table

	streams streamLog
	proofs  processProofs
	control controlList
	access  *access.Limiter
}

// New returns a gateway without a configuration and without servers.
func New(o Options) *Gateway {
	if o.CrashWatch == nil {
		o.CrashWatch = crashwatch.New(crashwatch.Options{AnnounceEvery: o.AnnounceEvery, Clock: o.Clock, Log: o.Log, Metrics: o.Metrics})
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
	g := &Gateway{
		o: o,
		fleet: dispatch.New(dispatch.Options{
			Host: o.Host, Region: o.Region, FailureDomain: o.FailureDomain, Regions: o.Regions, Random: o.Random,
			AnnounceEvery: o.AnnounceEvery, Off: o.Off,
		}),
		budget:      retry.NewSharedBudget(o.Retries, o.Clock.Now()),
		startup:     dispatch.NewStartup(o.Clock.Now(), o.AnnounceEvery, o.Off),
		initialized: make(chan struct{}),
		viewChanged: make(chan struct{}),
		becameBusy:  make(chan struct{}, 1),
		overload:    newOverloadState(),
		answerTimes: answertime.NewTable(),
	}
	g.streams.log = streamorigin.NewLog()
	g.control.seeds, g.control.byAddr = o.Seeds, map[string]*controlHost{}
	g.control.changed, g.control.configConfirmed = make(chan struct{}, 1), make(chan struct{})
	g.access = access.New(access.Options{
		Peers: o.Peers, Request: g.newPeerRequest, Issuers: g.issuers, Clock: o.Clock, Log: o.Log, Metrics: o.Metrics,
	})
	return g
}

// Ready returns nil if the host should receive requests, and the reason otherwise.
func (g *Gateway) Ready() *failure.Error {
	if g.draining.Load() {
		return g.DrainingFailure()
	}
	return g.notReady()
}

// DrainingFailure returns the failure for requests that reach a host which is shutting down.
func (g *Gateway) DrainingFailure() *failure.Error {
	return notRun(failure.Draining, drainRetryAfter, "entry host %s is shutting down", g.o.Host)
}

// drainRetryAfter is short because another entry host can be used at once.
const drainRetryAfter = 100 * time.Millisecond

// notReady returns the refusal of a host that has no configuration or no view of the servers
// yet, and nil if it has both.
func (g *Gateway) notReady() *failure.Error {
	g.mu.Lock()
	hasView, retry := g.fleet.HasView(), g.startup.RetryAfter(g.o.Clock.Now())
	g.mu.Unlock()
	switch {
	case g.config.Load() == nil:
		return notRun(failure.NotReady, retry, "entry host %s has no configuration yet", g.o.Host)
	case !hasView:
		return notRun(failure.NotReady, retry, "entry host %s has no view of the backend servers yet", g.o.Host)
	}
	return nil
}

// signalInitialized releases the requests in awaitInitialized if the host has a configuration
// and a view.
func (g *Gateway) signalInitialized() {
	if g.notReady() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.initialized:
	default:
		close(g.initialized)
	}
}

// awaitInitialized blocks a request while the host is expected to be initialized soon. It
// returns a refusal if the request cannot wait, or if the host is not initialized by the end of
// the wait.
func (g *Gateway) awaitInitialized(ctx context.Context, r *Request) *failure.Error {
	select {
	case <-g.initialized:
		return nil
	default:
	}
	f := g.notReady()
	if f == nil {
		return nil
	}
	began := g.o.Clock.Now()
	g.mu.Lock()
	wait := g.startup.Enter(r.Wait, began)
	g.mu.Unlock()
	if wait <= 0 {
		return f
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-g.initialized:
	case <-t.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.startup.Leave()
	g.mu.Unlock()
	f = g.notReady()
	g.o.Log.Info("request waited for the start", "request_id", r.ID, "waited_ms", g.o.Clock.Now().Sub(began).Milliseconds(),
		"limit_ms", wait.Milliseconds(), "config_version", g.Version(), "goes_on", f == nil)
	return f
}

// Drain reports the host as not ready from its next sync request on, so that it is removed from
// the lists of hosts, and refuses forwards, for which other hosts of the region can be used at once.
// Callers' requests are still served if their answers are expected within limit, after which the host stops.
func (g *Gateway) Drain(limit time.Duration) {
	end := g.o.Clock.Now().Add(limit)
	g.drainEnd.Store(&end)
	g.draining.Store(true)
}

// endWithin returns the time in which the answer to a request must be complete because this host stops; 0 if it does
// not stop or the request goes on with an attempt that may have run.
func (g *Gateway) endWithin(x *execution, now time.Time) time.Duration {
	end := g.drainEnd.Load()
	if end == nil || x.r.Origin != "" || x.headSent || x.mayHaveRun {
		return 0
	}
	return max(time.Millisecond, end.Sub(now))
}

// forgetRoutes drops the answer times of routes that a configuration does not have.
func (g *Gateway) forgetRoutes(rec *configstate.Record) {
	names := make(map[string]bool, len(rec.Routes))
	for i := range rec.Routes {
		names[rec.Routes[i].Name] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answerTimes.Keep(func(name string) bool { return names[name] })
}

// outlastsStop reports whether nothing shows that the answer to a request will be complete before this host's end: its
// deadline is later, and the answers of its route take longer, or how long they take is not known. How long a stream takes
// is left to the forecast of its choice.
func (g *Gateway) outlastsStop(x *execution, now time.Time) bool {
	within := g.endWithin(x, now)
	if within == 0 || x.deadline.Sub(now) <= within {
		return false
	}
	longest, known := g.answerTimes.Longest(x.route.Name, now)
	return !known || (x.route.Kind != configstate.KindStream && longest > within)
}

// Limits returns the limits on callers' requests; zero values without a configuration.
func (g *Gateway) Limits() configstate.RequestLimits {
	if c := g.config.Load(); c != nil {
		return c.Record.RequestLimits
	}
	return configstate.RequestLimits{}
}

// Speeds returns the measured speeds of the backend servers, by service.
func (g *Gateway) Speeds() map[string]dispatch.Speed {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Speeds(g.o.Clock.Now())
}

// Inflight returns the number of requests in flight.
func (g *Gateway) Inflight() int64 { return g.inflight.Load() }

// Version returns the configuration version in force; 0 for none.
func (g *Gateway) Version() uint64 { return g.stamp().GetVersion() }

func (g *Gateway) stamp() *pb.ConfigStamp {
	if c := g.config.Load(); c != nil {
		return c.Stamp
	}
	return &pb.ConfigStamp{}
}

func (g *Gateway) newPeerRequest() *pb.Request {
	return &pb.Request{From: g.o.Host, Stamp: g.stamp(), MaxSchema: configstate.CurrentSchema}
}

// HandleRequest answers requests of other hosts for the configuration in force or for the loads
// of this host's region.
func (g *Gateway) HandleRequest(_ context.Context, req *pb.Request) *pb.Response {
	if have := req.GetConfigFetch(); have != nil {
		resp := &pb.Response{From: g.o.Host, Stamp: g.stamp()}
		if c := g.config.Load(); c != nil {
			if blob := configstate.UpdateFor(c.Blob, have.HaveGeneration, have.HaveVersion, nil); blob != nil {
				resp.Body = &pb.Response_Config{Config: blob}
			}
		}
		return resp
	}
	if req.GetRegionQuery() != nil {
		return &pb.Response{From: g.o.Host, Stamp: g.stamp(), Body: &pb.Response_RegionLoads{RegionLoads: g.regionLoads()}}
	}
	return &pb.Response{From: g.o.Host, Refusal: &pb.Refusal{Code: string(failure.BadRequest), Detail: "an entry host answers only configuration fetches and region queries"}}
}
