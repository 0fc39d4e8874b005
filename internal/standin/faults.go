package standin

import (
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/adapter/enginehttp"
)

// Fault is a kind of fault that a stand-in can inject.
type Fault string

// Faults.
const (
	FaultRefuse Fault = "refuse" // answers that the request was not run
	FaultShed   Fault = "shed"   // the same, and asks for a pause
	FaultLeave  Fault = "leave"  // says in its answer that it leaves, and goes on serving
	FaultStall  Fault = "stall"  // accepts the request and sends nothing
	FaultDie    Fault = "die"    // closes the connection in the middle of the answer
	FaultLate   Fault = "late"   // delays events of a stream by 200 ms
	FaultTwice  Fault = "twice"  // repeats the last two events of a stream
	FaultLost   Fault = "lost"   // executes the request and closes the connection without an answer
)

// Faults draws faults from a seed, with a probability for each kind. A nil *Faults draws none.
type Faults struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	share map[Fault]float64
	// turnedAway counts the requests that were answered with a demand for a pause.
	turnedAway atomic.Int64
	// saidLeaving counts the answers that said that the server leaves.
	saidLeaving atomic.Int64
}

// ParseFaults reads a list such as "die=0.1,stall=0.02".
func ParseFaults(text string, seed int64) (*Faults, error) {
	f := &Faults{rnd: rand.New(rand.NewSource(seed))}
	return f, f.set(text)
}

func (f *Faults) set(text string) error {
	share := map[Fault]float64{}
	for _, item := range strings.Split(text, ",") {
		if item == "" {
			continue
		}
		name, value, _ := strings.Cut(item, "=")
		p, err := strconv.ParseFloat(value, 64)
		if err != nil || p < 0 || p > 1 {
			return fmt.Errorf("fault %q: want name=probability", item)
		}
		share[Fault(name)] = p
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = share
	return nil
}

// shedPause is the pause, in seconds, that a stand-in with FaultShed asks for.
const shedPause = "1.5"

// refuse answers that the request was not run, if a fault says so. It also begins the answers of a server that
// leaves.
func (f *Faults) refuse(w http.ResponseWriter) bool {
	if f.draw(FaultLeave) {
		w.Header().Set(enginehttp.HeaderLeaving, "1")
		f.saidLeaving.Add(1)
	}
	shed := f.draw(FaultShed)
	if !shed && !f.draw(FaultRefuse) {
		return false
	}
	if shed {
		w.Header().Set("Retry-After", shedPause)
		f.turnedAway.Add(1)
	}
	refuse(w)
	return true
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(enginehttp.HeaderOutcome, "not_run")
	http.Error(w, `{"error":"not started"}`, http.StatusServiceUnavailable)
}

// SaidLeaving returns the number of answers that said that the server leaves.
func (f *Faults) SaidLeaving() int64 {
	if f == nil {
		return 0
	}
	return f.saidLeaving.Load()
}

// TurnedAway returns the number of requests that were answered with a demand for a pause.
func (f *Faults) TurnedAway() int64 {
	if f == nil {
		return 0
	}
	return f.turnedAway.Load()
}

func (f *Faults) draw(name Fault) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.share[name]
	return p > 0 && f.rnd.Float64() < p
}

// mount adds the route by which tests change the faults at run time.
func (f *Faults) mount(r *mux.Router) {
	if f == nil {
		return
	}
	r.HandleFunc("/admin/faults", func(w http.ResponseWriter, req *http.Request) {
		if err := f.set(req.URL.Query().Get("set")); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}).Methods(http.MethodPost)
}
