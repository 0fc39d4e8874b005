// Command unproved-release is a case on streams of two software versions. Two of twelve model servers, to which the entry
// host has no connection, crash and start again under their IDs with the next version; their first check-ins come late.
// Streams begin there meanwhile. Their clients do nothing but read.
package main

import (
	"time"

	"github.com/sesamefork/sesamefork/review/bed2"
)

const (
	clients  = 40
	startGap = 35 * time.Millisecond // between two clients: the 28 streams a second of a region on the sheet
	downFor  = time.Second           // from the crash until the server runs again
	lateBy   = 2 * time.Second       // of its first check-in
	service  = "engines"
	crashed  = 2 // servers of twelve
	oldest   = "v1"
	newest   = "v2"
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
	engines := f.Engines(service, s.Serve, [6]string{oldest, oldest, oldest, oldest, newest, newest})
	if err := f.StartService(s.Route(service), engines); err != nil {
		return 0, err
	}
	checkedIn := make(chan error, 1)
	checkedIn <- nil
	if bed2.Trouble() {
		next, err := restart(rec, f, engines[:crashed])
		if err != nil {
			return 0, err
		}
		<-checkedIn
		time.AfterFunc(lateBy, func() { checkedIn <- checkIn(rec, next) })
	}
	wait := s.Begin(clients, startGap, f.Entries[0].Front())
	results := wait()
	if err := <-checkedIn; err != nil {
		return 0, err
	}
	return s.Judge(results)
}

// restart lets servers crash and start again, with the next version under the same IDs and addresses.
func restart(rec *bed2.Record, f *bed2.Fleet, list []*bed2.Process) (next []*bed2.Process, err error) {
	for _, p := range list {
		p.Crash()
		rec.Add("%s %s crashes", p.ID, p.Version)
	}
	time.Sleep(downFor)
	for _, p := range list {
		n := p.Successor(newest)
		if err := f.Start(n); err != nil {
			return nil, err
		}
		rec.Add("%s runs again, with %s", n.ID, n.Version)
		next = append(next, n)
	}
	return next, nil
}

func checkIn(rec *bed2.Record, list []*bed2.Process) error {
	for _, p := range list {
		rec.Add("%s sends its first check-in", p.ID)
		if err := p.CheckIn(); err != nil {
			return err
		}
	}
	return nil
}
