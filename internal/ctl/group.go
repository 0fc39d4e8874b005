package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

func (e *Env) status(ctx context.Context) (*pb.HostStatus, error) {
	var raw json.RawMessage
	if err := e.client().Do(ctx, http.MethodGet, "/v1/status", nil, &raw); err != nil {
		return nil, err
	}
	st := new(pb.HostStatus)
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, st); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "")
	}
	return st, nil
}

func statusCommand(e *Env) *command {
	return &command{
		name: "status", synopsis: "show the control group and the version in force on every entry host",
		usage: "status\n  Example: sesamectl status",
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			st, err := e.status(ctx)
			if err != nil {
				return e.fail(err)
			}
			return e.print(st, func(w io.Writer) {
				fmt.Fprintf(w, "leader\t%s\tterm\t%d\taccepted version\t%d\n", st.Leader, st.Term, st.Stamp.GetVersion())
				fmt.Fprintf(w, "losses survivable now\t%d\n", st.SurvivableLosses)
				printReplicas(w, st)
				fmt.Fprintln(w, "ENTRY HOST\tVERSION\tSCHEMA\tLAST REPORT\t")
				for _, h := range st.Hosts {
					note := ""
					if h.Stamp.GetVersion() < st.Stamp.GetVersion() {
						note = "behind"
					}
					fmt.Fprintf(w, "%s\t%d\t%d\t%s ago\t%s\n", h.Host, h.Stamp.GetVersion(), h.MaxSchema,
						(time.Duration(h.AgeMs) * time.Millisecond).Round(100*time.Millisecond), note)
				}
			})
		},
	}
}

func printReplicas(w io.Writer, st *pb.HostStatus) {
	fmt.Fprintln(w, "REPLICA\tADDRESS\tROLE\tLOG\tSTATE")
	for _, r := range st.Replicas {
		role, state := "voter", "lost"
		if r.Learner {
			role = "learner"
		}
		if r.Recent {
			state = "behind"
		}
		if r.CaughtUp {
			state = "caught up"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", r.Id, r.Address, role, r.Match, state)
	}
}

func replicaCommand(e *Env) *command {
	return &command{
		name: "replica", synopsis: "show, add or replace replicas of the control group",
		usage: "replica status | replica add ADDRESS | replica replace ID ADDRESS\n" +
			"  Example: sesamectl replica replace c2.0 127.20.2.1:7100",
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			var out map[string]string
			var err error
			switch {
			case len(args) == 1 && args[0] == "status":
				st, err := e.status(ctx)
				if err != nil {
					return e.fail(err)
				}
				return e.print(st.Replicas, func(w io.Writer) {
					fmt.Fprintf(w, "losses survivable now\t%d\n", st.SurvivableLosses)
					printReplicas(w, st)
				})
			case len(args) == 2 && args[0] == "add":
				err = e.client().Do(ctx, http.MethodPost, "/v1/replicas", operatorhttp.ReplicaBody{Address: args[1]}, &out)
			case len(args) == 3 && args[0] == "replace":
				err = e.client().Do(ctx, http.MethodPut, "/v1/replicas/"+args[1], operatorhttp.ReplicaBody{Address: args[2]}, &out)
			default:
				fmt.Fprintln(e.Stderr, "use: replica status, replica add ADDRESS or replica replace ID ADDRESS")
				return subcommands.ExitUsageError
			}
			if err != nil {
				return e.fail(err)
			}
			return e.print(out, func(w io.Writer) { fmt.Fprintln(w, out["result"]) })
		},
	}
}

func orderCommand(e *Env) *command {
	var o operatorhttp.OrderBody
	return &command{
		name: "order", synopsis: "send an order with a fencing number to a model engine",
		usage: "order -address IP:PORT -action load|unload|role [-model M] [-adapter A] [-version V] [-role R]\n" +
			"  Example: sesamectl order -address 127.20.1.101:9000 -action load -model parts-chat",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&o.Address, "address", "", "the engine's IP address and port")
			f.StringVar(&o.Action, "action", "", "load, unload or role")
			f.StringVar(&o.Model, "model", "", "model")
			f.StringVar(&o.Adapter, "adapter", "", "adapter")
			f.StringVar(&o.Version, "version", "", "version")
			f.StringVar(&o.Role, "role", "", "role")
		},
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			var out operatorhttp.OrderResult
			if err := e.client().Do(ctx, http.MethodPost, "/v1/orders", o, &out); err != nil {
				return e.fail(err)
			}
			return e.print(out, func(w io.Writer) { fmt.Fprintf(w, "order %d executed\n", out.Fence) })
		},
	}
}
