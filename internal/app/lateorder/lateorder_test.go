package lateorder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

// caller is the connection of a caller that leaves at a time.
type caller struct {
	leavesAt time.Time // zero if it waits
	sent     time.Duration
	reused   bool
}

func (c caller) HasLeft() bool                     { return !c.leavesAt.IsZero() && !time.Now().Before(c.leavesAt) }
func (c caller) UnreadFor() time.Duration          { return 0 }
func (c caller) SentWithin() (time.Duration, bool) { return c.sent, !c.reused }

// TestCheck guards against orders that take effect though their callers have given them up.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		caller func(now time.Time) port.CallerConn // nil for none
		ended  bool                                // the call has ended
		waited time.Duration
		want   failure.Code // "" if the order may take effect
	}{
		{"waits", func(time.Time) port.CallerConn { return caller{} }, false, 0, ""},
		{"waits as long as callers do", func(time.Time) port.CallerConn { return caller{sent: Patience} }, false, Patience, ""},
		{"has left", func(now time.Time) port.CallerConn { return caller{leavesAt: now} }, false, 0, failure.Canceled},
		{"leaves a moment later", func(now time.Time) port.CallerConn { return caller{leavesAt: now.Add(endDelay / 2)} }, false, 0, failure.Canceled},
		{"its call has ended", func(time.Time) port.CallerConn { return caller{} }, true, 0, failure.Canceled},
		{"was received long ago", func(time.Time) port.CallerConn { return caller{} }, false, Patience + 1, failure.DeadlineExceeded},
		{"was sent long ago", func(time.Time) port.CallerConn { return caller{sent: Patience + 1} }, false, 0, failure.DeadlineExceeded},
		{"on a used connection", func(time.Time) port.CallerConn { return caller{reused: true} }, false, 0, failure.DeadlineExceeded},
		{"of this process", nil, false, 2 * Patience, ""},
		{"of this process, ended", nil, true, 0, failure.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.ended {
					cancel()
				}
				if c.caller != nil {
					ctx = port.WithCallerConn(ctx, c.caller(time.Now()))
				}
				got := Check(ctx, c.waited)
				if (got == nil) != (c.want == "") || got != nil && (got.Code != c.want || got.Outcome != failure.NotRun) {
					t.Errorf("ended with %v, want %q", got, c.want)
				}
			})
		})
	}
}
