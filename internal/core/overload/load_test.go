package overload

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The played load: hosts that act on figures 0.35 s old send to engines with 16 slots and a bounded queue, which admit
// by urgency and then by arrival. Times are virtual.
const (
	playSlots, playQueue, playEngines = 16, 33, 40
	playAge                           = 350 * time.Millisecond
	playStep                          = 50 * time.Millisecond // of the figures
	burstStart, burstEnd, playEnd     = 8 * time.Second, 18 * time.Second, 28 * time.Second
)

var (
	playDeadline = []time.Duration{4 * time.Second, 12 * time.Second}
	playTarget   = []time.Duration{800 * time.Millisecond, 3 * time.Second}
	playSlot     = []time.Duration{350 * time.Millisecond, 1350 * time.Millisecond}
)

type scenario struct {
	name          string
	usual, burst  float64 // demand as a part of the slots
	hot           float64 // factor of team 0 in the burst; 0 means 1
	lost          int     // engines lost in the burst
	cutHosts      int     // one host of so many gets no figures from 1 s after the start of the burst to its end; 0 for none
	repeatsAtOnce bool    // callers repeat at once three times, then as told
	slotError     float64 // factor of the estimated slot time; 0 means 1
	kept          float64 // least part of reservations that are served
	hosts         int
	admission     bool
}

type playRequest struct {
	class, team, host, tries int
	first, sent              time.Duration
	reservedBefore           bool
}

type playEngine struct {
	running int
	lost    bool
	queue   []*playRequest
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// figures is what hosts know of the region, after playAge.
type figures struct {
	loads             []int
	slots, requests   float64
	arrivals, returns [2]float64 // per second
}

type play struct {
	scenario
	r       *rand.Rand
	now     time.Duration
	seq     int
	events  events
	engines []*playEngine
	hosts   []*Controller
	past    []figures
	rates   [2][2]float64 // decaying counts by class of arrivals and returns
	result  result
	// delay returns how long a host takes until it handles a request or a view; nil for no time.
	delay func(host int) time.Duration
	// revokedAt is the time from which hosts refuse the key of team 0 before they decide; 0 for never.
	revokedAt time.Duration
	// decided is called with each decision; nil for none.
	decided func(x *playRequest, admitted bool)
}

// result counts callers.
type result struct {
	first, served, inTime    [2][40]int // by class and second: first attempts, those of them answered in time, answers in time
	full                     int        // rejections by engines
	reserved, reservedServed int
	returned, returnedServed int
	fair, fairRejected       int // requests of the teams but team 0, from 2 s after the start of the burst
	early                    int // rejections before the burst
}

func (p *play) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, event{p.now + d, p.seq, do})
}

func newPlay(s scenario) *play {
	p := &play{scenario: s, r: rand.New(rand.NewPCG(7, uint64(s.hosts)))}
	for range playEngines {
		p.engines = append(p.engines, &playEngine{})
	}
	for range s.hosts {
		p.hosts = append(p.hosts, New(Options{Random: p.r.Float64, Hosts: func() int { return s.hosts }}))
	}
	return p
}

