package residency

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// regionsGen draws a subset of n regions.
func regionsGen(n int) *rapid.Generator[[]string] {
	return rapid.Custom(func(t *rapid.T) []string {
		var out []string
		for i := range n {
			if rapid.Bool().Draw(t, "in") {
				out = append(out, fmt.Sprint("r", i))
			}
		}
		return out
	})
}

// TestPermittedIsTheIntersection checks, for random rules and regions, that a
// region is permitted exactly when the residency rule and the target's regions
// both allow it.
func TestPermittedIsTheIntersection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "regions")
		r := &configstate.Record{
			Teams: []configstate.Team{{
				Name: "t", Home: fmt.Sprint("r", rapid.IntRange(0, n-1).Draw(t, "home")), Kind: "k",
			}},
			Models:   []configstate.Model{{Name: "m", Regions: regionsGen(n).Draw(t, "model")}},
			Services: []configstate.Service{{Name: "s", Regions: regionsGen(n).Draw(t, "service")}},
			Residency: []configstate.ResidencyRule{{
				Kind: "k", Regions: regionsGen(n).Draw(t, "rule"), HomeOnly: rapid.Bool().Draw(t, "homeOnly"),
			}},
		}
		for i := range n {
			r.Regions = append(r.Regions, configstate.Region{Name: fmt.Sprint("r", i)})
		}
		service := rapid.Bool().Draw(t, "asService")
		q := Query{Team: "t", Target: "m"}
		target := r.Models[0].Regions
		if service {
			q.Target, q.Service, target = "s", true, r.Services[0].Regions
		}
		got, err := Permitted(r, q)
		if (len(got) == 0) != (err != nil) {
			t.Fatalf("Permitted returned regions %v with error %v", got, err)
		}
		rule := r.Residency[0]
		for _, reg := range r.Regions {
			want := (len(rule.Regions) == 0 || slices.Contains(rule.Regions, reg.Name)) &&
				(len(target) == 0 || slices.Contains(target, reg.Name)) &&
				(!rule.HomeOnly || reg.Name == r.Teams[0].Home)
			if slices.Contains(got, reg.Name) != want || Allowed(r, q, reg.Name) != want {
				t.Fatalf("region %s permitted: %v, want %v", reg.Name, !want, want)
			}
		}
	})
}

func TestUnknownPermitsNothing(t *testing.T) {
	r := &configstate.Record{
		Regions:   []configstate.Region{{Name: "r"}},
		Teams:     []configstate.Team{{Name: "t", Home: "r", Kind: "k", Models: []string{"m"}}},
		Models:    []configstate.Model{{Name: "m"}, {Name: "other"}},
		Residency: []configstate.ResidencyRule{{Kind: "k"}},
	}
	for _, c := range []struct {
		name string
		q    Query
		code failure.Code
	}{
		{"team", Query{Team: "x", Target: "m"}, failure.Unauthorized},
		{"model", Query{Team: "t", Target: "x"}, failure.UnknownModel},
		{"model not of the team", Query{Team: "t", Target: "other"}, failure.UnknownModel},
		{"service", Query{Team: "t", Target: "x", Service: true}, failure.UnknownService},
		{"kind", Query{Team: "t", Target: "m", Kind: "x"}, failure.BadRequest},
	} {
		if got, err := Permitted(r, c.q); !failure.Is(err, c.code) || got != nil {
			t.Errorf("unknown %s: %v, %v", c.name, got, err)
		}
	}
}

// TestNoRulesMeanHome checks that a record without residency rules restricts
// requests to the team's home region.
func TestNoRulesMeanHome(t *testing.T) {
	r := &configstate.Record{
		Regions: []configstate.Region{{Name: "a"}, {Name: "b"}},
		Teams:   []configstate.Team{{Name: "t", Home: "b", Kind: configstate.DefaultKind}},
		Models:  []configstate.Model{{Name: "m"}},
	}
	if got, err := Permitted(r, Query{Team: "t", Target: "m"}); err != nil || !slices.Equal(got, []string{"b"}) {
		t.Errorf("permitted regions %v, error %v; want [b]", got, err)
	}
}
