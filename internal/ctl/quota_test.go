package ctl

import (
	"strings"
	"testing"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
)

// TestQuota checks the table that quota prints, and that it takes no arguments.
func TestQuota(t *testing.T) {
	control := newStubServer(t, "/v1/quotas", []operatorhttp.TeamQuota{{Team: "dealers", Part: 300, Free: 120, Lent: 40, Held: 20, Spent: 120, AskedPerSecond: 15.5, Refused: 7}})
	for _, c := range []struct {
		args   []string
		exit   subcommands.ExitStatus
		output string
	}{
		{[]string{"quota"}, subcommands.ExitSuccess, "dealers  300   120   0         40    20    120    15.5     7"},
		{[]string{"quota", "dealers"}, subcommands.ExitUsageError, ""},
	} {
		exit, out, errs := runCommand(&Env{Control: control, Output: "table"}, c.args...)
		if exit != c.exit || !strings.Contains(out, c.output) {
			t.Errorf("%v: exit %d, %q, %q", c.args, exit, out, errs)
		}
	}
}
