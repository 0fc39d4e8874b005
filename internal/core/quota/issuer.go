package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Issuer gives out one control host's part of the teams' quotas. It is not safe for
// concurrent use.
type Issuer struct {
	o       IssuerOptions
	share   float64 // of what is allowed
	active  bool
	started time.Time
	parts   map[string]*part
	asked   map[string]asked // by holder
}

// IssuerOptions configures an Issuer.
type IssuerOptions struct {
	Bound Bound
	// Restored is what was last stored; nil when nothing was.
	Restored *pb.QuotaState
	// Fresh says that there was no issuer in this one's place before. Any other one that has
	// nothing stored gives out nothing of its own for Settle.
	Fresh  bool
	Settle time.Duration
}

// asked is the last ask of a holder.
type asked struct{ epoch, sequence uint64 }

// part is what an issuer has of one team's quota.
type part struct {
	quota configstate.Quota
	base  float64 // the issuer's own part of what is allowed in a window
	// larger is the largest base of which units may not be back yet.
	larger lent
	// free is what can be given out. It is below 0 after the part has become smaller.
	free     float64
	back     returns // what was spent, until it is free again
	out      map[string]float64
	until    map[string]time.Time // end of the leases of out
	lent     map[string]lent      // by borrower
	borrowed map[string]lent      // by lender
	// grants and loans are what may be given to holders and lent until it is stored anew.
	grants, loans allowance
	restored      *pb.QuotaUnits // what an earlier process stored, until it is taken into account
	demand        meter
	refused       float64 // units that were needed and not there, since the start
	// largest is the most that one ask needed.
	largest float64
	// promised is what refused requests needed that were told when to come back.
	promised   float64
	promisedAt time.Time
	inForce    bool
	droppedAt  time.Time // when the quota ceased to be in force
}

// allowance is what may be given out until what is stored is stored anew. What is there again
// meanwhile does not add to it: by what is stored, it would come back too early after a
// restart.
type allowance struct {
	left   float64
	stored float64 // what was last stored as gone, with the allowance
	// While a new one is being stored, both hold.
	storing bool
	next    float64
	used    float64 // since next was worked out
}

func (a *allowance) units() float64 {
	if a.storing {
		return max(0, min(a.left, a.next-a.used))
	}
	return max(0, a.left)
}

func (a *allowance) use(units float64) {
	a.left -= units
	a.used += units
}

// due reports whether too little is left, or far too much is stored as gone.
func (a *allowance) due(wanted, gone float64) bool {
	return a.units() < wanted/2 || a.stored > storeTooMuch*(gone+wanted)+1
}

func (a *allowance) begin(next float64) { a.storing, a.next, a.used = true, next, 0 }

func (a *allowance) end(gone float64) {
	if a.storing {
		a.left, a.stored, a.storing = a.next-a.used, gone, false
	}
}

// backWidth is how finely it is stored when units come back.
const backWidth = time.Second

// list returns what comes back, in slots of backWidth.
func (r returns) list(now time.Time) []*pb.QuotaBack {
	var out []*pb.QuotaBack
	for _, l := range r {
		in := l.last.Sub(now).Truncate(backWidth) + backWidth
		if n := len(out); n > 0 && out[n-1].InMs == in.Milliseconds() {
			out[n-1].Units += l.units
			continue
		}
		out = append(out, &pb.QuotaBack{Units: l.units, InMs: in.Milliseconds()})
	}
	return out
}

func sumOf(m map[string]lent) float64 {
	sum := 0.0
	for _, l := range m {
		sum += l.units
	}
	return sum
}

// size is what the issuer has in all, with what it borrowed.
func (p *part) size() float64 { return p.base + sumOf(p.borrowed) }

// spent is what was spent in the last window or may be by holders.
func (p *part) spent() float64 { return p.size() - p.free - sumOf(p.lent) }

// NewIssuer returns an issuer without a share; see SetShare.
func NewIssuer(o IssuerOptions, now time.Time) *Issuer {
	return &Issuer{o: o, started: now, parts: map[string]*part{}, asked: map[string]asked{}}
}

// SetShare sets the part of what is allowed that is this issuer's; the parts of all issuers
// add up to 1 at most. One that is not active gives out only what it borrowed.
func (i *Issuer) SetShare(share float64, active bool, now time.Time) {
	i.share, i.active = share, active
	for _, p := range i.parts {
		i.settle(p, now)
		i.resize(p, now)
	}
}

