// Package process_test runs the real processes and injects faults: kills, freezes, network
// partitions and lost data folders.
package process_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/ctl"
	"github.com/sesamefork/sesamefork/internal/load"
)

// binDir is the folder of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sesame-bin")
	if err != nil {
		panic(err)
	}
	binDir = dir
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	signingKey = "1babba6c1e7868025ddc888e121e78af76c0055a16ed481c911ad6ffe39e4ec7"
	verifyKey  = "fbd8cb0d4c7ab3b5daab0917b3a720d94961b7a39ae1b2e8b50efbcaead6cc10"
	opKey      = "operator-key"
	backendKey = "backend-key"
	teamKey    = "team-key"
)

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// shape describes a fleet. By default, each failure domain has three entry hosts.
type shape struct {
	net     int        // second octet of the addresses, different for each fleet
	regions [][]string // names of the failure domains of each region
	engines int        // engines per failure domain
	record  map[string]any

	hostsIn          func(domain int) int // number of entry hosts of a failure domain; nil for 3 in each
	enginesIn        func(domain int) int // number of engines of a failure domain; nil for engines in each
	defaultIntervals bool                 // use the default intervals, and no relays

	memoryMB      int    // of each process, in MiB; 0 for no limit
	snapshotEvery int    // log entries between snapshots; 0 for 50
	crashOn       string // text in a request's body that crashes the stand-in that runs the request
}

func (s shape) hostCount(domain int) int {
	if s.hostsIn != nil {
		return s.hostsIn(domain)
	}
	return 3
}

func (s shape) engineCount(domain int) int {
	if s.enginesIn != nil {
		return s.enginesIn(domain)
	}
	return s.engines
}

// peerPort returns the port at which entry hosts connect to each other. It is the relay's if there
// are relays.
func (s shape) peerPort() string {
	if s.defaultIntervals {
		return ":7000"
	}
	return ":7001"
}

func (s shape) controlPort() string {
	if s.defaultIntervals {
		return ":7100"
	}
	return ":7101"
}

// host is one entry host of the fleet, or the control host on the same machine.
type host struct {
	id, region, domain, ip string
}

func (h host) url() string { return "http://" + h.ip + ":8080" }

// fleet is a running fleet of processes, with the clients and relays of a test.
type fleet struct {
	t        testing.TB
	s        shape
	dir      string
	hosts    []host
	domains  []string
	controls []host
	services []string
	mu       sync.Mutex
	procs    map[string]*exec.Cmd
	args     map[string][]string
	ctl      *ctl.Client
	relays   *relays
}

// controlAttempt bounds a call to one control host, which may be frozen.
const controlAttempt = 4 * time.Second

// newFleet starts a fleet and waits until every host is ready.
func newFleet(t testing.TB, s shape) *fleet {
	t.Helper()
	f := &fleet{t: t, s: s, dir: t.TempDir(), procs: map[string]*exec.Cmd{}, args: map[string][]string{}}
	t.Cleanup(f.stop)
	f.layout()
	f.startRelays()
	f.writeSettings()
	f.ctl = ctl.NewClient(strings.Join(f.operatorURLs(), ","), opKey)
	f.ctl.AttemptTimeout = controlAttempt
	for _, c := range f.controls {
		f.run(f.control(c), "-format")
		f.start("c-"+c.id, "sesame-control", "-settings", f.path("c-"+c.id+".toml"))
	}
	for _, h := range f.hosts {
		f.start(h.id, "sesame-entry", "-settings", f.path(h.id+".toml"))
	}
	f.apply(0, "first", f.record())
	f.startBackends()
	f.awaitServing()
	return f
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) operatorURLs() []string {
	var out []string
	for _, c := range f.controls {
		out = append(out, "http://"+c.ip+":8081")
	}
	return out
}

func (f *fleet) layout() {
	n := 0
	for i, domains := range f.s.regions {
		for _, d := range domains {
			n++
			f.domains = append(f.domains, d)
			for k := 1; k <= f.s.hostCount(n-1); k++ {
				f.hosts = append(f.hosts, host{fmt.Sprintf("%s%d", d, k), fmt.Sprintf("region%d", i+1), d, fmt.Sprintf("127.%d.%d.%d", f.s.net, n, k)})
			}
		}
	}
	for i := range 3 {
		h := f.hosts[i]
		if len(f.domains) >= 3 {
			h = f.firstOf(f.domains[i])
		}
		f.controls = append(f.controls, h)
	}
}

