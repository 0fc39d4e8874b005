package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
)

// busyFleet returns a fleet with one engine of 16 slots that has 60 requests of other hosts in
// flight.
func busyFleet() *Fleet {
	f := newTestFleet(1)
	v := testView(1)
	v.Regions, v.Servers[0].Slots = nil, 16
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: 60}})
	f.ApplyView(v, FullScope, start)
	return f
}

var s0 = holders.Key("s0")

// TestDeferredRequests checks that a request that is expected late is reported as deferred
// until its first byte arrives, and that its end removes it from the server's load.
func TestDeferredRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		first bool // the first byte arrives
	}{{"served", true}, {"the caller disconnects before", false}} {
		t.Run(c.name, func(t *testing.T) {
			f := busyFleet()
			choice := f.Choose(shortJob(), start)
			if !choice.Deferred {
				t.Fatalf("first byte expected after %.0f ms, target 1000, and not deferred", choice.EstimateMS)
			}
			f.Started(&choice, start)
			if l := f.Loads(start); len(l) != 1 || l[s0].Deferred != 1 || l[s0].Requests != 0 {
				t.Errorf("reported as %v", l)
			}
			late := start.Add(3 * time.Second)
			if f.servers["s0"].stalled(late) {
				t.Error("a server counts as stalled for a request that waits behind all others")
			}
			if c.first {
				f.FirstByte(&choice, 0)
				if l := f.Loads(late); l[s0].Deferred != 0 || l[s0].Requests != 1 {
					t.Errorf("after the first byte reported as %v", l)
				}
			}
			f.Ended(&choice, CallerEnded, 0, late)
			if s := f.servers["s0"]; s.own != (load{}) || s.deferred != 0 {
				t.Errorf("load after the end: %+v, %d deferred", s.own, s.deferred)
			}
		})
	}
}

// TestDeferredRequestOfALostServer checks that an attempt counts as lost if its server sends
// nothing and misses its announcements, also if the attempt was deferred.
func TestDeferredRequestOfALostServer(t *testing.T) {
	f := busyFleet()
	choice := f.Choose(shortJob(), start)
	f.Started(&choice, start)
	v := testView(1)
	v.Servers[0].AgeMs = 6000
	end := start.Add(6 * time.Second)
	f.ApplyView(v, FullScope, end)
	if !f.Lost(&choice, end) {
		t.Error("not lost")
	}
}

// simulatedEngine runs requests in a limited number of slots, deferred requests after all
// others.
type simulatedEngine struct {
	f                *Fleet
	running, waiting []*simulatedRequest
	inTime           int
}

type simulatedRequest struct {
	choice       Choice
	arrived, end time.Time
}

const (
	engineSlots    = 16
	engineHoldTime = time.Second // time for which a request holds its slot
)

// step ends the requests that are complete and starts waiting ones.
func (e *simulatedEngine) step(now time.Time) {
	e.running = slices.DeleteFunc(e.running, func(r *simulatedRequest) bool {
		done := !r.end.After(now)
		if done {
			e.f.Ended(&r.choice, Served, 0, now)
		}
		return done
	})
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		next := max(0, slices.IndexFunc(e.waiting, func(r *simulatedRequest) bool { return !r.choice.Deferred }))
		r := e.waiting[next]
		e.waiting = slices.Delete(e.waiting, next, next+1)
		e.f.FirstByte(&r.choice, 0)
		if now.Sub(r.arrived) <= r.choice.job.Target {
			e.inTime++
		}
		r.end = now.Add(engineHoldTime)
		e.running = append(e.running, r)
	}
}

// TestOverloadServesSomeInTime simulates 20 s in which one engine receives 33 requests per
// second and can serve 16. In the order of arrival the queue soon exceeds the target and nearly
// all requests are late (0.05 in time). Deferral serves those in time that can still be.
func TestOverloadServesSomeInTime(t *testing.T) {
	f := newTestFleet(1)
	v := testView(1)
	v.Regions, v.Servers[0].Slots = nil, engineSlots
	f.ApplyView(v, FullScope, start)
	e := &simulatedEngine{f: f}
	all := 0
	for ms := 0; ms < 20_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		e.step(now)
		if ms%30 != 0 {
			continue
		}
		all++
		j := shortJob()
		j.Permits = only("west")
		if c := f.Choose(j, now); c.Server != nil {
			f.Started(&c, now)
			e.waiting = append(e.waiting, &simulatedRequest{choice: c, arrived: now})
		}
	}
	share := float64(e.inTime) / float64(all)
	t.Logf("%.2f of %d in time", share, all)
	if share < 0.35 {
		t.Errorf("%.2f of the requests in time, at least 0.35", share)
	}
}
