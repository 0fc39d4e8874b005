package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Issuer gives out one control host's part of the teams' quotas. It is not safe for concurrent
// use.
type Issuer struct {
	o          IssuerOptions
	share      float64 // fraction of what is allowed
	active     bool
	started    time.Time
	allotments map[string]*allotment
	lastAsks   map[string]lastAsk // by asker
}

// IssuerOptions configures an Issuer.
type IssuerOptions struct {
	Bound Bound
	// Restored is the state that was stored last; nil if there is none.
	Restored *pb.QuotaState
	// FirstStart reports that no issuer ran on this control host before. Any other issuer
	// without stored state gives out nothing of its own part for the duration SettlePeriod.
	FirstStart   bool
	SettlePeriod time.Duration
}

// lastAsk identifies the last ask of a holder or borrower.
type lastAsk struct{ epoch, sequence uint64 }

// allotment is an issuer's state for one team's quota.
type allotment struct {
	quota configstate.Quota
	base  float64 // the issuer's own part of what is allowed in a window
	// formerBase is the largest earlier base of which units may still be given out or spent.
	formerBase leasedUnits
	// free is the number of units that can be given out. It is negative after the part has shrunk
	// below what was given out.
	free      float64
	returns   pendingReturns         // spent units, until they are free again
	granted   map[string]float64     // units held, by holder
	leaseEnds map[string]time.Time   // by holder
	lent      map[string]leasedUnits // by borrower
	borrowed  map[string]leasedUnits // by lender
	// grants and loans bound what may be granted to holders and lent before the next store.
	grants, loans allowance
	restored      *pb.QuotaUnits // stored by an earlier process and not yet applied
	demand        meter
	refused       float64 // units needed and not granted, since the start
	// largestAsk is the largest number of units that one ask needed.
	largestAsk float64
	// deferred is the number of units that were needed and not granted, for which the askers
	// will ask again.
	deferred   float64
	deferredAt time.Time
	inForce    bool
	removedAt  time.Time // when the quota ceased to be in force
}

// allowance bounds what may be given out before the state has to be stored again. Units that
// return in the meantime do not raise it: going by the stored return times, an issuer would
// free them too early after a restart.
type allowance struct {
	remaining float64
	stored    float64 // units last stored as not free, including the allowance
	// While a new allowance is being stored, the lower of the old and the new one applies.
	storing bool
	next    float64
	used    float64 // since next was computed
}

func (a *allowance) available() float64 {
	if a.storing {
		return max(0, min(a.remaining, a.next-a.used))
	}
	return max(0, a.remaining)
}

func (a *allowance) use(units float64) {
	a.remaining -= units
	a.used += units
}

// needsStore reports whether too little is left, or far too much is stored as not free.
func (a *allowance) needsStore(wanted, committed float64) bool {
	return a.available() < wanted/2 || a.stored > maxStoredFactor*(committed+wanted)+1
}

func (a *allowance) beginStore(next float64) { a.storing, a.next, a.used = true, next, 0 }

func (a *allowance) endStore(committed float64) {
	if a.storing {
		a.remaining, a.stored, a.storing = a.next-a.used, committed, false
	}
}

// storedSlotWidth is the granularity at which the return times of units are stored.
const storedSlotWidth = time.Second

// toProto returns the pending returns in slots of storedSlotWidth.
func (r pendingReturns) toProto(now time.Time) []*pb.QuotaBack {
	var out []*pb.QuotaBack
	for _, l := range r {
		in := l.last.Sub(now).Truncate(storedSlotWidth) + storedSlotWidth
		if n := len(out); n > 0 && out[n-1].InMs == in.Milliseconds() {
			out[n-1].Units += l.units
			continue
		}
		out = append(out, &pb.QuotaBack{Units: l.units, InMs: in.Milliseconds()})
	}
	return out
}

func totalUnits(m map[string]leasedUnits) float64 {
	sum := 0.0
	for _, l := range m {
		sum += l.units
	}
	return sum
}

// size returns the issuer's own part plus the units that it borrowed.
func (p *allotment) size() float64 { return p.base + totalUnits(p.borrowed) }

