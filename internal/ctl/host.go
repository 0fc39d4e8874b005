package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/callerhttp"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// callEntryHost calls an entry host at its operators' address, host.
func (e *Env) callEntryHost(ctx context.Context, method, host, path string, out any) error {
	return NewClient(host, e.Key).Do(ctx, method, path, nil, out)
}

func explainCommand(e *Env) *command {
	var host string
	return &command{
		name: "explain", synopsis: "explain how a request was routed",
		usage: "explain -host URL REQUEST_ID\n  Example: sesamectl explain -host http://127.20.1.1:9090 3f2a…",
		flags: func(f *flag.FlagSet) { f.StringVar(&host, "host", "", "`URL` of the entry host's operators' address") },
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 || host == "" {
				return subcommands.ExitUsageError
			}
			var out json.RawMessage
			if err := e.callEntryHost(ctx, http.MethodGet, host, "/v1/explain/"+args[0], &out); err != nil {
				return e.fail(err)
			}
			e.Output = "json"
			return e.print(out, nil)
		},
	}
}

func rescueCommand(e *Env) *command {
	var hosts string
	return &command{
		name: "rescue", synopsis: "print the newest record that entry hosts hold, after the loss of all control hosts' disks",
		usage: "rescue -hosts URL,URL\n  Example: sesamectl rescue -hosts http://127.20.1.1:9090,http://127.20.2.1:9090 > record.json",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&hosts, "hosts", "", "`URLs` of entry hosts' operators' addresses, separated by commas")
		},
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			var newest callerhttp.ConfigInForce
			var last error
			for _, host := range strings.Split(hosts, ",") {
				var got callerhttp.ConfigInForce
				if err := e.callEntryHost(ctx, http.MethodGet, host, "/v1/config", &got); err != nil {
					last = err
					continue
				}
				if got.Generation > newest.Generation || got.Generation == newest.Generation && got.Version > newest.Version {
					newest = got
				}
			}
			if newest.Record == nil {
				return e.fail(failure.New(failure.NotFound, "", "no entry host holds a record: %v", last))
			}
			fmt.Fprintf(e.Stderr, "generation %d, version %d: form a new control group with generation %d, then apply this record with -base 0\n",
				newest.Generation, newest.Version, newest.Generation+1)
			fmt.Fprintln(e.Stdout, string(newest.Record))
			return subcommands.ExitSuccess
		},
	}
}

func drainCommand(e *Env) *command {
	var host string
	var undo bool
	return &command{
		name: "drain", synopsis: "remove an entry host from the lists of entry hosts, or put it back",
		usage: "drain -host URL [-undo]\n  Example: sesamectl drain -host http://127.20.1.1:9090",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&host, "host", "", "`URL` of the entry host's operators' address")
			f.BoolVar(&undo, "undo", false, "put the entry host back into the lists")
		},
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			if host == "" {
				return subcommands.ExitUsageError
			}
			method := http.MethodPost
			if undo {
				method = http.MethodDelete
			}
			if err := e.callEntryHost(ctx, method, host, "/v1/drain", nil); err != nil {
				return e.fail(err)
			}
			return subcommands.ExitSuccess
		},
	}
}
