package dispatch

import (
	"fmt"
	"math/rand"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

var start = time.Unix(1000, 0)

// newTestFleet returns a fleet of region "west" with n engines and one entry host.
func newTestFleet(n int) *Fleet {
	rnd := rand.New(rand.NewSource(1))
	f := New(Options{Host: "h1", Region: "west", FailureDomain: "w1", Random: rnd.Float64, PrefillRate: 38 / 1.25})
	f.ApplyView(testView(n), FullScope, start)
	return f
}

func testView(n int) *pb.FleetView {
	v := &pb.FleetView{
		Hosts: []*pb.FleetHost{
			{Id: "h1", Region: "west", FailureDomain: "w1", Ready: true},
			{Id: "h2", Peer: "10.2.0.1:7", Region: "east", FailureDomain: "e1", Ready: true},
		},
		Regions: []*pb.RegionLoad{{Region: "east", Service: "llm", Servers: 2, Slots: 256}},
	}
	for i := range n {
		v.Servers = append(v.Servers, &pb.FleetServer{Id: fmt.Sprintf("s%d", i), Service: "llm", Address: fmt.Sprintf("10.1.0.%d:80", i), FailureDomain: "w1", Sequence: 1, Slots: 128})
	}
	return v
}

var jobCount atomic.Int64 // makes the last part of each job's prompt unique

func shortJob() *Job {
	own := fmt.Sprint("own", jobCount.Add(1))
	return &Job{Service: "llm", Engine: true, MemoryTokens: 180_000, PromptTokens: 800, OutputTokens: 290, Parts: []Part{{"a", 120}, {"b", 80}, {own, 600}},
		Permits: func(string) bool { return true }, Remaining: 15 * time.Second, Target: time.Second, Tried: map[string]bool{}, ColdPerSecond: 2.6}
}

func longJob(chain string) *Job {
	j := shortJob()
	j.PromptTokens, j.OutputTokens = 9200, 50
	j.Parts = []Part{{"top", 2500}, {chain, 3800}, {j.Parts[2].ID, 2900}}
	return j
}

func only(region string) func(string) bool { return func(r string) bool { return r == region } }

// TestUnusableServersAreExcluded checks each reason not to send to a server: the request must
// go to the other one.
func TestUnusableServersAreExcluded(t *testing.T) {
	cases := []struct {
		name string
		make func(*Fleet, *pb.FleetView)
		now  time.Duration
	}{
		{"leaving", func(_ *Fleet, v *pb.FleetView) { v.Servers[0].Leaving = true }, 0},
		{"gone", func(_ *Fleet, v *pb.FleetView) { v.Servers[0].Gone = true }, 0},
		{"in an evacuated failure domain", func(_ *Fleet, v *pb.FleetView) {
			v.Servers[0].FailureDomain = "w2"
			v.Evacuated, v.EvacuationRevision = []string{"w2"}, 1
		}, 0},
		{"without announcements at the last view", func(_ *Fleet, v *pb.FleetView) { v.Servers[0].AgeMs = 5000 }, 5 * time.Second},
		{"failing", func(f *Fleet, _ *pb.FleetView) { f.servers["s0"].health.recordConnectionFailure(start) }, 0},
		{"cold and over its rate", func(f *Fleet, v *pb.FleetView) {
			v.Servers[0].ColdMs = 3000
			now := start.Add(time.Second)
			f.servers["s0"].coldSends = []time.Time{now, now}
		}, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(2)
			v := testView(2)
			v.Hosts, v.Regions = nil, nil
			c.make(f, v)
			f.ApplyView(v, FullScope, start.Add(c.now))
			for range 20 {
				choice := f.Choose(shortJob(), start.Add(c.now))
				if choice.Server == nil || choice.Server.ID != "s1" {
					t.Fatalf("chose %+v", choice.Server)
				}
			}
		})
	}
}

