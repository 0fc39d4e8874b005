package configstate

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"
)

// Units in which quotas count.
const (
	UnitRequests = "requests"
	UnitTokens   = "tokens" // of prompts, and the most that may be generated
)

// Quota bounds what all entry hosts together send of a team's requests.
type Quota struct {
	// Unit is "requests" or "tokens".
	Unit string `json:"unit"`
	// PerSecond and Burst are in units: over any time t, in s, PerSecond*t + Burst may be sent.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	// PlainTokens is what a request counts that states no tokens, with unit "tokens".
	PlainTokens float64 `json:"plain_tokens,omitempty"`
}

// Cost returns the units of a request. tokens is what it states; below 0 for nothing.
func (q *Quota) Cost(tokens float64) float64 {
	switch {
	case q.Unit != UnitTokens:
		return 1
	case tokens < 0:
		return q.PlainTokens
	}
	return tokens
}

// KeyHash returns the hash by which a record knows a key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamByKey returns the team that holds the key with the hash.
func (r *Record) TeamByKey(hash string) (*Team, bool) {
	t, ok := r.teamsByKey[hash]
	return t, ok
}

// Permits reports whether servers of the region may run the team's requests on routes. A
// request of no team may run anywhere.
func (t *Team) Permits(region string) bool {
	return t == nil || len(t.Homes) == 0 || slices.Contains(t.Homes, region)
}

func (r *Record) indexTeams() {
	r.teamsByKey = map[string]*Team{}
	for i := range r.Teams {
		for _, h := range r.Teams[i].KeyHashes {
			r.teamsByKey[h] = &r.Teams[i]
		}
	}
}

func (v *validator) checkQuota(field string, q *Quota) {
	if q == nil {
		return
	}
	if q.Unit != UnitRequests && q.Unit != UnitTokens {
		v.fail(field+".unit", "%q is not one of requests, tokens", q.Unit)
	}
	v.checkRange(field+".per_second", q.PerSecond, math.SmallestNonzeroFloat64, math.MaxFloat64)
	v.checkRange(field+".burst", q.Burst, 0, math.MaxFloat64)
	v.checkRange(field+".plain_tokens", q.PlainTokens, 0, math.MaxFloat64)
}
