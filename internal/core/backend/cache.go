package backend

// cache is a host's view of the prefixes that one server holds. Announcements
// name the hottest, events tell of additions and evictions, and prefixes that
// this host sent there lately count as held until evidence says otherwise.
type cache struct {
	held map[uint64]bool
	ring []uint64 // own and reported prefixes, oldest first
	next uint64   // number of the next event batch
}

// maxPrefixes bounds the view of one server.
const maxPrefixes = 4096

func newCache() *cache { return &cache{held: map[uint64]bool{}} }

func (c *cache) add(p uint64) {
	if c.held[p] {
		return
	}
	c.held[p] = true
	c.ring = append(c.ring, p)
	for len(c.ring) > maxPrefixes {
		delete(c.held, c.ring[0])
		c.ring = c.ring[1:]
	}
}

func (c *cache) advertise(prefixes []uint64) {
	for _, p := range prefixes {
		c.add(p)
	}
}

func (c *cache) sent(prefixes []uint64) { c.advertise(prefixes) }

func (c *cache) events(first uint64, added, evicted []uint64) (gap bool) {
	gap = c.next != 0 && first != c.next
	if gap {
		c.held, c.ring = map[uint64]bool{}, nil
	}
	c.next = first + 1
	for _, p := range added {
		c.add(p)
	}
	for _, p := range evicted {
		delete(c.held, p)
	}
	return gap
}

// covered returns the share of the chain's leading prefixes that is held.
func (c *cache) covered(prefixes []uint64) float64 {
	n := 0
	for _, p := range prefixes {
		if !c.held[p] {
			break
		}
		n++
	}
	if len(prefixes) == 0 {
		return 0
	}
	return float64(n) / float64(len(prefixes))
}
