// Unnamed-bytes shows what becomes of a request that must run once at most if its server has sent additional bytes
// after its last answer on the channel: bytes of a response that bears no request ID.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamefork/sesamefork/review/bed"
)

// Traffic and dose of the case.
const (
	requests     = 600
	betweenSends = 25 * time.Millisecond
	// everyAnswer is the number of answers of the faulty server of which one is followed by additional bytes: 1 in 40,
	// under the site's 0.03.
	everyAnswer = 40
	// The fault lasts for faultFor, as in the site file, from faultAt after the server's first answer on.
	faultAt  = 3 * time.Second
	faultFor = 5 * time.Second
)

// extraBytes are a response without a request ID, as servers send it to a request without one.
var extraBytes = "HTTP/1.1 400 Bad Request\r\n" + bed.Wire.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

func main() { bed.Run(run) }

func run() (broken bool, err error) {
	zones := []bed.Zone{{Name: "za", Region: "ra"}, {Name: "zb", Region: "rb"}, {Name: "zc", Region: "rc"}}
	b, err := bed.New(zones, 1)
	if err != nil {
		return false, err
	}
	defer b.Close()
	var servers []*bed.Server
	for i := range zones {
		for k := range 2 {
			s, err := b.NewServer(bed.Service, i+1, k+1, 6)
			if err != nil {
				return false, err
			}
			servers = append(servers, s)
		}
	}
	if bed.Trouble() {
		servers[0].Answer = faulty(b)
	}
	if err := b.Start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if _, err := b.Order(http.MethodPut, "/v1/config", bed.Config(1, 1, 3000), b.Controls...); err != nil {
		return false, err
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(bed.StabilityWindow)
	var sent sync.WaitGroup
	var refused atomic.Int64
	statuses := make([]int, requests)
	for n := range requests {
		sent.Go(func() {
			a := b.Request(b.Entries[0], http.MethodPost, "/order/item", requestID(n), 3*time.Second, []byte("one crate of couplings"))
			statuses[n] = a.Status
			if a.Status == http.StatusServiceUnavailable {
				refused.Add(1)
			}
		})
		time.Sleep(betweenSends)
	}
	sent.Wait()
	return judge(b, servers, statuses), nil
}

func requestID(n int) string { return fmt.Sprintf("%016x", 0x2c41d07be2a30000+n) }

// faulty answers whole, and follows one of everyAnswer answers by additional bytes, which arrive late: at the point
// where the next response on the channel is expected.
func faulty(b *bed.Bed) func(*bed.Server, http.ResponseWriter, *http.Request, []byte) {
	var answers, due atomic.Int64
	began := sync.OnceValue(time.Now)
	return func(s *bed.Server, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get(bed.Wire.RequestID)
		since := time.Since(began())
		active := since >= faultAt && since < faultAt+faultFor
		if active && answers.Add(1)%everyAnswer == 0 {
			due.Add(1)
		}
		if !active || due.Load() == 0 || bed.CarriedBefore(r) == 0 {
			bed.Whole(s, w, id)
			return
		}
		due.Add(-1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			bed.Whole(s, w, id)
			return
		}
		defer func() { _ = conn.Close() }()
		b.Record("server %s sends additional bytes that belong to its last answer on the channel, then its answer to %s", s.ID, id)
		body := strings.Repeat(s.ID+" "+id+"\n", 10)
		_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			extraBytes, bed.Wire.RequestID, id, bed.Wire.Stamp, s.ID, id, len(body), body)
		time.Sleep(200 * time.Millisecond)
	}
}

// judge reports whether a request has run twice, or has run although its client was told that it had not.
func judge(b *bed.Bed, servers []*bed.Server, statuses []int) (broken bool) {
	runs := map[string][]string{}
	for _, s := range servers {
		for _, r := range s.Runs() {
			runs[r.RequestID] = append(runs[r.RequestID], r.Server)
		}
	}
	twice, refused, answered := 0, 0, 0
	for n, status := range statuses {
		ran := runs[requestID(n)]
		if len(ran) > 1 {
			twice++
			b.Record("TWICE: %s ran at %s; the client got status %d", requestID(n), strings.Join(ran, " and "), status)
		}
		if status == http.StatusServiceUnavailable && len(ran) > 0 {
			refused++
			b.Record("REFUSED: %s ran at %s; the client got status 503", requestID(n), strings.Join(ran, " and "))
		}
		if status == http.StatusOK {
			answered++
		}
	}
	b.Record("%d requests, %d answered 200, %d ran twice, %d ran and were answered 503", len(statuses), answered, twice, refused)
	fmt.Printf("%d of %d requests ran twice; %d ran and were answered 503\n", twice, len(statuses), refused)
	return twice > 0
}
