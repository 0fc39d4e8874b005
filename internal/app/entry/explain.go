package entry

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/core/routing"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Explanation records how a request was routed and why. It contains no prompt text and no keys.
type Explanation struct {
	mu        sync.Mutex
	RequestID string            `json:"request_id"`
	Host      string            `json:"host"`
	Team      string            `json:"team"`
	Target    string            `json:"target"`
	Time      time.Time         `json:"time"`
	Path      []string          `json:"path,omitempty"`
	Decisions []ExplainDecision `json:"decisions"`
	Attempts  []ExplainAttempt  `json:"attempts"`
	Ledger    []string          `json:"ledger,omitempty"`
	WaitMS    int64             `json:"wait_ms"`
	Outcome   failure.Outcome   `json:"outcome,omitempty"`
	Failure   string            `json:"failure,omitempty"`
	clock     func() time.Time
}

// ExplainDecision is one routing decision with the candidates.
type ExplainDecision struct {
	Chosen     string              `json:"chosen"`
	Considered []routing.Candidate `json:"considered"`
}

// ExplainAttempt is one attempt at a backend server or another entry host.
type ExplainAttempt struct {
	Number  int    `json:"number"`
	To      string `json:"to"`
	Region  string `json:"region"`
	Result  string `json:"result"`
	MS      int64  `json:"ms"`
	Connect bool   `json:"connected"`
}

// explanationStore holds the explanations of the last max requests.
type explanationStore struct {
	mu    sync.Mutex
	max   int
	byID  map[string]*Explanation
	order []string
}

func newExplanationStore(limit int) *explanationStore {
	return &explanationStore{max: max(limit, 1), byID: map[string]*Explanation{}}
}

func (e *explanationStore) start(r *Request, o Options) *Explanation {
	x := &Explanation{
		RequestID: r.ID, Host: o.ID, Team: r.Team, Target: r.Target, Time: o.Clock.Now().UTC(), Path: r.Path, clock: o.Clock.Now,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.byID[r.ID]; !ok {
		e.order = append(e.order, r.ID)
	}
	e.byID[r.ID] = x
	for len(e.order) > e.max {
		delete(e.byID, e.order[0])
		e.order = e.order[1:]
	}
	return x
}

// Explain returns the explanation of a request as JSON, and whether there is one.
func (h *Host) Explain(id string) ([]byte, bool) {
	h.explained.mu.Lock()
	x, ok := h.explained.byID[id]
	h.explained.mu.Unlock()
	if !ok {
		return nil, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	data, err := json.Marshal(x)
	return data, err == nil
}

// maxExplainedDecisions bounds the decisions recorded for one request.
const maxExplainedDecisions = 16

func (x *Explanation) addDecision(d routing.Decision) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.Decisions) >= maxExplainedDecisions {
		return
	}
	x.Decisions = append(x.Decisions, ExplainDecision{Chosen: d.Server + d.Domain, Considered: d.Considered})
}

func (x *Explanation) addAttempt(p *placement.Place, res result, number int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	a := ExplainAttempt{Number: number, To: p.ServerID, Region: p.Region, Connect: res.connected, MS: x.clock().Sub(p.Started).Milliseconds()}
	a.Result = [...]string{"not sent", "refused", "sent, no answer", "answer broke off", "answered"}[res.stage]
	if res.err != nil && res.stage != retry.Answered {
		a.Result += ": " + res.err.Detail
	}
	x.Attempts = append(x.Attempts, a)
}

func (x *Explanation) addLedgerStep(step string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Ledger = append(x.Ledger, step)
}

func (x *Explanation) finish(f *failure.Error, waited time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.WaitMS = waited.Milliseconds()
	x.Outcome = failure.Done
	if f != nil {
		x.Outcome, x.Failure = f.Outcome, f.Error()
	}
}
