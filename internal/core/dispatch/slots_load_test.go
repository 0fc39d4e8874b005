package dispatch

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// slotsPlay plays regions whose engines are short of slots: a request keeps one for seconds,
// and waits in the engine's queue while none is free. Callers leave who wait too long. Hosts
// choose on figures a quarter of a second old; while control hosts are cut from each other,
// each tells of the hosts of its own failure domain only, and of no other region.
type slotsPlay struct {
	rnd     *rand.Rand
	now     time.Time
	regions []*slotRegion
	cut     bool
	// asks lets hosts ask those of other regions for loads.
	asks  bool
	tally map[string]int
	limit time.Duration // until a caller leaves
}

type slotRegion struct {
	name    string
	hosts   []*Fleet
	engines map[string]*slotEngine
}

type slotEngine struct {
	running int
	queue   []*slotRequest // those that are not deferred first
}

type slotRequest struct {
	host     *Fleet // that chose the engine
	choice   Choice
	arrived  time.Time
	end      time.Time
	began    bool
	deferred bool
}

const (
	regionSlots  = 32
	slotHold     = 2 * time.Second
	slotFirst    = 60 * time.Millisecond
	slotTarget   = time.Second
	slotPatience = 4800 * time.Millisecond
	slotWay      = 165 * time.Millisecond // to another region and back
)

func newSlotsPlay(seed int64, hosts int, engines map[string]int) *slotsPlay {
	p := &slotsPlay{rnd: rand.New(rand.NewSource(seed)), now: start, tally: map[string]int{}, limit: slotPatience}
	for _, name := range []string{"west", "east"} {
		if engines[name] == 0 {
			continue
		}
		r := &slotRegion{name: name, engines: map[string]*slotEngine{}}
		for i := range hosts {
			r.hosts = append(r.hosts, New(Options{
				Host: fmt.Sprintf("%s%02d", name, i), Region: name, FailureDomain: fmt.Sprintf("%s%d", name, i%2), Random: p.rnd.Float64, PrefillRate: 38,
			}))
		}
		for i := range engines[name] {
			r.engines[fmt.Sprintf("%s-s%02d", name, i)] = &slotEngine{}
		}
		p.regions = append(p.regions, r)
	}
	return p
}

// view gives every host what its control host tells.
func (p *slotsPlay) view() {
	all := map[string][]*pb.RegionLoad{}
	loads := map[*Fleet]serverload.Loads{}
	for _, r := range p.regions {
		for _, h := range r.hosts {
			loads[h] = h.Loads(p.now)
		}
		sum := &pb.RegionLoad{Region: r.name, Service: "llm", Servers: uint32(len(r.engines)), Slots: uint32(len(r.engines) * regionSlots)}
		for _, h := range r.hosts {
			for key, l := range loads[h] {
				if key != serverload.ServiceKey("llm") {
					sum.Requests += l.Requests
					sum.PromptTokens += l.PromptTokens
				}
			}
			sum.Arrivals += loads[h][serverload.ServiceKey("llm")].Requests
		}
		sum.AgeMs = 400
		all[r.name] = []*pb.RegionLoad{sum}
	}
	for _, r := range p.regions {
		for i, h := range r.hosts {
			v := &pb.FleetView{Epoch: 1, Version: 1}
			for _, id := range slices.Sorted(maps.Keys(r.engines)) {
				v.Servers = append(v.Servers, &pb.FleetServer{Id: id, Service: "llm", Address: id + ":80", FailureDomain: r.name + "0", Sequence: 1, Slots: regionSlots})
			}
			sums := serverload.Loads{}
			for k, other := range r.hosts {
				if k != i && (!p.cut || k%2 == i%2) {
					sums.Add(loads[other])
				}
			}
			v.Loads = serverload.Encode(sums)
			for _, o := range p.regions {
				if o != r && !p.cut {
					v.Regions = append(v.Regions, all[o.name]...)
				}
				for k := range o.hosts {
					v.Hosts = append(v.Hosts, &pb.FleetHost{Id: fmt.Sprintf("%s%02d", o.name, k), Region: o.name, Peer: fmt.Sprint(k), Ready: true})
				}
			}
			h.TakeView(v, Everything, p.now)
			if p.asks {
				p.ask(r, h)
			}
		}
	}
}

func (p *slotsPlay) ask(r *slotRegion, h *Fleet) {
	for _, other := range h.RegionsToAsk(p.now) {
		for _, o := range p.regions {
			if o.name == other.Region {
				h.TakeRegion(other, o.hosts[p.rnd.Intn(len(o.hosts))].RegionLoads(p.now), p.now.Add(-slotWay/2), p.now)
			}
		}
	}
}

