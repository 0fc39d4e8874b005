// Command late-predecessor is a case on streams that clients take up. Two of twelve sound model servers run at addresses at which
// others ran before, whose only check-ins a cut has delayed. These arrive, and then an entry host is killed. Its clients
// take their streams up at the other one.
package main

import (
	"fmt"
	"time"

	"github.com/sesamefork/sesamefork/review/bed2"
)

const (
	clients   = 80
	startGap  = 20 * time.Millisecond // between two clients
	newOnes   = 12                    // clients that begin streams afterwards
	bornAgo   = 5 * time.Second       // start of a predecessor before its successor's
	service   = "engines"
	version   = "v1" // of the two servers
	other     = "v2" // of the ten others
	leastUps  = 12   // taken-up streams from which on the rule counts
	downFor   = 500 * time.Millisecond
	goneAfter = time.Second // from the late check-ins until the entry host is killed
)

func main() { bed2.Main(run) }

func run(rec *bed2.Record) (int, error) {
	f, err := bed2.NewFleet(2)
	if err != nil {
		return 0, err
	}
	defer f.Stop()
	// The targets are those of "layout-match" on the sheet of Railhalt.
	s := &bed2.Streams{
		LatencyTarget: 1200 * time.Millisecond, GapTarget: 600 * time.Millisecond, TimeBudget: 15 * time.Second,
		Events: 60, EventGap: 150 * time.Millisecond, Record: rec,
	}
	engines := f.Engines(service, s.Serve, [6]string{version, version, other, other, other, other})
	if err := f.StartService(s.Route(service), engines); err != nil {
		return 0, err
	}
	killed, kept := f.Entries[0], f.Entries[1]
	wait := s.Begin(clients, startGap, killed.Front(), kept.Front())
	if bed2.Trouble() {
		for i, p := range engines[:2] {
			id := fmt.Sprintf("predecessor-%d", i+1)
			rec.Add("a check-in of %s arrives, which ran at the address of %s before it", id, p.ID)
			if err := p.Predecessor(id, bornAgo); err != nil {
				return 0, err
			}
		}
	}
	time.Sleep(goneAfter)
	rec.Add("%s is killed", killed.Name)
	if err := killed.Kill(); err != nil {
		return 0, err
	}
	waitNew := s.Begin(newOnes, startGap, kept.Front())
	time.Sleep(downFor)
	if err := f.Restart(killed); err != nil {
		return 0, err
	}
	return judge(rec, wait(), waitNew())
}

// judge compares the share of the streams of the two servers' version that go on with the share of the new ones that begin.
func judge(rec *bed2.Record, list, begun []*bed2.Client) (int, error) {
	ups, on, began := 0, 0, 0
	for _, c := range list {
		if tried, wentOn := c.TakenUp(); tried && c.Version() == version {
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
	rec.Add("%d of %d streams of %s that clients took up went on; %d of %d new streams began", on, ups, version, began, len(begun))
	if ups < leastUps {
		return 0, fmt.Errorf("only %d streams were taken up", ups)
	}
	if 2*on*len(begun) < began*ups {
		return 1, nil
	}
	return 0, nil
}
