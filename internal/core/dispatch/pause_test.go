package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// askedPause is the pause that servers ask for in these tests.
const askedPause = 3 * time.Second

// askForPause records that a server has turned a request away and asks for a pause.
func askForPause(f *Fleet, id string, pause time.Duration, now time.Time) {
	f.RecordPause(&Choice{Server: f.servers[id]}, serverpause.Demand{For: pause}, now)
}

// TestNothingHeardEndsAPause guards against state of a server that is made anew without its pause.
func TestNothingHeardEndsAPause(t *testing.T) {
	one := func() *pb.FleetView { return testView(1) }
	for name, event := range map[string]func(f *Fleet, now time.Time){
		"the same view": func(f *Fleet, now time.Time) { f.ApplyView(one(), FullScope, now) },
		"the view leaves it out for over a minute": func(f *Fleet, now time.Time) {
			f.ApplyView(&pb.FleetView{}, FullScope, now.Add(stateRetention+time.Second))
			if f.servers["s0"] != nil {
				panic("the server's state is kept")
			}
			f.ApplyView(one(), FullScope, now.Add(stateRetention+2*time.Second))
		},
		"another address": func(f *Fleet, now time.Time) {
			v := one()
			v.Servers[0].Address = "10.1.9.9:80"
			f.ApplyView(v, FullScope, now)
		},
		"its start is reported": func(f *Fleet, now time.Time) { f.ApplyView(restartedView(10), FullScope, now) },
		"it fails and recovers": func(f *Fleet, now time.Time) {
			f.servers["s0"].health.recordConnectionFailure(now)
			f.servers["s0"].health.recordAnswer(false, 0, now)
		},
		"connections lost": func(f *Fleet, now time.Time) { f.RecordServerLost(f.servers["s0"], now) },
		"a limit is named and withdrawn": func(f *Fleet, now time.Time) {
			f.limits.Merge(f.servers["s0"].key, serverlimit.Limit{Revision: 1, PerSecond: 9}, now)
			f.limits.Merge(f.servers["s0"].key, serverlimit.Limit{Revision: 1}, now)
		},
		"an answer without a demand": func(f *Fleet, now time.Time) { askForPause(f, "s0", 0, now) },
		"a shorter demand":           func(f *Fleet, now time.Time) { askForPause(f, "s0", time.Millisecond, now) },
	} {
		t.Run(name, func(t *testing.T) {
			const pause = 5 * time.Minute
			f := newTestFleet(1)
			askForPause(f, "s0", pause, start)
			event(f, start.Add(time.Second))
			refresh := start.Add(pause - time.Millisecond)
			f.ApplyView(one(), FullScope, refresh)
			j := shortJob()
			j.Permits = only("west")
			if c := f.Choose(j, refresh); c.Server != nil || !c.ServersPaused {
				t.Errorf("chose %+v in the pause", c.Server)
			}
			f.ApplyView(one(), FullScope, start.Add(pause+time.Second))
			if c := f.Choose(j, start.Add(pause+time.Second)); c.Server == nil {
				t.Errorf("not chosen after the pause: %s", c.Refused)
			}
		})
	}
}

// TestServerThatSaidItLeavesIsNotUsedAgain guards against views that still call it ready, or make its state anew.
func TestServerThatSaidItLeavesIsNotUsedAgain(t *testing.T) {
	for name, event := range map[string]func(f *Fleet, now time.Time){
		"nothing":       func(*Fleet, time.Time) {},
		"the same view": func(f *Fleet, now time.Time) { f.ApplyView(testView(1), FullScope, now) },
		"the view leaves it out for over a minute": func(f *Fleet, now time.Time) {
			f.ApplyView(&pb.FleetView{}, FullScope, now.Add(stateRetention+time.Second))
			f.ApplyView(testView(1), FullScope, now.Add(stateRetention+2*time.Second))
		},
		"another address": func(f *Fleet, now time.Time) {
			v := testView(1)
			v.Servers[0].Address = "10.1.9.9:80"
			f.ApplyView(v, FullScope, now)
		},
		"its start is reported": func(f *Fleet, now time.Time) { f.ApplyView(restartedView(10), FullScope, now) },
		"a pause that ends": func(f *Fleet, now time.Time) {
			askForPause(f, "s0", time.Second, now)
			f.ApplyView(testView(1), FullScope, now.Add(time.Minute))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(1)
			c := f.Choose(shortJob(), start)
			if !f.RecordLeaving(&c, start) || f.RecordLeaving(&c, start) {
				t.Error("the first answer that says so is not told from the next")
			}
			event(f, start.Add(time.Second))
			now := start.Add(3 * time.Minute)
			f.ApplyView(testView(1), FullScope, now)
			j := shortJob()
			j.Permits = only("west")
			if again := f.Choose(j, now); again.Server != nil || f.MaySend(&c, now) {
				t.Errorf("%s is used again", again.Server.ID)
			}
		})
	}
}

