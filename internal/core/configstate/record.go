// Package configstate defines the configuration record, its validation, and the
// replicated state machine that applies changes to it. It does no I/O.
package configstate

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Schema versions that this build accepts. Records of both are converted to the same
// internal form; see upgrade.
const (
	PreviousSchema = 1
	CurrentSchema  = 2
)

// Record is the internal form of the configuration record that operators write.
type Record struct {
	// SchemaVersion is the version the record was written in (1 or 2).
	SchemaVersion int `json:"schema_version"`
	// Regions lists the regions with their failure domains.
	Regions []Region `json:"regions"`
	// Hosts lists the entry hosts.
	Hosts []Host `json:"hosts"`
	// Teams lists the teams whose callers may send requests.
	Teams []Team `json:"teams"`
	// Models lists the models and where each may run.
	Models []Model `json:"models"`
	// Services lists the plain services and where each may run.
	Services []Service `json:"services"`
	// Residency lists, for each kind of request, the regions that may handle it.
	Residency []ResidencyRule `json:"residency"`
	// Operators lists the operators with the hashes of their keys.
	Operators []Operator `json:"operators"`
	// BackendKeyHashes are the SHA-256 hashes, in hex, of the keys that authenticate
	// the announcements of backend servers.
	BackendKeyHashes []string `json:"backend_key_hashes"`
	// Policy holds the weights of routing, admission and retries.
	Policy Policy `json:"policy"`
	// Ledger holds the limits of the at-most-once ledger.
	Ledger LedgerPolicy `json:"ledger"`
	// OpenOperators marks a deployment whose network restricts access to operators. The
	// record lists no operators, and entry hosts register themselves instead of being listed.
	OpenOperators bool `json:"open_operators,omitempty"`
	// Routes send requests unchanged to services, by host and path.
	Routes []Route `json:"routes,omitempty"`
	// RoutedServices are the services that routes name.
	RoutedServices []RoutedService `json:"routed_services,omitempty"`
	// RequestLimits bounds the requests of callers on routes.
	RequestLimits RequestLimits `json:"request_limits"`
	// KeysRequired states that requests on routes need a team's key, except on public routes.
	KeysRequired bool `json:"keys_required,omitempty"`
	// Source is the operators' document from which the record was made. New records omit it, as
	// it may contain keys; it is stored sealed in the source field of the Command message.
	Source json.RawMessage `json:"source,omitempty"`

	routesByHost map[string][]int // indexes into Routes
	teamsByKey   map[string]*Team // by key hash
}

// Region is a group of failure domains that are close to each other.
type Region struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failure_domains"`
}

// Host is an entry host. A replacement machine takes over the ID of the lost one.
type Host struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Peer is the IP address and port on which other hosts reach it.
	Peer string `json:"peer"`
	// Caller is the base URL on which callers reach it.
	Caller string `json:"caller"`
}

// Team is a group of callers that share keys and capacity.
type Team struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 hashes of the team's keys, in hex.
	KeyHashes []string `json:"key_hashes"`
	// Home is the team's home region, which holds the ledger of its non-idempotent requests.
	Home string `json:"home"`
	// Weight is the team's share of capacity relative to other teams (default 1).
	Weight float64 `json:"weight"`
	// Priority is the team's scheduling priority; higher values are served first (default 0).
	Priority int `json:"priority"`
	// Kind is the kind of requests that state none (default "default").
	Kind string `json:"kind"`
	// Models and Services list the models and services that the team may use; empty means all.
	Models   []string `json:"models"`
	Services []string `json:"services"`
	// Homes lists the regions whose servers may run the team's requests on routes; empty
	// means all. The route's own homes restrict them further.
	Homes []string `json:"homes,omitempty"`
	// Quota limits the rate at which all entry hosts together send the team's requests; nil for
	// no limit.
	Quota *Quota `json:"quota,omitempty"`
}

// Model is a language model.
type Model struct {
	Name string `json:"name"`
	// Regions lists where the model may run; empty means everywhere.
	Regions []string `json:"regions"`
}

