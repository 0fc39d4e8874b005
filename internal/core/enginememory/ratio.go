package enginememory

import (
	"math"
	"time"
)

// Hosts report the tokens that their requests add to what engines have cached. Cached parts that requests use cannot be
// evicted either, and are not reported. All hosts have requests of the same kinds, so the ratio between what this
// host's requests hold and what it reports of them is applied to what others report.
const (
	// ratioTimeConstant is the time constant with which samples lose weight: it covers the requests in flight.
	ratioTimeConstant = 10 * time.Second
	// ratioPrior is a number of tokens added to both sides, two long prompts, so that few requests change little.
	ratioPrior = 20_000.0
	// maxRatio bounds the ratio: it would be unbounded for prompts that are cached in full.
	maxRatio = 8.0
)

// Ratio is the ratio between the tokens that a host's requests hold and those that it reports of them. The zero value
// has no samples. It is not safe for concurrent use.
type Ratio struct {
	held, reported float64 // exponentially decaying sums
	at             time.Time
}

// Add adds a request that was sent: the tokens by which it raises what is held, and those reported.
func (r *Ratio) Add(held, reported float64, now time.Time) {
	fade := r.fade(now)
	r.held, r.reported, r.at = r.held*fade+held, r.reported*fade+reported, now
}

// At returns the ratio, from 1 to maxRatio.
func (r *Ratio) At(now time.Time) float64 {
	fade := r.fade(now)
	return math.Min(maxRatio, math.Max(1, (r.held*fade+ratioPrior)/(r.reported*fade+ratioPrior)))
}

func (r *Ratio) fade(now time.Time) float64 {
	return math.Exp(-math.Max(0, now.Sub(r.at).Seconds()) / ratioTimeConstant.Seconds())
}
