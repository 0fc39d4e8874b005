package quotashare

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// history simulates the tables that a group commits and the control hosts that follow them. A
// control host grants by the last table that it applied while its contact to the group is at most
// historyStaleness old, and its units stay in use for ReturnDelay.
type history struct {
	t         *rapid.T
	now       time.Time
	committed []*pb.IssuerShares
	planner   *Planner
	domains   []string
	hosts     []*historyHost
	stores    int
}

const (
	historyStaleness = 30 * time.Second
	historyStep      = 500 * time.Millisecond
)

type historyHost struct {
	store, address, domain string
	up                     bool
	fromLeader, toLeader   bool // whether messages arrive
	applied                int  // number of committed tables that it has applied
	reported               int  // the same, as the leader knows it
	currentAt              time.Time
	inUse                  []usage
}

// usage is a share of which units were given out until a time.
type usage struct {
	share uint32
	until time.Time
}

func (n *historyHost) use(share uint32, until time.Time) {
	for i := range n.inUse {
		if n.inUse[i].share == share {
			n.inUse[i].until = until
			return
		}
	}
	n.inUse = append(n.inUse, usage{share, until})
}

func (h *history) replace(n *historyHost) {
	h.stores++
	n.store, n.up, n.applied, n.reported, n.currentAt = fmt.Sprintf("%s.%d", n.address, h.stores), true, 0, 0, time.Time{}
}

func (h *history) table() *pb.IssuerShares {
	if len(h.committed) == 0 {
		return nil
	}
	return h.committed[len(h.committed)-1]
}

func (h *history) step() {
	h.now = h.now.Add(historyStep)
	for _, n := range h.hosts {
		if n.up && n.fromLeader {
			n.applied, n.currentAt = len(h.committed), h.now
		}
		if n.up && n.toLeader {
			n.reported = n.applied
		}
	}
	h.plan()
	h.grant()
}

func (h *history) plan() {
	v := View{FailureDomains: h.domains, Applied: func(s string) bool {
		return slices.ContainsFunc(h.hosts, func(n *historyHost) bool { return n.store == s && n.reported == len(h.committed) })
	}}
	for _, n := range h.hosts {
		if n.up && n.toLeader {
			v.Live = append(v.Live, Issuer{n.store, n.address, n.domain})
		}
	}
	next := h.planner.Next(h.table(), v, h.now)
	if next == nil {
		return
	}
	if err := Check(h.table(), next); err != nil {
		h.t.Fatal(err)
	}
	h.committed = append(h.committed, next)
}

// grant lets each control host that may grant have units of its whole share in use, and checks the
// sum.
func (h *history) grant() {
	sum := uint64(0)
	for _, n := range h.hosts {
		if n.up && !n.currentAt.IsZero() && h.now.Sub(n.currentAt) <= historyStaleness && n.applied > 0 {
			n.use(Of(h.committed[n.applied-1], n.store), h.now.Add(testOptions.ReturnDelay-2*historyStep))
		}
		n.inUse = slices.DeleteFunc(n.inUse, func(u usage) bool { return h.now.After(u.until) })
		most := uint32(0)
		for _, u := range n.inUse {
			most = max(most, u.share)
		}
		sum += uint64(most)
	}
	if sum > Whole {
		h.t.Fatalf("units of %.4f of the whole are in use", float64(sum)/Whole)
	}
}

func (h *history) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.step()
	}
}

// drawFault changes what a random control host, or all of a failure domain, can do.
func (h *history) drawFault() {
	n := rapid.SampledFrom(h.hosts).Draw(h.t, "host")
	affected := []*historyHost{n}
	if rapid.IntRange(0, 3).Draw(h.t, "whole_domain") == 0 {
		affected = slices.DeleteFunc(slices.Clone(h.hosts), func(o *historyHost) bool { return o.domain != n.domain })
	}
	fault := rapid.SampledFrom([]string{"cut", "cut from the leader", "cut to the leader", "heal", "stop", "start", "restart", "lost disk", "new leader"}).Draw(h.t, "fault")
	for _, n := range affected {
		switch fault {
		case "cut":
			n.fromLeader, n.toLeader = false, false
		case "cut from the leader":
			n.fromLeader = false
		case "cut to the leader":
			n.toLeader = false
		case "heal":
			n.fromLeader, n.toLeader = true, true
		case "stop":
			n.up = false
		case "start", "restart":
			n.up, n.currentAt = true, time.Time{}
		case "lost disk":
			// Units of the lost store stay in use at the entry hosts.
			h.hosts = append(h.hosts, &historyHost{store: n.store, address: n.address, domain: n.domain, inUse: n.inUse})
			n.inUse = nil
			h.replace(n)
		}
	}
	if fault == "new leader" {
		h.planner = NewPlanner(testOptions, h.now)
	}
}

// TestSharesNeverExceedTheWhole guards against control hosts that together grant more than a quota.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{t: rt, now: time.Unix(1000, 0)}
		h.planner = NewPlanner(testOptions, h.now)
		perDomain := rapid.IntRange(1, 24).Draw(rt, "per_domain")
		domains := rapid.IntRange(1, min(6, 1+24/perDomain)).Draw(rt, "domains")
		for d := range domains {
			h.domains = append(h.domains, fmt.Sprint("d", d))
			for i := range perDomain {
				n := &historyHost{address: fmt.Sprintf("d%dc%d", d, i), domain: h.domains[d], fromLeader: true, toLeader: true}
				h.replace(n)
				n.up = rapid.IntRange(0, 4).Draw(rt, "starts_later") > 0
				h.hosts = append(h.hosts, n)
			}
		}
		h.run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			h.drawFault()
			h.run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "half_seconds")) * historyStep)
		}
		for _, n := range h.hosts {
			n.fromLeader, n.toLeader = true, true
		}
		h.run(2 * (testOptions.FenceDelay + testOptions.ReturnDelay + testOptions.DomainGoneAfter))
		granted := 0.0
		for _, n := range h.hosts {
			if n.up {
				granted += Fraction(Of(h.table(), n.store))
			}
		}
		if up := slices.ContainsFunc(h.hosts, func(n *historyHost) bool { return n.up }); up && granted < 0.999 {
			rt.Fatalf("settled control hosts grant %.4f of the whole", granted)
		}
	})
}
