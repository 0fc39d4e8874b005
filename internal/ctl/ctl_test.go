package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/problem"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// newStubServer returns the URL of a control host that returns answer as JSON at one path, until
// the test ends.
func newStubServer(t *testing.T, path string, answer any) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == path {
			_ = json.NewEncoder(w).Encode(answer)
		}
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// runCommand executes the command args[0] and returns its exit code, standard output and
// standard error.
func runCommand(env *Env, args ...string) (subcommands.ExitStatus, string, string) {
	var out, errs bytes.Buffer
	env.Stdout, env.Stderr = &out, &errs
	for _, c := range Commands(env) {
		if c.Name() != args[0] {
			continue
		}
		set := flag.NewFlagSet(args[0], flag.ContinueOnError)
		c.SetFlags(set)
		if err := set.Parse(args[1:]); err != nil {
			return subcommands.ExitUsageError, out.String(), err.Error()
		}
		return c.Execute(context.Background(), set), out.String(), errs.String()
	}
	return subcommands.ExitUsageError, "", "no such command"
}

func writeRecord(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "record.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestApply checks the exit code and error message of apply for each kind of response.
func TestApply(t *testing.T) {
	conflict := failure.New(failure.VersionConflict, failure.NotRun, "old base")
	conflict.Version = 9
	for _, c := range []struct {
		name      string
		rejection *failure.Error
		exit      subcommands.ExitStatus
		stderr    string
	}{
		{"accepted", nil, subcommands.ExitSuccess, ""},
		{"conflict", conflict, ExitConflict, "apply with -base 9"},
		{"invalid", failure.New(failure.InvalidRecord, failure.NotRun, "regions: none"), ExitInvalid, "regions: none"},
		{"no leader", failure.New(failure.NoLeader, failure.NotRun, "none"), ExitUnreachable, "no leader"},
		{"refused", failure.New(failure.Unauthorized, failure.NotRun, "key"), subcommands.ExitFailure, "key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got operatorhttp.Change
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.rejection != nil {
					problem.Write(w, c.rejection, "")
					return
				}
				_ = json.NewDecoder(r.Body).Decode(&got)
				_ = json.NewEncoder(w).Encode(operatorhttp.ChangeResult{Version: 8})
			}))
			defer srv.Close()
			// The first control host is down, so the second one must be called.
			env := &Env{Control: "http://127.0.0.1:1," + srv.URL, Key: "k", Output: "table"}
			exit, out, errs := runCommand(env, "apply", "-f", writeRecord(t, "schema_version = 2\nunknown_to_this_build = 5\n"), "-base", "7", "-change-id", "x")
			if exit != c.exit || !strings.Contains(errs, c.stderr) {
				t.Errorf("exit %d with %q, want %d with %q", exit, errs, c.exit, c.stderr)
			}
			if c.rejection != nil {
				return
			}
			if !strings.Contains(out, "version 8") || got.BaseVersion != 7 || got.ChangeID != "x" {
				t.Errorf("printed %q, sent %+v", out, got)
			}
			if !strings.Contains(string(got.Record), "unknown_to_this_build") {
				t.Errorf("a field that is unknown to this build was dropped: %s", got.Record)
			}
		})
	}
}

// TestUnresponsiveControlHostIsSkipped puts a control host that accepts connections but never
// responds before one that responds. The client must call the second one after its timeout.
func TestUnresponsiveControlHostIsSkipped(t *testing.T) {
	stop := make(chan struct{})
	frozen := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	defer frozen.Close()
	defer close(stop)
	responsive := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(operatorhttp.Config{Version: 4})
	}))
	defer responsive.Close()
	c := NewClient(frozen.URL+","+responsive.URL, "k")
	c.AttemptTimeout = 200 * time.Millisecond
	got, err := c.Current(context.Background())
	if err != nil || got.Version != 4 {
		t.Errorf("version %d, %v", got.Version, err)
	}
}

func TestValidate(t *testing.T) {
	exit, _, errs := runCommand(&Env{}, "validate", writeRecord(t, "schema_version = 9"))
	if exit != ExitInvalid || !strings.Contains(errs, "9 is not supported") {
		t.Errorf("exit %d with %q", exit, errs)
	}
	exit, out, errs := runCommand(&Env{}, "validate", "../../deploy/archive/record.toml")
	if exit != subcommands.ExitSuccess || out != "valid\n" {
		t.Errorf("exit %d with %q %q", exit, out, errs)
	}
}

func TestDiffLines(t *testing.T) {
	var a, b any
	_ = json.Unmarshal([]byte(`{"x":{"y":1,"z":[1,2]},"same":true}`), &a)
	_ = json.Unmarshal([]byte(`{"x":{"y":2,"z":[1]},"new":"n","same":true}`), &b)
	var lines []string
	diffLines("", a, b, &lines)
	want := []string{`new: (none) -> "n"`, `x.y: 1 -> 2`, `x.z[1]: 2 -> (none)`}
	if strings.Join(lines, "\n") != strings.Join(want, "\n") {
		t.Errorf("got %q, want %q", lines, want)
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	for _, c := range Commands(&Env{}) {
		if !strings.Contains(c.Usage(), "Example: ") || c.Synopsis() == "" {
			t.Errorf("%s: %q", c.Name(), c.Usage())
		}
	}
}
