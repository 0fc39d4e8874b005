package dispatch

import (
	"math"
	"time"
)

// health records the failures and delays that this host observed at a server.
type health struct {
	failures     int          // consecutive connection failures
	blockedUntil time.Time    // no new requests before this time
	errors       decayingMean // fraction of answers that were failures (0 to 1)
	excess       decayingMean // time by which the first byte came later than estimated, in ms
}

// Back-off after connection failures, doubled with each one. A single failure often is a
// kept-alive connection that the server closed, so the first back-off is short; a server that
// is down is tried again every maxBackoff.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// sampleWeight is the weight of the latest answer in the moving averages, in which about the
// last five answers count.
const sampleWeight = 0.2

// meanHalfLife is the time in which a moving average without new samples halves, so that a
// server that was avoided is tried again.
const meanHalfLife = 3 * time.Second

type decayingMean struct {
	value float64
	at    time.Time
}

func (d *decayingMean) now(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-now.Sub(d.at).Seconds()/meanHalfLife.Seconds())
}

func (d *decayingMean) add(sample float64, now time.Time) {
	d.value = d.now(now)*(1-sampleWeight) + sample*sampleWeight
	d.at = now
}

func (h *health) recordConnectionFailure(now time.Time) {
	backoff := min(minBackoff<<min(h.failures, 4), maxBackoff)
	h.failures++
	h.blockedUntil = now.Add(backoff)
	h.errors.add(1, now)
}

func (h *health) recordAnswer(failed bool, excess time.Duration, now time.Time) {
	h.failures = 0
	h.blockedUntil = time.Time{}
	sample := 0.0
	if failed {
		sample = 1
	}
	h.errors.add(sample, now)
	if !failed {
		h.excess.add(max(0, float64(excess.Milliseconds())), now)
	}
}
