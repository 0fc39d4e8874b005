package process_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/standin"
)

// standinPause is the pause that stand-ins with the fault "shed" ask for.
const standinPause = 1500 * time.Millisecond

// TestSheddingEnginesGetFewRequests guards against entry hosts that send requests to an engine in the pause it asked for.
func TestSheddingEnginesGetFewRequests(t *testing.T) {
	t.Parallel()
	const pauses = 4
	f := newFleet(t, threeRegions(132))
	underLoad(f, f.loadOptions(loadCount, loadRate), func() {
		for _, d := range f.domains {
			f.setFaults(d, 0, "shed=1")
		}
		time.Sleep(pauses * standinPause)
		for _, d := range f.domains {
			f.setFaults(d, 0, "")
		}
	})
	for n, d := range f.domains {
		turnedAway := f.firstEngineStats(n).TurnedAway
		t.Logf("%s: %d requests turned away", d, turnedAway)
		// Each host sends at most one request before each pause, and those of one burst.
		if most := int64(2 * f.s.hostCount(n) * (pauses + 1)); turnedAway == 0 || turnedAway > most {
			t.Errorf("%s: the engine turned %d requests away in %d pauses, allowed 1 to %d", d, turnedAway, pauses, most)
		}
	}
}

// TestEnginesThatSayTheyLeaveGetFewRequests guards against entry hosts that wait for an announcement of it.
func TestEnginesThatSayTheyLeaveGetFewRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, threeRegions(133))
	underLoad(f, f.loadOptions(loadCount, loadRate), func() {
		for _, d := range f.domains {
			f.setFaults(d, 0, "leave=1")
		}
	})
	for n, d := range f.domains {
		said := f.firstEngineStats(n).SaidLeaving
		t.Logf("%s: %d answers", d, said)
		// Those that each host sends before it has the first answer.
		if most := int64(8 * f.s.hostCount(n)); said == 0 || said > most {
			t.Errorf("%s: the engine said in %d answers that it leaves, allowed 1 to %d", d, said, most)
		}
	}
}

// firstEngineStats returns the counters of the first engine of a failure domain.
func (f *fleet) firstEngineStats(domain int) standin.Stats {
	f.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://127.%d.%d.101:9000/admin/stats", f.s.net, domain+1))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var stats standin.Stats
	if err := json.NewDecoder(resp.Body).Decode(&stats); err != nil {
		f.t.Fatal(err)
	}
	return stats
}
