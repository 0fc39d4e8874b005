package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/quota"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// borrowInterval is the pause between messages in which an issuer reports to and borrows from the
// other control hosts.
const borrowInterval = 200 * time.Millisecond

// quotas grants units of this control host's part of the teams' quotas.
type quotas struct {
	clock  port.Clock
	log    logr.Logger
	store  port.QuotaStore // nil for none: after a restart, units may be granted a second time
	mu     sync.Mutex
	issuer *quota.Issuer
	// epoch and sequence number the asks that this process sends.
	epoch, sequence  uint64
	shortageLoggedAt map[string]time.Time // time of the last log line on a shortage, by team
}

// newQuotas returns the quotas after a start. Units that an earlier process may have granted count
// as spent; if the stored state cannot be read, all units do.
func newQuotas(o Options) *quotas {
	q := &quotas{clock: o.Clock, log: o.Log, store: o.QuotaStore, epoch: uint64(o.Clock.Now().UnixNano()), shortageLoggedAt: map[string]time.Time{}}
	io := quota.IssuerOptions{Bound: o.QuotaBound, FirstStart: o.FirstStart, SettlePeriod: issuerStalenessLimit}
	if q.store != nil {
		var err error
		if io.Restored, err = q.store.Load(); err != nil {
			o.Log.Info("stored quotas cannot be read; all units count as spent", "reason", err.Error())
		}
	}
	q.issuer = quota.NewIssuer(io, o.Clock.Now())
	return q
}

// quotaStoreInterval is the pause between checks whether more units must be stored as possibly
// granted.
const quotaStoreInterval = 100 * time.Millisecond

// storeQuotas stores the units that may be granted before they are granted, so that a restart does
// not grant them a second time.
func (r *Replica) storeQuotas(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(quotaStoreInterval)
	defer t.Stop()
	for failed := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		err := r.quotas.save()
		if err != nil && !failed {
			r.o.Log.Info("quotas cannot be stored; no more units are granted", "reason", err.Error())
		}
		failed = err != nil
	}
}

func (q *quotas) save() error {
	q.mu.Lock()
	units := q.issuer.StateToStore(q.clock.Now())
	q.mu.Unlock()
	if units == nil {
		return nil
	}
	if q.store != nil {
		if err := q.store.Save(units); err != nil {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.issuer.InvalidateStored()
			return err
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.issuer.ConfirmStored(units)
	return nil
}

func (q *quotas) setTeams(teams []configstate.Team) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.issuer.SetTeams(teams, q.clock.Now())
	clear(q.shortageLoggedAt)
}

// answerQuotaAsk answers an ask. Whether this control host may grant units is determined anew: it
// may have been suspended since the last update.
func (r *Replica) answerQuotaAsk(from string, ask *pb.QuotaAsk) *pb.QuotaGrant {
	q := r.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	_, active := r.quotaShare(now)
	q.issuer.SetActive(active)
	grant := q.issuer.Answer(from, ask, now)
	for i, s := range grant.Shares {
		if s.MoreInMs > 0 {
			q.logShortage(from, ask.Parts[i], s, now)
		}
	}
	return grant
}

// shortageLogInterval is the minimum time between two log lines on a shortage of one team's units.
const shortageLogInterval = time.Second

// logShortage logs that fewer units were granted than a host needs.
func (q *quotas) logShortage(from string, p *pb.QuotaPart, s *pb.QuotaShare, now time.Time) {
	if now.Sub(q.shortageLoggedAt[p.Team]) < shortageLogInterval {
		return
	}
	q.shortageLoggedAt[p.Team] = now
	l := q.issuer.Level(p.Team, now)
	q.log.Info("quota exhausted on this control host", "team", p.Team, "host_id", from, "needed", int64(p.Needed), "granted", int64(s.Granted), "more_in_ms", s.MoreInMs,
		"size", int64(l.Size), "free", int64(l.Free), "borrowed", int64(l.Borrowed), "lent", int64(l.Lent), "held", int64(l.Held), "back_later", int64(l.PendingReturn), "asked_per_s", int64(l.DemandPerSecond))
}

// QuotaLevels returns the state of each team's quota on this control host.
func (r *Replica) QuotaLevels() []quota.Level {
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	return r.quotas.issuer.Levels(r.quotas.clock.Now())
}

// maintainQuotaShare updates this control host's share of the quotas, and borrows units from the
// other control hosts while its entry hosts need more than the share.
func (r *Replica) maintainQuotaShare(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(borrowInterval)
	defer t.Stop()
	inFlight := &inFlightSet{m: map[string]bool{}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		others := r.otherIssuers()
		r.updateQuotaShare()
		for _, addr := range others {
			if inFlight.tryStart(addr) {
				go func() {
					defer inFlight.end(addr)
					r.borrow(ctx, addr, len(others))
				}()
			}
		}
	}
}

func (r *Replica) otherIssuers() []string {
	var out []string
	if r.fleet != nil {
		for _, c := range r.fleet.liveControls() {
			out = append(out, c.Peer)
		}
		return out
	}
	if m := r.otherMemberAddresses.Load(); m != nil {
		out = *m
	}
	return out
}

// borrow sends another control host the units that this one keeps, returns and needs, and records
// the answer.
func (r *Replica) borrow(ctx context.Context, addr string, lenders int) {
	sentAt := r.o.Clock.Now()
	q := r.quotas
	q.mu.Lock()
	ask := q.issuer.ComposeBorrowAsk(addr, lenders, sentAt)
	q.sequence++
	sequence := q.sequence
	q.mu.Unlock()
	if ask == nil {
		return
	}
	ask.Epoch, ask.Sequence = q.epoch, sequence
	ctx, cancel := context.WithTimeout(ctx, quota.LoanTimeout)
	defer cancel()
	req := r.request()
	req.Body = &pb.Request_QuotaAsk{QuotaAsk: ask}
	resp, err := r.o.Peers.Call(ctx, addr, req)
	if err != nil {
		return // repeated after borrowInterval
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.issuer.ApplyLoan(addr, ask, resp.GetQuotaGrant(), sentAt, r.o.Clock.Now())
}
