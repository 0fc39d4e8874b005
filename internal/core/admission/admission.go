// Package admission decides which waiting request is served next and which are
// refused immediately. Teams share capacity by weight; capacity that a team does
// not use goes to the others. Within a team, requests are ordered by priority,
// then by arrival.
//
// The order over teams is start-time fair queueing (Goyal, Vin and Cheng,
// SIGCOMM 1996): a request's start tag is the larger of the virtual time and
// its team's last finish tag.
package admission

import (
	"math"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Waiter is a request that waits for a slot at its target.
type Waiter struct {
	Team     string
	Weight   float64 // weight of the team
	Priority int     // within the team; higher is served first
	Cost     float64 // expected use, relative to an average request
	Target   string  // model or service
	Deadline time.Time
	Enqueued time.Time

	start  float64
	finish float64
	seq    uint64
	gone   bool
}

// team is one team's queue, in the order in which its requests are served.
type team struct {
	waiting []*Waiter
	finish  float64
}

// Queue holds the waiting requests of one host. It is not safe for concurrent use.
type Queue struct {
	teams       map[string]*team
	virtualTime float64
	seq         uint64
	size        int
	drainRates  map[string]*drainRate
	limit       int
}

// drainRate is the exponentially decaying rate at which a target's requests are
// taken from the queue.
type drainRate struct {
	perSecond float64
	last      time.Time
}

// NewQueue returns a queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{teams: map[string]*team{}, drainRates: map[string]*drainRate{}, limit: limit}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Bounds of the Retry-After time of a refusal, before the random addition.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	retryJitter   = 0.5 // largest random addition, as a fraction of the time
)

// Offer adds the request to the queue, or refuses it immediately if the queue is
// full or the estimated wait ends after its deadline. random returns numbers in
// [0, 1); they spread the Retry-After times of refused requests.
func (q *Queue) Offer(w *Waiter, now time.Time, random func() float64) error {
	wait := q.EstimateWait(w, now)
	if q.size >= q.limit {
		return refuse(failure.Overloaded, wait, random, "admission queue is full: %d requests are waiting", q.size)
	}
	if !w.Deadline.IsZero() && now.Add(wait).After(w.Deadline) {
		return refuse(failure.Overloaded, wait-w.Deadline.Sub(now), random,
			"the expected wait of %s ends after the request's deadline", wait.Round(time.Millisecond))
	}
	q.push(w, now)
	return nil
}

func refuse(code failure.Code, after time.Duration, random func() float64, format string, args ...any) error {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after += time.Duration(retryJitter * random() * float64(after))
	return failure.New(code, failure.NotRun, format, args...).WithRetryAfter(after)
}

func (q *Queue) push(w *Waiter, now time.Time) {
	t := q.teams[w.Team]
	if t == nil {
		t = &team{}
		q.teams[w.Team] = t
	}
	q.seq++
	w.seq, w.Enqueued = q.seq, now
	w.Weight = max(w.Weight, 0.001)
	w.Cost = max(w.Cost, 0.001)
	i := sort.Search(len(t.waiting), func(i int) bool { return before(w, t.waiting[i]) })
	t.waiting = append(t.waiting, nil)
	copy(t.waiting[i+1:], t.waiting[i:])
	t.waiting[i] = w
	q.size++
}

// before reports whether a is served before b, for two requests of one team.
func before(a, b *Waiter) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.seq < b.seq
}

// EstimateWait returns the expected wait of the request: the number of requests
// served before it, divided by the recent drain rate of its target.
func (q *Queue) EstimateWait(w *Waiter, now time.Time) time.Duration {
	d := q.drainRates[w.Target]
	ahead := q.ahead(w)
	if ahead == 0 {
		return 0
	}
	rate := minDrainPerSecond
	if d != nil {
		rate = max(minDrainPerSecond, d.current(now))
	}
	return time.Duration(min(ahead/rate, maxWaitSeconds) * float64(time.Second))
}

const (
	minDrainPerSecond = 0.2 // assumed when no request has been taken recently
	maxWaitSeconds    = 3600
)

