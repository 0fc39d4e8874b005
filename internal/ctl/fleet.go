package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
)

func fleetCommand(e *Env) *command {
	return &command{
		name: "fleet", synopsis: "show what a control host knows of who is there, and what it owns",
		usage: "fleet\n  Each control host has its own view: ask several where they may differ.\n" +
			"  Example: sesamectl -control http://127.0.0.1:8090 fleet",
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) > 0 {
				return subcommands.ExitUsageError
			}
			return e.showFleet(ctx)
		},
	}
}

func (e *Env) showFleet(ctx context.Context) subcommands.ExitStatus {
	var out operatorhttp.FleetState
	if err := e.client().Do(ctx, http.MethodGet, "/v1/fleet", nil, &out); err != nil {
		return e.fail(err)
	}
	return e.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "%s in %s, configuration at most %d ms old\n", out.Host, out.FailureDomain, out.StalenessMS)
		fmt.Fprintln(w, "FAILURE DOMAIN\tHOSTS\tREADY\tPRESENTED\tOWNED\tOLDEST MS\tSERVERS\tANNOUNCED\tOLDEST MS")
		for _, d := range out.Domains {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
				d.Name, d.EntryHosts, d.Ready, d.Presented, d.Owned, d.OldestHostMS, d.Servers, d.Announced, d.OldestServerMS)
		}
		fmt.Fprintln(w, "CONTROL HOST\tFAILURE DOMAIN\tAGE MS\tHEARD")
		for _, c := range out.Controls {
			fmt.Fprintf(w, "%s\t%s\t%d\t%t\n", c.Peer, c.FailureDomain, c.AgeMS, c.Heard)
		}
	})
}
