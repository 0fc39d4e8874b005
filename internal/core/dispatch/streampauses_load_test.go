package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// chunkEngine is a simulated engine that prefills one chunk between two steps of its batch.
type chunkEngine struct {
	id        string
	factor    float64
	slowUntil time.Time
	cached    map[string]bool
	queue     []*chunkRequest
	running   []*chunkRequest
	opMS      float64 // rest of the current step or chunk at factor 1
	chunkMS   float64 // prefill in the current chunk; 0 during a step
}

type chunkRequest struct {
	host      *Fleet
	choice    Choice
	chat      bool
	prefillMS float64
	sentAt    time.Time
	eventAt   time.Time
	first     time.Duration
	steps     int // until the next event
	events    int // left
	paused    bool
}

// chunkSimulation plays long prompts and chats at engines of unequal speed.
type chunkSimulation struct {
	*simulatedRegion
	engines                                    []*chunkEngine
	chats, pausedChats, longs, lateLongs, lost int
	firstMS                                    float64 // sum of the times to the first events of long prompts
}

const (
	chunkGap        = 400 * time.Millisecond
	chunkTokensMS   = 52.0
	chunkEventSteps = 7
)

// newChunkSimulation returns a simulation in which one engine of fastEvery is fast.
func newChunkSimulation(seed int64, hosts, fastEvery int, part bool) *chunkSimulation {
	p := &chunkSimulation{simulatedRegion: newSimulatedRegion(seed, hosts, 10, 100)}
	p.rnd = rand.New(rand.NewSource(seed))
	for i := range 10 {
		e := &chunkEngine{id: fmt.Sprintf("s%d", i), factor: 1.2, cached: map[string]bool{}}
		if i%fastEvery == 0 {
			e.factor = 0.55
		}
		p.engines = append(p.engines, e)
	}
	for _, h := range p.hosts {
		h.o.Random, h.o.PrefillRate, h.o.Off = p.rnd.Float64, chunkTokensMS, LearnedSpeeds // known speeds
		if part {
			estimates := map[string]float64{} // differ by 5% from host to host
			for _, e := range p.engines {
				estimates[e.id] = e.factor * (0.95 + 0.1*p.rnd.Float64())
			}
			h.streams.factors = func(s *Server) float64 { return estimates[s.ID] }
		}
	}
	return p
}

func (p *chunkSimulation) run(seconds int) {
	for i := range seconds * int(time.Second/simulationStep) {
		if i%25 == 0 {
			p.exchangeLoads()
		}
		for _, e := range p.engines {
			// A period of 0.6 s starts at random so that 15% of the time is slow.
			if p.now.After(e.slowUntil) && p.rnd.Float64() < simulationStep.Seconds()*0.15/0.85/0.6 {
				e.slowUntil = p.now.Add(600 * time.Millisecond)
			}
			p.advance(e)
		}
		for range p.arrivals(30) {
			p.send(p.longPrompt(), 6, false)
		}
		for range p.arrivals(45) {
			j := shortJob()
			j.GapTarget, j.Target = chunkGap, 1500*time.Millisecond
			p.send(j, 40, true)
		}
		p.now = p.now.Add(simulationStep)
	}
}

// longPrompt returns a prompt of 2,890 own tokens on the mean and at most 18,000.
func (p *chunkSimulation) longPrompt() *Job {
	j := longJob(fmt.Sprintf("chain%d", p.rnd.Intn(p.chains)))
	own := min(18_000, 400+int(p.rnd.ExpFloat64()*2500))
	j.Parts[2].Tokens, j.PromptTokens = own, float64(6300+own)
	j.GapTarget = chunkGap
	return j
}

func (p *chunkSimulation) send(j *Job, events int, chat bool) {
	h := p.hosts[p.rnd.Intn(len(p.hosts))]
	j.Permits = only("west")
	c := h.Choose(j, p.now)
	if c.Server == nil {
		p.lost++
		return
	}
	h.Started(&c, p.now)
	for _, e := range p.engines {
		if e.id != c.Server.ID {
			continue
		}
		tokens := 0
		for i, part := range j.Parts {
			if !e.cached[part.ID] {
				tokens += part.Tokens
				e.cached[part.ID] = i < len(j.Parts)-1
			}
		}
		e.queue = append(e.queue, &chunkRequest{host: h, choice: c, chat: chat, prefillMS: float64(tokens) / chunkTokensMS, sentAt: p.now, events: events})
	}
}

