// Package entry runs an entry host: it takes callers' requests, routes them to
// backend servers of its failure domain or forwards them once to an entry host
// of another, keeps part of the at-most-once ledger, and shares what it knows
// with the other hosts.
package entry

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	crand "crypto/rand"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamefork/sesamefork/internal/app/access"
	"github.com/sesamefork/sesamefork/internal/app/crashwatch"
	"github.com/sesamefork/sesamefork/internal/core/admission"
	"github.com/sesamefork/sesamefork/internal/core/backend"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/membership"
	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Options configures a Host.
type Options struct {
	ID            string
	Region        string
	FailureDomain string
	Peer          string // own peer address
	Seeds         []string
	Control       []string
	VerifyKey     ed25519.PublicKey

	Probe        time.Duration
	Update       time.Duration
	Summary      time.Duration
	Lease        time.Duration
	Skew         time.Duration
	StallTimeout time.Duration
	MaxBody      int64
	MaxExplained int

	// Crashes recognises requests that crash servers; nil for one that asks no server whether
	// it has ended.
	Crashes   *crashwatch.Watch
	Peers     port.Peers
	Drop      func(addr string) // ends the link to a dead host; may be nil
	Backends  port.Backends
	Directory port.Directory // may be nil
	Clock     port.Clock
	Log       logr.Logger
	Metrics   port.GaugedMetrics
	Tracer    trace.Tracer
}

// Times that follow from the intervals.
const (
	suspectFactor  = 4 // probe intervals from suspicion to death
	slowStart      = 10 * time.Second
	assumedLag     = 500 * time.Millisecond // of backend servers' load figures
	maxWaiting     = 20_000
	housekeeping   = 250 * time.Millisecond
	drainPoll      = 20 * time.Millisecond
	reportInterval = 5 * time.Second
	callTimeout    = 2 * time.Second
)

// Host is one entry host.
type Host struct {
	o           Options
	config      atomic.Pointer[view]
	previous    atomic.Pointer[configstate.Installed] // in force before config
	draining    atomic.Bool
	unsure      atomic.Bool  // thawed: takes no work until a neighbour answered
	asked       atomic.Bool  // the neighbours were asked for their configuration
	probedAt    atomic.Int64 // Unix time in ns of the last probe, 0 before the first
	incarnation uint64
	explained   *explainer
	ledger      *ledgerHost
	fetching    sync.Mutex
	wg          sync.WaitGroup
	inflight    sync.Map // request ID -> start time

	mu        sync.Mutex
	place     *placement.State
	members   *membership.List
	sponsored map[string]*sponsored // backend servers that announce here
	passedOn  map[string]uint64     // newest summary passed on, by failure domain
	summaries int                   // ticks of the summaries' interval
	waiting   map[*admission.Waiter]*ticket
	budget    *retry.Budget
	versions  map[string]hostVersion // configuration in force on neighbours
	wake      chan struct{}
	sendNow   chan struct{}
	crashes   *crashNews
	access    *access.Gate
}

type hostVersion struct {
	stamp  *pb.ConfigStamp
	schema uint32
	at     time.Time
}

// view is a configuration in force with what is derived from it.
type view struct {
	*configstate.Installed
	hosts map[string]configstate.Host
	peers []configstate.Host // other hosts of the failure domain
}

// New returns a host that has no configuration yet.
func New(o Options) *Host {
	now := o.Clock.Now()
	h := &Host{
		o:           o,
		incarnation: uint64(now.UnixMilli()),
		explained:   newExplainer(o.MaxExplained),
		place: placement.New(placement.Options{
			Region: o.Region, FailureDomain: o.FailureDomain, MaxWaiting: maxWaiting, Random: rand.Float64,
			Limits: backend.Limits{Lease: o.Lease, SlowStart: slowStart, Lag: assumedLag},
		}),
		sponsored: map[string]*sponsored{},
		passedOn:  map[string]uint64{},
		waiting:   map[*admission.Waiter]*ticket{},
		budget:    retry.NewBudget(0.1, now),
		versions:  map[string]hostVersion{},
		wake:      make(chan struct{}, 1),
		sendNow:   make(chan struct{}, 1),
		crashes:   newCrashNews(),
	}
	if h.o.Crashes == nil {
		h.o.Crashes = crashwatch.New(crashwatch.Options{AnnounceEvery: o.Lease, Clock: o.Clock, Log: o.Log, Metrics: o.Metrics})
	}
	h.o.Crashes.OnChange(func() { h.poke(h.crashes.wake) })
	h.members = membership.New(membership.Options{
		ID: o.ID, SuspectTimeout: suspectFactor * o.Probe, Seed: rand.Int64(),
	}, h.incarnation)
	h.ledger = newLedgerHost(h)
	h.access = access.New(access.Options{
		Peers: o.Peers, Request: h.request, Issuers: h.issuers, Clock: o.Clock, Log: o.Log, Metrics: o.Metrics,
	})
	h.gauges()
	return h
}

// Run shares knowledge with the other hosts until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.every(ctx, h.o.Probe, h.probe)
	h.every(ctx, h.o.Update, h.sendUpdates)
	h.every(ctx, h.o.Summary, h.sendSummaries)
	h.every(ctx, reportInterval, h.report)
	h.every(ctx, housekeeping, h.housekeep)
	h.every(ctx, h.ledger.interval(), h.ledger.tick)
	h.every(ctx, time.Second, h.seek)
	h.every(ctx, h.o.Update, h.tellCrashes)
	h.wg.Add(2)
	go func() {
		defer h.wg.Done()
		_ = h.access.Run(ctx) // ends with ctx only
	}()
	go func() {
		defer h.wg.Done()
		for {
			select {
			case <-ctx.Done():
				return
			case <-h.sendNow:
				h.sendUpdates(ctx)
			case <-h.wake:
				h.dispatch()
			case <-h.crashes.wake:
				h.tellCrashes(ctx)
			}
		}
	}()
	h.seek(ctx)
	<-ctx.Done()
	h.wg.Wait()
	return nil
}

