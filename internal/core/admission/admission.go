// Package admission decides which waiting request goes next and which are
// refused at once. Teams share capacity by weight; a team that asks for less
// than its share leaves the rest to the others. Within a team the priority of
// the request decides, then its age.
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

// Waiter is a request that waits for a place.
type Waiter struct {
	Team     string
	Weight   float64 // share of the team
	Priority int     // within the team; higher goes first
	Cost     float64 // expected use, in requests of ordinary size
	Target   string  // model or service
	Deadline time.Time
	Enqueued time.Time

	start  float64
	finish float64
	seq    uint64
	gone   bool
}

// team is one team's queue, best first.
type team struct {
	waiting []*Waiter
	finish  float64
}

// Queue holds the waiting requests of one host. It is not safe for concurrent use.
type Queue struct {
	teams   map[string]*team
	virtual float64
	seq     uint64
	size    int
	rate    map[string]*drain
	max     int
}

// drain is the moving rate at which a target's requests are taken.
type drain struct {
	perSecond float64
	last      time.Time
}

// NewQueue returns a queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{teams: map[string]*team{}, rate: map[string]*drain{}, max: limit}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Refusal bounds for the time to come back.
const (
	minRetry    = 200 * time.Millisecond
	maxRetry    = 30 * time.Second
	retryJitter = 0.5 // spread of the time to come back, as a share of it
)

// Offer puts the request into the queue, or refuses it at once when it would
// wait beyond its deadline or the queue is full. random returns numbers in
// [0, 1) that spread the time to come back.
func (q *Queue) Offer(w *Waiter, now time.Time, random func() float64) error {
	wait := q.EstimateWait(w, now)
	if q.size >= q.max {
		return refuse(failure.Overloaded, wait, random, "%d requests wait already", q.size)
	}
	if !w.Deadline.IsZero() && now.Add(wait).After(w.Deadline) {
		return refuse(failure.Overloaded, wait-w.Deadline.Sub(now), random,
			"the expected wait of %s is beyond the deadline", wait.Round(time.Millisecond))
	}
	q.push(w, now)
	return nil
}

func refuse(code failure.Code, after time.Duration, random func() float64, format string, args ...any) error {
	after = min(max(after, minRetry), maxRetry)
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

// before orders the requests of one team.
func before(a, b *Waiter) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.seq < b.seq
}

// EstimateWait returns the expected wait of the request: the work that goes
// before it, over the rate at which its target's requests are taken lately.
func (q *Queue) EstimateWait(w *Waiter, now time.Time) time.Duration {
	d := q.rate[w.Target]
	ahead := q.ahead(w)
	if ahead == 0 {
		return 0
	}
	rate := minRate
	if d != nil {
		rate = max(minRate, d.current(now))
	}
	return time.Duration(min(ahead/rate, maxWaitSeconds) * float64(time.Second))
}

const (
	minRate        = 0.2 // requests a second assumed while nothing is taken
	maxWaitSeconds = 3600
)

// ahead returns how many waiting requests of the target are served before w:
// those of its own team, and of each other team as many as its share allows.
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

// Next takes the request that goes next among those that can: runnable reports
// whether a target has a place. It returns nil when none can go.
func (q *Queue) Next(now time.Time, runnable func(*Waiter) bool) *Waiter {
	var best *Waiter
	bestTeam, bestIndex := "", 0
	bestStart := math.Inf(1)
	verdict := map[string]bool{}
	for name, t := range q.teams {
		i := firstRunnable(t, runnable, verdict)
		if i < 0 {
			continue
		}
		start := max(q.virtual, t.finish)
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
	q.virtual = bestStart
	if t := q.teams[bestTeam]; t != nil {
		t.finish = best.finish
	}
	q.taken(best.Target, now)
	return best
}

func firstRunnable(t *team, runnable func(*Waiter) bool, verdict map[string]bool) int {
	for i, w := range t.waiting {
		v, known := verdict[w.Target]
		if !known {
			v = runnable(w)
			verdict[w.Target] = v
		}
		if v {
			return i
		}
	}
	return -1
}

// idleTeams bounds the teams without waiting requests that keep their tag.
const idleTeams = 4096

func (q *Queue) remove(name string, i int) {
	t := q.teams[name]
	t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
	q.size--
	if len(t.waiting) == 0 && (t.finish <= q.virtual || len(q.teams) > idleTeams) {
		delete(q.teams, name)
	}
}

// Cancel takes a request out of the queue. It returns false when it is not there.
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

// Expired takes out the requests whose deadline has passed.
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

// rateHalfLife is how fast the drain rate forgets.
const rateHalfLife = 2 * time.Second

func (q *Queue) taken(target string, now time.Time) {
	d := q.rate[target]
	if d == nil {
		d = &drain{last: now}
		q.rate[target] = d
	}
	d.perSecond = d.current(now) + math.Ln2/rateHalfLife.Seconds()
	d.last = now
}

// current returns the rate decayed to now.
func (d *drain) current(now time.Time) float64 {
	return d.perSecond * math.Exp2(-now.Sub(d.last).Seconds()/rateHalfLife.Seconds())
}

// Passed records a request that needed no wait, for the drain rate.
func (q *Queue) Passed(target string, now time.Time) { q.taken(target, now) }
