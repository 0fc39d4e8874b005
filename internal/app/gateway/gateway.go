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
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Options configures a Gateway.
type Options struct {
	Host, Region, FailureDomain string
	Peer, Caller                string // own addresses
	// Seeds are peer addresses of control hosts.
	Seeds []string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Retries is the fleet's retry budget.
	Retries retry.SharedBudgetOptions
	// AnnounceEvery is the interval of the backend servers' announcements.
	AnnounceEvery time.Duration
	VerifyKey     []byte
	Peers         port.Peers
	Drop          func(addr string) // ends the link to an address
	Backends      Backends
	// Crashes recognises requests that crash servers; nil for one that asks no server whether
	// it has ended.
	Crashes *crashwatch.Watch
	Clock   port.Clock
	// ReadPrompt reads what a forwarded request asks of a model engine; nil for nothing.
	ReadPrompt func(http.Header) *Prompt
	Random     func() float64
	// Off are the mechanisms of the policy that an experiment goes without.
	Off dispatch.Mechanisms
	// Tracer makes a span for each hop; nil for none.
	Tracer  trace.Tracer
	Log     logr.Logger
	Metrics port.Metrics
}

// Gateway is an entry host's use case for routed requests.
type Gateway struct {
	o         Options
	config    atomic.Pointer[configstate.Installed]
	currentAt atomic.Pointer[time.Time] // see ConfigStaleness; nil before the first time
	fetching  sync.Mutex
	// fetchFailed is when another entry host last did not give its configuration.
	fetchFailed atomic.Int64
	draining    atomic.Bool
	inflight    atomic.Int64
	busy        chan struct{} // signalled when a host without requests gets one

	mu      sync.Mutex
	fleet   *dispatch.Fleet
	budget  *retry.SharedBudget
	startup *dispatch.Startup
	known   chan struct{} // closed when a configuration is in force and servers are known
	viewed  chan struct{} // closed and replaced with each view

	control controlList
	access  *access.Gate
}

// New returns a gateway that knows no configuration and no servers yet.
func New(o Options) *Gateway {
	if o.Crashes == nil {
		o.Crashes = crashwatch.New(crashwatch.Options{AnnounceEvery: o.AnnounceEvery, Clock: o.Clock, Log: o.Log, Metrics: o.Metrics})
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
	g := &Gateway{
		o: o,
		fleet: dispatch.New(dispatch.Options{
			Host: o.Host, Region: o.Region, FailureDomain: o.FailureDomain, Random: o.Random,
			AnnounceEvery: o.AnnounceEvery, Off: o.Off,
		}),
		budget:  retry.NewSharedBudget(o.Retries, o.Clock.Now()),
		startup: dispatch.NewStartup(o.Clock.Now(), o.AnnounceEvery, o.Off),
		known:   make(chan struct{}),
		viewed:  make(chan struct{}),
		busy:    make(chan struct{}, 1),
	}
	g.control.seeds, g.control.known = o.Seeds, map[string]*controlHost{}
	g.control.news, g.control.vouched = make(chan struct{}, 1), make(chan struct{})
	g.access = access.New(access.Options{
		Peers: o.Peers, Request: g.request, Issuers: g.issuers, Clock: o.Clock, Log: o.Log, Metrics: o.Metrics,
	})
	return g
}

// Ready reports whether the host should get requests; nil when it should.
func (g *Gateway) Ready() *failure.Error {
	if g.draining.Load() {
		return g.TooLate()
	}
	return g.starting()
}

// TooLate returns the refusal of a host that takes no more requests.
func (g *Gateway) TooLate() *failure.Error {
	return notRun(failure.Draining, drainRetry, "entry host %s is shutting down", g.o.Host)
}

// drainRetry is the time to come back: another entry host can be used at once.
const drainRetry = 100 * time.Millisecond

// starting returns the refusal of a host that does not know enough yet; nil when it does.
func (g *Gateway) starting() *failure.Error {
	g.mu.Lock()
	viewed, retry := g.fleet.HasView(), g.startup.RetryAfter(g.o.Clock.Now())
	g.mu.Unlock()
	switch {
	case g.config.Load() == nil:
		return notRun(failure.NotReady, retry, "entry host %s has no configuration yet", g.o.Host)
	case !viewed:
		return notRun(failure.NotReady, retry, "entry host %s knows no backend servers yet", g.o.Host)
	}
	return nil
}

// noteKnown lets the requests go on that wait for the host's start.
func (g *Gateway) noteKnown() {
	if g.starting() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.known:
	default:
		close(g.known)
	}
}

// awaitStart keeps a request while the host is expected to know enough soon. It returns
// the refusal of a request that can't wait, or waited in vain.
func (g *Gateway) awaitStart(ctx context.Context, r *Request) *failure.Error {
	select {
	case <-g.known:
		return nil
	default:
	}
	f := g.starting()
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
	case <-g.known:
	case <-t.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.startup.Leave()
	g.mu.Unlock()
	f = g.starting()
	g.o.Log.Info("request waited for the start", "request_id", r.ID, "waited_ms", g.o.Clock.Now().Sub(began).Milliseconds(),
		"limit_ms", wait.Milliseconds(), "config_version", g.Version(), "goes_on", f == nil)
	return f
}

// Drain takes the host out of the lists for callers, with its next presentation.
// Requests are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Limits returns what callers may send; zero values before a configuration is known.
func (g *Gateway) Limits() configstate.RequestLimits {
	if c := g.config.Load(); c != nil {
		return c.Record.RequestLimits
	}
	return configstate.RequestLimits{}
}

// Speeds returns what this host learned of how fast the services' servers work.
func (g *Gateway) Speeds() map[string]dispatch.Speed {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Speeds()
}

// Inflight returns the number of requests under way.
func (g *Gateway) Inflight() int64 { return g.inflight.Load() }

// Version returns the configuration version in force.
func (g *Gateway) Version() uint64 { return g.stamp().GetVersion() }

func (g *Gateway) stamp() *pb.ConfigStamp {
	if c := g.config.Load(); c != nil {
		return c.Stamp
	}
	return &pb.ConfigStamp{}
}

func (g *Gateway) request() *pb.Request {
	return &pb.Request{From: g.o.Host, Stamp: g.stamp(), MaxSchema: configstate.CurrentSchema}
}

// HandleRequest answers other hosts' calls: one may ask for the configuration in force, or for
// the loads of this host's region.
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
	return &pb.Response{From: g.o.Host, Refusal: &pb.Refusal{Code: string(failure.BadRequest), Detail: "an entry host takes requests only"}}
}
