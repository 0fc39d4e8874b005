package bed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in for a backend server. It announces itself every heartbeat and runs requests.
type Server struct {
	ID, Service, Address string
	Zone                 Zone
	// Answer answers a request that the server runs; nil for Whole.
	Answer func(s *Server, w http.ResponseWriter, r *http.Request, body []byte)

	b       *Bed
	srv     *http.Server
	cancel  context.CancelFunc
	state   atomic.Value // string
	next    atomic.Value // string: address for the next check-in
	running atomic.Int64
	slots   int
	done    chan struct{} // closed when the bed is closed
	power   *powerListener
	now     atomic.Pointer[Incarnation]

	mu   sync.Mutex
	runs []Execution
}

// Incarnation is one process of a server. A server may start again under the ID that it had.
type Incarnation struct {
	Version string
	Born    time.Time
	// ColdFor is how long it is cold from its start on.
	ColdFor time.Duration
	// heard is when the first of its check-ins arrives: a check-in may arrive seconds late.
	heard time.Time
	seq   atomic.Uint64
	dark  chan struct{} // closed when its machine has lost power
}

// Dark reports whether the machine of the process has no power.
func (p *Incarnation) Dark() bool {
	select {
	case <-p.dark:
		return true
	default:
		return false
	}
}

// Gone returns a channel that is closed when the machine of the process loses power.
func (p *Incarnation) Gone() <-chan struct{} { return p.dark }

func (p *Incarnation) coldLeft() time.Duration { return max(0, time.Until(p.Born.Add(p.ColdFor))) }

// Now returns the process that runs, or ran last.
func (s *Server) Now() *Incarnation { return s.now.Load() }

// GoDark takes the power from the server's machine: nothing comes from it any more, its channels stay open, and
// opening packets get no answer.
func (s *Server) GoDark() {
	s.b.Record("server %s loses power", s.ID)
	close(s.Now().dark)
	s.power.powerOff()
}

// ComeBack starts another process under the server's ID. Its check-ins arrive from lateBy on.
func (s *Server) ComeBack(version string, coldFor, lateBy time.Duration) {
	now := time.Now()
	s.b.Record("server %s is back as version %s; its check-ins arrive from %s on", s.ID, version, lateBy)
	s.now.Store(&Incarnation{Version: version, Born: now, ColdFor: coldFor, heard: now.Add(lateBy), dark: make(chan struct{})})
	s.power.powerOn()
}

// Hang leaves a request without an answer until the bed is closed or its caller leaves.
func (s *Server) Hang(r *http.Request) {
	select {
	case <-s.done:
	case <-r.Context().Done():
	}
}

// connKey is the context key of a channel's state.
type connKey struct{}

// channel is the state of a channel to a server.
type channel struct {
	carried atomic.Int64 // requests
	process *Incarnation // that accepted it
}

// CarriedBefore returns the number of requests that the channel of a request had carried before it.
func CarriedBefore(r *http.Request) int64 {
	c, ok := r.Context().Value(connKey{}).(*channel)
	if !ok {
		return 0
	}
	return c.carried.Load() - 1
}

// Execution is one start of work on a request.
type Execution struct {
	RequestID, Server, Zone string
	At                      time.Time
	Process                 *Incarnation
}

// NewServer starts a server, whose number counts within its zone from 1.
func (b *Bed) NewServer(service string, zone, number, slots int) (*Server, error) {
	s := &Server{
		ID: fmt.Sprintf("i-%s-%d-%d", service, zone, number), Service: service, Zone: b.Zones[zone-1], slots: slots,
		Address: net.JoinHostPort(b.IP(zone, serverHostNumber+number), serverPort), b: b, done: make(chan struct{}),
	}
	s.now.Store(&Incarnation{Version: "v1", Born: b.began, dark: make(chan struct{})})
	s.state.Store("ready")
	s.next.Store("")
	ln, err := listen(s.Address)
	if err != nil {
		return nil, err
	}
	s.power = ln
	s.srv = &http.Server{
		Handler: s, ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &channel{process: s.Now()})
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	b.AtEnd(func() { cancel(); close(s.done); _ = s.srv.Close() })
	go func() { _ = s.srv.Serve(ln) }()
	go s.announce(ctx)
	return s, nil
}

// announce sends check-ins: to the address that the last response named, or else to any control host.
func (s *Server) announce(ctx context.Context) {
	t := time.NewTicker(HeartbeatMS * time.Millisecond)
	defer t.Stop()
	for {
		if p := s.Now(); !p.Dark() && time.Now().After(p.heard) {
			s.checkIn(ctx, p)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) checkIn(ctx context.Context, p *Incarnation) {
	body, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone.Name, "version": p.Version, "slots": s.slots, "state": s.state.Load(),
		"cold_left_ms": p.coldLeft().Milliseconds(), "seq": p.seq.Add(1), "born": p.Born.UnixMilli(),
	})
	var addrs []string
	if a := s.next.Load().(string); a != "" {
		addrs = append(addrs, a)
	}
	for _, c := range s.b.Controls {
		addrs = append(addrs, c.Control())
	}
	for _, a := range addrs {
		status, answer, err := Call(ctx, http.MethodPut, a, Wire.CheckInPath+s.ID, body)
		if err == nil && status/100 == 2 {
			var m map[string]any
			_ = json.Unmarshal(answer, &m)
			next, _ := m[Wire.NextAddress].(string)
			s.next.Store(next)
			return
		}
	}
	s.next.Store("")
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := s.Now()
	if c, ok := r.Context().Value(connKey{}).(*channel); ok {
		c.carried.Add(1)
		if c.process != p {
			reset(w) // the machine knows nothing of a channel to the process before
			return
		}
	}
	load := fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots)
	if p.Dark() {
		s.Hang(r)
		return
	}
	if r.URL.Path == "/healthz" {
		if left := p.coldLeft(); left > 0 {
			w.Header().Set(Wire.ColdLeft, fmt.Sprint(left.Milliseconds()))
		}
		w.Header().Set("X-Instance", s.ID)
		w.Header().Set("X-Server-Load", load)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(Wire.RequestID)
	w.Header().Set(Wire.RequestID, id)
	w.Header().Set("X-Server-Load", load)
	if want := r.Header.Get(Wire.ExpectInstance); want != "" && want != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		w.Header().Set(Wire.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.mu.Lock()
	s.runs = append(s.runs, Execution{id, s.ID, s.Zone.Name, time.Now(), p})
	s.mu.Unlock()
	s.b.Record("server %s in %s runs %s", s.ID, s.Zone.Name, id)
	if s.Answer != nil {
		s.Answer(s, w, r, body)
		return
	}
	Whole(s, w, id)
}

// reset resets the channel of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}

// Whole answers a request with a whole, signed body.
func Whole(s *Server, w http.ResponseWriter, id string) {
	body := bytes.Repeat([]byte(s.ID+" "+id+"\n"), 10)
	w.Header().Set(Wire.Stamp, s.ID+"."+id)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}

// Runs returns what the server has run.
func (s *Server) Runs() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.runs...)
}
