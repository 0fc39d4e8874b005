package enginememory

import "math"

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens float64
}

// Request is the memory that a request occupies while it runs.
type Request struct {
	Shared []Part  // parts that the engine keeps once for all requests that have them
	Own    float64 // the rest of the prompt and the expected answer
}

// Holding is what the requests of one host hold at an engine. A shared part counts once, for as long as any request
// uses it: the engine cannot evict it in that time. The zero value is empty. It is not safe for concurrent use.
type Holding struct {
	parts  map[string]usedPart
	tokens float64
}

type usedPart struct {
	users  int
	tokens float64
}

// Tokens returns the number of tokens that are held.
func (h *Holding) Tokens() float64 { return math.Max(0, h.tokens) }

// Needs returns by how many tokens a request would raise the holding.
func (h *Holding) Needs(r Request) float64 {
	need := r.Own
	for _, p := range r.Shared {
		if h.parts[p.ID].users == 0 {
			need += p.Tokens
		}
	}
	return need
}

// Add adds a request.
func (h *Holding) Add(r Request) {
	h.tokens += r.Own
	if h.parts == nil {
		h.parts = map[string]usedPart{}
	}
	for _, p := range r.Shared {
		u := h.parts[p.ID]
		if u.users == 0 {
			u.tokens = p.Tokens
			h.tokens += p.Tokens
		}
		u.users++
		h.parts[p.ID] = u
	}
}

// Remove removes a request that was added.
func (h *Holding) Remove(r Request) {
	h.tokens -= r.Own
	for _, p := range r.Shared {
		u, ok := h.parts[p.ID]
		switch {
		case !ok:
		case u.users > 1:
			u.users--
			h.parts[p.ID] = u
		default:
			h.tokens -= u.tokens
			delete(h.parts, p.ID)
		}
	}
}