// spent returns the units that were spent in the last window or may be spent by holders.
func (p *allotment) spent() float64 { return p.size() - p.free - totalUnits(p.lent) }

// NewIssuer returns an issuer without a share; see SetShare.
func NewIssuer(o IssuerOptions, now time.Time) *Issuer {
	return &Issuer{o: o, started: now, allotments: map[string]*allotment{}, lastAsks: map[string]lastAsk{}}
}

// SetShare sets this issuer's share of what is allowed; the shares of all issuers add up to at
// most 1. An issuer that is not active gives out no units.
func (i *Issuer) SetShare(share float64, active bool, now time.Time) {
	i.share, i.active = share, active
	for _, p := range i.allotments {
		i.update(p, now)
		i.resize(p, now)
	}
}

// SetActive sets whether this issuer gives out units, without a change of its share.
func (i *Issuer) SetActive(active bool) { i.active = active }

// resize adjusts an allotment to its quota and the issuer's share.
func (i *Issuer) resize(p *allotment, now time.Time) {
	base := i.share * i.o.Bound.Allowed(p.quota)
	if i.settling(now) {
		base = 0
	}
	if base < p.base {
		p.recordFormerBase(p.base, now.Add(i.maxReturnDelay()))
	}
	p.free += base - p.base
	if p.base = base; base > 0 && p.restored != nil {
		i.restore(p)
	}
}

// settling reports whether units given out by an earlier issuer on this control host may still be
// in use and are not known from stored state. Until then this issuer gives out only borrowed
// units, and stores nothing.
func (i *Issuer) settling(now time.Time) bool {
	return i.o.Restored == nil && !i.o.FirstStart && now.Before(i.started.Add(i.o.SettlePeriod))
}

// recordFormerBase records that the base was larger, until the units spent of it have returned.
func (p *allotment) recordFormerBase(base float64, until time.Time) {
	p.formerBase = leasedUnits{max(p.formerBase.units, base), until}
}

// maxReturnDelay returns the longest time until units that are given out now are free again.
func (i *Issuer) maxReturnDelay() time.Duration { return Lease + i.o.Bound.Window + maxSendDelay }

// ReturnDelay returns the longest time until units that an issuer has granted or lent are free again.
func ReturnDelay(b Bound) time.Duration { return LoanLease + Lease + b.Window + maxSendDelay }

// SetTeams sets the quotas in force.
func (i *Issuer) SetTeams(teams []configstate.Team, now time.Time) {
	for _, p := range i.allotments {
		i.update(p, now)
		if p.inForce {
			p.inForce, p.removedAt = false, now
		}
	}
	for _, t := range teams {
		if t.Quota == nil {
			continue
		}
		p := i.allotments[t.Name]
		if p == nil {
			p = i.newAllotment(t.Name, *t.Quota)
			i.allotments[t.Name] = p
		}
		p.quota, p.inForce = *t.Quota, true
		i.resize(p, now)
	}
	for name, p := range i.allotments {
		if !p.inForce && now.Sub(p.removedAt) > LoanLease+i.maxReturnDelay() {
			delete(i.allotments, name)
		}
	}
}

// newAllotment returns the allotment of a quota that is new to this process.
func (i *Issuer) newAllotment(team string, q configstate.Quota) *allotment {
	largest := 0.0
	if q.Unit == configstate.UnitRequests {
		largest = 1
	}
	return &allotment{
		largestAsk: largest, quota: q, granted: map[string]float64{}, leaseEnds: map[string]time.Time{},
		lent: map[string]leasedUnits{}, borrowed: map[string]leasedUnits{}, restored: i.o.Restored.GetTeams()[team],
	}
}

// restore withholds the units that an earlier process may have given out. Return times are counted
// from the start of this process, which is after the state was stored, so no unit is freed earlier
// than the earlier process would have freed it.
func (i *Issuer) restore(p *allotment) {
	left := p.restored.Own // units spent beyond the own part were borrowed
	withhold := func(units float64, in time.Duration) {
		units = min(left, units)
		left -= units
		p.free -= units
		p.returns.add(units, i.started.Add(in))
	}
	u, known := p.restored, 0.0
	p.recordFormerBase(u.Own, i.started.Add(i.maxReturnDelay()))
	for _, b := range u.Back {
		known += b.Units
		withhold(b.Units, time.Duration(b.InMs)*time.Millisecond)
	}
	withhold(max(0, u.Spent-known), i.maxReturnDelay())
	withhold(u.Lent, LoanLease+i.maxReturnDelay())
	p.restored = nil
}

