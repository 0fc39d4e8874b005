package quota

import (
	"maps"
	"slices"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Holder spends units of teams' quotas on an entry host. It is not safe for concurrent use.
type Holder struct {
	purses map[string]*purse
}

// purse is what a holder has of one team's quota.
type purse struct {
	by     []*holding
	demand meter
	last   time.Time // of the last request
	// waiting is what requests wait for, in all.
	waiting float64
}

// holding is what a holder has of one issuer's units.
type holding struct {
	issuer string
	units  float64
	until  time.Time
	// taken is what requests took within refundWithin: it may come back, and counts as kept.
	taken []lent
}

// refundWithin is how long a request that did not run may give its units back.
const refundWithin = 150 * time.Millisecond

// Charge is the units that one request took.
type Charge struct {
	units float64 // in all
	parts []chargePart
	at    time.Time
}

type chargePart struct {
	from  *holding
	units float64
}

// Units returns what the request took.
func (c *Charge) Units() float64 { return c.units }

// NewHolder returns a holder without units.
func NewHolder() *Holder { return &Holder{purses: map[string]*purse{}} }

func (h *Holder) purse(team string) *purse {
	p := h.purses[team]
	if p == nil {
		p = &purse{}
		h.purses[team] = p
	}
	return p
}

// of returns what is held of an issuer's units; nil for nothing.
func (p *purse) of(issuer string) *holding {
	for _, g := range p.by {
		if g.issuer == issuer {
			return g
		}
	}
	return nil
}

// Ask records that a request asks for units of a team's quota.
func (h *Holder) Ask(team string, units float64, now time.Time) {
	p := h.purse(team)
	p.demand.add(units, now)
	p.last = now
}

// Has returns the units of a team that can be spent.
func (h *Holder) Has(team string, now time.Time) float64 {
	sum := 0.0
	if p := h.purses[team]; p != nil {
		for _, g := range p.by {
			sum += g.spendable(now)
		}
	}
	return sum
}

func (g *holding) spendable(now time.Time) float64 {
	if over(g.until, now) {
		return 0
	}
	return g.units
}

// Take spends units of a team, if there are enough.
func (h *Holder) Take(team string, units float64, now time.Time) (*Charge, bool) {
	if h.Has(team, now) < units {
		return nil, false
	}
	c := &Charge{units: units, at: now}
	left := units
	for _, g := range h.purse(team).by {
		n := min(left, g.spendable(now))
		if n <= 0 {
			continue
		}
		g.units -= n
		left -= n
		g.taken = append(g.taken, lent{n, now.Add(refundWithin)})
		c.parts = append(c.parts, chargePart{g, n})
	}
	return c, true
}

// Refund gives back what a request took that did not run. It reports whether that was in time.
func (h *Holder) Refund(c *Charge, now time.Time) bool {
	if now.Sub(c.at) >= refundWithin {
		return false
	}
	for _, part := range c.parts {
		g := part.from
		at := slices.IndexFunc(g.taken, func(l lent) bool { return l.units == part.units && l.until.Equal(c.at.Add(refundWithin)) })
		if at < 0 {
			continue
		}
		g.taken = slices.Delete(g.taken, at, at+1)
		g.units += part.units
	}
	return true
}

// Wait adds to what requests of the team wait for; a negative number ends a wait.
func (h *Holder) Wait(team string, units float64) {
	p := h.purse(team)
	p.waiting = max(0, p.waiting+units)
}

// keepFor is for how long a holder keeps what its callers are expected to ask.
const keepFor = 250 * time.Millisecond

// idleAfter is when a team that asks nothing gives back all.
const idleAfter = 600 * time.Millisecond

// Compose returns an ask to an issuer, and takes out what it gives back; nil when there is
// nothing to say. nearest says that it is asked for what is expected, and needs for which teams
// waiting requests ask it.
func (h *Holder) Compose(issuer string, nearest bool, needs func(team string) bool, now time.Time) *pb.QuotaAsk {
	ask := &pb.QuotaAsk{}
	for _, team := range slices.Sorted(maps.Keys(h.purses)) {
		p := h.purses[team]
		g := p.of(issuer)
		needed := 0.0
		if needs(team) {
			needed = max(0, p.waiting-h.Has(team, now))
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
			part.Returned = g.giveBack(max(p.waiting, ahead), now)
			part.Kept = g.kept(now)
			if g.idle() && needed == 0 {
				p.by = slices.DeleteFunc(p.by, func(other *holding) bool { return other == g })
			}
		}
		part.Ahead = max(0, ahead-h.Has(team, now))
		if needed == 0 && part.Kept == 0 && part.Returned == 0 && part.Ahead == 0 {
			continue
		}
		ask.Parts = append(ask.Parts, part)
	}
	h.forget(now)
	if len(ask.Parts) == 0 {
		return nil
	}
	return ask
}

// ahead is what should be there for the requests that are expected.
func (p *purse) ahead(now time.Time) float64 {
	if now.Sub(p.last) > idleAfter {
		return 0
	}
	return p.demand.now(now) * keepFor.Seconds()
}

func (g *holding) giveBack(keep float64, now time.Time) float64 {
	if over(g.until, now) {
		g.units = 0
	}
	back := max(0, g.units-keep)
	g.units -= back
	return back
}

// kept is what an issuer must count as this holder's.
func (g *holding) kept(now time.Time) float64 {
	g.taken = slices.DeleteFunc(g.taken, func(l lent) bool { return now.After(l.until) })
	sum := g.units
	for _, l := range g.taken {
		sum += l.units
	}
	return sum
}

func (g *holding) idle() bool { return g.units == 0 && len(g.taken) == 0 }

// forget drops the teams that have asked nothing for long.
func (h *Holder) forget(now time.Time) {
	for team, p := range h.purses {
		if len(p.by) == 0 && p.waiting == 0 && now.Sub(p.last) > Lease {
			delete(h.purses, team)
		}
	}
}

// Granted takes an issuer's answer to an ask that was sent at a moment.
func (h *Holder) Granted(issuer string, ask *pb.QuotaAsk, grant *pb.QuotaGrant, sentAt time.Time) {
	for n, s := range grant.GetShares() {
		if n >= len(ask.Parts) {
			return
		}
		p := h.purse(ask.Parts[n].Team)
		g := p.of(issuer)
		if g == nil {
			g = &holding{issuer: issuer}
			p.by = append(p.by, g)
		}
		g.units += atLeast0(s.Granted)
		g.until = sentAt.Add(Lease)
	}
}

// Holds reports whether the holder has units of an issuer.
func (h *Holder) Holds(issuer string) bool {
	for _, p := range h.purses {
		if p.of(issuer) != nil {
			return true
		}
	}
	return false
}
