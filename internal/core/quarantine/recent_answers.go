package quarantine

import "time"

// How long an answer counts, and how many answers are remembered.
const (
	// requestAnswerValidity is how long after an answer to a request no crash counts against it. It
	// exceeds the time in which crashes of several servers at once are detected.
	requestAnswerValidity = 10 * time.Second
	// partAnswerValidity is the same for a prompt part at one release. A part that crashes servers
	// crashes all of a release, so that an answer proves it sound also while few are answered.
	partAnswerValidity = 3 * time.Minute
	// maxAnswersPerGeneration bounds the answers in each of the two generations.
	maxAnswersPerGeneration = 8192
)

// answered is what a complete answer proves sound: a request, or a prompt part at a release.
type answered struct {
	fingerprint Fingerprint
	release     string
}

// recentAnswers records what was answered completely within the validity, in two generations. When
// the current one is older than the validity or full, it replaces the previous one, and a new one
// begins.
type recentAnswers struct {
	validity          time.Duration
	current, previous map[answered]time.Time
	currentSince      time.Time
}

// add records a complete answer at time now.
func (s *recentAnswers) add(a answered, now time.Time) {
	if s.current == nil || now.Sub(s.currentSince) > s.validity || len(s.current) >= maxAnswersPerGeneration {
		s.previous, s.current, s.currentSince = s.current, make(map[answered]time.Time), now
	}
	s.current[a] = now
}

// contains reports whether an answer was recorded within the validity.
func (s *recentAnswers) contains(a answered, now time.Time) bool {
	at, ok := s.current[a]
	if !ok {
		at, ok = s.previous[a]
	}
	return ok && now.Sub(at) <= s.validity
}
