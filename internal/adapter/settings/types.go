package settings

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/quota"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Host identifies the host that the process runs on.
type Host struct {
	// ID is the name of the host. A replacement machine takes over the ID.
	ID string `toml:"id"`
	// Region and FailureDomain are the location of the host.
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
}

// Link configures the connections between hosts.
type Link struct {
	// Key is the key shared by all hosts. KeyFile is the path of a file that contains
	// it. Exactly one of them must be set.
	Key     string `toml:"key"`
	KeyFile string `toml:"key_file"`
	// Seeds are addresses of other hosts to contact at start-up.
	Seeds []string `toml:"seeds"`
	// Control are the peer addresses of the control hosts.
	Control []string `toml:"control"`
	// VerifyKey is the Ed25519 public key, in hex, that verifies the control
	// group's commit evidence.
	VerifyKey string `toml:"verify_key"`
	// KeepAliveMS is the interval of keep-alive messages on a link, in ms (default 3000).
	KeepAliveMS int `toml:"keep_alive_ms"`
}

// TLS holds the paths of the TLS files of one listener. Without Cert and Key the
// listener uses plain TCP. Changed files are reloaded at the next connection.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// CA verifies the other end's certificate. If it is set, clients must present one.
	CA string `toml:"ca"`
}

// Log configures logging.
type Log struct {
	// Level is the verbosity: 0 for info, 1 and higher for debug messages.
	Level int `toml:"level"`
}

// Trace configures OpenTelemetry spans.
type Trace struct {
	// Exporter is "none", "file" or "otlp" (default "none").
	Exporter string `toml:"exporter"`
	// File is the path of the JSON lines file that exporter "file" writes.
	File string `toml:"file"`
	// Endpoint is the IP address and port of the OTLP/HTTP receiver.
	Endpoint string `toml:"endpoint"`
	// SampleRatio is the fraction of new traces that is recorded (0 to 1, default 1).
	SampleRatio float64 `toml:"sample_ratio"`
}

// Entry holds the settings of sesame-entry.
type Entry struct {
	SchemaVersion int `toml:"schema_version"`
	// Interface selects the API that callers use: "sesame" or "platform" (default "sesame").
	Interface string `toml:"interface"`
	// Fleet replaces the record's list of hosts if the interface is "platform".
	Fleet Fleet `toml:"fleet"`
	// Retries limits retries if the interface is "platform".
	Retries Retries         `toml:"retries"`
	Host    Host            `toml:"host"`
	Listen  ListenAddresses `toml:"listen"`
	Link    Link            `toml:"link"`
	TLS     struct {
		Caller TLS `toml:"caller"`
		Peer   TLS `toml:"peer"`
	} `toml:"tls"`
	Limits    Limits    `toml:"limits"`
	Timing    Timing    `toml:"timing"`
	Log       Log       `toml:"log"`
	Trace     Trace     `toml:"trace"`
	Directory Directory `toml:"directory"`
	// Quarantine configures the handling of requests that crash backend servers.
	Quarantine Quarantine `toml:"quarantine"`
	// Overload configures the order and the admission of requests if the interface is "platform".
	Overload Overload `toml:"overload"`
	// Experiments is for measurements of the policy, not for production use.
	Experiments Experiments `toml:"experiments"`
}

// Quarantine limits the table of requests that crash the backend servers that run them.
type Quarantine struct {
	// MaxRequests is the capacity of the table, which also records requests that were running on
	// a server when it crashed (default 4096). Requests with the fewest crashes are evicted first.
	MaxRequests int `toml:"max_requests"`
	// HoldS is the time for which a request is refused before one trial is allowed, in s
	// (default 600).
	HoldS float64 `toml:"hold_s"`
}

func defaultQuarantine() Quarantine {
	return Quarantine{MaxRequests: quarantine.DefaultCapacity, HoldS: quarantine.DefaultHold.Seconds()}
}

// Options returns the options of the quarantine table of an entry host.
func (q Quarantine) Options(host string) quarantine.Options {
	return quarantine.Options{Host: host, Capacity: q.MaxRequests, Hold: time.Duration(q.HoldS * float64(time.Second))}
}

func (c *collector) quarantine(q Quarantine) {
	c.inRange("quarantine.max_requests", float64(q.MaxRequests), 64, 1<<20)
	c.inRange("quarantine.hold_s", q.HoldS, 1, 7*24*3600)
}

