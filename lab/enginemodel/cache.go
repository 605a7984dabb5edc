package enginemodel

// Cache is a prefix cache of limited memory with least-recently-used
// eviction. Keys are the piece hashes of a prefix.Chain, so that a piece is
// only found together with all text before it and within its scope.
type Cache struct {
	capacity int
	nodes    map[uint64]*node
	// root is the sentinel of a ring: next is the newest, prev the oldest.
	root node
}

type node struct {
	key        uint64
	prev, next *node
}

// NewCache returns an empty cache that holds up to capacity pieces.
func NewCache(capacity int) *Cache {
	c := &Cache{capacity: capacity, nodes: make(map[uint64]*node, capacity)}
	c.root.prev, c.root.next = &c.root, &c.root
	return c
}

// Len returns the number of pieces held.
func (c *Cache) Len() int { return len(c.nodes) }

// Match returns how many leading pieces are held and marks them as used.
func (c *Cache) Match(pieces []uint64) int {
	n := 0
	for n < len(pieces) && c.nodes[pieces[n]] != nil {
		n++
	}
	c.touch(pieces[:n])
	return n
}

// Insert adds all pieces and evicts the least recently used beyond the
// capacity. Earlier pieces count as used later, so a chain is evicted from its end.
func (c *Cache) Insert(pieces []uint64) {
	pieces = pieces[:min(len(pieces), c.capacity)]
	for i := len(pieces) - 1; i >= 0; i-- {
		n := c.nodes[pieces[i]]
		if n == nil {
			n = c.room()
			n.key = pieces[i]
			c.nodes[n.key] = n
		} else {
			unlink(n)
		}
		c.pushFront(n)
	}
}

// Clear forgets everything.
func (c *Cache) Clear() {
	clear(c.nodes)
	c.root.prev, c.root.next = &c.root, &c.root
}

// room returns an unlinked node, evicting the oldest piece when the cache is full.
func (c *Cache) room() *node {
	if len(c.nodes) < c.capacity {
		return &node{}
	}
	n := c.root.prev
	unlink(n)
	delete(c.nodes, n.key)
	return n
}

func (c *Cache) touch(pieces []uint64) {
	for i := len(pieces) - 1; i >= 0; i-- {
		n := c.nodes[pieces[i]]
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
