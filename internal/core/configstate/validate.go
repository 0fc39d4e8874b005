package configstate

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
)

// keyHashLength is the length of a SHA-256 hash in hex.
const keyHashLength = 64

// validator collects the validation errors of one record.
type validator struct {
	errs    FieldErrors
	regions map[string]Region
}

func (v *validator) addError(field, format string, args ...any) {
	v.errs = append(v.errs, FieldError{field, fmt.Sprintf(format, args...)})
}

func (r *Record) validate() FieldErrors {
	v := &validator{regions: map[string]Region{}}
	v.checkRegions(r)
	v.checkHosts(r)
	v.checkNames(r)
	v.checkTeams(r)
	v.checkResidency(r)
	v.checkPolicy(r)
	v.checkOperators(r)
	v.checkRoutes(r)
	return v.errs
}

func (v *validator) checkRegions(r *Record) {
	if len(r.Regions) == 0 {
		v.addError("regions", "at least one region is needed")
	}
	domains := map[string]bool{}
	for i, reg := range r.Regions {
		field := fmt.Sprintf("regions[%d]", i)
		if _, dup := v.regions[reg.Name]; dup || reg.Name == "" {
			v.addError(field+".name", "%q is empty or used twice", reg.Name)
		}
		v.regions[reg.Name] = reg
		if len(reg.FailureDomains) == 0 {
			v.addError(field+".failure_domains", "at least one failure domain is needed")
		}
		for _, d := range reg.FailureDomains {
			if domains[d] || d == "" {
				v.addError(field+".failure_domains", "%q is empty or used twice", d)
			}
			domains[d] = true
		}
	}
}

func (v *validator) checkHosts(r *Record) {
	seen := map[string]bool{}
	inRegion := map[string]int{}
	for i, h := range r.Hosts {
		field := fmt.Sprintf("hosts[%d]", i)
		if h.ID == "" || seen[h.ID] {
			v.addError(field+".id", "%q is empty or used twice", h.ID)
		}
		seen[h.ID] = true
		inRegion[h.Region]++
		reg, ok := v.regions[h.Region]
		if !ok {
			v.addError(field+".region", "%q is not a region; known: %s", h.Region, v.knownRegions())
		} else if !slices.Contains(reg.FailureDomains, h.FailureDomain) {
			v.addError(field+".failure_domain", "%q is not in region %q", h.FailureDomain, h.Region)
		}
		if _, err := netip.ParseAddrPort(h.Peer); err != nil {
			v.addError(field+".peer", "%q is not an IP address with a port", h.Peer)
		}
		if u, err := url.Parse(h.Caller); err != nil || u.Host == "" {
			v.addError(field+".caller", "%q is not a base URL such as http://127.0.0.1:8080", h.Caller)
		}
	}
	for _, reg := range r.Regions {
		if inRegion[reg.Name] == 0 && !r.OpenOperators {
			v.addError("hosts", "region %q has no entry host", reg.Name)
		}
	}
}

// knownRegions returns the names of the record's regions for error messages.
func (v *validator) knownRegions() string {
	names := make([]string, 0, len(v.regions))
	for n := range v.regions {
		names = append(names, n)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (v *validator) checkRegionList(field string, regions []string) {
	for _, name := range regions {
		if _, ok := v.regions[name]; !ok {
			v.addError(field, "%q is not a region; known: %s", name, v.knownRegions())
		}
	}
}

func (v *validator) checkNames(r *Record) {
	seen := map[string]bool{}
	for i, m := range r.Models {
		field := fmt.Sprintf("models[%d]", i)
		if m.Name == "" || seen["model "+m.Name] {
			v.addError(field+".name", "%q is empty or used twice", m.Name)
		}
		seen["model "+m.Name] = true
		v.checkRegionList(field+".regions", m.Regions)
	}
	for i, s := range r.Services {
		field := fmt.Sprintf("services[%d]", i)
		if s.Name == "" || seen["service "+s.Name] {
			v.addError(field+".name", "%q is empty or used twice", s.Name)
		}
		seen["service "+s.Name] = true
		v.checkRegionList(field+".regions", s.Regions)
	}
}

// checkKeyHashes validates an owner's key hashes; seen maps each hash checked so far to its owner.
func (v *validator) checkKeyHashes(field, owner string, hashes []string, seen map[string]string) {
	for _, h := range hashes {
		if len(h) != keyHashLength || strings.Trim(h, "0123456789abcdef") != "" {
			v.addError(field, "%.8q… is not a SHA-256 hash in lower-case hex", h)
		}
		if other, used := seen[h]; used {
			v.addError(field, "the hash %.8s… is used twice, by %q and %q", h, other, owner)
		}
		seen[h] = owner
	}
}

func (v *validator) checkTeams(r *Record) {
	names := map[string]bool{}
	hashes := map[string]string{}
	for i, t := range r.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			v.addError(field+".name", "%q is empty or used twice", t.Name)
		}
		names[t.Name] = true
		if t.Home != "" || !r.OpenOperators {
			v.checkRegionList(field+".home", []string{t.Home})
		}
		v.checkKeyHashes(field+".key_hashes", t.Name, t.KeyHashes, hashes)
		v.checkQuota(field+".quota", t.Quota)
		if t.Weight < 0 || t.Weight > 1000 {
			v.addError(field+".weight", "%v is not between 0 and 1000", t.Weight)
		}
		if _, ok := r.Rule(t.Kind); !ok && len(r.Residency) > 0 {
			v.addError(field+".kind", "%q has no residency rule", t.Kind)
		}
		for _, m := range t.Models {
			if _, ok := r.Model(m); !ok {
				v.addError(field+".models", "%q is not a model", m)
			}
		}
		for _, s := range t.Services {
			if _, ok := r.Service(s); !ok {
				v.addError(field+".services", "%q is not a service", s)
			}
		}
	}
}

