package dispatch

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/core/serverspeed"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// factorWithTwoFast returns the factor of a server of a region in which s1 and s4 are fast.
func factorWithTwoFast(s *Server) float64 {
	if s.ID == "s1" || s.ID == "s4" {
		return 0.55
	}
	return 1.2
}

// poolFleet returns a fleet of six engines of which s1 and s4 are fast.
func poolFleet() *Fleet {
	f := newTestFleet(6)
	f.streams.factors = factorWithTwoFast
	return f
}

func poolIDs(f *Fleet, now time.Time) []string {
	var ids []string
	for _, s := range f.poolOf(longJob("a"), now) {
		ids = append(ids, s.ID)
	}
	return ids
}

// settledPool returns a fleet whose pool has shrunk to its two fast engines.
func settledPool(t *testing.T) (*Fleet, time.Time) {
	f, now := poolFleet(), start
	for range 90 {
		now = now.Add(time.Second)
		f.poolOf(longJob("a"), now)
	}
	if ids := poolIDs(f, now); len(ids) != 2 || !slices.Contains(ids, "s1") || !slices.Contains(ids, "s4") {
		t.Fatalf("pool %v, want the fast engines", ids)
	}
	f.ApplyView(testView(6), FullScope, now)
	return f, now
}

// TestRoomOfLostServers guards against room at servers whose announcements have expired, or that refuse connections.
func TestRoomOfLostServers(t *testing.T) {
	f, v := newTestFleet(3), testView(3)
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: 100}, holders.Key("s1"): {Requests: 100}, holders.Key("s2"): {Requests: 100}})
	v.Servers[0].AgeMs = uint64((f.announcementTTL() + time.Second).Milliseconds())
	now := start.Add(20 * time.Second)
	f.ApplyView(v, FullScope, now)
	f.servers["s1"].health.recordConnectionFailure(now)
	if r := f.Room("llm", true, only("west"), now); r.Slots != 128 || r.Requests != 100 {
		t.Errorf("room %+v, want that of one server", r)
	}
}

// TestRoomWhileControlHostsAreApart guards against a host that counts only the requests of its side of a partition,
// though servers report more.
func TestRoomWhileControlHostsAreApart(t *testing.T) {
	f, v := newTestFleet(1), testView(1)
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: 50}})
	f.ApplyView(v, FullScope, start)
	for range 50 {
		f.RecordReportedRequests(&Choice{Server: f.servers["s0"]}, 100, start)
	}
	if r := f.Room("llm", true, only("west"), start); r.Requests < 95 || r.Requests > 100 {
		t.Errorf("%.1f requests, want about the 100 that the server reports", r.Requests)
	}
}

// TestPoolWhileControlHostsAreApart guards against a pool for the prefill of one side of a partition, though servers
// report more requests than that side has.
func TestPoolWhileControlHostsAreApart(t *testing.T) {
	f, now := settledPool(t)
	v := testView(6)
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s1"): {Requests: 10, PrefillMS: 800}, holders.Key("s4"): {Requests: 10, PrefillMS: 800}})
	sizes := []int{}
	for _, reported := range []int{10, 40} {
		for range 40 {
			now = now.Add(poolInterval)
			f.ApplyView(v, FullScope, now)
			f.RecordReportedRequests(&Choice{Server: f.servers["s1"]}, reported, now)
			f.poolOf(longJob("a"), now)
		}
		sizes = append(sizes, len(poolIDs(f, now)))
	}
	if sizes[0] != 2 || sizes[1] <= 2 {
		t.Errorf("pools of %v engines, want 2 and then more", sizes)
	}
}

// TestArrivalsOfALostHost guards against arrivals of a class at a host that is missing in the loads.
func TestArrivalsOfALostHost(t *testing.T) {
	f, v := newTestFleet(1), testView(1)
	v.Loads = serverload.Encode(serverload.Loads{serverload.ServiceKey(classKey("llm", 0, false)): {Requests: 500}})
	f.ClassLoads("llm", true, 2, start)
	f.ApplyView(v, FullScope, start)
	before := f.ClassLoads("llm", true, 2, start)[0].ArrivalsPerSecond
	f.ApplyView(testView(1), FullScope, start.Add(time.Second))
	if after := f.ClassLoads("llm", true, 2, start.Add(time.Second))[0].ArrivalsPerSecond; before != 5 || after != 0 {
		t.Errorf("%v arrivals per second, and %v after the loss", before, after)
	}
}

// TestHostWithoutClasses guards against requests of a host of an earlier version, which reports no classes, that are
// left out of the room.
func TestHostWithoutClasses(t *testing.T) {
	f, v := newTestFleet(1), testView(1)
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: 60, Deferred: 5}})
	f.ApplyView(v, FullScope, start)
	if r := f.Room("llm", true, only("west"), start); r.Requests != 65 || f.ClassLoads("llm", true, 2, start)[1].ArrivalsPerSecond != 0 {
		t.Errorf("room %+v", r)
	}
}

