package entry

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamefork/sesamefork/internal/core/backend"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/membership"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// helpers is the number of hosts asked to probe for another.
const helpers = 2

// frozenFactor times the probe interval without a probe of its own means that
// the process was frozen.
const frozenFactor = 3

// probe watches the hosts of the failure domain.
func (h *Host) probe(ctx context.Context) {
	v := h.config.Load()
	if v == nil {
		return
	}
	h.noteFreeze()
	h.probedAt.Store(h.o.Clock.Now().UnixNano())
	h.mu.Lock()
	targets := h.members.Targets()
	h.mu.Unlock()
	if len(targets) == 0 {
		h.unsure.Store(false)
	}
	for _, target := range targets {
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			h.probeOne(ctx, v, target)
		}()
	}
}

// noteFreeze detects that this process stood still for longer than its
// neighbours wait: it may be held dead and asks them before it takes work.
func (h *Host) noteFreeze() {
	now := h.o.Clock.Now()
	last := h.probedAt.Load()
	if last == 0 {
		return
	}
	if pause := now.Sub(time.Unix(0, last)); pause > frozenFactor*h.o.Probe && !h.unsure.Swap(true) {
		h.o.Metrics.Add("thawed", 1)
		h.o.Log.Info("process was frozen", "ms", pause.Milliseconds())
	}
}

func (h *Host) probeOne(ctx context.Context, v *view, target string) {
	timeout := h.o.Probe
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if h.probeDirect(ctx, v, target) {
		h.unsure.Store(false)
		return
	}
	h.mu.Lock()
	others := h.members.Helpers(target, helpers)
	h.mu.Unlock()
	reached := make(chan bool, len(others))
	for _, id := range others {
		go func() { reached <- h.probeThrough(v, id, target) }()
	}
	ok := false
	for range others {
		ok = <-reached || ok
	}
	if ok {
		return
	}
	h.mu.Lock()
	h.members.Failed(target, h.o.Clock.Now())
	h.mu.Unlock()
	if len(others) == 0 {
		h.unsure.Store(false) // nobody to ask: alone, the host serves on
	}
}

func (h *Host) probeDirect(ctx context.Context, v *view, target string) bool {
	req := h.request()
	h.mu.Lock()
	updates := h.members.Updates(target)
	h.mu.Unlock()
	req.Body = &pb.Request_Probe{Probe: &pb.Probe{Updates: updates, Draining: h.draining.Load()}}
	resp, err := h.o.Peers.Call(ctx, v.hosts[target].Peer, req)
	if err != nil {
		return false
	}
	h.heardStamp(resp.From, v.hosts[target].Peer, resp.Stamp, resp.MaxSchema)
	ack := resp.GetProbeAck()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	h.members.Merge(ack.GetUpdates(), now)
	h.members.Acked(target, resp.Incarnation, ack.GetDraining(), now)
	return true
}

func (h *Host) probeThrough(v *view, helper, target string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*h.o.Probe)
	defer cancel()
	req := h.request()
	req.Body = &pb.Request_IndirectProbe{IndirectProbe: &pb.IndirectProbe{Target: target}}
	resp, err := h.o.Peers.Call(ctx, v.hosts[helper].Peer, req)
	return err == nil && resp.GetProbeAck().GetReached()
}

// answerProbe takes another host's probe.
func (h *Host) answerProbe(req *pb.Request, p *pb.Probe) *pb.ProbeAck {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	if h.members.Merge(p.Updates, now) {
		h.o.Metrics.Add("held_dead", 1)
		h.o.Log.Info("held dead by a neighbour; refuted", "by", req.From, "incarnation", h.members.Incarnation())
	}
	h.members.Acked(req.From, req.Incarnation, p.Draining, now)
	return &pb.ProbeAck{Updates: h.members.Updates(req.From), Draining: h.draining.Load()}
}

func (h *Host) answerIndirect(ctx context.Context, p *pb.IndirectProbe) *pb.ProbeAck {
	v := h.config.Load()
	host, ok := v.hosts[p.Target]
	if !ok {
		return &pb.ProbeAck{}
	}
	ctx, cancel := context.WithTimeout(ctx, h.o.Probe)
	defer cancel()
	return &pb.ProbeAck{Reached: h.probeDirect(ctx, v, host.ID)}
}