// Quotas limits by how much all hosts together may exceed teams' quotas.
type Quotas struct {
	// WindowS is the length of the window over which usage is summed, in s (default 10).
	WindowS float64 `toml:"window_s"`
	// Excess is the permitted excess as a fraction of what a quota allows per window (0 to 1,
	// default 0.1).
	Excess float64 `toml:"excess"`
	// Slack is an additional permitted excess, in quota units per window.
	Slack float64 `toml:"slack"`
}

func defaultQuotas() Quotas { return Quotas{WindowS: 10, Excess: 0.1} }

// Bound returns the limit that a control host enforces.
func (q Quotas) Bound() quota.Bound {
	return quota.Bound{Window: time.Duration(q.WindowS * float64(time.Second)), Excess: q.Excess, Slack: q.Slack}
}

func (c *collector) quotas(q Quotas) {
	c.inRange("quotas.window_s", q.WindowS, 0.1, 3600)
	c.inRange("quotas.excess", q.Excess, 0, 1)
	c.inRange("quotas.slack", q.Slack, 0, 1e12)
}

// Experiments changes the policy for measurements.
type Experiments struct {
	// Off lists the policy mechanisms to disable.
	Off []string `toml:"off"`
}

// ListenAddresses holds the addresses that sesame-entry listens on.
type ListenAddresses struct {
	// Caller serves callers and backend servers.
	Caller string `toml:"caller"`
	// Peer serves other hosts.
	Peer string `toml:"peer"`
	// Debug serves /debug/vars and explain to operators; empty for none.
	Debug string `toml:"debug"`
	// Ready serves the readiness check if the interface is "platform".
	Ready string `toml:"ready"`
}

// Limits holds the request limits, shutdown times and memory limit of an entry host.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body, in bytes (default 8 MiB).
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// BodyTimeoutMS is the time within which a request's headers and body must
	// arrive, in ms (default 15000).
	BodyTimeoutMS int `toml:"body_timeout_ms"`
	// DrainTimeoutMS is the maximum duration of a graceful shutdown, in ms (default 120000).
	DrainTimeoutMS int `toml:"drain_timeout_ms"`
	// DrainLingerMS is how long a host that shuts down continues to direct callers
	// to other hosts after its last request has finished, in ms (default 5000, the
	// time to live of the host lists).
	DrainLingerMS int `toml:"drain_linger_ms"`
	// MaxExplained is the number of requests for which explain keeps the routing
	// decision (default 2000).
	MaxExplained int `toml:"max_explained"`
	// StallTimeoutMS is the time after which an attempt is ended if its backend
	// server sends nothing, in ms (default 30000).
	StallTimeoutMS int `toml:"stall_timeout_ms"`
	// MemoryMB is the memory that the process may use, in MB; 0 for no limit.
	MemoryMB int `toml:"memory_mb"`
	// MaxFiles is the number of descriptors that the process may use; 0 for those that the operating system allows, 4096
	// at most.
	MaxFiles int `toml:"max_files"`
	// GraceS is the time from SIGTERM until the process is killed, in s, if the
	// interface is "platform" (default 8).
	GraceS float64 `toml:"grace_s"`
}

// Timing holds the intervals of the control traffic.
type Timing struct {
	// ProbeMS is the interval of membership probes, in ms (default 1000).
	ProbeMS int `toml:"probe_ms"`
	// UpdateMS is the interval of updates within a failure domain, in ms (default 1000).
	UpdateMS int `toml:"update_ms"`
	// SummaryMS is the interval of summaries between failure domains, in ms (default 2000).
	SummaryMS int `toml:"summary_ms"`
	// LeaseMS is the lease of a backend server's announcement, in ms (default 3000).
	LeaseMS int `toml:"lease_ms"`
	// ClockSkewMS is the maximum difference between the clocks of callers and hosts, in
	// ms (default 5000). The recovery of the ledger relies on it.
	ClockSkewMS int `toml:"clock_skew_ms"`
}

// Directory configures the platform's client directory.
type Directory struct {
	// URL is the base URL to which the list of entry hosts is PUT; empty for none.
	URL string `toml:"url"`
}