// resize fits a part to its quota and the issuer's share.
func (i *Issuer) resize(p *part, now time.Time) {
	base := i.share * i.o.Bound.Allowed(p.quota)
	if i.unsure(now) {
		base = 0
	}
	if base < p.base {
		p.shrinks(p.base, now.Add(i.backAfter()))
	}
	p.free += base - p.base
	if p.base = base; base > 0 && p.restored != nil {
		i.restore(p)
	}
}

// unsure reports whether it is not known what an earlier issuer in this one's place may have
// given out. Meanwhile this one gives out what it borrows, and stores nothing.
func (i *Issuer) unsure(now time.Time) bool {
	return i.o.Restored == nil && !i.o.Fresh && now.Before(i.started.Add(i.o.Settle))
}

// shrinks notes that a base was larger, until what was spent of it is back.
func (p *part) shrinks(base float64, until time.Time) {
	p.larger = lent{max(p.larger.units, base), until}
}

// backAfter is when units are back at the latest that are given out now.
func (i *Issuer) backAfter() time.Duration { return Lease + i.o.Bound.Window + sendWithin }

// SetTeams takes the quotas in force.
func (i *Issuer) SetTeams(teams []configstate.Team, now time.Time) {
	for _, p := range i.parts {
		i.settle(p, now)
		if p.inForce {
			p.inForce, p.droppedAt = false, now
		}
	}
	for _, t := range teams {
		if t.Quota == nil {
			continue
		}
		p := i.parts[t.Name]
		if p == nil {
			p = i.newPart(t.Name, *t.Quota)
			i.parts[t.Name] = p
		}
		p.quota, p.inForce = *t.Quota, true
		i.resize(p, now)
	}
	for name, p := range i.parts {
		if !p.inForce && now.Sub(p.droppedAt) > LoanLease+i.backAfter() {
			delete(i.parts, name)
		}
	}
}

// newPart returns the part of a quota that this process did not know.
func (i *Issuer) newPart(team string, q configstate.Quota) *part {
	largest := 0.0
	if q.Unit == configstate.UnitRequests {
		largest = 1
	}
	return &part{
		largest: largest, quota: q, out: map[string]float64{}, until: map[string]time.Time{},
		lent: map[string]lent{}, borrowed: map[string]lent{}, restored: i.o.Restored.GetTeams()[team],
	}
}

// restore withholds what an earlier process may have given out of the part: it came back to
// that process no sooner, counted from this one's start.
func (i *Issuer) restore(p *part) {
	left := p.restored.Own // what was spent beyond it, others lent
	withhold := func(units float64, in time.Duration) {
		units = min(left, units)
		left -= units
		p.free -= units
		p.back.add(units, i.started.Add(in))
	}
	u, known := p.restored, 0.0
	p.shrinks(u.Own, i.started.Add(i.backAfter()))
	for _, b := range u.Back {
		known += b.Units
		withhold(b.Units, time.Duration(b.InMs)*time.Millisecond)
	}
	withhold(max(0, u.Spent-known), i.backAfter())
	withhold(u.Lent, LoanLease+i.backAfter())
	p.restored = nil
}

// settle takes what has come back and ends leases.
func (i *Issuer) settle(p *part, now time.Time) {
	p.free += p.back.take(now)
	if now.After(p.larger.until) {
		p.larger = lent{}
	}
	for holder, until := range p.until {
		if now.After(until) {
			i.spend(p, p.out[holder], now)
			delete(p.out, holder)
			delete(p.until, holder)
		}
	}
	for borrower, l := range p.lent {
		if now.After(l.until) {
			p.back.add(l.units, now.Add(i.backAfter()))
			delete(p.lent, borrower)
		}
	}
	for lender, l := range p.borrowed {
		if over(l.until, now) {
			p.free -= l.units
			delete(p.borrowed, lender)
		}
	}
	if elapsed := now.Sub(p.promisedAt); elapsed > 0 {
		p.promised = max(0, p.promised-i.share*p.quota.PerSecond*elapsed.Seconds())
		p.promisedAt = now
	}
}

// spend notes that units of its own were spent up to now.
func (i *Issuer) spend(p *part, units float64, now time.Time) {
	p.back.add(units, now.Add(i.o.Bound.Window+sendWithin))
}

