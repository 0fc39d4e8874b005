package bed2

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of the programs. Each process has an address of its own.
const (
	frontPort     = ":8144"
	readyPort     = ":8140"
	operatorPort  = ":8146"
	directoryPort = ":8143"
	peerPort      = "7660"
)

// Limits of the small deployments.
const (
	MemoryMB       = 284 // of an entry host
	MaxHeaderBytes = 16384
	maxBodyBytes   = 4194304
)

// heartbeat is the time between two check-ins of a server, as on the small deployments.
const heartbeat = 1200 * time.Millisecond

// Host is a process of the deployment.
type Host struct {
	Name, Zone, Region, IP string
	control                bool
	cmd                    *exec.Cmd
}

// Front returns the address for clients.
func (h *Host) Front() string { return h.IP + frontPort }

// PeakMB returns the most memory that the host's process has held, in MiB; 0 if it cannot be read.
func (h *Host) PeakMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// Kill kills the host's process.
func (h *Host) Kill() error {
	if err := h.cmd.Process.Kill(); err != nil {
		return err
	}
	_ = h.cmd.Wait() // it was killed
	return nil
}

// Ended reports whether the host's process has ended.
func (h *Host) Ended() bool { return h.cmd.Process.Signal(syscall.Signal(0)) != nil }

// Fleet is a deployment of one region and failure domain for each of its control hosts.
type Fleet struct {
	Controls, Entries []*Host
	net               int
	dir               string
	servers           byte // number of addresses given to servers
	client            *http.Client
}

// zones are the failure domains, of one region each, as in the small deployments.
const zones = 3

// firstNet is the first of the networks 127.N.0.0/16 that are tried.
const firstNet, lastNet = 90, 200

// NewFleet starts a deployment with a number of entry hosts in each failure domain.
func NewFleet(entries int) (*Fleet, error) {
	n, err := freeNet()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{net: n, dir: dir, client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}}
	for z := 1; z <= zones; z++ {
		zone, region := fmt.Sprintf("zone-%d", z), fmt.Sprintf("region-%d", z)
		f.Controls = append(f.Controls, &Host{Name: "control-" + zone, Zone: zone, Region: region, IP: fmt.Sprintf("127.%d.%d.1", n, z), control: true})
		for k := range entries {
			f.Entries = append(f.Entries, &Host{Name: fmt.Sprintf("entry-%s-%d", zone, k+1), Zone: zone, Region: region, IP: fmt.Sprintf("127.%d.%d.%d", n, z, 11+k)})
		}
	}
	for _, h := range f.hosts() {
		if err := f.start(h); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// freeNet returns a network whose first control address can be listened on.
func freeNet() (int, error) {
	for n := firstNet; n < lastNet; n++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1%s", n, operatorPort))
		if err == nil {
			return n, ln.Close()
		}
	}
	return 0, errors.New("no free loopback network")
}

func (f *Fleet) hosts() []*Host { return append(append([]*Host{}, f.Controls...), f.Entries...) }

// runLine finds the commands of the deploy file.
var runLine = regexp.MustCompile(`(?m)^run = "(\S+) -settings \S+"$`)

// Restart starts a host's program again after it has ended.
func (f *Fleet) Restart(h *Host) error { return f.start(h) }

// start starts a host's program with the deploy file's command and its settings.
func (f *Fleet) start(h *Host) error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	name, template := "sesame-entry", "entry"
	if h.control {
		name, template = "sesame-control", "control"
	}
	program := ""
	for _, m := range runLine.FindAllStringSubmatch(string(deploy), -1) {
		if filepath.Base(m[1]) == name {
			program = m[1]
		}
	}
	if program == "" {
		return fmt.Errorf("the deploy file has no command for %s", name)
	}
	settings, err := f.writeSettings(h, template)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command(program, "-settings", settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.cmd.Start()
}

// quotaSection is the part of the template that is rendered only with a quota.
var quotaSection = regexp.MustCompile(`(?s)\{\{#bounds\.quota_window_s\}\}.*?\{\{/bounds\.quota_window_s\}\}`)

