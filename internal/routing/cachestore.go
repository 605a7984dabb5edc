package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// leastSaved is the number of shared tokens from which a prompt is saved:
	// fewer are computed sooner than they are moved.
	leastSaved = 1000
	// saveLife is how long a prompt that was told to be saved counts as on its way.
	saveLife = 3 * time.Second
	// maxStoredParts bounds what is remembered of the store.
	maxStoredParts = 1 << 15
)

// cacheStore is what the daemon knows of the store of cached prompts.
type cacheStore struct {
	CacheStore
	// serving is set while the store answers and its events are read.
	serving bool
	// parts are the tokens that the store keeps, by storedKey.
	parts map[uint64]int
	// saving are prompts on their way, by the key of their last shared part.
	saving map[uint64]time.Time
}

// storedKey joins a part with the version of the weights that made it.
func storedKey(part uint64, version int) uint64 { return prefix.Score(part, uint64(version)) }

var _ CacheStoreUser = (*Policy)(nil)

// SetCacheStore implements CacheStoreUser.
func (p *Policy) SetCacheStore(now time.Time, store *CacheStore) {
	p.tick(now)
	switch {
	case store == nil:
		p.store = nil
	case p.store == nil || p.store.ID != store.ID:
		p.store = &cacheStore{CacheStore: *store, serving: store.Serving, parts: map[uint64]int{}, saving: map[uint64]time.Time{}}
	default:
		p.store.CacheStore = *store
	}
}

// Stored implements CacheStoreUser.
func (p *Policy) Stored(now time.Time, part uint64, version, tokens int) {
	p.tick(now)
	s := p.store
	if s == nil {
		return
	}
	key := storedKey(part, version)
	if tokens == 0 {
		delete(s.parts, key)
		return
	}
	delete(s.saving, key)
	if len(s.parts) < maxStoredParts {
		s.parts[key] = tokens
	}
}

// StoreReset implements CacheStoreUser.
func (p *Policy) StoreReset(now time.Time, serving bool) {
	p.tick(now)
	if s := p.store; s != nil {
		s.serving = serving
		clear(s.parts)
		clear(s.saving)
	}
}

// stored returns the number of leading pieces of a prompt that the store keeps
// as made under a version.
func (p *Policy) stored(r *Request, version int) int {
	s := p.store
	if s == nil || !s.serving || !p.rules.cacheStore || version == 0 {
		return 0
	}
	return heldPieces(&r.Chain, func(part uint64) int { return s.parts[storedKey(part, version)] })
}

// save reports whether an engine of a version should save the prompt, and
// notes that it does.
func (p *Policy) save(now time.Time, r *Request, version int) bool {
	s := p.store
	shared := placement.SharedLevels(&r.Chain)
	if s == nil || !s.serving || !p.rules.cacheStore || version == 0 || shared == 0 || r.Chain.Parts == nil {
		return false
	}
	pieces := r.Chain.LevelPieces[shared-1]
	if pieces < leastSaved || p.stored(r, version) >= pieces*wholePercent/100 {
		return false
	}
	key := storedKey(r.Chain.Parts[shared-1], version)
	if at, ok := s.saving[key]; ok && now.Sub(at) < saveLife {
		return false
	}
	for k, at := range s.saving {
		if now.Sub(at) >= saveLife {
			delete(s.saving, k)
		}
	}
	s.saving[key] = now
	return true
}
