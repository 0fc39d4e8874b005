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

// Host says where the process runs.
type Host struct {
	// ID names the host. A replacement machine takes over the ID.
	ID string `toml:"id"`
	// Region and FailureDomain place the host.
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
}

// Link configures the connections between hosts.
type Link struct {
	// Key is the hosts' shared key; KeyFile names a file that holds it. One of
	// both is needed.
	Key     string `toml:"key"`
	KeyFile string `toml:"key_file"`
	// Seeds are addresses of other hosts to ask at the start.
	Seeds []string `toml:"seeds"`
	// Control are the peer addresses of the control hosts.
	Control []string `toml:"control"`
	// VerifyKey is the Ed25519 public key, in hex, of the control group's
	// commit evidence.
	VerifyKey string `toml:"verify_key"`
	// KeepAliveMS is the interval of keep-alives on a link, in ms (default 3000).
	KeepAliveMS int `toml:"keep_alive_ms"`
}

// TLS names the files of one listener. Empty names mean plain TCP. The files
// are read again for each connection when they have changed.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// CA verifies the other end; with it, certificates are required of clients.
	CA string `toml:"ca"`
}

// Log configures the log.
type Log struct {
	// Level is the verbosity: 0 for info, 1 and up for debugging.
	Level int `toml:"level"`
}

// Trace configures OpenTelemetry spans.
type Trace struct {
	// Exporter is "none", "file" or "otlp" (default "none").
	Exporter string `toml:"exporter"`
	// File receives JSON lines with exporter "file".
	File string `toml:"file"`
	// Endpoint is an IP address and port for OTLP over HTTP.
	Endpoint string `toml:"endpoint"`
	// SampleRatio is the share of new traces recorded (0 to 1, default 1).
	SampleRatio float64 `toml:"sample_ratio"`
}

// Entry is the settings of sesame-entry.
type Entry struct {
	SchemaVersion int `toml:"schema_version"`
	// Interface is what callers speak: "sesame" or "platform" (default "sesame").
	Interface string `toml:"interface"`
	// Fleet replaces the record's list of hosts with interface "platform".
	Fleet Fleet `toml:"fleet"`
	// Retries bounds repeats with interface "platform".
	Retries Retries `toml:"retries"`
	Host    Host    `toml:"host"`
	Listen  Ports   `toml:"listen"`
	Link    Link    `toml:"link"`
	TLS     struct {
		Caller TLS `toml:"caller"`
		Peer   TLS `toml:"peer"`
	} `toml:"tls"`
	Limits    Limits    `toml:"limits"`
	Timing    Timing    `toml:"timing"`
	Log       Log       `toml:"log"`
	Trace     Trace     `toml:"trace"`
	Directory Directory `toml:"directory"`
	// Quarantine is about requests that crash the servers that run them.
	Quarantine Quarantine `toml:"quarantine"`
	// Experiments is for measurements of the policy, not for service.
	Experiments Experiments `toml:"experiments"`
}

// Quarantine bounds what is remembered of requests that crash the servers that run them.
type Quarantine struct {
	// MaxRequests is how many such requests, and others that were under way beside them, are
	// remembered (default 4096). Those under which fewest servers ended yield first.
	MaxRequests int `toml:"max_requests"`
	// HoldS is how long a request is refused before it is tried once more, in s (default 600).
	HoldS float64 `toml:"hold_s"`
}

func defaultQuarantine() Quarantine {
	return Quarantine{MaxRequests: quarantine.DefaultCapacity, HoldS: quarantine.DefaultHold.Seconds()}
}

// Options returns the settings for a host.
func (q Quarantine) Options(host string) quarantine.Options {
	return quarantine.Options{Host: host, Capacity: q.MaxRequests, Hold: time.Duration(q.HoldS * float64(time.Second))}
}

func (c *collector) quarantine(q Quarantine) {
	c.between("quarantine.max_requests", float64(q.MaxRequests), 64, 1<<20)
	c.between("quarantine.hold_s", q.HoldS, 1, 7*24*3600)
}

// Quotas is by how much all hosts together may pass teams' quotas.
type Quotas struct {
	// WindowS is the time over which what was sent is summed, in s (default 10).
	WindowS float64 `toml:"window_s"`
	// Excess is a part of what a quota allows in the window (0 to 1, default 0.1).
	Excess float64 `toml:"excess"`
	// Slack is in units of the quotas, in each window.
	Slack float64 `toml:"slack"`
}

func defaultQuotas() Quotas { return Quotas{WindowS: 10, Excess: 0.1} }

// Bound returns the settings for a control host.
func (q Quotas) Bound() quota.Bound {
	return quota.Bound{Window: time.Duration(q.WindowS * float64(time.Second)), Excess: q.Excess, Slack: q.Slack}
}

func (c *collector) quotas(q Quotas) {
	c.between("quotas.window_s", q.WindowS, 0.1, 3600)
	c.between("quotas.excess", q.Excess, 0, 1)
	c.between("quotas.slack", q.Slack, 0, 1e12)
}