// Service is a service other than a language model.
type Service struct {
	Name    string   `json:"name"`
	Regions []string `json:"regions"`
	// NonIdempotent states that requests with methods other than GET, HEAD and OPTIONS
	// must run at most once.
	NonIdempotent bool `json:"non_idempotent"`
}

// ResidencyRule restricts the regions that may handle requests of a kind.
type ResidencyRule struct {
	Kind string `json:"kind"`
	// Regions lists the permitted regions; empty means all.
	Regions []string `json:"regions"`
	// HomeOnly restricts the kind to the team's home (schema version 2).
	HomeOnly bool `json:"home_only"`
}

// Operator may read and change the configuration.
type Operator struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"key_hashes"`
	ReadOnly  bool     `json:"read_only"`
}

// Policy holds the parameters of routing, admission and retries.
type Policy struct {
	// Preset names the defaults: "archive", "railhalt" or "balanced".
	Preset string `json:"preset"`
	// SendAwayPriceMS is added to the estimate of another region, in ms.
	SendAwayPriceMS float64 `json:"send_away_price_ms"`
	// SendAwayMargin is the fraction by which the estimate of another failure domain must be
	// below the best local one (0 to 1).
	SendAwayMargin float64 `json:"send_away_margin"`
	// SendAwayCeiling is the maximum fraction of requests sent to other regions (0 to 1).
	SendAwayCeiling float64 `json:"send_away_ceiling"`
	// CacheWeight scales the prefill time saved by a cached prefix (0 to 2).
	CacheWeight float64 `json:"cache_weight"`
	// RetryBudget is the maximum fraction of recent requests that are retries (0 to 1).
	RetryBudget float64 `json:"retry_budget"`
	// MaxAttempts bounds the attempts of one request (1 to 10).
	MaxAttempts int `json:"max_attempts"`
	// DefaultDeadlineMS is the deadline of requests that state none, in ms.
	DefaultDeadlineMS int `json:"default_deadline_ms"`
	// MaxQueuePerSlot bounds the requests queued for each slot of a backend server.
	MaxQueuePerSlot float64 `json:"max_queue_per_slot"`
}

// LedgerPolicy bounds the at-most-once ledger.
type LedgerPolicy struct {
	// Replicas is the replication factor of a key: 3 or 5.
	Replicas int `json:"replicas"`
	// RetentionMS is how long the answer of a finished key is kept, in ms.
	RetentionMS int64 `json:"retention_ms"`
	// MaxKeys bounds the keys held by one host.
	MaxKeys int `json:"max_keys"`
	// MaxBytes bounds the total size of the answers stored by one host, in bytes.
	MaxBytes int `json:"max_bytes"`
	// MaxAnswerBytes bounds the stored body of one answer, in bytes.
	MaxAnswerBytes int `json:"max_answer_bytes"`
}

// FieldError describes an invalid field of a record.
type FieldError struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// FieldErrors lists all validation errors of one record.
type FieldErrors []FieldError

// Error implements error.
func (f FieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, e := range f {
		lines = append(lines, e.Field+": "+e.Reason)
	}
	return strings.Join(lines, "; ")
}

// Digest returns the SHA-256 hash of a record's bytes.
func Digest(raw []byte) []byte {
	sum := sha256.Sum256(raw)
	return sum[:]
}

// Parse decodes and validates the bytes of a record, compressed or not. Unknown fields are
// ignored; they are preserved because hosts store and forward the bytes unchanged.
func Parse(raw []byte) (*Record, error) {
	raw, err := Decompress(raw)
	if err != nil {
		return nil, FieldErrors{{"record", err.Error()}}
	}
	r := new(Record)
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, FieldErrors{{"record", err.Error()}}
	}
	if r.SchemaVersion < PreviousSchema || r.SchemaVersion > CurrentSchema {
		reason := fmt.Sprintf("%d is not supported; use %d or %d", r.SchemaVersion, PreviousSchema, CurrentSchema)
		return nil, FieldErrors{{"schema_version", reason}}
	}
	r.upgrade()
	r.applyDefaults()
	if errs := r.validate(); len(errs) > 0 {
		return nil, errs
	}
	r.indexRoutes()
	r.indexTeams()
	return r, nil
}

// upgrade converts a record of the previous schema to the internal form.
// Version 1 had no home_only: its kind "private" meant the team's home only.
func (r *Record) upgrade() {
	if r.SchemaVersion != PreviousSchema {
		return
	}
	for i := range r.Residency {
		r.Residency[i].HomeOnly = r.Residency[i].Kind == "private"
	}
}

// DefaultKind is the kind of requests whose team configures none.
const DefaultKind = "default"

func (r *Record) applyDefaults() {
	for i := range r.Teams {
		t := &r.Teams[i]
		if t.Weight == 0 {
			t.Weight = 1
		}
		if t.Kind == "" {
			t.Kind = DefaultKind
		}
	}
	r.Policy.applyDefaults()
	l := &r.Ledger
	setDefault(&l.Replicas, 3)
	setDefault(&l.RetentionMS, 15*60*1000)
	setDefault(&l.MaxKeys, 200_000)
	setDefault(&l.MaxBytes, 64<<20)
	setDefault(&l.MaxAnswerBytes, 256<<10)
}

func setDefault[T int | int64 | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Presets are the named defaults of Policy. archive keeps requests in the home region and
// accepts longer waits; railhalt sends them to other regions early to reduce tail latency.
var Presets = map[string]Policy{
	"archive":  {SendAwayPriceMS: 2000, SendAwayMargin: 0.5, SendAwayCeiling: 0.10, CacheWeight: 1.25},
	"railhalt": {SendAwayPriceMS: 10, SendAwayMargin: 0.05, SendAwayCeiling: 0.60, CacheWeight: 1},
	"balanced": {SendAwayPriceMS: 400, SendAwayMargin: 0.25, SendAwayCeiling: 0.30, CacheWeight: 1},
}

func (p *Policy) applyDefaults() {
	if p.Preset == "" {
		p.Preset = "balanced"
	}
	d := Presets[p.Preset]
	setDefault(&p.SendAwayPriceMS, d.SendAwayPriceMS)
	setDefault(&p.SendAwayMargin, d.SendAwayMargin)
	setDefault(&p.SendAwayCeiling, d.SendAwayCeiling)
	setDefault(&p.CacheWeight, d.CacheWeight)
	setDefault(&p.RetryBudget, 0.1)
	setDefault(&p.MaxAttempts, 3)
	setDefault(&p.DefaultDeadlineMS, 60_000)
	setDefault(&p.MaxQueuePerSlot, DefaultQueuePerSlot)
}

// DefaultQueuePerSlot allows a short queue at each backend server, so that a freed slot is
// used at once. All other requests wait in the entry hosts' fair queues.
const DefaultQueuePerSlot = 0.25

// RegionNames returns the names of the regions, sorted.
func (r *Record) RegionNames() []string {
	names := make([]string, 0, len(r.Regions))
	for _, reg := range r.Regions {
		names = append(names, reg.Name)
	}
	sort.Strings(names)
	return names
}

// Host returns the host with the ID.
func (r *Record) Host(id string) (Host, bool) {
	for _, h := range r.Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return Host{}, false
}

// Team returns the team with the name.
func (r *Record) Team(name string) (Team, bool) {
	for _, t := range r.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// OperatorByKey returns the operator with the key's hash.
func (r *Record) OperatorByKey(hash string) (Operator, bool) {
	for _, o := range r.Operators {
		if slices.Contains(o.KeyHashes, hash) {
			return o, true
		}
	}
	return Operator{}, false
}

// Model returns the model with the name.
func (r *Record) Model(name string) (Model, bool) {
	for _, m := range r.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service with the name.
func (r *Record) Service(name string) (Service, bool) {
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Rule returns the residency rule of the kind.
func (r *Record) Rule(kind string) (ResidencyRule, bool) {
	for _, rule := range r.Residency {
		if rule.Kind == kind {
			return rule, true
		}
	}
	return ResidencyRule{}, false
}

// RegionHosts returns the region's entry hosts, sorted by ID.
func (r *Record) RegionHosts(region string) []Host {
	var hosts []Host
	for _, h := range r.Hosts {
		if h.Region == region {
			hosts = append(hosts, h)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}
