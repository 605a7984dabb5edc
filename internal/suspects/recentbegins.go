package suspects

import (
	"sync"
	"time"
)

// recentBegins remembers the parts on which answers were begun within provenWindow, at
// most maxRecentParts in each of two generations. It is safe for concurrent use.
type recentBegins struct {
	mu         sync.Mutex
	young, old map[string]time.Time
	// since is when the young generation began.
	since time.Time
}

// add records that an answer to a prompt with the parts was begun.
func (b *recentBegins) add(parts []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.since) > provenWindow || len(b.young)+len(parts) > maxRecentParts {
		b.old, b.young, b.since = b.young, make(map[string]time.Time, len(parts)), now
	}
	for _, part := range parts[:min(len(parts), maxRecentParts)] {
		b.young[part] = now
	}
}

// latest returns when an answer to a prompt with the part was last begun.
func (b *recentBegins) latest(part string) (at time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at, ok = b.young[part]; ok {
		return at, true
	}
	at, ok = b.old[part]
	return at, ok
}
