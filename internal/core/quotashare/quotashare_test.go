package quotashare

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

var testOptions = PlannerOptions{
	JoinDelay: time.Second, GoneAfter: 10 * time.Second, DomainGoneAfter: 30 * time.Second,
	ReturnDelay: 8 * time.Second, FenceDelay: 32 * time.Second,
}

func entry(store, domain string, share, held uint32) *pb.IssuerShare {
	return &pb.IssuerShare{Store: store, FailureDomain: domain, Address: store, Share: share, Held: held}
}

func TestCheck(t *testing.T) {
	const half = Whole / 2
	current := &pb.IssuerShares{Revision: 3, Issuers: []*pb.IssuerShare{entry("a", "x", half, half), entry("b", "x", 0, half)}}
	cases := []struct {
		name     string
		revision uint64
		next     []*pb.IssuerShare
		allowed  bool
	}{
		{"unchanged", 4, current.Issuers, true},
		{"planned from an older table", 3, current.Issuers, false},
		{"lowered and held", 4, []*pb.IssuerShare{entry("a", "x", 1, half)}, true},
		{"lowered and released at once", 4, []*pb.IssuerShare{entry("a", "x", 1, 1)}, false},
		{"removed while it has a share", 4, []*pb.IssuerShare{entry("b", "x", 0, half)}, false},
		{"one without a share released", 4, []*pb.IssuerShare{entry("a", "x", half, half)}, true},
		{"raised to the whole", 4, []*pb.IssuerShare{entry("a", "x", Whole, Whole)}, true},
		{"more than the whole in use", 4, []*pb.IssuerShare{entry("a", "x", Whole, Whole), entry("b", "x", 0, 1)}, false},
		{"a share above the held one", 4, []*pb.IssuerShare{entry("a", "x", Whole, half)}, false},
		{"not sorted", 4, []*pb.IssuerShare{entry("b", "x", 0, 0), entry("a", "x", half, half)}, false},
		{"listed twice", 4, []*pb.IssuerShare{entry("a", "x", half, half), entry("a", "x", half, half)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := Check(current, &pb.IssuerShares{Revision: c.revision, Issuers: c.next}); (err == nil) != c.allowed {
				t.Errorf("error %v, want allowed %t", err, c.allowed)
			}
		})
	}
}

// plannedGroup is a leader with a planner and control hosts that are live, apply each table at once,
// or do not.
type plannedGroup struct {
	t       *testing.T
	now     time.Time
	planner *Planner
	table   *pb.IssuerShares
	domains []string
	live    map[string]Issuer
	behind  map[string]bool // have not applied the current table
}

func newPlannedGroup(t *testing.T, domains ...string) *plannedGroup {
	g := &plannedGroup{t: t, now: time.Unix(1000, 0), domains: domains, live: map[string]Issuer{}, behind: map[string]bool{}}
	g.planner = NewPlanner(testOptions, g.now)
	return g
}

func (g *plannedGroup) add(store, address, domain string) {
	g.live[store] = Issuer{store, address, domain}
}

// run plans every 300 ms for a period.
func (g *plannedGroup) run(d time.Duration) {
	g.t.Helper()
	const interval = 300 * time.Millisecond
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(interval) {
		v := View{FailureDomains: g.domains, Applied: func(s string) bool { _, ok := g.live[s]; return ok && !g.behind[s] }}
		for _, i := range g.live {
			v.Live = append(v.Live, i)
		}
		next := g.planner.Next(g.table, v, g.now)
		if next == nil {
			continue
		}
		if err := Check(g.table, next); err != nil {
			g.t.Fatal(err)
		}
		g.table = next
	}
}

func (g *plannedGroup) shares() string {
	out := ""
	for _, e := range g.table.GetIssuers() {
		out += fmt.Sprintf("%s %.3f", e.Store, Fraction(e.Share))
		if e.Held != e.Share {
			out += fmt.Sprintf("/%.3f", Fraction(e.Held))
		}
		out += " "
	}
	return out
}

