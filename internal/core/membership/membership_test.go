package membership

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// group simulates hosts that probe each other in virtual time.
type group struct {
	rnd   *rand.Rand
	now   time.Time
	lists map[string]*List
	ids   []string
	down  map[string]bool
	cut   map[[2]string]bool
	loss  float64
}

const interval = time.Second

func newGroup(n int) *group {
	g := &group{
		rnd: rand.New(rand.NewSource(1)), now: time.Unix(1_700_000_000, 0), lists: map[string]*List{},
		down: map[string]bool{}, cut: map[[2]string]bool{},
	}
	for i := range n {
		g.ids = append(g.ids, fmt.Sprintf("h%02d", i))
	}
	for i, id := range g.ids {
		g.boot(id, uint64(i+1))
	}
	return g
}

func (g *group) boot(id string, incarnation uint64) {
	g.lists[id] = New(Options{ID: id, SuspectTimeout: 4 * interval, Seed: int64(incarnation)}, incarnation)
	g.lists[id].SetHosts(g.ids, g.now)
}

func (g *group) reaches(a, b string) bool {
	return !g.down[a] && !g.down[b] && !g.cut[[2]string{a, b}] && g.rnd.Float64() >= g.loss
}

// exchange sends a probe from a to b and its acknowledgement back. It reports whether both
// arrived.
func (g *group) exchange(a, b string) bool {
	if !g.reaches(a, b) {
		return false
	}
	la, lb := g.lists[a], g.lists[b]
	lb.Merge(la.Updates(b), g.now)
	lb.RecordContact(a, la.Incarnation(), false, g.now)
	if !g.reaches(b, a) {
		return false
	}
	la.Merge(lb.Updates(a), g.now)
	la.RecordContact(b, lb.Incarnation(), false, g.now)
	return true
}

func (g *group) round() {
	g.now = g.now.Add(interval)
	for _, id := range g.ids {
		l := g.lists[id]
		if g.down[id] {
			continue
		}
		for _, target := range l.ProbeTargets() {
			g.probe(id, target)
		}
		l.Tick(g.now)
	}
}

// probe sends a direct probe, and indirect ones if it fails.
func (g *group) probe(id, target string) {
	l := g.lists[id]
	ok := g.exchange(id, target)
	if !ok {
		for _, h := range l.IndirectProbers(target, 2) {
			ok = g.reaches(id, h) && g.exchange(h, target) && g.reaches(h, id) || ok
		}
	}
	if !ok {
		l.RecordProbeFailure(target, g.now)
	}
}

// countMarkedDead counts the live hosts that have recorded id as dead.
func (g *group) countMarkedDead(id string) int {
	n := 0
	for _, other := range g.ids {
		if m, ok := g.lists[other].Get(id); ok && !g.down[other] && m.State == Dead {
			n++
		}
	}
	return n
}

func TestDeadHostIsFoundAndReturns(t *testing.T) {
	g := newGroup(14)
	for range 20 {
		g.round()
	}
	g.down["h03"] = true
	rounds := 0
	for ; g.countMarkedDead("h03") < 13; rounds++ {
		if rounds > 30 {
			t.Fatalf("after %d rounds only %d of 13 hosts have recorded the host as dead", rounds, g.countMarkedDead("h03"))
		}
		g.round()
	}
	t.Logf("recorded as dead by all hosts after %d probe intervals", rounds)
	delete(g.down, "h03")
	g.boot("h03", 1000)
	for rounds = 0; g.countMarkedDead("h03") > 0; rounds++ {
		if rounds > 15 {
			t.Fatalf("%d hosts still record the restarted host as dead", g.countMarkedDead("h03"))
		}
		g.round()
	}
	t.Logf("recorded as alive by all hosts after %d probe intervals", rounds)
}

// TestThawedHostLearnsThatItWasHeldDead suspends a host until it is declared
// dead. Its first exchange after it resumes must refute with a higher incarnation.
func TestThawedHostLearnsThatItWasHeldDead(t *testing.T) {
	g := newGroup(5)
	for range 10 {
		g.round()
	}
	g.down["h00"] = true
	for range 15 {
		g.round()
	}
	before := g.lists["h00"].Incarnation()
	delete(g.down, "h00")
	if !g.exchange("h00", "h01") {
		t.Fatal("the probe or its acknowledgement was lost")
	}
	if g.lists["h00"].Incarnation() <= before {
		t.Error("the resumed host did not raise its incarnation number")
	}
	g.exchange("h00", "h01")
	if m, _ := g.lists["h01"].Get("h00"); m.State != Alive {
		t.Errorf("recorded as %s after the refutation, want alive", m.State)
	}
}

// TestLossAloneKillsNobody loses 5% of the messages during 2,000 probe intervals: no host may
// be declared dead.
func TestLossAloneKillsNobody(t *testing.T) {
	g := newGroup(14)
	g.loss = 0.05
	deaths := 0
	for range 2000 {
		g.round()
		for _, id := range g.ids {
			for _, e := range g.lists[id].Events() {
				if e.State == Dead {
					deaths++
				}
			}
		}
	}
	if deaths > 0 {
		t.Errorf("%d hosts falsely declared dead in 2,000 probe intervals with 5%% loss", deaths)
	}
}

// TestOneBrokenLinkKillsNobody cuts the link between two hosts. Neither may be
// declared dead, because the other hosts reach both with indirect probes.
func TestOneBrokenLinkKillsNobody(t *testing.T) {
	g := newGroup(5)
	g.cut[[2]string{"h00", "h01"}], g.cut[[2]string{"h01", "h00"}] = true, true
	for range 100 {
		g.round()
		if g.countMarkedDead("h00")+g.countMarkedDead("h01") > 0 {
			t.Fatal("a host was declared dead because of one broken link")
		}
	}
}

func TestMerge(t *testing.T) {
	for _, c := range []struct {
		name string
		have Member
		u    *pb.MemberUpdate
		want State
	}{
		{"suspicion in the same incarnation", Member{Incarnation: 3}, &pb.MemberUpdate{Incarnation: 3, State: uint32(Suspect)}, Suspect},
		{"suspicion in an earlier incarnation", Member{Incarnation: 3}, &pb.MemberUpdate{Incarnation: 2, State: uint32(Suspect)}, Alive},
		{"alive does not override dead in the same incarnation", Member{Incarnation: 3, State: Dead}, &pb.MemberUpdate{Incarnation: 3}, Dead},
		{"alive in a higher incarnation overrides dead", Member{Incarnation: 3, State: Dead}, &pb.MemberUpdate{Incarnation: 4}, Alive},
		{"unknown state", Member{Incarnation: 3}, &pb.MemberUpdate{Incarnation: 9, State: 77}, Alive},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(Options{ID: "me"}, 1)
			l.SetHosts([]string{"x"}, time.Time{})
			m := c.have
			m.ID = "x"
			l.members["x"] = &m
			c.u.Host = "x"
			l.Merge([]*pb.MemberUpdate{c.u}, time.Time{})
			if got := l.members["x"].State; got != c.want {
				t.Errorf("state %s, want %s", got, c.want)
			}
		})
	}
}
