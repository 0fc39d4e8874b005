package standin

import "container/list"

// prefixCache is an LRU cache of prompt prefix blocks.
type prefixCache struct {
	max      int
	order    *list.List // most recently used first
	elements map[uint64]*list.Element
	added    []uint64
	evicted  []uint64
	hits     int64
	lookups  int64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{max: max(limit, 1), order: list.New(), elements: map[uint64]*list.Element{}}
}

func (c *prefixCache) has(p uint64) bool { return c.elements[p] != nil }

// use returns how many leading blocks of the chain were cached, and adds all of its blocks to the
// cache.
func (c *prefixCache) use(chain []uint64) int {
	covered := 0
	for covered < len(chain) && c.has(chain[covered]) {
		covered++
	}
	c.hits += int64(covered)
	c.lookups += int64(len(chain))
	for _, p := range chain {
		if e := c.elements[p]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.elements[p] = c.order.PushFront(p)
		c.added = append(c.added, p)
	}
	for c.order.Len() > c.max {
		last := c.order.Back()
		p := c.order.Remove(last).(uint64)
		delete(c.elements, p)
		c.evicted = append(c.evicted, p)
	}
	return covered
}

func (c *prefixCache) hottest(n int) []uint64 {
	var out []uint64
	for e := c.order.Front(); e != nil && len(out) < n; e = e.Next() {
		out = append(out, e.Value.(uint64))
	}
	return out
}

func (c *prefixCache) changes() (added, evicted []uint64) {
	added, evicted = c.added, c.evicted
	c.added, c.evicted = nil, nil
	return added, evicted
}
