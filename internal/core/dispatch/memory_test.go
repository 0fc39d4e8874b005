package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/enginememory"
	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/incarnation"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
)

// fleetWithMemory returns a fleet whose other hosts hold a number of tokens at each engine, without other regions.
func fleetWithMemory(held ...uint32) *Fleet {
	f := newTestFleet(len(held))
	v := testView(len(held))
	v.Regions = nil
	loads := serverload.Loads{}
	for i, tokens := range held {
		loads[holders.Key(fmt.Sprintf("s%d", i))] = serverload.Load{Requests: 1, MemoryTokens: tokens}
	}
	v.Loads = serverload.Encode(loads)
	f.ApplyView(v, FullScope, start)
	return f
}

// TestFullEngineIsNotChosen guards against a long prompt at an engine that its memory would crash though another one
// has room, and against the refusal of a prompt for which no engine has room: an engine lets it wait.
func TestFullEngineIsNotChosen(t *testing.T) {
	for name, c := range map[string]struct {
		held []uint32
		want string // "" for any
	}{
		"one has room":  {[]uint32{172_000, 150_000}, "s1"},
		"none has room": {[]uint32{175_000, 178_000}, ""},
	} {
		f := fleetWithMemory(c.held...)
		f.servers["s1"].others.prompt = 30_000 // the engine with room is the slower one
		got := f.Choose(longJob("chain"), start)
		if got.Server == nil || (c.want != "" && got.Server.ID != c.want) {
			t.Errorf("%s: chose %+v, want %q", name, got.Server, c.want)
		}
	}
}

// TestRoomBeyondTheSample guards against a full engine being chosen because the few engines that a host of a large
// region evaluates are all full.
func TestRoomBeyondTheSample(t *testing.T) {
	held := make([]uint32, 30)
	for i := range held {
		held[i] = 175_000
	}
	held[17] = 0
	f := fleetWithMemory(held...)
	for i := range 20 {
		f.neighbors.ids = append(f.neighbors.ids, fmt.Sprint("n", i))
	}
	for range 20 {
		if c := f.Choose(longJob("chain"), start); c.Server == nil || c.Server.ID != "s17" {
			t.Fatalf("chose %+v, want the only engine with room", c.Server)
		}
	}
}

// TestRoomInAnotherRegion guards against a request that stays at a full engine though a region in reach has room, and
// against one that leaves the regions that may run it.
func TestRoomInAnotherRegion(t *testing.T) {
	f := fleetWithMemory(175_000)
	v := testView(1)
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: 1, MemoryTokens: 175_000}})
	f.ApplyView(v, FullScope, start)
	if c := f.Choose(longJob("chain"), start); c.Host == nil {
		t.Errorf("chose %+v, want the other region", c.Server)
	}
	j := longJob("chain")
	j.Permits = only("west")
	if c := f.Choose(j, start); c.Server == nil {
		t.Error("the request is not served in the only region that may run it")
	}
}

// TestMemoryNotKnown guards against any effect on services whose configuration states no memory of their engines, and
// on other services: choices must be the same as without the mechanism.
func TestMemoryNotKnown(t *testing.T) {
	for name, edit := range map[string]func(*Job){
		"engines": func(j *Job) { j.MemoryTokens = 0 },
		"plain":   func(j *Job) { j.Engine, j.MemoryTokens = false, 0 },
	} {
		choices := func(off Mechanisms) (out []string) {
			f := fleetWithMemory(170_000, 179_000, 0, 400_000)
			f.o.Off = off
			for i := range 300 {
				j := longJob(fmt.Sprint("chain", i%9))
				edit(j)
				c := f.Choose(j, start)
				f.Started(&c, start)
				out = append(out, fmt.Sprint(c.Server.ID, c.EstimateMS, c.Considered))
				if c.Server.holding.Tokens() != 0 {
					t.Fatal("memory is counted that is not known")
				}
			}
			return out
		}
		with, without := choices(0), choices(MemoryRoom)
		for i := range with {
			if with[i] != without[i] {
				t.Fatalf("%s: choice %d is %s, without the mechanism %s", name, i, with[i], without[i])
			}
		}
	}
}

// TestHoldingEndsWithItsRequests guards against memory that stays counted after a request has ended, whatever its
// end, and against a shared part that counts only as long as the request that brought it.
func TestHoldingEndsWithItsRequests(t *testing.T) {
	f := newTestFleet(1)
	var list []*Choice
	for range 3 {
		j := longJob("chain")
		j.Permits = only("west")
		c := f.Choose(j, start)
		c.Deferred = len(list) == 2
		f.Started(&c, start)
		list = append(list, &c)
	}
	s := f.servers["s0"]
	const shared, own = 6300, 2950
	if got := s.holding.Tokens(); got != shared+2*own {
		t.Errorf("%g tokens held by two requests with one chain, want %d", got, shared+2*own)
	}
	f.Ended(list[0], Served, time.Millisecond, start)
	if got := s.holding.Tokens(); got != shared+own {
		t.Errorf("%g tokens held after the first has ended, want %d", got, shared+own)
	}
	f.Ended(list[1], ConnectionFailed, 0, start)
	f.Ended(list[2], CallerEnded, 0, start)
	if got := s.holding.Tokens(); got != 0 {
		t.Errorf("%g tokens are left", got)
	}
}

