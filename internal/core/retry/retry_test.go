package retry

import (
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// TestDecisions covers each point at which an attempt can end, for idempotent and
// other requests, with and without another attempt allowed.
func TestDecisions(t *testing.T) {
	const done, notRun, unknown = failure.Done, failure.NotRun, failure.Unknown
	for _, c := range []struct {
		name string
		a    Attempt
		more bool
		want Decision
	}{
		{"answered", Attempt{Stage: Answered, Idempotent: true}, true, Decision{Finish, done, StoreAnswer}},
		{"answered, not repeatable", Attempt{Stage: Answered}, true, Decision{Finish, done, StoreAnswer}},
		{"before send", Attempt{Stage: BeforeSend, Idempotent: true}, true, Decision{RetryElsewhere, notRun, ReleaseKey}},
		{"before send, last", Attempt{Stage: BeforeSend, Idempotent: true}, false, Decision{GiveUp, notRun, ReleaseKey}},
		{"before send, not repeatable", Attempt{Stage: BeforeSend}, true, Decision{RetryElsewhere, notRun, ReleaseKey}},
		{"before send, not repeatable, last", Attempt{Stage: BeforeSend}, false, Decision{GiveUp, notRun, ReleaseKey}},
		{"refused", Attempt{Stage: Refused, Idempotent: true}, true, Decision{RetryElsewhere, notRun, ReleaseKey}},
		{"refused, not repeatable", Attempt{Stage: Refused}, true, Decision{RetryElsewhere, notRun, ReleaseKey}},
		{"refused, not repeatable, last", Attempt{Stage: Refused}, false, Decision{GiveUp, notRun, ReleaseKey}},
		{"sent, no answer", Attempt{Stage: Sent, Idempotent: true}, true, Decision{RetryElsewhere, unknown, KeepClaim}},
		{"sent, no answer, last", Attempt{Stage: Sent, Idempotent: true}, false, Decision{GiveUp, unknown, KeepClaim}},
		{"sent, no answer, not repeatable", Attempt{Stage: Sent}, true, Decision{GiveUp, unknown, KeepClaim}},
		{"mid answer, nothing passed on", Attempt{Stage: MidAnswer, Idempotent: true}, true, Decision{RetryElsewhere, unknown, KeepClaim}},
		{"mid answer, not repeatable", Attempt{Stage: MidAnswer}, true, Decision{GiveUp, unknown, KeepClaim}},
		{"mid stream", Attempt{Stage: MidAnswer, Idempotent: true, Relayed: true, Resumable: true}, true, Decision{Resume, unknown, KeepClaim}},
		{"mid stream, last", Attempt{Stage: MidAnswer, Idempotent: true, Relayed: true, Resumable: true}, false, Decision{GiveUp, unknown, KeepClaim}},
		{"mid stream, not resumable", Attempt{Stage: MidAnswer, Idempotent: true, Relayed: true}, true, Decision{GiveUp, unknown, KeepClaim}},
		{"refused while resuming", Attempt{Stage: Refused, Idempotent: true, Relayed: true, Resumable: true}, true, Decision{Resume, unknown, KeepClaim}},
		{"refused while resuming, last", Attempt{Stage: Refused, Idempotent: true, Relayed: true}, false, Decision{GiveUp, unknown, KeepClaim}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Decide(c.a, c.more); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// TestBudgetBoundsRetries fails every request and checks that the retries stay
// within the ratio.
func TestBudgetBoundsRetries(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(0.1, now)
	retries := 0
	const requests = 10_000
	for range requests {
		now = now.Add(time.Millisecond)
		b.Request(now)
		if b.Retry() {
			retries++
		}
	}
	// The ratio, 1 token per second for 10 s, and the initial tokens (5, rounded up).
	if limit := requests/10 + 10 + 6; retries > limit {
		t.Errorf("%d retries of %d requests, want at most %d", retries, requests, limit)
	}
}
