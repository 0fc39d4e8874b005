package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/app/gateway"
)

func admissionCommand(e *Env) *command {
	var host string
	return &command{
		name: "admission", synopsis: "show an entry host's room, the fractions of requests that it admits, and its rejections",
		usage: "admission -host URL\n  Example: sesamectl admission -host http://127.20.1.1:9464",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&host, "host", "", "`URL` of the entry host's address for metrics")
		},
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) > 0 || host == "" {
				return subcommands.ExitUsageError
			}
			var vars struct {
				Sesame struct {
					Admission []gateway.AdmissionStatus `json:"admission"`
				} `json:"sesame"`
			}
			if err := e.callEntryHost(ctx, http.MethodGet, host, "/debug/vars", &vars); err != nil {
				return e.fail(err)
			}
			list := vars.Sesame.Admission
			return e.print(list, func(w io.Writer) { printAdmission(w, list) })
		},
	}
}

func printAdmission(w io.Writer, list []gateway.AdmissionStatus) {
	fmt.Fprintln(w, "SERVICE\tREGIONS\tSLOTS\tREQUESTS\tSURPLUS\tFRACTIONS\tAGE MS\tREJECTED")
	for _, s := range list {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.2f\t%d\t%s\n", s.Service, s.Regions, s.Slots, s.Requests, s.Surplus, s.Fractions, s.AgeMS, rejectionCounts(s.Rejected))
	}
}

// rejectionCounts formats the rejections by class and cause, sorted.
func rejectionCounts(rejected map[string]int64) string {
	var out []string
	for _, cause := range slices.Sorted(maps.Keys(rejected)) {
		out = append(out, fmt.Sprintf("%s: %d", cause, rejected[cause]))
	}
	return strings.Join(out, ", ")
}