// memberEvents acts on hosts that were found dead or alive.
func (h *Host) memberEvents() {
	h.mu.Lock()
	events := h.members.Events()
	h.place.Table.SetSharers(1 + len(h.members.Live()))
	h.mu.Unlock()
	v := h.config.Load()
	for _, e := range events {
		h.o.Log.Info("member "+e.State.String(), "member", e.ID)
		h.o.Metrics.Add("member_"+e.State.String(), 1)
		if e.State == membership.Dead && h.o.Drop != nil && v != nil {
			h.o.Drop(v.hosts[e.ID].Peer)
		}
	}
}

// sendUpdates sends the announcements received here to the hosts of the
// failure domain, with the summaries received from other failure domains.
func (h *Host) sendUpdates(ctx context.Context) {
	v := h.config.Load()
	if v == nil {
		return
	}
	up := h.domainUpdate()
	if len(up.Servers) == 0 && len(up.Summaries) == 0 && !up.Draining && up.EngineLoad+up.ServiceLoad < minLoad {
		return
	}
	h.mu.Lock()
	live := h.members.Live()
	h.mu.Unlock()
	for _, id := range live {
		addr := v.hosts[id].Peer
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			req := h.request()
			req.Body = &pb.Request_DomainUpdate{DomainUpdate: up}
			_, _ = h.call(ctx, addr, req)
		}()
	}
}

// minLoad is the load below which it is not worth a message.
const minLoad = 0.01

func (h *Host) domainUpdate() *pb.DomainUpdate {
	now := h.o.Clock.Now()
	up := &pb.DomainUpdate{Draining: h.draining.Load()}
	h.mu.Lock()
	defer h.mu.Unlock()
	up.EngineLoad = float32(h.place.Table.OwnLoad(backend.KindEngine, now))
	up.ServiceLoad = float32(h.place.Table.OwnLoad(backend.KindService, now))
	for id, at := range h.sponsored {
		s := h.place.Table.Get(id)
		if s == nil || now.Sub(at) > h.o.Lease {
			delete(h.sponsored, id)
			continue
		}
		up.Servers = append(up.Servers, aged(s.State, now.Sub(at)))
	}
	for _, r := range h.place.Remotes() {
		if r.Direct && now.Sub(r.At) < 2*h.o.Summary {
			up.Summaries = append(up.Summaries, agedSummary(r.Summary, now.Sub(r.At)))
		}
	}
	return up
}

// aged returns a copy of the state with its age.
func aged(st *pb.BackendState, age time.Duration) *pb.BackendState {
	return &pb.BackendState{
		Id: st.Id, Address: st.Address, Kind: st.Kind, Models: st.Models, Adapters: st.Adapters, Slots: st.Slots,
		Running: st.Running, Queued: st.Queued, QueuedTokens: st.QueuedTokens, Incarnation: st.Incarnation,
		Sequence: st.Sequence, Leaving: st.Leaving, Prefixes: st.Prefixes, PrefillRate: st.PrefillRate,
		DecodeMs: st.DecodeMs, AgeMs: uint64(max(0, age.Milliseconds())),
	}
}

func agedSummary(s *pb.Summary, age time.Duration) *pb.Summary {
	return &pb.Summary{
		FailureDomain: s.FailureDomain, Region: s.Region, Sequence: s.Sequence,
		Models: s.Models, Hosts: s.Hosts, AgeMs: uint64(max(0, age.Milliseconds())),
	}
}

// takeUpdate merges what a neighbour sponsors.
func (h *Host) takeUpdate(from string, up *pb.DomainUpdate) {
	h.mu.Lock()
	now := h.o.Clock.Now()
	for _, st := range up.Servers {
		h.place.Table.Merge(st, now)
	}
	h.place.Table.SetOtherLoad(from, backend.KindEngine, float64(up.EngineLoad), now)
	h.place.Table.SetOtherLoad(from, backend.KindService, float64(up.ServiceLoad), now)
	for _, s := range up.Summaries {
		h.place.MergeSummary(s, now, false)
	}
	if m, ok := h.members.Get(from); ok && m.Draining != up.Draining {
		h.members.Acked(from, m.Incarnation, up.Draining, now)
	}
	h.mu.Unlock()
	h.poke(h.wake)
}

// Announce takes a backend server's announcement. Leaving is passed on at once.
func (h *Host) Announce(st *pb.BackendState) (announceTo []string) {
	now := h.o.Clock.Now()
	h.mu.Lock()
	old := h.place.Table.Get(st.Id)
	fresh := old == nil || old.State.Leaving != st.Leaving || old.State.Incarnation != st.Incarnation
	if h.place.Table.Merge(st, now) {
		h.sponsored[st.Id] = now
	}
	h.mu.Unlock()
	if fresh {
		h.poke(h.sendNow)
	}
	h.poke(h.wake)
	return h.sponsorURLs(st.Id)
}

