// Package entry implements the entry host: it accepts callers' requests, routes them to backend
// servers of its failure domain or forwards them at most once to an entry host of another,
// holds replicas of the at-most-once ledger, and exchanges state with the other hosts.
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
	"github.com/sesamefork/sesamefork/internal/membudget"
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

	ProbeInterval   time.Duration
	UpdateInterval  time.Duration
	SummaryInterval time.Duration
	Lease           time.Duration
	Skew            time.Duration
	StallTimeout    time.Duration
	MaxBody         int64
	MaxExplained    int

	// CrashWatch detects requests that crash servers. If nil, New creates one without a probe,
	// which does not check whether a server's process has ended.
	CrashWatch *crashwatch.Watch
	Peers      port.Peers
	CloseLink  func(addr string) // closes the link to a dead host; may be nil
	Backends   port.Backends
	Directory  port.Directory // may be nil
	Clock      port.Clock
	Log        logr.Logger
	Metrics    port.GaugedMetrics
	// AnswerBudget limits the answers and events that are held at once, beyond 64 KiB of each; nil for no limit.
	AnswerBudget *membudget.Budget
	Tracer       trace.Tracer
}

// Factors, intervals and limits that are not settings.
const (
	suspectFactor        = 4 // probe intervals from suspicion to death
	slowStart            = 10 * time.Second
	assumedLag           = 500 * time.Millisecond // of backend servers' load reports
	maxWaiting           = 20_000
	housekeepingInterval = 250 * time.Millisecond
	drainPollInterval    = 20 * time.Millisecond
	reportInterval       = 5 * time.Second
	callTimeout          = 2 * time.Second
)

// Host is one entry host.
type Host struct {
	o            Options
	config       atomic.Pointer[view]
	previous     atomic.Pointer[configstate.Installed] // in force before config
	draining     atomic.Bool
	awaitingPeer atomic.Bool  // set after a freeze until another host answered; not ready meanwhile
	peersQueried atomic.Bool  // all seeds and control hosts were queried for their configuration
	probedAt     atomic.Int64 // Unix time in ns of the last probe, 0 before the first
	incarnation  uint64
	explained    *explanationStore
	ledger       *ledgerHost
	fetching     sync.Mutex
	wg           sync.WaitGroup
	inflight     sync.Map // request ID -> start time

	mu               sync.Mutex
	place            *placement.State
	members          *membership.List
	announcing       map[string]*announcingServer // backend servers that announce themselves to this host, by ID
	relayedSummaries map[string]uint64            // sequence of the newest summary sent on, by failure domain
	summaryTicks     int                          // intervals of sendSummaries that have begun
	waiting          map[*admission.Waiter]*ticket
	budget           *retry.Budget
	versions         map[string]hostVersion // configuration in force on other hosts, by ID
	dispatchNow      chan struct{}
	sendNow          chan struct{}
	crashes          *crashSync
	access           *access.Limiter
}

type hostVersion struct {
	stamp  *pb.ConfigStamp
	schema uint32
	at     time.Time
}

// view is a configuration in force with values derived from it.
type view struct {
	*configstate.Installed
	hosts map[string]configstate.Host
	peers []configstate.Host // other hosts of the failure domain
}

// New returns a Host without a configuration.
func New(o Options) *Host {
	now := o.Clock.Now()
	h := &Host{
		o:           o,
		incarnation: uint64(now.UnixMilli()),
		explained:   newExplanationStore(o.MaxExplained),
		place: placement.New(placement.Options{
			Region: o.Region, FailureDomain: o.FailureDomain, MaxWaiting: maxWaiting, Random: rand.Float64,
			Limits: backend.Limits{Lease: o.Lease, SlowStart: slowStart, Lag: assumedLag},
		}),
		announcing:       map[string]*announcingServer{},
		relayedSummaries: map[string]uint64{},
		waiting:          map[*admission.Waiter]*ticket{},
		budget:           retry.NewBudget(0.1, now),
		versions:         map[string]hostVersion{},
		dispatchNow:      make(chan struct{}, 1),
		sendNow:          make(chan struct{}, 1),
		crashes:          newCrashSync(),
	}
	if h.o.CrashWatch == nil {
		h.o.CrashWatch = crashwatch.New(crashwatch.Options{AnnounceEvery: o.Lease, Clock: o.Clock, Log: o.Log, Metrics: o.Metrics})
	}
	h.o.CrashWatch.OnChange(func() { h.signal(h.crashes.wake) })
	h.members = membership.New(membership.Options{
		ID: o.ID, SuspectTimeout: suspectFactor * o.ProbeInterval, Seed: rand.Int64(),
	}, h.incarnation)
	h.ledger = newLedgerHost(h)
	h.access = access.New(access.Options{
		Peers: o.Peers, Request: h.request, Issuers: h.issuers, Clock: o.Clock, Log: o.Log, Metrics: o.Metrics,
	})
	h.gauges()
	return h
}

