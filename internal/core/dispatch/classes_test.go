package dispatch

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/overload"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// classJob returns a short job of a class of two, with the latency target of the class.
func classJob(class int) *Job {
	j := shortJob()
	j.Class, j.Classes = class, 2
	j.Target = []time.Duration{800 * time.Millisecond, 3 * time.Second}[class]
	return j
}

// classFleet returns a fleet with one engine that is full of chats, and a region in which ten chats arrive for each
// urgent request.
func classFleet() *Fleet {
	f := busyFleet()
	for i := range 110 {
		f.RecordClassArrival("llm", min(1, i%11), 2, false, start)
	}
	return f
}

// TestUrgentRequestAtFullEngine guards against an estimate by which an urgent request waits behind chats that it
// overtakes, so that it is sent as late or to another region.
func TestUrgentRequestAtFullEngine(t *testing.T) {
	f := classFleet()
	hold := f.speedOf("llm").HoldMS()
	plain, chat, urgent := f.Choose(shortJob(), start), f.Choose(classJob(1), start), f.Choose(classJob(0), start)
	free := newTestFleet(1).Choose(shortJob(), start).EstimateMS
	if wait := urgent.EstimateMS - free; urgent.Deferred || wait > 1.5*hold/16 {
		t.Errorf("an urgent request waits for %.0f ms, deferred %t, want one slot's %.0f ms", wait, urgent.Deferred, hold/16)
	}
	if math.Abs(chat.EstimateMS-plain.EstimateMS) > 1 {
		t.Errorf("a chat is expected after %.0f ms, a request without a class after %.0f ms", chat.EstimateMS, plain.EstimateMS)
	}
	j := classJob(0)
	j.Target = time.Millisecond
	if late := f.Choose(j, start); !late.Deferred || late.EstimateMS < plain.EstimateMS {
		t.Errorf("a late urgent request is expected after %.0f ms, but waits behind all others for %.0f ms", late.EstimateMS, plain.EstimateMS)
	}
}

// TestClassesOfOwnRequests guards against counts of this host's requests that do not return to 0, and against slot
// times that include the wait for a slot.
func TestClassesOfOwnRequests(t *testing.T) {
	f := classFleet()
	for _, class := range []int{0, 1} { // the second one is deferred
		c := f.Choose(classJob(class), start)
		f.Started(&c, start)
		f.FirstByte(&c, 5*time.Second)
		if n := c.Server.ownByClass[class]; n != 1 {
			t.Errorf("%d requests of class %d", n, class)
		}
		f.Ended(&c, Served, 5*time.Second, start.Add(7*time.Second))
		if n := c.Server.ownByClass[class]; n != 0 {
			t.Errorf("%d requests of class %d after the end", n, class)
		}
		if at := f.ClassLoads("llm", true, 2, start)[class].SlotTime; at < 2*time.Second || at > 3*time.Second {
			t.Errorf("slot time %s of a request that ran for 2 s after 5 s", at)
		}
	}
}

// TestServiceWithoutClasses guards against a cost of classes where there are none.
func TestServiceWithoutClasses(t *testing.T) {
	f := busyFleet()
	c := f.Choose(shortJob(), start)
	f.Started(&c, start)
	f.FirstByte(&c, time.Second)
	f.Ended(&c, Served, time.Second, start.Add(2*time.Second))
	if len(f.arrivals) > 0 || len(f.classes) > 0 || c.Server.ownByClass != nil {
		t.Errorf("arrivals %v, classes %v, own %v", f.arrivals, f.classes, c.Server.ownByClass)
	}
}

// TestClassArrivalsOfOtherHosts guards against a host that counts only its own callers' requests.
func TestClassArrivalsOfOtherHosts(t *testing.T) {
	a, b := newTestFleet(1), newTestFleet(1)
	a.RecordClassArrival("llm", 1, 2, true, start)
	b.ClassLoads("llm", true, 2, start) // b has had no request of the class
	v := testView(1)
	v.Loads = serverload.Encode(a.Loads(start))
	b.ApplyView(v, FullScope, start)
	own, got := a.ClassLoads("llm", true, 2, start)[1], b.ClassLoads("llm", true, 2, start)[1]
	if own.ReturnsPerSecond <= 0 || math.Abs(got.ReturnsPerSecond-own.ReturnsPerSecond) > 0.01 || got.ArrivalsPerSecond != 0 {
		t.Errorf("one host has %+v, the other one knows %+v", own, got)
	}
}

