// Command silent-successor is a case on streams of two software versions. A model server loses power while it writes
// streams, starts again under its ID with the next version, and its first check-in comes late. Clients that have waited
// for as long as the pages say take their streams up again.
package main

import (
	"time"

	"github.com/sesamefork/sesamefork/review/bed2"
)

const (
	clients   = 24
	startGap  = 40 * time.Millisecond // between two clients
	darkFor   = 2 * time.Second       // from the loss of power until the server runs again
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
	// The targets are those of "consist-plan" on the sheet of Siam Rail Freight.
	s := &bed2.Streams{
		LatencyTarget: 800 * time.Millisecond, GapTarget: 400 * time.Millisecond, TimeBudget: 15 * time.Second,
		Events: 40, EventGap: 250 * time.Millisecond, Record: rec,
	}
	first := &bed2.Process{ID: oldServer, Service: service, Address: f.NewAddress(0), Version: oldest, Slots: slots, Serve: s.Serve}
	second := &bed2.Process{ID: "server-2", Service: service, Address: f.NewAddress(0), Version: newest, Slots: slots, Serve: s.Serve}
	if err := f.StartService(s.Route(service), first, second); err != nil {
		return 0, err
	}
	wait := s.Begin(clients, startGap, f.Entries[0].Front())
	time.Sleep(2 * time.Second)
	if bed2.Trouble() {
		if err := restart(rec, f, first); err != nil {
			return 0, err
		}
	}
	return s.Judge(wait())
}

// restart lets the server lose power and start again, with the next version under the same ID and address.
func restart(rec *bed2.Record, f *bed2.Fleet, first *bed2.Process) error {
	first.LosePower()
	rec.Add("%s %s loses power", oldServer, oldest)
	time.Sleep(darkFor)
	next := first.Successor(newest)
	if err := f.Start(0, next); err != nil {
		return err
	}
	rec.Add("%s runs again, with %s", oldServer, newest)
	time.Sleep(lateBy)
	rec.Add("%s sends its first check-in", oldServer)
	return next.CheckIn()
}
