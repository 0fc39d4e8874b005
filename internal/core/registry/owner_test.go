package registry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamefork/sesamefork/internal/core/serverload"
)

// simulatedRegion holds the control hosts and entry hosts of a region. Each entry host has constant
// work at a backend server of its own, so that a sum shows how often the work was counted.
type simulatedRegion struct {
	now         time.Time
	registries  []*Registry
	hosts       []*simulatedHost
	partitioned map[[2]int]bool
	lastStep    time.Time // time of the last step
}

// simulatedHost is an entry host that has one primary control host at a time.
type simulatedHost struct {
	id          string
	owner       int
	unreachable bool // its sync requests are lost
	lastSync    time.Time
	owners      map[int]time.Time // last sync request to each control host as its primary
}

const (
	requestsPerHost  = 3
	exchangeInterval = 300 * time.Millisecond
	stepInterval     = 50 * time.Millisecond
)

func newRegion(controls, hosts int) *simulatedRegion {
	p := &simulatedRegion{now: at(0), lastStep: at(0), partitioned: map[[2]int]bool{}}
	for range controls {
		p.registries = append(p.registries, newRegistry())
	}
	for i := range hosts {
		p.hosts = append(p.hosts, &simulatedHost{id: fmt.Sprint("h", i), owner: i % controls, owners: map[int]time.Time{}})
	}
	return p
}

func (p *simulatedRegion) syncHost(i int) {
	h := p.hosts[i]
	if h.unreachable {
		return
	}
	h.lastSync, h.owners[h.owner] = p.now, p.now
	p.registries[h.owner].UpdateHost(Host{
		ID: h.id, Region: "west", FailureDomain: "w1", Ready: true, LastSeen: p.now, Direct: true, Primary: true,
		Loads: serverload.Loads{uint32(i + 1): {Requests: requestsPerHost}},
	}, p.now)
}

// exchangeState sends the state of one control host to another one, as an exchange does.
func (p *simulatedRegion) exchangeState(from, to int) {
	if p.partitioned[[2]int{from, to}] {
		return
	}
	r := p.registries[from]
	p.registries[to].UpdateControl(Control{Peer: fmt.Sprint("c", from), Region: "west", LastSeen: p.now, ServerLoads: r.OwnedLoads()})
	for _, h := range r.Hosts(p.now) {
		if r.SyncsHere(h, p.now) {
			m := *h
			m.Direct, m.Primary, m.LastSeen = false, h.Owned(), h.SyncedHereAt
			p.registries[to].UpdateHost(m, p.now)
		}
	}
}

// run advances the time in steps of stepInterval: every host sends sync requests, and all control
// hosts exchange their states every exchangeInterval.
func (p *simulatedRegion) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(stepInterval)
		for i := range p.hosts {
			p.syncHost(i)
		}
		if p.now.Sub(at(0))%exchangeInterval == 0 {
			for from := range p.registries {
				for to := range p.registries {
					if from != to {
						p.exchangeState(from, to)
					}
				}
			}
		}
		for _, r := range p.registries {
			r.Expire(p.lastStep, p.now)
		}
		p.lastStep = p.now
	}
}

// timesCounted returns how many times a control host counts a host's work.
func (p *simulatedRegion) timesCounted(reg, host int) int {
	return int(loadsOfOtherHosts(p.registries[reg], "")[uint32(host+1)].Requests) / requestsPerHost
}

// TestLoadsAreCountedOnce has several control hosts in a failure domain, and entry hosts that
// each sync with one of them. It guards against double counting: when each control host took
// every sync request as its own and sent a sum of them, eight control hosts reported twelve
// requests where there were three.
func TestLoadsAreCountedOnce(t *testing.T) {
	for _, controls := range []int{1, 2, 8, 24} {
		t.Run(fmt.Sprint(controls, " control hosts"), func(t *testing.T) {
			p := newRegion(controls, 30)
			p.run(time.Second)
			for reg := range p.registries {
				for host := range p.hosts {
					if n := p.timesCounted(reg, host); n != 1 {
						t.Fatalf("control host %d counts host %d %d times", reg, host, n)
					}
				}
			}
			own := loadsOfOtherHosts(p.registries[0], p.hosts[0].id)
			if own[1].Requests != 0 || len(own) != len(p.hosts)-1 {
				t.Errorf("host 0 gets %v", own)
			}
			if _, ok := p.registries[0].hosts["h1"]; !ok {
				t.Error("a host is not known everywhere")
			}
		})
	}
}

// TestNonPrimaryPresentationKeepsOwner checks that a sync request to a control host that is not the
// primary, as sent while the primary's view is out of date, does not change the owner.
func TestNonPrimaryPresentationKeepsOwner(t *testing.T) {
	p := newRegion(2, 1)
	p.run(time.Second)
	p.now = p.now.Add(stepInterval)
	p.registries[1].UpdateHost(Host{ID: "h0", Region: "west", FailureDomain: "w1", Ready: true, LastSeen: p.now, Direct: true}, p.now)
	p.exchangeState(1, 0)
	if n := p.timesCounted(0, 0); n != 1 {
		t.Errorf("the owner counts the host %d times", n)
	}
}

// TestLoadsWhileOwnersChange applies restarts of control hosts, partitions, and entry hosts that
// change to another control host after theirs has not answered for a lease. A host's work is
// never counted by more control hosts than recently owned it, in any order of messages, never
// negatively, and exactly once after the faults end.
func TestLoadsWhileOwnersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controls := rapid.IntRange(1, 6).Draw(t, "controls")
		p := newRegion(controls, rapid.IntRange(1, 5).Draw(t, "hosts"))
		lease := p.registries[0].o.HostLease
		one := rapid.IntRange(0, controls-1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				p.registries[one.Draw(t, "restarted")] = newRegistry()
			case 1:
				p.partitioned[[2]int{one.Draw(t, "from"), one.Draw(t, "to")}] = rapid.Bool().Draw(t, "cut")
			case 2:
				rapid.SampledFrom(p.hosts).Draw(t, "host").unreachable = true
			case 3:
				h := rapid.SampledFrom(p.hosts).Draw(t, "host")
				if p.now.Sub(h.lastSync) >= lease {
					h.owner, h.unreachable = one.Draw(t, "owner"), false
				}
			}
			p.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "ticks")) * stepInterval)
			for host, h := range p.hosts {
				owners := 0
				for _, last := range h.owners {
					if p.now.Sub(last) <= 2*lease+exchangeInterval {
						owners++
					}
				}
				for reg := range p.registries {
					if n := p.timesCounted(reg, host); n < 0 || n > owners {
						t.Fatalf("control host %d counts %s %d times; it had %d owners recently", reg, h.id, n, owners)
					}
				}
			}
		}
		clear(p.partitioned)
		for _, h := range p.hosts {
			h.unreachable = false
		}
		p.run(2*lease + 2*exchangeInterval)
		for reg := range p.registries {
			for host, h := range p.hosts {
				if n := p.timesCounted(reg, host); n != 1 {
					t.Fatalf("after the faults ended, control host %d counts %s %d times", reg, h.id, n)
				}
			}
		}
	})
}