// TestNextProcessIsNotBoundByALeavingOne guards against a new process under the ID that is left out for its predecessor's answers.
func TestNextProcessIsNotBoundByALeavingOne(t *testing.T) {
	for name, late := range map[string]bool{"the answer before the new process": false, "the answer after its announcement": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(1)
			f.ApplyView(restartedView(10), FullScope, start)
			c := f.Choose(shortJob(), start)
			if !late {
				f.RecordLeaving(&c, start)
			}
			f.ApplyView(restartedView(20), FullScope, start.Add(time.Second))
			if late {
				f.RecordLeaving(&c, start.Add(time.Second))
			}
			if next := f.Choose(shortJob(), start.Add(time.Second)); next.Server == nil || next.Server.Start != 20 {
				t.Errorf("the new process is not used: %s", next.Refused)
			}
		})
	}
}

// TestPauseOfAReplacedProcess checks whether a new process under a server's ID pauses in place of the one before.
func TestPauseOfAReplacedProcess(t *testing.T) {
	for name, c := range map[string]struct {
		announced time.Duration // last announcement of the old process, after it was asked
		gone      bool          // the old one left first
		paused    bool
	}{
		"the old process may have ended before the answer":              {0, false, true},
		"the old process was heard of after the answer":                 {maxViewDelay + 100*time.Millisecond, false, false},
		"the old process left, and may have ended before the answer":    {0, true, true},
		"the old process left, and was heard of after the answer":       {maxViewDelay + 100*time.Millisecond, true, false},
		"heard of after the answer, as far as delays of views can tell": {maxViewDelay - 100*time.Millisecond, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(1)
			f.ApplyView(restartedView(10), FullScope, start)
			askForPause(f, "s0", askedPause, start)
			now := start.Add(c.announced)
			f.ApplyView(restartedView(10), FullScope, now)
			if c.gone {
				f.MarkGone("s0", 10, now)
			}
			f.ApplyView(restartedView(20), FullScope, now.Add(100*time.Millisecond))
			if got := f.paused(f.servers["s0"], now.Add(100*time.Millisecond)); got != c.paused {
				t.Errorf("the new process pauses: %v, want %v", got, c.paused)
			}
		})
	}
}

// TestLateAnswerOfAReplacedProcess guards against a new process that asked before it was heard of.
func TestLateAnswerOfAReplacedProcess(t *testing.T) {
	f := newTestFleet(1)
	f.ApplyView(restartedView(10), FullScope, start)
	c := f.Choose(shortJob(), start)
	f.ApplyView(restartedView(20), FullScope, start)
	f.RecordPause(&c, serverpause.Demand{For: askedPause}, start.Add(time.Second))
	if !f.paused(f.servers["s0"], start.Add(2*time.Second)) {
		t.Error("the process that may have asked does not pause")
	}
}

// TestNothingIsCopiedFromAPausedEngine guards against load on a paused engine by other engines.
func TestNothingIsCopiedFromAPausedEngine(t *testing.T) {
	f := newTestFleet(2)
	v := testView(2)
	v.Prompts = holders.Encode([]holders.Place{{Chain: holders.Key("chain"), Server: holders.Key("s0")}})
	f.ApplyView(v, FullScope, start)
	j := copyJob()
	copies := func() string {
		addr, _ := f.copySource(f.servers["s1"], j, f.locationsOf(j, start), float64(sharedTokens(j.Parts)), start)
		return addr
	}
	if copies() == "" {
		t.Fatal("nothing is copied before the pause")
	}
	askForPause(f, "s0", askedPause, start)
	if addr := copies(); addr != "" {
		t.Errorf("copied from the paused engine at %s", addr)
	}
}

// TestRefusalInPausesNamesWhenAPlaceIsThere guards against callers who are told to return while all servers pause.
func TestRefusalInPausesNamesWhenAPlaceIsThere(t *testing.T) {
	f := newTestFleet(2)
	askForPause(f, "s0", 20*time.Second, start)
	askForPause(f, "s1", 10*time.Second, start)
	rnd := rand.New(rand.NewSource(1))
	f.o.Random = rnd.Float64
	first := f.Pause(f.servers["s1"]).Left(start)
	shortest, longest := time.Hour, time.Duration(0)
	for range 200 {
		j := shortJob()
		j.Permits = only("west")
		c := f.Choose(j, start)
		if c.Refused == "" || !c.ServersPaused || c.RetryAfter < first || c.RetryAfter > first+serverpause.SlowStart {
			t.Fatalf("refused %q, Retry-After %s; the first pause ends after %s", c.Refused, c.RetryAfter, first)
		}
		shortest, longest = min(shortest, c.RetryAfter), max(longest, c.RetryAfter)
	}
	if longest-shortest < serverpause.SlowStart/2 {
		t.Errorf("all return from %s to %s", shortest, longest)
	}
	askForPause(f, "s1", time.Second, start)
	if after := f.UntilUsable(shortJob(), start.Add(first+time.Second)); after != minRetryAfter {
		t.Errorf("Retry-After %s though a server can be used", after)
	}
}