func (f *Fleet) writeSettings(h *Host, template string) (string, error) {
	data, err := os.ReadFile("deploy/platform/" + template + ".toml.tmpl")
	if err != nil {
		return "", err
	}
	var regions strings.Builder
	var seeds []string
	for _, c := range f.Controls {
		fmt.Fprintf(&regions, "%q = %q\n", c.Zone, c.Region)
		seeds = append(seeds, c.IP+operatorPort)
	}
	list, _ := json.Marshal(seeds)
	text := quotaSection.ReplaceAllString(string(data), "")
	text = strings.NewReplacer(
		"{{#zones}}\n\"{{@}}\" = \"{{.}}\"\n{{/zones}}", regions.String(),
		"{{node}}", h.Name, "{{region}}", h.Region, "{{zone}}", h.Zone, "{{ip}}", h.IP, "{{internal_port_range.0}}", peerPort,
		"{{listen.front}}", h.IP+frontPort, "{{listen.ready}}", h.IP+readyPort, "{{listen.control}}", h.IP+operatorPort,
		"{{listen.directory}}", h.IP+directoryPort, "{{data_dir}}", filepath.Join(f.dir, "data-"+h.Name), "{{limits.memory_mb}}", fmt.Sprint(MemoryMB),
		"{{bounds.grace_s}}", "8", "{{bounds.retry_ratio}}", "0.2", "{{bounds.retry_slack}}", "56", "{{bounds.retry_window_s}}", "10",
		"{{seeds|json}}", string(list), "{{heartbeat_ms}}", fmt.Sprint(heartbeat.Milliseconds()), "{{bootstrap}}", "true",
	).Replace(text)
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("a placeholder of %s was not replaced", template)
	}
	path := filepath.Join(f.dir, h.Name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Stop ends all processes of the deployment and removes its folder.
func (f *Fleet) Stop() {
	for _, h := range f.hosts() {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}
	_ = os.RemoveAll(f.dir)
}

// call sends a call and returns the status of its answer.
func (f *Fleet) call(method, addr, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// startTime is the time in which the deployment must have started.
const startTime = 30 * time.Second

// Configure sends a configuration until it is acknowledged, and waits until all entry hosts are ready.
func (f *Fleet) Configure(config any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	end := time.Now().Add(startTime)
	for acknowledged := false; !acknowledged; {
		for _, c := range f.Controls {
			status, err := f.call(http.MethodPut, c.IP+operatorPort, Wire("config"), body)
			if acknowledged = err == nil && status == http.StatusOK; acknowledged {
				break
			}
		}
		if time.Now().After(end) {
			return errors.New("no control host acknowledged the configuration")
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, h := range f.Entries {
		for {
			if status, err := f.call(http.MethodGet, h.IP+readyPort, Wire("ready"), nil); err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s did not become ready", h.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// Route is a route of the operator's configuration.
type Route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"path_prefix"`
	Kind            string   `json:"kind"`
	TimeoutMS       int      `json:"timeout_ms"`
	LatencyTargetMS int      `json:"latency_target_ms"`
	GapTargetMS     int      `json:"gap_target_ms,omitempty"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service"`
	Attempts        int      `json:"attempts"`
	Sticky          bool     `json:"sticky"`
	Resumable       bool     `json:"resumable"`
	HomeRegions     []string `json:"home_regions"`
}

// Service is a service of the operator's configuration.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdS      float64 `json:"cold_s"`
	ColdPerS   float64 `json:"cold_per_s"`
	Engine     *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int     `json:"slots"`
	KVCapacity int     `json:"kv_capacity"`
	TokenBytes int     `json:"kv_token_bytes"`
	LinkMbps   float64 `json:"link_mbps"`
}

// RailhaltEngine has the figures of Railhalt's engines.
var RailhaltEngine = Engine{Slots: 128, KVCapacity: 179521, TokenBytes: 131072, LinkMbps: 550000}

// Limits bound what clients send.
type Limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

// Config is the operator's configuration.
type Config struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// NewConfig returns a first configuration with one service and the limits of the small deployments.
func NewConfig(service string, routes ...Route) Config {
	return Config{
		Version: 1, Routes: routes, Limits: Limits{MaxHeaderBytes, maxBodyBytes, 3000, 15000},
		Services: []Service{{Name: service, HealthPath: "/healthz", MaxConns: 620, Protocol: "h1"}},
	}
}
