package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Exit codes of sesamectl in addition to 0 (success), 1 (failure) and 2 (usage error).
const (
	ExitConflict    subcommands.ExitStatus = 3 // the base version is not the current version
	ExitInvalid     subcommands.ExitStatus = 4 // the record or the settings are invalid
	ExitUnreachable subcommands.ExitStatus = 5 // no control host could be reached, or the group has no leader
)

// Env holds the global options and output streams of the commands.
type Env struct {
	Control string // base URLs of the control hosts, separated by commas
	Key     string // operator key
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

// print writes v to standard output, as JSON or by calling table.
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

// Commands returns the commands of sesamectl.
func Commands(e *Env) []subcommands.Command {
	return []subcommands.Command{
		applyCommand(e), getCommand(e), diffCommand(e), historyCommand(e), validateCommand(e), statusCommand(e),
		explainCommand(e), drainCommand(e), replicaCommand(e), rescueCommand(e), orderCommand(e), quarantineCommand(e), quotaCommand(e), admissionCommand(e), fleetCommand(e), keygenCommand(e), hashCommand(e),
	}
}
