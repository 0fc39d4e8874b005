// Package residency decides in which regions a request may be handled. The
// decision is a pure function of the configuration. The entry host that routes
// a request, the one that forwards it and the one that receives it each
// evaluate it on their own installed configuration.
package residency

import (
	"slices"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Query holds the properties of a request that residency rules depend on.
type Query struct {
	Team    string
	Kind    string // empty for the team's configured kind
	Target  string // model or service name
	Service bool   // Target names a service rather than a model
}

// Permitted returns the regions in which the request may be handled, sorted.
// For an unknown team, kind or target, and when no region is permitted, it
// returns no regions and a typed failure.
func Permitted(r *configstate.Record, q Query) ([]string, error) {
	team, ok := r.Team(q.Team)
	if !ok {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "team %q is not configured", q.Team)
	}
	target, err := targetRegions(r, team, q)
	if err != nil {
		return nil, err
	}
	rule, err := residencyRule(r, team, q.Kind)
	if err != nil {
		return nil, err
	}
	var permitted []string
	for _, region := range r.RegionNames() {
		if rule.HomeOnly && region != team.Home {
			continue
		}
		if emptyOrContains(rule.Regions, region) && emptyOrContains(target, region) {
			permitted = append(permitted, region)
		}
	}
	if len(permitted) == 0 {
		return nil, failure.New(failure.Residency, failure.NotRun,
			"requests of kind %q of team %q are not permitted in any region for target %q", rule.Kind, team.Name, q.Target)
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
		if !ok || !emptyOrContains(team.Services, q.Target) {
			return nil, failure.New(failure.UnknownService, failure.NotRun, "service %q is not available to team %q", q.Target, team.Name)
		}
		return s.Regions, nil
	}
	m, ok := r.Model(q.Target)
	if !ok || !emptyOrContains(team.Models, q.Target) {
		return nil, failure.New(failure.UnknownModel, failure.NotRun, "model %q is not available to team %q", q.Target, team.Name)
	}
	return m.Regions, nil
}

// residencyRule returns the rule for the kind; an empty kind selects the team's
// configured kind. Without any rules in the record, requests of the default kind
// are restricted to the team's home region.
func residencyRule(r *configstate.Record, team configstate.Team, kind string) (configstate.ResidencyRule, error) {
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

// emptyOrContains reports whether the list admits the name; an empty list admits all.
func emptyOrContains(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
