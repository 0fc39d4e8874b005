// Command unproved-release is a case on streams of two software versions. A model server to which the entry host has no
// connection crashes, starts again under its ID with the next version, and its first check-in comes late. Streams begin
// there meanwhile. Their clients do nothing but read.
package main

import (
	"time"

	"github.com/sesamefork/sesamefork/review/bed2"
)

const (
	clients   = 40
	startGap  = 35 * time.Millisecond // between two clients: the 28 streams a second of a region on the sheet
	downFor   = time.Second           // from the crash until the server runs again
	lateBy    = 2 * time.Second       // of its first check-in
	service   = "engines"
	slots     = 128
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
	// The targets are those of "layout-match" on the sheet of Railhalt.
	s := &bed2.Streams{
		LatencyTarget: 1200 * time.Millisecond, GapTarget: 600 * time.Millisecond, TimeBudget: 15 * time.Second,
		Events: 40, EventGap: 200 * time.Millisecond, Record: rec,
	}
	first := &bed2.Process{ID: oldServer, Service: service, Address: f.NewAddress(0), Version: oldest, Slots: slots, Serve: s.Serve}
	second := &bed2.Process{ID: "server-2", Service: service, Address: f.NewAddress(0), Version: oldest, Slots: slots, Serve: s.Serve}
	third := &bed2.Process{ID: "server-3", Service: service, Address: f.NewAddress(0), Version: newest, Slots: slots, Serve: s.Serve}
	if err := f.StartService(s.Route(service), first, second, third); err != nil {
		return 0, err
	}
	checkedIn := make(chan error, 1)
	checkedIn <- nil
	if bed2.Trouble() {
		first.Crash()
		rec.Add("%s %s crashes", oldServer, oldest)
		time.Sleep(downFor)
		next := first.Successor(newest)
		if err := f.Start(0, next); err != nil {
			return 0, err
		}
		rec.Add("%s runs again, with %s", oldServer, newest)
		<-checkedIn
		time.AfterFunc(lateBy, func() {
			rec.Add("%s sends its first check-in", oldServer)
			checkedIn <- next.CheckIn()
		})
	}
	wait := s.Begin(clients, startGap, f.Entries[0].Front())
	results := wait()
	if err := <-checkedIn; err != nil {
		return 0, err
	}
	return s.Judge(results)
}
