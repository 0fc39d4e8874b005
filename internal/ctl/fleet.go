package ctl

import (
	"fmt"
	"io"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
)

func fleetCommand(e *Env) *command {
	return showCommand(e, command{
		name: "fleet", synopsis: "show a control host's view of the fleet, and how many entry hosts it owns",
		usage: "fleet\n  Each control host has its own view: compare several of them if they may differ.\n" +
			"  Example: sesamectl -control http://127.0.0.1:8090 fleet",
	}, "/v1/fleet", printFleet)
}

func printFleet(w io.Writer, fleet operatorhttp.FleetState) {
	fmt.Fprintf(w, "%s in %s, configuration at most %d ms old\n", fleet.Host, fleet.FailureDomain, fleet.StalenessMS)
	fmt.Fprintln(w, "FAILURE DOMAIN\tHOSTS\tREADY\tPRESENTED\tOWNED\tOLDEST MS\tSERVERS\tANNOUNCED\tOLDEST MS")
	for _, d := range fleet.Domains {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			d.Name, d.EntryHosts, d.Ready, d.Presented, d.Owned, d.OldestHostMS, d.Servers, d.Announced, d.OldestServerMS)
	}
	fmt.Fprintln(w, "CONTROL HOST\tFAILURE DOMAIN\tAGE MS\tRECENT")
	for _, c := range fleet.Controls {
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\n", c.Peer, c.FailureDomain, c.AgeMS, c.Recent)
	}
}
