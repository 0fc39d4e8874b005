package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Time-outs and delays of sync requests to the control hosts.
const (
	// syncWait is how long a control host may hold a sync request while nothing changes (long
	// polling). It is also the age of the loads that a host has of the other hosts of its region.
	syncWait = 250 * time.Millisecond
	// syncTimeout bounds a sync request. It allows for syncWait, a round trip to another region and
	// a busy control host.
	syncTimeout = 1200 * time.Millisecond
	// syncRetryDelay is the pause after a failed sync request, and the interval at which Run
	// determines the sync targets while the nearest control hosts do not answer.
	syncRetryDelay = 200 * time.Millisecond
	// fetchTimeout bounds the transfer of a configuration from a control host.
	fetchTimeout = 2 * time.Second
)

// Run synchronizes the host with the control hosts until ctx ends. It then hands over what none of them
// has received yet; no request may be in flight any more.
func (g *Gateway) Run(ctx context.Context) error {
	g.synchronize(ctx)
	g.handOver()
	return nil
}

// synchronize synchronizes the host with the control hosts until ctx ends.
func (g *Gateway) synchronize(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(2)
	go func() {
		defer wg.Done()
		_ = g.access.Run(ctx) // returns only when ctx ends
	}()
	go func() {
		defer wg.Done()
		g.queryRegions(ctx)
	}()
	t := time.NewTimer(syncRetryDelay)
	defer t.Stop()
	for {
		for _, c := range g.syncTargets() {
			if g.control.beginSync(c) {
				wg.Add(1)
				go func() {
					defer wg.Done()
					g.syncLoop(ctx, c)
					g.control.endSync(c, g.o.Clock.Now())
				}()
			}
		}
		g.dropIdleLinks()
		t.Reset(g.nextCheckIn())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.control.changed:
		}
	}
}

// syncLoop sends sync requests to a control host while it is one of the sync targets.
func (g *Gateway) syncLoop(ctx context.Context, c *controlHost) {
	for ctx.Err() == nil && slices.Contains(g.syncTargets(), c) {
		var view *pb.FleetView
		var err error
		primary := false
		if g.control.domainOf(c) != "" {
			primary = g.isPrimary(c)
			view, err = g.syncOnce(ctx, c, primary)
		} else {
			view, err = g.introduce(ctx, c)
		}
		g.logControl(&c.logState, c.addr, view, err)
		if err != nil {
			g.o.Metrics.Add("sync_failures", 1)
			g.control.avoid(c, g.o.Clock.Now())
			if slices.Contains(g.syncTargets(), c) {
				sleep(ctx, syncRetryDelay)
			}
			continue
		}
		if p := controlhosts.QueryPause(primary, staleness(view)); p > 0 {
			sleep(ctx, p)
		}
	}
}

// maxCrashRecords bounds the quarantine records in one message.
const maxCrashRecords = 128

// unsentCrashRecords returns the quarantine records to send to a control host, and the revision
// that it has received with them. At first these are all records, as the control host may have
// restarted, and then those that this host's own observations changed.
func (g *Gateway) unsentCrashRecords(c *controlHost) (records []*pb.QuarantineRecord, next uint64) {
	wanted := quarantine.LocalChanges
	if !c.sentAll {
		wanted = quarantine.AllRecords
	}
	return g.o.CrashWatch.Since(c.sentRevision, maxCrashRecords, wanted)
}

// recordSent records that a control host received the records up to revision next. If the view's
// epoch has changed, the control host has restarted, and all records are to be sent again.
func (c *controlHost) recordSent(view *pb.FleetView, epochBefore, next uint64, more bool) {
	if epochBefore != 0 && view.Epoch != epochBefore {
		c.sentAll, c.sentRevision = false, 0
		return
	}
	c.sentRevision = next
	c.sentAll = c.sentAll || !more
}

