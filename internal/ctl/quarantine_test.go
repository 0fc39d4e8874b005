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

// TestQuarantine checks the output of list and lift, and the requests to the control host.
func TestQuarantine(t *testing.T) {
	const fingerprint = "00112233445566778899aabbccddeeff"
	var requests []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.Method+" "+r.URL.Path)
		switch {
		case r.Method == http.MethodGet:
			_ = json.NewEncoder(w).Encode([]operatorhttp.Suspect{{Fingerprint: fingerprint, Verdict: "quarantined", Team: "dealers", Service: "chat", Crashes: 3, LastCrashMS: 61_000}})
		case strings.HasSuffix(r.URL.Path, fingerprint):
			_, _ = w.Write([]byte(`{"result":"lifted"}`))
		default:
			problem.Write(w, failure.New(failure.NotFound, failure.NotRun, "none"), "")
		}
	}))
	defer srv.Close()
	for _, c := range []struct {
		args   []string
		exit   subcommands.ExitStatus
		output string
	}{
		{[]string{"quarantine", "list"}, subcommands.ExitSuccess, "dealers  chat              3        1m1s ago"},
		{[]string{"quarantine", "lift", fingerprint}, subcommands.ExitSuccess, "lifted"},
		{[]string{"quarantine", "lift", "ffff"}, subcommands.ExitFailure, ""},
		{[]string{"quarantine", "lift"}, subcommands.ExitUsageError, ""},
		{[]string{"quarantine"}, subcommands.ExitUsageError, ""},
	} {
		exit, out, errs := runCommand(&Env{Control: srv.URL, Output: "table"}, c.args...)
		if exit != c.exit || !strings.Contains(out, c.output) {
			t.Errorf("%v: exit %d, %q, %q", c.args, exit, out, errs)
		}
	}
	if want := "DELETE /v1/quarantine/" + fingerprint; len(requests) < 2 || requests[1] != want {
		t.Errorf("requests %v, want %s", requests, want)
	}
}