// DefaultEntry returns the default settings of sesame-entry.
func DefaultEntry() *Entry {
	return &Entry{
		Interface: InterfaceSesame,
		Fleet:     Fleet{HeartbeatMS: 1200},
		Retries:   Retries{Ratio: 0.2, WindowS: 10},
		Limits: Limits{
			GraceS:       8,
			MaxBodyBytes: 8 << 20, BodyTimeoutMS: 15_000, DrainTimeoutMS: 120_000, DrainLingerMS: 5000,
			MaxExplained: 2000, StallTimeoutMS: 30_000,
		},
		Timing: Timing{ProbeMS: 1000, UpdateMS: 1000, SummaryMS: 2000, LeaseMS: 3000, ClockSkewMS: 5000},
		Trace:  Trace{Exporter: "none", SampleRatio: 1},
		Link:   Link{KeepAliveMS: 3000}, Quarantine: defaultQuarantine(), Overload: Overload{Order: OrderAuto},
	}
}

// Control holds the settings of sesame-control.
type Control struct {
	SchemaVersion int `toml:"schema_version"`
	// Interface selects the API that operators and backend servers use: "sesame" or
	// "platform" (default "sesame").
	Interface string `toml:"interface"`
	// Fleet replaces group.members and the record's list of hosts if the interface
	// is "platform".
	Fleet  Fleet `toml:"fleet"`
	Host   Host  `toml:"host"`
	Limits struct {
		// MemoryMB is the memory that the process may use, in MB; 0 for no limit.
		MemoryMB int `toml:"memory_mb"`
		// MaxFiles is the number of descriptors that the process may use; 0 for those that the operating system
		// allows, 4096 at most.
		MaxFiles int `toml:"max_files"`
	} `toml:"limits"`
	Listen struct {
		// Directory serves the list of entry hosts to callers if the interface is
		// "platform".
		Directory string `toml:"directory"`
		// Debug serves /debug/vars without a key if the interface is "platform"; empty
		// for none.
		Debug string `toml:"debug"`
		// Operator serves the operators' HTTP API.
		Operator string `toml:"operator"`
		// Peer serves other hosts.
		Peer string `toml:"peer"`
	} `toml:"listen"`
	Store Store `toml:"store"`
	Group Group `toml:"group"`
	Link  Link  `toml:"link"`
	TLS   struct {
		Operator TLS `toml:"operator"`
		Peer     TLS `toml:"peer"`
	} `toml:"tls"`
	Orders Orders `toml:"orders"`
	// Quotas limits by how much teams' quotas may be exceeded.
	Quotas Quotas `toml:"quotas"`
	// Quarantine configures the handling of requests that crash backend servers.
	Quarantine Quarantine `toml:"quarantine"`
	Log        Log        `toml:"log"`
	Trace      Trace      `toml:"trace"`
}

// Store configures the data folder.
type Store struct {
	Dir string `toml:"dir"`
	// SnapshotEvery is the number of log entries between snapshots (default 256).
	SnapshotEvery int `toml:"snapshot_every"`
}

// Group configures the control group.
type Group struct {
	// ID is the name of the group. Data folders of other groups are rejected.
	ID string `toml:"id"`
	// Generation must be raised when the group is formed again after the loss of all its data.
	Generation uint64 `toml:"generation"`
	// Members are the hosts that form the group at its first start.
	Members []GroupMember `toml:"members"`
	// SigningKey is the Ed25519 seed, in hex, that signs commit evidence.
	// SigningKeyFile is the path of a file that contains it. Exactly one of them must be set.
	SigningKey     string `toml:"signing_key"`
	SigningKeyFile string `toml:"signing_key_file"`
	// TickMS is the length of a consensus tick, in ms (default 200). A leader sends a
	// heartbeat every 2 ticks. An election starts after 10 to 20 ticks without a heartbeat.
	TickMS int `toml:"tick_ms"`
	// BootstrapOperatorHash is the SHA-256 hash, in hex, of the operator key that is
	// valid until the first record is accepted.
	BootstrapOperatorHash string `toml:"bootstrap_operator_hash"`
}

// GroupMember is a control host of the initial group.
type GroupMember struct {
	ID   string `toml:"id"`
	Peer string `toml:"peer"`
}

// Orders limits orders to model engines.
type Orders struct {
	// MaxOrderMS is the maximum duration of an order, in ms (default 5000). A new leader waits
	// for it before it sends orders to an engine that does not check fencing numbers.
	MaxOrderMS int `toml:"max_order_ms"`
	// LoadsPerMinute is the maximum rate of model loads from the weight store (default 6).
	LoadsPerMinute float64 `toml:"loads_per_minute"`
}

