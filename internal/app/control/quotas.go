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

// borrowInterval is how often other control hosts are told and asked.
const borrowInterval = 200 * time.Millisecond

// quotas gives out this control host's part of the teams' quotas.
type quotas struct {
	clock  port.Clock
	log    logr.Logger
	store  port.QuotaStore // nil for none: units are given out anew after a restart
	mu     sync.Mutex
	issuer *quota.Issuer
	// epoch and sequence number the asks of this process.
	epoch, sequence uint64
	logged          map[string]time.Time // when a team was last said to be short, by team
}

// newQuotas returns what gives out quotas after a start. What an earlier process may have given
// out counts as spent; if that can't be read, all of it.
func newQuotas(o Options) *quotas {
	q := &quotas{clock: o.Clock, log: o.Log, store: o.QuotaStore, epoch: uint64(o.Clock.Now().UnixNano()), logged: map[string]time.Time{}}
	io := quota.IssuerOptions{Bound: o.Quotas, FirstStart: o.FirstStart, SettlePeriod: issuerSettle}
	if q.store != nil {
		var err error
		if io.Restored, err = q.store.Load(); err != nil {
			o.Log.Info("stored quotas can't be read; units are given out later", "reason", err.Error())
		}
	}
	q.issuer = quota.NewIssuer(io, o.Clock.Now())
	return q
}

// storeInterval is how often it is looked whether more may be given out than is stored.
const storeInterval = 100 * time.Millisecond

// storeQuotas stores ahead what may be given out, so that a restart does not give it out twice.
func (r *Replica) storeQuotas(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(storeInterval)
	defer t.Stop()
	for failed := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		err := r.quotas.save()
		if err != nil && !failed {
			r.o.Log.Info("quotas can't be stored; no more units are given out", "reason", err.Error())
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
	clear(q.logged)
}

func (q *quotas) answer(from string, ask *pb.QuotaAsk) *pb.QuotaGrant {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	grant := q.issuer.Answer(from, ask, now)
	for i, s := range grant.Shares {
		if s.MoreInMs > 0 {
			q.logShort(from, ask.Parts[i], s, now)
		}
	}
	return grant
}

// shortLogEvery bounds the lines that say that a team's units are used up here.
const shortLogEvery = time.Second

// logShort writes that less was there than a host needed.
func (q *quotas) logShort(from string, p *pb.QuotaPart, s *pb.QuotaShare, now time.Time) {
	if now.Sub(q.logged[p.Team]) < shortLogEvery {
		return
	}
	q.logged[p.Team] = now
	l := q.issuer.Level(p.Team, now)
	q.log.Info("quota used up here", "team", p.Team, "host_id", from, "needed", int64(p.Needed), "granted", int64(s.Granted), "more_in_ms", s.MoreInMs,
		"size", int64(l.Size), "free", int64(l.Free), "borrowed", int64(l.Borrowed), "lent", int64(l.Lent), "held", int64(l.Held), "back_later", int64(l.PendingReturn), "asked_per_s", int64(l.DemandPerSecond))
}

// TeamLevels returns what this control host has of the teams' quotas.
func (r *Replica) TeamLevels() []quota.Level {
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	return r.quotas.issuer.Levels(r.quotas.clock.Now())
}

// shareQuotas keeps this control host's part of the quotas, and asks the other control hosts
// for units while its entry hosts need more than it makes.
func (r *Replica) shareQuotas(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(borrowInterval)
	defer t.Stop()
	busy := &busySet{m: map[string]bool{}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		others := r.otherIssuers()
		now := r.o.Clock.Now()
		share, active := r.quotaShare(now)
		r.quotas.mu.Lock()
		r.quotas.issuer.SetShare(share, active, now)
		r.quotas.mu.Unlock()
		for _, addr := range others {
			if busy.start(addr) {
				go func() {
					defer busy.end(addr)
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
	if m := r.othersInGroup.Load(); m != nil {
		out = *m
	}
	return out
}

// issuerSettle is how long a control host may be without word of the group and still give out
// its part, and how long one without a memory of what was given out waits: a new one never
// gives out the part of one that it replaces.
const issuerSettle = 30 * time.Second

// quotaShare returns the part of all quotas that this control host gives out: an equal one for
// each failure domain, or for each member where the record lists the hosts.
func (r *Replica) quotaShare(now time.Time) (share float64, active bool) {
	if r.fleet == nil {
		return 1 / float64(1+len(r.otherIssuers())), true
	}
	o, here := &r.fleet.o, 1
	for _, c := range r.fleet.liveControls() {
		if c.FailureDomain == o.FailureDomain {
			here++
		}
	}
	return 1 / float64(max(1, len(o.Regions))*here), r.Staleness() <= issuerSettle
}

// borrow tells another control host what this one keeps and needs of its quotas.
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
		return // asked again soon
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.issuer.ApplyLoan(addr, ask, resp.GetQuotaGrant(), sentAt, r.o.Clock.Now())
}
