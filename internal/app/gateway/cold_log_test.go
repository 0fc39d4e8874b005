package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestColdStateOfServersIsLogged guards against a flood that the log cannot trace to an announcement.
func TestColdStateOfServersIsLogged(t *testing.T) {
	f := newFixture(t)
	var lines []string
	f.g.o.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	announce := func(sequence, age, cold uint64, evacuated []string, revision uint64) {
		f.g.applyView(&pb.FleetView{
			Servers:   []*pb.FleetServer{{Id: "llm1", Service: "llm", FailureDomain: "w1", Sequence: sequence, AgeMs: age, ColdMs: cold, Slots: 8}},
			Evacuated: evacuated, EvacuationRevision: revision,
		}, dispatch.ViewScope{Source: "10.0.0.1:7"})
	}
	f.clock.advance(time.Second)
	announce(2, 50, 3000, nil, 0)
	f.clock.advance(time.Second)
	announce(3, 60, 1900, nil, 0)
	f.clock.advance(2 * time.Second)
	announce(4, 70, 0, nil, 0)
	announce(4, 70, 0, []string{"w1"}, 1)
	announce(4, 70, 0, nil, 2)
	want := []string{
		`"level"=0 "msg"="server treated as cold" "server"="llm1" "start"=0 "failure_domain"="w1" "reason"="reported" "cold_ms"=2950 "sequence"=2 "announcement_age_ms"=50 "control_host"="10.0.0.1:7" "sent_after_revision"=0 "restored_revision"=0`,
		`"level"=0 "msg"="server treated as warm" "server"="llm1" "start"=0 "failure_domain"="w1" "reason"="" "cold_ms"=0 "sequence"=4 "announcement_age_ms"=70 "control_host"="10.0.0.1:7" "sent_after_revision"=0 "restored_revision"=0`,
	}
	if len(lines) < len(want) || !slices.Equal(lines[:len(want)], want) {
		t.Errorf("logged %q, want first %q", lines, want)
	}
	if len(lines) <= len(want) {
		t.Error("the restoration of the failure domain was not logged")
	}
}
