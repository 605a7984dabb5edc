package upstream

import "context"

// CacheChange reports that an engine stored or evicted a part of a prompt.
type CacheChange struct {
	// Scope is the cache scope under which the part was cached, as the engine
	// received it with the request.
	Scope string
	Part  string
	// Tokens is how many tokens of the part are stored now; 0 means none.
	Tokens int
	Model  string
}

// CacheChanges is a section of an engine's log of cache changes.
type CacheChanges struct {
	// Epoch changes when the engine restarts with an empty cache.
	Epoch int64
	// Next is the position from which to continue.
	Next int64
	// Lost reports that changes before these are missing.
	Lost    bool
	Changes []CacheChange
}

// CacheChangeReader reads engines' logs of cache changes.
type CacheChangeReader interface {
	// CacheChanges returns the changes after position since. It long-polls: it
	// waits for changes up to the engine's limit.
	CacheChanges(ctx context.Context, engine, address string, since int64) (CacheChanges, error)
}
