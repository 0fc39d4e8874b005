package dispatch

import (
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/incarnation"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestSoundServerIsUsedAgain guards against a server that is kept out of use by what was believed of it, and against one
// that left and is used again.
func TestSoundServerIsUsedAgain(t *testing.T) {
	gone := func(start int64, events ...uint64) *pb.FleetServer {
		return &pb.FleetServer{Id: "s0", Start: start, Gone: true, Departures: events}
	}
	live := func(start int64, edit func(m *pb.FleetServer)) *pb.FleetServer {
		m := testView(1).Servers[0]
		m.Start, m.Sequence = start, 9
		if edit != nil {
			edit(m)
		}
		return m
	}
	overruled := func(events ...uint64) func(m *pb.FleetServer) {
		return func(m *pb.FleetServer) { m.Overruled = events }
	}
	view := func(m *pb.FleetServer) func(f *Fleet, now time.Time) {
		return func(f *Fleet, now time.Time) {
			f.ApplyView(&pb.FleetView{Servers: []*pb.FleetServer{m}}, ViewScope{}, now)
		}
	}
	misdirected := func(f *Fleet, now time.Time) { f.MarkGone("s0", 10, now) }
	heard := func(age time.Duration) func(f *Fleet, now time.Time) {
		return func(f *Fleet, now time.Time) {
			f.ApplyView(&pb.FleetView{HeardServers: []uint32{incarnation.Key("s0", 10)}, HeardAges: []uint32{uint32(age.Milliseconds() / registry.AgeUnitMS)}}, ViewScope{}, now)
		}
	}
	for _, c := range []struct {
		name  string
		steps []func(f *Fleet, now time.Time) // one a second
		start int64                           // of the server in use; 0 for none
	}{
		{"left", []func(f *Fleet, now time.Time){view(gone(10, 5)), view(live(10, nil))}, 0},
		{"left, which is overruled", []func(f *Fleet, now time.Time){view(gone(10, 5)), view(live(10, overruled(5)))}, 10},
		{"overruled, then a late view", []func(f *Fleet, now time.Time){view(gone(10, 5)), view(live(10, overruled(5))), view(live(10, nil))}, 10},
		{"left twice, one is overruled", []func(f *Fleet, now time.Time){view(gone(10, 5)), view(gone(10, 6)), view(live(10, overruled(5)))}, 0},
		{"left twice, both are overruled", []func(f *Fleet, now time.Time){view(gone(10, 5, 6)), view(live(10, overruled(6, 5)))}, 10},
		{"left, by a control host of an earlier version", []func(f *Fleet, now time.Time){view(gone(10)), view(live(10, overruled(5)))}, 0},
		{"left, and answered for another one", []func(f *Fleet, now time.Time){view(gone(10, 5)), misdirected, heard(0)}, 0},
		{"overruled, and is draining", []func(f *Fleet, now time.Time){view(gone(10, 5)), view(live(10, func(m *pb.FleetServer) { m.Overruled, m.Leaving = []uint64{5}, true }))}, 0},
		{"another one answered at its address", []func(f *Fleet, now time.Time){misdirected}, 0},
		{"another one answered, announced before", []func(f *Fleet, now time.Time){misdirected, heard(time.Second)}, 0},
		{"another one answered, announced since", []func(f *Fleet, now time.Time){misdirected, heard(0)}, 10},
		{"another one answered, a full view since", []func(f *Fleet, now time.Time){misdirected, view(live(10, nil))}, 10},
		{"another one answered while it was draining, announced since", []func(f *Fleet, now time.Time){
			view(live(10, func(m *pb.FleetServer) { m.Leaving = true })), misdirected, heard(0),
		}, 0},
		{"an earlier start", []func(f *Fleet, now time.Time){view(live(5, nil))}, 10},
		{"an earlier start that is proved", []func(f *Fleet, now time.Time){view(live(5, func(m *pb.FleetServer) { m.ProvedAgeMs = 1 }))}, 5},
		{"an earlier start, proved before this one was heard", []func(f *Fleet, now time.Time){view(live(5, func(m *pb.FleetServer) { m.ProvedAgeMs = 9000 }))}, 10},
		{"a start that a late one replaced", []func(f *Fleet, now time.Time){
			view(live(5, func(m *pb.FleetServer) { m.ProvedAgeMs = 1 })), view(live(10, func(m *pb.FleetServer) { m.ProvedAgeMs = 1 })),
		}, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(0)
			now := start
			f.ApplyView(&pb.FleetView{Servers: []*pb.FleetServer{live(10, nil)}}, FullScope, now)
			for _, step := range c.steps {
				now = now.Add(time.Second)
				step(f, now)
			}
			used := int64(0)
			if s := f.servers["s0"]; s != nil && f.usable(s, now) == "" && !f.IsGone(s) {
				used = s.Start
			}
			if used != c.start {
				t.Errorf("start %d is in use, want %d", used, c.start)
			}
		})
	}
}