func (f *fleet) firstOf(domain string) host {
	for _, h := range f.hosts {
		if h.domain == domain {
			return h
		}
	}
	return host{}
}

// startRelays starts a relay in front of every host's peer address.
func (f *fleet) startRelays() {
	f.relays = newRelays()
	for _, h := range f.hosts {
		f.relays.domain[h.ip] = h.domain
	}
	if f.s.defaultIntervals {
		return
	}
	for _, h := range f.hosts {
		f.relays.add(f.t, h.ip+":7001", h.ip+":7000")
	}
	for _, c := range f.controls {
		f.relays.add(f.t, c.ip+":7101", c.ip+":7100")
	}
}

func quoted(list []string) string {
	if len(list) == 0 {
		return "[]"
	}
	data, _ := json.Marshal(list)
	return string(data)
}

func (f *fleet) writeSettings() {
	var control []string
	members := ""
	for _, c := range f.controls {
		control = append(control, c.ip+f.s.controlPort())
		members += fmt.Sprintf("\n[[group.members]]\nid = %q\npeer = %q\n", "c-"+c.id, c.ip+f.s.controlPort())
	}
	link := fmt.Sprintf("[link]\nkey = \"host-key\"\ncontrol = %s\nverify_key = %q\n", quoted(control), verifyKey)
	for _, c := range f.controls {
		f.write("c-"+c.id+".toml", fmt.Sprintf(`schema_version = 1
[host]
id = %q
region = %q
failure_domain = %q
[listen]
operator = %q
peer = %q
[store]
dir = %q
snapshot_every = %d
%s
[group]
id = "test"
signing_key = %q
%s
bootstrap_operator_hash = %q
%s
[limits]
memory_mb = %d
`, "c-"+c.id, c.region, c.domain, c.ip+":8081", c.ip+":7100", f.path("data-"+c.id), f.snapshotEvery(), link, signingKey, f.tick(), hash(opKey), members, f.s.memoryMB))
	}
	for _, h := range f.hosts {
		var seeds []string
		for _, o := range f.hosts {
			if o.domain == h.domain && o.id != h.id {
				seeds = append(seeds, o.ip+f.s.peerPort())
			}
		}
		f.write(h.id+".toml", fmt.Sprintf(`schema_version = 1
[host]
id = %q
region = %q
failure_domain = %q
[listen]
caller = %q
peer = %q
debug = %q
%s
%s
seeds = %s
`, h.id, h.region, h.domain, h.ip+":8080", h.ip+":7000", h.ip+":9090", f.intervals(), link, quoted(seeds)))
	}
}

// snapshotEvery is the number of log entries between snapshots.
func (f *fleet) snapshotEvery() int {
	if f.s.snapshotEvery > 0 {
		return f.s.snapshotEvery
	}
	return 50
}

// tick returns a short consensus tick, or none for the default.
func (f *fleet) tick() string {
	if f.s.defaultIntervals {
		return ""
	}
	return "tick_ms = 30"
}

// intervals returns settings with short intervals, so that faults are detected quickly.
func (f *fleet) intervals() string {
	if f.s.defaultIntervals {
		return ""
	}
	return fmt.Sprintf(`[timing]
probe_ms = 300
update_ms = 200
summary_ms = 500
lease_ms = 1500
clock_skew_ms = 300
[limits]
stall_timeout_ms = 1500
drain_timeout_ms = 20000
drain_linger_ms = 1500
memory_mb = %d`, f.s.memoryMB)
}