// addLimits adds the limits of servers that a control host of the own region has not received, and returns
// the version that it has with them. At first these are all limits, as the control host may have
// restarted, and then those that answers to this host changed.
func (g *Gateway) addLimits(m *pb.FleetSync, c *controlHost) (version uint64) {
	if g.distance(g.control.domainOf(c)) == controlhosts.OtherRegion {
		return 0
	}
	wanted := serverlimit.ObservedChanges
	if c.sentLimits == 0 {
		wanted = serverlimit.AllChanges
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Limits, version = g.fleet.LimitsSince(c.sentLimits, wanted)
	return version
}

// recordLimitsSent records that a control host received the limits up to a version. If the view's epoch
// has changed, the control host has restarted, and all limits are to be sent again.
func (c *controlHost) recordLimitsSent(view *pb.FleetView, epochBefore, version uint64) {
	c.sentLimits = version
	if epochBefore != 0 && view.Epoch != epochBefore {
		c.sentLimits = 0
	}
}

func (g *Gateway) acceptsConfig(v *pb.FleetView) bool {
	return controlhosts.AcceptsConfig(staleness(v), g.config.Load() != nil, g.startup.Age(g.o.Clock.Now()))
}

func staleness(v *pb.FleetView) time.Duration { return milliseconds(v.StalenessMs) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// introduce asks a control host for its failure domain and for the other control hosts.
func (g *Gateway) introduce(ctx context.Context, c *controlHost) (*pb.FleetView, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	req := g.newPeerRequest()
	req.Body = &pb.Request_FleetSync{FleetSync: &pb.FleetSync{Introduction: true}}
	_, view, err := g.callControl(ctx, c, req)
	if err != nil {
		return nil, err
	}
	if g.recordAnswer(c, view) {
		g.control.update(view.ControlHosts)
	}
	return view, nil
}

// callControl sends a sync request to a control host.
func (g *Gateway) callControl(ctx context.Context, c *controlHost, req *pb.Request) (*pb.Response, *pb.FleetView, error) {
	resp, err := g.o.Peers.Call(ctx, c.addr, req)
	if err != nil {
		if ctx.Err() == context.DeadlineExceeded && g.o.CloseLink != nil {
			g.o.CloseLink(c.addr) // the connection may be dead without an error
		}
		return nil, nil, err
	}
	view := resp.GetFleetView()
	if view == nil {
		return nil, nil, failure.New(failure.PeerRefused, "", "the control host at %s sent no view", c.addr)
	}
	return resp, view, nil
}

// syncOnce sends a sync request to a control host and applies its view. Only the primary receives
// this host's loads, and only its view supplies those of other hosts.
func (g *Gateway) syncOnce(ctx context.Context, c *controlHost, primary bool) (*pb.FleetView, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	req := g.newPeerRequest()
	m, own := g.newSync(c, primary)
	limits := g.addLimits(m, c)
	streams := g.addStreams(m, c, primary)
	records, next := g.unsentCrashRecords(c)
	m.Quarantine = records
	req.Body = &pb.Request_FleetSync{FleetSync: m}
	requestedAt := g.o.Clock.Now()
	resp, view, err := g.callControl(ctx, c, req)
	if err != nil {
		return nil, err
	}
	c.recordSent(view, c.state.epoch, next, len(records) == maxCrashRecords)
	c.recordLimitsSent(view, c.state.epoch, limits)
	c.recordStreamsSent(view, c.state.epoch, streams)
	if !c.state.apply(view) {
		return nil, failure.New(failure.PeerRefused, "", "the changes sent by the control host at %s do not follow the last view applied here", c.addr)
	}
	g.o.CrashWatch.Merge(view.Quarantine, c.addr)
	g.o.Metrics.Add("servers_lapsed", int64(len(view.RemovedServers)))
	scope := g.viewScope(c, view, primary, own)
	scope.RequestedAt = requestedAt
	g.applyView(view, scope)
	if configstate.Newer(resp.Stamp, g.stamp()) && g.acceptsConfig(view) {
		g.fetchConfig(ctx, c.addr, resp.Stamp, fetchTimeout)
	}
	g.confirmConfig(resp.Stamp, view)
	g.signalInitialized()
	return view, nil
}

// viewScope returns which parts of a control host's view are to be used, and completes the
// view's entry hosts by those of its earlier views.
func (g *Gateway) viewScope(c *controlHost, view *pb.FleetView, primary bool, own serverload.Loads) dispatch.ViewScope {
	scope := dispatch.ViewScope{Source: c.addr, Loads: primary, Fleet: g.recordAnswer(c, view)}
	if primary {
		scope.Others = c.state.otherLoads(own)
	}
	if scope.Fleet {
		scope.SameHosts = !g.control.needsHostList(c, g.o.Clock.Now())
	}
	if scope.Fleet && !scope.SameHosts {
		view.Hosts = c.state.allHosts()
	}
	return scope
}

// newSync returns the sync message for a control host and the loads that it contains.
func (g *Gateway) newSync(c *controlHost, primary bool) (*pb.FleetSync, serverload.Loads) {
	m := &pb.FleetSync{
		Host: &pb.FleetHost{
			Id: g.o.Host, Peer: g.o.Peer, Caller: g.o.Caller, Region: g.o.Region, FailureDomain: g.o.FailureDomain,
			Ready: g.config.Load() != nil && !g.draining.Load(),
		},
		HaveEpoch: c.state.epoch, HaveVersion: c.state.version, HavePrompts: c.state.prompts, HaveQuarantine: c.state.quarantine,
		HaveHeard: c.state.announcements, HaveLoads: c.state.loadsVersion, HaveLimits: c.state.limits, WaitMs: uint32(syncWait.Milliseconds()), Primary: primary,
	}
	if !primary {
		return m, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.fleet.Loads(g.o.Clock.Now())
	m.Loads, m.Prompts = serverload.Encode(own), holders.Encode(g.fleet.TakeUnreportedPlaces())
	return m, own
}

func (g *Gateway) applyView(v *pb.FleetView, scope dispatch.ViewScope) {
	if scope.Fleet {
		g.control.update(v.ControlHosts)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	_, revision := g.fleet.Evacuations()
	g.fleet.ApplyView(v, scope, now)
	g.logEvacuations(revision, v, scope.Source)
	if scope.Loads {
		g.startup.RecordView(milliseconds(v.UptimeMs))
	}
	for _, change := range g.fleet.MergeLimits(v.Limits, now) {
		g.logLimit(change.Server, change.Before, scope.Source, "")
	}
	close(g.viewChanged)
	g.viewChanged = make(chan struct{})
	g.budget.SetHosts(g.fleet.HostCount())
	g.updateCrashWatch()
	g.logColdChanges()
	g.logMemoryCrashes()
}