// update frees the units that are due and ends expired leases.
func (i *Issuer) update(p *allotment, now time.Time) {
	p.free += p.returns.removeDue(now)
	if now.After(p.formerBase.until) {
		p.formerBase = leasedUnits{}
	}
	for holder, until := range p.leaseEnds {
		if now.After(until) {
			i.recordSpent(p, p.granted[holder], now)
			delete(p.granted, holder)
			delete(p.leaseEnds, holder)
		}
	}
	for borrower, l := range p.lent {
		if now.After(l.until) {
			p.returns.add(l.units, now.Add(i.maxReturnDelay()))
			delete(p.lent, borrower)
		}
	}
	for lender, l := range p.borrowed {
		if expired(l.until, now) {
			p.free -= l.units
			delete(p.borrowed, lender)
		}
	}
	if elapsed := now.Sub(p.deferredAt); elapsed > 0 {
		p.deferred = max(0, p.deferred-i.share*p.quota.PerSecond*elapsed.Seconds())
		p.deferredAt = now
	}
}

// recordSpent records that units were spent up to now.
func (i *Issuer) recordSpent(p *allotment, units float64, now time.Time) {
	p.returns.add(units, now.Add(i.o.Bound.Window+maxSendDelay))
}

// Answer answers an ask of a holder or of another issuer.
func (i *Issuer) Answer(from string, ask *pb.QuotaAsk, now time.Time) *pb.QuotaGrant {
	out := &pb.QuotaGrant{}
	if last := i.lastAsks[from]; last.epoch == ask.Epoch && ask.Sequence <= last.sequence {
		return out // out of order: a later ask has replaced what this one reports
	}
	i.lastAsks[from] = lastAsk{ask.Epoch, ask.Sequence}
	for _, m := range ask.Parts {
		p := i.allotments[m.Team]
		switch {
		case p == nil || !p.inForce:
			out.Shares = append(out.Shares, &pb.QuotaShare{Unknown: true})
		case ask.Transfer:
			i.update(p, now)
			out.Shares = append(out.Shares, &pb.QuotaShare{Granted: i.lend(p, from, m, now)})
		default:
			i.update(p, now)
			i.applyUsage(p, from, m, now)
			out.Shares = append(out.Shares, i.grant(p, from, m, now))
		}
	}
	return out
}

// applyUsage applies what a holder reports as kept and returned; the rest counts as spent.
func (i *Issuer) applyUsage(p *allotment, from string, m *pb.QuotaPart, now time.Time) {
	kept, returned := nonNegative(m.Kept), nonNegative(m.Returned)
	had := p.granted[from]
	if more := kept - had; more > 0 {
		// Granted by an earlier process on this control host, all of whose units count as spent.
		p.free -= more
		had = kept
	}
	returned = min(returned, had-kept)
	spent := had - kept - returned
	p.demand.add(spent, now)
	p.free += returned
	p.grants.use(-returned)
	i.recordSpent(p, spent, now)
	p.granted[from], p.leaseEnds[from] = kept, now.Add(Lease)
}

// aheadShare is the fraction of the free units that one holder may get for expected requests:
// other holders have requests waiting.
const aheadShare = 0.25

func (i *Issuer) grant(p *allotment, from string, m *pb.QuotaPart, now time.Time) *pb.QuotaShare {
	needed, ahead := nonNegative(m.Needed), nonNegative(m.Ahead)
	p.largestAsk = max(p.largestAsk, min(needed, p.size()))
	has := i.grantable(p, now)
	given := min(needed, has)
	s := &pb.QuotaShare{}
	if shortfall := needed - given; shortfall > 0 {
		p.demand.add(shortfall, now)
		p.deferred += shortfall
		p.refused += shortfall
		s.MoreInMs = i.moreInMS(p, now)
	}
	s.Granted = given + min(ahead, aheadShare*(has-given))
	p.free -= s.Granted
	p.grants.use(s.Granted)
	if p.granted[from] += s.Granted; p.granted[from] <= 0 {
		delete(p.granted, from)
		delete(p.leaseEnds, from)
	}
	return s
}

