package configstate

import (
	"slices"
	"testing"
	"time"
)

// TestUrgencyClasses guards against an order of requests that makes less urgent ones miss their targets while there
// is room, and against a wrong precedence of teams and routes.
func TestUrgencyClasses(t *testing.T) {
	to := func(service string, priority int, targetMS int64) Route {
		return Route{Priority: priority, LatencyTargetMS: targetMS, Targets: []RouteTarget{{service, 1}}}
	}
	split := Route{Priority: 2, LatencyTargetMS: 3000, Targets: []RouteTarget{{"llm", 1}, {"desk", 1}, {"unused", 0}}}
	class := func(team, priority int, ms int64) UrgencyClass {
		return UrgencyClass{team, priority, time.Duration(ms) * time.Millisecond}
	}
	for _, c := range []struct {
		name    string
		service string
		routes  []Route
		teams   []Team
		keys    bool
		want    []UrgencyClass
	}{
		{"two priorities", "llm", []Route{to("llm", 2, 3000), to("llm", 0, 800)}, nil, false, []UrgencyClass{class(0, 0, 800), class(0, 2, 3000)}},
		{"one priority", "llm", []Route{to("llm", 0, 800), to("llm", 0, 3000)}, nil, false, nil},
		{"targets too close", "llm", []Route{to("llm", 0, 800), to("llm", 2, 1599)}, nil, false, nil},
		{"less urgent route with the shorter target", "llm", []Route{to("llm", 1, 1000), to("llm", 0, 1500)}, nil, false, nil},
		{"longest target of the urgent routes counts", "llm", []Route{to("llm", 0, 800), to("llm", 0, 1600), to("llm", 2, 3000)}, nil, false, nil},
		{"a route without a target", "llm", []Route{to("llm", 0, 800), to("llm", 2, 0)}, nil, false, nil},
		{"other service's route", "llm", []Route{to("llm", 0, 800), to("desk", 2, 3000)}, nil, false, nil},
		{"route split over services", "desk", []Route{to("desk", 0, 400), split}, nil, false, []UrgencyClass{class(0, 0, 400), class(0, 2, 3000)}},
		{"target of weight 0", "unused", []Route{to("unused", 0, 400), split}, nil, false, nil},
		{"teams first", "llm", []Route{to("llm", 0, 800), to("llm", 2, 3000)}, []Team{{Priority: 1}, {Priority: 3}, {Priority: 1}}, true,
			[]UrgencyClass{class(3, 0, 800), class(3, 2, 3000), class(1, 0, 800), class(1, 2, 3000)}},
		{"teams and requests without a team", "llm", []Route{to("llm", 0, 800), to("llm", 2, 3000)}, []Team{{Priority: 1}}, false,
			[]UrgencyClass{class(1, 0, 800), class(1, 2, 3000), class(0, 0, 800), class(0, 2, 3000)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &Record{Routes: c.routes, Teams: c.teams, KeysRequired: c.keys}
			got := r.UrgencyClasses(c.service)
			if !slices.Equal(got, c.want) {
				t.Fatalf("classes %v, want %v", got, c.want)
			}
			for i, k := range got {
				if n := ClassOf(got, k.TeamPriority, k.Priority); n != i {
					t.Errorf("class %d found as %d", i, n)
				}
			}
		})
	}
}
