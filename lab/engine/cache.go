package engine

import "container/list"

// cache is a prefix cache of limited size with least-recently-used eviction.
type cache struct {
	capacityBlocks int
	lru            *list.List
	blocks         map[uint64]*list.Element
	events         []cacheEvent
	sequence       uint64
}

// cacheEvent records that a block was stored or evicted.
type cacheEvent struct {
	sequence uint64
	block    uint64
	evicted  bool
}

// maxCacheEvents limits the events kept for readers that fall behind.
const maxCacheEvents = 4096

func newCache(capacityBlocks int) *cache {
	return &cache{capacityBlocks: capacityBlocks, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// admit stores the blocks of a prompt and returns how many leading blocks were
// cached already.
func (c *cache) admit(blocks []uint64) (hits int) {
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	for _, p := range blocks {
		if e, ok := c.blocks[p]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[p] = c.lru.PushFront(p)
		c.recordEvent(p, false)
	}
	for len(c.blocks) > c.capacityBlocks {
		last := c.lru.Back()
		p := c.lru.Remove(last).(uint64)
		delete(c.blocks, p)
		c.recordEvent(p, true)
	}
	return hits
}

func (c *cache) recordEvent(block uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, cacheEvent{sequence: c.sequence, block: block, evicted: evicted})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *cache) eventsAfter(after uint64) []cacheEvent {
	for i, e := range c.events {
		if e.sequence > after {
			return c.events[i:]
		}
	}
	return nil
}
