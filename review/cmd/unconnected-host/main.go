// Command unconnected-host is a case on streams whose server crashes. Their prompts share a part, so the entry host has
// sent all of them to one of twelve engines of the same version. That one crashes. The others are sound and idle.
package main

import (
	"fmt"
	"time"

	"github.com/sesamefork/sesamefork/review/bed2"
)

const (
	before   = 32                     // clients until the crash
	after    = 16                     // clients that begin streams after it
	startGap = 250 * time.Millisecond // four streams a second, before and after the crash
	downFor  = 4 * time.Second        // of the engine that crashes
	service  = "engines"
	version  = "v1"
	shared   = "5c1e07a2:6300" // the part that all prompts have
	tries    = 2               // one retry, as on the sheet
	leastUps = 12              // taken-up streams from which on the rule counts
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
		Events: 50, EventGap: 200 * time.Millisecond, Record: rec, Prompt: shared, Tries: tries,
	}
	engines := f.Engines(service, s.Serve, [6]string{version, version, version, version, version, version})
	if err := f.StartService(s.Route(service), engines); err != nil {
		return 0, err
	}
	wait := s.Begin(before, startGap, f.Entries[0].Front())
	busiest := engines[0]
	for _, e := range engines {
		rec.Add("%s runs %d streams", e.ID, e.Connections())
		if e.Connections() > busiest.Connections() {
			busiest = e
		}
	}
	crashed := make(chan error, 1)
	crashed <- nil
	if bed2.Trouble() {
		rec.Add("%s crashes", busiest.ID)
		busiest.Crash()
		<-crashed
		time.AfterFunc(downFor, func() { crashed <- restart(f, busiest) })
	}
	time.Sleep(startGap)
	waitNew := s.Begin(after, startGap, f.Entries[0].Front())
	result, err := judge(rec, wait(), waitNew())
	if back := <-crashed; back != nil {
		return 0, back
	}
	return result, err
}

// restart starts a new process of an engine under another ID.
func restart(f *bed2.Fleet, e *bed2.Process) error {
	next := e.Successor(version)
	next.ID += "-again"
	if err := f.Start(next); err != nil {
		return err
	}
	return next.CheckIn()
}

// judge compares the share of the streams that go on, of those that clients took up, with the share of new ones that begin.
func judge(rec *bed2.Record, list, begun []*bed2.Client) (int, error) {
	ups, on, began := 0, 0, 0
	for _, c := range append(list, begun...) {
		if tried, wentOn := c.TakenUp(); tried {
			ups++
			if wentOn {
				on++
			}
		}
	}
	for _, c := range begun {
		if c.Began() {
			began++
		}
	}
	rec.Add("%d of %d streams that clients took up went on; %d of %d new streams began", on, ups, began, len(begun))
	if bed2.Trouble() && ups < leastUps {
		return 0, fmt.Errorf("only %d streams were taken up", ups)
	}
	if 2*on*len(begun) < began*ups {
		return 1, nil
	}
	return 0, nil
}
