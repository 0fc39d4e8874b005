package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// memorySimulation simulates a region whose engines crash when the requests that they hold exceed their memory. Hosts
// choose on figures of each other that are memoryFigureAge old. A crashed engine is replaced at once by another process
// under its ID.
type memorySimulation struct {
	rnd     *rand.Rand
	now     time.Time
	hosts   []*Fleet
	engines []*memoryEngine
	reports [][]serverload.Loads // by step, of each host
	hold    time.Duration        // from the first byte to the end of an answer
	chains  int                  // number of chains of the long prompts
	running int                  // number of hosts that run; the others report and send nothing
	stopped bool                 // hosts receive no views
	crashes int
	refused int
	sent    int
	peak    float64 // part of an engine's memory that was used at most
}

type memoryEngine struct {
	start     int64
	backlogMS float64
	requests  []*memoryRequest
}

type memoryRequest struct {
	host       *Fleet
	choice     Choice
	first, end time.Time
}

const (
	memoryFigureAge = 350 * time.Millisecond
	memoryStep      = 50 * time.Millisecond
	memoryCapacity  = 180_000.0
)

func newMemorySimulation(seed int64, hosts, engines int, off Mechanisms) *memorySimulation {
	p := &memorySimulation{rnd: rand.New(rand.NewSource(seed)), now: start, hold: 5 * time.Second, chains: 300, running: hosts}
	for i := range hosts {
		p.hosts = append(p.hosts, New(Options{Host: fmt.Sprintf("h%02d", i), Region: "west", FailureDomain: "w1", Random: p.rnd.Float64, PrefillRate: 38, Off: off}))
	}
	for range engines {
		p.engines = append(p.engines, &memoryEngine{start: 1})
	}
	return p
}

// exchange records the hosts' loads and gives every host those that are memoryFigureAge old.
func (p *memorySimulation) exchange() {
	now := make([]serverload.Loads, len(p.hosts))
	for i, h := range p.hosts[:p.running] {
		now[i] = h.Loads(p.now)
	}
	p.reports = append(p.reports, now)
	if p.stopped {
		return
	}
	old := p.reports[max(0, len(p.reports)-1-int(memoryFigureAge/memoryStep))]
	for i, h := range p.hosts {
		v := testView(len(p.engines))
		v.Regions, v.Hosts = nil, nil
		for k, e := range p.engines {
			v.Servers[k].Start = e.start
		}
		for k := range p.hosts {
			v.Hosts = append(v.Hosts, &pb.FleetHost{Id: fmt.Sprintf("h%02d", k), Region: "west", FailureDomain: "w1", Ready: true})
		}
		sums := serverload.Loads{}
		for k, l := range old {
			if k != i {
				sums.Add(l)
			}
		}
		v.Loads = serverload.Encode(sums)
		h.ApplyView(v, FullScope, p.now)
	}
}

// run simulates a load for a time; shorts and longs are the rates of prompts per second.
func (p *memorySimulation) run(d time.Duration, shorts, longs float64) {
	for range int(d / memoryStep) {
		p.exchange()
		for _, e := range p.engines {
			p.stepEngine(e)
		}
		for range p.arrivals(shorts) {
			p.arrive(shortJob())
		}
		for range p.arrivals(longs) {
			p.arrive(longJob(fmt.Sprint("chain", p.rnd.Intn(p.chains))))
		}
		p.now = p.now.Add(memoryStep)
	}
}

// arrivals draws the number of arrivals in a step for a rate per second.
func (p *memorySimulation) arrivals(perSecond float64) (n int) {
	for t := p.rnd.ExpFloat64(); t < perSecond*memoryStep.Seconds(); t += p.rnd.ExpFloat64() {
		n++
	}
	return n
}

func (p *memorySimulation) arrive(j *Job) {
	j.Permits = only("west")
	h := p.hosts[p.rnd.Intn(p.running)]
	c := h.Choose(j, p.now)
	p.sent++
	if c.Server == nil {
		p.refused++
		return
	}
	h.Started(&c, p.now)
	e := p.engineOf(c.Server)
	e.backlogMS += c.UncoveredTokens / 38
	first := p.now.Add(time.Duration(e.backlogMS * float64(time.Millisecond)))
	e.requests = append(e.requests, &memoryRequest{h, c, first, first.Add(p.hold)})
	p.check(e)
}

