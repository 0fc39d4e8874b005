package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/settings"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
)

func applyCommand(e *Env) *command {
	var file, reason, changeID string
	var base int64
	return &command{
		name: "apply", synopsis: "accept a new configuration record",
		usage: "apply -f record.toml [-base N] [-reason text] [-change-id id]\n" +
			"  Example: sesamectl apply -f deploy/railhalt/record.toml -reason 'raise the ceiling'\n" +
			"  If the response was lost, repeat the command with the same -change-id: it returns the first result.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&file, "f", "", "record `file` (TOML or JSON)")
			f.StringVar(&reason, "reason", "", "reason for the change, recorded in the history")
			f.StringVar(&changeID, "change-id", "", "identifier of the change (default: random)")
			f.Int64Var(&base, "base", -1, "version that the change is based on (default: the current one)")
		},
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			record, err := ReadRecord(file)
			if err != nil {
				return e.fail(err)
			}
			c := e.client()
			if base < 0 {
				current, err := c.Current(ctx)
				if err != nil && !failure.Is(err, failure.NotFound) {
					return e.fail(err)
				}
				base = int64(current.Version)
			}
			if changeID == "" {
				changeID = randomID()
			}
			var out operatorhttp.ChangeResult
			change := operatorhttp.Change{BaseVersion: uint64(base), ChangeID: changeID, Reason: reason, Record: record}
			if err := c.Do(ctx, http.MethodPut, "/v1/config", change, &out); err != nil {
				return e.fail(err)
			}
			return e.print(out, func(w io.Writer) { fmt.Fprintf(w, "accepted as version %d\n", out.Version) })
		},
	}
}

func getCommand(e *Env) *command {
	return &command{
		name: "get", synopsis: "print the accepted record, or an earlier version",
		usage: "get [version]\n  Example: sesamectl -output json get 12",
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			path := "/v1/config"
			if len(args) > 0 {
				path += "/" + args[0]
			}
			var out operatorhttp.Config
			if err := e.client().Do(ctx, http.MethodGet, path, nil, &out); err != nil {
				return e.fail(err)
			}
			return e.print(out, func(w io.Writer) {
				fmt.Fprintf(w, "version\t%d\nby\t%s\nat\t%s\nwhy\t%s\n%s\n",
					out.Version, out.Operator, out.Time.Format(time.RFC3339), out.Reason, out.Record)
			})
		},
	}
}

func unionKeys(a, b map[string]any) []string {
	keys := slices.Collect(maps.Keys(a))
	for k := range b {
		if _, ok := a[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func diffCommand(e *Env) *command {
	return &command{
		name: "diff", synopsis: "show what a record file would change",
		usage: "diff record.toml\n  Example: sesamectl diff deploy/archive/record.toml",
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return subcommands.ExitUsageError
			}
			next, err := ReadRecord(args[0])
			if err != nil {
				return e.fail(err)
			}
			current, err := e.client().Current(ctx)
			if err != nil {
				return e.fail(err)
			}
			var a, b any
			_ = json.Unmarshal(current.Record, &a)
			_ = json.Unmarshal(next, &b)
			lines := []string{}
			diffLines("", a, b, &lines)
			return e.print(lines, func(w io.Writer) {
				for _, l := range lines {
					fmt.Fprintln(w, l)
				}
			})
		},
	}
}

func historyCommand(e *Env) *command {
	return &command{
		name: "history", synopsis: "list who changed the configuration, when and why",
		usage: "history\n  Example: sesamectl history",
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			var out []operatorhttp.Config
			if err := e.client().Do(ctx, http.MethodGet, "/v1/config/history", nil, &out); err != nil {
				return e.fail(err)
			}
			return e.print(out, func(w io.Writer) {
				fmt.Fprintln(w, "VERSION\tTIME\tOPERATOR\tREASON")
				for _, c := range out {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", c.Version, c.Time.Format(time.RFC3339), c.Operator, c.Reason)
				}
			})
		},
	}
}

func validateCommand(e *Env) *command {
	var kind string
	return &command{
		name: "validate", synopsis: "check a record or a settings file without a control host",
		usage: "validate [-kind record|entry|control] file\n  Example: sesamectl validate -kind entry deploy/archive/entry-kv1.toml",
		flags: func(f *flag.FlagSet) { f.StringVar(&kind, "kind", "record", "record, entry or control") },
		run: func(_ context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return subcommands.ExitUsageError
			}
			var err error
			switch kind {
			case "entry":
				err = settings.Load(args[0], settings.DefaultEntry())
			case "control":
				err = settings.Load(args[0], settings.DefaultControl())
			default:
				var raw json.RawMessage
				if raw, err = ReadRecord(args[0]); err == nil {
					if _, perr := configstate.Parse(raw); perr != nil {
						err = failure.Wrap(perr, failure.InvalidRecord, "")
					}
				}
			}
			if err != nil {
				return e.fail(err)
			}
			fmt.Fprintln(e.Stdout, "valid")
			return subcommands.ExitSuccess
		},
	}
}

// randomID returns a random change_id. apply uses the same one for all control hosts that it
// calls, so that a repeated change is recognized.
func randomID() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
