package gateway

import (
	"context"
	"testing"
)

// TestWorkTimesOfAnswers guards against a work time that is lost because the server did not run the request, and
// against one of an answer that is not proved to come from the server.
func TestWorkTimesOfAnswers(t *testing.T) {
	for answer, want := range map[*Answer]bool{ranAnswer(200, "ok"): true, ranAnswer(500, "no"): true, notRunAnswer(NotRun): true, notRunAnswer(WrongServer): false, notRunAnswer(Unverified): false} {
		f := newFixture(t)
		answer.WorkTime = 1.2
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return answer, true, nil }
		_ = f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
		if got := f.g.Speeds()["desk"].WorkFactors != nil; got != want {
			t.Errorf("status %d, verdict %d: recorded: %t", answer.Status, answer.Verdict, got)
		}
	}
}
