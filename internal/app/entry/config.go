package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/ledger"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// request returns a message to another host with the sender's fields set.
func (h *Host) request() *pb.Request {
	h.mu.Lock()
	inc := h.members.Incarnation()
	h.mu.Unlock()
	return &pb.Request{From: h.o.ID, Incarnation: inc, Stamp: h.Stamp(), MaxSchema: configstate.CurrentSchema}
}

// call sends a request and records the configuration stamp of the response.
func (h *Host) call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := h.o.Peers.Call(ctx, addr, req)
	if err == nil {
		h.recordStamp(resp.From, addr, resp.Stamp, resp.MaxSchema)
	}
	return resp, err
}

// recordStamp records the configuration that another host has in force, and fetches it in the
// background if it is newer.
func (h *Host) recordStamp(from, addr string, stamp *pb.ConfigStamp, schema uint32) {
	h.mu.Lock()
	h.versions[from] = hostVersion{stamp, schema, h.o.Clock.Now()}
	h.mu.Unlock()
	if !configstate.Newer(stamp, h.Stamp()) {
		return
	}
	if !h.fetching.TryLock() {
		return
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		defer h.fetching.Unlock()
		h.fetchFrom(context.Background(), h.configSources(from, addr))
	}()
}

// configSources returns the peer addresses to fetch a newer configuration from: first the host
// that reported it, then the control hosts in random order.
func (h *Host) configSources(from, addr string) []string {
	var out []string
	if addr != "" {
		out = append(out, addr)
	} else if v := h.config.Load(); v != nil {
		if host, ok := v.hosts[from]; ok {
			out = append(out, host.Peer)
		}
	}
	control := append([]string(nil), h.o.Control...)
	rand.Shuffle(len(control), func(i, j int) { control[i], control[j] = control[j], control[i] })
	return append(out, control...)
}

// fetchFrom installs the configuration of the first source that has a newer one, and reports
// whether there was one.
func (h *Host) fetchFrom(ctx context.Context, sources []string) bool {
	for _, addr := range sources {
		if h.fetchOne(ctx, addr) {
			return true
		}
	}
	return false
}

func (h *Host) fetchOne(ctx context.Context, addr string) bool {
	have := h.Stamp()
	req := h.request()
	req.Body = &pb.Request_ConfigFetch{ConfigFetch: &pb.ConfigFetch{HaveGeneration: have.Generation, HaveVersion: have.Version}}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := h.o.Peers.Call(ctx, addr, req)
	if err != nil || resp.GetConfig() == nil {
		return false
	}
	return h.install(resp.GetConfig()) == nil
}

// install puts a configuration in force if it is newer, complete and signed.
func (h *Host) install(blob *pb.ConfigBlob) error {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	var current *configstate.Installed
	if v := h.config.Load(); v != nil {
		current = v.Installed
	}
	next, err := configstate.Install(current, blob, h.o.VerifyKey)
	if err != nil {
		h.o.Log.Info("configuration refused", "version", blob.GetStamp().GetVersion(), "reason", err.Error())
		h.o.Metrics.Add("config_refused", 1)
		return err
	}
	v := h.newView(next)
	h.ledger.setMembers(v)
	h.mu.Lock()
	ids := make([]string, 0, len(v.peers))
	for _, p := range v.peers {
		ids = append(ids, p.ID)
	}
	h.members.SetHosts(ids, h.o.Clock.Now())
	h.budget.Ratio = next.Record.Policy.RetryBudget
	h.place.SetSenders(len(next.Record.Hosts) - len(v.peers) - 1)
	h.mu.Unlock()
	h.previous.Store(current)
	h.config.Store(v)
	h.o.Metrics.Add("config_installed", 1)
	h.o.Log.Info("configuration in force", "version", next.Stamp.Version, "generation", next.Stamp.Generation)
	return nil
}

func (h *Host) newView(in *configstate.Installed) *view {
	v := &view{Installed: in, hosts: map[string]configstate.Host{}}
	for _, host := range in.Record.Hosts {
		v.hosts[host.ID] = host
		if host.FailureDomain == h.o.FailureDomain && host.ID != h.o.ID {
			v.peers = append(v.peers, host)
		}
	}
	return v
}

// fetchInitialConfig asks each seed and control host for its configuration, at each call until
// a configuration is in force. The host is not ready until it has one and each of them has been
// queried once.
func (h *Host) fetchInitialConfig(ctx context.Context) {
	if h.peersQueried.Load() && h.config.Load() != nil {
		return
	}
	for _, addr := range append(append([]string(nil), h.o.Seeds...), h.o.Control...) {
		if addr != h.o.Peer {
			h.fetchOne(ctx, addr)
		}
	}
	if h.config.Load() != nil {
		h.peersQueried.Store(true)
	}
}

// reportVersions reports to the control hosts which configuration versions this failure
// domain's hosts have in force, and publishes the client directory. Only one host of the
// failure domain does so; see isReporter.
func (h *Host) reportVersions(ctx context.Context) {
	v := h.config.Load()
	if v == nil || !h.isReporter(v) {
		return
	}
	now := h.o.Clock.Now()
	hosts := []*pb.HostVersion{{Host: h.o.ID, Stamp: shortStamp(v.Stamp), MaxSchema: configstate.CurrentSchema}}
	h.mu.Lock()
	for _, p := range v.peers {
		if hv, ok := h.versions[p.ID]; ok {
			hosts = append(hosts, &pb.HostVersion{
				Host: p.ID, Stamp: shortStamp(hv.stamp), MaxSchema: hv.schema, AgeMs: uint64(now.Sub(hv.at).Milliseconds()),
			})
		}
	}
	h.mu.Unlock()
	for _, addr := range h.o.Control {
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			req := h.request()
			req.Body = &pb.Request_VersionReport{VersionReport: &pb.VersionReport{Hosts: hosts}}
			_, _ = h.call(ctx, addr, req)
		}()
	}
	h.publishDirectory(ctx, v)
}

// shortStamp returns the stamp without its digest, which reports do not need.
func shortStamp(s *pb.ConfigStamp) *pb.ConfigStamp {
	return &pb.ConfigStamp{Generation: s.GetGeneration(), Version: s.GetVersion()}
}

func ledgerMembers(hosts []configstate.Host) []ledger.Member {
	out := make([]ledger.Member, 0, len(hosts))
	for _, host := range hosts {
		out = append(out, ledger.Member{ID: host.ID, FailureDomain: host.FailureDomain})
	}
	return out
}

// configReply answers another host's fetch: with a delta if that host has the version before
// the one in force, else with the whole record. It returns nil while no configuration is in
// force.
func (h *Host) configReply(f *pb.ConfigFetch) *pb.ConfigBlob {
	v := h.config.Load()
	if v == nil {
		return nil
	}
	var base []byte
	if prev := h.previous.Load(); prev != nil && prev.Stamp.Version == f.HaveVersion && prev.Stamp.Generation == f.HaveGeneration {
		base = prev.Raw
	}
	return configstate.UpdateFor(v.Blob, f.HaveGeneration, f.HaveVersion, base)
}

const directoryTTL = 15 * time.Second
