package dispatch

import (
	"math"
	"time"
)

// Servers tell with their answers how many requests they have. What control hosts tell of the
// other entry hosts' requests is complete only while control hosts reach each other: during a
// cut each tells of its own failure domain's hosts only, and all hosts together send servers
// several times what they take them to have. So what servers told is compared with what was
// known of them at that moment, and what others have under way is taken to be as many times
// more everywhere (TestOverloadWhileControlHostsAreCut).

// Figures of the comparison.
const (
	// observedMemory is how fast a comparison fades: about as many answers as there are
	// servers, and less than a cut lasts.
	observedMemory = time.Second
	// observedPrior is how many requests count as observed just as they were known, so that
	// few answers change nothing.
	observedPrior = 20.0
	// maxHidden bounds how many times more requests there are than is known.
	maxHidden = 8.0
)

// observed compares what servers told with what was known.
type observed struct {
	seen, known float64
	at          time.Time
}

func (o *observed) add(seen, known float64, now time.Time) {
	fade := math.Exp(-max(0, now.Sub(o.at).Seconds()) / observedMemory.Seconds())
	o.seen, o.known, o.at = o.seen*fade+seen, o.known*fade+known, now
}

// hidden returns how many times more requests others have than is known; at least 1.
func (o *observed) hidden(now time.Time) float64 {
	if o == nil {
		return 1
	}
	fade := math.Exp(-max(0, now.Sub(o.at).Seconds()) / observedMemory.Seconds())
	return min(maxHidden, max(1, (o.seen*fade+observedPrior)/(o.known*fade+observedPrior)))
}

// Observed takes how many requests the server of an attempt told that it has, running and
// waiting, with the head of its answer.
func (f *Fleet) Observed(c *Choice, requests int, now time.Time) {
	s := c.Server
	if s == nil || f.off(LoadsObserved) {
		return
	}
	o := f.observed[s.Service]
	if o == nil {
		o = &observed{}
		f.observed[s.Service] = o
	}
	o.add(math.Max(0, float64(requests-s.underWay())), float64(s.others.requests+s.othersDeferred), now)
}

// requestsAt returns the requests that a server of the own region is taken to have.
func (f *Fleet) requestsAt(s *Server, now time.Time) float64 {
	return float64(s.own.requests) + f.hidden(s.Service, now)*float64(s.others.requests)
}

// hidden returns how many times more work others have at the own region's servers than is known.
func (f *Fleet) hidden(service string, now time.Time) float64 { return f.observed[service].hidden(now) }