// TestRoom guards against room at servers that must not be used, and in regions that cannot lend any.
func TestRoom(t *testing.T) {
	region := func(name string, slots, requests uint32, ageMS uint64) *pb.RegionLoad {
		return &pb.RegionLoad{Region: name, Service: "llm", Servers: 2, Slots: slots, Requests: requests, AgeMs: ageMS}
	}
	for _, c := range []struct {
		name    string
		regions []*pb.RegionLoad
		permits func(string) bool
		edit    func(*pb.FleetView)
		want    overload.Room
	}{
		{"own and lent", []*pb.RegionLoad{region("east", 100, 40, 0)}, everywhere, nil, overload.Room{Slots: 32, Requests: 25, Surplus: 50}},
		{"two regions draw on one", []*pb.RegionLoad{region("east", 100, 40, 0), region("north", 100, 95, 0)}, everywhere, nil, overload.Room{Slots: 32, Requests: 25, Surplus: 25}},
		{"old figures", []*pb.RegionLoad{region("east", 100, 40, 1300)}, everywhere, nil, overload.Room{Slots: 32, Requests: 25}},
		{"not permitted elsewhere", []*pb.RegionLoad{region("east", 100, 40, 0)}, only("west"), nil, overload.Room{Slots: 32, Requests: 25}},
		{"not permitted here", []*pb.RegionLoad{region("east", 100, 40, 0)}, only("east"), nil, overload.Room{Surplus: 50}},
		{"a leaving server", nil, everywhere, func(v *pb.FleetView) { v.Servers[0].Leaving = true }, overload.Room{Slots: 16, Requests: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, v := New(Options{Host: "h1", Region: "west", FailureDomain: "w1"}), testView(2)
			v.Regions, v.Servers[0].Slots, v.Servers[1].Slots = c.regions, 16, 16
			v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: 18, Deferred: 3}, holders.Key("s1"): {Requests: 4}})
			if c.edit != nil {
				c.edit(v)
			}
			f.ApplyView(v, FullScope, start)
			if got := f.Room("llm", true, c.permits, start); got != c.want {
				t.Errorf("room %+v, want %+v", got, c.want)
			}
		})
	}
}

func everywhere(string) bool { return true }

// urgencyRank returns a request's place in the order of an engine's queue.
func urgencyRank(q *slotRequest) int {
	if q.deferred {
		return 2 + q.choice.job.Class
	}
	return q.choice.job.Class
}

// TestUrgentRequestsWhileChatsFillTheEngines sends engines 1.3 times the chats that they can run, and urgent requests
// for a twentieth of their slots. It guards against estimates by which urgent requests are sent as late ones.
func TestUrgentRequestsWhileChatsFillTheEngines(t *testing.T) {
	p := newSlotSimulation(1, 4, map[string]int{"west": 4})
	r := p.regions[0]
	var urgent []*slotRequest
	var estimates, waits float64
	arrive := func(class int) {
		h, j := r.hosts[p.rnd.Intn(len(r.hosts))], classJob(class)
		h.RecordClassArrival("llm", class, 2, false, p.now)
		c := h.Choose(j, p.now)
		if c.Refused != "" {
			return
		}
		h.Started(&c, p.now)
		q := &slotRequest{host: h, choice: c, arrived: p.now, deferred: c.Deferred}
		e := r.engines[c.Server.ID]
		at := slices.IndexFunc(e.queue, func(o *slotRequest) bool { return !o.started && urgencyRank(o) > urgencyRank(q) })
		if at < 0 {
			at = len(e.queue)
		}
		e.queue = slices.Insert(e.queue, at, q)
		if class == 0 && p.now.Sub(start) > 5*time.Second {
			urgent, estimates = append(urgent, q), estimates+c.EstimateMS
		}
	}
	for i := range int(20 * time.Second / simulationStep) {
		if i%25 == 0 {
			p.exchangeLoads()
		}
		for _, e := range r.engines {
			p.stepEngine(r, e)
		}
		for class, part := range []float64{0.05, 1.3} {
			if p.rnd.Float64() < part*capacity(4)*simulationStep.Seconds() {
				arrive(class)
			}
		}
		p.now = p.now.Add(simulationStep)
	}
	deferred := 0
	for _, q := range urgent {
		waits += float64((q.end.Sub(q.arrived) - slotHold).Milliseconds())
		if q.deferred {
			deferred++
		}
	}
	n := float64(len(urgent))
	t.Logf("%.0f urgent requests, %d deferred, mean estimate %.0f ms, mean wait for a slot %.0f ms", n, deferred, estimates/n, waits/n)
	if n == 0 || deferred > 0 || waits/n > 800 {
		t.Errorf("of %.0f urgent requests %d were sent as late; they waited for %.0f ms", n, deferred, waits/n)
	}
}
