package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/streampause"
)

// Parameters of the pauses within streams.
const (
	// poolInterval is the time for which the engines of a pool are cached.
	poolInterval = 100 * time.Millisecond
	// gapRetention is how long a service's shortest gap target is kept after the last request with it.
	gapRetention = time.Minute
	// outsidePoolLoss is the loss of a long prompt at an engine outside the pool while the pool has spare time:
	// that of a late answer. With half of it, a twentieth of the chats paused in trials with 24 hosts.
	outsidePoolLoss = longLoss
	// streamSpreadLoss is the range of the random loss of a stream at an engine. It exceeds the loss of another
	// prefill of a chat's shared parts, of some 200 tokens, which would keep all chats at a few engines.
	streamSpreadLoss = 0.2
)

// streamPauses is the state from which a host estimates the pauses within streams, by service. It is used
// only for services whose servers report work times.
type streamPauses struct {
	gaps  map[string]gapTarget
	steps map[string]*streampause.Steps
	pools map[string]*longPromptPool
	sent  map[string]*sentPrefill
	// factors, if set, replaces the estimated factors of servers in tests.
	factors func(*Server) float64
}

// gapTarget is the shortest gap target of a service's requests.
type gapTarget struct {
	gap time.Duration
	at  time.Time
}

// longPromptPool holds the engines that are homes of long prompts.
type longPromptPool struct {
	pool    streampause.Pool
	servers []*Server
	factors map[*Server]float64 // mean factors of the speed classes
	at      time.Time
}

// sentPrefill is the prefill that this host sent, as exponentially decaying sums, in tokens.
type sentPrefill struct {
	long, all float64
	at        time.Time
}

// sentPrefillTimeConstant is the time constant of sentPrefill. At one long prompt per second and host, the
// share of long prompts is then known within a fifth.
const sentPrefillTimeConstant = 30 * time.Second

func (p *sentPrefill) add(tokens float64, long bool, now time.Time) {
	keep := math.Exp(-max(0, now.Sub(p.at).Seconds()) / sentPrefillTimeConstant.Seconds())
	p.long, p.all, p.at = p.long*keep, p.all*keep+tokens, now
	if long {
		p.long += tokens
	}
}

// longShare returns the share of long prompts in the prefill; 1 if nothing was sent.
func (p *sentPrefill) longShare() float64 {
	if p == nil || p.all <= 0 {
		return 1
	}
	return p.long / p.all
}

func newStreamPauses() streamPauses {
	return streamPauses{gaps: map[string]gapTarget{}, steps: map[string]*streampause.Steps{}, pools: map[string]*longPromptPool{}, sent: map[string]*sentPrefill{}}
}

// unequal reports whether the servers of a service are known to differ in speed.
func (f *Fleet) unequal(service string) bool {
	return f.streams.factors != nil || f.reportsWorkTime(service)
}

func (f *Fleet) steadyFactorOf(s *Server) float64 {
	if f.streams.factors != nil {
		return f.streams.factors(s)
	}
	return f.steadyFactor(s)
}

func (f *Fleet) workFactorOf(s *Server, now time.Time) float64 {
	if f.streams.factors != nil {
		return f.streams.factors(s)
	}
	return f.workFactor(s, now)
}

// recordGapTarget records the gap target of a request. The loss of long prompts at the service depends on the shortest one.
func (f *Fleet) recordGapTarget(j *Job, now time.Time) {
	last := f.streams.gaps[j.Service]
	if j.GapTarget > 0 && (last.gap == 0 || j.GapTarget <= last.gap || now.Sub(last.at) > gapRetention) {
		f.streams.gaps[j.Service] = gapTarget{j.GapTarget, now}
	}
}

// gapTargetOf returns the gap target of the streams that run at a service; 0 for none.
func (f *Fleet) gapTargetOf(j *Job, now time.Time) time.Duration {
	last := f.streams.gaps[j.Service]
	if now.Sub(last.at) > gapRetention {
		last.gap = 0
	}
	if j.GapTarget > 0 && (last.gap == 0 || j.GapTarget < last.gap) {
		return j.GapTarget
	}
	return last.gap
}

