package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// minSaveTokens is the number of shared tokens from which a prompt is saved;
	// fewer take less time to compute than to transfer.
	minSaveTokens = 1000
	// saveTimeout is how long a requested save counts as in progress.
	saveTimeout = 3 * time.Second
	// maxStoredParts bounds the parts recorded for the store.
	maxStoredParts = 1 << 15
)

// cacheStore is the daemon's view of the store of cached prompts.
type cacheStore struct {
	CacheStore
	// serving is true while the store is available and its events are followed.
	serving bool
	// tokensByPart is the number of tokens stored, by storedKey.
	tokensByPart map[uint64]int
	// savingSince is when the save of a prompt was requested, by the storedKey of
	// the prompt's last shared part.
	savingSince map[uint64]time.Time
}

// storedKey combines a part's key with the version of the weights that computed it.
func storedKey(part uint64, version int) uint64 { return prefix.Score(part, uint64(version)) }

var _ CacheStoreUser = (*Policy)(nil)

// SetCacheStore implements CacheStoreUser.
func (p *Policy) SetCacheStore(now time.Time, store *CacheStore) {
	p.setNow(now)
	switch {
	case store == nil:
		p.cacheStore = nil
	case p.cacheStore == nil || p.cacheStore.ID != store.ID:
		p.cacheStore = &cacheStore{CacheStore: *store, serving: store.Serving, tokensByPart: map[uint64]int{}, savingSince: map[uint64]time.Time{}}
	default:
		p.cacheStore.CacheStore = *store
	}
}

// PartStored implements CacheStoreUser.
func (p *Policy) PartStored(now time.Time, part uint64, version, tokens int) {
	p.setNow(now)
	s := p.cacheStore
	if s == nil {
		return
	}
	key := storedKey(part, version)
	if tokens == 0 {
		delete(s.tokensByPart, key)
		return
	}
	delete(s.savingSince, key)
	if len(s.tokensByPart) < maxStoredParts {
		s.tokensByPart[key] = tokens
	}
}

// StoreReset implements CacheStoreUser.
func (p *Policy) StoreReset(now time.Time, serving bool) {
	p.setNow(now)
	if s := p.cacheStore; s != nil {
		s.serving = serving
		clear(s.tokensByPart)
		clear(s.savingSince)
	}
}

// storedBlocks returns the number of leading blocks of a prompt that the store
// keeps for a version of the weights.
func (p *Policy) storedBlocks(r *Request, version int) int {
	s := p.cacheStore
	if s == nil || !s.serving || !p.rules.cacheStore || version == 0 {
		return 0
	}
	return leadingBlocks(&r.Chain, func(part uint64) int { return s.tokensByPart[storedKey(part, version)] })
}

// startSave reports whether an engine with a version of the weights should save
// the prompt, and records the save as in progress.
func (p *Policy) startSave(now time.Time, r *Request, version int) bool {
	s := p.cacheStore
	shared := placement.SharedLevels(&r.Chain)
	if s == nil || !s.serving || !p.rules.cacheStore || version == 0 || shared == 0 || r.Chain.Parts == nil {
		return false
	}
	blocks := r.Chain.LevelBlocks[shared-1]
	if blocks < minSaveTokens || p.storedBlocks(r, version) >= blocks*completePartPercent/100 {
		return false
	}
	key := storedKey(r.Chain.Parts[shared-1], version)
	if at, ok := s.savingSince[key]; ok && now.Sub(at) < saveTimeout {
		return false
	}
	for k, at := range s.savingSince {
		if now.Sub(at) >= saveTimeout {
			delete(s.savingSince, k)
		}
	}
	s.savingSince[key] = now
	return true
}
