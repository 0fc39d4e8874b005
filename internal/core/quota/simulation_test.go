package quota

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// The simulation runs issuers and holders over a network that delays, loses and duplicates
// messages. Issuers and holders are killed, restarted and partitioned at any time. What an
// issuer stores reaches its disk after a delay, or not at all if the issuer is killed before.

const simTeam = "hall"

var simBound = Bound{Window: 8 * time.Second, Excess: 0.1, Slack: 3000}

type simIssuer struct {
	*Issuer
	name        string
	up          bool
	disk        *pb.QuotaState
	epoch       uint64
	sequence    uint64
	busy        map[string]int // calls in flight, by lender
	incarnation int
}

type simHolder struct {
	*Holder
	name          string
	nearestIssuer int
	up            bool
	epoch         uint64
	sequence      map[string]uint64
	busy          map[string]bool
	waiting       []float64
	incarnation   int
}

type event struct {
	at time.Time
	n  int
	do func()
}

type sent struct {
	at    time.Time
	units float64
}

type simulation struct {
	rng         *rand.Rand
	now         time.Time
	events      []event
	n           int
	teams       []configstate.Team
	quotas      []quotaSince
	issuers     []*simIssuer
	holders     []*simHolder
	partitioned map[string]bool // names without a connection
	lossRate    float64
	spent       []sent
	asked       float64
	refused     float64
}

type quotaSince struct {
	from time.Time
	q    configstate.Quota
}

func newSimulation(seed int64, issuers, holders int, q configstate.Quota) *simulation {
	w := &simulation{rng: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), partitioned: map[string]bool{}}
	w.setQuota(q)
	for i := range issuers {
		is := &simIssuer{name: fmt.Sprint("c", i), up: true, busy: map[string]int{}}
		is.Issuer = NewIssuer(IssuerOptions{Bound: simBound, FirstStart: true, SettlePeriod: 30 * time.Second}, w.now)
		is.epoch = w.nextEpoch()
		w.issuers = append(w.issuers, is)
	}
	for _, is := range w.issuers {
		w.startIssuer(is)
	}
	for i := range holders {
		h := &simHolder{name: fmt.Sprint("h", i), nearestIssuer: i % issuers}
		w.holders = append(w.holders, h)
		w.startHolder(h)
	}
	return w
}

func (w *simulation) nextEpoch() uint64 { w.n++; return uint64(w.n) }

func (w *simulation) schedule(d time.Duration, f func()) {
	w.n++
	w.events = append(w.events, event{w.now.Add(d), w.n, f})
}

// run advances the simulation by d.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		best := -1
		for i, e := range w.events {
			if b := best; b < 0 || e.at.Before(w.events[b].at) || (e.at.Equal(w.events[b].at) && e.n < w.events[b].n) {
				best = i
			}
		}
		if best < 0 || w.events[best].at.After(end) {
			w.now = end
			return
		}
		e := w.events[best]
		w.events = slices.Delete(w.events, best, best+1)
		w.now = e.at
		e.do()
	}
}

func (w *simulation) setQuota(q configstate.Quota) {
	w.teams = []configstate.Team{{Name: simTeam, Quota: &q}}
	w.quotas = append(w.quotas, quotaSince{w.now, q})
	for _, is := range w.issuers {
		if is.up {
			is.SetTeams(w.teams, w.now)
		}
	}
}

// startIssuer sets an issuer's share and starts its loop of storing and borrowing.
func (w *simulation) startIssuer(is *simIssuer) {
	incarnation := is.incarnation
	is.SetShare(1/float64(len(w.issuers)), true, w.now)
	is.SetTeams(w.teams, w.now)
	var loop func()
	loop = func() {
		if is.incarnation != incarnation {
			return
		}
		if u := is.StateToStore(w.now); u != nil {
			w.schedule(w.randomDuration(30*time.Millisecond), func() {
				if is.incarnation == incarnation {
					is.disk = u
					is.ConfirmStored(u)
				}
			})
		}
		for i, other := range w.issuers {
			if other != is && is.busy[other.name] == 0 {
				w.borrow(is, w.issuers[i])
			}
		}
		w.schedule(100*time.Millisecond, loop)
	}
	loop()
}