// TestRestartAfterACrashByMemory guards against an engine that is filled at once after its memory crashed it, as it
// looks the emptiest to all hosts, and against other restarts and later requests that are treated like that.
func TestRestartAfterACrashByMemory(t *testing.T) {
	for name, c := range map[string]struct {
		held  uint32
		gone  bool // reported as gone before its successor
		after time.Duration
		want  string
	}{
		"crash by memory":             {170_000, false, 0, "s1"},
		"reported as gone":            {170_000, true, 0, "s1"},
		"later":                       {170_000, false, enginememory.RefillTime, "s0"},
		"crash with little in memory": {90_000, false, 0, "s0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleetWithMemory(c.held, 60_000)
			f.setMissingStart(f.servers["s0"], 1)
			first := Choice{Server: f.servers["s0"], job: longJob("chain")}
			f.Started(&first, start)
			f.Ended(&first, ConnectionFailed, 0, start)
			now := start.Add(time.Second)
			if c.gone {
				f.MarkGone("s0", 1, now)
			}
			view := func(now time.Time) {
				v := testView(2)
				v.Regions, v.Servers[0].Start = nil, 2
				v.Loads = serverload.Encode(serverload.Loads{
					incarnation.Key("s0", 2): {Requests: 1, MemoryTokens: 85_000}, holders.Key("s1"): {Requests: 1, PromptTokens: 20_000, MemoryTokens: 100_000},
				})
				f.ApplyView(v, FullScope, now)
			}
			view(now)
			now = now.Add(c.after)
			view(now)
			next := longJob("other")
			next.Parts = next.Parts[2:] // no shared parts, so that no engine is a home
			if got := f.Choose(next, now); got.Server == nil || got.Server.ID != c.want {
				t.Errorf("chose %+v of %v, want %s", got.Server, got.Considered, c.want)
			}
			if crashes := len(f.TakeMemoryCrashes()); (crashes == 1) != (c.held > 160_000) {
				t.Errorf("%d crashes by memory are reported", crashes)
			}
		})
	}
}

// TestRetriesAfterACrashAreSpread guards against requests of a crashed engine that all go to the same other engine and
// crash it too.
func TestRetriesAfterACrashAreSpread(t *testing.T) {
	f := fleetWithMemory(60_000, 145_000, 145_000, 145_000, 145_000)
	var inFlight []*Choice
	for i := range 10 {
		c := Choice{Server: f.servers["s0"], job: longJob(fmt.Sprint("chain", i))}
		c.job.Parts[0].ID = fmt.Sprint("top", i)
		f.Started(&c, start)
		inFlight = append(inFlight, &c)
	}
	for _, c := range inFlight {
		f.Ended(c, ConnectionFailed, 0, start)
	}
	for _, c := range inFlight {
		c.job.Tried["s0"] = true
		next := f.Choose(c.job, start)
		if next.Server == nil {
			t.Fatal("a request is not repeated")
		}
		f.Started(&next, start)
	}
	for id, s := range f.servers {
		if held := s.holding.Tokens() + s.others.memory; held > 180_000 {
			t.Errorf("%s holds %.0f tokens, more than its memory", id, held)
		}
	}
}

// TestRoomIsNoUseAfterTheDeadline guards against the refusal of a request because the engine with room answers too
// late, though a full one lets it wait for less.
func TestRoomIsNoUseAfterTheDeadline(t *testing.T) {
	f := fleetWithMemory(178_000, 0)
	f.servers["s1"].others.prompt = 600_000
	if c := f.Choose(longJob("chain"), start); c.Server == nil || c.Server.ID != "s0" {
		t.Errorf("chose %+v, refused %q", c.Server, c.Refused)
	}
}

// TestRoomEverywhere guards against any effect on choices while no engine is short of memory.
func TestRoomEverywhere(t *testing.T) {
	choices := func(off Mechanisms) (out []string) {
		f := fleetWithMemory(10_000, 40_000, 0, 20_000)
		f.o.Off = off
		f.servers["s1"].others.prompt = 40_000 // late there
		for i := range 40 {
			c := f.Choose(longJob(fmt.Sprint("chain", i%3)), start)
			f.Started(&c, start)
			out = append(out, fmt.Sprint(c.Server.ID, c.EstimateMS, c.Considered))
		}
		return out
	}
	with, without := choices(0), choices(MemoryRoom)
	for i := range with {
		if with[i] != without[i] {
			t.Fatalf("choice %d is %s, without the mechanism %s", i, with[i], without[i])
		}
	}
}
