package dispatch

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// coldLimit returns the number of requests that a cold server tolerates in any second, given
// the rate for which it is configured.
func coldLimit(rate float64) float64 { return rate*1.5 + 3 }

// coldRegion simulates a region whose entry hosts all start within a second, receive the list
// of ready hosts from one control host after random delays, and share one cold server, with
// more requests than the server may get. Hosts stop and restart in the meantime.
type coldRegion struct {
	rnd   *rand.Rand
	rate  float64
	hosts []*Fleet
	names []string
	up    []time.Time // time from which a host is up; zero while it is down
	views []coldView
	sent  []time.Time
	// cutOffSince is the time since which a host has no control host; zero while it has one. Cut-off
	// hosts go on sending.
	cutOffSince []time.Time
	cutsOff     bool // hosts are cut off at random
	// apartSince is the time since which the control hosts of the two failure domains do not reach
	// each other; zero while they do.
	apartSince time.Time
}

// coldView is a list of ready hosts that a host requested, and that is delivered to it at a time.
type coldView struct {
	host            int
	requestedAt, at time.Time
	list            []int
}

const (
	coldStep     = 20 * time.Millisecond
	coldDuration = 8 * time.Second
	viewInterval = 250 * time.Millisecond
	// hostListLease is how long a control host lists a host after its last request.
	hostListLease = 1500 * time.Millisecond
)

func newColdRegion(seed int64) *coldRegion {
	rnd := rand.New(rand.NewSource(seed))
	r := &coldRegion{rnd: rnd, rate: 1 + 9*rnd.Float64()}
	for i := range 1 + rnd.Intn(12) {
		r.names = append(r.names, fmt.Sprint("h", i))
		r.up = append(r.up, start.Add(time.Duration(rnd.Intn(1000))*time.Millisecond))
		r.hosts = append(r.hosts, r.newHost(i))
		r.cutOffSince = append(r.cutOffSince, time.Time{})
	}
	return r
}

func (r *coldRegion) newHost(i int) *Fleet {
	return New(Options{
		Host: r.names[i], Region: "west", FailureDomain: domainOfHost(i), Random: r.rnd.Float64, Regions: map[string]string{"w1": "west", "w2": "west", "e1": "east"},
	})
}

func domainOfHost(i int) string { return fmt.Sprint("w", 1+i%2) }

// live returns the hosts that the control host of a failure domain lists at a time.
func (r *coldRegion) live(domain string, now time.Time) []int {
	var out []int
	for i, at := range r.up {
		lost := !r.cutOffSince[i].IsZero() && now.Sub(r.cutOffSince[i]) > hostListLease
		apart := !r.apartSince.IsZero() && now.Sub(r.apartSince) > hostListLease && domainOfHost(i) != domain
		if !at.IsZero() && !at.After(now) && !lost && !apart {
			out = append(out, i)
		}
	}
	return out
}

// cutOffOrRejoin cuts off a random host from its control host, or ends that.
func (r *coldRegion) cutOffOrRejoin(now time.Time) {
	if i := r.rnd.Intn(len(r.hosts)); r.cutOffSince[i].IsZero() {
		r.cutOffSince[i] = now
	} else {
		r.cutOffSince[i] = time.Time{}
	}
}

func (r *coldRegion) step(now time.Time) {
	if r.rnd.Intn(100) == 0 { // a host stops, or restarts without state
		i := r.rnd.Intn(len(r.hosts))
		if r.up[i].IsZero() {
			r.up[i], r.hosts[i] = now, r.newHost(i)
		} else {
			r.up[i] = time.Time{}
		}
	}
	if r.cutsOff && r.rnd.Intn(40) == 0 {
		r.cutOffOrRejoin(now)
	}
	for i := range r.hosts {
		if now.Sub(start)%viewInterval == 0 && !r.up[i].IsZero() && !r.up[i].After(now) && r.cutOffSince[i].IsZero() {
			delay := time.Duration(r.rnd.Int63n(int64(maxViewDelay)))
			r.views = append(r.views, coldView{i, now, now.Add(delay), r.live(domainOfHost(i), now)})
		}
	}
	var later []coldView
	for _, v := range r.views {
		if v.at.After(now) {
			later = append(later, v)
			continue
		}
		r.deliver(v, now)
	}
	r.views = later
	for i, f := range r.hosts {
		if !r.up[i].IsZero() && !r.up[i].After(now) && f.HasView() {
			r.send(f, now)
		}
	}
}