// grantable returns the number of units that can be granted to holders now.
func (i *Issuer) grantable(p *allotment, now time.Time) float64 {
	switch {
	case !i.active:
		return 0
	case i.settling(now):
		return max(0, p.free)
	}
	return max(0, min(p.free, p.grants.available()))
}

// storeDelay is the estimated time until units that are free, but not yet covered by the stored
// allowance, can be granted.
const storeDelay = 200 * time.Millisecond

// moreInMS returns the expected time, in ms, until the units of deferred asks are free.
func (i *Issuer) moreInMS(p *allotment, now time.Time) uint64 {
	shortfall := p.deferred - max(0, p.free)
	if shortfall <= 0 {
		return uint64(storeDelay.Milliseconds())
	}
	in, ok := p.returns.timeUntil(shortfall, now)
	if !ok {
		in = i.o.Bound.Window
	}
	return uint64(max(1, in.Milliseconds()))
}

const (
	// reservePeriod is the period of its own holders' demand for which an issuer keeps units before
	// it lends or returns any.
	reservePeriod = 2 * time.Second
	// borrowPeriod is the period of its holders' demand that an issuer tries to cover by borrowing.
	borrowPeriod = time.Second
)

// lend applies what a borrower reports as kept and returned, and lends it up to half of the units
// that this issuer does not need within reservePeriod.
func (i *Issuer) lend(p *allotment, from string, m *pb.QuotaPart, now time.Time) float64 {
	kept, returned := nonNegative(m.Kept), nonNegative(m.Returned)
	had := p.lent[from].units
	if more := kept - had; more > 0 {
		p.free -= more
		had = kept
	}
	returned = min(returned, had-kept)
	p.free += returned
	// Units that the borrower does not report may have been spent by an earlier process of it.
	p.returns.add(had-kept-returned, now.Add(i.maxReturnDelay()))
	delete(p.lent, from)
	given := 0.0
	if i.active {
		lentUnits := totalUnits(p.lent) + kept
		spare := min(p.free-p.demand.rateAt(now)*reservePeriod.Seconds(), p.loans.available())
		spare = min(spare, p.base-lentUnits) // borrowed units are not lent on
		given = min(nonNegative(m.Needed), max(0, spare)/2)
	}
	p.free -= given
	p.loans.use(given)
	if lentUnits := kept + given; lentUnits > 0 {
		p.lent[from] = leasedUnits{lentUnits, now.Add(LoanLease)}
	}
	return given
}

// ComposeBorrowAsk returns the ask to send to one of the given number of lenders, and removes
// the units that the ask returns; nil if there is nothing to send.
func (i *Issuer) ComposeBorrowAsk(lender string, lenders int, now time.Time) *pb.QuotaAsk {
	ask := &pb.QuotaAsk{Transfer: true}
	for _, name := range slices.Sorted(maps.Keys(i.allotments)) {
		p := i.allotments[name]
		i.update(p, now)
		demand := p.demand.rateAt(now)
		m := &pb.QuotaPart{Team: name}
		if l, ok := p.borrowed[lender]; ok {
			m.Returned = min(l.units, max(0, p.free-demand*reservePeriod.Seconds()))
			m.Kept = l.units - m.Returned
			p.free -= m.Returned
			p.borrowed[lender] = leasedUnits{m.Kept, l.until}
		}
		if shortfall := demand*borrowPeriod.Seconds() - p.free; shortfall > 1 && p.inForce {
			m.Needed = shortfall / float64(lenders)
		}
		if m.Returned == 0 && m.Kept == 0 {
			delete(p.borrowed, lender)
		}
		if m.Returned+m.Kept+m.Needed > 0 {
			ask.Parts = append(ask.Parts, m)
		}
	}
	if len(ask.Parts) == 0 {
		return nil
	}
	return ask
}