// RecordEventSpacing records the time between two events of a stream.
func (f *Fleet) RecordEventSpacing(c *Choice, interval time.Duration, now time.Time) {
	if c.Server == nil || !c.job.Engine || !f.unequal(c.job.Service) {
		return
	}
	e := f.streams.steps[c.job.Service]
	if e == nil {
		e = &streampause.Steps{}
		f.streams.steps[c.job.Service] = e
	}
	ms := float64(interval) / float64(time.Millisecond)
	e.Add(ms/f.workFactorOf(c.Server, now), stepMS(f.requestsAt(c.Server, now)))
}

// recordPrefill records the prefill of a request that was sent.
func (f *Fleet) recordPrefill(c *Choice, now time.Time) {
	service := c.job.Service
	if !f.unequal(service) {
		return
	}
	if f.streams.sent[service] == nil {
		f.streams.sent[service] = &sentPrefill{}
	}
	f.streams.sent[service].add(c.UncoveredTokens, c.job.isLong(), now)
}

// stepMS returns the time of a step of a batch without prefill, in ms at factor 1.
func stepMS(requests float64) float64 { return stepBaseMS + stepPerRequestMS*requests }

// pauseModel describes an engine for the risk that its streams pause.
type pauseModel struct {
	engine      streampause.Engine
	tokensPerMS float64 // prefill rate at factor 1
	recentMS    float64 // prefill sent recently, in ms at factor 1 per second
}

// pauseModelOf returns the model of an engine; nil if the fixed thresholds of pauseRisk apply, as the service's
// servers report no work time or its streams have no gap target.
func (f *Fleet) pauseModelOf(s *Server, j *Job, now time.Time) *pauseModel {
	gap := f.gapTargetOf(j, now)
	if gap == 0 || !f.unequal(j.Service) {
		return nil
	}
	unreported, rate := f.unreportedFactor(j.Service, now), f.speedOf(j.Service).PrefillTokensPerMS()
	return &pauseModel{
		engine: streampause.Engine{
			PendingMS: (s.own.prompt + unreported*s.others.prompt) / rate, StepMS: stepMS(f.requestsAt(s, now)),
			Steps: f.streams.steps[j.Service].Value(), Factor: f.workFactorOf(s, now), Gap: gap,
		},
		tokensPerMS: rate, recentMS: s.prefill.now(now) + unreported*s.othersPrefill,
	}
}

// risk returns the probability that a stream at the engine pauses for too long after further prefill, in ms
// at factor 1.
func (m *pauseModel) risk(prefillMS float64) float64 {
	e := m.engine
	e.PendingMS += prefillMS
	return streampause.Risk(e)
}

// added returns by how much the prefill of tokens raises the risk of the engine's streams.
func (m *pauseModel) added(tokens float64) float64 {
	return m.risk(tokens/m.tokensPerMS) - m.risk(0)
}

// ownLoss returns the loss of a short request whose own stream may pause. The prefill that was sent recently
// shows how much comes within the time of a gap target.
func (m *pauseModel) ownLoss(j *Job) float64 {
	if j.GapTarget <= 0 || j.isLong() {
		return 0
	}
	return shortLoss * m.risk(m.recentMS*m.engine.Gap.Seconds())
}

// tieBreakLossOf returns the range of the random loss of a server. Otherwise all hosts that act on the same
// load figures send their streams to the one engine that looks best, and their prefill there pauses all of them.
func (f *Fleet) tieBreakLossOf(j *Job) float64 {
	if j.Engine && !j.isLong() && j.GapTarget > 0 && f.unequal(j.Service) {
		return streamSpreadLoss
	}
	return tieBreakLoss
}

// busyShare returns the fraction of the engine's own time that recent prefill takes. A fast engine takes more
// prefill than others before long prompts avoid it.
func (m *pauseModel) busyShare() float64 { return m.recentMS / 1000 * m.engine.Factor }

// poolOf returns the engines that are homes of the service's long prompts; nil if any engine may be.
func (f *Fleet) poolOf(j *Job, now time.Time) []*Server {
	if !j.Engine || f.disabled(Homes) || !f.unequal(j.Service) {
		return nil
	}
	p := f.streams.pools[j.Service]
	if p == nil {
		p = &longPromptPool{}
		f.streams.pools[j.Service] = p
	}
	if p.at.IsZero() || now.Sub(p.at) >= poolInterval {
		p.at = now
		f.updatePool(j.Service, p, now)
	}
	return p.servers
}

