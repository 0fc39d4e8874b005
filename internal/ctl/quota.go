package ctl

import (
	"fmt"
	"io"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
)

func quotaCommand(e *Env) *command {
	return showCommand(e, command{
		name: "quota", synopsis: "show a control host's shares of the teams' quotas, and what it refused",
		usage: "quota\n  Each control host grants a part of each quota: query all control hosts for the total.\n" +
			"  Example: sesamectl -control http://127.0.0.1:8090 quota",
	}, "/v1/quotas", printQuotas)
}

func printQuotas(w io.Writer, quotas []operatorhttp.TeamQuota) {
	fmt.Fprintln(w, "TEAM\tPART\tFREE\tBORROWED\tLENT\tHELD\tSPENT\tASKED/S\tREFUSED")
	for _, q := range quotas {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\n",
			q.Team, q.Part, q.Free, q.Borrowed, q.Lent, q.Held, q.Spent, q.AskedPerSecond, q.Refused)
	}
}
