package dispatch

import (
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestStreamGoesToItsRelease guards against choices that know a server's ID or region but not its release.
func TestStreamGoesToItsRelease(t *testing.T) {
	v1 := "v1"
	for name, c := range map[string]struct {
		releases  []string // of the own region's servers, whose IDs may be used again
		elsewhere []string // of the other region's servers, as reported
		connected bool     // this host has connections to them
		lost      bool     // it lost them after the last announcement, and has opened others
		server    string   // "" for none
		region    bool     // the request goes to the other region
	}{
		"its release here":                        {[]string{"v1", "v2"}, nil, true, false, "s0", false},
		"its release elsewhere":                   {[]string{"v2", "v2"}, []string{"v1", "v2"}, true, false, "", true},
		"elsewhere, where releases are not named": {[]string{"v2", "v2"}, nil, true, false, "", true},
		"nowhere":                           {[]string{"v2", "v2"}, []string{"v2"}, true, false, "", false},
		"its release here, not connected":   {[]string{"v1", "v2"}, []string{"v2"}, false, false, "s0", false},
		"its server may have been replaced": {[]string{"v1", "v2"}, []string{"v2"}, true, true, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(1)
			v := testView(len(c.releases))
			for i, release := range c.releases {
				v.Servers[i].Release, v.Servers[i].Start = release, 1
			}
			for _, l := range v.Regions {
				l.Releases = c.elsewhere
			}
			f.ApplyView(v, FullScope, start)
			now := start.Add(time.Second)
			j := shortJob()
			j.Release = &v1
			j.Connected = func(string) bool { return c.connected }
			j.ProofWait = 100 * time.Millisecond
			if c.lost {
				f.RecordServerLost(f.servers["s0"], now)
			}
			choice := f.Choose(j, now)
			if (choice.Server != nil) != (c.server != "") || (choice.Server != nil && choice.Server.ID != c.server) || (choice.Host != nil) != c.region {
				t.Errorf("server %v, host %v, refused %q", choice.Server, choice.Host, choice.Refused)
			}
		})
	}
}

// TestStreamAvoidsTheWaitForAProof guards against streams that wait for the proof of a server's process though another
// server needs none, and against ones whose deadline passes in that wait.
func TestStreamAvoidsTheWaitForAProof(t *testing.T) {
	v1 := "v1"
	for name, c := range map[string]struct {
		connected map[string]bool // by address
		start     int64           // of the servers' processes
		remaining time.Duration
		server    string // "" if the request is refused
	}{
		"one of them is connected":  {map[string]bool{"s1:1": true}, 1, 10 * time.Second, "s1"},
		"no time for the proof":     {nil, 1, time.Second, ""},
		"connected, as little time": {map[string]bool{"s1:1": true}, 1, time.Second, "s1"},
		"IDs are never used again":  {nil, 0, time.Second, "s0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(1)
			v := testView(2)
			v.Regions = nil
			for _, s := range v.Servers {
				s.Release, s.Start, s.Address = v1, c.start, s.Id+":1"
			}
			f.ApplyView(v, FullScope, start)
			j := shortJob()
			j.Release, j.Remaining, j.ProofWait = &v1, c.remaining, 1800*time.Millisecond
			j.Connected = func(addr string) bool { return c.connected[addr] }
			choice := f.Choose(j, start.Add(time.Second))
			if got := choice.Server; (got == nil) != (c.server == "") || (got != nil && c.start != 0 && got.ID != c.server) {
				t.Errorf("server %v, refused %q", got, choice.Refused)
			}
		})
	}
}

// TestOnlyRelease checks when streams of an unnamed attempt may go on.
func TestOnlyRelease(t *testing.T) {
	f := newTestFleet(1)
	v := testView(2)
	v.Servers[0].Release, v.Servers[1].Release = "v1", "v1"
	f.ApplyView(v, FullScope, start)
	if release, only := f.OnlyRelease(v.Servers[0].Service); !only || release != "v1" {
		t.Errorf("release %q, only %v", release, only)
	}
	v.Regions = []*pb.RegionLoad{{Region: "east", Service: v.Servers[0].Service, Servers: 1, Releases: []string{"v2"}}}
	f.ApplyView(v, FullScope, start)
	if release, only := f.OnlyRelease(v.Servers[0].Service); only {
		t.Errorf("release %q is taken for the only one", release)
	}
}
