// Package load drives entry hosts with an open loop of requests made from a
// seed, checks every answer in full, and reports latencies, outcomes and every
// broken promise that it saw.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Team is who calls.
type Team struct {
	Name    string   `json:"name"`
	Key     string   `json:"-"`
	Region  string   `json:"region"`  // where it calls from
	Entries []string `json:"entries"` // entry hosts it knows at the start
	Regions []string `json:"regions"` // where its requests may be answered
}

// Options configures a run.
type Options struct {
	Teams     []Team
	Model     string
	Service   string
	Services  []string // addresses of service stand-ins, for their counts
	Rate      float64  // requests per second
	Count     int      // requests in all
	ChatShare float64  // share of chat requests; the rest are orders
	Stream    bool
	MaxTokens int
	Prompts   []string
	Deadline  time.Duration
	Tries     int // sends of one request, the first included
	Seed      int64
}

// Report is the result of a run.
type Report struct {
	Requests  int            `json:"requests"`
	Answered  int            `json:"answered"`
	NotRun    int            `json:"refused_not_run"`
	Unknown   int            `json:"unknown"`
	Cut       int            `json:"connections_cut"` // sends that ended without any outcome
	Resends   int            `json:"resends"`
	Away      int            `json:"answered_in_another_region"`
	Lost      int            `json:"lost"`
	Doubled   int            `json:"doubled"`
	Misplaced int            `json:"misplaced"`
	Wrong     int            `json:"wrong_or_short"`
	Untrue    int            `json:"told_not_run_but_ran"`
	Seconds   float64        `json:"seconds"`
	TTFT      *Latency       `json:"first_token"`
	Gap       *Latency       `json:"token_gap"`
	Total     *Latency       `json:"total"`
	Orders    *Latency       `json:"orders"`
	Failures  map[string]int `json:"failures"` // by code
	Broken    []string       `json:"broken_promises"`
	MaxStall  float64        `json:"longest_time_without_an_answer_ms"`
}

// Latency summarises a histogram, in ms.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

func summarise(h *metrics.Histogram) *Latency {
	ms := func(q float64) float64 { return float64(h.Percentile(q).Microseconds()) / 1000 }
	return &Latency{h.Count(), ms(50), ms(95), ms(99)}
}

// Violations returns the number of broken promises.
func (r *Report) Violations() int {
	return r.Lost + r.Doubled + r.Misplaced + r.Wrong + r.Untrue
}

// maxBroken bounds the broken promises described in a report.
const maxBroken = 50

// runner is the state of one run.
type runner struct {
	o      Options
	client *http.Client
	mu     sync.Mutex
	rep    Report
	ttft   *metrics.Histogram
	gap    *metrics.Histogram
	total  *metrics.Histogram
	orders *metrics.Histogram
	told   map[string]failure.Outcome // last outcome told, by order reference
	lists  map[string]list            // entry hosts by team
	ended  []time.Time
}

type list struct {
	urls  []string
	until time.Time
}

// Run sends the requests and waits for all of their answers.
func Run(ctx context.Context, o Options) *Report {
	r := &runner{
		o: o, ttft: metrics.NewHistogram(), gap: metrics.NewHistogram(), total: metrics.NewHistogram(),
		orders: metrics.NewHistogram(), told: map[string]failure.Outcome{}, lists: map[string]list{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}},
	}
	r.rep.Failures = map[string]int{}
	rnd := rand.New(rand.NewSource(o.Seed))
	began := time.Now()
	var wg sync.WaitGroup
	at := began
	for i := 0; i < o.Count && ctx.Err() == nil; i++ {
		at = at.Add(time.Duration(rnd.ExpFloat64() / o.Rate * float64(time.Second)))
		job := r.job(i, rnd)
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.carryOut(ctx, job)
		}()
	}
	wg.Wait()
	r.client.CloseIdleConnections()
	r.rep.Seconds = time.Since(began).Seconds()
	r.checkExecutions()
	return r.finish()
}

func (r *runner) finish() *Report {
	r.rep.TTFT, r.rep.Gap, r.rep.Total, r.rep.Orders = summarise(r.ttft), summarise(r.gap), summarise(r.total), summarise(r.orders)
	slices.SortFunc(r.ended, time.Time.Compare)
	for i := 1; i < len(r.ended); i++ {
		r.rep.MaxStall = max(r.rep.MaxStall, float64(r.ended[i].Sub(r.ended[i-1]).Microseconds())/1000)
	}
	return &r.rep
}

// job is one request of the run.
type job struct {
	team      Team
	order     bool
	reference string
	prompt    string
	pick      int // for choosing among entry hosts
}

func (r *runner) job(i int, rnd *rand.Rand) job {
	j := job{team: r.o.Teams[rnd.Intn(len(r.o.Teams))], pick: rnd.Int()}
	if rnd.Float64() >= r.o.ChatShare {
		j.order = true
		j.reference = fmt.Sprintf("order-%d-%d", r.o.Seed, i)
		return j
	}
	j.prompt = fmt.Sprintf("%s\nquestion %d", r.o.Prompts[rnd.Intn(len(r.o.Prompts))], rnd.Intn(1000))
	return j
}

