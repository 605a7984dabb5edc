package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

const (
	// cacheLook is the pause between two looks which engines to follow.
	cacheLook = 500 * time.Millisecond
	// cachePause is the least time between two reads of one engine's events.
	cachePause = 250 * time.Millisecond
	// cacheTimeout bounds one read, its wait of a second included.
	cacheTimeout = 2 * time.Second
	// sparedReaders are left to others of those that an engine allows.
	sparedReaders = 2
)

// cacheBackoff spaces reads of an engine that does not answer.
var cacheBackoff = backoff.Policy{Min: 500 * time.Millisecond, Max: 2 * time.Second}

// engineLife is one life of an engine.
type engineLife struct {
	id        string
	startedAt int64
}

// followCaches reads the cache events of the engines that this daemon follows.
func (d *Daemon) followCaches(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	following := map[engineLife]context.CancelFunc{}
	defer func() {
		for _, stop := range following {
			stop()
		}
	}()
	for {
		wanted := d.followedEngines()
		for life, stop := range following {
			if wanted[life] == nil {
				stop()
				delete(following, life)
			}
		}
		for life, u := range wanted {
			if following[life] != nil {
				continue
			}
			engineCtx, stop := context.WithCancel(ctx)
			following[life] = stop
			wg.Go(func() { d.followCache(engineCtx, u) })
		}
		if err := backoff.Sleep(ctx, cacheLook); err != nil {
			return err
		}
	}
}

// followedEngines returns the engines whose events this daemon reads: each
// engine allows only so many readers, which rendezvous hashing chooses.
func (d *Daemon) followedEngines() map[engineLife]*fleet.Registration {
	out := map[engineLife]*fleet.Registration{}
	table := d.view.table.Load()
	if table == nil {
		return out
	}
	var peers []string
	for _, m := range d.members.Live() {
		if m.Name != d.settings.Name {
			peers = append(peers, m.Name)
		}
	}
	for _, u := range d.registry.Snapshot().ByID {
		def := table.Service(u.Service)
		if def == nil || def.Engine == nil || u.Leaving {
			continue
		}
		if fleet.Among(d.settings.Name, peers, u.ID, def.Engine.EventReaders-sparedReaders) {
			out[engineLife{u.ID, u.StartedAt}] = u
		}
	}
	return out
}

// followCache reads one engine's events until ctx ends.
func (d *Daemon) followCache(ctx context.Context, u *fleet.Registration) {
	defer d.services.CacheLost(u.Service, u.ID)
	var since, epoch int64
	for try := 0; ctx.Err() == nil; {
		callCtx, cancel := context.WithTimeout(ctx, cacheTimeout)
		changes, err := d.platform.CacheEvents.CacheChanges(callCtx, u.ID, u.Address, since)
		cancel()
		if err != nil {
			// What is known stays in use: a wrong belief costs a computation.
			_ = cacheBackoff.Wait(ctx, try)
			try++
			continue
		}
		try = 0
		if epoch != 0 && changes.Epoch != epoch {
			d.services.CacheLost(u.Service, u.ID)
			since = 0
			epoch = changes.Epoch
			continue
		}
		epoch, since = changes.Epoch, changes.Next
		d.applyCacheChanges(u, changes)
		_ = backoff.Sleep(ctx, cachePause)
	}
}

// applyCacheChanges tells the scheduler what an engine caches under its
// present weights.
func (d *Daemon) applyCacheChanges(of *fleet.Registration, changes upstream.CacheChanges) {
	u := d.registry.Snapshot().ByID[of.ID]
	if u == nil || u.StartedAt != of.StartedAt {
		return
	}
	var parts []forward.CachedPart
	for _, c := range changes.Changes {
		owner, ok := forward.ScopeOwner(c.Scope, u.Version(c.Model))
		if !ok {
			continue // cached under other weights
		}
		parts = append(parts, forward.CachedPart{Key: prefix.PartKey(owner, c.Part), Tokens: c.Tokens})
	}
	d.services.Cached(u, parts)
}