// Answer answers a holder's ask, or another issuer's.
func (i *Issuer) Answer(from string, ask *pb.QuotaAsk, now time.Time) *pb.QuotaGrant {
	out := &pb.QuotaGrant{}
	if last := i.asked[from]; last.epoch == ask.Epoch && ask.Sequence <= last.sequence {
		return out // what it says of the asker is not true any more
	}
	i.asked[from] = asked{ask.Epoch, ask.Sequence}
	for _, m := range ask.Parts {
		p := i.parts[m.Team]
		switch {
		case p == nil || !p.inForce:
			out.Shares = append(out.Shares, &pb.QuotaShare{Unknown: true})
		case ask.Transfer:
			i.settle(p, now)
			out.Shares = append(out.Shares, &pb.QuotaShare{Granted: i.lend(p, from, m, now)})
		default:
			i.settle(p, now)
			i.take(p, from, m, now)
			out.Shares = append(out.Shares, i.grant(p, from, m, now))
		}
	}
	return out
}

// take takes what a holder says it has spent, keeps and gives back.
func (i *Issuer) take(p *part, from string, m *pb.QuotaPart, now time.Time) {
	kept, returned := atLeast0(m.Kept), atLeast0(m.Returned)
	had := p.out[from]
	if more := kept - had; more > 0 {
		// Of this host's process before, where they count as spent.
		p.free -= more
		had = kept
	}
	returned = min(returned, had-kept)
	spent := had - kept - returned
	p.demand.add(spent, now)
	p.free += returned
	p.grants.use(-returned)
	i.spend(p, spent, now)
	p.out[from], p.until[from] = kept, now.Add(Lease)
}

// aheadShare is the part of what is free that one holder gets for requests that are only
// expected: others have theirs waiting.
const aheadShare = 0.25

func (i *Issuer) grant(p *part, from string, m *pb.QuotaPart, now time.Time) *pb.QuotaShare {
	needed, ahead := atLeast0(m.Needed), atLeast0(m.Ahead)
	p.largest = max(p.largest, min(needed, p.size()))
	has := i.usable(p, now)
	given := min(needed, has)
	s := &pb.QuotaShare{}
	if lacks := needed - given; lacks > 0 {
		p.demand.add(lacks, now)
		p.promised += lacks
		p.refused += lacks
		s.MoreInMs = i.moreIn(p, now)
	}
	s.Granted = given + min(ahead, aheadShare*(has-given))
	p.free -= s.Granted
	p.grants.use(s.Granted)
	if p.out[from] += s.Granted; p.out[from] <= 0 {
		delete(p.out, from)
		delete(p.until, from)
	}
	return s
}

// usable is what can be given out now.
func (i *Issuer) usable(p *part, now time.Time) float64 {
	switch {
	case !i.active:
		return 0
	case i.unsure(now):
		return max(0, p.free)
	}
	return max(0, min(p.free, p.grants.units()))
}

// storeWithin is how long it takes until more may be given out that is free.
const storeWithin = 200 * time.Millisecond

// moreIn returns when what was promised is there again, in ms.
func (i *Issuer) moreIn(p *part, now time.Time) uint64 {
	lacks := p.promised - max(0, p.free)
	if lacks <= 0 {
		return uint64(storeWithin.Milliseconds())
	}
	in, ok := p.back.due(lacks, now)
	if !ok {
		in = i.o.Bound.Window
	}
	return uint64(max(1, in.Milliseconds()))
}

const (
	// reserve is for how long an issuer keeps what its own holders ask, before it lends or
	// gives back.
	reserve = 2 * time.Second
	// borrowFor is for how long an issuer wants to have what its holders ask.
	borrowFor = time.Second
)

// lend takes what a borrower keeps and gives back, and lends it a part of what this issuer
// does not need soon.
func (i *Issuer) lend(p *part, from string, m *pb.QuotaPart, now time.Time) float64 {
	kept, returned := atLeast0(m.Kept), atLeast0(m.Returned)
	had := p.lent[from].units
	if more := kept - had; more > 0 {
		p.free -= more
		had = kept
	}
	returned = min(returned, had-kept)
	p.free += returned
	// What the borrower does not know of may have been spent by its process before.
	p.back.add(had-kept-returned, now.Add(i.backAfter()))
	delete(p.lent, from)
	given := 0.0
	if i.active {
		lends := sumOf(p.lent) + kept
		spare := min(p.free-p.demand.now(now)*reserve.Seconds(), p.loans.units())
		spare = min(spare, p.base-lends) // what is borrowed is not lent on
		given = min(atLeast0(m.Needed), max(0, spare)/2)
	}
	p.free -= given
	p.loans.use(given)
	if lends := kept + given; lends > 0 {
		p.lent[from] = lent{lends, now.Add(LoanLease)}
	}
	return given
}

