package engine

import "container/list"

// cache is a prefix cache of limited memory with least-recently-used eviction.
type cache struct {
	capacity int // pieces
	order    *list.List
	pieces   map[uint64]*list.Element
	events   []event
	sequence uint64
}

// event tells that a piece was stored or evicted.
type event struct {
	sequence uint64
	piece    uint64
	evicted  bool
}

// maxEvents bounds the cache events kept for readers that fall behind.
const maxEvents = 4096

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), pieces: map[uint64]*list.Element{}}
}

// admit stores the pieces of a prompt and returns how many of them, counted
// from the first without a gap, were stored already.
func (c *cache) admit(pieces []uint64) (hits int) {
	for hits < len(pieces) && c.pieces[pieces[hits]] != nil {
		hits++
	}
	for _, p := range pieces {
		if e, ok := c.pieces[p]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.pieces[p] = c.order.PushFront(p)
		c.record(p, false)
	}
	for len(c.pieces) > c.capacity {
		last := c.order.Back()
		p := c.order.Remove(last).(uint64)
		delete(c.pieces, p)
		c.record(p, true)
	}
	return hits
}

func (c *cache) record(piece uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, event{sequence: c.sequence, piece: piece, evicted: evicted})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

func (c *cache) since(after uint64) []event {
	for i, e := range c.events {
		if e.sequence > after {
			return c.events[i:]
		}
	}
	return nil
}
