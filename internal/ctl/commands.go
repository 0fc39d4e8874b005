package ctl

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/settings"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Exit codes of sesamectl, after the usual 0, 1 and 2.
const (
	ExitConflict    subcommands.ExitStatus = 3 // the base version is old
	ExitInvalid     subcommands.ExitStatus = 4 // the record or the settings are invalid
	ExitUnreachable subcommands.ExitStatus = 5 // no control host could be reached
)

// Env is what commands share.
type Env struct {
	Control string
	Key     string
	Output  string // "table" or "json"
	Stdout  io.Writer
	Stderr  io.Writer
}

func (e *Env) client() *Client { return NewClient(e.Control, e.Key) }

// fail prints an error and returns its exit code.
func (e *Env) fail(err error) subcommands.ExitStatus {
	f := failure.As(err, "")
	fmt.Fprintln(e.Stderr, f.Title()+":", f.Detail)
	switch f.Code {
	case failure.VersionConflict:
		fmt.Fprintf(e.Stderr, "the current version is %d; see sesamectl diff, then apply with -base %d\n", f.Version, f.Version)
		return ExitConflict
	case failure.InvalidRecord, failure.InvalidSettings, failure.UnsupportedSchema:
		return ExitInvalid
	case failure.PeerUnreachable, failure.NoLeader:
		return ExitUnreachable
	}
	return subcommands.ExitFailure
}

// print writes v as JSON, or calls table.
func (e *Env) print(v any, table func(w io.Writer)) subcommands.ExitStatus {
	if e.Output == "json" {
		enc := json.NewEncoder(e.Stdout)
		enc.SetIndent("", "  ")
		_ = enc.Encode(v)
		return subcommands.ExitSuccess
	}
	w := tabwriter.NewWriter(e.Stdout, 0, 4, 2, ' ', 0)
	table(w)
	_ = w.Flush()
	return subcommands.ExitSuccess
}

// command adapts a function to subcommands.Command.
type command struct {
	name, synopsis, usage string
	flags                 func(*flag.FlagSet)
	run                   func(ctx context.Context, args []string) subcommands.ExitStatus
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage + "\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, f.Args())
}

// Commands returns the verbs of sesamectl.
func Commands(e *Env) []subcommands.Command {
	return []subcommands.Command{
		applyCommand(e), getCommand(e), diffCommand(e), historyCommand(e), validateCommand(e), statusCommand(e),
		explainCommand(e), drainCommand(e), replicaCommand(e), rescueCommand(e), orderCommand(e), keygenCommand(e), hashCommand(e),
	}
}

