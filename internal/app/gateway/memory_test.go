package gateway

import (
	"context"
	"testing"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// TestPromptLargerThanEveryEngine guards against retries of a prompt that no engine can ever hold, and against a
// definite rejection of one that fits, of one whose answer may be long, and where no memory is configured.
func TestPromptLargerThanEveryEngine(t *testing.T) {
	for name, c := range map[string]struct {
		prompt   Prompt
		memory   int64
		rejected bool
	}{
		"larger than every engine": {Prompt{Tokens: 100_001}, 100_000, true},
		"fits exactly":             {Prompt{Tokens: 100_000}, 100_000, false},
		"long answer expected":     {Prompt{Tokens: 10, MaxOutput: 400_000}, 100_000, false},
		"memory not configured":    {Prompt{Tokens: 100_001}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			rec := baseRecord()
			rec.RoutedServices[0].Engine = &configstate.EngineLimits{Slots: 8, MemoryTokens: c.memory}
			f.install(8, rec)
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event1, false), true, nil }
			r := f.request("/chat/1")
			r.Prompt = &c.prompt
			got := f.g.Execute(context.Background(), r, &memorySink{})
			switch {
			case c.rejected && (got == nil || got.Code != failure.BodyTooLarge || got.Outcome != failure.NotRun || got.RetryAfter != 0):
				t.Errorf("%+v, want a definite rejection", got)
			case !c.rejected && got != nil:
				t.Errorf("rejected: %+v", got)
			}
		})
	}
}
