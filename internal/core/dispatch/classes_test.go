package dispatch

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/overload"
	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
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

// classFleet returns a fleet with one engine full of chats, and ten arrivals of chats for each urgent one.
func classFleet() *Fleet {
	f := busyFleet()
	for i := range 110 {
		f.RecordClassArrival("llm", min(1, i%11), 2, false, start)
	}
	return f
}

// TestUrgentRequestAtFullEngine guards against an estimate by which an urgent request waits behind chats that it
// overtakes, and against one of a late request that leaves out the chats that overtake it.
func TestUrgentRequestAtFullEngine(t *testing.T) {
	f := classFleet()
	slot := f.speedOf("llm").HoldMS() / 16
	plain, chat, urgent := f.Choose(shortJob(), start), f.Choose(classJob(1), start), f.Choose(classJob(0), start)
	free := newTestFleet(1).Choose(shortJob(), start).EstimateMS
	if wait := urgent.EstimateMS - free; urgent.Deferred || wait > 1.5*slot {
		t.Errorf("an urgent request waits for %.0f ms, deferred %t, want one slot's %.0f ms", wait, urgent.Deferred, slot)
	}
	if math.Abs(chat.EstimateMS-plain.EstimateMS) > 1 {
		t.Errorf("a chat is expected after %.0f ms, a request without a class after %.0f ms", chat.EstimateMS, plain.EstimateMS)
	}
	j := classJob(0)
	j.Target = time.Millisecond
	if late := f.Choose(j, start); !late.Deferred || late.EstimateMS < plain.EstimateMS {
		t.Errorf("a late urgent request is expected after %.0f ms, the others after %.0f ms", late.EstimateMS, plain.EstimateMS)
	}
}

// TestClassesOfOwnRequests guards against counts of this host's requests that do not return to 0, against slot times
// that include the wait for a slot, and against state of classes for a service that has none.
func TestClassesOfOwnRequests(t *testing.T) {
	for class, job := range []*Job{classJob(0), classJob(1), shortJob()} { // the last one has no class
		f := busyFleet()
		c := f.Choose(job, start)
		f.Started(&c, start)
		f.FirstByte(&c, 5*time.Second)
		during := slices.Clone(c.Server.ownByClass)
		f.Ended(&c, Served, 5*time.Second, start.Add(7*time.Second))
		if job.Classes == 0 {
			if len(f.arrivals)+len(f.classes)+len(during) > 0 {
				t.Errorf("arrivals %v, classes %v, own %v", f.arrivals, f.classes, during)
			}
			continue
		}
		if during[class] != 1 || c.Server.ownByClass[class] != 0 {
			t.Errorf("own requests %v, then %v", during, c.Server.ownByClass)
		}
		if at := f.ClassLoads("llm", true, 2, start)[class].SlotTime; at < 2*time.Second || at > 3*time.Second {
			t.Errorf("slot time %s of a request that ran for 2 s after 5 s", at)
		}
	}
}

// TestClassArrivalsOfOtherHosts guards against a host that knows only its own callers' requests.
func TestClassArrivalsOfOtherHosts(t *testing.T) {
	a, b, v := newTestFleet(1), newTestFleet(1), testView(1)
	a.RecordClassArrival("llm", 1, 2, true, start)
	b.ClassLoads("llm", true, 2, start) // b has had no request of the class
	v.Loads = serverload.Encode(a.Loads(start))
	b.ApplyView(v, FullScope, start)
	own, got := a.ClassLoads("llm", true, 2, start)[1], b.ClassLoads("llm", true, 2, start)[1]
	if own.ReturnsPerSecond <= 0 || math.Abs(got.ReturnsPerSecond-own.ReturnsPerSecond) > 0.01 || got.ArrivalsPerSecond != 0 {
		t.Errorf("one host has %+v, the other one knows %+v", own, got)
	}
}

// TestArrivalsOfOtherHostsStay guards against a class that counts as without requests once a minute at a host whose own
// callers send none.
func TestArrivalsOfOtherHostsStay(t *testing.T) {
	f, v := newTestFleet(1), testView(1)
	v.Loads = serverload.Encode(serverload.Loads{serverload.ServiceKey(classKey("llm", 0, false)): {Requests: 500}})
	for i := range 300 {
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		if got := f.ClassLoads("llm", true, 1, now)[0].ArrivalsPerSecond; i > 0 && got != 5 {
			t.Fatalf("%v arrivals per second after %s, want 5", got, now.Sub(start))
		}
		f.ApplyView(v, FullScope, now)
	}
}

// TestSlotTimeOfSlowServer guards against a slot time that leaves out a part of the prefill at a slow server.
func TestSlotTimeOfSlowServer(t *testing.T) {
	held := func(factor float64) time.Duration {
		f := newTestFleet(1)
		f.RecordWorkTime(&Choice{Server: f.servers["s0"]}, factor, start)
		j := classJob(0)
		j.Remaining = time.Minute
		c := f.Choose(j, start)
		f.Started(&c, start)
		f.FirstByte(&c, 5*time.Second)
		f.Ended(&c, Served, 5*time.Second, start.Add(5*time.Second))
		return f.ClassLoads("llm", true, 2, start)[0].SlotTime
	}
	if usual, slow := held(1), held(2); slow < usual*19/10 || slow > usual*21/10 {
		t.Errorf("slot times of a prefill %s, and %s at factor 2", usual, slow)
	}
}