// every calls f at the interval until ctx ends, starting at a random part of it
// so that hosts started together do not send together.
func (h *Host) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(interval)):
		}
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
}

// housekeep refuses what has waited too long and hands out free places.
func (h *Host) housekeep(context.Context) {
	now := h.o.Clock.Now()
	h.mu.Lock()
	h.members.Tick(now)
	h.place.Table.Expire(now)
	h.mu.Unlock()
	h.watchServers()
	h.memberEvents()
	h.dispatch()
}

// Ready returns nil when the host may take requests.
func (h *Host) Ready() *failure.Error {
	h.noteFreeze()
	switch {
	case h.draining.Load():
		return failure.New(failure.Draining, failure.NotRun, "entry host %s is shutting down", h.o.ID).
			WithEntryHosts(h.otherURLs())
	case h.config.Load() == nil || !h.asked.Load():
		return failure.New(failure.NotReady, failure.NotRun, "entry host %s has no configuration yet", h.o.ID).
			WithRetryAfter(time.Second)
	case h.unsure.Load():
		return failure.New(failure.NotReady, failure.NotRun, "entry host %s was frozen and asks its neighbours first", h.o.ID).
			WithRetryAfter(time.Second).WithEntryHosts(h.otherURLs())
	}
	return nil
}

// Stamp returns the configuration in force.
func (h *Host) Stamp() *pb.ConfigStamp {
	if v := h.config.Load(); v != nil {
		return v.Stamp
	}
	return &pb.ConfigStamp{}
}

// InForce returns the stamp and the bytes of the record in force.
func (h *Host) InForce() (*pb.ConfigStamp, []byte) {
	v := h.config.Load()
	if v == nil {
		return &pb.ConfigStamp{}, nil
	}
	return v.Stamp, v.Raw
}

// Record returns the record in force, or nil.
func (h *Host) Record() *configstate.Record {
	if v := h.config.Load(); v != nil {
		return v.Record
	}
	return nil
}

// Team returns the team whose key a request bears. A key that no team holds is refused only
// after a control host has been asked whether there is a newer configuration: it may just have
// been added.
func (h *Host) Team(ctx context.Context, c access.Credential) (*configstate.Team, *failure.Error) {
	rec := h.Record()
	if rec == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "the entry host has no configuration yet")
	}
	t, f := access.TeamOf(rec, c)
	if f == nil || c.Hash == "" {
		return t, f
	}
	for _, addr := range h.o.Control {
		if h.fetchOne(ctx, addr) {
			return access.TeamOf(h.Record(), c)
		}
	}
	return nil, f
}

// issuers returns the control hosts, all taken to be equally far.
func (h *Host) issuers() []string {
	out := slices.Clone(h.o.Control)
	access.Nearest(h.o.ID, out, func(string) int { return 0 })
	return out
}

// Options returns the host's options.
func (h *Host) Options() *Options { return &h.o }

// Drain takes the host out of the lists and waits until the linger time is over
// and no request is in flight, ctx ends, or cut is closed. It returns the
// requests that were cut.
func (h *Host) Drain(ctx context.Context, linger time.Duration, cut <-chan struct{}) []string {
	h.SetDraining(true)
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	began := h.o.Clock.Now()
	for {
		left := h.inflightIDs()
		if len(left) == 0 && h.o.Clock.Now().Sub(began) >= linger {
			return nil
		}
		select {
		case <-ctx.Done():
			return left
		case <-cut:
			return left
		case <-t.C:
		}
	}
}

// SetDraining takes the host out of the lists, or puts it back.
func (h *Host) SetDraining(on bool) {
	h.draining.Store(on)
	h.poke(h.sendNow)
}

func (h *Host) inflightIDs() []string {
	var ids []string
	h.inflight.Range(func(k, _ any) bool {
		ids = append(ids, k.(string))
		return true
	})
	return ids
}

func (h *Host) poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (h *Host) gauges() {
	m := h.o.Metrics
	m.Gauge("config_version", func() any { return h.Stamp().Version })
	m.Gauge("in_flight", func() any { return len(h.inflightIDs()) })
	m.Gauge("waiting", func() any {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.place.Waiting()
	})
	m.Gauge("ledger_keys", func() any { return h.ledger.keys() })
	m.Gauge("ledger_bytes", func() any { return h.ledger.bytes() })
	m.Gauge("ledger_partitions", func() any {
		active, total := h.ledger.active()
		return map[string]int{"active": active, "total": total}
	})
	m.Gauge("members", func() any {
		h.mu.Lock()
		defer h.mu.Unlock()
		out := map[string]string{}
		for _, e := range h.members.Members() {
			out[e.ID] = e.State.String()
		}
		return out
	})
	m.Gauge("backend_servers", func() any { return h.backendView() })
	m.Gauge("away_share", func() any {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.place.AwayShare(h.o.Clock.Now())
	})
}

// BackendView is one backend server as metrics show it.
type BackendView struct {
	Outstanding int    `json:"outstanding"`
	Skip        string `json:"skip,omitempty"`
}

func (h *Host) backendView() map[string]BackendView {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	out := map[string]BackendView{}
	for _, s := range h.place.Table.All() {
		out[s.State.Id] = BackendView{h.place.Table.Outstanding(s), string(h.place.Table.Usable(s, now))}
	}
	return out
}

// NewID returns a random request or attempt ID.
func NewID() string {
	var b [10]byte
	_, _ = crand.Read(b[:])
	return hex.EncodeToString(b[:])
}
