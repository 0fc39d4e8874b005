// Command double-slash is a case on request targets: clients send orders whose path begins with two slashes, on a route
// with the prefix "/". The server notes the request line as it came.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/review/bed2"
)

const (
	requests   = 20
	timeBudget = 5 * time.Second
	service    = "storefront"
)

func main() { bed2.Main(run) }

// server notes the target that each request had when it ran.
type server struct {
	rec  *bed2.Record
	mu   sync.Mutex
	runs map[string]string // by ID
}

func (s *server) serve(_ *bed2.Process, c net.Conn, r *bed2.Request) bool {
	s.rec.Add("the server runs %s: %s %s", r.ID(), r.Method, r.URI)
	s.mu.Lock()
	s.runs[r.ID()] = r.Method + " " + r.URI
	s.mu.Unlock()
	_, err := c.Write(append(bed2.Head(http.StatusOK, r, "Content-Length: 5"), "taken"...))
	return err == nil
}

func run(rec *bed2.Record) (int, error) {
	f, err := bed2.NewFleet(1)
	if err != nil {
		return 0, err
	}
	defer f.Stop()
	s := &server{rec: rec, runs: map[string]string{}}
	p := &bed2.Process{ID: "server-1", Service: service, Address: f.NewAddress(0), Version: "v1", Slots: 6, Serve: s.serve}
	if err := f.Start(p); err != nil {
		return 0, err
	}
	err = f.Configure(bed2.NewConfig(service, bed2.Route{
		Name: "orders", Host: "shop.example", PathPrefix: "/", Kind: "non_idempotent", TimeoutMS: 3000, LatencyTargetMS: 400, Service: service, Attempts: 1,
	}))
	if err != nil {
		return 0, err
	}
	if err := p.CheckIn(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // until the entry hosts know the server
	changed, ran := 0, 0
	for i := range requests {
		target := fmt.Sprintf("/orders/%d?q=1", i)
		if bed2.Trouble() {
			target = "/" + target
		}
		a := &bed2.Attempt{ID: bed2.NewID(), Method: http.MethodPost, Target: target, Host: "shop.example", Deadline: timeBudget, Body: "one coupler"}
		rec.Add("a client sends %s: %s %s", a.ID, a.Method, a.Target)
		resp, conn, err := a.Send(f.Entries[0].Front())
		if err != nil {
			rec.Add("no answer to %s: %s", a.ID, err)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		_ = conn.Close()
		rec.Add("%s is answered with %d %q", a.ID, resp.StatusCode, body)
		s.mu.Lock()
		got, ok := s.runs[a.ID]
		s.mu.Unlock()
		if ok {
			ran++
		}
		if ok && got != a.Method+" "+a.Target {
			changed++
		}
	}
	rec.Add("%d of %d requests ran, %d with another path than the client's", ran, requests, changed)
	if ran == 0 && !bed2.Trouble() {
		return 0, fmt.Errorf("no request ran")
	}
	return changed, nil
}
