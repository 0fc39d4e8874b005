package serverspeed

import (
	"slices"
	"time"
)

// Parameters of the comparison of event intervals.
const (
	// usualSpacing is the shortest time between two intervals that count for the usual one: the intervals of a
	// batch of streams in one slow moment count once or a few times.
	usualSpacing = 100 * time.Millisecond
	// usualWindow is the number of intervals whose lower median is the usual one: at least 3 s, in which slow
	// moments take less than half of the time.
	usualWindow = 32
	// minUsual is the number of intervals from which on the usual one is known.
	minUsual = 8
	// slowIntervals is the number of slow intervals in a row that show a slow moment. A single one may be due to a
	// prompt of another host that is not known here yet.
	slowIntervals = 2
	// minSlowdown and maxSlowdown bound the slowdown that intervals can show. The batch changes intervals by less
	// than the lower one; a higher ratio than the upper one is more likely a stalled stream.
	minSlowdown = 1.6
	maxSlowdown = 4.0
	// maxInterval is the longest interval that counts: a longer one says nothing about the speed.
	maxInterval = 5 * time.Second
)

// intervals compares the latest intervals between the events of a server's streams with its usual interval.
type intervals struct {
	usual   []float64 // in ms, a ring
	next    int
	usualMS float64 // 0 until minUsual intervals are known
	usualAt time.Time
	latest  [slowIntervals]float64 // in ms, newest first
	at      time.Time
}

func (v *intervals) add(interval time.Duration, now time.Time) {
	if interval <= 0 || interval > maxInterval {
		return
	}
	if now.Sub(v.at) > MomentaryTime {
		v.latest = [slowIntervals]float64{}
	}
	ms := float64(interval) / float64(time.Millisecond)
	copy(v.latest[1:], v.latest[:])
	v.latest[0], v.at = ms, now
	if now.Sub(v.usualAt) >= usualSpacing {
		v.usualAt = now
		v.addUsual(ms)
	}
}

func (v *intervals) addUsual(ms float64) {
	if len(v.usual) < usualWindow {
		v.usual = append(v.usual, ms)
	} else {
		v.usual[v.next] = ms
	}
	v.next = (v.next + 1) % usualWindow
	if len(v.usual) >= minUsual {
		v.usualMS = lowerMedian(v.usual)
	}
}

// slowdown returns the factor by which the latest intervals exceed the usual one; 1 if they are not all longer, or
// older than MomentaryTime.
func (v *intervals) slowdown(now time.Time) float64 {
	if v.usualMS == 0 || now.Sub(v.at) > MomentaryTime {
		return 1
	}
	ratio := slices.Min(v.latest[:]) / v.usualMS
	if ratio < minSlowdown {
		return 1
	}
	return min(ratio, maxSlowdown)
}
