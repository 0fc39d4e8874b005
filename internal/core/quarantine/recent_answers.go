package quarantine

import "time"

// answerValidity is how long after an answer no crash counts against the request. It exceeds
// the time in which crashes of several servers at once are detected.
const answerValidity = 10 * time.Second

// maxAnswersPerGeneration bounds the fingerprints in each of the two generations.
const maxAnswersPerGeneration = 8192

// recentAnswers records which requests were answered completely within answerValidity, in two
// generations. When the current one is older than answerValidity or full, it replaces the previous
// one, and a new one begins.
type recentAnswers struct {
	current, previous map[Fingerprint]time.Time
	currentSince      time.Time
}

// add records that the request was answered completely at time now.
func (s *recentAnswers) add(f Fingerprint, now time.Time) {
	if s.current == nil || now.Sub(s.currentSince) > answerValidity || len(s.current) >= maxAnswersPerGeneration {
		s.previous, s.current, s.currentSince = s.current, make(map[Fingerprint]time.Time), now
	}
	s.current[f] = now
}

// contains reports whether an answer to the request was recorded within answerValidity.
func (s *recentAnswers) contains(f Fingerprint, now time.Time) bool {
	at, ok := s.current[f]
	if !ok {
		at, ok = s.previous[f]
	}
	return ok && now.Sub(at) <= answerValidity
}
