package backend

import (
	"math"
	"time"
)

// Load figures are stale: a report is as old as its announcement plus the
// server's own lag, and the other hosts of the failure domain send meanwhile.
// What a report says fades with the time in which requests come and go. So the
// estimate moves, as the report ages, from the report to what the hosts
// themselves have under way: this host's own attempts at the server, which it
// knows exactly, and the server's part of what the others told of theirs. (On
// the harm of old load figures: Mitzenmacher, "How Useful Is Old Information?",
// IEEE TPDS 11(1), 2000.)

// Loads estimates the requests at each of the servers, all of one kind, now.
func (t *Table) Loads(servers []*Server, now time.Time) []float64 {
	out := make([]float64, len(servers))
	if len(servers) == 0 {
		return out
	}
	slots := 0.0
	for _, s := range servers {
		slots += float64(s.State.Slots)
	}
	others := t.othersLoad(servers[0].State.Kind, now)
	for i, s := range servers {
		known := float64(s.Inflight) + others*float64(s.State.Slots)/slots
		w := t.trust(s, now)
		out[i] = math.Max(w*t.corrected(s)+(1-w)*known, float64(s.Inflight))
	}
	return out
}

// meanLoad is a moving mean of the own attempts under way.
type meanLoad struct {
	inflight int
	mean     float64
	at       time.Time
}

// meanHalfLife is how fast the mean forgets.
const meanHalfLife = time.Second

func (m *meanLoad) settle(now time.Time) {
	if !m.at.IsZero() {
		kept := math.Exp2(-now.Sub(m.at).Seconds() / meanHalfLife.Seconds())
		m.mean = float64(m.inflight) + kept*(m.mean-float64(m.inflight))
	}
	m.at = now
}

func (m *meanLoad) change(n int, now time.Time) {
	m.settle(now)
	m.inflight += n
}

// OwnLoad returns the moving mean of the own attempts at servers of the kind,
// which the other hosts are told.
func (t *Table) OwnLoad(kind string, now time.Time) float64 {
	m := t.own[kind]
	m.settle(now)
	return m.mean
}

// otherLoad is what another host told of its attempts under way.
type otherLoad struct {
	value float64
	at    time.Time
}

// otherLifetime is how long another host's figure counts.
const otherLifetime = 5 * time.Second

// SetOtherLoad takes what another host of the failure domain told.
func (t *Table) SetOtherLoad(host, kind string, value float64, now time.Time) {
	t.others[kind][host] = otherLoad{value, now}
}

func (t *Table) othersLoad(kind string, now time.Time) float64 {
	sum := 0.0
	for host, l := range t.others[kind] {
		if now.Sub(l.at) > otherLifetime {
			delete(t.others[kind], host)
			continue
		}
		sum += l.value
	}
	return sum
}

// Outstanding estimates the requests at one server now, from its report alone.
func (t *Table) Outstanding(s *Server) int {
	return int(math.Round(math.Max(t.corrected(s), float64(s.Inflight))))
}

// corrected is the report plus what this host sent, less what it saw finish,
// since the report was taken.
func (t *Table) corrected(s *Server) float64 {
	reported := float64(s.State.Running + s.State.Queued)
	taken := s.HeardAt.Add(-t.lag.value())
	return math.Max(0, reported+float64(s.Inflight-s.history.at(taken)))
}

// trust is the weight of a server's own report (0 to 1).
func (t *Table) trust(s *Server, now time.Time) float64 {
	age := now.Sub(s.HeardAt) + t.lag.value()
	turnover := time.Duration(s.ServiceMS() * float64(time.Millisecond))
	return math.Exp(-float64(age) / float64(max(turnover, minTurnover)))
}

// minTurnover keeps short services from making every report worthless.
const minTurnover = 500 * time.Millisecond

// history is the own attempts under way, sampled in steps of historyStep.
type history struct {
	last  int64 // number of the newest step
	ring  [historySteps]int32
	known bool
}

const (
	historyStep  = 100 * time.Millisecond
	historySteps = 80
)

func (h *history) record(now time.Time, inflight int) {
	step := now.UnixNano() / int64(historyStep)
	if !h.known {
		h.known, h.last = true, step
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

// at returns the attempts under way at a past time.
func (h *history) at(t time.Time) int {
	if !h.known {
		return 0
	}
	step := min(t.UnixNano()/int64(historyStep), h.last)
	if h.last-step >= historySteps {
		step = h.last - historySteps + 1
	}
	return int(h.ring[step%historySteps])
}

// lagCandidates are the lags that are told apart.
var lagCandidates = []time.Duration{
	0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second,
	3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second,
}

const (
	lagMemory  = 0.995 // weight of the past at each report
	lagSamples = 60    // reports before the estimate is used
)

// lagEstimate finds the lag of the servers' load figures: the one at which the
// reports fit best what this host had under way, times the hosts that share.
type lagEstimate struct {
	assumed time.Duration
	errors  []float64
	samples int
}

func newLagEstimate(assumed time.Duration) lagEstimate {
	return lagEstimate{assumed: assumed, errors: make([]float64, len(lagCandidates))}
}

func (l *lagEstimate) observe(s *Server, sharers float64) {
	reported := float64(s.State.Running + s.State.Queued)
	if reported == 0 && s.Inflight == 0 {
		return
	}
	l.samples++
	for i, lag := range lagCandidates {
		miss := reported - sharers*float64(s.history.at(s.HeardAt.Add(-lag)))
		l.errors[i] = lagMemory*l.errors[i] + miss*miss
	}
}

func (l *lagEstimate) value() time.Duration {
	if l.samples < lagSamples {
		return l.assumed
	}
	best := 0
	for i, e := range l.errors {
		if e < l.errors[best] {
			best = i
		}
	}
	return lagCandidates[best]
}

// Lag returns the estimated lag of the servers' load figures.
func (t *Table) Lag() time.Duration { return t.lag.value() }
