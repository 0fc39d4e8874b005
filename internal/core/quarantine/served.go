package quarantine

import "time"

// servedHolds is how long an answer speaks for a request: longer than the ends of several
// servers at once take to be noticed.
const servedHolds = 10 * time.Second

// servedKept bounds the requests of each half of that time.
const servedKept = 8192

// served remembers which requests were answered to their end lately, in two halves of which
// the older is dropped when the newer is full of time.
type served struct {
	now, before map[Fingerprint]time.Time
	began       time.Time
}

func (s *served) note(f Fingerprint, now time.Time) {
	if s.now == nil || now.Sub(s.began) > servedHolds || len(s.now) >= servedKept {
		s.before, s.now, s.began = s.now, make(map[Fingerprint]time.Time), now
	}
	s.now[f] = now
}

func (s *served) lately(f Fingerprint, now time.Time) bool {
	at, ok := s.now[f]
	if !ok {
		at, ok = s.before[f]
	}
	return ok && now.Sub(at) <= servedHolds
}