func (f *Fleet) updatePool(service string, p *longPromptPool, now time.Time) {
	unreported, demand := f.unreportedFactor(service, now), 0.0
	var members []streampause.Member
	for _, s := range f.serversOf(service) {
		demand += s.prefill.now(now) + unreported*s.othersPrefill
		if f.canBeHome(s) && !f.missing(s) && !f.Evacuated(s.FailureDomain) {
			members = append(members, streampause.Member{ID: s.ID, Factor: f.steadyFactorOf(s)})
		}
	}
	p.servers, p.factors = nil, map[*Server]float64{}
	for _, m := range p.pool.Update(members, demand*f.streams.sent[service].longShare(), now) {
		s := f.servers[m.ID]
		p.servers, p.factors[s] = append(p.servers, s), m.Factor
	}
}

// canBeHome reports whether a server may be a home of shared parts.
func (f *Fleet) canBeHome(s *Server) bool { return !s.Leaving && !f.isMostlyLimited(s) }

// homeCandidates returns the servers among which the homes of the job's shared parts are chosen: the pool for
// a long prompt, or all servers if there is no pool.
func (f *Fleet) homeCandidates(j *Job, now time.Time) []*Server {
	var out []*Server
	if j.isLong() {
		out = slices.DeleteFunc(slices.Clone(f.poolOf(j, now)), func(s *Server) bool { return !f.canBeHome(s) })
	}
	if len(out) > 0 {
		return out
	}
	for _, s := range f.servers {
		if s.Service == j.Service && f.canBeHome(s) {
			out = append(out, s)
		}
	}
	return out
}

// poolWait returns a number by which the homes of a long prompt are ordered, the smallest first; 0 without a
// pool. With it each engine is the first home of a share of the chains in proportion to its speed.
func (f *Fleet) poolWait(s *Server, j *Job, rank uint64, now time.Time) float64 {
	if !j.isLong() || f.poolOf(j, now) == nil {
		return 0
	}
	const scale = 1 << 53
	return -math.Log((float64(rank>>11)+1)/scale) * f.streams.pools[j.Service].factors[s]
}

// withoutPool returns the servers from which a random candidate is drawn: for a stream with a gap target those
// outside the pool, if there are any.
func (f *Fleet) withoutPool(j *Job, servers []*Server, now time.Time) []*Server {
	pool := f.poolOf(j, now)
	if pool == nil || j.isLong() || j.GapTarget == 0 {
		return servers
	}
	out := slices.DeleteFunc(slices.Clone(servers), func(s *Server) bool { return slices.Contains(pool, s) })
	if len(out) == 0 {
		return servers
	}
	return out
}

// poolLoss returns the loss of a long prompt at a server outside the pool. It orders the servers of the own
// region and does not count in the choice between regions. A stalled server of the pool counts as outside:
// stalledLoss is less than outsidePoolLoss, so that prompts would stay at a pool of which all engines are cut off.
func (f *Fleet) poolLoss(s *Server, j *Job, now time.Time) float64 {
	pool := f.poolOf(j, now)
	avoided := s.stalled(now) && !f.disabled(StallAvoidance)
	if pool == nil || !j.isLong() || (slices.Contains(pool, s) && !avoided) {
		return 0
	}
	return outsidePoolLoss * f.streams.pools[j.Service].pool.Spare()
}

// StreamState is the state of an engine that can explain a pause of a stream there.
type StreamState struct {
	PendingMS    float64 // prefill that is running and queued, in ms
	RecentMS     float64 // prefill that was sent recently, in ms per second
	Requests     float64
	Slots        float64
	WorkFactor   float64
	SteadyFactor float64
}

// StreamStateOf returns the state of the server of an attempt.
func (f *Fleet) StreamStateOf(c *Choice, now time.Time) StreamState {
	s := c.Server
	if s == nil {
		return StreamState{WorkFactor: 1, SteadyFactor: 1}
	}
	unreported, rate, factor := f.unreportedFactor(s.Service, now), f.speedOf(s.Service).PrefillTokensPerMS(), f.workFactorOf(s, now)
	return StreamState{
		PendingMS: (s.own.prompt + unreported*s.others.prompt) / rate * factor,
		RecentMS:  (s.prefill.now(now) + unreported*s.othersPrefill) * factor,
		Requests:  f.requestsAt(s, now), Slots: s.slots(), WorkFactor: factor, SteadyFactor: f.steadyFactorOf(s),
	}
}