// TestSlowStartIsNoReasonToMissATarget guards against requests that are late, or refused, beside a server in its slow start.
func TestSlowStartIsNoReasonToMissATarget(t *testing.T) {
	f := newTestFleet(2)
	askForPause(f, "s0", time.Second, start)
	now := start.Add(1500 * time.Millisecond)
	f.servers["s0"].own.add(load{2, 0, 0})
	j := shortJob()
	j.Permits = only("west")
	if c := f.Choose(j, now); c.Server == nil || c.Server.ID != "s1" {
		t.Errorf("chose %+v beyond the share of the slow start", c.Server)
	}
	f.servers["s1"].own.add(load{100, 200_000, 100_000})
	if c := f.Choose(j, now); c.Server == nil || c.Server.ID != "s0" {
		t.Errorf("refused (%s) or late at %+v though the other server can meet the target", c.Refused, c.Server)
	}
}

// TestPausedRegionIsTriedOnce guards against forwards to a host whose servers pause, and to one region again and again.
func TestPausedRegionIsTriedOnce(t *testing.T) {
	f := newTestFleet(1)
	v := testView(1)
	v.Hosts = []*pb.FleetHost{{Id: "host-e", Peer: "10.2.0.1:7", Region: "east", FailureDomain: "e1", Ready: true}}
	v.Regions = []*pb.RegionLoad{{Region: "east", Service: "llm", Servers: 2, Slots: 16}}
	f.ApplyView(v, FullScope, start)
	askForPause(f, "s0", askedPause, start)
	c := f.Choose(shortJob(), start)
	if c.Host == nil {
		t.Fatalf("not forwarded: %s", c.Refused)
	}
	f.Started(&c, start)
	f.ApplyView(v, FullScope, start)
	f.RecordHostRefusal(&c, 2*time.Second, start)
	f.ApplyView(v, FullScope, start)
	c = f.Choose(shortJob(), start)
	if c.Host != nil || !c.ServersPaused || c.RetryAfter < 2*time.Second || c.RetryAfter > 2*time.Second+serverpause.SlowStart {
		t.Errorf("forwarded to %+v, or refused with Retry-After %s", c.Host, c.RetryAfter)
	}
	f.ApplyView(v, FullScope, start.Add(2100*time.Millisecond))
	if c = f.Choose(shortJob(), start.Add(2100*time.Millisecond)); c.Host == nil {
		t.Errorf("not forwarded after that: %s", c.Refused)
	}
}

// TestPausesUnderFaults guards against requests to a paused process, and against refusals while a server has no pause,
// under random answers, views, restarts and losses.
func TestPausesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 3
		f, now, epoch := newTestFleet(servers), start, int64(10)
		view := func() *pb.FleetView {
			v := testView(servers)
			v.Servers[0].Start = epoch
			return v
		}
		f.ApplyView(view(), FullScope, now)
		asked := map[string]time.Time{} // end of the pause of each running process
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				c := f.Choose(shortJob(), now)
				if c.Server == nil {
					for id := range f.servers {
						if now.After(asked[id].Add(300*time.Millisecond)) && !f.paused(f.servers[id], now) {
							t.Fatalf("refused (%s) though %s has no pause", c.Refused, id)
						}
					}
					break
				}
				id := c.Server.ID
				if now.Before(asked[id]) {
					t.Fatalf("%s chosen %s before the end of its pause", id, asked[id].Sub(now))
				}
				f.Started(&c, now)
				if ask := time.Duration(rapid.Int64Range(-2000, 4000).Draw(t, "ask_ms")) * time.Millisecond; ask > 0 {
					f.RecordPause(&c, serverpause.Demand{For: ask}, now)
					asked[id] = now.Add(ask)
				}
				f.Ended(&c, Refused, 0, now)
			case 3:
				f.ApplyView(view(), FullScope, now)
			case 4:
				epoch++ // s0 starts again under its ID; what it asked for may be its successor's demand
				f.ApplyView(view(), FullScope, now)
				asked["s0"] = time.Time{}
			case 5:
				f.RecordServerLost(f.servers["s1"], now)
			case 6:
				now = now.Add(time.Duration(rapid.Int64Range(1, 1000).Draw(t, "advance_ms")) * time.Millisecond)
				f.ApplyView(view(), FullScope, now)
			}
		}
	})
}

