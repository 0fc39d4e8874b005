package overload

import (
	"math"
	"time"
)

// Parameters of the permitted backlog, as a part of the latency target.
const (
	// maxBacklogPart leaves three quarters of the target for the network and the work itself.
	maxBacklogPart = 0.25
	// minBacklogPart keeps a few requests waiting, so that slots do not become idle between two updates.
	minBacklogPart = 0.02
	// backlogDecrease is the factor by which a rejection lowers the part.
	backlogDecrease = 0.7
	// backlogIncrease is the addition per second with answers: from the minimum to the maximum in 5 s.
	backlogIncrease = 0.05
	// rejectionInterval is the time in which several rejections count as one: the age of the load figures, so that the
	// effect of the first reduction is known before the next one.
	rejectionInterval = 350 * time.Millisecond
	// maxIncreaseTime is the longest time without answers that counts as time with answers.
	maxIncreaseTime = 100 * time.Millisecond
)

// backlogPart is the permitted wait at servers as a part of the latency target. Rejections by full servers lower it
// by a factor, and answers raise it by a constant per second.
type backlogPart struct {
	value               float64
	refusedAt, servedAt time.Time
}

func newBacklogPart() backlogPart { return backlogPart{value: maxBacklogPart} }

func (b *backlogPart) refused(now time.Time) {
	if now.Sub(b.refusedAt) < rejectionInterval {
		return
	}
	b.refusedAt = now
	b.value = math.Max(minBacklogPart, b.value*backlogDecrease)
}

func (b *backlogPart) served(now time.Time) {
	elapsed := min(max(0, now.Sub(b.servedAt)), maxIncreaseTime)
	b.servedAt = now
	b.value = math.Min(maxBacklogPart, b.value+backlogIncrease*elapsed.Seconds())
}
