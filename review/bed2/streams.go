package bed2

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Streams is a route of streams with its clients. The versions of the servers that write events stand in the events.
type Streams struct {
	LatencyTarget, GapTarget, TimeBudget, EventGap time.Duration
	Events                                         int
	Record                                         *Record
	// Prompt, if set, is the shared part of all prompts, ID:TOKENS; each prompt has a part of its own besides.
	Prompt string
	// Tries is the number of attempts of a client; 0 for maxAttempts.
	Tries int
}

const (
	streamHost = "plan.example"
	streamPath = "/plan/"
)

// Route returns the route to a service.
func (s *Streams) Route(service string) Route {
	return Route{
		Name: "plan", Host: streamHost, PathPrefix: streamPath, Kind: "stream", TimeoutMS: int(s.TimeBudget.Milliseconds()),
		LatencyTargetMS: int(s.LatencyTarget.Milliseconds()), GapTargetMS: int(s.GapTarget.Milliseconds()), Service: service, Attempts: 2, Resumable: true, Sticky: s.Prompt != "",
	}
}

// patience is the gap after which a client abandons a stream: two seconds, four times the objective or eight times the
// pause, whichever is longest.
func (s *Streams) patience() time.Duration {
	return max(2*time.Second, 4*s.LatencyTarget, 8*s.GapTarget)
}

// Serve does what a server does with a request: it writes the events after the last one that the client has.
func (s *Streams) Serve(p *Process, c net.Conn, r *Request) bool {
	last, _ := strconv.Atoi(r.Header.Get(Wire("last-event")))
	s.Record.Add("%s %s runs %s after event %d", p.ID, p.Version, r.ID(), last)
	if _, err := c.Write(Head(http.StatusOK, r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")); err != nil {
		return false
	}
	for n := last + 1; n <= s.Events; n++ {
		if p.Dark() || WriteChunk(c, fmt.Sprintf("id: %d\ndata: %s\n\n", n, p.Version)) != nil {
			return false
		}
		time.Sleep(s.EventGap)
	}
	return !p.Dark() && WriteChunk(c, "") == nil
}

// Client reads one stream, and takes it up again when it breaks off or has paused for too long.
type Client struct {
	name     string
	addrs    []string // of entry hosts, the last of which serves the attempts after the first
	s        *Streams
	began    string   // ID of the attempt that brought the first event
	last     int      // ID of the last event
	versions []string // of the events, without repetitions in a row
	ended    bool
	takenUp  int // ID of the last event when the stream was first taken up; 0 if it was not
}

// Began reports whether the stream brought an event.
func (c *Client) Began() bool { return c.last > 0 }

// Version returns the version that wrote the first event; "" for none.
func (c *Client) Version() string {
	if len(c.versions) == 0 {
		return ""
	}
	return c.versions[0]
}

// TakenUp reports whether the client took its stream up again, and whether that brought an event.
func (c *Client) TakenUp() (tried, wentOn bool) {
	return c.takenUp > 0, c.takenUp > 0 && c.last > c.takenUp
}

// Begin starts a number of clients one after the other, and returns a function that waits until all have ended.
// The first attempt goes to the first address, and the others to the last one.
func (s *Streams) Begin(number int, gap time.Duration, addrs ...string) (wait func() []*Client) {
	var wg sync.WaitGroup
	clients := make([]*Client, number)
	for i := range clients {
		clients[i] = &Client{name: fmt.Sprintf("client %d", i+1), addrs: addrs, s: s}
		wg.Go(clients[i].run)
		time.Sleep(gap)
	}
	return func() []*Client {
		wg.Wait()
		return clients
	}
}

// Sizes of a prompt with a shared part of 6,300 tokens, as on the sheets.
const (
	promptTokens = "6400,200"
	ownTokens    = "100"
)

const (
	// maxAttempts bounds the attempts of a client.
	maxAttempts = 4
	// refusedPause is at least what the answers name in Retry-After.
	refusedPause = 500 * time.Millisecond
)

func (c *Client) run() {
	tries := c.s.Tries
	if tries == 0 {
		tries = maxAttempts
	}
	for i := range tries {
		refused := c.attempt(c.addrs[min(i, len(c.addrs)-1)])
		if c.ended {
			return
		}
		if refused {
			time.Sleep(refusedPause)
		}
	}
}

// attempt sends one attempt and reads its answer. It reports whether the attempt was refused.
func (c *Client) attempt(addr string) (refused bool) {
	a := &Attempt{ID: NewID(), Method: http.MethodPost, Target: streamPath + "x", Host: streamHost, Deadline: c.s.TimeBudget, Body: c.name}
	if c.s.Prompt != "" {
		a.Lines = []string{Wire("model") + ": m", Wire("tokens") + ": " + promptTokens, Wire("prompt") + ": " + c.s.Prompt + "," + a.ID + ":" + ownTokens}
	}
	if c.last > 0 {
		if c.takenUp == 0 {
			c.takenUp = c.last
		}
		a.Lines = append(a.Lines, fmt.Sprintf("%s: %d", Wire("last-event"), c.last), Wire("resumes")+": "+c.began)
	}
	rec := c.s.Record
	rec.Add("%s sends %s after event %d", c.name, a.ID, c.last)
	resp, conn, err := a.Send(addr)
	if err != nil {
		rec.Add("%s: no answer to %s: %s", c.name, a.ID, err)
		return true
	}
	defer func() { _ = conn.Close() }()
	if resp.StatusCode != http.StatusOK {
		rec.Add("%s: %s is answered with %d", c.name, a.ID, resp.StatusCode)
		return true
	}
	err = c.read(a, conn, bufio.NewReader(resp.Body))
	rec.Add("%s leaves %s after event %d: %v", c.name, a.ID, c.last, err)
	return false
}

// read reads events until the stream ends or nothing has come for as long as the client waits.
func (c *Client) read(a *Attempt, conn net.Conn, r *bufio.Reader) error {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(c.s.patience()))
		line, err := r.ReadString('\n')
		if err != nil {
			c.ended = c.last == c.s.Events
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

// allowedMixed is the number of streams with events of two versions that the rule allows.
const allowedMixed = 2

// Judge counts the streams with events of two versions beyond those that the rule allows.
func (s *Streams) Judge(clients []*Client) (int, error) {
	mixed, began := 0, 0
	for _, c := range clients {
		s.Record.Add("%s has %d events, of %s; ended: %v", c.name, c.last, strings.Join(c.versions, " then "), c.ended)
		if len(c.versions) > 0 {
			began++
		}
		if len(c.versions) > 1 {
			mixed++
		}
	}
	if began < len(clients)/2 {
		return 0, fmt.Errorf("only %d of %d streams began", began, len(clients))
	}
	s.Record.Add("%d streams hold events of two versions; the rule allows %d", mixed, allowedMixed)
	return max(0, mixed-allowedMixed), nil
}
