package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
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