// CacheEvents takes a backend server's cache events.
func (h *Host) CacheEvents(id string, first uint64, added, evicted []uint64) (gap, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.place.Table.Get(id)
	if s == nil {
		return false, false
	}
	gap = s.CacheEvents(first, added, evicted)
	if gap {
		h.o.Metrics.Add("cache_event_gaps", 1)
	}
	return gap, true
}

// sponsorURLs orders the entry hosts of the failure domain for a backend
// server: spread by a stable hash, this host among them.
func (h *Host) sponsorURLs(server string) []string {
	v := h.config.Load()
	if v == nil {
		return nil
	}
	hosts := h.liveHosts(v, h.o.FailureDomain)
	sortByHash(hosts, server)
	return urls(hosts)
}

func sortByHash(hosts []configstate.Host, salt string) {
	rank := func(x configstate.Host) uint64 { return xxhash.Sum64String(x.ID + "\x00" + salt) }
	sort.Slice(hosts, func(i, j int) bool { return rank(hosts[i]) < rank(hosts[j]) })
}

func urls(hosts []configstate.Host) []string {
	out := make([]string, 0, len(hosts))
	for _, e := range hosts {
		out = append(out, e.Caller)
	}
	return out
}

// liveHosts returns the entry hosts of a failure domain that may take work.
func (h *Host) liveHosts(v *view, domain string) []configstate.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	var out []configstate.Host
	listed := map[string]bool{}
	r := h.place.Remote(domain)
	if r != nil && now.Sub(r.At) < summaryStale {
		for _, id := range r.Summary.Hosts {
			listed[id] = true
		}
	}
	for _, e := range v.Record.Hosts {
		if e.FailureDomain != domain {
			continue
		}
		switch {
		case e.ID == h.o.ID:
			if h.draining.Load() {
				continue
			}
		case domain == h.o.FailureDomain:
			m, ok := h.members.Get(e.ID)
			if !ok || m.State != membership.Alive || m.Draining {
				continue
			}
		case !listed[e.ID]:
			continue
		}
		out = append(out, e)
	}
	return out
}

// EntryHosts returns the entry hosts that a caller should use, best first: the
// own failure domain, the region, then the other regions.
func (h *Host) EntryHosts(caller string) []configstate.Host {
	v := h.config.Load()
	if v == nil {
		return nil
	}
	var own, region, others []configstate.Host
	for _, reg := range v.Record.Regions {
		for _, d := range reg.FailureDomains {
			hosts := h.liveHosts(v, d)
			switch {
			case d == h.o.FailureDomain:
				own = append(own, hosts...)
			case reg.Name == h.o.Region:
				region = append(region, hosts...)
			default:
				others = append(others, hosts...)
			}
		}
	}
	var out []configstate.Host
	for _, group := range [][]configstate.Host{own, region, others} {
		sortByHash(group, caller)
		out = append(out, group...)
	}
	return out
}

func (h *Host) otherURLs() []string {
	var out []configstate.Host
	for _, e := range h.EntryHosts(h.o.ID) {
		if e.ID != h.o.ID {
			out = append(out, e)
		}
	}
	return urls(out)
}

func (h *Host) publishDirectory(ctx context.Context, v *view) {
	if h.o.Directory == nil {
		return
	}
	var entries []port.DirectoryEntry
	for _, e := range h.EntryHosts("") {
		if e.Region == h.o.Region {
			entries = append(entries, port.DirectoryEntry{ID: e.ID, URL: e.Caller, Region: e.Region, FailureDomain: e.FailureDomain})
		}
	}
	if err := h.o.Directory.Publish(ctx, h.o.Region, entries, directoryTTL); err != nil {
		h.o.Metrics.Add("directory_failures", 1)
		h.o.Log.V(1).Info("directory not reached", "reason", err.Error())
	}
}

// isSummariser reports whether this host speaks for its failure domain: the
// live host with the lowest ID.
func (h *Host) isSummariser(v *view) bool {
	live := h.liveHosts(v, h.o.FailureDomain)
	for _, e := range live {
		if e.ID < h.o.ID {
			return false
		}
	}
	return true
}

// summaryFanout is the number of hosts of each failure domain that get a summary.
const summaryFanout = 2