func applyCommand(e *Env) *command {
	var file, reason, changeID string
	var base int64
	return &command{
		name: "apply", synopsis: "accept a new configuration record",
		usage: "apply -f record.toml [-base N] [-reason text] [-change-id id]\n" +
			"  Example: sesamectl apply -f deploy/railhalt/record.toml -reason 'raise the ceiling'\n" +
			"  After a lost reply, apply again with the same -change-id: it gets the first answer.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&file, "f", "", "record `file` (TOML or JSON)")
			f.StringVar(&reason, "reason", "", "why, for the history")
			f.StringVar(&changeID, "change-id", "", "identity of the change (default: random)")
			f.Int64Var(&base, "base", -1, "version that the change was made on (default: the current one)")
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
				fmt.Fprintln(w, "ENTRY HOST\tVERSION\tSCHEMA\tHEARD\t")
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

// entryCall calls an entry host's operators' address.
func (e *Env) entryCall(ctx context.Context, method, host, path string, out any) error {
	return NewClient(host, e.Key).Do(ctx, method, path, nil, out)
}

func explainCommand(e *Env) *command {
	var host string
	return &command{
		name: "explain", synopsis: "tell why a request went where it went",
		usage: "explain -host URL REQUEST_ID\n  Example: sesamectl explain -host http://127.20.1.1:9090 3f2a…",
		flags: func(f *flag.FlagSet) { f.StringVar(&host, "host", "", "`URL` of the entry host's operators' address") },
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 || host == "" {
				return subcommands.ExitUsageError
			}
			var out json.RawMessage
			if err := e.entryCall(ctx, http.MethodGet, host, "/v1/explain/"+args[0], &out); err != nil {
				return e.fail(err)
			}
			e.Output = "json"
			return e.print(out, nil)
		},
	}
}

// inForce is the answer of an entry host's GET /v1/config.
type inForce struct {
	Generation uint64          `json:"generation"`
	Version    uint64          `json:"version"`
	Record     json.RawMessage `json:"record"`
}

func rescueCommand(e *Env) *command {
	var hosts string
	return &command{
		name: "rescue", synopsis: "print the highest record that entry hosts hold, after the loss of all control disks",
		usage: "rescue -hosts URL,URL\n  Example: sesamectl rescue -hosts http://127.20.1.1:9090,http://127.20.2.1:9090 > record.json",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&hosts, "hosts", "", "`URLs` of entry hosts' operators' addresses, separated by commas")
		},
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			var best inForce
			var last error
			for _, host := range strings.Split(hosts, ",") {
				var got inForce
				if err := e.entryCall(ctx, http.MethodGet, host, "/v1/config", &got); err != nil {
					last = err
					continue
				}
				if got.Generation > best.Generation || got.Generation == best.Generation && got.Version > best.Version {
					best = got
				}
			}
			if best.Record == nil {
				return e.fail(failure.New(failure.NotFound, "", "no entry host holds a record: %v", last))
			}
			fmt.Fprintf(e.Stderr, "generation %d, version %d: form the group anew with generation %d, then apply this with -base 0\n",
				best.Generation, best.Version, best.Generation+1)
			fmt.Fprintln(e.Stdout, string(best.Record))
			return subcommands.ExitSuccess
		},
	}
}

func drainCommand(e *Env) *command {
	var host string
	var undo bool
	return &command{
		name: "drain", synopsis: "take an entry host out of the lists, or back in",
		usage: "drain -host URL [-undo]\n  Example: sesamectl drain -host http://127.20.1.1:9090",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&host, "host", "", "`URL` of the entry host's operators' address")
			f.BoolVar(&undo, "undo", false, "put the host back into the lists")
		},
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			if host == "" {
				return subcommands.ExitUsageError
			}
			method := http.MethodPost
			if undo {
				method = http.MethodDelete
			}
			if err := e.entryCall(ctx, method, host, "/v1/drain", nil); err != nil {
				return e.fail(err)
			}
			return subcommands.ExitSuccess
		},
	}
}

func orderCommand(e *Env) *command {
	var o operatorhttp.OrderBody
	return &command{
		name: "order", synopsis: "give a fenced order to a model engine",
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
			return e.print(out, func(w io.Writer) { fmt.Fprintf(w, "order %d carried out\n", out.Fence) })
		},
	}
}

func keygenCommand(e *Env) *command {
	return &command{
		name: "keygen", synopsis: "make the key pair of the commit evidence",
		usage: "keygen\n  Example: sesamectl keygen",
		run: func(context.Context, []string) subcommands.ExitStatus {
			pub, private, err := ed25519.GenerateKey(rand.Reader)
			if err != nil {
				return e.fail(err)
			}
			out := map[string]string{"signing_key": hex.EncodeToString(private.Seed()), "verify_key": hex.EncodeToString(pub)}
			return e.print(out, func(w io.Writer) {
				fmt.Fprintf(w, "signing_key\t%s\nverify_key\t%s\n", out["signing_key"], out["verify_key"])
			})
		},
	}
}

func hashCommand(e *Env) *command {
	return &command{
		name: "hash", synopsis: "hash a key, read from standard input, for a record",
		usage: "hash < keyfile\n  Example: printf %s \"$KEY\" | sesamectl hash",
		run: func(context.Context, []string) subcommands.ExitStatus {
			data, err := io.ReadAll(os.Stdin)
			if err != nil {
				return e.fail(err)
			}
			sum := sha256.Sum256([]byte(strings.TrimSpace(string(data))))
			fmt.Fprintln(e.Stdout, hex.EncodeToString(sum[:]))
			return subcommands.ExitSuccess
		},
	}
}
