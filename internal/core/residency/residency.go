// Package residency decides in which regions a request may be handled. The
// decision is one pure function, asked by the host that chooses, by the host
// that sends and by the host that receives, each on its own configuration.
package residency

import (
	"slices"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Query names a request's properties that matter to residency.
type Query struct {
	Team    string
	Kind    string // empty for the team's own kind
	Target  string // model or service name
	Service bool   // Target is a service
}

// Permitted returns the regions in which the request may be handled, sorted.
// An unknown team, kind or target permits none and gives a typed failure.
func Permitted(r *configstate.Record, q Query) ([]string, error) {
	team, ok := r.Team(q.Team)
	if !ok {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "team %q is not configured", q.Team)
	}
	target, err := targetRegions(r, team, q)
	if err != nil {
		return nil, err
	}
	rule, err := ruleOf(r, team, q.Kind)
	if err != nil {
		return nil, err
	}
	var permitted []string
	for _, region := range r.RegionNames() {
		if rule.HomeOnly && region != team.Home {
			continue
		}
		if allows(rule.Regions, region) && allows(target, region) {
			permitted = append(permitted, region)
		}
	}
	if len(permitted) == 0 {
		return nil, failure.New(failure.Residency, failure.NotRun,
			"requests of kind %q of team %q may go nowhere for %q", rule.Kind, team.Name, q.Target)
	}
	return permitted, nil
}

// Allowed reports whether the request may be handled in the region.
func Allowed(r *configstate.Record, q Query, region string) bool {
	permitted, err := Permitted(r, q)
	return err == nil && slices.Contains(permitted, region)
}

func targetRegions(r *configstate.Record, team configstate.Team, q Query) ([]string, error) {
	if q.Service {
		s, ok := r.Service(q.Target)
		if !ok || !allows(team.Services, q.Target) {
			return nil, failure.New(failure.UnknownService, failure.NotRun, "service %q is not available to team %q", q.Target, team.Name)
		}
		return s.Regions, nil
	}
	m, ok := r.Model(q.Target)
	if !ok || !allows(team.Models, q.Target) {
		return nil, failure.New(failure.UnknownModel, failure.NotRun, "model %q is not available to team %q", q.Target, team.Name)
	}
	return m.Regions, nil
}

// ruleOf returns the rule of the kind. Without any rules, every request stays
// at its team's home.
func ruleOf(r *configstate.Record, team configstate.Team, kind string) (configstate.ResidencyRule, error) {
	if kind == "" {
		kind = team.Kind
	}
	if len(r.Residency) == 0 && kind == configstate.DefaultKind {
		return configstate.ResidencyRule{Kind: kind, HomeOnly: true}, nil
	}
	rule, ok := r.Rule(kind)
	if !ok {
		return rule, failure.New(failure.BadRequest, failure.NotRun, "kind %q has no residency rule", kind)
	}
	return rule, nil
}

func allows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