// TestLateViewsChangeNothing checks that a late view does not undo newer state: a server that
// is leaving, one that is gone, and a later list of evacuations.
func TestLateViewsChangeNothing(t *testing.T) {
	f := newTestFleet(2)
	v := testView(2)
	v.Servers[0].Leaving = true
	v.Servers[1].Gone = true
	v.Evacuated, v.EvacuationRevision = []string{"x"}, 4
	f.ApplyView(v, FullScope, start)
	late := testView(2)
	late.EvacuationRevision = 3
	f.ApplyView(late, FullScope, start)
	if !f.servers["s0"].Leaving {
		t.Error("a leaving server is used again")
	}
	if _, gone := f.departures["s1"]; f.servers["s1"] != nil || !gone {
		t.Error("a server that is gone is used again")
	}
	if len(f.evacuated) != 1 {
		t.Error("an older list of evacuations was applied")
	}
}

// TestCutOffHostKeepsItsServers checks that the last known servers stay in use while no view
// arrives.
func TestCutOffHostKeepsItsServers(t *testing.T) {
	f := newTestFleet(2)
	if c := f.Choose(shortJob(), start.Add(time.Minute)); c.Server == nil {
		t.Errorf("refused: %s", c.Refused)
	}
}

// TestSilentServerIsNotGivenUp checks a server that sends nothing for long. Other servers are
// preferred, but while it announces itself it may just be full: an attempt there is not lost,
// and if no other server is left it still gets requests.
func TestSilentServerIsNotGivenUp(t *testing.T) {
	f := newTestFleet(2)
	v := testView(2)
	v.Hosts, v.Regions = nil, nil
	c := f.Choose(shortJob(), start)
	f.Started(&c, start)
	later := start.Add(3 * time.Second)
	f.ApplyView(v, FullScope, later)
	if other := f.Choose(shortJob(), later); other.Server == c.Server {
		t.Error("the silent server was preferred to the other")
	}
	if f.Lost(&c, later) {
		t.Error("a server that announces itself counts as lost")
	}
	j := shortJob()
	for id := range f.servers {
		if id != c.Server.ID {
			j.Tried[id] = true
		}
	}
	if only := f.Choose(j, later); only.Server != c.Server {
		t.Errorf("refused: %s", only.Refused)
	}
	for _, s := range v.Servers {
		s.AgeMs = 6000
	}
	end := later.Add(6 * time.Second)
	f.ApplyView(v, FullScope, end)
	if !f.Lost(&c, end) {
		t.Error("a server that is silent and does not announce itself is not lost")
	}
}

// TestOtherRegions checks under which conditions a request goes to another region.
func TestOtherRegions(t *testing.T) {
	busy := func(f *Fleet) {
		for _, s := range f.servers {
			s.others = load{100, 60_000, 150_000}
		}
	}
	cases := []struct {
		name      string
		make      func(*Fleet)
		job       func(*Job)
		now       time.Duration
		forwarded bool
	}{
		{"both idle", func(*Fleet) {}, func(*Job) {}, 0, false},
		{"own region busy", busy, func(*Job) {}, 0, true},
		{"own region busy, but no other is permitted", busy, func(j *Job) { j.Permits = only("west") }, 0, false},
		{"own region busy, but the request came from the other", busy, func(j *Job) { j.Forwarded = true }, 0, false},
		{"own region busy, but the other's figures too old", busy, func(*Job) {}, 2 * time.Second, false},
		{"own region busy, but the other's entry host recently unreachable", func(f *Fleet) {
			busy(f)
			f.hosts["east"][0].suspectUntil = start.Add(time.Second)
		}, func(*Job) {}, 0, false},
		{"own region not permitted", func(*Fleet) {}, func(j *Job) { j.Permits = only("east") }, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(2)
			c.make(f)
			j := longJob("c1")
			c.job(j)
			choice := f.Choose(j, start.Add(c.now))
			if forwarded := choice.Host != nil; forwarded != c.forwarded || choice.Refused != "" {
				t.Errorf("forwarded %v, want %v; refused %q", forwarded, c.forwarded, choice.Refused)
			}
		})
	}
}

