package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/adapter/backendhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/enginehttp"
	"github.com/sesamefork/sesamefork/internal/app/entry"
	"github.com/sesamefork/sesamefork/internal/port"
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	ID           string
	Models       []string
	Slots        int
	PrefillRate  float64       // prompt tokens per second
	Decode       time.Duration // decode time per token with a full batch
	CacheBlocks  int           // capacity of the prefix cache in blocks
	IgnoresFence bool
	Faults       *Faults
}

// Engine simulates a model engine with continuous batching and a prefix cache.
type Engine struct {
	o       EngineOptions
	mu      sync.Mutex
	running int
	queue   []*waiter
	cache   *prefixCache
	fence   uint64
	orders  []port.Order
	loaded  map[string]bool
	served  map[string]int // number of attempts started, by request ID
	tokens  int64
}

type waiter struct {
	priority int
	at       time.Time
	ready    chan struct{}
}

// NewEngine returns an idle engine with a cold cache.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{o: o, cache: newPrefixCache(o.CacheBlocks), loaded: map[string]bool{}, served: map[string]int{}}
	for _, m := range o.Models {
		e.loaded[m] = true
	}
	return e
}

// Mount adds the engine's routes.
func (e *Engine) Mount(r *mux.Router) {
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/{prefix}", e.exportKV).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv", e.importKV).Methods(http.MethodPut)
	r.HandleFunc("/admin/stats", e.stats).Methods(http.MethodGet)
	e.o.Faults.mount(r)
}

// acquire waits for a slot of the batch. Slots are granted by priority, the highest first.
func (e *Engine) acquire(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.running < e.o.Slots {
		e.running++
		e.mu.Unlock()
		return nil
	}
	j := &waiter{priority: priority, at: time.Now(), ready: make(chan struct{})}
	i := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].priority < priority })
	e.queue = append(e.queue, nil)
	copy(e.queue[i+1:], e.queue[i:])
	e.queue[i] = j
	e.mu.Unlock()
	select {
	case <-j.ready:
		return nil
	case <-ctx.Done():
		e.cancel(j)
		return ctx.Err()
	}
}

// cancel removes a waiter from the queue, or releases its slot if it has just been granted one.
func (e *Engine) cancel(j *waiter) {
	e.mu.Lock()
	for i, q := range e.queue {
		if q == j {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			e.mu.Unlock()
			return
		}
	}
	e.mu.Unlock()
	e.release()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 {
		close(e.queue[0].ready)
		e.queue = e.queue[1:]
		return
	}
	e.running--
}

// tokenTime returns the decode time per token at the current batch size.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	fill := float64(e.running) / float64(e.o.Slots)
	return time.Duration(float64(e.o.Decode) * (0.5 + 0.5*fill))
}

func (e *Engine) prefill(model, text string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	chain := entry.PrefixChain(model, text)
	covered := e.cache.use(chain)
	tokens := entry.EstimateTokens(text)
	if len(chain) > 0 {
		tokens *= 1 - 0.98*float64(covered)/float64(len(chain))
	}
	return time.Duration(tokens / e.o.PrefillRate * float64(time.Second))
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p, err := entry.ParsePrompt(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	loaded := e.loaded[p.Model]
	e.mu.Unlock()
	if !loaded {
		refuse(w)
		return
	}
	if e.o.Faults.refuse(w) {
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get("Sesame-Priority"))
	if e.acquire(r.Context(), priority) != nil {
		return
	}
	defer e.release()
	e.mu.Lock()
	e.served[r.Header.Get("Sesame-Request-Id")]++
	e.mu.Unlock()
	if e.o.Faults.draw(FaultStall) {
		<-r.Context().Done()
		return
	}
	if !pause(r.Context(), e.prefill(p.Model, p.Text)) {
		return
	}
	if p.Stream {
		e.stream(w, r, p)
		return
	}
	e.sendWhole(w, r, p)
}

func (e *Engine) sendWhole(w http.ResponseWriter, r *http.Request, p *entry.Prompt) {
	n := int(p.MaxTokens)
	for range n {
		if !pause(r.Context(), e.tokenTime()) {
			return
		}
	}
	data := Whole(p.Model, p.Text, n, int(entry.EstimateTokens(p.Text)))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if e.o.Faults.draw(FaultDie) {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, p *entry.Prompt) {
	events := StreamEvents(p.Model, p.Text, int(p.MaxTokens))
	skip, _ := strconv.Atoi(r.Header.Get(enginehttp.HeaderResumeTokens))
	skip = min(max(skip, 0), len(events)-1)
	dieAt := -1
	if e.o.Faults.draw(FaultDie) {
		dieAt = skip + (len(events)-skip)/2
	}
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := skip; i < len(events); i++ {
		if !pause(r.Context(), e.tokenTime()) {
			return
		}
		if i == dieAt {
			panic(http.ErrAbortHandler)
		}
		if e.o.Faults.draw(FaultLate) {
			pause(r.Context(), 200*time.Millisecond)
		}
		if _, err := io.WriteString(w, events[i]); err != nil || rc.Flush() != nil {
			return
		}
		e.mu.Lock()
		e.tokens++
		e.mu.Unlock()
	}
	if e.o.Faults.draw(FaultTwice) {
		_, _ = io.WriteString(w, events[len(events)-2]+events[len(events)-1])
	}
}

// order executes an order. It rejects an outdated fencing number, unless the engine ignores
// fencing numbers.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o port.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := enginehttp.OrderReply{Checked: !e.o.IgnoresFence}
	if reply.Checked && o.Fence <= e.fence {
		reply.Error = "an order with fencing number " + strconv.FormatUint(e.fence, 10) + " was already executed"
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(reply)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	switch o.Action {
	case "load":
		e.loaded[o.Model] = true
	case "unload":
		delete(e.loaded, o.Model)
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// kv is an exported cache entry: the prefixes that it contains.
type kv struct {
	Prefixes []uint64 `json:"prefixes"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	p, err := strconv.ParseUint(mux.Vars(r)["prefix"], 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || !e.cache.has(p) {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(kv{[]uint64{p}})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var in kv
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.use(in.Prefixes)
	w.WriteHeader(http.StatusNoContent)
}

// Stats holds the counters of an engine.
type Stats struct {
	Served map[string]int `json:"served"`
	Tokens int64          `json:"tokens"`
	Orders []port.Order   `json:"orders"`
	Hits   int64          `json:"cache_hits"`
	Blocks int64          `json:"cache_blocks"`
	// TurnedAway is the number of requests answered with a demand for a pause.
	TurnedAway int64 `json:"turned_away"`
	// SaidLeaving is the number of answers that said that the engine leaves.
	SaidLeaving int64 `json:"said_leaving"`
}

func (e *Engine) stats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Stats{e.served, e.tokens, e.orders, e.cache.hits, e.cache.lookups, e.o.Faults.TurnedAway(), e.o.Faults.SaidLeaving()})
}

// Load returns the engine's part of an announcement.
func (e *Engine) Load(a *backendhttp.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Running, a.Queued = uint32(e.running), uint32(len(e.queue))
	a.Prefixes = e.cache.hottest(64)
	a.Models = a.Models[:0]
	for m := range e.loaded {
		a.Models = append(a.Models, m)
	}
	sort.Strings(a.Models)
}

// CacheChanges returns the changes of the cache since the previous call.
func (e *Engine) CacheChanges() (added, evicted []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.changes()
}