func (r *coldRegion) deliver(v coldView, now time.Time) {
	if r.up[v.host].IsZero() || r.up[v.host].After(now) {
		return
	}
	view := &pb.FleetView{Version: 1, Servers: []*pb.FleetServer{{
		Id: "s0", Service: "llm", Address: "a:1", FailureDomain: "w1", Slots: 128, ColdMs: uint64(2 * coldDuration.Milliseconds()),
	}}}
	for _, i := range v.list {
		view.Hosts = append(view.Hosts, &pb.FleetHost{Id: r.names[i], Region: "west", FailureDomain: domainOfHost(i), Ready: true})
	}
	scope := FullScope
	scope.RequestedAt = v.requestedAt
	r.hosts[v.host].ApplyView(view, scope, now)
}

func (r *coldRegion) send(f *Fleet, now time.Time) {
	for {
		j := shortJob()
		j.ColdPerSecond = r.rate
		c := f.Choose(j, now)
		if c.Server == nil {
			return
		}
		f.Started(&c, now)
		f.Ended(&c, Served, time.Millisecond, now)
		// The request arrives up to 100 ms later, as it may wait for a connection.
		r.sent = append(r.sent, now.Add(time.Duration(r.rnd.Intn(100))*time.Millisecond))
	}
}

// TestColdBoundAcrossHosts checks that all hosts of a region together send a cold server no
// more requests in any second than it tolerates, over random regions.
func TestColdBoundAcrossHosts(t *testing.T) {
	t.Parallel()
	checkColdBound(t, func(*coldRegion) {})
}

// TestColdBoundWhileHostsAreCutOff guards against senders that no control host answers.
func TestColdBoundWhileHostsAreCutOff(t *testing.T) {
	t.Parallel()
	checkColdBound(t, func(r *coldRegion) { r.cutsOff = true })
}

// TestColdBoundWhileControlHostsAreApart guards against one sender in each failure domain.
func TestColdBoundWhileControlHostsAreApart(t *testing.T) {
	t.Parallel()
	checkColdBound(t, func(r *coldRegion) { r.apartSince = start.Add(time.Second) })
}

func checkColdBound(t *testing.T, setUp func(r *coldRegion)) {
	t.Helper()
	used := 0
	for seed := range int64(500) {
		r := newColdRegion(seed)
		setUp(r)
		for at := time.Duration(0); at < coldDuration; at += coldStep {
			r.step(start.Add(at))
		}
		sort.Slice(r.sent, func(a, b int) bool { return r.sent[a].Before(r.sent[b]) })
		used += len(r.sent)
		for from, first := range r.sent {
			n := 0
			for _, at := range r.sent[from:] {
				if at.Sub(first) >= time.Second {
					break
				}
				n++
			}
			if float64(n) > coldLimit(r.rate) {
				t.Fatalf("seed %d, %d hosts: %d requests in the second from %s, the server tolerates %.1f", seed, len(r.hosts), n, first.Sub(start), coldLimit(r.rate))
			}
		}
	}
	if used == 0 {
		t.Error("no request was sent, so the bound was not tested")
	}
}

// TestColdBoundWithUnequalDelays guards against bursts of two seconds that arrive in one.
func TestColdBoundWithUnequalDelays(t *testing.T) {
	const rate, slowest = 10, 100 * time.Millisecond
	f := newTestFleet(1)
	v := testView(1)
	v.Regions, v.Servers[0].ColdMs = nil, uint64(coldDuration.Milliseconds())
	var arrivals []time.Time
	for at := time.Duration(0); at < coldDuration; at += coldStep {
		now := start.Add(at)
		f.ApplyView(v, FullScope, now)
		for {
			j := shortJob()
			j.ColdPerSecond = rate
			c := f.Choose(j, now)
			if c.Server == nil {
				break
			}
			f.Started(&c, now)
			f.Ended(&c, Served, time.Millisecond, now)
			delay := slowest
			if len(arrivals)/rate%2 == 1 {
				delay = 0
			}
			arrivals = append(arrivals, now.Add(delay))
		}
	}
	for _, first := range arrivals {
		n := 0
		for _, at := range arrivals {
			if !at.Before(first) && at.Sub(first) < time.Second {
				n++
			}
		}
		if float64(n) > coldLimit(rate) {
			t.Fatalf("%d requests in the second from %s, the server tolerates %.1f", n, first.Sub(start), coldLimit(rate))
		}
	}
}
