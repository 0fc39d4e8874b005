// Package load sends an open-loop load, generated from a seed, to entry hosts, checks every
// answer completely, and reports latencies, outcomes and every violated guarantee that it
// observed.
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

	"github.com/sesamefork/sesamefork/internal/adapter/httpanswer"
	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Team is a team whose callers send requests.
type Team struct {
	Name    string   `json:"name"`
	Key     string   `json:"-"`
	Region  string   `json:"region"`  // region of its callers
	Entries []string `json:"entries"` // URLs of the initial entry hosts
	Regions []string `json:"regions"` // regions in which its requests may be answered
}

// Options configures a run.
type Options struct {
	Teams     []Team
	Model     string
	Service   string
	Services  []string // addresses of service stand-ins whose execution counts are checked
	Rate      float64  // requests per second
	Count     int      // total number of requests
	ChatShare float64  // fraction of chat requests, 0 to 1; the others are orders
	Stream    bool
	MaxTokens int
	Prompts   []string
	Deadline  time.Duration
	Tries     int // maximum number of sends per request, including the first
	Seed      int64
}

// Report is the result of a run.
type Report struct {
	Requests  int            `json:"requests"`
	Answered  int            `json:"answered"`
	NotRun    int            `json:"refused_not_run"`
	Unknown   int            `json:"unknown"`
	Cut       int            `json:"connections_cut"` // sends whose connection ended before an outcome was received
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

// Latency contains quantiles of a histogram, in ms.
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

// Violations returns the number of violated guarantees.
func (r *Report) Violations() int {
	return r.Lost + r.Doubled + r.Misplaced + r.Wrong + r.Untrue
}

// maxBroken bounds the number of violations that a report describes.
const maxBroken = 50

// runner is the state of one run.
type runner struct {
	o            Options
	client       *http.Client
	mu           sync.Mutex
	rep          Report
	ttft         *metrics.Histogram
	gap          *metrics.Histogram
	total        *metrics.Histogram
	orders       *metrics.Histogram
	lastOutcomes map[string]failure.Outcome // last outcome received, by order reference
	hostLists    map[string]hostList        // entry hosts by team
	completions  []time.Time
}

type hostList struct {
	urls  []string
	until time.Time
}

// Run sends the requests and waits for all of their answers.
func Run(ctx context.Context, o Options) *Report {
	r := &runner{
		o: o, ttft: metrics.NewHistogram(), gap: metrics.NewHistogram(), total: metrics.NewHistogram(),
		orders: metrics.NewHistogram(), lastOutcomes: map[string]failure.Outcome{}, hostLists: map[string]hostList{},
		client: &http.Client{Transport: httpanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true})},
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
			r.perform(ctx, job)
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
	slices.SortFunc(r.completions, time.Time.Compare)
	for i := 1; i < len(r.completions); i++ {
		r.rep.MaxStall = max(r.rep.MaxStall, float64(r.completions[i].Sub(r.completions[i-1]).Microseconds())/1000)
	}
	return &r.rep
}