// TestForwardsSpreadWithStaleFigures sends many requests between two views while another region
// looks idle. The host counts its own forwards, so that it does not overload that region.
func TestForwardsSpreadWithStaleFigures(t *testing.T) {
	f := newTestFleet(2)
	forwarded := 0
	for range 200 {
		c := f.Choose(longJob("c1"), start)
		if c.Refused != "" {
			continue
		}
		f.Started(&c, start)
		if c.Host != nil {
			forwarded++
		}
	}
	if forwarded == 0 || forwarded > 150 {
		t.Errorf("%d of 200 requests forwarded to a region of the same size", forwarded)
	}
}

// TestColdServer checks that one host sends a cold server no more than the rate that it
// tolerates.
func TestColdServer(t *testing.T) {
	f := newTestFleet(1)
	v := testView(1)
	v.Regions, v.Servers[0].ColdMs = nil, 3000
	began := start.Add(time.Second)
	f.ApplyView(v, FullScope, began)
	sent := 0
	for i := range 100 {
		now := began.Add(time.Duration(i) * 10 * time.Millisecond)
		if c := f.Choose(shortJob(), now); c.Server != nil {
			f.Started(&c, now)
			sent++
		} else if c.RetryAfter < time.Second {
			t.Fatalf("retry after %s, want at least 1s: the server is cold for 3 s", c.RetryAfter)
		}
	}
	if sent == 0 || sent > 3 {
		t.Errorf("%d requests in a second; the server tolerates 2.6", sent)
	}
}

// TestSharedPartsStayTogether sends prompts of a few chains under light load: each chain must
// stay at one or two engines, so that not all of them prefill its shared parts.
func TestSharedPartsStayTogether(t *testing.T) {
	f := newTestFleet(4)
	at := map[string]map[string]bool{}
	for i := range 200 {
		now := start.Add(time.Duration(i) * 400 * time.Millisecond)
		chain := fmt.Sprintf("chain%d", i%8)
		j := longJob(chain)
		j.Permits = only("west")
		c := f.Choose(j, now)
		f.Started(&c, now)
		f.FirstByte(&c, 0)
		f.Ended(&c, Served, 200*time.Millisecond, now)
		if at[chain] == nil {
			at[chain] = map[string]bool{}
		}
		at[chain][c.Server.ID] = true
	}
	for chain, servers := range at {
		if len(servers) > 2 {
			t.Errorf("%s was prefilled by %d engines", chain, len(servers))
		}
	}
}

// TestNoServerOfTheService checks that a request for a service without servers is refused.
func TestNoServerOfTheService(t *testing.T) {
	f := newTestFleet(2)
	j := longJob("c1")
	j.Service = "other"
	if c := f.Choose(j, start); c.Refused == "" || c.RetryAfter <= 0 {
		t.Errorf("chose %+v", c)
	}
}

// TestAnnouncedServersStayInUse applies views that list only which unchanged servers announced
// themselves. A server that is not listed becomes silent after its announcements have expired,
// although no view reports it as gone.
func TestAnnouncedServersStayInUse(t *testing.T) {
	f := New(Options{Region: "west", FailureDomain: "w1", Random: func() float64 { return 0.5 }})
	f.ApplyView(testView(2), FullScope, start)
	announced, silent := f.servers["s0"], f.servers["s1"]
	if announced == nil || silent == nil {
		t.Fatal("the servers of the view are missing")
	}
	now := start
	for now.Sub(start) < 10*time.Second {
		now = now.Add(time.Second)
		f.ApplyView(&pb.FleetView{HeardServers: []uint32{announced.key, 99}, HeardAges: []uint32{2}}, ViewScope{Fleet: true, SameHosts: true}, now)
	}
	if r := f.usable(announced, now); r != "" || now.Sub(announced.AnnouncedAt) != 100*time.Millisecond {
		t.Errorf("server with announcements: %q, last announced %s ago", r, now.Sub(announced.AnnouncedAt))
	}
	if r := f.usable(silent, now); r != "silent" {
		t.Errorf("server without announcements: %q", r)
	}
}
