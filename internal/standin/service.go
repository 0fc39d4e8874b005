package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/adapter/backendhttp"
)

// ServiceOptions configures a Service.
type ServiceOptions struct {
	ID     string
	Names  []string // services that it provides
	Slots  int
	Work   time.Duration // processing time of one call
	Faults *Faults
}

// Service simulates a plain service. Each request other than GET and HEAD is an execution that
// must not be repeated. Service counts the executions by the reference of the work.
type Service struct {
	o       ServiceOptions
	mu      sync.Mutex
	running int
	done    map[string]int // executions by reference
	total   int
}

// NewService returns an idle service.
func NewService(o ServiceOptions) *Service {
	return &Service{o: o, done: map[string]int{}}
}

// Mount adds the service's routes.
func (s *Service) Mount(r *mux.Router) {
	r.HandleFunc("/admin/executions", s.executions).Methods(http.MethodGet)
	s.o.Faults.mount(r)
	r.PathPrefix("/").HandlerFunc(s.serve)
}

// Work is the body of a request to a service.
type Work struct {
	// Reference identifies the work. Executions are counted per reference.
	Reference string `json:"reference"`
}

// Receipt is a service's answer.
type Receipt struct {
	Server    string `json:"server"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Reference string `json:"reference"`
	Execution int    `json:"execution"` // number of executions of this reference on this server, including this one
	Number    int    `json:"number"`    // sequence number of this execution on this server
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.o.Faults.refuse(w) {
		return
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	var work Work
	_ = json.Unmarshal(body, &work)
	receipt := s.execute(r, work)
	if s.o.Faults.draw(FaultStall) {
		<-r.Context().Done()
		return
	}
	time.Sleep(s.o.Work)
	if s.o.Faults.draw(FaultLost) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(receipt)
}

func (s *Service) addRunning(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
}

func (s *Service) execute(r *http.Request, work Work) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Receipt{Server: s.o.ID, Method: r.Method, Path: r.URL.Path, Reference: work.Reference}
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return out
	}
	s.total++
	s.done[work.Reference]++
	out.Execution, out.Number = s.done[work.Reference], s.total
	return out
}

func (s *Service) executions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.done)
}

// Load returns the service's part of an announcement.
func (s *Service) Load(a *backendhttp.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Running = uint32(s.running)
}
