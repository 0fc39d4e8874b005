package dispatch

import (
	"testing"
	"time"
)

func TestStartupEnter(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name      string
		now       time.Time
		remaining time.Duration
		want      time.Duration
	}{
		{"at the start", at(0), 12 * time.Second, startWait},
		{"later", at(600), 12 * time.Second, startWait - 600*time.Millisecond},
		{"short of time", at(0), 2 * time.Second, 500 * time.Millisecond},
		{"takes longer than expected", at(1600), 12 * time.Second, 0},
		{"the caller does not say", at(0), 0, startWait},
		{"the caller does not say, late", at(1700), 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := NewStartup(t0, 0, 0).Enter(c.remaining, c.now); got != c.want {
				t.Errorf("waits %v, want %v", got, c.want)
			}
		})
	}
}

func TestStartupBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStartup(now, 0, 0)
	for range startWaiting {
		if s.Enter(time.Minute, now) == 0 {
			t.Fatal("refused below the bound")
		}
	}
	if s.Enter(time.Minute, now) != 0 {
		t.Error("more wait than the bound allows")
	}
	if got := s.RetryAfter(now); got != startWait {
		t.Errorf("come back after %v, want %v: when the configuration is expected", got, startWait)
	}
	s.Leave()
	if s.Enter(time.Minute, now) == 0 {
		t.Error("refused though one left")
	}
	if got := s.RetryAfter(now.Add(startWait)); got != startRetry {
		t.Errorf("come back after %v, want %v", got, startRetry)
	}
}

// startupLoad plays callers who come every 50 ms, for two seconds, to a host that knows
// the configuration after 1.1 s. A caller waits 5 s, expects its answer within 1 s, and
// tries once more when it is refused. It returns how many are served, and how many in time.
func startupLoad(enter func(remaining time.Duration, now time.Time) (wait, retry time.Duration)) (served, inTime int) {
	const deadline, target, work = 5 * time.Second, time.Second, 150 * time.Millisecond
	t0 := time.Unix(1000, 0)
	known := t0.Add(1100 * time.Millisecond)
	for came := t0; came.Before(t0.Add(2 * time.Second)); came = came.Add(50 * time.Millisecond) {
		at := came
		for range 2 {
			if at.Before(known) {
				wait, retry := enter(deadline-at.Sub(came), at)
				if at.Add(wait).Before(known) {
					at = at.Add(wait + min(retry, deadline/3))
					continue
				}
				at = known
			}
			served++
			if at.Add(work).Sub(came) <= target {
				inTime++
			}
			break
		}
	}
	return served, inTime
}

// TestStartupServesMore compares waiting for the configuration with refusing until it is
// known, with a time to come back of 500 ms.
func TestStartupServesMore(t *testing.T) {
	s := NewStartup(time.Unix(1000, 0), 0, 0)
	served, inTime := startupLoad(func(remaining time.Duration, now time.Time) (time.Duration, time.Duration) {
		wait := s.Enter(remaining, now)
		if wait > 0 {
			s.Leave()
		}
		return wait, s.RetryAfter(now)
	})
	refusedServed, refusedInTime := startupLoad(func(time.Duration, time.Time) (time.Duration, time.Duration) {
		return 0, 500 * time.Millisecond
	})
	t.Logf("of 40: %d served, %d in time; refused at first: %d, %d", served, inTime, refusedServed, refusedInTime)
	if served != 40 {
		t.Errorf("%d of 40 served", served)
	}
	if inTime < refusedInTime || served <= refusedServed {
		t.Errorf("refusing serves %d, %d of them in time", refusedServed, refusedInTime)
	}
}