// run plays a load on the first region for a time: chats a second. all is counted from the
// moment counted on.
func (p *slotsPlay) run(d time.Duration, perSecond float64) {
	for i := range int(d / playStep) {
		if i%25 == 0 {
			p.view()
		}
		for _, r := range p.regions {
			for _, id := range slices.Sorted(maps.Keys(r.engines)) {
				p.work(r, r.engines[id])
			}
		}
		mean := perSecond * playStep.Seconds()
		n := int(mean)
		if p.rnd.Float64() < mean-float64(n) {
			n++
		}
		for range n {
			p.tally["asked"]++
			p.arrive(p.regions[0], shortJob(), p.now, false)
		}
		p.now = p.now.Add(playStep)
	}
}

func (p *slotsPlay) arrive(r *slotRegion, j *Job, arrived time.Time, forwarded bool) {
	h := r.hosts[p.rnd.Intn(len(r.hosts))]
	h.Arrived("llm", p.now)
	j.Permits = func(string) bool { return true }
	j.Forwarded, j.Target, j.Remaining = forwarded, slotTarget, p.limit-p.now.Sub(arrived)
	c := h.Choose(j, p.now)
	if c.Refused != "" {
		p.tally["refused"]++
		return
	}
	h.Started(&c, p.now)
	if c.Server == nil {
		for _, o := range p.regions {
			if o.name == c.Host.Region {
				p.tally["sent away"]++
				p.arrive(o, shortJob(), arrived.Add(-slotWay), true)
			}
		}
		return
	}
	e := r.engines[c.Server.ID]
	q := &slotRequest{host: h, choice: c, arrived: arrived, deferred: c.Deferred}
	at := len(e.queue)
	if !q.deferred {
		at = 0
		for at < len(e.queue) && !e.queue[at].deferred {
			at++
		}
	}
	e.queue = slices.Insert(e.queue, at, q)
}

// work ends what is over, and begins what is next.
func (p *slotsPlay) work(r *slotRegion, e *slotEngine) {
	var running []*slotRequest
	for _, q := range e.queue {
		if q.began {
			running = append(running, q)
		}
	}
	e.running = len(running)
	e.queue = slices.DeleteFunc(e.queue, func(q *slotRequest) bool {
		switch {
		case q.began && !p.now.Before(q.end):
			q.host.Ended(&q.choice, Served, slotFirst, p.now)
			e.running--
			return true
		case !q.began && p.now.Sub(q.arrived) > p.limit:
			p.tally["left"]++
			q.host.Ended(&q.choice, CallerEnded, 0, p.now)
			return true
		}
		return false
	})
	for _, q := range e.queue {
		if q.began || e.running >= regionSlots {
			continue
		}
		e.running++
		q.began = true
		first := p.now.Add(slotFirst).Sub(q.arrived)
		q.end = p.now.Add(time.Duration((0.5 + p.rnd.Float64()) * float64(slotHold)))
		q.host.FirstByte(&q.choice, p.now.Add(slotFirst).Sub(q.choice.began))
		q.host.Observed(&q.choice, len(e.queue), p.now)
		if first <= slotTarget {
			p.tally["in time"]++
		} else {
			p.tally["late"]++
		}
	}
}

// capacity is what engines can run a second.
func capacity(engines int) float64 {
	return float64(engines*regionSlots) / slotHold.Seconds()
}

// TestOverloadWhileControlHostsAreCut asks one region for half more than its engines can run,
// while the next region's engines idle and no control host tells of others. Before, hosts took
// servers to have half of the requests that they had, and sent nothing to the other region, of
// which no figures came.
func TestOverloadWhileControlHostsAreCut(t *testing.T) {
	var inTime, asked int
	for seed := range int64(loadSeeds) {
		p := newSlotsPlay(seed, 12, map[string]int{"west": 8, "east": 8})
		p.asks = true
		p.run(6*time.Second, 0.7*capacity(8))
		p.cut = true
		p.run(2*time.Second, 0.7*capacity(8))
		p.tally = map[string]int{}
		p.run(6*time.Second, 1.5*capacity(8))
		t.Log(p.tally)
		inTime, asked = inTime+p.tally["in time"], asked+p.tally["asked"]
	}
	if part := float64(inTime) / float64(asked); part < 0.9 {
		t.Errorf("%.2f of what was asked was answered in time; there are engines for all", part)
	}
}
