package ctl

import (
	"strings"
	"testing"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/app/gateway"
)

// TestAdmission guards against a table that hides which class is rejected, and for what cause.
func TestAdmission(t *testing.T) {
	status := gateway.AdmissionStatus{Service: "llm", Regions: "east west", Slots: 16, Requests: 20, Fractions: []float64{1, 0.25}, Rejected: map[string]int64{"class_1 full": 7}, AgeMS: 90}
	host := newStubServer(t, "/debug/vars", map[string]any{"sesame": map[string]any{"admission": []gateway.AdmissionStatus{status}}})
	exit, out, errs := runCommand(&Env{Output: "table"}, "admission", "-host", host)
	if exit != subcommands.ExitSuccess || !strings.Contains(out, "llm      east west  16     20        0        [1.00 0.25]  90      class_1 full: 7") {
		t.Errorf("exit %d, %q, %q", exit, out, errs)
	}
}
