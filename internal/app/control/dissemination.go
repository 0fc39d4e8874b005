package control

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Times and limits of the dissemination of configurations. Each replica offers a new
// configuration to a few entry hosts of each failure domain; the others receive it from these.
const (
	disseminateInterval = 500 * time.Millisecond
	reofferInterval     = 3 * time.Second
	offersPerDomain     = 2
	offerTimeout        = time.Second
	reportLifetime      = 30 * time.Second
)

// disseminate offers a newly applied configuration to entry hosts, and repeats the offer until
// every configured host has reported the version.
func (r *Replica) disseminate(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(disseminateInterval)
	defer t.Stop()
	var offered uint64
	var at time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p := r.published.Load()
		if p.Record == nil {
			continue
		}
		now := r.o.Clock.Now()
		if p.Stamp.Version == offered && (now.Sub(at) < reofferInterval || r.reports.allReported(p, now)) {
			continue
		}
		offered, at = p.Stamp.Version, now
		r.offer(ctx, p)
	}
}

// offer sends the stamp of the version in force, which is part of every request, to some entry
// hosts of each failure domain.
func (r *Replica) offer(ctx context.Context, p *Published) {
	var wg sync.WaitGroup
	for _, hosts := range byDomain(p.Record.Hosts) {
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		for _, h := range hosts[:min(offersPerDomain, len(hosts))] {
			wg.Add(1)
			go func() {
				defer wg.Done()
				callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
				defer cancel()
				req := r.request()
				req.Body = &pb.Request_ConfigOffer{ConfigOffer: &pb.ConfigOffer{}}
				_, _ = r.o.Peers.Call(callCtx, h.Peer, req)
			}()
		}
	}
	wg.Wait()
}

func byDomain(hosts []configstate.Host) map[string][]configstate.Host {
	out := map[string][]configstate.Host{}
	for _, h := range hosts {
		out[h.FailureDomain] = append(out[h.FailureDomain], h)
	}
	return out
}

// reports holds the versions that entry hosts last reported as in force.
type reports struct {
	mu   sync.Mutex
	last map[string]report
}

type report struct {
	host *pb.HostVersion
	at   time.Time
}

func newReports() *reports { return &reports{last: map[string]report{}} }

func (s *reports) add(hosts []*pb.HostVersion, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		at := now.Add(-time.Duration(h.AgeMs) * time.Millisecond)
		if old, ok := s.last[h.Host]; !ok || at.After(old.at) {
			s.last[h.Host] = report{h, at}
		}
	}
}

// list returns the reported versions with the age of each report, sorted by host.
func (s *reports) list(now time.Time) []*pb.HostVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*pb.HostVersion, 0, len(s.last))
	for _, r := range s.last {
		out = append(out, &pb.HostVersion{
			Host: r.host.Host, Stamp: r.host.Stamp, MaxSchema: r.host.MaxSchema,
			AgeMs: uint64(max(0, now.Sub(r.at).Milliseconds())),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// hostBelowSchema returns a live host that does not support the schema version.
func (s *reports) hostBelowSchema(schema uint32, now time.Time) (*pb.HostVersion, bool) {
	for _, h := range s.list(now) {
		if h.MaxSchema < schema && h.AgeMs < uint64(reportLifetime.Milliseconds()) {
			return h, true
		}
	}
	return nil, false
}

// allReported reports whether every configured host has reported p's version or a newer one within
// reportLifetime.
func (s *reports) allReported(p *Published, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range p.Record.Hosts {
		r, ok := s.last[h.ID]
		if !ok || now.Sub(r.at) > reportLifetime || configstate.Newer(p.Stamp, r.host.Stamp) {
			return false
		}
	}
	return true
}