// checkResidency validates the residency rules. It rejects a rule that leaves a team's
// default kind without a permitted region for a model or service that the team may use.
func (v *validator) checkResidency(r *Record) {
	kinds := map[string]bool{}
	for i, rule := range r.Residency {
		field := fmt.Sprintf("residency[%d]", i)
		if rule.Kind == "" || kinds[rule.Kind] {
			v.addError(field+".kind", "%q is empty or used twice", rule.Kind)
		}
		kinds[rule.Kind] = true
		v.checkRegionList(field+".regions", rule.Regions)
		v.checkReachable(field, r, rule)
	}
}

// checkReachable checks that the rule leaves a region for every model and service that teams
// of its kind may use.
func (v *validator) checkReachable(field string, r *Record, rule ResidencyRule) {
	for _, t := range r.Teams {
		if t.Kind != rule.Kind {
			continue
		}
		for _, m := range r.Models {
			if emptyOrContains(t.Models, m.Name) && !v.hasPermittedRegion(r, rule, m.Regions, t.Home) {
				v.addError(field, "kind %q of team %q leaves no region for model %q", rule.Kind, t.Name, m.Name)
			}
		}
		for _, s := range r.Services {
			if emptyOrContains(t.Services, s.Name) && !v.hasPermittedRegion(r, rule, s.Regions, t.Home) {
				v.addError(field, "kind %q of team %q leaves no region for service %q", rule.Kind, t.Name, s.Name)
			}
		}
	}
}

// emptyOrContains reports whether the list admits the name; an empty list admits all.
func emptyOrContains(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// hasPermittedRegion reports whether a region is permitted by both the rule and the target's
// regions, for a team with the given home region.
func (v *validator) hasPermittedRegion(r *Record, rule ResidencyRule, target []string, home string) bool {
	for _, reg := range r.Regions {
		if rule.HomeOnly && reg.Name != home {
			continue
		}
		if emptyOrContains(rule.Regions, reg.Name) && emptyOrContains(target, reg.Name) {
			return true
		}
	}
	return false
}

func (v *validator) checkPolicy(r *Record) {
	p := r.Policy
	if _, ok := Presets[p.Preset]; !ok {
		v.addError("policy.preset", "%q is not one of archive, balanced, railhalt", p.Preset)
	}
	v.checkRange("policy.send_away_price_ms", p.SendAwayPriceMS, 0, 600_000)
	v.checkRange("policy.send_away_margin", p.SendAwayMargin, 0, 1)
	v.checkRange("policy.send_away_ceiling", p.SendAwayCeiling, 0, 1)
	v.checkRange("policy.cache_weight", p.CacheWeight, 0, 2)
	v.checkRange("policy.retry_budget", p.RetryBudget, 0, 1)
	v.checkRange("policy.max_attempts", float64(p.MaxAttempts), 1, 10)
	v.checkRange("policy.default_deadline_ms", float64(p.DefaultDeadlineMS), 100, 3_600_000)
	v.checkRange("policy.max_queue_per_slot", p.MaxQueuePerSlot, 0, 100)
	if r.Ledger.Replicas != 3 && r.Ledger.Replicas != 5 {
		v.addError("ledger.replicas", "%d is not 3 or 5", r.Ledger.Replicas)
	}
	v.checkRange("ledger.retention_ms", float64(r.Ledger.RetentionMS), 1000, 86_400_000)
	v.checkRange("ledger.max_keys", float64(r.Ledger.MaxKeys), 1, 10_000_000)
	v.checkRange("ledger.max_bytes", float64(r.Ledger.MaxBytes), 1, 1<<40)
	v.checkRange("ledger.max_answer_bytes", float64(r.Ledger.MaxAnswerBytes), 1, 16<<20)
}

func (v *validator) checkRange(field string, value, low, high float64) {
	if value < low || value > high {
		v.addError(field, "%v is not between %v and %v", value, low, high)
	}
}

func (v *validator) checkOperators(r *Record) {
	hashes := map[string]string{}
	writers := 0
	for i, o := range r.Operators {
		v.checkKeyHashes(fmt.Sprintf("operators[%d].key_hashes", i), o.Name, o.KeyHashes, hashes)
		if !o.ReadOnly && len(o.KeyHashes) > 0 {
			writers++
		}
	}
	if writers == 0 && !r.OpenOperators {
		v.addError("operators", "at least one operator with a key must not be read_only, or nobody could change the record again")
	}
}

// CheckTransition rejects changes between two valid records that cannot be applied safely
// while the entry hosts run.
func CheckTransition(old, next *Record) FieldErrors {
	v := &validator{}
	for _, reg := range old.Regions {
		before := hostIDs(old.RegionHosts(reg.Name))
		after := hostIDs(next.RegionHosts(reg.Name))
		if len(before) > 0 && len(after) > 0 && !slices.Equal(before, after) {
			v.addError("hosts", "region %q: the set of host IDs is the ledger's replica set and cannot change while it runs "+
				"(%s to %s); give a replacement machine the ID of the lost one", reg.Name,
				strings.Join(before, ","), strings.Join(after, ","))
		}
	}
	if old.Ledger.Replicas != next.Ledger.Replicas {
		v.addError("ledger.replicas", "cannot change while the ledger runs")
	}
	return v.errs
}

func hostIDs(hosts []Host) []string {
	ids := make([]string, 0, len(hosts))
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	return ids
}