func (p *memorySimulation) engineOf(s *Server) *memoryEngine {
	var i int
	_, _ = fmt.Sscanf(s.ID, "s%d", &i)
	return p.engines[i]
}

// held returns the tokens that the engine's requests hold, shared parts once.
func (e *memoryEngine) held() float64 {
	sum, seen := 0.0, map[string]bool{}
	for _, q := range e.requests {
		j := q.choice.job
		sum += j.PromptTokens - float64(sharedTokens(j.Parts)) + j.OutputTokens
		for _, part := range j.Parts[:len(j.Parts)-1] {
			if !seen[part.ID] {
				sum += float64(part.Tokens)
			}
			seen[part.ID] = true
		}
	}
	return sum
}

// check crashes the engine if it holds more than its memory.
func (p *memorySimulation) check(e *memoryEngine) {
	p.peak = max(p.peak, e.held()/memoryCapacity)
	if e.held() <= memoryCapacity {
		return
	}
	p.crashes++
	p.restart(e)
}

// restart ends the engine's process and its requests, and starts another one.
func (p *memorySimulation) restart(e *memoryEngine) {
	for _, q := range e.requests {
		q.host.Ended(&q.choice, ConnectionFailed, 0, p.now)
	}
	e.requests, e.backlogMS = nil, 0
	e.start++
}

func (p *memorySimulation) stepEngine(e *memoryEngine) {
	e.backlogMS = max(0, e.backlogMS-float64(memoryStep.Milliseconds()))
	kept := e.requests[:0]
	for _, q := range e.requests {
		if !p.now.Before(q.end) {
			q.host.Ended(&q.choice, Served, q.first.Sub(q.choice.startedAt), p.now)
			continue
		}
		if !q.choice.firstByteSeen && !p.now.Before(q.first) {
			q.host.FirstByte(&q.choice, q.first.Sub(q.choice.startedAt))
			q.host.Progress(&q.choice, p.now)
			q.host.RecordReportedRequests(&q.choice, len(e.requests), p.now)
		}
		kept = append(kept, q)
	}
	e.requests = kept
}

// TestLongPromptsAtTwiceTheRate guards against engines that crash because hosts that act on figures 0.35 s old send
// them more than their memory, though others have room, and against requests that are refused for it.
func TestLongPromptsAtTwiceTheRate(t *testing.T) {
	t.Parallel()
	const usual = 16.0 // long prompts per second
	crashesWithout := 0
	for seed := range int64(seedsPerLoad) {
		with, without := newMemorySimulation(seed, 12, 12, 0), newMemorySimulation(seed, 12, 12, MemoryRoom)
		for _, p := range []*memorySimulation{with, without} {
			p.run(4*time.Second, 30, usual)
			p.run(16*time.Second, 30, 2*usual)
			t.Logf("seed %d: %d sent, %d refused, %d engines crashed, at most %.2f of an engine's memory used", seed, p.sent, p.refused, p.crashes, p.peak)
		}
		if with.crashes > 0 || with.refused > 0 {
			t.Errorf("seed %d: %d engines crashed, %d requests refused", seed, with.crashes, with.refused)
		}
		crashesWithout += without.crashes
	}
	if crashesWithout == 0 {
		t.Error("no engine crashes without the mechanism, so the effect was not tested")
	}
}

// TestMemoryUnderFaults guards against engines that crash by memory, and requests that are refused, when hosts choose on
// wrong figures: those of a lost host are missing though its requests run on, no figures arrive, or an engine was
// restarted under its ID.
func TestMemoryUnderFaults(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(p *memorySimulation){
		"host lost":        func(p *memorySimulation) { p.running -= 2 },
		"figures stopped":  func(p *memorySimulation) { p.stopped = true },
		"engine restarted": func(p *memorySimulation) { p.restart(p.engines[3]) },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(seedsPerLoad) {
				p := newMemorySimulation(seed, 12, 12, 0)
				p.run(8*time.Second, 30, 36)
				fault(p)
				p.run(time.Second, 30, 36)
				p.stopped = false
				p.run(5*time.Second, 30, 36)
				t.Logf("seed %d: %d sent, %d refused, %d engines crashed, at most %.2f of an engine's memory used", seed, p.sent, p.refused, p.crashes, p.peak)
				if p.crashes > 0 || p.refused > 0 {
					t.Errorf("seed %d: %d engines crashed, %d requests refused", seed, p.crashes, p.refused)
				}
			}
		})
	}
}
