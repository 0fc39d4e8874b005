// Command many-fields is a case on the memory of an entry host. Many clients come at once, each with one request inside
// the limits of the configuration: a body of ordinary size, and a head of less than max_header_bytes with many short
// fields. The case reads the peak memory of the entry host's process.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/review/bed2"
)

const (
	clients    = 560
	startGap   = 2 * time.Millisecond // between two clients
	bodyBytes  = 18_000               // the mean of "layout-match" on the sheet of Railhalt
	events     = 10
	eventGap   = 500 * time.Millisecond
	timeBudget = 15 * time.Second
	service    = "engines"
	// headBytes is what the head of a request may have, less what the ordinary fields take.
	headBytes = bed2.MaxHeaderBytes - 500
)

func main() { bed2.Main(run) }

func run(rec *bed2.Record) (int, error) {
	f, err := bed2.NewFleet(1)
	if err != nil {
		return 0, err
	}
	defer f.Stop()
	route := bed2.Route{
		Name: "match", Host: "match.example", PathPrefix: "/match/", Kind: "stream", TimeoutMS: int(timeBudget.Milliseconds()), LatencyTargetMS: 1200,
		GapTargetMS: 600, Service: service, Attempts: 2, Resumable: true,
	}
	const version = "v1"
	if err := f.StartService(route, f.Engines(service, stream, [6]string{version, version, version, version, version, version})); err != nil {
		return 0, err
	}
	entry := f.Entries[0]
	rec.Add("%s holds %d MiB before", entry.Name, entry.PeakMB())
	fields := manyFields()
	if !bed2.Trouble() {
		fields = nil
	}
	rec.Add("%d clients send one request each, with %d further fields of %d bytes together and a body of %d bytes", clients, len(fields), length(fields), bodyBytes)
	results := play(entry.Front(), fields)
	rec.Add("answers: %v", results)
	peak := entry.PeakMB()
	ended := entry.Ended()
	rec.Add("%s held %d MiB at most, its limit is %d MiB; it ended: %v", entry.Name, peak, bed2.MemoryMB, ended)
	if peak == 0 {
		return 0, fmt.Errorf("the memory of %s cannot be read", entry.Name)
	}
	if peak > bed2.MemoryMB || ended {
		return 1, nil
	}
	return 0, nil
}

// manyFields returns short header lines with names of their own that fill a head.
func manyFields() (lines []string) {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	for size, n := 0, 0; ; n++ {
		name := string([]byte{'x', digits[n/36/36%36], digits[n/36%36], digits[n%36]})
		line := name + ":1"
		if size += len(line) + len("\r\n"); size > headBytes {
			return lines
		}
		lines = append(lines, line)
	}
}

func length(lines []string) int { return len(strings.Join(lines, "\r\n")) }

// play lets all clients send their request and read the answer. It returns how many got which one.
func play(addr string, fields []string) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	results := map[string]int{}
	body := strings.Repeat("p", bodyBytes)
	for range clients {
		wg.Go(func() {
			a := &bed2.Attempt{ID: bed2.NewID(), Method: http.MethodPost, Target: "/match/x", Host: "match.example", Deadline: timeBudget, Lines: fields, Body: body}
			result := "no answer"
			if resp, conn, err := a.Send(addr); err == nil {
				result = fmt.Sprint(resp.StatusCode)
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					result += " cut"
				}
				_ = conn.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		})
		time.Sleep(startGap)
	}
	wg.Wait()
	return results
}

// stream writes the events of an answer.
func stream(_ *bed2.Process, c net.Conn, r *bed2.Request) bool {
	if _, err := c.Write(bed2.Head(http.StatusOK, r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")); err != nil {
		return false
	}
	for n := 1; n <= events; n++ {
		if bed2.WriteChunk(c, fmt.Sprintf("id: %d\ndata: part\n\n", n)) != nil {
			return false
		}
		time.Sleep(eventGap)
	}
	return bed2.WriteChunk(c, "") == nil
}
