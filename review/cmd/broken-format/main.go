// Broken-format shows whether a control host that was killed while it formatted its empty disk ever starts again.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sesamefork/sesamefork/review/bed"
)

// Times and bounds of the case.
const (
	maxTries   = 12 // kills of a host until one comes while it formats its disk
	watchFor   = 3 * time.Second
	catchUp    = 4 * time.Second
	observeFor = 12 * time.Second // without any disturbance
	ownEnds    = 3                // after which the rule counts a host
)

func main() { bed.Run(run) }

func run() (broken bool, err error) {
	zones := []bed.Zone{{Name: "za", Region: "ra"}, {Name: "zb", Region: "rb"}, {Name: "zc", Region: "rc"}}
	b, err := bed.New(zones, 1)
	if err != nil {
		return false, err
	}
	defer b.Close()
	if err := b.Start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if _, err := b.Order(http.MethodPut, "/v1/config", bed.Config(1, 2, 3000), b.Controls...); err != nil {
		return false, err
	}
	if err := b.FirstStartOver(); err != nil {
		return false, err
	}
	time.Sleep(bed.StabilityWindow)
	if bed.Trouble() {
		for _, c := range b.Controls[:2] {
			if err := loseDiskAndKill(b, c); err != nil {
				return false, err
			}
			time.Sleep(catchUp + 2*time.Second)
		}
	}
	before := make([]int, len(b.Controls))
	for i, c := range b.Controls {
		_, before[i] = c.Starts()
	}
	time.Sleep(observeFor)
	ending := 0
	for i, c := range b.Controls {
		if _, n := c.Starts(); n-before[i] >= ownEnds {
			ending++
			b.Record("Fault: %s ended by itself %d times in %s without a disturbance", c.Name, n-before[i], observeFor)
		}
	}
	_, err = b.Order(http.MethodPut, "/v1/config", bed.Config(2, 2, 3000), b.Controls...)
	b.Record("a configuration afterwards: %v", err)
	fmt.Printf("%d of %d control hosts end again and again; a configuration afterwards: %v\n", ending, len(b.Controls), err)
	return 2*ending >= len(b.Controls), nil
}

// loseDiskAndKill makes a control host lose its disk, and kills it once more while it formats the empty one.
func loseDiskAndKill(b *bed.Bed, c *bed.Process) error {
	for try := range maxTries {
		c.KillAndRestart(bed.RestartDelay, func() { _ = os.RemoveAll(c.DataDir()) })
		if hit := killInFormat(c); hit {
			b.Record("%s was killed while it formatted its disk, at try %d", c.Name, try+1)
			return nil
		}
		time.Sleep(catchUp)
	}
	return errors.New("no kill came while a disk was formatted")
}

// killInFormat kills a control host as soon as its data folder is there, and reports whether it has no identity yet.
func killInFormat(c *bed.Process) bool {
	identity := filepath.Join(c.DataDir(), "identity.json")
	for end := time.Now().Add(watchFor); time.Now().Before(end); {
		if _, err := os.Stat(identity + ".tmp"); err != nil {
			continue
		}
		c.Signal(syscall.SIGKILL)
		time.Sleep(100 * time.Millisecond)
		_, err := os.Stat(identity)
		return os.IsNotExist(err)
	}
	return false
}