// TestRestartForgetsClassesAndSpeed guards against requests of a class, deferred requests and a speed of an earlier
// process that count for the one that runs under its ID.
func TestRestartForgetsClassesAndSpeed(t *testing.T) {
	f := newTestFleet(1)
	f.ApplyView(restartedView(10), FullScope, start)
	c := f.Choose(classJob(0), start)
	f.Started(&c, start)
	f.servers["s0"].deferred, f.servers["s0"].othersDeferred = 3, 4
	f.RecordWorkTime(&c, 3, start)
	f.ApplyView(restartedView(20), FullScope, start)
	f.RecordWorkTime(&c, 3, start) // a late answer of the earlier process
	f.Ended(&c, ConnectionFailed, 0, start)
	s, later := f.servers["s0"], start.Add(time.Second)
	if r := f.Room("llm", true, only("west"), start); r.Requests != 0 || slices.Max(append(s.ownByClass, 0)) != 0 || f.workFactor(s, later) != 1 {
		t.Errorf("room %+v, by class %v, factor %v", r, s.ownByClass, f.workFactor(s, later))
	}
}

// TestPoolAfterARestart guards against a process that is a home of long prompts by the speed of an earlier one.
func TestPoolAfterARestart(t *testing.T) {
	f, now := settledPool(t)
	f.streams.factors = func(s *Server) float64 {
		if s.ID == "s1" && s.Start == 20 {
			return 1.2 // another machine
		}
		return factorWithTwoFast(s)
	}
	v := testView(6)
	for _, v.Servers[1].Start = range []int64{10, 20} {
		f.ApplyView(v, FullScope, now)
	}
	for _, at := range []time.Time{now, now.Add(poolInterval)} {
		for _, chain := range []string{"a", "b", "c", "d", "e", "f"} {
			if homes := f.homesOf(longJob(chain), at); len(homes) == 0 || homes[0] == "s1" {
				t.Errorf("%s after the restart: homes %v", at.Sub(now), homes)
			}
		}
	}
}

// TestPoolReplacesALostEngine guards against a pool that stays smaller by an engine that is lost.
func TestPoolReplacesALostEngine(t *testing.T) {
	f, now := settledPool(t)
	v := testView(6)
	v.Servers[1].Gone = true
	f.ApplyView(v, FullScope, now)
	now = now.Add(poolInterval)
	if ids := poolIDs(f, now); len(ids) != 2 || ids[0] != "s4" || ids[1] == "s1" {
		t.Errorf("pool %v, want s4 and one of the slower engines", ids)
	}
}

// TestPoolBehindACutLink guards against long prompts that stay at the engines of a pool although all of them are cut
// off and send nothing, while another engine would get them without the pool.
func TestPoolBehindACutLink(t *testing.T) {
	f, now := settledPool(t)
	for _, id := range []string{"s1", "s4"} {
		s := f.servers[id]
		s.own.requests, s.progressAt = 1, now.Add(-stalledAfter-time.Millisecond)
	}
	for _, chain := range []string{"a", "b", "c"} {
		j := longJob(chain)
		j.Parts[0].Tokens, j.Parts[1].Tokens = 1000, 1500 // another prefill of these costs less than a stall
		j.PromptTokens = float64(sharedTokens(j.Parts) + j.Parts[2].Tokens)
		j.Permits = only("west")
		if c := f.Choose(j, now); c.Server == nil || slices.Contains([]string{"s1", "s4"}, c.Server.ID) {
			t.Errorf("a prompt of chain %s was sent to %s", chain, c.Server.ID)
		}
	}
}

// TestPoolBehindRefusedConnections guards against long prompts for engines of the pool that refuse connections.
func TestPoolBehindRefusedConnections(t *testing.T) {
	f, now := settledPool(t)
	for _, id := range []string{"s1", "s4"} {
		f.servers[id].health.recordConnectionFailure(now)
	}
	j := longJob("a")
	j.Permits = only("west")
	if c := f.Choose(j, now); c.Server == nil || slices.Contains([]string{"s1", "s4"}, c.Server.ID) {
		t.Errorf("sent to %+v", c.Considered)
	}
}

// TestPoolWithoutViews guards against a pool that shrinks since no views arrive, and against prefill of this host that
// counts for longer than it takes.
func TestPoolWithoutViews(t *testing.T) {
	f, now := settledPool(t)
	v := testView(6)
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s1"): {Requests: 10, PrefillMS: 2500}})
	f.ApplyView(v, FullScope, now)
	for range 20 {
		now = now.Add(time.Second)
		f.poolOf(longJob("a"), now)
	}
	size, own := len(poolIDs(f, now)), &f.servers["s4"].prefill
	own.add(1, now)
	if part := own.now(now.Add(rateTimeConstant)) / own.now(now); part > 0.37 {
		t.Errorf("%.2f of the own prefill counts after 3 s", part)
	}
	for range 60 {
		now = now.Add(time.Second)
		f.poolOf(longJob("a"), now)
	}
	if after := len(poolIDs(f, now)); size <= 2 || after != size {
		t.Errorf("pools of %d and %d engines", size, after)
	}
}