// ApplyLoan applies a lender's answer to an ask that was sent at sentAt.
func (i *Issuer) ApplyLoan(lender string, ask *pb.QuotaAsk, grant *pb.QuotaGrant, sentAt, now time.Time) {
	for n, s := range grant.GetShares() {
		if n >= len(ask.Parts) {
			return
		}
		p := i.allotments[ask.Parts[n].Team]
		if p == nil || s.Unknown {
			continue
		}
		i.update(p, now)
		units := p.borrowed[lender].units + nonNegative(s.Granted)
		p.free += nonNegative(s.Granted)
		if units > 0 {
			p.borrowed[lender] = leasedUnits{units, sentAt.Add(LoanLease)}
		}
	}
}

// Bounds of what may be given out before the next store.
const (
	storeAheadPeriod   = 800 * time.Millisecond // of the holders' demand
	storeAheadFraction = 1. / 8                 // of the allotment's size, in addition
	storeLargestFactor = 2                      // times the largest ask, in addition
	maxStoredFactor    = 4                      // times what is not free or may soon be given out
)

// StateToStore returns the state to store now; nil if the stored state still suffices. After a
// non-nil result the caller calls ConfirmStored or InvalidateStored.
func (i *Issuer) StateToStore(now time.Time) *pb.QuotaState {
	if i.settling(now) {
		return nil
	}
	due := false
	out := &pb.QuotaState{Teams: map[string]*pb.QuotaUnits{}}
	for name, p := range i.allotments {
		i.update(p, now)
		spent, lentUnits := p.spent(), totalUnits(p.lent)
		grants := max(0, min(p.demand.rateAt(now)*storeAheadPeriod.Seconds()+storeAheadFraction*p.size()+storeLargestFactor*p.largestAsk, p.free))
		loans := max(0, min(storeAheadFraction*p.size(), p.free))
		due = due || p.grants.needsStore(grants, spent) || p.loans.needsStore(loans, lentUnits)
		out.Teams[name] = &pb.QuotaUnits{Spent: spent + grants, Lent: lentUnits + loans, Own: max(p.base, p.formerBase.units), Back: p.returns.toProto(now)}
	}
	if !due {
		return nil
	}
	for name, u := range out.Teams {
		p := i.allotments[name]
		p.grants.beginStore(u.Spent - p.spent())
		p.loans.beginStore(u.Lent - totalUnits(p.lent))
	}
	return out
}

// ConfirmStored records that a state returned by StateToStore has been stored.
func (i *Issuer) ConfirmStored(s *pb.QuotaState) {
	for name, u := range s.GetTeams() {
		if p := i.allotments[name]; p != nil {
			p.grants.endStore(u.Spent)
			p.loans.endStore(u.Lent)
		}
	}
}

// InvalidateStored records that a store failed and the stored state is unknown: nothing more is
// given out until a later store succeeds.
func (i *Issuer) InvalidateStored() {
	for _, p := range i.allotments {
		p.grants, p.loans = allowance{}, allowance{}
	}
}

// Level is an issuer's state for one team's quota, for reporting.
type Level struct {
	Team            string
	Size            float64 // own part of what is allowed in a window
	Free            float64
	Borrowed, Lent  float64 // from and to other issuers
	Held            float64 // by entry hosts
	PendingReturn   float64 // spent, free again one window later
	DemandPerSecond float64
	Refused         float64 // needed and not granted, since the start
}

// Level returns the issuer's state for a team's quota.
func (i *Issuer) Level(team string, now time.Time) Level {
	p := i.allotments[team]
	if p == nil {
		return Level{Team: team}
	}
	i.update(p, now)
	l := Level{Team: team, Size: p.base, Free: p.free, Borrowed: totalUnits(p.borrowed), Lent: totalUnits(p.lent), DemandPerSecond: p.demand.rateAt(now), Refused: p.refused}
	for _, units := range p.granted {
		l.Held += units
	}
	for _, b := range p.returns {
		l.PendingReturn += b.units
	}
	return l
}

// Levels returns the state of each team with a quota, sorted by name.
func (i *Issuer) Levels(now time.Time) []Level {
	var out []Level
	for _, name := range slices.Sorted(maps.Keys(i.allotments)) {
		out = append(out, i.Level(name, now))
	}
	return out
}