// broken records a broken promise.
func (r *runner) broken(counter *int, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
	if len(r.rep.Broken) < maxBroken {
		r.rep.Broken = append(r.rep.Broken, fmt.Sprintf(format, args...))
	}
}

// carryOut sends a request, and again as its outcomes advise, until it has a
// final answer.
func (r *runner) carryOut(ctx context.Context, j job) {
	issued := time.Now()
	deadline := issued.Add(r.o.Deadline)
	res := sent{}
	cutOnly := true
	for try := 1; try <= r.o.Tries; try++ {
		hosts := r.entryHosts(ctx, j)
		if len(res.hosts) > 0 {
			hosts = res.hosts // the refusal named where to go
		}
		res = r.send(ctx, j, hosts[(try-1+j.pick%2)%len(hosts)], issued, deadline)
		cutOnly = cutOnly && res.cut
		if res.outcome == failure.Done || ctx.Err() != nil || time.Now().After(deadline) {
			break
		}
		r.note(func() { r.rep.Resends++ })
		pause := min(max(res.retryAfter, 20*time.Millisecond), 2*time.Second)
		select {
		case <-time.After(min(pause, time.Until(deadline))):
		case <-ctx.Done():
		}
	}
	r.record(j, res, cutOnly, time.Since(issued))
}

func (r *runner) note(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *runner) record(j job, res sent, cutOnly bool, took time.Duration) {
	if cutOnly && res.outcome != failure.Done {
		r.broken(&r.rep.Lost, "a request of %s got no outcome at all: %s", j.team.Name, res.detail)
	}
	if res.outcome == failure.Done && !slices.Contains(j.team.Regions, res.region) {
		r.broken(&r.rep.Misplaced, "a request of %s was answered in %q, permitted are %v", j.team.Name, res.region, j.team.Regions)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Requests++
	r.ended = append(r.ended, time.Now())
	if j.order {
		r.told[j.reference] = res.outcome
	}
	switch res.outcome {
	case failure.Done:
		r.rep.Answered++
		if res.region != j.team.Region {
			r.rep.Away++
		}
		if j.order {
			r.orders.Observe(took)
		} else {
			r.total.Observe(took)
		}
	case failure.NotRun:
		r.rep.NotRun++
		r.rep.Failures[res.code]++
	default:
		r.rep.Unknown++
		r.rep.Failures[res.code]++
	}
}

// entryHosts asks the system which hosts to use, while the last list lives.
func (r *runner) entryHosts(ctx context.Context, j job) []string {
	r.mu.Lock()
	l := r.lists[j.team.Name]
	r.mu.Unlock()
	if time.Now().Before(l.until) {
		return l.urls
	}
	for _, e := range append(slices.Clone(l.urls), j.team.Entries...) {
		if fresh, ok := r.ask(ctx, j.team, e); ok {
			r.note(func() { r.lists[j.team.Name] = fresh })
			return fresh.urls
		}
	}
	return j.team.Entries
}

// askTimeout bounds the question for entry hosts.
const askTimeout = 500 * time.Millisecond

func (r *runner) ask(ctx context.Context, t Team, url string) (list, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/entry-hosts", nil)
	if err != nil {
		return list{}, false
	}
	req.Header.Set("Authorization", "Bearer "+t.Key)
	resp, err := r.client.Do(req)
	if err != nil {
		return list{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
		Hosts []struct {
			URL string `json:"url"`
		} `json:"entry_hosts"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil || len(body.Hosts) == 0 {
		return list{}, false
	}
	out := list{until: time.Now().Add(time.Duration(body.TTLMS) * time.Millisecond / 5)}
	for _, h := range body.Hosts {
		out.urls = append(out.urls, h.URL)
	}
	return out, true
}

// checkExecutions compares what callers were told with what the services did.
func (r *runner) checkExecutions() {
	counts := map[string]int{}
	for _, addr := range r.o.Services {
		resp, err := r.client.Get("http://" + addr + "/admin/executions")
		if err != nil {
			r.broken(&r.rep.Lost, "the counts of %s cannot be read: %s", addr, err)
			continue
		}
		var here map[string]int
		_ = json.NewDecoder(resp.Body).Decode(&here)
		_ = resp.Body.Close()
		for ref, n := range here {
			counts[ref] += n
		}
	}
	for ref, outcome := range r.told {
		n := counts[ref]
		switch {
		case n > 1:
			r.broken(&r.rep.Doubled, "%s ran %d times", ref, n)
		case n == 0 && outcome == failure.Done:
			r.broken(&r.rep.Lost, "%s was answered but never ran", ref)
		case n > 0 && outcome == failure.NotRun:
			r.broken(&r.rep.Untrue, "%s was told not run but ran", ref)
		}
	}
}
