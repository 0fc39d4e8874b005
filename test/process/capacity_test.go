package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/load"
)

// usage holds the resources that a process has used.
type usage struct {
	cpu      time.Duration
	sent     float64
	received float64
	rss      float64
}

const clockTicks = 100 // per second, the unit of times in /proc/<pid>/stat

func (f *fleet) usage(name, vars string) usage {
	pid := f.proc(name).Process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	pages, _ := strconv.ParseFloat(strings.Fields(string(statm))[1], 64)
	u := usage{cpu: time.Duration((user + system) / clockTicks * float64(time.Second)), rss: pages * float64(os.Getpagesize())}
	req, _ := http.NewRequest(http.MethodGet, vars, nil)
	req.Header.Set("Authorization", "Bearer "+opKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return u
	}
	defer func() { _ = resp.Body.Close() }()
	var v struct {
		Sesame map[string]any `json:"sesame"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&v)
	u.sent, _ = v.Sesame["link_bytes_sent"].(float64)
	u.received, _ = v.Sesame["link_bytes_received"].(float64)
	return u
}

// measureDuration is the duration of a measurement.
const measureDuration = 20 * time.Second

// BenchmarkIdleNode measures the resources that real processes use for control traffic while there
// are no requests, by the number of entry hosts and backend servers of the failure domain and by
// the number of failure domains. The last case is a failure domain of the target size among 26,
// with 2,000 teams. Bytes are those written to and read from TCP connections.
func BenchmarkIdleNode(b *testing.B) {
	for i, c := range []struct{ hosts, engines, domains, teams int }{
		{3, 7, 3, 2}, {8, 7, 3, 2}, {14, 7, 3, 2}, {8, 31, 3, 2}, {8, 7, 13, 2}, {14, 31, 26, 2000},
	} {
		b.Run(fmt.Sprintf("hosts=%d/servers=%d/domains=%d/teams=%d", c.hosts, c.engines+1, c.domains, c.teams), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, 100+i, c.hosts, c.engines, c.domains, c.teams)
			}
		})
	}
}

func capacityShape(net, hosts, engines, domains, teams int) shape {
	s := shape{net: net, defaultIntervals: true, hostsIn: func(d int) int {
		if d == 0 {
			return hosts
		}
		return 1
	}, enginesIn: func(d int) int {
		if d == 0 {
			return engines
		}
		return 0
	}}
	for d := range domains {
		if d%4 == 0 {
			s.regions = append(s.regions, nil)
		}
		last := len(s.regions) - 1
		s.regions[last] = append(s.regions[last], fmt.Sprintf("d%02dx", d))
	}
	var list []map[string]any
	for i := range teams {
		list = append(list, map[string]any{"name": fmt.Sprintf("team-%04d", i), "home": "region1", "key_hashes": []string{hash(fmt.Sprint("team", i))}})
	}
	s.record = map[string]any{"teams": list}
	return s
}

func measureIdle(b *testing.B, net, hosts, engines, domains, teams int) {
	f := newFleet(b, capacityShape(net, hosts, engines, domains, teams))
	time.Sleep(5 * time.Second)
	type node struct{ role, name, vars string }
	nodes := []node{
		{"summariser", f.hosts[0].id, "http://" + f.hosts[0].ip + ":9090/debug/vars"},
		{"host", f.hosts[hosts-1].id, "http://" + f.hosts[hosts-1].ip + ":9090/debug/vars"},
	}
	leader := f.leader()
	for _, c := range f.controls {
		role := "follower"
		if "c-"+c.id == leader {
			role = "leader"
		}
		nodes = append(nodes, node{role, "c-" + c.id, "http://" + c.ip + ":8081/debug/vars"})
	}
	before := map[string]usage{}
	for _, n := range nodes {
		before[n.name] = f.usage(n.name, n.vars)
	}
	time.Sleep(measureDuration)
	for _, n := range nodes {
		a, z := before[n.name], f.usage(n.name, n.vars)
		s := measureDuration.Seconds()
		b.ReportMetric((z.sent-a.sent)/s, n.role+"-sent-B/s")
		b.ReportMetric((z.received-a.received)/s, n.role+"-recv-B/s")
		b.ReportMetric(100*(z.cpu-a.cpu).Seconds()/s, n.role+"-cpu-%")
		b.ReportMetric(z.rss/1e6, n.role+"-MB")
	}
	f.stop()
}

// loadRequests is the number of requests of one load.
const loadRequests = 2000

// BenchmarkLoad measures the CPU time that the entry hosts use per request and the latencies, by
// the kind of request.
func BenchmarkLoad(b *testing.B) {
	for i, c := range []struct {
		name      string
		chatShare float64
		tokens    int
		rate      float64
	}{{"chats-of-20-tokens", 1, 20, 200}, {"chats-of-100-tokens", 1, 100, 80}, {"orders", 0, 20, 200}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				s := oneRegion(110 + i)
				s.defaultIntervals, s.engines = true, 3
				f := newFleet(b, s)
				time.Sleep(6 * time.Second)
				var before time.Duration
				for _, h := range f.hosts {
					before += f.usage(h.id, "http://"+h.ip+":9090/debug/vars").cpu
				}
				o := f.loadOptions(loadRequests, c.rate)
				o.ChatShare, o.MaxTokens = c.chatShare, c.tokens
				rep := load.Run(context.Background(), o)
				f.checkReport(rep)
				var after time.Duration
				for _, h := range f.hosts {
					after += f.usage(h.id, "http://"+h.ip+":9090/debug/vars").cpu
				}
				b.ReportMetric(float64((after-before).Microseconds())/loadRequests, "cpu-µs/request")
				b.ReportMetric(rep.TTFT.P50, "ttft-p50-ms")
				b.ReportMetric(rep.TTFT.P99, "ttft-p99-ms")
				b.ReportMetric(rep.Orders.P50, "order-p50-ms")
				b.ReportMetric(rep.Orders.P99, "order-p99-ms")
				f.stop()
			}
		})
	}
}

// BenchmarkChange measures the time until a change is accepted, and from then until it is in force
// on all nine entry hosts, with the default intervals.
func BenchmarkChange(b *testing.B) {
	const changes = 40
	for b.Loop() {
		s := threeRegions(120)
		s.defaultIntervals = true
		f := newFleet(b, s)
		accept, inForce := metrics.NewHistogram(), metrics.NewHistogram()
		for v := uint64(1); v <= changes; v++ {
			began := time.Now()
			f.apply(v, fmt.Sprint("change ", v), f.recordWithNote(fmt.Sprint(v)))
			accepted := time.Now()
			accept.Observe(accepted.Sub(began))
			f.awaitVersion(v+1, f.hosts)
			inForce.Observe(time.Since(accepted))
		}
		ms := func(h *metrics.Histogram, q float64) float64 { return float64(h.Percentile(q).Microseconds()) / 1000 }
		b.ReportMetric(ms(accept, 50), "accept-p50-ms")
		b.ReportMetric(ms(accept, 99), "accept-p99-ms")
		b.ReportMetric(ms(inForce, 50), "in-force-p50-ms")
		b.ReportMetric(ms(inForce, 100), "in-force-max-ms")
		f.stop()
	}
}

// BenchmarkLeaving measures the time from SIGTERM to a backend server, after which it announces
// that it leaves, until all entry hosts of its failure domain skip it.
func BenchmarkLeaving(b *testing.B) {
	for b.Loop() {
		s := oneRegion(121)
		s.defaultIntervals, s.engines = true, 5
		f := newFleet(b, s)
		h := metrics.NewHistogram()
		for k := 1; k <= 4; k++ {
			name := fmt.Sprintf("a-engine%d", k)
			began := time.Now()
			f.signal(name, syscall.SIGTERM)
			for _, host := range f.hosts[:3] {
				f.await(name+" skipped on "+host.id, func() bool {
					servers, _ := f.vars(host)["backend_servers"].(map[string]any)
					server, _ := servers[name].(map[string]any)
					return server["skip"] == "leaving"
				})
			}
			h.Observe(time.Since(began))
		}
		b.ReportMetric(float64(h.Percentile(100).Microseconds())/1000, "leaving-max-ms")
		f.stop()
	}
}

// BenchmarkRestart kills and restarts all control hosts after a number of changes, with snapshots
// and without, and measures the time until a linearizable read is answered. It includes the
// election timeout of 10 to 20 ticks of 30 ms.
func BenchmarkRestart(b *testing.B) {
	for i, c := range []struct{ changes, every int }{{1000, 256}, {1000, 1 << 19}, {10_000, 256}, {10_000, 1 << 19}} {
		b.Run(fmt.Sprintf("changes=%d/snapshot-every=%d", c.changes, c.every), func(b *testing.B) {
			for b.Loop() {
				s := controlOnly(130 + i)
				s.snapshotEvery = c.every
				f := newFleet(b, s)
				for v := uint64(1); v < uint64(c.changes); v++ {
					f.apply(v, fmt.Sprint("n", v), f.recordWithNote(fmt.Sprint(v)))
				}
				for _, h := range f.controls {
					f.kill("c-" + h.id)
				}
				began := time.Now()
				for _, h := range f.controls {
					f.restart("c-" + h.id)
				}
				f.expectNote(fmt.Sprint(c.changes-1), uint64(c.changes))
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "restart-ms")
				f.stop()
			}
		})
	}
}
