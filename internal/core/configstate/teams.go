package configstate

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"
)

// Units of quotas.
const (
	UnitRequests = "requests"
	UnitTokens   = "tokens" // prompt tokens plus the maximum number of generated tokens
)

// Quota limits the rate at which all entry hosts together send a team's requests to servers.
type Quota struct {
	// Unit is "requests" or "tokens".
	Unit string `json:"unit"`
	// PerSecond is the rate and Burst the burst size, in units: in any period of t seconds at
	// most PerSecond*t + Burst may be sent.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	// PlainTokens is the cost of a request that states no token count, with unit "tokens".
	PlainTokens float64 `json:"plain_tokens,omitempty"`
}

// Cost returns the cost of a request in units. tokens is its stated token count, negative if
// it states none.
func (q *Quota) Cost(tokens float64) float64 {
	switch {
	case q.Unit != UnitTokens:
		return 1
	case tokens < 0:
		return q.PlainTokens
	}
	return tokens
}

// KeyHash returns the hash that stands for a key in a record: SHA-256 in hex.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamByKey returns the team with the key hash.
func (r *Record) TeamByKey(hash string) (*Team, bool) {
	t, ok := r.teamsByKey[hash]
	return t, ok
}

// Permits reports whether servers of the region may run the team's requests on routes. For a nil
// team, a request without a team, every region is permitted.
func (t *Team) Permits(region string) bool {
	return t == nil || len(t.Homes) == 0 || slices.Contains(t.Homes, region)
}

// indexTeams indexes the teams by their key hashes.
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
		v.addError(field+".unit", "%q is not one of requests, tokens", q.Unit)
	}
	v.checkRange(field+".per_second", q.PerSecond, math.SmallestNonzeroFloat64, math.MaxFloat64)
	v.checkRange(field+".burst", q.Burst, 0, math.MaxFloat64)
	v.checkRange(field+".plain_tokens", q.PlainTokens, 0, math.MaxFloat64)
}