func (p *play) run() result {
	p.after(0, p.observe)
	for class := range 2 {
		p.after(0, func() { p.arrive(class) })
	}
	for i := range p.hosts {
		p.after(time.Duration(p.r.Float64()*2.5e8), func() { p.update(i) })
	}
	p.after(burstStart+time.Second, func() {
		for _, e := range p.engines[:p.lost] {
			e.lost, e.queue = true, nil
		}
	})
	for p.now < playEnd {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	return p.result
}

func (p *play) inBurst() bool { return p.now >= burstStart && p.now < burstEnd }

// arrive starts a caller's request and the next one of the class. Each class has half of the demand.
func (p *play) arrive(class int) {
	demand := p.usual
	if p.inBurst() {
		demand = p.burst
	}
	rate := demand / 2 * playEngines * playSlots / playSlot[class].Seconds()
	p.after(time.Duration(p.r.ExpFloat64()/rate*1e9), func() { p.arrive(class) })
	x := &playRequest{class: class, team: 1 + p.r.IntN(15), first: p.now}
	if p.r.Float64() < p.hotShare() {
		x.team = 0
	}
	p.result.first[class][p.now/time.Second]++
	p.attempt(x)
}

// hotShare returns the part of team 0 of all requests.
func (p *play) hotShare() float64 {
	factor := 1.0
	if p.hot > 0 && p.inBurst() {
		factor = p.hot
	}
	return factor / (15 + factor)
}

// attempt sends a request to a random host, which admits it or not.
func (p *play) attempt(x *playRequest) {
	x.host = p.r.IntN(len(p.hosts))
	waited := p.now - x.first
	if waited >= MinRetryAfter {
		p.result.returned++
	}
	if d := p.delayOf(x.host); d > 0 {
		p.after(d, func() { p.decide(x, waited) })
		return
	}
	p.decide(x, waited)
}

func (p *play) delayOf(host int) time.Duration {
	if p.delay == nil {
		return 0
	}
	return p.delay(host)
}

// decide lets the host of a request decide on it, unless its key is revoked.
func (p *play) decide(x *playRequest, waited time.Duration) {
	if x.team == 0 && p.revokedAt > 0 && p.now >= p.revokedAt {
		return
	}
	returned := 0
	if waited >= MinRetryAfter {
		returned = 1
	}
	p.rates[returned][x.class]++
	remaining := playDeadline[x.class] - (p.now - x.first)
	if p.admission {
		d := p.hosts[x.host].Decide(Request{Class: x.class, Team: fmt.Sprint(x.team), Weight: 1, Waited: waited, Remaining: remaining}, start.Add(p.now))
		p.countFair(x, d.Admit)
		if p.decided != nil {
			p.decided(x, d.Admit)
		}
		if !d.Admit {
			p.refuse(x, d.RetryAfter, d.Reason == ReasonReserved)
			return
		}
	}
	p.send(x)
}

func (p *play) countFair(x *playRequest, admitted bool) {
	if x.team == 0 || p.now < burstStart+2*time.Second || !p.inBurst() {
		return
	}
	p.result.fair++
	if !admitted {
		p.result.fairRejected++
	}
}

// refuse lets the caller come back as it does.
func (p *play) refuse(x *playRequest, after time.Duration, place bool) {
	if x.tries++; p.now < burstStart {
		p.result.early++
	}
	switch {
	case p.repeatsAtOnce && x.tries <= 3:
		p.after(20*time.Millisecond, func() { p.attempt(x) })
	case after > 0 && p.now-x.first < MinRetryAfter:
		if place {
			x.reservedBefore = true
			p.result.reserved++
		}
		p.after(after, func() { p.attempt(x) })
	}
}

// send tries the less loaded of two random engines, and another two once.
func (p *play) send(x *playRequest) {
	x.sent = p.now
	loads := p.known().loads
	for range 2 {
		a, b := p.r.IntN(playEngines), p.r.IntN(playEngines)
		if loads[b] < loads[a] {
			a = b
		}
		if e := p.engines[a]; !e.lost && len(e.queue) < playQueue {
			e.queue = append(e.queue, x)
			p.start(e)
			return
		}
		p.result.full++
		p.hosts[x.host].Refused(x.class, start.Add(p.now))
	}
	p.refuse(x, MinRetryAfter, false)
}

// start gives free slots to the most urgent requests; of a class to the first.
func (p *play) start(e *playEngine) {
	for e.running < playSlots && len(e.queue) > 0 {
		best := 0
		for i, x := range e.queue {
			if x.class < e.queue[best].class {
				best = i
			}
		}
		x := e.queue[best]
		e.queue = slices.Delete(e.queue, best, best+1)
		if p.now-x.first >= playDeadline[x.class] {
			continue
		}
		e.running++
		onTime := p.now-x.sent <= playTarget[x.class]
		p.after(time.Duration(float64(playSlot[x.class])*(0.7+0.6*p.r.Float64())), func() { p.finish(e, x, onTime) })
	}
}

func (p *play) finish(e *playEngine, x *playRequest, onTime bool) {
	e.running--
	if e.lost {
		return
	}
	p.hosts[x.host].Served(x.class, start.Add(p.now))
	if onTime && p.now-x.first <= playDeadline[x.class] {
		p.result.inTime[x.class][p.now/time.Second]++
		p.result.served[x.class][x.first/time.Second]++
		if x.reservedBefore {
			p.result.reservedServed++
		}
		if x.sent-x.first >= MinRetryAfter {
			p.result.returnedServed++
		}
	}
	p.start(e)
}

// observe records the figures; rates are means over about 0.5 s.
func (p *play) observe() {
	f := figures{loads: make([]int, playEngines)}
	for i, e := range p.engines {
		if f.loads[i] = e.running + len(e.queue); e.lost {
			f.loads[i] = 1000
			continue
		}
		f.slots += playSlots
		f.requests += float64(f.loads[i])
	}
	for class := range 2 {
		f.arrivals[class], f.returns[class] = p.rates[0][class]/0.5, p.rates[1][class]/0.5
		p.rates[0][class] *= 0.9
		p.rates[1][class] *= 0.9
	}
	p.past = append(p.past, f)
	p.after(playStep, p.observe)
}

// known returns the figures of playAge ago.
func (p *play) known() figures { return p.past[max(0, len(p.past)-1-int(playAge/playStep))] }

// cut reports whether a host gets no figures now.
func (p *play) cut(i int) bool {
	return p.cutHosts > 0 && i%p.cutHosts == 0 && p.now >= burstStart+time.Second && p.inBurst()
}

func (p *play) update(i int) {
	f := p.known()
	classes := make([]Class, 2)
	for k := range classes {
		slotTime := time.Duration(float64(playSlot[k]) * cmp.Or(p.slotError, 1))
		classes[k] = Class{2 * k, playTarget[k], f.arrivals[k], f.returns[k], slotTime}
	}
	if f.slots > 0 && !p.cut(i) {
		p.hosts[i].Update(classes, Room{Slots: f.slots, Requests: f.requests}, start.Add(p.now))
	}
	p.after(250*time.Millisecond+p.delayOf(i), func() { p.update(i) })
}

// sum adds up the seconds [from, to) of some classes.
func sum(from, to time.Duration, classes ...[40]int) float64 {
	n := 0
	for _, c := range classes {
		for _, x := range c[from/time.Second : to/time.Second] {
			n += x
		}
	}
	return float64(n)
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

// Guards against a region whose answers in time fall in an overload and do not recover, against broken reservations,
// against a less urgent class that is served more often, and against teams that pay for another one's requests.
func TestPlayedOverload(t *testing.T) {
	for _, s := range []scenario{
		{name: "burst", usual: 0.7, burst: 2.6, kept: 0.9},
		{name: "servers lost", usual: 0.7, burst: 2.6, lost: 10, kept: 0.9},
		{name: "hot team", usual: 0.75, burst: 1.08, hot: 8, kept: 0.9},
		// Callers that repeat at once reserve several places each and use one.
		{name: "repeats at once", usual: 0.7, burst: 2.6, repeatsAtOnce: true, kept: 0.7},
		{name: "slot time long", usual: 0.7, burst: 2.6, slotError: 1.4, kept: 0.9},
		{name: "slot time short", usual: 0.7, burst: 2.6, slotError: 0.7, kept: 0.9},
	} {
		for _, s.hosts = range []int{4, 80, 300} {
			if s.slotError != 0 && s.hosts != 80 {
				continue
			}
			if s.lost > 0 && s.hosts == 300 {
				continue // TestPlayedOverloadWithServersLostAt300Hosts
			}
			t.Run(fmt.Sprintf("%s/%d", s.name, s.hosts), s.compare)
		}
	}
}

// TestPlayedOverloadWithServersLostAt300Hosts is the row of TestPlayedOverload with lost servers and 300 hosts.
func TestPlayedOverloadWithServersLostAt300Hosts(t *testing.T) {
	scenario{name: "servers lost", usual: 0.7, burst: 2.6, lost: 10, kept: 0.9, hosts: 300}.compare(t)
}

// TestOverloadWithHostsCutOff guards against hosts without figures that take the room of reservations which other hosts
// made.
func TestOverloadWithHostsCutOff(t *testing.T) {
	for _, hosts := range []int{80, 300} {
		t.Run(fmt.Sprint(hosts), withHostsCutOff(hosts).compare)
	}
}

// TestOverloadWithOneOfFourHostsCutOff guards against the same with few hosts.
func TestOverloadWithOneOfFourHostsCutOff(t *testing.T) { withHostsCutOff(4).compare(t) }

func withHostsCutOff(hosts int) scenario {
	return scenario{name: "a quarter of the hosts cut off", usual: 0.7, burst: 2.6, cutHosts: 4, hosts: hosts, kept: 0.9}
}

// compare plays a load without and with admission, and checks the latter.
func (s scenario) compare(t *testing.T) {
	without := s.play(t)
	s.admission = true
	s.check(t, s.play(t), without)
}

// servedPart returns the part of a class's requests of the seconds [from, to) that were answered in time.
func (r result) servedPart(class int, from, to time.Duration) float64 {
	return sum(from, to, r.served[class]) / sum(from, to, r.first[class])
}

func (s scenario) play(t *testing.T) result {
	r := newPlay(s).run()
	recovered := burstEnd + 2*time.Second
	t.Logf("%s, %d hosts, admission %v: in time per second %.0f before, %.0f in the burst, by second and class %v and %v; served in burst %.2f and %.2f, from 2 s after it %.2f and %.2f; rejected by engines %d; reservations kept %.3f of %d, all returns served %.3f of %d; fair teams rejected %.4f of %d",
		s.name, s.hosts, s.admission, sum(3*time.Second, burstStart, r.inTime[:]...)/5, sum(burstStart, burstEnd, r.inTime[:]...)/10, r.inTime[0][6:playEnd/time.Second], r.inTime[1][6:playEnd/time.Second], r.servedPart(0, burstStart, burstEnd),
		r.servedPart(1, burstStart, burstEnd), r.servedPart(0, recovered, recovered+4*time.Second), r.servedPart(1, recovered, recovered+4*time.Second),
		r.full, ratio(r.reservedServed, r.reserved), r.reserved, ratio(r.returnedServed, r.returned), r.returned, ratio(r.fairRejected, r.fair), r.fair)
	return r
}

// check compares a played load with the targets of docs/design/hard-load.md, or with what is reached of them.
func (s scenario) check(t *testing.T, r, without result) {
	usual, most := sum(3*time.Second, burstStart, r.inTime[:]...)/5, 0.0
	for from := 3 * time.Second; from < burstStart; from += time.Second {
		most = max(most, sum(from, from+time.Second, r.inTime[:]...))
	}
	if r.early > 0 {
		t.Errorf("%d requests rejected before the overload", r.early)
	}
	// An excess of 8% fits into the queues for 10 s, so that without admission slightly more is answered.
	if got := sum(burstStart, burstEnd, r.inTime[:]...) / 10; got < 0.9*most || got < 0.95*sum(burstStart, burstEnd, without.inTime[:]...)/10 {
		t.Errorf("%.0f in time per second in the burst, at most %.0f before", got, most)
	}
	from, to := burstEnd+2*time.Second, burstEnd+6*time.Second
	if got := sum(from, to, r.served[:]...) / sum(from, to, r.first[:]...); got < 0.9 {
		t.Errorf("%.2f served of the requests from 2 s after the burst on", got)
	}
	// A less urgent answer takes 1.35 s, and the retries of the urgent class come first until 1.33 s after the burst.
	for at := burstEnd + 4*time.Second; at < playEnd; at += time.Second {
		if got := sum(at, at+time.Second, r.inTime[:]...); got < 0.9*usual {
			t.Errorf("%.0f in time at %v, %.0f before", got, at, usual)
		}
	}
	// The plan is strict (TestProperties). Admitted requests may be late at a server by chance: at most 1 in 100 here.
	for from := burstStart; from < to; from += 2 * time.Second {
		if urgent, other := r.servedPart(0, from, from+2*time.Second), r.servedPart(1, from, from+2*time.Second); urgent < other-0.011 {
			t.Errorf("at %v %.3f of the urgent requests served, %.3f of the others", from, urgent, other)
		}
	}
	// Reservations are lost in the first 2 s of the burst, when more was admitted on old figures than there is room
	// for. With 300 hosts few are made later.
	if s.hosts == 300 {
		s.kept -= 0.05
	}
	if kept := ratio(r.reservedServed, r.reserved); kept < s.kept {
		t.Errorf("%.3f of the reservations kept", kept)
	}
	// The target of 1 in 200 is reached with 4 hosts. With more, a host sees too few requests to know the shares.
	most = 0.03
	if s.hosts == 4 {
		most = 0.005
	}
	if rejected := ratio(r.fairRejected, r.fair); s.hot > 0 && rejected > most {
		t.Errorf("%.4f of the requests of teams under their share rejected", rejected)
	}
}
