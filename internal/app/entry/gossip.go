package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/backend"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// sendUpdates sends the announcements received here to the live hosts of the failure domain,
// with the summaries received from other failure domains.
func (h *Host) sendUpdates(ctx context.Context) {
	v := h.config.Load()
	if v == nil {
		return
	}
	up := h.domainUpdate()
	if len(up.Servers) == 0 && len(up.Summaries) == 0 && !up.Draining && up.EngineLoad+up.ServiceLoad < minSentLoad {
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

// minSentLoad is the load below which an update that contains nothing else is not sent.
const minSentLoad = 0.01

func (h *Host) domainUpdate() *pb.DomainUpdate {
	now := h.o.Clock.Now()
	up := &pb.DomainUpdate{Draining: h.draining.Load()}
	h.mu.Lock()
	defer h.mu.Unlock()
	up.EngineLoad = float32(h.place.Table.OwnLoad(backend.KindEngine, now))
	up.ServiceLoad = float32(h.place.Table.OwnLoad(backend.KindService, now))
	for id, srv := range h.announcing {
		s := h.place.Table.Get(id)
		if s == nil || now.Sub(srv.at) > h.o.Lease {
			delete(h.announcing, id)
			continue
		}
		if id := (announcementID{s.State.Incarnation, s.State.Sequence}); srv.lastSent != id {
			srv.lastSent = id
			st := withAge(s.State, now.Sub(srv.at))
			st.Prefixes = srv.unsentPrefixes(s.State.Prefixes)
			up.Servers = append(up.Servers, st)
		}
	}
	for _, r := range h.place.Remotes() {
		if r.Direct && h.relayedSummaries[r.Summary.FailureDomain] != r.Summary.Sequence {
			h.relayedSummaries[r.Summary.FailureDomain] = r.Summary.Sequence
			up.Summaries = append(up.Summaries, summaryWithAge(r.Summary, now.Sub(r.At)))
		}
	}
	return up
}

// announcingServer is a backend server that announces itself to this host.
type announcingServer struct {
	at           time.Time
	lastSent     announcementID
	sentPrefixes map[uint64]bool // sent since the last update with all prefixes
	updatesSent  int             // announcements sent to the other hosts
}

// allPrefixesEvery is the number of announcements after which all prefixes are sent again, for
// hosts that have started in between.
const allPrefixesEvery = 60

// unsentPrefixes returns the prefixes that were not sent since the last update with all of
// them.
func (s *announcingServer) unsentPrefixes(all []uint64) []uint64 {
	if s.updatesSent%allPrefixesEvery == 0 {
		s.sentPrefixes = map[uint64]bool{}
	}
	s.updatesSent++
	var out []uint64
	for _, p := range all {
		if !s.sentPrefixes[p] {
			s.sentPrefixes[p] = true
			out = append(out, p)
		}
	}
	return out
}

// announcementID identifies one announcement of a backend server.
type announcementID struct{ incarnation, sequence uint64 }

// withAge returns a copy of the state with its age set and without its prefixes.
func withAge(st *pb.BackendState, age time.Duration) *pb.BackendState {
	return &pb.BackendState{
		Id: st.Id, Address: st.Address, Kind: st.Kind, Models: st.Models, Adapters: st.Adapters, Slots: st.Slots,
		Running: st.Running, Queued: st.Queued, QueuedTokens: st.QueuedTokens, Incarnation: st.Incarnation,
		Sequence: st.Sequence, Leaving: st.Leaving, PrefillRate: st.PrefillRate,
		DecodeMs: st.DecodeMs, AgeMs: uint64(max(0, age.Milliseconds())),
	}
}

func summaryWithAge(s *pb.Summary, age time.Duration) *pb.Summary {
	return &pb.Summary{
		FailureDomain: s.FailureDomain, Region: s.Region, Sequence: s.Sequence,
		Models: s.Models, Hosts: s.Hosts, AgeMs: uint64(max(0, age.Milliseconds())),
	}
}

// mergeUpdate merges another host's update: the servers that announce themselves to it, its
// load and the summaries that it received.
func (h *Host) mergeUpdate(from string, up *pb.DomainUpdate) {
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
		h.members.RecordContact(from, m.Incarnation, up.Draining, now)
	}
	h.mu.Unlock()
	h.signal(h.dispatchNow)
}

// Announce merges a backend server's announcement, and returns the URLs of the entry hosts to
// which the server may announce itself. A new or restarted server, and one that starts or stops
// leaving, is sent to the other hosts without waiting for the next update.
func (h *Host) Announce(st *pb.BackendState) (announceTo []string) {
	now := h.o.Clock.Now()
	h.mu.Lock()
	old := h.place.Table.Get(st.Id)
	changed := old == nil || old.State.Leaving != st.Leaving || old.State.Incarnation != st.Incarnation
	if h.place.Table.Merge(st, now) {
		srv := h.announcing[st.Id]
		if srv == nil {
			srv = &announcingServer{}
			h.announcing[st.Id] = srv
		}
		srv.at = now
	}
	h.mu.Unlock()
	if changed {
		h.signal(h.sendNow)
	}
	h.signal(h.dispatchNow)
	return h.announceURLs(st.Id)
}

// CacheEvents applies a backend server's cache events. gap reports that earlier events are
// missing, known that the server is known here.
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

// summaryFanout is the number of hosts of each failure domain that receive a summary and pass
// it on within the failure domain. domainsPerTick is the number of other failure domains served
// in one interval: with more of them, each receives summaries less often, so that the cost for
// a host stays bounded.
const (
	summaryFanout  = 1
	domainsPerTick = 10
)

// sendSummaries sends a summary of this failure domain's capacity to the other failure domains.
// The live hosts share the work: each sends to every n-th failure domain, n being their number.
func (h *Host) sendSummaries(ctx context.Context) {
	v := h.config.Load()
	if v == nil {
		return
	}
	domains := h.otherDomains(v)
	h.summaryTicks++
	if every := 1 + len(domains)/domainsPerTick; h.summaryTicks%every != 0 {
		return
	}
	rank, live := h.rank(v)
	var s *pb.Summary
	for i, d := range domains {
		if live == 0 || i%live != rank {
			continue
		}
		if s == nil {
			s = h.summarise(v)
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

// otherDomains returns the other failure domains in the order of the record.
func (h *Host) otherDomains(v *view) []string {
	var out []string
	for _, reg := range v.Record.Regions {
		for _, d := range reg.FailureDomains {
			if d != h.o.FailureDomain {
				out = append(out, d)
			}
		}
	}
	return out
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

// summarise adds up the capacity of this failure domain's servers for each model and service.
func (h *Host) summarise(v *view) *pb.Summary {
	var hosts []string
	for _, e := range h.liveHosts(v, h.o.FailureDomain) {
		hosts = append(hosts, e.ID)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.place.Summarise(hosts, h.o.Clock.Now())
}

// mergeSummaries merges the summaries that other failure domains sent to this host.
func (h *Host) mergeSummaries(up *pb.SummaryUpdate) {
	h.mu.Lock()
	now := h.o.Clock.Now()
	for _, s := range up.Summaries {
		h.place.MergeSummary(s, now, true)
	}
	h.mu.Unlock()
	h.signal(h.dispatchNow)
}
