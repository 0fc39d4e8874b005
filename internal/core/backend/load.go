package backend

import (
	"math"
	"time"
)

// Load reports are stale: a report is as old as its announcement plus the
// server's own lag, and the other entry hosts of the failure domain send requests
// meanwhile. A report loses its value over the time in which requests are
// replaced by others. The estimate therefore shifts, as the report ages, from the
// report to the attempts in flight: this host's own at the server, which are
// exact, and the server's share of those that the other hosts reported. (On
// the harm of stale load information: Mitzenmacher, "How Useful Is Old
// Information?", IEEE TPDS 11(1), 2000.)

// Loads estimates the current number of requests at each of the servers, which must be of one kind.
func (t *Table) Loads(servers []*Server, now time.Time) []float64 {
	out := make([]float64, len(servers))
	if len(servers) == 0 {
		return out
	}
	slots := 0.0
	for _, s := range servers {
		slots += float64(s.State.Slots)
	}
	others := t.sumOtherLoads(servers[0].State.Kind, now)
	for i, s := range servers {
		hostLoad := float64(s.Inflight) + others*float64(s.State.Slots)/slots
		w := t.reportWeight(s, now)
		out[i] = math.Max(w*t.correctedLoad(s)+(1-w)*hostLoad, float64(s.Inflight))
	}
	return out
}

// meanLoad is an exponential moving mean of this host's attempts in flight.
type meanLoad struct {
	inflight int
	mean     float64
	at       time.Time
}

// meanLoadHalfLife is the half-life of the mean.
const meanLoadHalfLife = time.Second

func (m *meanLoad) advance(now time.Time) {
	if !m.at.IsZero() {
		decay := math.Exp2(-now.Sub(m.at).Seconds() / meanLoadHalfLife.Seconds())
		m.mean = float64(m.inflight) + decay*(m.mean-float64(m.inflight))
	}
	m.at = now
}

func (m *meanLoad) change(n int, now time.Time) {
	m.advance(now)
	m.inflight += n
}

// OwnLoad returns the moving mean of this host's attempts in flight at servers of the kind, which
// is sent to the other entry hosts.
func (t *Table) OwnLoad(kind string, now time.Time) float64 {
	m := t.own[kind]
	m.advance(now)
	return m.mean
}

// otherLoad is the mean number of attempts in flight that another entry host reported.
type otherLoad struct {
	value float64
	at    time.Time
}

// otherLoadTTL is how long the report of another entry host is used.
const otherLoadTTL = 5 * time.Second

// SetOtherLoad records the load that another entry host of the failure domain reported.
func (t *Table) SetOtherLoad(host, kind string, value float64, now time.Time) {
	t.others[kind][host] = otherLoad{value, now}
}

func (t *Table) sumOtherLoads(kind string, now time.Time) float64 {
	sum := 0.0
	for host, l := range t.others[kind] {
		if now.Sub(l.at) > otherLoadTTL {
			delete(t.others[kind], host)
			continue
		}
		sum += l.value
	}
	return sum
}

// Outstanding estimates the current number of requests at one server, from its own report alone.
func (t *Table) Outstanding(s *Server) int {
	return int(math.Round(math.Max(t.correctedLoad(s), float64(s.Inflight))))
}

// correctedLoad is the reported load plus the change of this host's attempts in flight since the
// report was taken.
func (t *Table) correctedLoad(s *Server) float64 {
	reported := float64(s.State.Running + s.State.Queued)
	reportedAt := s.LastSeen.Add(-t.lag.value())
	return math.Max(0, reported+float64(s.Inflight-s.history.at(reportedAt)))
}

// reportWeight is the weight of a server's own report in the estimate (0 to 1).
func (t *Table) reportWeight(s *Server, now time.Time) float64 {
	age := now.Sub(s.LastSeen) + t.lag.value()
	turnover := time.Duration(s.ServiceMS() * float64(time.Millisecond))
	return math.Exp(-float64(age) / float64(max(turnover, minTurnover)))
}

// minTurnover bounds the turnover time from below, so that reports of servers with short
// requests keep some weight.
const minTurnover = 500 * time.Millisecond

// history holds this host's attempts in flight at a server, sampled in steps of historyStep.
type history struct {
	last        int64 // number of the newest step
	ring        [historySteps]int32
	initialized bool
}

const (
	historyStep  = 100 * time.Millisecond
	historySteps = 80
)

func (h *history) record(now time.Time, inflight int) {
	step := now.UnixNano() / int64(historyStep)
	if !h.initialized {
		h.initialized, h.last = true, step
	}
	previous := h.ring[h.last%historySteps]
	if step-h.last >= historySteps {
		h.last = step - historySteps
	}
	for h.last < step {
		h.last++
		h.ring[h.last%historySteps] = previous
	}
	h.ring[step%historySteps] = int32(inflight)
}

// at returns the attempts in flight at a past time; for a time before the history, its oldest
// value.
func (h *history) at(t time.Time) int {
	if !h.initialized {
		return 0
	}
	step := min(t.UnixNano()/int64(historyStep), h.last)
	if h.last-step >= historySteps {
		step = h.last - historySteps + 1
	}
	return int(h.ring[step%historySteps])
}

// lagCandidates are the lags among which lagEstimate selects.
var lagCandidates = []time.Duration{
	0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second,
	3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second,
}

const (
	lagErrorDecay = 0.995 // factor on the accumulated errors at each report
	minLagSamples = 60    // reports before the estimate is used
)

// lagEstimate estimates the lag of the servers' load reports: the candidate at which the reports
// deviate least from this host's attempts in flight at that time, times the hosts that send.
type lagEstimate struct {
	assumed       time.Duration
	squaredErrors []float64
	samples       int
}

func newLagEstimate(assumed time.Duration) lagEstimate {
	return lagEstimate{assumed: assumed, squaredErrors: make([]float64, len(lagCandidates))}
}

func (l *lagEstimate) observe(s *Server, senders float64) {
	reported := float64(s.State.Running + s.State.Queued)
	if reported == 0 && s.Inflight == 0 {
		return
	}
	l.samples++
	for i, lag := range lagCandidates {
		residual := reported - senders*float64(s.history.at(s.LastSeen.Add(-lag)))
		l.squaredErrors[i] = lagErrorDecay*l.squaredErrors[i] + residual*residual
	}
}

func (l *lagEstimate) value() time.Duration {
	if l.samples < minLagSamples {
		return l.assumed
	}
	best := 0
	for i, e := range l.squaredErrors {
		if e < l.squaredErrors[best] {
			best = i
		}
	}
	return lagCandidates[best]
}

// Lag returns the estimated lag of the servers' load reports.
func (t *Table) Lag() time.Duration { return t.lag.value() }
