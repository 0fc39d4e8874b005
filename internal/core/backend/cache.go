package backend

// cache is an entry host's view of the prefixes that one server holds. Announcements contain the
// hottest ones, events report additions and evictions, and prefixes that this host sent there
// recently count as held until an eviction is reported or the view is cleared.
type cache struct {
	held      map[uint64]bool
	ring      []uint64 // sent and reported prefixes, oldest first
	nextBatch uint64   // expected number of the next event batch
}

// maxPrefixes bounds the prefixes held for one server.
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

func (c *cache) addAll(prefixes []uint64) {
	for _, p := range prefixes {
		c.add(p)
	}
}

func (c *cache) recordSent(prefixes []uint64) { c.addAll(prefixes) }

func (c *cache) events(batch uint64, added, evicted []uint64) (gap bool) {
	gap = c.nextBatch != 0 && batch != c.nextBatch
	if gap {
		c.held, c.ring = map[uint64]bool{}, nil
	}
	c.nextBatch = batch + 1
	for _, p := range added {
		c.add(p)
	}
	for _, p := range evicted {
		delete(c.held, p)
	}
	return gap
}

// heldShare returns the share of the chain's leading prefixes that are held (0 to 1).
func (c *cache) heldShare(prefixes []uint64) float64 {
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