// TestRoom guards against room at servers that must not be used, and in regions that cannot lend any.
func TestRoom(t *testing.T) {
	region := func(name string, requests uint32, ageMS uint64) *pb.RegionLoad {
		return &pb.RegionLoad{Region: name, Service: "llm", Servers: 2, Slots: 100, Requests: requests, AgeMs: ageMS}
	}
	all, own := func(string) bool { return true }, overload.Room{Slots: 32, Requests: 25}
	for name, c := range map[string]struct {
		regions []*pb.RegionLoad
		permits func(string) bool
		leaving bool
		want    overload.Room
	}{
		"own and lent":            {[]*pb.RegionLoad{region("east", 40, 0)}, all, false, overload.Room{Slots: 32, Requests: 25, Surplus: 50}},
		"two regions draw on one": {[]*pb.RegionLoad{region("east", 40, 0), region("north", 95, 0)}, all, false, overload.Room{Slots: 32, Requests: 25, Surplus: 25}},
		"old figures":             {[]*pb.RegionLoad{region("east", 40, 1300)}, all, false, own},
		"not permitted elsewhere": {[]*pb.RegionLoad{region("east", 40, 0)}, only("west"), false, own},
		"not permitted here":      {[]*pb.RegionLoad{region("east", 40, 0)}, only("east"), false, overload.Room{Surplus: 50}},
		"a leaving server":        {nil, all, true, overload.Room{Slots: 16, Requests: 4}},
	} {
		f, v := New(Options{Host: "h1", Region: "west", FailureDomain: "w1"}), testView(2)
		v.Regions, v.Servers[0].Slots, v.Servers[1].Slots, v.Servers[0].Leaving = c.regions, 16, 16, c.leaving
		v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: 18, Deferred: 3}, holders.Key("s1"): {Requests: 4}})
		f.ApplyView(v, FullScope, start)
		if got := f.Room("llm", true, c.permits, start); got != c.want {
			t.Errorf("%s: room %+v, want %+v", name, got, c.want)
		}
	}
}

// TestSurplusOfAClass guards against urgent requests that are rejected while other regions run less urgent ones.
func TestSurplusOfAClass(t *testing.T) {
	f, v := New(Options{Host: "h1", Region: "west", FailureDomain: "w1"}), testView(1)
	v.Regions = []*pb.RegionLoad{{Region: "east", Service: "llm", Servers: 2, Slots: 100, Requests: 100}}
	f.ApplyView(v, FullScope, start)
	loads := []ClassLoad{{ArrivalsPerSecond: 10, SlotTime: time.Second}, {ReturnsPerSecond: 15, SlotTime: 2 * time.Second}}
	for i, want := range []float64{65, 0} {
		if got := f.Surplus("llm", true, WorkParts(loads)[i], func(string) bool { return true }, start); math.Abs(got-want) > 1e-9 {
			t.Errorf("class %d may use %v slots of the other region, want %v", i, got, want)
		}
	}
}

// TestRoomOfSlowLimitedServer guards against room that a limited server is said to lack because its requests hold their
// slots for longer than the usual one's.
func TestRoomOfSlowLimitedServer(t *testing.T) {
	slots := func(factor float64) float64 {
		f := newTestFleet(1)
		c := &Choice{Server: f.servers["s0"]}
		f.RecordWorkTime(c, factor, start)
		f.RecordLimit(c, serverlimit.Advertisement{PerSecond: 1, Named: true}, true, start)
		return f.Room("llm", true, only("west"), start).Slots
	}
	if usual, slow := slots(1), slots(2); usual <= 0 || math.Abs(slow-2*usual) > 1e-9 {
		t.Errorf("%v usable slots, and %v at factor 2", usual, slow)
	}
}

// TestUrgentRequestsWhileChatsFillTheEngines sends engines 1.3 times the chats that they can run, and urgent requests
// for a twentieth of their slots. It guards against estimates by which urgent requests are sent as late ones.
func TestUrgentRequestsWhileChatsFillTheEngines(t *testing.T) {
	p := newSlotSimulation(1, 4, map[string]int{"west": 4})
	r, deferred, n, estimates := p.regions[0], 0, 0.0, 0.0
	arrive := func(class int) {
		h := r.hosts[p.rnd.Intn(len(r.hosts))]
		h.RecordClassArrival("llm", class, 2, false, p.now)
		c := h.Choose(classJob(class), p.now)
		if c.Refused != "" {
			return
		}
		h.Started(&c, p.now)
		e, at := r.engines[c.Server.ID], 0
		for at < len(e.queue) && (e.queue[at].started || e.queue[at].choice.job.Class <= class) {
			at++
		}
		e.queue = slices.Insert(e.queue, at, &slotRequest{host: h, choice: c, arrived: p.now, deferred: c.Deferred})
		if class == 0 {
			n, estimates = n+1, estimates+c.EstimateMS
		}
		if class == 0 && c.Deferred {
			deferred++
		}
	}
	for i := range int(20 * time.Second / simulationStep) {
		if i%25 == 0 {
			p.exchangeLoads()
		}
		for _, id := range slices.Sorted(maps.Keys(r.engines)) {
			p.stepEngine(r, r.engines[id])
		}
		for class, part := range []float64{0.05, 1.3} {
			if p.rnd.Float64() < part*capacity(4)*simulationStep.Seconds() {
				arrive(class)
			}
		}
		p.now = p.now.Add(simulationStep)
	}
	t.Logf("%.0f urgent requests, %d deferred, mean estimate %.0f ms; of all %v", n, deferred, estimates/n, p.tally)
	if n == 0 || deferred > 0 || p.tally["late"] == 0 {
		t.Errorf("of %.0f urgent requests %d were sent as late, of all requests %v", n, deferred, p.tally)
	}
}
