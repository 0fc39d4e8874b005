// Late-order shows whether an order that the operator sent to a frozen control host, gave up and repeated
// elsewhere takes effect once more when that host goes on, after a later order was acknowledged.
package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/sesamefork/sesamefork/review/bed"
)

// Times of the case.
const (
	freezeFor    = 3500 * time.Millisecond // the longest freeze of the site's sheet
	betweenSends = 50 * time.Millisecond
	requests     = 40
)

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
	frozen, err := b.Follower()
	if err != nil {
		return false, err
	}
	var others []*bed.Process
	for _, c := range b.Controls {
		if c != frozen {
			others = append(others, c)
		}
	}
	acknowledged, err := evacuateAgain(b, frozen, others)
	if err != nil {
		return false, err
	}
	time.Sleep(bed.StabilityWindow + 2*time.Second) // all machines are in touch again, and the bound of the evacuation has passed
	for n := range requests {
		b.Request(b.Entries[0], http.MethodGet, "/stock/item", fmt.Sprintf("%016x", 0x1c41d07be2a30000+n), 3*time.Second, nil)
		time.Sleep(betweenSends)
	}
	late := 0
	for _, s := range servers {
		for _, r := range s.Runs() {
			if r.Zone == "za" && r.At.Sub(acknowledged) > bed.EvacuateBound {
				late++
			}
		}
	}
	b.Record("%d of %d requests reached servers in za later than %s after its evacuation was acknowledged; it was not taken back", late, requests, bed.EvacuateBound)
	fmt.Printf("%d of %d requests reached servers of the evacuated zone\n", late, requests)
	return late > 0, nil
}

// evacuateAgain evacuates the zone za, takes that back, and evacuates it again. The host that gets the order to take
// it back first is frozen meanwhile. It returns when the last evacuation was acknowledged.
func evacuateAgain(b *bed.Bed, frozen *bed.Process, others []*bed.Process) (acknowledged time.Time, err error) {
	if _, err := b.Order(http.MethodPost, "/v1/drain/za", nil, others...); err != nil {
		return acknowledged, err
	}
	time.Sleep(2 * time.Second)
	if bed.Trouble() {
		frozen.Signal(syscall.SIGSTOP)
	}
	goesOn := time.After(freezeFor)
	if _, err := b.Order(http.MethodDelete, "/v1/drain/za", nil, append([]*bed.Process{frozen}, others...)...); err != nil {
		return acknowledged, err
	}
	time.Sleep(500 * time.Millisecond)
	if acknowledged, err = b.Order(http.MethodPost, "/v1/drain/za", nil, others...); err != nil {
		return acknowledged, err
	}
	<-goesOn
	if bed.Trouble() {
		frozen.Signal(syscall.SIGCONT)
	}
	return acknowledged, nil
}
