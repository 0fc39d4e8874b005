package hangup

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// init sends SIGHUP before main begins.
func init() { _ = syscall.Kill(os.Getpid(), syscall.SIGHUP) }

// TestHangupBeforeMain guards against programs that SIGHUP ends while they start.
func TestHangupBeforeMain(t *testing.T) {
	select {
	case <-Received():
	case <-time.After(5 * time.Second):
		t.Error("the signal was not received")
	}
}