// ahead returns how many waiting requests of the target are served before w:
// those of its own team, and of each other team as many as its weight allows.
func (q *Queue) ahead(w *Waiter) float64 {
	own := 0.0
	if t := q.teams[w.Team]; t != nil {
		for _, o := range t.waiting {
			if o.Target == w.Target && !o.gone && o.Priority >= w.Priority {
				own++
			}
		}
	}
	total := own
	for name, t := range q.teams {
		if name == w.Team {
			continue
		}
		count, weight := 0.0, 1.0
		for _, o := range t.waiting {
			if o.Target == w.Target && !o.gone {
				count++
				weight = o.Weight
			}
		}
		total += min(count, (own+1)*weight/max(w.Weight, 0.001))
	}
	return total
}

// Next removes and returns the request to serve next; nil if none can be served.
// runnable reports whether a request's target has a free slot; it is called once
// per target.
func (q *Queue) Next(now time.Time, runnable func(*Waiter) bool) *Waiter {
	var best *Waiter
	bestTeam, bestIndex := "", 0
	bestStart := math.Inf(1)
	runnableTargets := map[string]bool{}
	for name, t := range q.teams {
		i := firstRunnable(t, runnable, runnableTargets)
		if i < 0 {
			continue
		}
		start := max(q.virtualTime, t.finish)
		w := t.waiting[i]
		if start < bestStart || (start == bestStart && best != nil && w.seq < best.seq) {
			best, bestTeam, bestIndex, bestStart = w, name, i, start
		}
	}
	if best == nil {
		return nil
	}
	q.remove(bestTeam, bestIndex)
	best.start = bestStart
	best.finish = bestStart + best.Cost/best.Weight
	q.virtualTime = bestStart
	if t := q.teams[bestTeam]; t != nil {
		t.finish = best.finish
	}
	q.recordDrain(best.Target, now)
	return best
}

func firstRunnable(t *team, runnable func(*Waiter) bool, runnableTargets map[string]bool) int {
	for i, w := range t.waiting {
		v, known := runnableTargets[w.Target]
		if !known {
			v = runnable(w)
			runnableTargets[w.Target] = v
		}
		if v {
			return i
		}
	}
	return -1
}

// maxIdleTeams is the number of teams in the queue above which a team without
// waiting requests is removed even if its finish tag is in the future.
const maxIdleTeams = 4096

func (q *Queue) remove(name string, i int) {
	t := q.teams[name]
	t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
	q.size--
	if len(t.waiting) == 0 && (t.finish <= q.virtualTime || len(q.teams) > maxIdleTeams) {
		delete(q.teams, name)
	}
}

// Cancel removes a request from the queue. It returns false if the request is not
// in it.
func (q *Queue) Cancel(w *Waiter) bool {
	t := q.teams[w.Team]
	if t == nil {
		return false
	}
	for i, o := range t.waiting {
		if o == w {
			q.remove(w.Team, i)
			return true
		}
	}
	return false
}

// Expired removes and returns the requests whose deadline has passed.
func (q *Queue) Expired(now time.Time) []*Waiter {
	var out []*Waiter
	for _, t := range q.teams {
		for _, w := range t.waiting {
			if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
				out = append(out, w)
			}
		}
	}
	for _, w := range out {
		q.Cancel(w)
	}
	return out
}

// rateHalfLife is the half-life of the drain rate.
const rateHalfLife = 2 * time.Second

func (q *Queue) recordDrain(target string, now time.Time) {
	d := q.drainRates[target]
	if d == nil {
		d = &drainRate{last: now}
		q.drainRates[target] = d
	}
	d.perSecond = d.current(now) + math.Ln2/rateHalfLife.Seconds()
	d.last = now
}

// current returns the rate, in requests per second, decayed to now.
func (d *drainRate) current(now time.Time) float64 {
	return d.perSecond * math.Exp2(-now.Sub(d.last).Seconds()/rateHalfLife.Seconds())
}

// RecordImmediate records a request that was served without waiting, for the drain rate.
func (q *Queue) RecordImmediate(target string, now time.Time) { q.recordDrain(target, now) }
