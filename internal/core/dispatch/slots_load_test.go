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

// slotSimulation simulates regions whose engines are short of slots: a request holds a slot for
// seconds, and waits in the engine's queue while none is free. Callers disconnect after
// callerTimeout. Hosts choose on load figures a quarter of a second old. While the control
// hosts are cut off from each other, each reports only the hosts of its own failure domain, and
// no other region.
type slotSimulation struct {
	rnd     *rand.Rand
	now     time.Time
	regions []*slotRegion
	cut     bool
	// queryRegions makes hosts query the hosts of other regions for loads.
	queryRegions  bool
	tally         map[string]int
	callerTimeout time.Duration // time after which a caller disconnects
}

type slotRegion struct {
	name    string
	hosts   []*Fleet
	engines map[string]*slotEngine
}

type slotEngine struct {
	running int
	queue   []*slotRequest // deferred requests last
}

type slotRequest struct {
	host     *Fleet // host that chose the engine
	choice   Choice
	arrived  time.Time
	end      time.Time
	started  bool
	deferred bool
}

const (
	regionSlots       = 32
	slotHold          = 2 * time.Second
	slotFirst         = 60 * time.Millisecond
	slotTarget        = time.Second
	slotCallerTimeout = 4800 * time.Millisecond
	slotRegionRTT     = 165 * time.Millisecond // round trip to another region
)

func newSlotSimulation(seed int64, hosts int, engines map[string]int) *slotSimulation {
	p := &slotSimulation{rnd: rand.New(rand.NewSource(seed)), now: start, tally: map[string]int{}, callerTimeout: slotCallerTimeout}
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

// exchangeLoads gives every host a view with what its control host reports.
func (p *slotSimulation) exchangeLoads() {
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
			h.ApplyView(v, FullScope, p.now)
			if p.queryRegions {
				p.queryOtherRegions(r, h)
			}
		}
	}
}

func (p *slotSimulation) queryOtherRegions(r *slotRegion, h *Fleet) {
	for _, other := range h.HostsToQuery(p.now) {
		for _, o := range p.regions {
			if o.name == other.Region {
				h.ApplyRegionLoads(other, o.hosts[p.rnd.Intn(len(o.hosts))].RegionLoads(p.now), p.now.Add(-slotRegionRTT/2), p.now)
			}
		}
	}
}

// run simulates a load on the first region for a time, in requests per second.
func (p *slotSimulation) run(d time.Duration, perSecond float64) {
	for i := range int(d / simulationStep) {
		if i%25 == 0 {
			p.exchangeLoads()
		}
		for _, r := range p.regions {
			for _, id := range slices.Sorted(maps.Keys(r.engines)) {
				p.stepEngine(r, r.engines[id])
			}
		}
		mean := perSecond * simulationStep.Seconds()
		n := int(mean)
		if p.rnd.Float64() < mean-float64(n) {
			n++
		}
		for range n {
			p.tally["asked"]++
			p.arrive(p.regions[0], shortJob(), p.now, false)
		}
		p.now = p.now.Add(simulationStep)
	}
}

func (p *slotSimulation) arrive(r *slotRegion, j *Job, arrived time.Time, forwarded bool) {
	h := r.hosts[p.rnd.Intn(len(r.hosts))]
	h.RecordArrival("llm", p.now)
	j.Permits = func(string) bool { return true }
	j.Forwarded, j.Target, j.Remaining = forwarded, slotTarget, p.callerTimeout-p.now.Sub(arrived)
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
				p.arrive(o, shortJob(), arrived.Add(-slotRegionRTT), true)
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

// stepEngine ends requests that are complete or whose callers disconnect, and starts queued
// ones.
func (p *slotSimulation) stepEngine(r *slotRegion, e *slotEngine) {
	var running []*slotRequest
	for _, q := range e.queue {
		if q.started {
			running = append(running, q)
		}
	}
	e.running = len(running)
	e.queue = slices.DeleteFunc(e.queue, func(q *slotRequest) bool {
		switch {
		case q.started && !p.now.Before(q.end):
			q.host.Ended(&q.choice, Served, slotFirst, p.now)
			e.running--
			return true
		case !q.started && p.now.Sub(q.arrived) > p.callerTimeout:
			p.tally["left"]++
			q.host.Ended(&q.choice, CallerEnded, 0, p.now)
			return true
		}
		return false
	})
	for _, q := range e.queue {
		if q.started || e.running >= regionSlots {
			continue
		}
		e.running++
		q.started = true
		first := p.now.Add(slotFirst).Sub(q.arrived)
		q.end = p.now.Add(time.Duration((0.5 + p.rnd.Float64()) * float64(slotHold)))
		q.host.FirstByte(&q.choice, p.now.Add(slotFirst).Sub(q.choice.startedAt))
		q.host.RecordReportedRequests(&q.choice, len(e.queue), p.now)
		if first <= slotTarget {
			p.tally["in time"]++
		} else {
			p.tally["late"]++
		}
	}
}

// capacity returns the number of requests that engines can run per second.
func capacity(engines int) float64 {
	return float64(engines*regionSlots) / slotHold.Seconds()
}

// TestOverloadWhileControlHostsAreCut sends one region 1.5 times the load that its engines can
// run, while the engines of the next region are idle and the control hosts are cut off from
// each other. In the failure, hosts had recorded half of the requests that servers had, and
// sent nothing to the other region as no figures of it arrived.
func TestOverloadWhileControlHostsAreCut(t *testing.T) {
	var inTime, asked int
	for seed := range int64(seedsPerLoad) {
		p := newSlotSimulation(seed, 12, map[string]int{"west": 8, "east": 8})
		p.queryRegions = true
		p.run(6*time.Second, 0.7*capacity(8))
		p.cut = true
		p.run(2*time.Second, 0.7*capacity(8))
		p.tally = map[string]int{}
		p.run(6*time.Second, 1.5*capacity(8))
		t.Log(p.tally)
		inTime, asked = inTime+p.tally["in time"], asked+p.tally["asked"]
	}
	if part := float64(inTime) / float64(asked); part < 0.9 {
		t.Errorf("%.2f of the requests were answered in time, at least 0.9: the engines of both regions suffice for all", part)
	}
}