// TestSharesFollowTheControlHosts guards against a share that is lost for good and against one that is given on while it may be in use.
func TestSharesFollowTheControlHosts(t *testing.T) {
	type step struct {
		what string
		do   func(g *plannedGroup)
		wait time.Duration
		want string
	}
	lose := func(store string) func(g *plannedGroup) { return func(g *plannedGroup) { delete(g.live, store) } }
	nothing := func(*plannedGroup) {}
	settled := step{"four of two failure domains start together", func(g *plannedGroup) {
		for _, s := range []string{"a", "b"} {
			g.add(s, s, "x")
		}
		for _, s := range []string{"c", "d"} {
			g.add(s, s, "y")
		}
	}, 2 * time.Second, "a 0.250 b 0.250 c 0.250 d 0.250 "}
	cases := []struct {
		name  string
		steps []step
	}{
		{"one joins", []step{settled,
			{"it joins", func(g *plannedGroup) { g.add("e", "e", "y") }, 2 * time.Second, "a 0.250 b 0.250 c 0.167/0.250 d 0.167/0.250 e 0.000 "},
			{"the units of the others have returned", nothing, 8 * time.Second, "a 0.250 b 0.250 c 0.167 d 0.167 e 0.167 "},
		}},
		{"one joins while another has not applied the table", []step{settled,
			{"it joins", func(g *plannedGroup) { g.add("e", "e", "y"); g.behind["c"] = true }, 12 * time.Second, "a 0.250 b 0.250 c 0.167/0.250 d 0.167 e 0.000 "},
			{"the other can grant no more by the old table", nothing, 30 * time.Second, "a 0.250 b 0.250 c 0.167 d 0.167 e 0.167 "},
		}},
		{"one is gone for good", []step{settled,
			{"a restart is shorter", lose("a"), 9 * time.Second, settled.want},
			{"it counts as gone", nothing, 3 * time.Second, "a 0.000/0.250 b 0.250 c 0.250 d 0.250 "},
			{"it can grant no more", nothing, 40 * time.Second, "b 0.500 c 0.250 d 0.250 "},
		}},
		{"one returns before its share was given on", []step{settled,
			{"it counts as gone", lose("a"), 12 * time.Second, "a 0.000/0.250 b 0.250 c 0.250 d 0.250 "},
			{"it returns", func(g *plannedGroup) { g.add("a", "a", "x") }, 2 * time.Second, settled.want},
		}},
		{"one loses its disk", []step{settled,
			{"another store at its address", func(g *plannedGroup) { delete(g.live, "a"); g.add("e", "a", "x") }, 2 * time.Second, "a 0.000/0.250 b 0.250 c 0.250 d 0.250 e 0.000 "},
			{"the lost one can grant no more", nothing, 40 * time.Second, "b 0.250 c 0.250 d 0.250 e 0.250 "},
		}},
		{"a failure domain is partitioned", []step{settled,
			{"it keeps its part", func(g *plannedGroup) { lose("c")(g); lose("d")(g) }, 29 * time.Second, settled.want},
			{"it counts as gone", nothing, 2 * time.Second, "a 0.250 b 0.250 c 0.000/0.250 d 0.000/0.250 "},
			{"the other failure domain grants the whole", nothing, 41 * time.Second, "a 0.500 b 0.500 "},
			{"it returns", func(g *plannedGroup) { g.add("c", "c", "y"); g.add("d", "d", "y") }, 2 * time.Second, "a 0.250/0.500 b 0.250/0.500 c 0.000 d 0.000 "},
			{"the units of the others have returned", nothing, 8 * time.Second, settled.want},
		}},
		{"a failure domain has no control host", []step{
			{"its part is kept free at first", func(g *plannedGroup) { g.add("a", "a", "x") }, 2 * time.Second, "a 0.500 "},
			{"the other one grants the whole", nothing, 29 * time.Second, "a 1.000 "},
		}},
		{"those of a failure domain start one after the other", []step{
			{"the first", func(g *plannedGroup) { g.add("a", "a", "x") }, 600 * time.Millisecond, ""},
			{"the second", func(g *plannedGroup) { g.add("b", "b", "x") }, 2 * time.Second, "a 0.250 b 0.250 "},
		}},
		{"a new leader", []step{settled,
			{"one is gone", lose("a"), 12 * time.Second, "a 0.000/0.250 b 0.250 c 0.250 d 0.250 "},
			{"the leader changes", func(g *plannedGroup) { g.planner = NewPlanner(testOptions, g.now) }, 39 * time.Second, "a 0.000/0.250 b 0.250 c 0.250 d 0.250 "},
			{"the one that is gone can grant no more", nothing, 2 * time.Second, "b 0.500 c 0.250 d 0.250 "},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newPlannedGroup(t, "x", "y")
			for _, s := range c.steps {
				s.do(g)
				g.run(s.wait)
				if got := g.shares(); got != s.want {
					t.Fatalf("%s: shares %q, want %q", s.what, got, s.want)
				}
			}
		})
	}
}
