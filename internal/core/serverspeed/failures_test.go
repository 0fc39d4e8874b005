package serverspeed

import (
	"testing"
	"time"
)

// TestMachineTurnsSlow guards against a machine that has turned slow and counts as fast after its next answer, or for
// longer than 4 s as steadily fast.
func TestMachineTurnsSlow(t *testing.T) {
	var e Estimator
	now := time.Unix(1_700_000_000, 0)
	for range 50 {
		now = now.Add(reportSpacing)
		e.RecordReport(0.5, now)
	}
	now = now.Add(reportSpacing)
	e.RecordReport(3, now)
	if got, source := e.Factor(1, now); got != 3 || source != Report || e.Steady(1, now) != 0.5 {
		t.Errorf("factor %v from %s, steady %v after the first slow answer", got, source, e.Steady(1, now))
	}
	for range 20 { // 4 s
		now = now.Add(reportSpacing)
		e.RecordReport(3, now)
	}
	if got := e.Steady(1, now); got != 3 {
		t.Errorf("steady factor %v after 4 s", got)
	}
}
