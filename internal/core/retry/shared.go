package retry

import "time"

// SharedBudget is one host's part of a retry budget that all hosts share without
// communicating. The budget of the fleet in any window is Ratio times the requests
// plus Slack: each host uses the ratio on its own requests and an equal part of
// the slack. It is not safe for concurrent use.
type SharedBudget struct {
	o      SharedBudgetOptions
	hosts  float64
	tokens float64
	last   time.Time
}

// SharedBudgetOptions configures a SharedBudget.
type SharedBudgetOptions struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Slack is the number of retries that the fleet may make in a window in addition.
	Slack float64
	// Window is the period over which the budget applies.
	Window time.Duration
}

const (
	// ratioFraction leaves room for requests that are counted on another host.
	ratioFraction = 0.7
	// slackFraction bounds the saved tokens and those earned in a window to this fraction
	// of the slack each, so that their sum stays below the slack.
	slackFraction = 0.4
)

// NewSharedBudget returns a budget that holds this host's part of the slack.
func NewSharedBudget(o SharedBudgetOptions, now time.Time) *SharedBudget {
	s := &SharedBudget{o: o, hosts: 1, last: now}
	s.tokens = s.slackShare()
	return s
}

func (s *SharedBudget) slackShare() float64 { return slackFraction * s.o.Slack / s.hosts }

// SetHosts sets the number of hosts that share the slack.
func (s *SharedBudget) SetHosts(n int) {
	s.hosts = float64(max(n, 1))
	s.tokens = min(s.tokens, s.limit())
}

// limit returns the number of tokens that can be saved.
func (s *SharedBudget) limit() float64 { return max(1, s.slackShare()) }

func (s *SharedBudget) earn(now time.Time, n float64) {
	n += s.slackShare() * now.Sub(s.last).Seconds() / s.o.Window.Seconds()
	s.last = now
	s.tokens = min(s.limit(), s.tokens+n)
}

// Request records a caller's request.
func (s *SharedBudget) Request(now time.Time) { s.earn(now, ratioFraction*s.o.Ratio) }

// Retry spends a token on another attempt. It reports false if there is none.
func (s *SharedBudget) Retry(now time.Time) bool {
	s.earn(now, 0)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
