package upstream

import "context"

// CacheChange tells that an engine stored or evicted a part of a prompt.
type CacheChange struct {
	// Scope is the text under which the part was cached.
	Scope string
	Part  string
	// Tokens is how many tokens of the part are stored now; 0 means none.
	Tokens int
	Model  string
}

// CacheChanges is a piece of an engine's history of changes.
type CacheChanges struct {
	// Epoch changes when the engine restarts with an empty cache.
	Epoch int64
	// Next is the position to go on from.
	Next int64
	// Lost says that changes before these are missing.
	Lost    bool
	Changes []CacheChange
}

// CacheEvents is the port to engines' histories of what they cache.
type CacheEvents interface {
	// CacheChanges waits for changes after a position, for as long as the
	// engine allows.
	CacheChanges(ctx context.Context, engine, address string, since int64) (CacheChanges, error)
}