func (w *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int63n(int64(d)))
}

// sampleDelay returns the delay of a message, or false if it is lost.
func (w *simulation) sampleDelay(from, to string) (time.Duration, bool) {
	if w.partitioned[from] || w.partitioned[to] || w.rng.Float64() < w.lossRate {
		if w.rng.Float64() < 0.5 {
			return 0, false
		}
		return w.randomDuration(3 * time.Second), true // delayed until the connection is restored
	}
	return time.Millisecond + w.randomDuration(90*time.Millisecond), true
}

// call delivers an ask and its answer. done receives nil after the timeout; the ask may still
// arrive later, and may arrive twice.
func (w *simulation) call(from string, to *simIssuer, ask *pb.QuotaAsk, timeout time.Duration, done func(*pb.QuotaGrant)) {
	ended := false
	finish := func(g *pb.QuotaGrant) {
		if !ended {
			ended = true
			done(g)
		}
	}
	w.schedule(timeout, func() { finish(nil) })
	copies := 1
	if w.rng.Float64() < w.lossRate {
		copies = 2
	}
	for range copies {
		d, ok := w.sampleDelay(from, to.name)
		if !ok {
			continue
		}
		w.schedule(d, func() {
			if !to.up {
				return
			}
			g := to.Answer(from, ask, w.now)
			if back, ok := w.sampleDelay(to.name, from); ok {
				w.schedule(back, func() { finish(g) })
			}
		})
	}
}

func (w *simulation) borrow(is, lender *simIssuer) {
	ask := is.ComposeBorrowAsk(lender.name, len(w.issuers)-1, w.now)
	if ask == nil {
		return
	}
	is.sequence++
	ask.Epoch, ask.Sequence = is.epoch, is.sequence
	incarnation, sentAt := is.incarnation, w.now
	is.busy[lender.name] = 1
	w.call(is.name, lender, ask, LoanTimeout, func(g *pb.QuotaGrant) {
		if is.incarnation != incarnation {
			return
		}
		is.busy[lender.name] = 0
		if g != nil {
			is.ApplyLoan(lender.name, ask, g, sentAt, w.now)
		}
	})
}

func (w *simulation) startHolder(h *simHolder) {
	h.Holder, h.up, h.epoch, h.sequence, h.busy, h.waiting = NewHolder(), true, w.nextEpoch(), map[string]uint64{}, map[string]bool{}, nil
	incarnation := h.incarnation
	var loop func()
	loop = func() {
		if h.incarnation != incarnation {
			return
		}
		for i, is := range w.issuers {
			if i == h.nearestIssuer || h.Holds(is.name) {
				w.ask(h, is, i == h.nearestIssuer)
			}
		}
		w.schedule(200*time.Millisecond, loop)
	}
	loop()
}

func (w *simulation) ask(h *simHolder, is *simIssuer, nearest bool) {
	if h.busy[is.name] {
		return
	}
	ask := h.ComposeAsk(is.name, nearest, func(string) bool { return len(h.waiting) > 0 }, w.now)
	if ask == nil {
		return
	}
	h.sequence[is.name]++
	ask.Epoch, ask.Sequence = h.epoch, h.sequence[is.name]
	h.busy[is.name] = true
	incarnation, sentAt := h.incarnation, w.now
	w.call(h.name, is, ask, 400*time.Millisecond, func(g *pb.QuotaGrant) {
		if h.incarnation != incarnation {
			return
		}
		h.busy[is.name] = false
		if g != nil {
			h.ApplyGrant(is.name, ask, g, sentAt)
		}
		w.serve(h)
		if len(h.waiting) > 0 && is == w.issuers[h.nearestIssuer] {
			w.ask(h, is, true) // for requests that arrived after the ask was sent
		}
	})
}