// DefaultControl returns the default settings of sesame-control.
func DefaultControl() *Control {
	return &Control{
		Interface: InterfaceSesame, Fleet: Fleet{HeartbeatMS: 1200},
		Store:  Store{SnapshotEvery: 256},
		Group:  Group{Generation: 1, TickMS: 200},
		Link:   Link{KeepAliveMS: 3000},
		Orders: Orders{MaxOrderMS: 5000, LoadsPerMinute: 6}, Quarantine: defaultQuarantine(), Quotas: defaultQuotas(),
		Trace: Trace{Exporter: "none", SampleRatio: 1},
	}
}

// collector accumulates the faults of a settings structure.
type collector []Fault

func (c *collector) fail(key, format string, args ...any) {
	*c = append(*c, Fault{key, fmt.Sprintf(format, args...)})
}

func (c *collector) schema(v int) {
	if v != SchemaVersion {
		c.fail("schema_version", "%d is not supported; use %d", v, SchemaVersion)
	}
}

func (c *collector) name(key, v string) {
	if v == "" || strings.ContainsAny(v, " \t\"/") {
		c.fail(key, "%q is not a name; use letters, digits, dots and dashes", v)
	}
}

func (c *collector) addr(key, v string, optional bool) {
	if v == "" && optional {
		return
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.fail(key, "%q is not an IP address with a port, such as 127.0.0.1:7000", v)
	}
}

func (c *collector) inRange(key string, v, low, high float64) {
	if v < low || v > high {
		c.fail(key, "%v is not between %v and %v", v, low, high)
	}
}

func (c *collector) host(h Host) {
	c.name("host.id", h.ID)
	c.name("host.region", h.Region)
	c.name("host.failure_domain", h.FailureDomain)
}

func (c *collector) link(l Link) {
	if (l.Key == "") == (l.KeyFile == "") {
		c.fail("link.key", "set exactly one of link.key and link.key_file")
	}
	for _, a := range l.Seeds {
		c.addr("link.seeds", a, false)
	}
	for _, a := range l.Control {
		c.addr("link.control", a, false)
	}
	if raw, err := hex.DecodeString(l.VerifyKey); err != nil || len(raw) != ed25519.PublicKeySize {
		c.fail("link.verify_key", "is not an Ed25519 public key in hex; sesamectl keygen makes one")
	}
	c.inRange("link.keep_alive_ms", float64(l.KeepAliveMS), 100, 60_000)
}

func (c *collector) tls(key string, t TLS) {
	if (t.Cert == "") != (t.Key == "") {
		c.fail(key, "cert and key must be set together")
	}
}

func (c *collector) trace(t Trace) {
	if !slices.Contains([]string{"none", "file", "otlp"}, t.Exporter) {
		c.fail("trace.exporter", "%q is not one of none, file, otlp", t.Exporter)
	}
	if t.Exporter == "file" && t.File == "" {
		c.fail("trace.file", "is needed with exporter \"file\"")
	}
	if t.Exporter == "otlp" {
		c.addr("trace.endpoint", t.Endpoint, false)
	}
	c.inRange("trace.sample_ratio", t.SampleRatio, 0, 1)
}

// Faults implements Validator.
func (e *Entry) Faults() []Fault {
	var c collector
	c.schema(e.SchemaVersion)
	c.host(e.Host)
	c.addr("listen.caller", e.Listen.Caller, false)
	c.addr("listen.peer", e.Listen.Peer, false)
	c.addr("listen.debug", e.Listen.Debug, true)
	c.link(e.Link)
	c.tls("tls.caller", e.TLS.Caller)
	c.tls("tls.peer", e.TLS.Peer)
	c.inRange("limits.max_body_bytes", float64(e.Limits.MaxBodyBytes), 1, 1<<30)
	c.inRange("limits.body_timeout_ms", float64(e.Limits.BodyTimeoutMS), 100, 600_000)
	c.inRange("limits.drain_timeout_ms", float64(e.Limits.DrainTimeoutMS), 0, 3_600_000)
	c.inRange("limits.drain_linger_ms", float64(e.Limits.DrainLingerMS), 0, 600_000)
	c.inRange("limits.max_explained", float64(e.Limits.MaxExplained), 1, 1_000_000)
	c.inRange("limits.max_files", float64(e.Limits.MaxFiles), 0, 1<<20)
	c.inRange("limits.stall_timeout_ms", float64(e.Limits.StallTimeoutMS), 100, 600_000)
	c.inRange("timing.probe_ms", float64(e.Timing.ProbeMS), 50, 60_000)
	c.inRange("timing.update_ms", float64(e.Timing.UpdateMS), 50, 60_000)
	c.inRange("timing.summary_ms", float64(e.Timing.SummaryMS), 50, 60_000)
	c.inRange("timing.lease_ms", float64(e.Timing.LeaseMS), 200, 60_000)
	c.inRange("timing.clock_skew_ms", float64(e.Timing.ClockSkewMS), 0, 600_000)
	c.trace(e.Trace)
	c.quarantine(e.Quarantine)
	c.interfaceName(e.Interface)
	if e.Interface == InterfacePlatform {
		c.addr("listen.ready", e.Listen.Ready, false)
		c.fleet(e.Fleet, e.Host)
		c.inRange("retries.ratio", e.Retries.Ratio, 0, 10)
		c.inRange("retries.slack", e.Retries.Slack, 0, 1e6)
		c.inRange("retries.window_s", e.Retries.WindowS, 0.1, 600)
		c.inRange("limits.grace_s", e.Limits.GraceS, 0.5, 3600)
	}
	c.overload(e.Overload)
	if _, f := dispatch.ParseMechanisms(e.Experiments.Off); f != nil {
		c.fail("experiments.off", "%s", f.Detail)
	}
	return c
}

