package dispatch

import (
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestNoReportsNoFactors guards against estimates that change though no server reported a work time within a minute.
func TestNoReportsNoFactors(t *testing.T) {
	silent, reported := newTestFleet(3), newTestFleet(3)
	reported.RecordWorkTime(&Choice{Server: reported.servers["s1"]}, 3, start.Add(-time.Minute-time.Second))
	for i := range 200 {
		now, j := start.Add(time.Duration(i)*time.Millisecond), shortJob()
		j.Permits = only("west")
		a, b := silent.Choose(j, now), reported.Choose(j, now)
		if a.Server.ID != b.Server.ID || a.EstimateMS != b.EstimateMS || a.loss != b.loss || silent.workFactor(a.Server, now) != 1 {
			t.Fatalf("request %d: %s in %v ms, and %s in %v ms after an old report", i, a.Server.ID, a.EstimateMS, b.Server.ID, b.EstimateMS)
		}
		silent.Started(&a, now)
		reported.Started(&b, now)
	}
}

// TestReplacedServerStartsWithoutReports guards against reports of an earlier process that count for its successor.
func TestReplacedServerStartsWithoutReports(t *testing.T) {
	f, v := newTestFleet(3), testView(3)
	f.RecordWorkTime(&Choice{Server: f.servers["s0"]}, 0.5, start)
	f.RecordWorkTime(&Choice{Server: f.servers["s1"]}, 1.5, start)
	for v.Servers[0].Start = range int64(3) {
		f.ApplyView(v, FullScope, start)
	}
	if got := f.workFactor(f.servers["s0"], start.Add(time.Second)); got != 1.5 {
		t.Errorf("factor %v of the new process, want the service's median 1.5", got)
	}
}

// TestPlainServiceByWorkFactor guards against a slow server of a plain service that gets as many requests as the
// usual one, against one that looks free because it fails quickly, and against learned times of a slow server.
func TestPlainServiceByWorkFactor(t *testing.T) {
	f, sent := newTestFleet(0), map[string]int{}
	factors := map[string]float64{"usual": 1, "slow": 4, "failing": 0.2}
	for id := range factors {
		f.ApplyView(&pb.FleetView{Servers: []*pb.FleetServer{{Id: id, Service: "desk", Sequence: 1, Slots: 6}}}, FullScope, start)
	}
	for i := range 400 {
		now, outcome := start.Add(time.Duration(i)*10*time.Millisecond), Served
		c := f.Choose(&Job{Service: "desk", Permits: only("west"), Remaining: time.Second, Target: time.Second, Tried: map[string]bool{}}, now)
		f.Started(&c, now)
		if sent[c.Server.ID]++; c.Server.ID == "failing" {
			outcome = Failed
		}
		took := time.Duration(40 * factors[c.Server.ID] * float64(time.Millisecond))
		f.RecordWorkTime(&c, factors[c.Server.ID], now.Add(took))
		f.FirstByte(&c, took)
		f.Ended(&c, outcome, took, now.Add(took))
	}
	if answer := f.Speeds(start)["desk"].AnswerMS; sent["slow"] > sent["usual"]/2 || sent["failing"] > 100 || answer < 39 || answer > 41 {
		t.Errorf("sent %v, answer time %.1f ms", sent, answer)
	}
}