func (w *simulation) serve(h *simHolder) {
	h.waiting = slices.DeleteFunc(h.waiting, func(units float64) bool {
		if !w.take(h, units) {
			return false
		}
		h.AddWaiting(simTeam, -units)
		return true
	})
}

// request simulates a request at a holder.
func (w *simulation) request(h *simHolder, units float64) {
	w.asked += units
	h.RecordDemand(simTeam, units, w.now)
	if w.take(h, units) {
		return
	}
	h.waiting = append(h.waiting, units)
	h.AddWaiting(simTeam, units)
	w.ask(h, w.issuers[h.nearestIssuer], true)
	incarnation := h.incarnation
	w.schedule(60*time.Millisecond, func() {
		if h.incarnation == incarnation && len(h.waiting) > 0 {
			for _, is := range w.issuers {
				w.ask(h, is, false)
			}
		}
	})
	w.schedule(450*time.Millisecond, func() {
		if i := slices.Index(h.waiting, units); h.incarnation == incarnation && i >= 0 {
			h.waiting = slices.Delete(h.waiting, i, i+1)
			h.AddWaiting(simTeam, -units)
			w.refused += units
		}
	})
}

func (w *simulation) take(h *simHolder, units float64) bool {
	c, ok := h.Take(simTeam, units, w.now)
	if !ok {
		return false
	}
	if w.rng.Float64() < 0.05 { // did not run
		incarnation := h.incarnation
		d := w.randomDuration(2 * refundPeriod)
		w.schedule(d, func() {
			if h.incarnation != incarnation || !h.Refund(c, w.now) {
				w.spent = append(w.spent, sent{w.now, units})
			}
		})
		return true
	}
	w.schedule(w.randomDuration(maxSendDelay), func() { w.spent = append(w.spent, sent{w.now, units}) })
	return true
}

func (w *simulation) killIssuer(is *simIssuer, down time.Duration, diskLost bool) {
	if !is.up {
		return
	}
	is.up = false
	is.incarnation++
	if diskLost {
		is.disk = nil
	}
	w.schedule(down, func() {
		is.up, is.busy, is.epoch = true, map[string]int{}, w.nextEpoch()
		is.Issuer = NewIssuer(IssuerOptions{Bound: simBound, Restored: is.disk, SettlePeriod: 30 * time.Second}, w.now)
		w.startIssuer(is)
	})
}

func (w *simulation) killHolder(h *simHolder, down time.Duration) {
	if !h.up {
		return
	}
	h.up = false
	h.incarnation++
	w.schedule(down, func() { w.startHolder(h) })
}

// checkBound returns an error if more units were sent in a window than allowed.
func (w *simulation) checkBound() error {
	slices.SortFunc(w.spent, func(a, b sent) int { return a.at.Compare(b.at) })
	sum, first := 0.0, 0
	for _, s := range w.spent {
		sum += s.units
		for s.at.Sub(w.spent[first].at) >= simBound.Window {
			sum -= w.spent[first].units
			first++
		}
		if limit := w.limitAt(w.spent[first].at); sum > limit {
			return fmt.Errorf("%.0f units were sent in the window that ends at %v, allowed %.0f", sum, s.at.Sub(time.Unix(1000, 0)), limit)
		}
	}
	return nil
}

// limitAt returns the number of units allowed in a window that begins at at. A lowered quota
// applies one window after it was set, when all issuers and holders have received it.
func (w *simulation) limitAt(at time.Time) float64 {
	limit := 0.0
	for i, q := range w.quotas {
		if i+1 < len(w.quotas) && w.quotas[i+1].from.Add(simBound.Window).Before(at) {
			continue
		}
		limit = max(limit, (q.q.PerSecond*simBound.Window.Seconds()+q.q.Burst)*(1+simBound.Excess)+simBound.Slack)
	}
	return limit
}

