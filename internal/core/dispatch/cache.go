package dispatch

import (
	"container/list"
	"time"
)

// Part is a piece of a prompt that several requests may have in common. A server's prefix cache
// covers a part only if it covers all parts before it.
type Part struct {
	ID     string
	Tokens int
}

// partCache estimates which prompt parts are in a server's prefix cache, from the requests that
// this host sent there. It evicts the least recently used part, as the engine does.
type partCache struct {
	order       *list.List // most recently used first
	byID        map[string]*list.Element
	totalTokens int
}

type cachedPart struct {
	id     string
	tokens int
	used   time.Time
}

func newPartCache() *partCache {
	return &partCache{order: list.New(), byID: map[string]*list.Element{}}
}

// coveredTokens returns how many tokens of the prompt the server probably has cached, if the
// server drops a part that has not been used for the duration kept.
func (c *partCache) coveredTokens(parts []Part, kept time.Duration, now time.Time) int {
	sum := 0
	for _, p := range parts {
		e := c.byID[p.ID]
		if e == nil || now.Sub(e.Value.(*cachedPart).used) > kept {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// recordUse records that a request with these parts was sent, and evicts parts beyond capacity,
// in tokens.
func (c *partCache) recordUse(parts []Part, capacity int, now time.Time) {
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.byID[p.ID]; e != nil {
			c.order.MoveToFront(e)
			e.Value.(*cachedPart).used = now
			continue
		}
		c.byID[p.ID] = c.order.PushFront(&cachedPart{p.ID, p.Tokens, now})
		c.totalTokens += p.Tokens
	}
	for c.totalTokens > capacity && c.order.Len() > 0 {
		e := c.order.Back()
		old := c.order.Remove(e).(*cachedPart)
		delete(c.byID, old.id)
		c.totalTokens -= old.tokens
	}
}
