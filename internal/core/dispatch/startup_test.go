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
		{"at the start", at(0), 12 * time.Second, configWait},
		{"later", at(600), 12 * time.Second, configWait - 600*time.Millisecond},
		{"short deadline", at(0), 2 * time.Second, 500 * time.Millisecond},
		{"takes longer than expected", at(1600), 12 * time.Second, 0},
		{"no deadline", at(0), 0, configWait},
		{"no deadline, late", at(1700), 0, 0},
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
	for range maxWaiting {
		if s.Enter(time.Minute, now) == 0 {
			t.Fatal("refused below the bound")
		}
	}
	if s.Enter(time.Minute, now) != 0 {
		t.Error("more requests wait than the bound allows")
	}
	if got := s.RetryAfter(now); got != configWait {
		t.Errorf("retry after %v, want %v: when the configuration is expected", got, configWait)
	}
	s.Leave()
	if s.Enter(time.Minute, now) == 0 {
		t.Error("refused though a waiting request has left")
	}
	if got := s.RetryAfter(now.Add(configWait)); got != overdueRetryAfter {
		t.Errorf("retry after %v, want %v", got, overdueRetryAfter)
	}
}

// simulateStartup simulates callers that arrive every 50 ms, for two seconds, at a host that
// has the configuration after 1.1 s. A caller has a deadline of 5 s, expects its answer within
// 1 s, and retries once if it is refused. It returns how many callers are served, and how many
// of them in time.
func simulateStartup(enter func(remaining time.Duration, now time.Time) (wait, retry time.Duration)) (served, inTime int) {
	const deadline, target, work = 5 * time.Second, time.Second, 150 * time.Millisecond
	t0 := time.Unix(1000, 0)
	configAt := t0.Add(1100 * time.Millisecond)
	for arrived := t0; arrived.Before(t0.Add(2 * time.Second)); arrived = arrived.Add(50 * time.Millisecond) {
		at := arrived
		for range 2 {
			if at.Before(configAt) {
				wait, retry := enter(deadline-at.Sub(arrived), at)
				if at.Add(wait).Before(configAt) {
					at = at.Add(wait + min(retry, deadline/3))
					continue
				}
				at = configAt
			}
			served++
			if at.Add(work).Sub(arrived) <= target {
				inTime++
			}
			break
		}
	}
	return served, inTime
}

// TestStartupServesMore checks that letting requests wait for the configuration serves more of
// them than refusing them, with a retry after 500 ms, until the configuration is there.
func TestStartupServesMore(t *testing.T) {
	s := NewStartup(time.Unix(1000, 0), 0, 0)
	served, inTime := simulateStartup(func(remaining time.Duration, now time.Time) (time.Duration, time.Duration) {
		wait := s.Enter(remaining, now)
		if wait > 0 {
			s.Leave()
		}
		return wait, s.RetryAfter(now)
	})
	refusedServed, refusedInTime := simulateStartup(func(time.Duration, time.Time) (time.Duration, time.Duration) {
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