// Faults implements Validator.
func (s *Control) Faults() []Fault {
	var c collector
	c.schema(s.SchemaVersion)
	c.host(s.Host)
	c.addr("listen.operator", s.Listen.Operator, false)
	c.addr("listen.peer", s.Listen.Peer, false)
	c.link(s.Link)
	c.tls("tls.operator", s.TLS.Operator)
	c.tls("tls.peer", s.TLS.Peer)
	if s.Store.Dir == "" {
		c.fail("store.dir", "is needed")
	}
	c.inRange("store.snapshot_every", float64(s.Store.SnapshotEvery), 1, 1_000_000)
	c.name("group.id", s.Group.ID)
	c.inRange("group.generation", float64(s.Group.Generation), 1, 1<<32)
	c.inRange("group.tick_ms", float64(s.Group.TickMS), 5, 10_000)
	c.interfaceName(s.Interface)
	c.inRange("limits.max_files", float64(s.Limits.MaxFiles), 0, 1<<20)
	if s.Interface == InterfacePlatform {
		c.addr("listen.directory", s.Listen.Directory, false)
		c.addr("listen.debug", s.Listen.Debug, true)
		c.fleet(s.Fleet, s.Host)
	} else if n := len(s.Group.Members); n != 1 && n != 3 && n != 5 {
		c.fail("group.members", "%d members; use 1, 3 or 5", n)
	}
	for _, m := range s.Group.Members {
		c.name("group.members", m.ID)
		c.addr("group.members", m.Peer, false)
	}
	if (s.Group.SigningKey == "") == (s.Group.SigningKeyFile == "") {
		c.fail("group.signing_key", "set exactly one of group.signing_key and group.signing_key_file")
	}
	c.inRange("orders.max_order_ms", float64(s.Orders.MaxOrderMS), 1, 600_000)
	c.inRange("orders.loads_per_minute", s.Orders.LoadsPerMinute, 0, 10_000)
	c.trace(s.Trace)
	c.quarantine(s.Quarantine)
	c.quotas(s.Quotas)
	return c
}

// HostKey returns the key shared by all hosts.
func (l Link) HostKey() ([]byte, error) { return readSecret(l.Key, l.KeyFile) }

// PublicKey returns the key that verifies commit evidence.
func (l Link) PublicKey() ed25519.PublicKey {
	raw, _ := hex.DecodeString(l.VerifyKey)
	return raw
}

// KeepAlive returns the interval of keep-alive messages.
func (l Link) KeepAlive() time.Duration { return time.Duration(l.KeepAliveMS) * time.Millisecond }

// PrivateKey returns the key that signs commit evidence.
func (g Group) PrivateKey() (ed25519.PrivateKey, error) {
	text, err := readSecret(g.SigningKey, g.SigningKeyFile)
	if err != nil {
		return nil, err
	}
	seed, err := hex.DecodeString(string(text))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, failure.New(failure.InvalidSettings, "", "group.signing_key is not an Ed25519 seed in hex")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func readSecret(value, file string) ([]byte, error) {
	if file == "" {
		return []byte(value), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "")
	}
	return []byte(strings.TrimSpace(string(data))), nil
}
