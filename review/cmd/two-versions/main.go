// Two-versions shows whether streams that a server of one software version began go on at its successor of another
// version, if the server's machine loses power and is back under the same ID.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/review/bed"
)

// Times and sizes of the case.
const (
	events     = 40
	eventGap   = 200 * time.Millisecond
	gapTarget  = 250
	timeLimit  = 15 * time.Second
	abandonGap = 2 * time.Second // the longest of two seconds, four times the objective and eight times the pause
	tries      = 2               // a client's first try and its retry
	streams    = 30
	layouts    = 10 // shared parts of prompts
	downFor    = 1500 * time.Millisecond
	lateBy     = 2 * time.Second // of the check-ins of the new process
	maxMixed   = 2               // streams with events of two versions that the rule allows
)

func main() { bed.Run(run) }

func run() (broken bool, err error) {
	zones := []bed.Zone{{Name: "za", Region: "ra"}, {Name: "zb", Region: "rb"}, {Name: "zc", Region: "rc"}}
	b, err := bed.New(zones, 1)
	if err != nil {
		return false, err
	}
	defer b.Close()
	var last *bed.Server // the last server of the old version
	for i := range zones {
		for k := range 2 {
			s, err := b.NewServer(bed.Pool, i+1, k+1, 128)
			if err != nil {
				return false, err
			}
			s.Answer = stream
			if last == nil {
				last = s
				continue
			}
			s.Now().Version = "v2"
		}
	}
	if err := b.Start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if _, err := b.Order(http.MethodPut, "/v1/config", bed.Stream(1, int(timeLimit.Milliseconds()), gapTarget), b.Controls...); err != nil {
		return false, err
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(bed.StabilityWindow)
	results := make([]result, streams)
	var clients sync.WaitGroup
	for n := range streams {
		clients.Go(func() { results[n] = client(b, n) })
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if bed.Trouble() {
		last.GoDark()
		time.Sleep(downFor)
		last.ComeBack("v2", 0, lateBy)
	}
	clients.Wait()
	return judge(b, results), nil
}

// stream writes the events after Last-Event-Id. Each names the version of the process that writes it.
func stream(s *bed.Server, w http.ResponseWriter, r *http.Request, _ []byte) {
	p := s.Now()
	id := r.Header.Get(bed.Wire.RequestID)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set(bed.Wire.Stamp, s.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		select {
		case <-p.Gone():
			s.Hang(r)
			return
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
		if p.Dark() {
			s.Hang(r)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, p.Version, n); err != nil {
			return
		}
		_ = flush.Flush()
	}
}

// result is what a client received of a stream, over its tries.
type result struct {
	layout   int    // the shared part of the prompt
	first    string // ID of the first try
	versions []string
	last     int
}

// client reads a stream and takes it up once if it breaks off or pauses too long.
func client(b *bed.Bed, n int) result {
	res := result{layout: n % layouts}
	for try := range tries {
		id := fmt.Sprintf("%016x", 0x3c41d07be2a30000+n*16+try)
		if try == 0 {
			res.first = id
		}
		err := read(b, id, &res, try > 0)
		b.Record("client: %s ended after event %d of versions %v: %v", id, res.last, res.versions, err)
		if err == nil {
			break
		}
	}
	return res
}

var errPaused = errors.New("the client abandons the stream after a pause")

func read(b *bed.Bed, id string, res *result, takesUp bool) error {
	ctx, cancel := context.WithTimeoutCause(context.Background(), timeLimit, context.DeadlineExceeded)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Entries[0].Front()+"/match/list", strings.NewReader("a layout list"))
	if err != nil {
		return err
	}
	req.Host = bed.HostName
	req.Header.Set(bed.Wire.RequestID, id)
	req.Header.Set(bed.Wire.Deadline, fmt.Sprint(timeLimit.Milliseconds()))
	req.Header.Set("X-Model", "m")
	req.Header.Set(bed.Wire.TokenCount, "900,200")
	req.Header.Set(bed.Wire.PromptParts, fmt.Sprintf("%08x:600,%s:300", 0x5c1e07a0+res.layout, res.first))
	if takesUp && res.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(res.last))
		req.Header.Set("Resumes", res.first)
	}
	b.Record("client: stream %s to %s after event %d", id, b.Entries[0].Name, res.last)
	pause := time.AfterFunc(abandonGap, cancel)
	defer pause.Stop()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		pause.Reset(abandonGap)
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			res.last, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			version, _, _ := strings.Cut(v, " ")
			if n := len(res.versions); n == 0 || res.versions[n-1] != version {
				res.versions = append(res.versions, version)
			}
		}
	}
	switch {
	case ctx.Err() != nil:
		return errPaused
	case lines.Err() != nil:
		return lines.Err()
	case res.last < events:
		return fmt.Errorf("the stream ended after event %d", res.last)
	}
	return nil
}

func judge(b *bed.Bed, results []result) (broken bool) {
	mixed := 0
	for _, r := range results {
		if len(r.versions) > 1 {
			mixed++
			b.Record("ORDER: the stream %s holds events of versions %s", r.first, strings.Join(r.versions, " and "))
		}
	}
	b.Record("%d of %d streams hold events of two versions; the rule allows %d", mixed, len(results), maxMixed)
	fmt.Printf("%d of %d streams hold events of two versions\n", mixed, len(results))
	return mixed > maxMixed
}
