// Package retry decides what follows a failed attempt, and bounds retries by a
// budget so that they cannot multiply load.
package retry

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Break is the point at which an attempt ended.
type Break int

// Points at which an attempt can end.
const (
	// BeforeSend: no byte of the request reached a backend server.
	BeforeSend Break = iota
	// Refused: the server stated that it did not start the request.
	Refused
	// Sent: the request was sent and no answer came.
	Sent
	// MidAnswer: the answer started and broke off.
	MidAnswer
	// Answered: the whole answer arrived.
	Answered
)

// Attempt describes a failed or finished attempt.
type Attempt struct {
	Break      Break
	Idempotent bool
	Relayed    bool // part of the answer was passed on to the caller
	Resumable  bool // the rest of the answer can be had elsewhere
}

// Action is what to do next.
type Action int

// Actions.
const (
	Finish Action = iota // the request is done
	Again                // try another server
	Resume               // try another server from the last token sent
	GiveUp               // answer the caller with the outcome
)

// LedgerStep is what the ledger holds afterwards.
type LedgerStep int

// Ledger steps for a non-idempotent request.
const (
	Keep      LedgerStep = iota // the claim stays: the outcome is unknown
	StoreDone                   // the answer is stored
	Release                     // the key is free again
)

// Decision is what follows an attempt.
type Decision struct {
	Action  Action
	Outcome failure.Outcome
	Ledger  LedgerStep
}

// Decide returns what follows an attempt. more tells whether another attempt is
// allowed by count, budget and deadline.
func Decide(a Attempt, more bool) Decision {
	switch a.Break {
	case Answered:
		return Decision{Finish, failure.Done, StoreDone}
	case BeforeSend, Refused:
		return provedNotRun(a, more)
	}
	if !a.Idempotent {
		return Decision{GiveUp, failure.Unknown, Keep}
	}
	if !more {
		return Decision{GiveUp, failure.Unknown, Keep}
	}
	if !a.Relayed {
		return Decision{Again, failure.Unknown, Keep}
	}
	if a.Resumable {
		return Decision{Resume, failure.Unknown, Keep}
	}
	return Decision{GiveUp, failure.Unknown, Keep}
}

// provedNotRun decides for an attempt that did not start. After part of the
// answer was passed on, the request as a whole did run in part.
func provedNotRun(a Attempt, more bool) Decision {
	outcome, step := failure.NotRun, Release
	if a.Relayed {
		outcome, step = failure.Unknown, Keep
	}
	if !more {
		return Decision{GiveUp, outcome, step}
	}
	if a.Relayed {
		if a.Resumable {
			return Decision{Resume, outcome, step}
		}
		return Decision{GiveUp, outcome, step}
	}
	return Decision{Again, outcome, step}
}

// Budget bounds retries to a share of the requests: every request earns Ratio
// tokens and every retry spends one. It is not safe for concurrent use.
type Budget struct {
	Ratio  float64
	tokens float64
	last   time.Time
}

const (
	budgetMax   = 50.0 // tokens that can be saved up
	budgetFloor = 1.0  // tokens a second earned without requests
)

// NewBudget returns a budget with a few tokens, for the first requests.
func NewBudget(ratio float64, now time.Time) *Budget {
	return &Budget{Ratio: ratio, tokens: 5, last: now}
}

// Request records a request.
func (b *Budget) Request(now time.Time) {
	b.tokens = min(budgetMax, b.tokens+b.Ratio+budgetFloor*now.Sub(b.last).Seconds())
	b.last = now
}

// Retry spends a token; false when there is none.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
