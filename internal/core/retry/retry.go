// Package retry decides what follows an attempt, and bounds retries by a budget so
// that they cannot multiply the load.
package retry

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Stage is the point at which an attempt ended.
type Stage int

// Points at which an attempt can end.
const (
	// BeforeSend: no byte of the request reached a backend server.
	BeforeSend Stage = iota
	// Refused: the backend server stated that it did not start the request.
	Refused
	// Sent: the request was sent and no part of an answer was received.
	Sent
	// MidAnswer: part of the answer was received before the attempt failed.
	MidAnswer
	// Answered: the whole answer was received.
	Answered
)

// Attempt describes an attempt that has ended.
type Attempt struct {
	Stage      Stage
	Idempotent bool
	Relayed    bool // part of the answer was sent to the caller
	Resumable  bool // another backend server can continue the answer
}

// Action is what to do next.
type Action int

// Actions.
const (
	Finish         Action = iota // the request is done
	RetryElsewhere               // retry at another backend server
	Resume                       // continue at another backend server after the last token relayed
	GiveUp                       // report the outcome to the caller
)

// LedgerStep is the change to make to the request's ledger entry.
type LedgerStep int

// Ledger steps for a non-idempotent request.
const (
	KeepClaim   LedgerStep = iota // keep the claim: the outcome is unknown
	StoreAnswer                   // store the answer
	ReleaseKey                    // release the key
)

// Decision is what follows an attempt.
type Decision struct {
	Action  Action
	Outcome failure.Outcome
	Ledger  LedgerStep
}

// Decide returns what follows an attempt. retryAllowed reports whether the limit on
// attempts, the retry budget and the deadline allow another attempt.
func Decide(a Attempt, retryAllowed bool) Decision {
	switch a.Stage {
	case Answered:
		return Decision{Finish, failure.Done, StoreAnswer}
	case BeforeSend, Refused:
		return decideNotRun(a, retryAllowed)
	}
	if !a.Idempotent {
		return Decision{GiveUp, failure.Unknown, KeepClaim}
	}
	if !retryAllowed {
		return Decision{GiveUp, failure.Unknown, KeepClaim}
	}
	if !a.Relayed {
		return Decision{RetryElsewhere, failure.Unknown, KeepClaim}
	}
	if a.Resumable {
		return Decision{Resume, failure.Unknown, KeepClaim}
	}
	return Decision{GiveUp, failure.Unknown, KeepClaim}
}

// decideNotRun decides for an attempt that provably did not start. If part of an
// earlier attempt's answer was relayed, the request as a whole did run in part.
func decideNotRun(a Attempt, retryAllowed bool) Decision {
	outcome, step := failure.NotRun, ReleaseKey
	if a.Relayed {
		outcome, step = failure.Unknown, KeepClaim
	}
	if !retryAllowed {
		return Decision{GiveUp, outcome, step}
	}
	if a.Relayed {
		if a.Resumable {
			return Decision{Resume, outcome, step}
		}
		return Decision{GiveUp, outcome, step}
	}
	return Decision{RetryElsewhere, outcome, step}
}

// Budget bounds retries to a fraction of the requests: every request earns Ratio
// tokens and every retry spends one. It is not safe for concurrent use.
type Budget struct {
	Ratio  float64
	tokens float64
	last   time.Time
}

const (
	maxBudgetTokens    = 50.0
	minTokensPerSecond = 1.0 // earned in addition to Ratio per request
)

// NewBudget returns a budget with 5 tokens, so that the first requests can be
// retried.
func NewBudget(ratio float64, now time.Time) *Budget {
	return &Budget{Ratio: ratio, tokens: 5, last: now}
}

// Request records a request.
func (b *Budget) Request(now time.Time) {
	b.tokens = min(maxBudgetTokens, b.tokens+b.Ratio+minTokensPerSecond*now.Sub(b.last).Seconds())
	b.last = now
}

// Retry spends a token. It reports false if there is none.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