// TestNeverOverTheBound checks that no window exceeds the bound under any order of kills, disk
// losses, partitions, message losses and quota changes, while far more is asked than is allowed.
func TestNeverOverTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Int64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "issuers"), rapid.IntRange(1, 12).Draw(t, "holders"),
			configstate.Quota{Unit: configstate.UnitTokens, PerSecond: 4000, Burst: 4000})
		w.startLoad(rapid.Float64Range(0.5, 8).Draw(t, "load"), 0)
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			w.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause_ms")) * time.Millisecond)
			is := w.issuers[rapid.IntRange(0, len(w.issuers)-1).Draw(t, "issuer")]
			h := w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder")]
			down := time.Duration(rapid.IntRange(1, 6000).Draw(t, "down_ms")) * time.Millisecond
			switch rapid.IntRange(0, 7).Draw(t, "fault") {
			case 0:
				w.killIssuer(is, down, false)
			case 1:
				w.killIssuer(is, down, true)
			case 2:
				w.killHolder(h, down)
			case 3:
				w.partitioned[is.name] = true
				w.schedule(down, func() { delete(w.partitioned, is.name) })
			case 4:
				w.partitioned[h.name] = true
				w.schedule(down, func() { delete(w.partitioned, h.name) })
			case 5:
				w.lossRate = 0.3
				w.schedule(down, func() { w.lossRate = 0 })
			case 6: // power loss of all hosts
				for _, is := range w.issuers {
					w.killIssuer(is, down, false)
				}
				for _, h := range w.holders {
					w.killHolder(h, down)
				}
			case 7:
				w.setQuota(configstate.Quota{Unit: configstate.UnitTokens, PerSecond: 4000 * rapid.Float64Range(0.2, 2).Draw(t, "quota"), Burst: 4000})
			}
		}
		w.run(12 * time.Second)
		if err := w.checkBound(); err != nil {
			t.Fatal(err)
		}
	})
}

// startLoad sends requests to the holders at a total rate of x times the quota. near selects the
// issuer whose holders receive all of them, counted from 1; 0 selects all holders.
func (w *simulation) startLoad(x float64, near int) {
	const mean = 400.0
	var loop func()
	loop = func() {
		h := w.holders[w.rng.Intn(len(w.holders))]
		if h.up && (near == 0 || h.nearestIssuer == near-1) {
			w.request(h, mean/2+w.rng.Float64()*mean)
		}
		share := 1.0
		if near > 0 {
			share = 1 / float64(len(w.issuers))
		}
		w.schedule(time.Duration(w.rng.ExpFloat64()*mean/(x*4000)*share*float64(time.Second)), loop)
	}
	loop()
}

// TestAllIsUsable asks for 0.9 of the quota at the hosts of one failure domain, after a power loss
// and a partition that ended more than a window and the longest leases ago. At most 0.5 % of it may
// be refused: units must not stay withheld after the faults.
func TestAllIsUsable(t *testing.T) {
	for _, issuers := range []int{1, 3, 6} {
		w := newSimulation(1, issuers, 4*issuers, configstate.Quota{Unit: configstate.UnitTokens, PerSecond: 4000, Burst: 4000})
		w.run(time.Second)
		for _, is := range w.issuers {
			w.killIssuer(is, time.Second, false)
		}
		w.run(2 * time.Second)
		w.partitioned["c0"] = true
		w.run(5 * time.Second)
		delete(w.partitioned, "c0")
		w.run(simBound.Window + Lease + LoanLease + time.Second)
		w.startLoad(0.9, 1)
		w.run(3 * time.Second) // time for the other issuers to lend
		w.asked, w.refused = 0, 0
		w.run(20 * time.Second)
		if part := w.refused / w.asked; part > 0.005 {
			t.Errorf("%d issuers: the fraction %.4f of the units asked below the quota was refused", issuers, part)
		}
		if err := w.checkBound(); err != nil {
			t.Error(err)
		}
	}
}
