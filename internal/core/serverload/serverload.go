// Package serverload represents the work that entry hosts have in flight at backend servers,
// which they exchange through the control hosts. Servers are identified by 4-byte keys (see
// package holders) rather than IDs: the load of a busy server then takes 14 bytes instead of
// 27, and is sent four times a second to each entry host of its region. Two servers whose keys
// collide share one load.
package serverload

import (
	"maps"
	"slices"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Load is the work in flight at one backend server.
type Load struct {
	Requests     uint32
	PromptTokens uint32 // estimated prompt tokens that await prefill
	MemoryTokens uint32 // estimated tokens in the KV cache
	PrefillMS    uint32 // prefill time of the prompts sent, in ms per second
	Deferred     uint32 // requests queued behind all others, not counted in Requests
}

// Loads maps server keys to loads.
type Loads map[uint32]Load

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{l.Requests + m.Requests, l.PromptTokens + m.PromptTokens, l.MemoryTokens + m.MemoryTokens, l.PrefillMS + m.PrefillMS, l.Deferred + m.Deferred}
}

// Minus returns the difference of two loads. Where m is larger the unsigned fields wrap around,
// and adding the result to another load subtracts the difference.
func (l Load) Minus(m Load) Load {
	return Load{l.Requests - m.Requests, l.PromptTokens - m.PromptTokens, l.MemoryTokens - m.MemoryTokens, l.PrefillMS - m.PrefillMS, l.Deferred - m.Deferred}
}

// Add adds more to l, key by key.
func (l Loads) Add(more Loads) {
	for key, m := range more {
		l[key] = l[key].Plus(m)
	}
}

// Sub subtracts loads that were added before, and deletes keys whose load becomes zero.
func (l Loads) Sub(less Loads) {
	for key, m := range less {
		if left := l[key].Minus(m); left == (Load{}) {
			delete(l, key)
		} else {
			l[key] = left
		}
	}
}

// Without returns a copy of l less part. Each field is reduced to zero at most, because the
// control host that built l may not have included all of part.
func (l Loads) Without(part Loads) Loads {
	out := maps.Clone(l)
	for key, p := range part {
		m, ok := out[key]
		if !ok {
			continue
		}
		counted := Load{
			min(m.Requests, p.Requests), min(m.PromptTokens, p.PromptTokens), min(m.MemoryTokens, p.MemoryTokens),
			min(m.PrefillMS, p.PrefillMS), min(m.Deferred, p.Deferred),
		}
		if left := m.Minus(counted); left == (Load{}) {
			delete(out, key)
		} else {
			out[key] = left
		}
	}
	return out
}

// Apply replaces the loads at the changed keys. A zero load deletes its key.
func (l Loads) Apply(changed Loads) {
	for key, m := range changed {
		if m == (Load{}) {
			delete(l, key)
		} else {
			l[key] = m
		}
	}
}

// ServiceKey returns the key under which the arrivals of a service's requests are counted, in
// Load.Requests.
func ServiceKey(service string) uint32 { return holders.Key("service\x00" + service) }

// Encode returns the message for the loads, sorted by key; nil if there are none.
func Encode(l Loads) *pb.ServerLoads {
	if len(l) == 0 {
		return nil
	}
	m := &pb.ServerLoads{}
	for _, key := range slices.Sorted(maps.Keys(l)) {
		s := l[key]
		m.Server = append(m.Server, key)
		m.Requests = append(m.Requests, s.Requests)
		m.PromptTokens = append(m.PromptTokens, s.PromptTokens)
		m.MemoryTokens = append(m.MemoryTokens, s.MemoryTokens)
		m.ReadingMs = append(m.ReadingMs, s.PrefillMS)
		m.Deferred = append(m.Deferred, s.Deferred)
	}
	return m
}

// Decode returns the loads of a message. Values missing from shorter lists are 0.
func Decode(m *pb.ServerLoads) Loads {
	out := make(Loads, len(m.GetServer()))
	for i, key := range m.GetServer() {
		out[key] = Load{
			Requests: valueAt(m.Requests, i), PromptTokens: valueAt(m.PromptTokens, i), MemoryTokens: valueAt(m.MemoryTokens, i),
			PrefillMS: valueAt(m.ReadingMs, i), Deferred: valueAt(m.Deferred, i),
		}
	}
	return out
}

func valueAt(list []uint32, i int) uint32 {
	if i < len(list) {
		return list[i]
	}
	return 0
}