func (f *fleet) write(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(f.path(name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// record returns the fleet's configuration record, with the shape's changes.
func (f *fleet) record() map[string]any {
	var regions, hosts []map[string]any
	for i, domains := range f.s.regions {
		regions = append(regions, map[string]any{"name": fmt.Sprintf("region%d", i+1), "failure_domains": domains})
	}
	for _, h := range f.hosts {
		hosts = append(hosts, map[string]any{
			"id": h.id, "region": h.region, "failure_domain": h.domain, "peer": h.ip + f.s.peerPort(), "caller": h.url(),
		})
	}
	out := map[string]any{
		"schema_version": 2, "regions": regions, "hosts": hosts,
		"backend_key_hashes": []string{hash(backendKey)},
		"models":             []map[string]any{{"name": "chat"}},
		"services":           []map[string]any{{"name": "shop", "non_idempotent": true}},
		"residency":          []map[string]any{{"kind": "default"}, {"kind": "bound", "home_only": true}},
		"operators":          []map[string]any{{"name": "operator", "key_hashes": []string{hash(opKey)}}},
		"teams": []map[string]any{
			{"name": "free", "home": "region1", "key_hashes": []string{hash(teamKey)}},
			{"name": "bound", "home": "region1", "kind": "bound", "key_hashes": []string{hash("bound-key")}},
		},
		"policy": map[string]any{"preset": "railhalt", "default_deadline_ms": 15000, "retry_budget": 0.5},
		"ledger": map[string]any{"replicas": 3, "retention_ms": 600000},
	}
	for k, v := range f.s.record {
		out[k] = v
	}
	return out
}

// tryApply proposes a record once and returns the error.
func (f *fleet) tryApply(base uint64, id string, record map[string]any) (uint64, error) {
	raw, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var out operatorhttp.ChangeResult
	err = f.ctl.Do(ctx, http.MethodPut, "/v1/config", operatorhttp.Change{BaseVersion: base, ChangeID: id, Reason: id, Record: raw}, &out)
	return out.Version, err
}

func (f *fleet) apply(base uint64, id string, record map[string]any) uint64 {
	f.t.Helper()
	var version uint64
	f.await("change "+id+" accepted", func() bool {
		v, err := f.tryApply(base, id, record)
		version = v
		return err == nil
	})
	return version
}

func (f *fleet) startBackends() {
	for n, d := range f.domains {
		var entries []string
		for _, h := range f.hosts {
			if h.domain == d {
				entries = append(entries, h.url())
			}
		}
		interval := "300ms"
		if f.s.defaultIntervals {
			interval = "1s"
		}
		common := []string{"-entries", strings.Join(entries, ","), "-key", backendKey, "-interval", interval, "-lag", "300ms", "-crash-on", f.s.crashOn}
		for k := range f.s.engineCount(n) {
			id := fmt.Sprintf("%s-engine%d", d, k+1)
			addr := fmt.Sprintf("127.%d.%d.%d:9000", f.s.net, n+1, 101+k)
			f.start(id, "sesame-standin", append([]string{"-id", id, "-listen", addr, "-models", "chat", "-decode", "4ms", "-slots", "8"}, common...)...)
		}
		if f.s.engineCount(n) == 0 {
			continue
		}
		id := d + "-shop"
		addr := fmt.Sprintf("127.%d.%d.201:9000", f.s.net, n+1)
		f.services = append(f.services, addr)
		f.start(id, "sesame-standin", append([]string{"-id", id, "-listen", addr, "-kind", "service", "-models", "shop", "-slots", "16"}, common...)...)
	}
}

// run runs a program and waits until it has exited.
func (f *fleet) run(name string, args ...string) {
	f.t.Helper()
	parts := strings.Fields(name)
	out, err := exec.Command(filepath.Join(binDir, parts[0]), append(parts[1:], args...)...).CombinedOutput()
	if err != nil {
		f.t.Fatalf("%s: %v\n%s", name, err, out)
	}
}

func (f *fleet) control(c host) string {
	return "sesame-control -settings " + f.path("c-"+c.id+".toml")
}

// start starts a process and registers it under a name.
func (f *fleet) start(name, binary string, args ...string) {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(binDir, binary), args...)
	logFile, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = logFile.Close() }()
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs[name] = cmd
	f.args[name] = append([]string{binary}, args...)
}

func (f *fleet) proc(name string) *exec.Cmd {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[name]
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	if err := f.proc(name).Process.Signal(s); err != nil {
		f.t.Fatalf("%s: %v", name, err)
	}
}

// kill sends SIGKILL to a process and waits for its end.
func (f *fleet) kill(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	_, _ = f.proc(name).Process.Wait()
}

// terminate sends SIGTERM to a process and returns its exit code.
func (f *fleet) terminate(name string) int {
	f.t.Helper()
	f.signal(name, syscall.SIGTERM)
	st, err := f.proc(name).Process.Wait()
	if err != nil {
		f.t.Fatal(err)
	}
	return st.ExitCode()
}

// restart starts an ended process again, with the same arguments.
func (f *fleet) restart(name string) {
	f.mu.Lock()
	args := f.args[name]
	f.mu.Unlock()
	f.start(name, args[0], args[1:]...)
}

func (f *fleet) stop() {
	f.relays.close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	for _, p := range f.procs {
		_, _ = p.Process.Wait()
	}
	if f.t.Failed() {
		f.dumpLogs()
	}
}

func (f *fleet) dumpLogs() {
	names, _ := filepath.Glob(f.path("*.log"))
	for _, n := range names {
		data, _ := os.ReadFile(n)
		lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
		for _, l := range lines[max(0, len(lines)-8):] {
			f.t.Logf("%s: %s", filepath.Base(n), l)
		}
	}
}

// waitTimeout bounds every wait for a condition.
const waitTimeout = 60 * time.Second

// await waits until the condition holds.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not reached: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// vars returns an entry host's metrics, or nil if it does not answer.
func (f *fleet) vars(h host) map[string]any {
	resp, err := http.Get("http://" + h.ip + ":9090/debug/vars")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Sesame map[string]any `json:"sesame"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return out.Sesame
}

// awaitServing waits until each entry host is ready, all of its ledger partitions are active, and
// it has recorded all backend servers of its failure domain.
func (f *fleet) awaitServing() {
	f.t.Helper()
	for _, h := range f.hosts {
		f.awaitHost(h)
	}
}

func (f *fleet) awaitHost(h host) {
	f.t.Helper()
	f.await(h.id+" serving", func() bool {
		v := f.vars(h)
		servers, _ := v["backend_servers"].(map[string]any)
		want := 0
		if n := f.s.engineCount(slices.Index(f.domains, h.domain)); n > 0 {
			want = n + 1
		}
		parts, _ := v["ledger_partitions"].(map[string]any)
		resp, err := http.Get(h.url() + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK && len(servers) == want && parts["active"] == parts["total"]
	})
}

func (f *fleet) awaitVersion(version uint64, hosts []host) {
	f.t.Helper()
	for _, h := range hosts {
		f.await(fmt.Sprintf("version %d on %s", version, h.id), func() bool {
			got, _ := f.vars(h)["config_version"].(float64)
			return uint64(got) >= version
		})
	}
}

// loadOptions returns the options of a load of chats and orders from every region.
func (f *fleet) loadOptions(count int, rate float64) load.Options {
	var regions []string
	for i := range f.s.regions {
		regions = append(regions, fmt.Sprintf("region%d", i+1))
	}
	o := load.Options{
		Model: "chat", Service: "shop", Services: f.services, Rate: rate, Count: count, ChatShare: 0.5,
		Stream: true, MaxTokens: 20, Deadline: 12 * time.Second, Tries: 12, Seed: 1,
		Prompts: []string{strings.Repeat("the finding aid of the Johor land office, box by box. ", 60), "short"},
	}
	for _, r := range regions {
		t := load.Team{Name: "free", Key: teamKey, Region: r, Regions: regions}
		for _, h := range f.hosts {
			if h.region == r {
				t.Entries = append(t.Entries, h.url())
			}
		}
		t.Name = "free@" + r
		o.Teams = append(o.Teams, t)
	}
	bound := o.Teams[0]
	bound.Name, bound.Key, bound.Regions = "bound", "bound-key", []string{"region1"}
	o.Teams = append(o.Teams, bound)
	return o
}

// checkReport fails the test if a guarantee was violated or nothing was answered.
func (f *fleet) checkReport(r *load.Report) {
	f.t.Helper()
	data, _ := json.Marshal(r)
	f.t.Logf("%s", data)
	if n := r.Violations(); n > 0 {
		f.t.Errorf("%d violated guarantees: %v", n, r.Broken)
	}
	if r.Answered == 0 {
		f.t.Error("no request was answered; the run is inconclusive")
	}
}