// Experiments changes the policy for a measurement.
type Experiments struct {
	// Off names mechanisms to go without.
	Off []string `toml:"off"`
}

// Ports are the addresses that sesame-entry listens on.
type Ports struct {
	// Caller serves callers and backend servers.
	Caller string `toml:"caller"`
	// Peer serves other hosts.
	Peer string `toml:"peer"`
	// Debug serves /debug/vars and explain to operators; empty for none.
	Debug string `toml:"debug"`
	// Ready serves the check whether the host should get requests, with interface
	// "platform".
	Ready string `toml:"ready"`
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxBodyBytes bounds a request body (default 8 MiB).
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// BodyTimeoutMS bounds the arrival of headers and body (default 15000).
	BodyTimeoutMS int `toml:"body_timeout_ms"`
	// DrainTimeoutMS bounds a graceful shutdown (default 120000).
	DrainTimeoutMS int `toml:"drain_timeout_ms"`
	// DrainLingerMS is how long a host that shuts down goes on telling callers
	// to use other hosts after its last request is finished (default 5000, the
	// time to live of the lists).
	DrainLingerMS int `toml:"drain_linger_ms"`
	// MaxExplained is how many requests explain remembers (default 2000).
	MaxExplained int `toml:"max_explained"`
	// StallTimeoutMS ends an attempt whose server sends nothing (default 30000).
	StallTimeoutMS int `toml:"stall_timeout_ms"`
	// MemoryMB is the memory that the process may use, in MB; 0 for no limit.
	MemoryMB int `toml:"memory_mb"`
	// GraceS is the time from SIGTERM until the process is killed, in s, with
	// interface "platform" (default 8).
	GraceS float64 `toml:"grace_s"`
}

// Timing holds the intervals of the control traffic.
type Timing struct {
	// ProbeMS is the interval of membership probes (default 1000).
	ProbeMS int `toml:"probe_ms"`
	// UpdateMS is the interval of updates inside a failure domain (default 1000).
	UpdateMS int `toml:"update_ms"`
	// SummaryMS is the interval of summaries between failure domains (default 2000).
	SummaryMS int `toml:"summary_ms"`
	// LeaseMS is the lease of a backend server's announcement (default 3000).
	LeaseMS int `toml:"lease_ms"`
	// ClockSkewMS bounds the difference between the clocks of callers and
	// hosts (default 5000); see the ledger's recovery.
	ClockSkewMS int `toml:"clock_skew_ms"`
}

// Directory configures the platform's client directory.
type Directory struct {
	// URL receives the list of entry hosts by PUT; empty for none.
	URL string `toml:"url"`
}

// DefaultEntry returns the defaults of sesame-entry.
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
		Link:   Link{KeepAliveMS: 3000}, Quarantine: defaultQuarantine(),
	}
}