// Run exchanges state with the other hosts and dispatches waiting requests until ctx ends. It then hands
// over what only this host knows; no request may be in flight any more.
func (h *Host) Run(ctx context.Context) error {
	h.runEvery(ctx, h.o.ProbeInterval, h.probe)
	h.runEvery(ctx, h.o.UpdateInterval, h.sendUpdates)
	h.runEvery(ctx, h.o.SummaryInterval, h.sendSummaries)
	h.runEvery(ctx, reportInterval, h.reportVersions)
	h.runEvery(ctx, housekeepingInterval, h.housekeep)
	h.runEvery(ctx, h.ledger.interval(), h.ledger.tick)
	h.runEvery(ctx, time.Second, h.fetchInitialConfig)
	h.runEvery(ctx, h.o.UpdateInterval, h.syncCrashRecords)
	h.wg.Add(2)
	go func() {
		defer h.wg.Done()
		_ = h.access.Run(ctx) // returns nil when ctx ends
	}()
	go func() {
		defer h.wg.Done()
		for {
			select {
			case <-ctx.Done():
				return
			case <-h.sendNow:
				h.sendUpdates(ctx)
			case <-h.dispatchNow:
				h.dispatch()
			case <-h.crashes.wake:
				h.syncCrashRecords(ctx)
			}
		}
	}()
	h.fetchInitialConfig(ctx)
	<-ctx.Done()
	h.wg.Wait()
	h.handOver()
	return nil
}

// runEvery calls f at the interval until ctx ends. The first call comes after a random part of
// the interval, so that hosts started together do not send together.
func (h *Host) runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
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

// housekeep applies the timeouts of members and backend servers, refuses requests that have
// waited too long, and dispatches the others to free places.
func (h *Host) housekeep(context.Context) {
	now := h.o.Clock.Now()
	h.mu.Lock()
	h.members.Tick(now)
	h.place.Table.Expire(now)
	h.mu.Unlock()
	h.refreshCrashWatch()
	h.handleMemberEvents()
	h.dispatch()
}

// Ready returns nil if the host accepts requests, else why not.
func (h *Host) Ready() *failure.Error {
	h.detectFreeze()
	switch {
	case h.draining.Load():
		return failure.New(failure.Draining, failure.NotRun, "entry host %s is shutting down", h.o.ID).
			WithEntryHosts(h.otherURLs())
	case h.config.Load() == nil || !h.peersQueried.Load():
		return failure.New(failure.NotReady, failure.NotRun, "entry host %s has no configuration yet", h.o.ID).
			WithRetryAfter(time.Second)
	case h.awaitingPeer.Load():
		return failure.New(failure.NotReady, failure.NotRun, "entry host %s was frozen and has not reached another host since", h.o.ID).
			WithRetryAfter(time.Second).WithEntryHosts(h.otherURLs())
	}
	return nil
}

// Stamp returns the stamp of the configuration in force, or an empty one.
func (h *Host) Stamp() *pb.ConfigStamp {
	if v := h.config.Load(); v != nil {
		return v.Stamp
	}
	return &pb.ConfigStamp{}
}

// InForce returns the stamp and the bytes of the record in force. The bytes are nil if there is
// none.
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

// Team returns the team whose key a request was sent with. Before it refuses a key that no team
// holds, it asks the control hosts for a newer configuration, since the key may just have been
// added.
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

// issuers returns the control hosts in this host's order of preference, all treated as equally
// distant.
func (h *Host) issuers() []string {
	out := slices.Clone(h.o.Control)
	access.SortByDistance(h.o.ID, out, func(string) int { return 0 })
	return out
}

// Options returns the host's options.
func (h *Host) Options() *Options { return &h.o }

// Drain removes the host from the lists of entry hosts. It waits until the linger time has
// passed and no request is in flight, ctx ends, or cut is closed, and returns the IDs of the
// requests that were still in flight.
func (h *Host) Drain(ctx context.Context, linger time.Duration, cut <-chan struct{}) []string {
	h.SetDraining(true)
	t := time.NewTicker(drainPollInterval)
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

// SetDraining removes the host from the lists of entry hosts, or adds it again.
func (h *Host) SetDraining(on bool) {
	h.draining.Store(on)
	h.signal(h.sendNow)
}

func (h *Host) inflightIDs() []string {
	var ids []string
	h.inflight.Range(func(k, _ any) bool {
		ids = append(ids, k.(string))
		return true
	})
	return ids
}

func (h *Host) signal(ch chan struct{}) {
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
		return h.place.OtherRegionShare(h.o.Clock.Now())
	})
}

// BackendView is one backend server in the metrics.
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