// advance runs an engine for a step of the simulation.
func (p *chunkSimulation) advance(e *chunkEngine) {
	factor := e.factor
	if p.now.Before(e.slowUntil) {
		factor *= 2.5
	}
	stepMS := float64(simulationStep) / float64(time.Millisecond)
	for left := stepMS / factor; left > 0 && len(e.queue)+len(e.running) > 0; {
		done := min(left, e.opMS)
		left, e.opMS = left-done, e.opMS-done
		if e.opMS <= 0 {
			p.finish(e, p.now.Add(time.Duration((stepMS-left*factor)*float64(time.Millisecond))))
		}
	}
}

// finish ends the engine's current step or chunk and begins the next one.
func (p *chunkSimulation) finish(e *chunkEngine, now time.Time) {
	if e.chunkMS > 0 {
		p.prefill(e, now)
	} else {
		p.decode(e, now)
	}
	pending := 0.0
	for _, r := range e.queue {
		pending += r.prefillMS
	}
	if e.chunkMS == 0 && pending > 0 {
		e.chunkMS = min(50, pending)
		e.opMS = e.chunkMS
		return
	}
	e.chunkMS, e.opMS = 0, stepMS(float64(len(e.running)))
}

func (p *chunkSimulation) prefill(e *chunkEngine, now time.Time) {
	for left := e.chunkMS; left > 0 && len(e.queue) > 0; {
		r := e.queue[0]
		done := min(left, r.prefillMS)
		left, r.prefillMS = left-done, r.prefillMS-done
		if r.prefillMS > 1e-9 {
			return
		}
		e.queue = e.queue[1:]
		r.steps = 1 // the first event is ready after one step
		e.running = append(e.running, r)
	}
}

func (p *chunkSimulation) decode(e *chunkEngine, now time.Time) {
	kept := e.running[:0]
	for _, r := range e.running {
		if r.steps--; r.steps <= 0 {
			p.event(r, now)
		}
		if r.events > 0 {
			kept = append(kept, r)
		}
	}
	e.running = kept
}

func (p *chunkSimulation) event(r *chunkRequest, now time.Time) {
	if r.eventAt.IsZero() {
		r.first = now.Sub(r.sentAt)
		r.host.FirstByte(&r.choice, r.first)
	} else {
		r.paused = r.paused || now.Sub(r.eventAt) > chunkGap
		r.host.RecordEventSpacing(&r.choice, now.Sub(r.eventAt), now)
	}
	r.host.Progress(&r.choice, now)
	r.eventAt, r.steps = now, chunkEventSteps
	if r.events--; r.events > 0 {
		return
	}
	r.host.Ended(&r.choice, Served, r.first, now)
	switch {
	case !r.chat:
		p.longs, p.firstMS = p.longs+1, p.firstMS+float64(r.first.Milliseconds())
		if r.first > time.Second {
			p.lateLongs++
		}
	default:
		p.chats++
		if r.paused {
			p.pausedChats++
		}
	}
}

// TestPausesAtUnequalEngines guards against long prompts that pause the chats at slow engines: without the
// gap target and the pool, prompts go to engines that pause all of their streams.
func TestPausesAtUnequalEngines(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		hosts, fastEvery int
		paused           float64 // share of the chats, at most
	}{{6, 4, 0.02}, {24, 4, 0.02}, {24, 10, 0.05}} {
		hosts := c.hosts
		var paused, late, firstMS [2]float64
		for i, part := range []bool{false, true} {
			chats, longs, lost := 0, 0, 0
			for seed := range int64(seedsPerLoad) {
				p := newChunkSimulation(seed, hosts, c.fastEvery, part)
				p.run(10) // until the chains are cached
				p.chats, p.pausedChats, p.longs, p.lateLongs, p.firstMS = 0, 0, 0, 0, 0
				p.run(30)
				chats, longs, lost = chats+p.chats, longs+p.longs, lost+p.lost
				paused[i], late[i], firstMS[i] = paused[i]+float64(p.pausedChats), late[i]+float64(p.lateLongs), firstMS[i]+p.firstMS
			}
			paused[i], late[i], firstMS[i] = paused[i]/float64(chats), late[i]/float64(longs), firstMS[i]/float64(longs)
			t.Logf("%d hosts, one of %d engines fast, part %v: %.4f of %d chats paused, %.4f of %d long prompts late, first event after %.0f ms, %d refused", hosts, c.fastEvery, part, paused[i], chats, late[i], longs, firstMS[i], lost)
			if lost > 0 {
				t.Errorf("%d hosts: %d requests refused", hosts, lost)
			}
		}
		if paused[1] > c.paused {
			t.Errorf("%d hosts: %.4f of the chats paused, at most %.2f", hosts, paused[1], c.paused)
		}
		if late[1] > late[0]+0.002 {
			t.Errorf("%d hosts: %.4f of the long prompts late, %.4f without the part", hosts, late[1], late[0])
		}
	}
}
