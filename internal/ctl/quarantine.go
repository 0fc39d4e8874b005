package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
)

func quarantineCommand(e *Env) *command {
	return &command{
		name: "quarantine", synopsis: "list the requests and prompt parts that crash backend servers, or lift the quarantine of one",
		usage: "quarantine list\n  quarantine lift fingerprint\n" +
			"  Example: sesamectl quarantine lift 8c6f1d0e5b7a49d2a3f4c1b09e8d7654",
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			switch {
			case len(args) == 1 && args[0] == "list":
				return e.listQuarantine(ctx)
			case len(args) == 2 && args[0] == "lift":
				return e.liftQuarantine(ctx, args[1])
			}
			return subcommands.ExitUsageError
		},
	}
}

func (e *Env) listQuarantine(ctx context.Context) subcommands.ExitStatus {
	out := []operatorhttp.Suspect{}
	if err := e.client().Do(ctx, http.MethodGet, "/v1/quarantine", nil, &out); err != nil {
		return e.fail(err)
	}
	return e.print(out, func(w io.Writer) {
		fmt.Fprintln(w, "FINGERPRINT\tKIND\tPART\tVERDICT\tTEAM\tSERVICE\tRELEASE\tCRASHES\tLAST CRASH")
		for _, s := range out {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s ago\n", s.Fingerprint, s.Kind, s.Part, s.Verdict, s.Team, s.Service, s.Release, s.Crashes,
				(time.Duration(s.LastCrashMS) * time.Millisecond).Round(time.Second))
		}
	})
}

func (e *Env) liftQuarantine(ctx context.Context, fingerprint string) subcommands.ExitStatus {
	out := map[string]string{}
	if err := e.client().Do(ctx, http.MethodDelete, "/v1/quarantine/"+fingerprint, nil, &out); err != nil {
		return e.fail(err)
	}
	return e.print(out, func(w io.Writer) {
		fmt.Fprintln(w, "lifted; all entry hosts accept the request or prompt part again within seconds")
	})
}
