package bed2

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request as it came on a server's socket.
type Request struct {
	Method, URI string
	Header      http.Header
	Body        []byte
}

// ID returns the client's ID of the request.
func (r *Request) ID() string { return r.Header.Get(Wire("id")) }

// Process is one process of a backend server.
type Process struct {
	ID, Service, Address, Version string
	Slots                         int
	// Serve answers a request that names this process, and reports whether the connection is kept.
	Serve func(*Process, net.Conn, *Request) bool

	zone    int // index of its failure domain
	fleet   *Fleet
	host    *Host // control host that gets the check-ins
	born    int64
	seq     int
	ln      net.Listener
	dark    atomic.Bool
	done    chan struct{}
	endOnce sync.Once
	mu      sync.Mutex
	conns   map[net.Conn]bool
}

// NewAddress returns an address for a server in the failure domain of a control host.
func (f *Fleet) NewAddress(zone int) string {
	f.servers++
	return fmt.Sprintf("127.%d.%d.%d:9000", f.net, zone+1, 100+int(f.servers))
}

// Start starts a process that accepts connections. CheckIn must follow.
func (f *Fleet) Start(p *Process) error {
	ln, err := net.Listen("tcp", p.Address)
	if err != nil {
		return err
	}
	p.fleet, p.host, p.ln, p.born, p.done = f, f.Controls[p.zone], ln, time.Now().UnixMilli(), make(chan struct{})
	p.conns = map[net.Conn]bool{}
	go p.accept()
	return nil
}

// settleTime is the time in which the entry hosts learn of servers that have checked in.
const settleTime = 3 * time.Second

// enginesIn are the numbers of engines in the failure domains, as on the sheet of Railhalt.
var enginesIn = [zones]int{6, 4, 2}

const engineSlots = 128 // as on the sheet

// Engines returns Railhalt's engines. The first failure domain has the given versions, and the others have the last one.
func (f *Fleet) Engines(service string, serve func(*Process, net.Conn, *Request) bool, versions [6]string) (list []*Process) {
	for zone, number := range enginesIn {
		for i := range number {
			version := versions[len(versions)-1]
			if zone == 0 {
				version = versions[i]
			}
			list = append(list, &Process{
				ID: fmt.Sprintf("engine-%d-%d", zone+1, i+1), Service: service, Address: f.NewAddress(zone), Version: version, Slots: engineSlots, Serve: serve, zone: zone,
			})
		}
	}
	return list
}

// StartService starts processes and configures one route to their service. The entry hosts know them when it returns.
func (f *Fleet) StartService(route Route, processes []*Process) error {
	for _, p := range processes {
		if err := f.Start(p); err != nil {
			return err
		}
	}
	config := NewConfig(route.Service, route)
	if route.Sticky {
		config.Services[0].Engine = &RailhaltEngine
	}
	if err := f.Configure(config); err != nil {
		return err
	}
	for _, p := range processes {
		if err := p.CheckIn(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// CheckIn sends check-ins from now on. It returns after the first one that is acknowledged.
func (p *Process) CheckIn() error {
	var err error
	for range 20 {
		if err = p.announce(); err == nil {
			go p.announceOften()
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

func (p *Process) announceOften() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-t.C:
			_ = p.announce() // the next one follows
		}
	}
}

func (p *Process) announce() error {
	p.seq++
	return p.send(p.ID, p.seq, p.born)
}

// Predecessor sends the first check-in of a process that had another ID and ran at the same address until some time
// before this one started. A cut has delayed it until now.
func (p *Process) Predecessor(id string, before time.Duration) error {
	return p.send(id, 1, p.born-before.Milliseconds())
}

func (p *Process) send(id string, seq int, born int64) error {
	body, err := json.Marshal(map[string]any{
		"service": p.Service, "address": p.Address, "zone": p.host.Zone, "version": p.Version, "slots": p.Slots, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": born,
	})
	if err != nil {
		return err
	}
	status, err := p.fleet.call(http.MethodPut, p.host.IP+operatorPort, Wire("announce")+id, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("check-in answered with %d", status)
	}
	return err
}

// LosePower makes the process fall silent: it sends nothing any more, accepts nothing, and ends no connection.
func (p *Process) LosePower() {
	p.dark.Store(true)
	p.end()
}

// Crash ends the process with all its connections, as the operating system does.
func (p *Process) Crash() {
	p.LosePower()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// Successor returns a process that may be started under the same ID and address, with another version.
func (p *Process) Successor(version string) *Process {
	return &Process{ID: p.ID, Service: p.Service, Address: p.Address, Version: version, Slots: p.Slots, Serve: p.Serve, zone: p.zone}
}

func (p *Process) end() {
	p.endOnce.Do(func() {
		close(p.done)
		_ = p.ln.Close()
	})
}

// Dark reports whether the process has lost power.
func (p *Process) Dark() bool { return p.dark.Load() }

// Connections returns the number of connections to the process.
func (p *Process) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *Process) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go func() {
			p.serve(c)
			p.mu.Lock()
			defer p.mu.Unlock()
			if !p.Dark() {
				delete(p.conns, c)
			}
		}()
	}
}

func (p *Process) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := readRequest(br)
		if p.Dark() {
			return // silent: the connection stays open
		}
		if err != nil {
			_ = c.Close()
			return
		}
		if want := r.Header.Get(Wire("instance")); want != "" && want != p.ID {
			_, _ = c.Write(Head(http.StatusMisdirectedRequest, r, Wire("not-run")+": 1", "Content-Length: 0"))
			continue
		}
		if !p.Serve(p, c, r) {
			if !p.Dark() {
				_ = c.Close()
			}
			return
		}
	}
}

// readRequest reads a request with its body, which has a length.
func readRequest(br *bufio.Reader) (*Request, error) {
	line, err := br.ReadString('\n')
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	uri, _, _ := strings.Cut(rest, " ")
	r := &Request{Method: method, URI: uri, Header: http.Header{}}
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		name, value, ok := strings.Cut(strings.TrimSpace(line), ":")
		if !ok {
			break
		}
		r.Header.Add(name, strings.TrimSpace(value))
	}
	if r.Header.Get("Transfer-Encoding") != "" {
		return nil, errors.New("the stand-in reads bodies with a length only")
	}
	n, _ := strconv.Atoi(r.Header.Get("Content-Length"))
	r.Body = make([]byte, n)
	_, err = io.ReadFull(br, r.Body)
	return r, err
}

// Head returns the head of an answer with the server's signature and further header lines.
func Head(status int, r *Request, lines ...string) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: signed\r\n", status, http.StatusText(status), Wire("id"), r.ID(), Wire("stamp"))
	return []byte(head + strings.Join(lines, "\r\n") + "\r\n\r\n")
}

// WriteChunk writes one chunk of a body; an empty one ends it.
func WriteChunk(c net.Conn, text string) error {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err
}
