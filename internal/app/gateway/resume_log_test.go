package gateway

import (
	"context"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestResumedStreamsAreLogged guards against streams of two releases that logs cannot trace to a choice.
func TestResumedStreamsAreLogged(t *testing.T) {
	f := newFixture(t)
	f.view(func(v *pb.FleetView) {
		v.Hosts, v.Regions = nil, nil
		for _, s := range v.Servers {
			s.Release = "v1.1"
		}
	})
	var lines []string
	f.g.o.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	answers := []func() (*Answer, bool, error){answered(streamAnswer(event1, true)), answered(streamAnswer(event2+event3, false))}
	f.backends.answer = func(n int, _ *Attempt) (*Answer, bool, error) { return answers[n-1]() }
	_ = f.g.Execute(context.Background(), f.request("/match/1"), &memorySink{})
	for _, want := range []string{`"resume_after"=1 "resumes"=""`, `"release"="v1.1"`} {
		if !strings.Contains(strings.Join(lines, "\n"), want) {
			t.Errorf("no line contains %s: %q", want, lines)
		}
	}
}
