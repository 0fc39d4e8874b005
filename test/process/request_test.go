package process_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/load"
)

// oneRegion returns the shape of one region with three failure domains, like the archive's.
func oneRegion(net int) shape {
	return shape{net: net, regions: [][]string{{"a", "b", "c"}}, engines: 2}
}

// threeRegions returns the shape of three regions with one failure domain each, like Railhalt's.
func threeRegions(net int) shape {
	return shape{net: net, regions: [][]string{{"a"}, {"b"}, {"c"}}, engines: 2}
}

// underLoad runs the script during a load, and checks the load's report.
func underLoad(f *fleet, o load.Options, script func()) *load.Report {
	f.t.Helper()
	var wg sync.WaitGroup
	var rep *load.Report
	wg.Add(1)
	go func() {
		defer wg.Done()
		rep = load.Run(context.Background(), o)
	}()
	script()
	wg.Wait()
	f.checkReport(rep)
	return rep
}

// Size of the load during a fault script. It lasts about 10 s.
const (
	loadCount = 800
	loadRate  = 80 // requests per second
)

// stepPause is the pause between the steps of a fault script. No result depends on it: the
// guarantees hold in whatever state a step finds the fleet.
const stepPause = 1500 * time.Millisecond

func TestRequestsUnderFaults(t *testing.T) {
	for i, c := range []struct {
		name   string
		shape  func(int) shape
		script func(*fleet)
	}{
		{"undisturbed", threeRegions, func(*fleet) {}},
		{"entry hosts killed", oneRegion, func(f *fleet) {
			for _, id := range []string{"a1", "b2"} {
				f.kill(id)
				time.Sleep(stepPause)
				f.restart(id)
				time.Sleep(stepPause)
			}
		}},
		{"entry host frozen", oneRegion, func(f *fleet) {
			f.signal("a2", syscall.SIGSTOP)
			time.Sleep(3 * stepPause)
			f.signal("a2", syscall.SIGCONT)
		}},
		{"region cut off", threeRegions, func(f *fleet) {
			time.Sleep(stepPause)
			f.isolate("a", true)
			time.Sleep(2 * stepPause)
			f.isolate("a", false)
		}},
		{"failure domain cut off", oneRegion, func(f *fleet) {
			time.Sleep(stepPause)
			f.isolate("b", true)
			time.Sleep(2 * stepPause)
			f.isolate("b", false)
		}},
		{"engines break off, stall and refuse", threeRegions, func(f *fleet) {
			for _, d := range f.domains {
				for k := range f.s.engines {
					f.setFaults(d, k, "die=0.1,refuse=0.1,stall=0.02,late=0.01")
				}
			}
		}},
		{"service loses answers", oneRegion, func(f *fleet) {
			for n := range f.domains {
				f.post(fmt.Sprintf("http://127.%d.%d.201:9000/admin/faults?set=lost=0.1,refuse=0.2", f.s.net, n+1))
			}
		}},
		{"backend server killed and entry host killed", threeRegions, func(f *fleet) {
			f.kill("a-engine1")
			f.kill("a1")
			time.Sleep(2 * stepPause)
			f.restart("a1")
			f.restart("a-engine1")
		}},
		{"entry host killed while a region is cut off", threeRegions, func(f *fleet) {
			f.isolate("c", true)
			time.Sleep(stepPause)
			f.kill("c1")
			time.Sleep(stepPause)
			f.isolate("c", false)
			f.restart("c1")
		}},
		{"half of the backend servers killed", threeRegions, func(f *fleet) {
			for _, d := range f.domains {
				f.kill(d + "-engine1")
			}
			time.Sleep(2 * stepPause)
			for _, d := range f.domains {
				f.restart(d + "-engine1")
			}
		}},
		{"two of three ledger replicas killed", threeRegions, func(f *fleet) {
			f.kill("a1")
			f.kill("a2")
			time.Sleep(stepPause)
			f.restart("a1")
			f.restart("a2")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, c.shape(50+i))
			underLoad(f, f.loadOptions(loadCount, loadRate), func() { c.script(f) })
			f.awaitServing()
		})
	}
}

func (f *fleet) post(url string) {
	f.t.Helper()
	resp, err := http.Post(url, "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func (f *fleet) setFaults(domain string, engine int, faults string) {
	for n, d := range f.domains {
		if d == domain {
			f.post(fmt.Sprintf("http://127.%d.%d.%d:9000/admin/faults?set=%s", f.s.net, n+1, 101+engine, faults))
		}
	}
}

// TestGracefulShutdown sends SIGTERM to an entry host and a backend server under load. Both must
// finish the requests in flight and exit with 0, and no request may be cut.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, oneRegion(48))
	rep := underLoad(f, f.loadOptions(loadCount, loadRate), func() {
		time.Sleep(stepPause)
		if code := f.terminate("a1"); code != 0 {
			t.Errorf("exit code %d, want 0", code)
		}
		if code := f.terminate("b-engine1"); code != 0 {
			t.Errorf("backend server: exit code %d, want 0", code)
		}
	})
	if rep.Unknown > 0 {
		t.Errorf("%d requests ended without a known outcome during a graceful shutdown: %v", rep.Unknown, rep.Failures)
	}
}

// TestIsolatedFailureDomainServes partitions one failure domain from the other two of its region.
// It must answer chats, and refuse orders immediately as not run with a Retry-After, since no
// majority of a key's replicas is reachable.
func TestIsolatedFailureDomainServes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, oneRegion(47))
	f.isolate("a", true)
	o := f.loadOptions(100, 50)
	o.Teams, o.ChatShare = o.Teams[:1], 1
	f.onlyHostsOf(&o, "a")
	rep := load.Run(context.Background(), o)
	f.checkReport(rep)
	if rep.Answered != rep.Requests {
		t.Errorf("%d of %d chats answered: %v", rep.Answered, rep.Requests, rep.Failures)
	}
	o.ChatShare, o.Tries, o.Seed, o.Count = 0, 1, 2, 20
	orders := load.Run(context.Background(), o)
	if orders.NotRun != orders.Requests || orders.Failures[string(failure.NoQuorum)] != orders.Requests || orders.Violations() > 0 {
		t.Errorf("orders of an isolated failure domain: %+v", orders)
	}
	f.isolate("a", false)
	f.awaitServing()
	o.Tries, o.Seed = 12, 3
	f.checkReport(load.Run(context.Background(), o))
}

// onlyHostsOf limits the entry hosts of a load's teams to those of one failure domain.
func (f *fleet) onlyHostsOf(o *load.Options, domain string) {
	for i := range o.Teams {
		o.Teams[i].Entries = nil
		for _, h := range f.hosts {
			if h.domain == domain {
				o.Teams[i].Entries = append(o.Teams[i].Entries, h.url())
			}
		}
	}
}

// TestIsolatedRegionServes partitions a region from all others and from the majority of the
// control group. It must still answer its own callers, including their orders.
func TestIsolatedRegionServes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeRegions(49))
	f.isolate("a", true)
	o := f.loadOptions(200, 50)
	o.Teams = o.Teams[:1] // callers in region1, which is the team's home region
	rep := load.Run(context.Background(), o)
	f.checkReport(rep)
	if rep.Answered != rep.Requests || rep.Away > 0 {
		t.Errorf("%d of %d answered, %d in another region", rep.Answered, rep.Requests, rep.Away)
	}
	f.isolate("a", false)
	version := f.apply(1, "after the cut", f.record())
	f.awaitVersion(version, f.hosts)
}
