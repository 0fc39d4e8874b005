package port

import (
	"strings"
	"testing"
)

// TestSystemClockIsMonotonic guards against durations that change when the machine's clock is set.
func TestSystemClockIsMonotonic(t *testing.T) {
	if now := (SystemClock{}).Now().String(); !strings.Contains(now, " m=") {
		t.Errorf("%s has no monotonic reading", now)
	}
}
