// Package configstate holds the configuration record, its validation, and the
// replicated state machine that accepts changes of it. It does no I/O.
package configstate

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Schema versions that this build accepts. Both are converted to one internal
// form; see upgrade.
const (
	PreviousSchema = 1
	CurrentSchema  = 2
)

// Record is the internal form of an operators' configuration record.
type Record struct {
	// SchemaVersion is the version the record was written in (1 or 2).
	SchemaVersion int `json:"schema_version"`
	// Regions lists the regions with their failure domains.
	Regions []Region `json:"regions"`
	// Hosts lists the entry hosts.
	Hosts []Host `json:"hosts"`
	// Teams lists who may call.
	Teams []Team `json:"teams"`
	// Models lists the models and where each may run.
	Models []Model `json:"models"`
	// Services lists the plain services and where each may run.
	Services []Service `json:"services"`
	// Residency lists, for each kind of request, where it may go.
	Residency []ResidencyRule `json:"residency"`
	// Operators lists the operators' keys.
	Operators []Operator `json:"operators"`
	// BackendKeyHashes are the SHA-256 hashes, in hex, of the keys with which
	// backend servers announce themselves.
	BackendKeyHashes []string `json:"backend_key_hashes"`
	// Policy holds the weights of routing, admission and retries.
	Policy Policy `json:"policy"`
	// Ledger holds the limits of the at-most-once ledger.
	Ledger LedgerPolicy `json:"ledger"`
	// OpenOperators marks a deployment whose network admits operators only: the
	// record names none, and entry hosts present themselves instead of being listed.
	OpenOperators bool `json:"open_operators,omitempty"`
	// Routes send requests, as they came, to services by host and path.
	Routes []Route `json:"routes,omitempty"`
	// RoutedServices are the services that routes name.
	RoutedServices []RoutedService `json:"routed_services,omitempty"`
	// RequestLimits bounds what callers of routes may send.
	RequestLimits RequestLimits `json:"request_limits"`
	// KeysRequired says that requests on routes need a team's key, unless the route is public.
	KeysRequired bool `json:"keys_required,omitempty"`
	// Source is the document that the record was made from. Records hold it no more, as it may
	// hold keys; see Command in the peers' messages.
	Source json.RawMessage `json:"source,omitempty"`

	routesByHost map[string][]int // indexes into Routes
	teamsByKey   map[string]*Team // by the hashes of their keys
}

// Region is a set of failure domains close to each other.
type Region struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failure_domains"`
}

// Host is an entry host. A replacement machine takes over the ID.
type Host struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Peer is the IP address and port for other hosts.
	Peer string `json:"peer"`
	// Caller is the base URL for callers.
	Caller string `json:"caller"`
}

// Team is a group of callers that share keys and capacity.
type Team struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 hashes of the team's keys, in hex.
	KeyHashes []string `json:"key_hashes"`
	// Home is the team's region: the ledger of its non-idempotent requests is there.
	Home string `json:"home"`
	// Weight is the team's share of capacity relative to others (default 1).
	Weight float64 `json:"weight"`
	// Priority orders the team's requests; higher goes first (default 0).
	Priority int `json:"priority"`
	// Kind is the kind of the team's requests that name none (default "default").
	Kind string `json:"kind"`
	// Models and Services name what the team may use; empty means all.
	Models   []string `json:"models"`
	Services []string `json:"services"`
	// Homes lists the regions whose servers may run the team's requests on routes; empty
	// means all. A route's own homes bind as well.
	Homes []string `json:"homes,omitempty"`
	// Quota bounds what all entry hosts together send of the team's requests; nil for no limit.
	Quota *Quota `json:"quota,omitempty"`
}

// Model is a language model.
type Model struct {
	Name string `json:"name"`
	// Regions lists where the model may run; empty means everywhere.
	Regions []string `json:"regions"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name    string   `json:"name"`
	Regions []string `json:"regions"`
	// NonIdempotent marks calls with methods other than GET, HEAD and OPTIONS
	// as not repeatable: they run at most once.
	NonIdempotent bool `json:"non_idempotent"`
}

// ResidencyRule says where requests of a kind may be sent.
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

// Policy holds the weights of the decisions on requests.
type Policy struct {
	// Preset names the defaults: "archive", "railhalt" or "balanced".
	Preset string `json:"preset"`
	// SendAwayPriceMS is added, in ms, to another region's estimate.
	SendAwayPriceMS float64 `json:"send_away_price_ms"`
	// SendAwayMargin is the ratio by which another region must beat home (0 to 1).
	SendAwayMargin float64 `json:"send_away_margin"`
	// SendAwayCeiling is the largest share of requests sent away (0 to 1).
	SendAwayCeiling float64 `json:"send_away_ceiling"`
	// CacheWeight scales the value of a cached prefix (0 to 2).
	CacheWeight float64 `json:"cache_weight"`
	// RetryBudget is the share of recent requests that may be retries (0 to 1).
	RetryBudget float64 `json:"retry_budget"`
	// MaxAttempts bounds the attempts of one request (1 to 10).
	MaxAttempts int `json:"max_attempts"`
	// DefaultDeadlineMS applies to requests that state no deadline.
	DefaultDeadlineMS int `json:"default_deadline_ms"`
	// MaxQueuePerSlot bounds the requests queued for each slot of a backend server.
	MaxQueuePerSlot float64 `json:"max_queue_per_slot"`
}

// LedgerPolicy bounds the at-most-once ledger.
type LedgerPolicy struct {
	// Replicas is the number of replicas of a key: 3 or 5.
	Replicas int `json:"replicas"`
	// RetentionMS is how long a finished key keeps its answer.
	RetentionMS int64 `json:"retention_ms"`
	// MaxKeys bounds the keys held by one host.
	MaxKeys int `json:"max_keys"`
	// MaxBytes bounds the stored answers held by one host, in bytes.
	MaxBytes int `json:"max_bytes"`
	// MaxAnswerBytes bounds the stored body of one answer.
	MaxAnswerBytes int `json:"max_answer_bytes"`
}

// FieldError names a field of a record and what is wrong with it.
type FieldError struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// FieldErrors is every fault of one record.
type FieldErrors []FieldError

// Error implements error.
func (f FieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, e := range f {
		lines = append(lines, e.Field+": "+e.Reason)
	}
	return strings.Join(lines, "; ")
}

// Digest identifies the bytes of a record by their SHA-256 hash.
func Digest(raw []byte) []byte {
	sum := sha256.Sum256(raw)
	return sum[:]
}

// Parse decodes and validates the bytes of a record, compressed or not. Fields
// that this build does not know are ignored here and kept in the bytes, which
// travel unchanged.
func Parse(raw []byte) (*Record, error) {
	raw, err := Inflate(raw)
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

// DefaultKind is the kind of requests whose team names none.
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

// Presets are the named defaults of Policy. archive keeps work at home and
// accepts longer waits; railhalt sends away early to cut the tail.
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

// DefaultQueuePerSlot keeps a short queue at the backend servers, so that a free
// slot finds work, and the rest in the entry hosts' fair queues.
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

// RegionHosts returns the IDs of the region's entry hosts, sorted.
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