// sendSummaries tells the other failure domains what this one offers.
func (h *Host) sendSummaries(ctx context.Context) {
	v := h.config.Load()
	if v == nil || !h.isSummariser(v) {
		return
	}
	s := h.summarise(v)
	for _, reg := range v.Record.Regions {
		for _, d := range reg.FailureDomains {
			if d == h.o.FailureDomain {
				continue
			}
			for _, target := range h.summaryTargets(v, d) {
				h.wg.Add(1)
				go func() {
					defer h.wg.Done()
					h.sendSummary(ctx, d, target, s)
				}()
			}
		}
	}
}

func (h *Host) summaryTargets(v *view, domain string) []configstate.Host {
	hosts := h.liveHosts(v, domain)
	if len(hosts) == 0 {
		for _, e := range v.Record.Hosts {
			if e.FailureDomain == domain {
				hosts = append(hosts, e)
			}
		}
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(summaryFanout, len(hosts))]
}

func (h *Host) sendSummary(ctx context.Context, domain string, target configstate.Host, s *pb.Summary) {
	req := h.request()
	req.Body = &pb.Request_SummaryUpdate{SummaryUpdate: &pb.SummaryUpdate{Summaries: []*pb.Summary{s}}}
	start := h.o.Clock.Now()
	if _, err := h.call(ctx, target.Peer, req); err != nil {
		return
	}
	oneWay := h.o.Clock.Now().Sub(start) / 2
	h.mu.Lock()
	defer h.mu.Unlock()
	h.place.ObserveLatency(domain, oneWay)
}

// summarise adds up this failure domain's servers for each model and service.
func (h *Host) summarise(v *view) *pb.Summary {
	var hosts []string
	for _, e := range h.liveHosts(v, h.o.FailureDomain) {
		hosts = append(hosts, e.ID)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.place.Summarise(hosts, h.o.Clock.Now())
}

// takeSummaries merges summaries of other failure domains.
func (h *Host) takeSummaries(up *pb.SummaryUpdate) {
	h.mu.Lock()
	now := h.o.Clock.Now()
	for _, s := range up.Summaries {
		h.place.MergeSummary(s, now, true)
	}
	h.mu.Unlock()
	h.poke(h.wake)
}

// HandleRequest answers the other hosts' requests; see peerlink.Handler.
func (h *Host) HandleRequest(ctx context.Context, req *pb.Request) *pb.Response {
	h.heardStamp(req.From, "", req.Stamp, req.MaxSchema)
	resp := &pb.Response{From: h.o.ID, Stamp: h.Stamp(), MaxSchema: configstate.CurrentSchema}
	if h.config.Load() == nil && !alwaysServed(req) {
		resp.Refusal = &pb.Refusal{Code: string(failure.NotReady), Detail: "no configuration yet"}
		return resp
	}
	resp.Body = &pb.Response_Empty{Empty: &pb.Empty{}}
	switch b := req.Body.(type) {
	case *pb.Request_Probe:
		resp.Body = &pb.Response_ProbeAck{ProbeAck: h.answerProbe(req, b.Probe)}
	case *pb.Request_IndirectProbe:
		resp.Body = &pb.Response_ProbeAck{ProbeAck: h.answerIndirect(ctx, b.IndirectProbe)}
	case *pb.Request_DomainUpdate:
		h.takeUpdate(req.From, b.DomainUpdate)
	case *pb.Request_SummaryUpdate:
		h.takeSummaries(b.SummaryUpdate)
	case *pb.Request_ConfigFetch:
		if blob := h.configReply(b.ConfigFetch); blob != nil {
			resp.Body = &pb.Response_Config{Config: blob}
		}
	case *pb.Request_ConfigOffer:
		// The stamp in the head was taken in above.
	case *pb.Request_Ledger:
		resp.Body = &pb.Response_Ledger{Ledger: h.ledger.handle(b.Ledger)}
	case *pb.Request_StatusQuery:
		resp.Body = &pb.Response_Status{Status: h.status()}
	default:
		resp.Body = nil
		resp.Refusal = &pb.Refusal{Code: string(failure.BadRequest), Detail: "an entry host does not take this message"}
	}
	h.mu.Lock()
	resp.Incarnation = h.members.Incarnation()
	h.mu.Unlock()
	return resp
}

func alwaysServed(req *pb.Request) bool {
	switch req.Body.(type) {
	case *pb.Request_ConfigFetch, *pb.Request_ConfigOffer, *pb.Request_StatusQuery:
		return true
	}
	return false
}

func (h *Host) status() *pb.HostStatus {
	return &pb.HostStatus{
		Host: h.o.ID, Role: "entry", Region: h.o.Region, FailureDomain: h.o.FailureDomain,
		Stamp: h.Stamp(), MaxSchema: configstate.CurrentSchema, Ready: h.Ready() == nil,
	}
}