// Parameters of the played load before few servers, the first of which turns requests away for a time.
const (
	playServers   = 4
	playPerSecond = 400 // requests of all hosts
	playHolds     = 200 * time.Millisecond
	playLength    = 14 * time.Second
	playStep      = 5 * time.Millisecond
	playViewEvery = 250 * time.Millisecond
	turnsAwayFrom = 4 * time.Second
	turnsAwayTo   = 6 * time.Second
)

// pausePlay is a load of many hosts, each of which knows of a pause only by its own answers.
type pausePlay struct {
	rnd     *rand.Rand
	hosts   []*Fleet
	view    *pb.FleetView
	flights []playedFlight
	askedAt map[*Fleet]time.Time
	// turnedAway and inPause count requests at the first server, and refused those of callers. atServer is
	// the number that it runs, with the most before and after the time in which it turns requests away.
	turnedAway, inPause, refused    int
	atServer, mostBefore, mostAfter int
}

// playedFlight is a request that a server runs.
type playedFlight struct {
	host *Fleet
	c    Choice
	ends time.Time
}

func newPausePlay(hosts int) *pausePlay {
	p := &pausePlay{rnd: rand.New(rand.NewSource(int64(hosts))), view: testView(playServers), askedAt: map[*Fleet]time.Time{}}
	for i := range hosts {
		id := fmt.Sprint("h", i)
		p.view.Hosts = append(p.view.Hosts, &pb.FleetHost{Id: id, Region: "west", FailureDomain: "w1", Ready: true})
		p.hosts = append(p.hosts, New(Options{Host: id, Region: "west", FailureDomain: "w1", Regions: map[string]string{"w1": "west"}, Random: p.rnd.Float64}))
	}
	return p
}

func (p *pausePlay) run() {
	for at := time.Duration(0); at < playLength; at += playStep {
		now := start.Add(at)
		for i, f := range p.hosts {
			if at == 0 || (at/playStep+time.Duration(i))%(playViewEvery/playStep) == 0 {
				f.ApplyView(p.view, FullScope, now)
			}
		}
		p.endFlights(now)
		for range playPerSecond * int(playStep) / int(time.Second) {
			p.send(p.hosts[p.rnd.Intn(len(p.hosts))], at, now)
		}
	}
}

func (p *pausePlay) endFlights(now time.Time) {
	kept := p.flights[:0]
	for _, x := range p.flights {
		if now.Before(x.ends) {
			kept = append(kept, x)
			continue
		}
		if x.c.Server.ID == "s0" {
			p.atServer--
		}
		x.host.Ended(&x.c, Served, playHolds, now)
	}
	p.flights = kept
}

// send has a host place one request.
func (p *pausePlay) send(f *Fleet, at time.Duration, now time.Time) {
	j := shortJob()
	j.Permits = only("west")
	c := f.Choose(j, now)
	if c.Server == nil {
		p.refused++
		return
	}
	f.Started(&c, now)
	if c.Server.ID != "s0" {
		p.flights = append(p.flights, playedFlight{f, c, now.Add(playHolds)})
		return
	}
	if asked := p.askedAt[f]; !asked.IsZero() && now.Sub(asked) < askedPause {
		p.inPause++
	}
	if at >= turnsAwayFrom && at < turnsAwayTo {
		p.turnedAway++
		p.askedAt[f] = now
		f.RecordPause(&c, serverpause.Demand{For: askedPause}, now)
		f.Ended(&c, Refused, 0, now)
		return
	}
	p.atServer++
	if at < turnsAwayFrom {
		p.mostBefore = max(p.mostBefore, p.atServer)
	} else {
		p.mostAfter = max(p.mostAfter, p.atServer)
	}
	p.flights = append(p.flights, playedFlight{f, c, now.Add(playHolds)})
}

// TestHostsBeforeFewServersInAPause guards against hosts that flood a server in its pause or after it, or others meanwhile.
func TestHostsBeforeFewServersInAPause(t *testing.T) {
	for _, hosts := range []int{6, 60, 300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			p := newPausePlay(hosts)
			p.run()
			t.Logf("turned away %d of %d hosts, %d in a pause, at most %d at the server before it and %d after it", p.turnedAway, len(p.askedAt), p.inPause, p.mostBefore, p.mostAfter)
			if p.inPause > 0 || p.refused > 0 {
				t.Errorf("%d requests in a host's pause, %d refused though other servers have room", p.inPause, p.refused)
			}
			if p.mostAfter > p.mostBefore {
				t.Errorf("%d requests at the server after its pause, %d before", p.mostAfter, p.mostBefore)
			}
			if p.turnedAway == 0 || p.turnedAway > hosts {
				t.Errorf("%d requests turned away of %d hosts", p.turnedAway, hosts)
			}
		})
	}
}
