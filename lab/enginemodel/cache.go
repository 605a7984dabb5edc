package enginemodel

// Cache is a prefix cache of limited size with least-recently-used eviction. Keys
// are the block hashes of a prefix.Chain. These cover all text before the block
// and the scope, so a block matches only with the same prefix and scope.
type Cache struct {
	capacity int
	nodes    map[uint64]*node
	// root is the sentinel of a circular list: next is the most recently used
	// node, prev the least recently used.
	root node
}

type node struct {
	key        uint64
	prev, next *node
}

// NewCache returns an empty cache that holds up to capacity blocks.
func NewCache(capacity int) *Cache {
	c := &Cache{capacity: capacity, nodes: make(map[uint64]*node, capacity)}
	c.root.prev, c.root.next = &c.root, &c.root
	return c
}

// Len returns the number of cached blocks.
func (c *Cache) Len() int { return len(c.nodes) }

// Match returns how many leading blocks are cached and marks them as used.
func (c *Cache) Match(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.nodes[blocks[n]] != nil {
		n++
	}
	c.markUsed(blocks[:n])
	return n
}

// Insert adds the blocks, up to the capacity, and evicts the least recently used
// ones. It marks earlier blocks as used later, so that a chain is evicted from its end.
func (c *Cache) Insert(blocks []uint64) {
	blocks = blocks[:min(len(blocks), c.capacity)]
	for i := len(blocks) - 1; i >= 0; i-- {
		n := c.nodes[blocks[i]]
		if n == nil {
			n = c.allocate()
			n.key = blocks[i]
			c.nodes[n.key] = n
		} else {
			unlink(n)
		}
		c.pushFront(n)
	}
}

// Clear empties the cache.
func (c *Cache) Clear() {
	clear(c.nodes)
	c.root.prev, c.root.next = &c.root, &c.root
}

// allocate returns an unlinked node. It evicts the least recently used block if the
// cache is full.
func (c *Cache) allocate() *node {
	if len(c.nodes) < c.capacity {
		return &node{}
	}
	n := c.root.prev
	unlink(n)
	delete(c.nodes, n.key)
	return n
}

func (c *Cache) markUsed(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		n := c.nodes[blocks[i]]
		unlink(n)
		c.pushFront(n)
	}
}

func (c *Cache) pushFront(n *node) {
	n.prev, n.next = &c.root, c.root.next
	n.prev.next, n.next.prev = n, n
}

func unlink(n *node) {
	n.prev.next, n.next.prev = n.next, n.prev
}
