// Package answertime keeps how long the answers of each route took on an entry host, so that a host that stops can tell
// which requests will be answered before its end. It does no I/O and reads no clock.
package answertime

import (
	"container/list"
	"time"
)

const (
	// minAnswers is the number of answers from which on a route's times are known.
	minAnswers = 10
	// window is the number of a route's last answers that count.
	window = 64
	// unusualFactor and unusualTime say when a request in flight shows that answers take longer than the known ones:
	// it has taken so many times the longest one, and so much longer.
	unusualFactor = 2
	unusualTime   = 250 * time.Millisecond
)

// Table holds the times of all routes. It is not safe for concurrent use.
type Table struct{ routes map[string]*route }

type route struct {
	last     []time.Duration // of the last answers, at most window
	next     int             // index in last of the next one
	inFlight list.List       // times at which requests began, oldest first
}

// NewTable returns a Table without answers.
func NewTable() *Table { return &Table{routes: map[string]*route{}} }

// Request is a request in flight.
type Request struct {
	route *route
	e     *list.Element
	began time.Time
}

// Begin records that a request of a route began.
func (t *Table) Begin(name string, now time.Time) *Request {
	r := t.routes[name]
	if r == nil {
		r = &route{}
		t.routes[name] = r
	}
	return &Request{r, r.inFlight.PushBack(now), now}
}

// End records that the request ended, and whether it was answered.
func (q *Request) End(answered bool, now time.Time) {
	r := q.route
	r.inFlight.Remove(q.e)
	if !answered {
		return
	}
	if len(r.last) < window {
		r.last = append(r.last, now.Sub(q.began))
		return
	}
	r.last[r.next] = now.Sub(q.began)
	r.next = (r.next + 1) % window
}

// Longest returns the longest time of a route's last answers. It is not known with fewer than minAnswers, nor while a
// request in flight has taken unusually long.
func (t *Table) Longest(name string, now time.Time) (longest time.Duration, known bool) {
	r := t.routes[name]
	if r == nil || len(r.last) < minAnswers {
		return 0, false
	}
	for _, d := range r.last {
		longest = max(longest, d)
	}
	if e := r.inFlight.Front(); e != nil {
		began, _ := e.Value.(time.Time)
		if running := now.Sub(began); running > unusualFactor*longest && running > longest+unusualTime {
			return 0, false
		}
	}
	return longest, true
}

// Keep forgets the routes of which kept returns false and that have no request in flight.
func (t *Table) Keep(kept func(name string) bool) {
	for name, r := range t.routes {
		if !kept(name) && r.inFlight.Len() == 0 {
			delete(t.routes, name)
		}
	}
}
