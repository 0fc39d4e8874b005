// Command silent-successor is a case on streams of two software versions. A model server loses power while it writes
// streams, starts again under its ID with the next version, and its first check-in comes late. Clients that have waited
// for as long as the pages say take their streams up again.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/review/bed2"
)

// The route's targets are those of "consist-plan" on the sheet of Siam Rail Freight.
const (
	latencyTarget = 800 * time.Millisecond
	gapTarget     = 400 * time.Millisecond
	timeBudget    = 15 * time.Second
)

// patience is the gap after which a client abandons a stream: two seconds, four times the objective or eight times the
// pause, whichever is longest.
const patience = max(2*time.Second, 4*latencyTarget, 8*gapTarget)

const (
	clients   = 24
	events    = 40
	eventGap  = 250 * time.Millisecond
	startGap  = 40 * time.Millisecond // between two clients
	darkFor   = 2 * time.Second       // from the loss of power until the server runs again
	lateBy    = 2 * time.Second       // of its first check-in
	allowed   = 2                     // streams with events of two versions that the rule allows
	service   = "engines"
	oldServer = "server-1"
	oldest    = "v1"
	newest    = "v2"
)

func main() { bed2.Main(run) }

func run(rec *bed2.Record) (int, error) {
	f, err := bed2.NewFleet(1)
	if err != nil {
		return 0, err
	}
	defer f.Stop()
	first := &bed2.Process{ID: oldServer, Service: service, Address: f.NewAddress(0), Version: oldest, Slots: 128, Serve: stream(rec)}
	second := &bed2.Process{ID: "server-2", Service: service, Address: f.NewAddress(0), Version: newest, Slots: 128, Serve: stream(rec)}
	for _, p := range []*bed2.Process{first, second} {
		if err := f.Start(0, p); err != nil {
			return 0, err
		}
	}
	err = f.Configure(bed2.NewConfig(service, bed2.Route{
		Name: "plan", Host: "plan.example", PathPrefix: "/plan/", Kind: "stream", TimeoutMS: int(timeBudget.Milliseconds()),
		LatencyTargetMS: int(latencyTarget.Milliseconds()), GapTargetMS: int(gapTarget.Milliseconds()), Service: service, Attempts: 2, Resumable: true,
	}))
	if err != nil {
		return 0, err
	}
	for _, p := range []*bed2.Process{first, second} {
		if err := p.CheckIn(); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second) // until the entry hosts know both servers
	var wg sync.WaitGroup
	results := make([]*client, clients)
	for i := range results {
		results[i] = &client{name: fmt.Sprintf("client %d", i+1), addr: f.Entries[0].Front(), rec: rec}
		wg.Go(results[i].run)
		time.Sleep(startGap)
	}
	time.Sleep(2 * time.Second)
	if bed2.Trouble() {
		if err := restart(rec, f, first); err != nil {
			return 0, err
		}
	}
	wg.Wait()
	return judge(rec, results)
}

// restart lets the server lose power and start again, with the next version under the same ID and address.
func restart(rec *bed2.Record, f *bed2.Fleet, first *bed2.Process) error {
	first.LosePower()
	rec.Add("%s %s loses power", oldServer, oldest)
	time.Sleep(darkFor)
	next := &bed2.Process{ID: oldServer, Service: service, Address: first.Address, Version: newest, Slots: first.Slots, Serve: first.Serve}
	if err := f.Start(0, next); err != nil {
		return err
	}
	rec.Add("%s runs again, with %s", oldServer, newest)
	time.Sleep(lateBy)
	rec.Add("%s sends its first check-in", oldServer)
	return next.CheckIn()
}

// stream returns what a server does with a request: it writes the events after the last one that the client has.
func stream(rec *bed2.Record) func(*bed2.Process, net.Conn, *bed2.Request) bool {
	return func(p *bed2.Process, c net.Conn, r *bed2.Request) bool {
		last, _ := strconv.Atoi(r.Header.Get(bed2.Wire("last-event")))
		rec.Add("%s %s runs %s after event %d", p.ID, p.Version, r.ID(), last)
		if _, err := c.Write(bed2.Head(http.StatusOK, r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")); err != nil {
			return false
		}
		for n := last + 1; n <= events; n++ {
			if p.Dark() || bed2.WriteChunk(c, fmt.Sprintf("id: %d\ndata: %s\n\n", n, p.Version)) != nil {
				return false
			}
			time.Sleep(eventGap)
		}
		return !p.Dark() && bed2.WriteChunk(c, "") == nil
	}
}

// client reads one stream, and takes it up again when it has waited for too long.
type client struct {
	name, addr string
	rec        *bed2.Record
	began      string   // ID of the attempt that brought the first event
	last       int      // ID of the last event
	versions   []string // of the events, without repetitions in a row
	ended      bool
}

// maxAttempts bounds the attempts of a client.
const maxAttempts = 4

func (c *client) run() {
	for range maxAttempts {
		refused := c.attempt()
		if c.ended {
			return
		}
		if refused {
			time.Sleep(refusedPause)
		}
	}
}

// refusedPause is at least what the answers name in Retry-After.
const refusedPause = 500 * time.Millisecond

// attempt sends one attempt and reads its answer. It reports whether the attempt was refused.
func (c *client) attempt() (refused bool) {
	a := &bed2.Attempt{ID: bed2.NewID(), Method: http.MethodPost, Target: "/plan/x", Host: "plan.example", Deadline: timeBudget, Body: c.name}
	if c.last > 0 {
		a.Lines = []string{fmt.Sprintf("%s: %d", bed2.Wire("last-event"), c.last), bed2.Wire("resumes") + ": " + c.began}
	}
	c.rec.Add("%s sends %s after event %d", c.name, a.ID, c.last)
	resp, conn, err := a.Send(c.addr)
	if err != nil {
		c.rec.Add("%s: no answer to %s: %s", c.name, a.ID, err)
		return true
	}
	defer func() { _ = conn.Close() }()
	if resp.StatusCode != http.StatusOK {
		c.rec.Add("%s: %s is answered with %d", c.name, a.ID, resp.StatusCode)
		return true
	}
	err = c.read(a, conn, bufio.NewReader(resp.Body))
	c.rec.Add("%s leaves %s after event %d: %v", c.name, a.ID, c.last, err)
	return false
}

// read reads events until the stream ends or nothing has come for as long as the client waits.
func (c *client) read(a *bed2.Attempt, conn net.Conn, r *bufio.Reader) error {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		line, err := r.ReadString('\n')
		if err != nil {
			c.ended = c.last == events
			return err
		}
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			c.last, _ = strconv.Atoi(id)
			if c.began == "" {
				c.began = a.ID
			}
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok && (len(c.versions) == 0 || c.versions[len(c.versions)-1] != v) {
			c.versions = append(c.versions, v)
		}
	}
}

// judge counts the streams with events of two versions beyond those that the rule allows.
func judge(rec *bed2.Record, results []*client) (int, error) {
	mixed, began := 0, 0
	for _, c := range results {
		rec.Add("%s has %d events, of %s; ended: %v", c.name, c.last, strings.Join(c.versions, " then "), c.ended)
		if len(c.versions) > 0 {
			began++
		}
		if len(c.versions) > 1 {
			mixed++
		}
	}
	if began < clients/2 {
		return 0, fmt.Errorf("only %d of %d streams began", began, clients)
	}
	rec.Add("%d streams hold events of two versions; the rule allows %d", mixed, allowed)
	return max(0, mixed-allowed), nil
}