// Borrow returns what this issuer tells and asks another one, of so many in all, and takes out
// what it gives back; nil when there is nothing to say.
func (i *Issuer) Borrow(lender string, lenders int, now time.Time) *pb.QuotaAsk {
	ask := &pb.QuotaAsk{Transfer: true}
	for _, name := range slices.Sorted(maps.Keys(i.parts)) {
		p := i.parts[name]
		i.settle(p, now)
		demand := p.demand.now(now)
		m := &pb.QuotaPart{Team: name}
		if l, ok := p.borrowed[lender]; ok {
			m.Returned = min(l.units, max(0, p.free-demand*reserve.Seconds()))
			m.Kept = l.units - m.Returned
			p.free -= m.Returned
			p.borrowed[lender] = lent{m.Kept, l.until}
		}
		if lacks := demand*borrowFor.Seconds() - p.free; lacks > 1 && p.inForce {
			m.Needed = lacks / float64(lenders)
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

// Borrowed takes a lender's answer to an ask that was sent at a moment.
func (i *Issuer) Borrowed(lender string, ask *pb.QuotaAsk, grant *pb.QuotaGrant, sentAt, now time.Time) {
	for n, s := range grant.GetShares() {
		if n >= len(ask.Parts) {
			return
		}
		p := i.parts[ask.Parts[n].Team]
		if p == nil || s.Unknown {
			continue
		}
		i.settle(p, now)
		units := p.borrowed[lender].units + atLeast0(s.Granted)
		p.free += atLeast0(s.Granted)
		if units > 0 {
			p.borrowed[lender] = lent{units, sentAt.Add(LoanLease)}
		}
	}
}

// What may be given out until it is stored anew.
const (
	storeAheadFor = 800 * time.Millisecond // of what holders ask
	storeAhead    = 1. / 8                 // of the part, besides
	storeLargest  = 2                      // of the largest ask, besides
	storeTooMuch  = 4                      // times what is gone, or soon may be
)

// ToStore returns what is to be stored now, by team; nil when what is stored will do. Stored or
// NotStored follows.
func (i *Issuer) ToStore(now time.Time) *pb.QuotaState {
	if i.unsure(now) {
		return nil
	}
	due := false
	out := &pb.QuotaState{Teams: map[string]*pb.QuotaUnits{}}
	for name, p := range i.parts {
		i.settle(p, now)
		spent, lends := p.spent(), sumOf(p.lent)
		grants := max(0, min(p.demand.now(now)*storeAheadFor.Seconds()+storeAhead*p.size()+storeLargest*p.largest, p.free))
		loans := max(0, min(storeAhead*p.size(), p.free))
		due = due || p.grants.due(grants, spent) || p.loans.due(loans, lends)
		out.Teams[name] = &pb.QuotaUnits{Spent: spent + grants, Lent: lends + loans, Own: max(p.base, p.larger.units), Back: p.back.list(now)}
	}
	if !due {
		return nil
	}
	for name, u := range out.Teams {
		p := i.parts[name]
		p.grants.begin(u.Spent - p.spent())
		p.loans.begin(u.Lent - sumOf(p.lent))
	}
	return out
}

// Stored takes what has been stored.
func (i *Issuer) Stored(s *pb.QuotaState) {
	for name, u := range s.GetTeams() {
		if p := i.parts[name]; p != nil {
			p.grants.end(u.Spent)
			p.loans.end(u.Lent)
		}
	}
}

// NotStored takes that it is not known what is stored: nothing more is given out until it is.
func (i *Issuer) NotStored() {
	for _, p := range i.parts {
		p.grants, p.loans = allowance{}, allowance{}
	}
}

// Level is what an issuer has of one team's quota.
type Level struct {
	Team            string
	Size            float64 // its part of what is allowed in a window
	Free            float64
	Borrowed, Lent  float64 // from and to other issuers
	Held            float64 // by entry hosts
	Back            float64 // spent, until a window later
	DemandPerSecond float64
	Refused         float64 // needed and not there, since the start
}

// Level returns what the issuer has of a team's quota.
func (i *Issuer) Level(team string, now time.Time) Level {
	p := i.parts[team]
	if p == nil {
		return Level{Team: team}
	}
	i.settle(p, now)
	l := Level{Team: team, Size: p.base, Free: p.free, Borrowed: sumOf(p.borrowed), Lent: sumOf(p.lent), DemandPerSecond: p.demand.now(now), Refused: p.refused}
	for _, units := range p.out {
		l.Held += units
	}
	for _, b := range p.back {
		l.Back += b.units
	}
	return l
}

// Levels returns the teams with a quota, sorted by name.
func (i *Issuer) Levels(now time.Time) []Level {
	var out []Level
	for _, name := range slices.Sorted(maps.Keys(i.parts)) {
		out = append(out, i.Level(name, now))
	}
	return out
}