// Control is the settings of sesame-control.
type Control struct {
	SchemaVersion int `toml:"schema_version"`
	// Interface is what operators and backend servers speak: "sesame" or
	// "platform" (default "sesame").
	Interface string `toml:"interface"`
	// Fleet replaces group.members and the record's list of hosts with interface
	// "platform".
	Fleet  Fleet `toml:"fleet"`
	Host   Host  `toml:"host"`
	Limits struct {
		// MemoryMB is the memory that the process may use, in MB; 0 for no limit.
		MemoryMB int `toml:"memory_mb"`
	} `toml:"limits"`
	Listen struct {
		// Directory tells callers which entry hosts to use, with interface "platform".
		Directory string `toml:"directory"`
		// Debug serves /debug/vars without a key, with interface "platform"; empty
		// for none.
		Debug string `toml:"debug"`
		// Operator serves the operators' HTTP.
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
	// Quotas is by how much teams' quotas may be passed.
	Quotas Quotas `toml:"quotas"`
	// Quarantine is about requests that crash the servers that run them.
	Quarantine Quarantine `toml:"quarantine"`
	Log        Log        `toml:"log"`
	Trace      Trace      `toml:"trace"`
}

// Store is the data folder.
type Store struct {
	// Dir is the folder.
	Dir string `toml:"dir"`
	// SnapshotEvery is the number of log entries between snapshots (default 256).
	SnapshotEvery int `toml:"snapshot_every"`
}

// Group is the control group.
type Group struct {
	// ID names the group; data folders of other groups are refused.
	ID string `toml:"id"`
	// Generation rises when the group is formed anew after a total loss.
	Generation uint64 `toml:"generation"`
	// Members are the hosts that form the group at its first start.
	Members []GroupMember `toml:"members"`
	// SigningKey is the Ed25519 seed, in hex, of the commit evidence;
	// SigningKeyFile names a file that holds it.
	SigningKey     string `toml:"signing_key"`
	SigningKeyFile string `toml:"signing_key_file"`
	// TickMS is the length of a consensus tick (default 200). A leader sends
	// heartbeats every 2 ticks; an election follows 10 to 20 ticks without any.
	TickMS int `toml:"tick_ms"`
	// BootstrapOperatorHash is the SHA-256 hash, in hex, of the key that may
	// write the first record.
	BootstrapOperatorHash string `toml:"bootstrap_operator_hash"`
}

// GroupMember is a control host.
type GroupMember struct {
	ID   string `toml:"id"`
	Peer string `toml:"peer"`
}

// Orders limits orders to model engines.
type Orders struct {
	// MaxOrderMS is the longest time an order can be under way (default 5000).
	MaxOrderMS int `toml:"max_order_ms"`
	// LoadsPerMinute limits model loads from the weight store (default 6).
	LoadsPerMinute float64 `toml:"loads_per_minute"`
}

// DefaultControl returns the defaults of sesame-control.
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

// collector gathers faults.
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

func (c *collector) between(key string, v, low, high float64) {
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
	c.between("link.keep_alive_ms", float64(l.KeepAliveMS), 100, 60_000)
}

func (c *collector) tls(key string, t TLS) {
	if (t.Cert == "") != (t.Key == "") {
		c.fail(key, "cert and key go together")
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
	c.between("trace.sample_ratio", t.SampleRatio, 0, 1)
}

// Faults implements Checked.
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
	c.between("limits.max_body_bytes", float64(e.Limits.MaxBodyBytes), 1, 1<<30)
	c.between("limits.body_timeout_ms", float64(e.Limits.BodyTimeoutMS), 100, 600_000)
	c.between("limits.drain_timeout_ms", float64(e.Limits.DrainTimeoutMS), 0, 3_600_000)
	c.between("limits.drain_linger_ms", float64(e.Limits.DrainLingerMS), 0, 600_000)
	c.between("limits.max_explained", float64(e.Limits.MaxExplained), 1, 1_000_000)
	c.between("limits.stall_timeout_ms", float64(e.Limits.StallTimeoutMS), 100, 600_000)
	c.between("timing.probe_ms", float64(e.Timing.ProbeMS), 50, 60_000)
	c.between("timing.update_ms", float64(e.Timing.UpdateMS), 50, 60_000)
	c.between("timing.summary_ms", float64(e.Timing.SummaryMS), 50, 60_000)
	c.between("timing.lease_ms", float64(e.Timing.LeaseMS), 200, 60_000)
	c.between("timing.clock_skew_ms", float64(e.Timing.ClockSkewMS), 0, 600_000)
	c.trace(e.Trace)
	c.quarantine(e.Quarantine)
	c.outside(e.Interface)
	if e.Interface == InterfacePlatform {
		c.addr("listen.ready", e.Listen.Ready, false)
		c.fleet(e.Fleet, e.Host)
		c.between("retries.ratio", e.Retries.Ratio, 0, 10)
		c.between("retries.slack", e.Retries.Slack, 0, 1e6)
		c.between("retries.window_s", e.Retries.WindowS, 0.1, 600)
		c.between("limits.grace_s", e.Limits.GraceS, 0.5, 3600)
	}
	if _, f := dispatch.ParseMechanisms(e.Experiments.Off); f != nil {
		c.fail("experiments.off", "%s", f.Detail)
	}
	return c
}

// Faults implements Checked.
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
	c.between("store.snapshot_every", float64(s.Store.SnapshotEvery), 1, 1_000_000)
	c.name("group.id", s.Group.ID)
	c.between("group.generation", float64(s.Group.Generation), 1, 1<<32)
	c.between("group.tick_ms", float64(s.Group.TickMS), 5, 10_000)
	c.outside(s.Interface)
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
	c.between("orders.max_order_ms", float64(s.Orders.MaxOrderMS), 1, 600_000)
	c.between("orders.loads_per_minute", s.Orders.LoadsPerMinute, 0, 10_000)
	c.trace(s.Trace)
	c.quarantine(s.Quarantine)
	c.quotas(s.Quotas)
	return c
}

// HostKey returns the hosts' shared key.
func (l Link) HostKey() ([]byte, error) { return secret(l.Key, l.KeyFile) }

// PublicKey returns the key that verifies commit evidence.
func (l Link) PublicKey() ed25519.PublicKey {
	raw, _ := hex.DecodeString(l.VerifyKey)
	return raw
}

// KeepAlive returns the interval of keep-alives.
func (l Link) KeepAlive() time.Duration { return time.Duration(l.KeepAliveMS) * time.Millisecond }

// PrivateKey returns the key that signs commit evidence.
func (g Group) PrivateKey() (ed25519.PrivateKey, error) {
	text, err := secret(g.SigningKey, g.SigningKeyFile)
	if err != nil {
		return nil, err
	}
	seed, err := hex.DecodeString(string(text))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, failure.New(failure.InvalidSettings, "", "group.signing_key is not an Ed25519 seed in hex")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func secret(value, file string) ([]byte, error) {
	if file == "" {
		return []byte(value), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "")
	}
	return []byte(strings.TrimSpace(string(data))), nil
}
