package ctl

import (
	"context"
	"io"
	"net/http"

	"github.com/google/subcommands"
)

// showCommand returns a command without arguments that gets a path from a control host and
// prints the response as JSON or as a table.
func showCommand[T any](e *Env, c command, path string, table func(w io.Writer, answer T)) *command {
	c.run = func(ctx context.Context, args []string) subcommands.ExitStatus {
		if len(args) > 0 {
			return subcommands.ExitUsageError
		}
		var out T
		if err := e.client().Do(ctx, http.MethodGet, path, nil, &out); err != nil {
			return e.fail(err)
		}
		return e.print(out, func(w io.Writer) { table(w, out) })
	}
	return &c
}
