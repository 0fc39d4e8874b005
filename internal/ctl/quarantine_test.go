package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/problem"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// TestQuarantine lists and lifts, and checks what is printed and asked of the control host.
func TestQuarantine(t *testing.T) {
	const known = "00112233445566778899aabbccddeeff"
	var asked []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.Method+" "+r.URL.Path)
		switch {
		case r.Method == http.MethodGet:
			_ = json.NewEncoder(w).Encode([]operatorhttp.Suspect{{Fingerprint: known, Verdict: "quarantined", Team: "dealers", Service: "chat", Crashes: 3, LastCrashMS: 61_000}})
		case strings.HasSuffix(r.URL.Path, known):
			_, _ = w.Write([]byte(`{"result":"lifted"}`))
		default:
			problem.Write(w, failure.New(failure.NotFound, failure.NotRun, "none"), "")
		}
	}))
	defer srv.Close()
	for _, c := range []struct {
		args []string
		exit subcommands.ExitStatus
		says string
	}{
		{[]string{"quarantine", "list"}, subcommands.ExitSuccess, "dealers  chat              3        1m1s ago"},
		{[]string{"quarantine", "lift", known}, subcommands.ExitSuccess, "lifted"},
		{[]string{"quarantine", "lift", "ffff"}, subcommands.ExitFailure, ""},
		{[]string{"quarantine", "lift"}, subcommands.ExitUsageError, ""},
		{[]string{"quarantine"}, subcommands.ExitUsageError, ""},
	} {
		exit, out, errs := run(&Env{Control: srv.URL, Output: "table"}, c.args...)
		if exit != c.exit || !strings.Contains(out, c.says) {
			t.Errorf("%v: exit %d, %q, %q", c.args, exit, out, errs)
		}
	}
	if want := "DELETE /v1/quarantine/" + known; len(asked) < 2 || asked[1] != want {
		t.Errorf("asked %v, want %s", asked, want)
	}
}
