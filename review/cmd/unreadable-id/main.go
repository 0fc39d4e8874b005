// Unreadable-id shows whether a check-in whose ID has bytes that can't be read keeps a later configuration from being
// in force.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/sesamefork/sesamefork/review/bed"
)

// Times and sizes of the case.
const (
	beforeChange = 8 * time.Second // from the first foreign check-in to the change
	betweenSends = 50 * time.Millisecond
	requests     = 40
)

// unreadable is an ID with bytes that are no text, as it stands in a path.
const unreadable = "i-%ff%fe"

func main() { bed.Run(run) }

func run() (broken bool, err error) {
	zones := []bed.Zone{{Name: "za", Region: "ra"}, {Name: "zb", Region: "rb"}, {Name: "zc", Region: "rc"}}
	b, err := bed.New(zones, 1)
	if err != nil {
		return false, err
	}
	defer b.Close()
	for i := range zones {
		for k := range 2 {
			if _, err := b.NewServer(bed.Service, i+1, k+1, 6); err != nil {
				return false, err
			}
		}
	}
	if err := b.Start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if _, err := b.Order(http.MethodPut, "/v1/config", bed.Config(1, 2, 3000), b.Controls...); err != nil {
		return false, err
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(bed.StabilityWindow)
	if bed.Trouble() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go foreignWriter(ctx, b)
	}
	time.Sleep(beforeChange)
	// The next version adds a route.
	next := bytes.Replace(bed.Config(2, 2, 3000), []byte(`"path_prefix":"/stock/"`), []byte(`"path_prefix":"/parts/"`), 1)
	acknowledged, err := b.Order(http.MethodPut, "/v1/config", next, b.Controls...)
	if err != nil {
		return false, err
	}
	time.Sleep(bed.ConfigApplyBound + time.Second)
	old, answers := 0, map[int]int{}
	for n := range requests {
		e := b.Entries[n%len(b.Entries)]
		a := b.Request(e, http.MethodGet, "/parts/item", fmt.Sprintf("%016x", 0x5c41d07be2a30000+n), 3*time.Second, nil)
		answers[a.Status]++
		if a.Status == http.StatusNotFound {
			old++
			b.Record("CONFIG: %s answers 404 for a route of version 2, %s after its confirmation", e.Name, time.Since(acknowledged).Round(time.Millisecond))
		}
		time.Sleep(betweenSends)
	}
	b.Record("%d of %d requests on the added route were refused with 404; answers %v", old, requests, answers)
	fmt.Printf("%d of %d requests on the added route were refused with 404; answers %v\n", old, requests, answers)
	return old > 0, nil
}

// foreignWriter sends a check-in per heartbeat, to the control hosts in turn.
func foreignWriter(ctx context.Context, b *bed.Bed) {
	t := time.NewTicker(bed.HeartbeatMS * time.Millisecond)
	defer t.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		foreign(b, b.Controls[n%len(b.Controls)], n+1)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// foreign sends a check-in of another writer, whose ID has bytes that are no text.
func foreign(b *bed.Bed, to *bed.Process, seq int) {
	body, _ := json.Marshal(map[string]any{
		"service": bed.Service, "address": b.IP(1, 99) + ":8080", "zone": "za", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": seq,
	})
	status, answer, err := bed.Call(context.Background(), http.MethodPut, to.Control(), bed.Wire.CheckInPath+unreadable, body)
	b.Record("another writer: PUT %s%s to %s: status %d, %s, %v", bed.Wire.CheckInPath, unreadable, to.Name, status, bytes.TrimSpace(answer), err)
}