// job is one request of the run, which may be sent several times.
type job struct {
	team      Team
	order     bool
	reference string
	prompt    string
	pick      int // random number for choosing an entry host
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

// reportViolation counts and describes a violated guarantee.
func (r *runner) reportViolation(counter *int, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
	if len(r.rep.Broken) < maxBroken {
		r.rep.Broken = append(r.rep.Broken, fmt.Sprintf(format, args...))
	}
}

// perform sends a request, and resends it after a refusal or an unknown outcome, until it is
// answered, its deadline passes or its tries are used up.
func (r *runner) perform(ctx context.Context, j job) {
	issued := time.Now()
	deadline := issued.Add(r.o.Deadline)
	res := sendResult{}
	cutOnly := true
	for try := 1; try <= r.o.Tries; try++ {
		hosts := r.entryHosts(ctx, j)
		if len(res.hosts) > 0 {
			hosts = res.hosts // the refusal named the entry hosts to use
		}
		res = r.send(ctx, j, hosts[(try-1+j.pick%2)%len(hosts)], issued, deadline)
		cutOnly = cutOnly && res.cut
		if res.outcome == failure.Done || ctx.Err() != nil || time.Now().After(deadline) {
			break
		}
		r.withLock(func() { r.rep.Resends++ })
		pause := min(max(res.retryAfter, 20*time.Millisecond), 2*time.Second)
		select {
		case <-time.After(min(pause, time.Until(deadline))):
		case <-ctx.Done():
		}
	}
	r.record(j, res, cutOnly, time.Since(issued))
}

func (r *runner) withLock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *runner) record(j job, res sendResult, cutOnly bool, took time.Duration) {
	if cutOnly && res.outcome != failure.Done {
		r.reportViolation(&r.rep.Lost, "a request of %s received no outcome: %s", j.team.Name, res.detail)
	}
	if res.outcome == failure.Done && !slices.Contains(j.team.Regions, res.region) {
		r.reportViolation(&r.rep.Misplaced, "a request of %s was answered in region %q, permitted are %v", j.team.Name, res.region, j.team.Regions)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Requests++
	r.completions = append(r.completions, time.Now())
	if j.order {
		r.lastOutcomes[j.reference] = res.outcome
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

// entryHosts returns the team's entry hosts. It requests a new list when the last one has expired.
func (r *runner) entryHosts(ctx context.Context, j job) []string {
	r.mu.Lock()
	l := r.hostLists[j.team.Name]
	r.mu.Unlock()
	if time.Now().Before(l.until) {
		return l.urls
	}
	for _, e := range append(slices.Clone(l.urls), j.team.Entries...) {
		if fresh, ok := r.lookUpEntryHosts(ctx, j.team, e); ok {
			r.withLock(func() { r.hostLists[j.team.Name] = fresh })
			return fresh.urls
		}
	}
	return j.team.Entries
}

// lookupTimeout bounds a request for the list of entry hosts.
const lookupTimeout = 500 * time.Millisecond

func (r *runner) lookUpEntryHosts(ctx context.Context, t Team, url string) (hostList, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/entry-hosts", nil)
	if err != nil {
		return hostList{}, false
	}
	req.Header.Set("Authorization", "Bearer "+t.Key)
	resp, err := r.client.Do(req)
	if err != nil {
		return hostList{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
		Hosts []struct {
			URL string `json:"url"`
		} `json:"entry_hosts"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil || len(body.Hosts) == 0 {
		return hostList{}, false
	}
	out := hostList{until: time.Now().Add(time.Duration(body.TTLMS) * time.Millisecond / 5)}
	for _, h := range body.Hosts {
		out.urls = append(out.urls, h.URL)
	}
	return out, true
}

// checkExecutions compares the outcomes that callers received with the services' execution counts.
func (r *runner) checkExecutions() {
	counts := map[string]int{}
	for _, addr := range r.o.Services {
		resp, err := r.client.Get("http://" + addr + "/admin/executions")
		if err != nil {
			r.reportViolation(&r.rep.Lost, "reading the execution counts of %s: %s", addr, err)
			continue
		}
		var here map[string]int
		_ = json.NewDecoder(resp.Body).Decode(&here)
		_ = resp.Body.Close()
		for ref, n := range here {
			counts[ref] += n
		}
	}
	for ref, outcome := range r.lastOutcomes {
		n := counts[ref]
		switch {
		case n > 1:
			r.reportViolation(&r.rep.Doubled, "%s was executed %d times", ref, n)
		case n == 0 && outcome == failure.Done:
			r.reportViolation(&r.rep.Lost, "%s was answered but not executed", ref)
		case n > 0 && outcome == failure.NotRun:
			r.reportViolation(&r.rep.Untrue, "%s was reported as not run but was executed", ref)
		}
	}
}