// TestPoolWithoutWorkTimes guards against a pool that stays though no server has reported a work time for a minute.
func TestPoolWithoutWorkTimes(t *testing.T) {
	f := newTestFleet(6)
	for _, s := range f.servers {
		f.RecordWorkTime(&Choice{Server: s}, factorWithTwoFast(s), start)
	}
	if len(poolIDs(f, start)) == 0 {
		t.Fatal("no pool with unequal engines")
	}
	now := start.Add(serverspeed.ReportRetention + time.Second)
	f.ApplyView(testView(6), FullScope, now)
	if ids := poolIDs(f, now); len(ids) > 0 {
		t.Errorf("pool %v", ids)
	}
}

// TestFactorsAfterReportsStop guards against a server that keeps its last speed though its reports have stopped, and
// against factors that stay once no server reports.
func TestFactorsAfterReportsStop(t *testing.T) {
	f := newTestFleet(3)
	for id, ratio := range map[string]float64{"s0": 0.5, "s1": 2, "s2": 2} {
		f.RecordWorkTime(&Choice{Server: f.servers[id]}, ratio, start)
	}
	factor := func(age time.Duration) float64 { return f.workFactor(f.servers["s0"], start.Add(age)) }
	if got := factor(time.Second); got != 0.5 {
		t.Errorf("factor %v a second after the report", got)
	}
	f.RecordWorkTime(&Choice{Server: f.servers["s1"]}, 2, start.Add(50*time.Second))
	if got := factor(serverspeed.ReportRetention + time.Second); got != 2 {
		t.Errorf("factor %v after a minute, want the median 2 of those that report", got)
	}
	if got := factor(50*time.Second + serverspeed.ReportRetention + time.Second); got != 1 {
		t.Errorf("factor %v a minute after the last report of any server, want 1", got)
	}
}

// TestFactorsWithoutViews guards against factors that change since no views arrive.
func TestFactorsWithoutViews(t *testing.T) {
	f := newTestFleet(2)
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		f.RecordWorkTime(&Choice{Server: f.servers["s0"]}, 0.5, now)
		f.RecordWorkTime(&Choice{Server: f.servers["s1"]}, 1.5, now)
		if a, b := f.steadyFactor(f.servers["s0"]), f.steadyFactor(f.servers["s1"]); a != 0.5 || b != 1.5 {
			t.Fatalf("factors %v and %v after %d s", a, b, i)
		}
	}
}

// TestFactorsOfAStartedHost guards against a host that assumes a speed before the first answer, and that does not learn
// from it.
func TestFactorsOfAStartedHost(t *testing.T) {
	f := newTestFleet(2)
	before := f.workFactor(f.servers["s0"], start)
	f.RecordWorkTime(&Choice{Server: f.servers["s0"]}, 0.5, start)
	if after := f.workFactor(f.servers["s0"], start); before != 1 || after != 0.5 {
		t.Errorf("factors %v and %v, want 1 and 0.5", before, after)
	}
}

// TestSurplusBehindACutLink guards against room in another region whose figures stopped arriving.
func TestSurplusBehindACutLink(t *testing.T) {
	f := newTestFleet(1)
	all := func(string) bool { return true }
	near, far := f.Surplus("llm", true, 1, all, start.Add(maxRegionAge)), f.Surplus("llm", true, 1, all, start.Add(maxRegionAge+time.Millisecond))
	if math.Abs(near-256*lendable) > 1e-9 || far != 0 {
		t.Errorf("surplus %v, and %v with older figures", near, far)
	}
}

// TestRequestsOfALostHost guards against requests of a host that is lost which stay in the room.
func TestRequestsOfALostHost(t *testing.T) {
	f, v := newTestFleet(1), testView(1)
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: 60, PromptTokens: 10, MemoryTokens: 10, PrefillMS: 10, Deferred: 5}})
	f.ApplyView(v, FullScope, start)
	f.ApplyView(&pb.FleetView{Servers: v.Servers}, FullScope, start.Add(time.Second))
	s := f.servers["s0"]
	if r := f.Room("llm", true, only("west"), start.Add(time.Second)); r.Requests != 0 || s.others != (load{}) || s.othersPrefill != 0 {
		t.Errorf("room %+v, others %+v", r, s.others)
	}
}

// TestLoadsWithoutViews guards against requests of other hosts that are forgotten since no views arrive, and against
// ones that servers report meanwhile and that do not count.
func TestLoadsWithoutViews(t *testing.T) {
	f, v := newTestFleet(1), testView(1)
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: 50}})
	f.ApplyView(v, FullScope, start)
	s, now := f.servers["s0"], start.Add(3*time.Second)
	before := f.requestsAt(s, now)
	for range 50 {
		f.RecordReportedRequests(&Choice{Server: s}, 100, now)
	}
	if after := f.requestsAt(s, now); before != 50 || after < 95 {
		t.Errorf("%.1f requests, and %.1f while the server reports 100", before, after)
	}
}
