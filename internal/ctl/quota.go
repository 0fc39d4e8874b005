package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
)

func quotaCommand(e *Env) *command {
	return &command{
		name: "quota", synopsis: "show what a control host has of the teams' quotas, and what was refused",
		usage: "quota\n  Each control host gives out a part of each quota: ask them one by one.\n" +
			"  Example: sesamectl -control http://127.0.0.1:8090 quota",
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) > 0 {
				return subcommands.ExitUsageError
			}
			return e.listQuotas(ctx)
		},
	}
}

func (e *Env) listQuotas(ctx context.Context) subcommands.ExitStatus {
	out := []operatorhttp.TeamQuota{}
	if err := e.client().Do(ctx, http.MethodGet, "/v1/quotas", nil, &out); err != nil {
		return e.fail(err)
	}
	return e.print(out, func(w io.Writer) {
		fmt.Fprintln(w, "TEAM\tPART\tFREE\tBORROWED\tLENT\tHELD\tSPENT\tASKED/S\tREFUSED")
		for _, q := range out {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\n",
				q.Team, q.Part, q.Free, q.Borrowed, q.Lent, q.Held, q.Spent, q.AskedPerSecond, q.Refused)
		}
	})
}
