// Command sesamectl is the operators' command line.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/settings"
	"github.com/sesamefork/sesamefork/internal/ctl"
)

func main() {
	env := &ctl.Env{Stdout: os.Stdout, Stderr: os.Stderr}
	flag.StringVar(&env.Control, "control", os.Getenv("SESAME_CONTROL"), "URLs of control hosts, separated by commas ($SESAME_CONTROL)")
	flag.StringVar(&env.Key, "key", os.Getenv("SESAME_KEY"), "operator key ($SESAME_KEY)")
	flag.StringVar(&env.Output, "output", "table", "table or json")
	for _, c := range []string{"control", "key", "output"} {
		subcommands.ImportantFlag(c)
	}
	names := []string{"help", "flags", "commands"}
	for _, c := range ctl.Commands(env) {
		subcommands.Register(c, "")
		names = append(names, c.Name())
	}
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	subcommands.Register(subcommands.CommandsCommand(), "help")
	flag.Parse()
	if command := flag.Arg(0); command != "" && !slices.Contains(names, command) {
		fmt.Fprintf(os.Stderr, "unknown command %q", command)
		if near := settings.Nearest(command, names); near != "" {
			fmt.Fprintf(os.Stderr, "; did you mean %q?", near)
		}
		fmt.Fprintln(os.Stderr, " See sesamectl help.")
		os.Exit(int(subcommands.ExitUsageError))
	}
	os.Exit(int(subcommands.Execute(context.Background())))
}
