package quota

import (
	"maps"
	"slices"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Holder spends units of teams' quotas on an entry host. It is not safe for concurrent use.
type Holder struct {
	accounts map[string]*account
}

// account is a holder's state for one team's quota.
type account struct {
	holdings    []*holding
	demand      meter
	lastRequest time.Time
	// waiting is the number of units that waiting requests need in total.
	waiting float64
}

// holding is what a holder has of one issuer's units for a team.
type holding struct {
	issuer string
	units  float64
	until  time.Time
	// refundable lists the units taken by requests within the last refundPeriod. They may be
	// refunded, so they are reported to the issuer as kept.
	refundable []leasedUnits
}

// refundPeriod is how long the units of a request that did not run may be refunded.
const refundPeriod = 150 * time.Millisecond

// Charge records the units that one request took.
type Charge struct {
	units float64 // total
	parts []chargePart
	at    time.Time
}

type chargePart struct {
	from  *holding
	units float64
}

// Units returns the number of units that the request took.
func (c *Charge) Units() float64 { return c.units }

// NewHolder returns a holder without units.
func NewHolder() *Holder { return &Holder{accounts: map[string]*account{}} }

func (h *Holder) account(team string) *account {
	p := h.accounts[team]
	if p == nil {
		p = &account{}
		h.accounts[team] = p
	}
	return p
}

// holdingFrom returns the units held from an issuer, or nil if there are none.
func (p *account) holdingFrom(issuer string) *holding {
	for _, g := range p.holdings {
		if g.issuer == issuer {
			return g
		}
	}
	return nil
}

// RecordDemand records that a request needs units of a team's quota.
func (h *Holder) RecordDemand(team string, units float64, now time.Time) {
	p := h.account(team)
	p.demand.add(units, now)
	p.lastRequest = now
}

// Available returns the number of a team's units that can be spent now.
func (h *Holder) Available(team string, now time.Time) float64 {
	sum := 0.0
	if p := h.accounts[team]; p != nil {
		for _, g := range p.holdings {
			sum += g.spendable(now)
		}
	}
	return sum
}

func (g *holding) spendable(now time.Time) float64 {
	if expired(g.until, now) {
		return 0
	}
	return g.units
}

// Take spends units of a team, and reports false if there are too few.
func (h *Holder) Take(team string, units float64, now time.Time) (*Charge, bool) {
	if h.Available(team, now) < units {
		return nil, false
	}
	c := &Charge{units: units, at: now}
	left := units
	for _, g := range h.account(team).holdings {
		n := min(left, g.spendable(now))
		if n <= 0 {
			continue
		}
		g.units -= n
		left -= n
		g.refundable = append(g.refundable, leasedUnits{n, now.Add(refundPeriod)})
		c.parts = append(c.parts, chargePart{g, n})
	}
	return c, true
}

// Refund returns the units of a request that did not run. It reports whether the refund was in
// time, that is within refundPeriod.
func (h *Holder) Refund(c *Charge, now time.Time) bool {
	if now.Sub(c.at) >= refundPeriod {
		return false
	}
	for _, part := range c.parts {
		g := part.from
		at := slices.IndexFunc(g.refundable, func(l leasedUnits) bool { return l.units == part.units && l.until.Equal(c.at.Add(refundPeriod)) })
		if at < 0 {
			continue
		}
		g.refundable = slices.Delete(g.refundable, at, at+1)
		g.units += part.units
	}
	return true
}

// AddWaiting adds units to what waiting requests of the team need; a negative number ends a wait.
func (h *Holder) AddWaiting(team string, units float64) {
	p := h.account(team)
	p.waiting = max(0, p.waiting+units)
}

// aheadPeriod is the period for which a holder keeps units for expected requests.
const aheadPeriod = 250 * time.Millisecond

// idleTimeout is how long after its last request a team's holder returns all of its units.
const idleTimeout = 600 * time.Millisecond

// ComposeAsk returns the ask to send to an issuer, and removes the units that the ask returns;
// nil if there is nothing to send. The nearest issuer is also asked for units for expected
// requests; needs reports for which teams waiting requests ask this issuer.
func (h *Holder) ComposeAsk(issuer string, nearest bool, needs func(team string) bool, now time.Time) *pb.QuotaAsk {
	ask := &pb.QuotaAsk{}
	for _, team := range slices.Sorted(maps.Keys(h.accounts)) {
		p := h.accounts[team]
		g := p.holdingFrom(issuer)
		needed := 0.0
		if needs(team) {
			needed = max(0, p.waiting-h.Available(team, now))
		}
		ahead := 0.0
		if nearest {
			ahead = p.ahead(now)
		}
		if g == nil && needed == 0 && ahead == 0 {
			continue
		}
		part := &pb.QuotaPart{Team: team, Needed: needed}
		if g != nil {
			part.Returned = g.takeExcess(max(p.waiting, ahead), now)
			part.Kept = g.kept(now)
			if g.idle() && needed == 0 {
				p.holdings = slices.DeleteFunc(p.holdings, func(other *holding) bool { return other == g })
			}
		}
		part.Ahead = max(0, ahead-h.Available(team, now))
		if needed == 0 && part.Kept == 0 && part.Returned == 0 && part.Ahead == 0 {
			continue
		}
		ask.Parts = append(ask.Parts, part)
	}
	h.removeIdle(now)
	if len(ask.Parts) == 0 {
		return nil
	}
	return ask
}

// ahead returns the number of units to keep for expected requests.
func (p *account) ahead(now time.Time) float64 {
	if now.Sub(p.lastRequest) > idleTimeout {
		return 0
	}
	return p.demand.rateAt(now) * aheadPeriod.Seconds()
}

func (g *holding) takeExcess(keep float64, now time.Time) float64 {
	if expired(g.until, now) {
		g.units = 0
	}
	back := max(0, g.units-keep)
	g.units -= back
	return back
}

// kept returns the number of units that an issuer must count as held by this holder.
func (g *holding) kept(now time.Time) float64 {
	g.refundable = slices.DeleteFunc(g.refundable, func(l leasedUnits) bool { return now.After(l.until) })
	sum := g.units
	for _, l := range g.refundable {
		sum += l.units
	}
	return sum
}

func (g *holding) idle() bool { return g.units == 0 && len(g.refundable) == 0 }

// removeIdle removes the accounts of teams without units that have had no request for Lease.
func (h *Holder) removeIdle(now time.Time) {
	for team, p := range h.accounts {
		if len(p.holdings) == 0 && p.waiting == 0 && now.Sub(p.lastRequest) > Lease {
			delete(h.accounts, team)
		}
	}
}

// ApplyGrant applies an issuer's answer to an ask that was sent at sentAt.
func (h *Holder) ApplyGrant(issuer string, ask *pb.QuotaAsk, grant *pb.QuotaGrant, sentAt time.Time) {
	for n, s := range grant.GetShares() {
		if n >= len(ask.Parts) {
			return
		}
		p := h.account(ask.Parts[n].Team)
		g := p.holdingFrom(issuer)
		if g == nil {
			g = &holding{issuer: issuer}
			p.holdings = append(p.holdings, g)
		}
		g.units += nonNegative(s.Granted)
		g.until = sentAt.Add(Lease)
	}
}

// Holds reports whether the holder has units, or still refundable ones, from an issuer.
func (h *Holder) Holds(issuer string) bool {
	for _, p := range h.accounts {
		if p.holdingFrom(issuer) != nil {
			return true
		}
	}
	return false
}
