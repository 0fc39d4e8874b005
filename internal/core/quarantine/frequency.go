package quarantine

import "time"

// Bounds of the record of how often parts are requested.
const (
	// frequencyWindow is the time that one of the two generations covers.
	frequencyWindow = 10 * time.Second
	// maxPartsPerGeneration bounds the parts in each generation; further ones count as rare.
	maxPartsPerGeneration = 8192
	// minPartRequests is the number of requests with a part from which its share is known.
	minPartRequests = 4
)

// frequency records which share of this host's recent requests has a prompt part, in two
// generations.
type frequency struct {
	current, previous frequencyGeneration
	since             time.Time
}

type frequencyGeneration struct {
	requests int
	byPart   map[Fingerprint]int
}

// add records a request with the given parts.
func (q *frequency) add(parts []Part, now time.Time) {
	if q.current.byPart == nil || now.Sub(q.since) > frequencyWindow {
		q.previous, q.current, q.since = q.current, frequencyGeneration{byPart: map[Fingerprint]int{}}, now
	}
	q.current.requests++
	for _, p := range parts {
		if _, known := q.current.byPart[p.Fingerprint]; known || len(q.current.byPart) < maxPartsPerGeneration {
			q.current.byPart[p.Fingerprint]++
		}
	}
}

// share returns the share of the recent requests that has the part; 0 if it is rare.
func (q *frequency) share(f Fingerprint) float64 {
	n := q.current.byPart[f] + q.previous.byPart[f]
	if n < minPartRequests {
		return 0
	}
	return float64(n) / float64(q.current.requests+q.previous.requests)
}
