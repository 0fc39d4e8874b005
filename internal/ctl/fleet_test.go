package ctl

import (
	"strings"
	"testing"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
)

// TestFleet checks the table that fleet prints, and that it takes no arguments.
func TestFleet(t *testing.T) {
	control := newStubServer(t, "/v1/fleet", operatorhttp.FleetState{
		Host: "10.0.0.1:7", FailureDomain: "w1", StalenessMS: 90,
		Domains:  []operatorhttp.DomainState{{Name: "w1", EntryHosts: 41, Ready: 40, Presented: 12, Owned: 11, OldestHostMS: 300, Servers: 90, Announced: 25, OldestServerMS: 5200}},
		Controls: []operatorhttp.ControlHostState{{Peer: "10.0.0.2:7", FailureDomain: "w1", AgeMS: 4000}},
	})
	for _, c := range []struct {
		args   []string
		exit   subcommands.ExitStatus
		output []string
	}{
		{[]string{"fleet"}, subcommands.ExitSuccess, []string{"at most 90 ms old", "w1 41 40 12 11 300 90 25 5200", "10.0.0.2:7 w1 4000 false"}},
		{[]string{"fleet", "w1"}, subcommands.ExitUsageError, nil},
	} {
		exit, out, errs := runCommand(&Env{Control: control, Output: "table"}, c.args...)
		if exit != c.exit {
			t.Errorf("%v: exit %d, %q, %q", c.args, exit, out, errs)
		}
		for _, text := range c.output {
			if !strings.Contains(strings.Join(strings.Fields(out), " "), text) {
				t.Errorf("%v does not print %q: %q", c.args, text, out)
			}
		}
	}
}
