package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
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

// cacheSource is one life of an engine, or the store of cached prompts.
type cacheSource struct {
	id        string // the address of the store
	address   string
	startedAt int64
	// service is the engine's; empty for the store.
	service string
}

// followCaches reads the cache events of the engines and of the store that this
// daemon follows.
func (d *Daemon) followCaches(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	following := map[cacheSource]context.CancelFunc{}
	defer func() {
		for _, stop := range following {
			stop()
		}
	}()
	for {
		wanted := d.followedCaches()
		for source, stop := range following {
			if !wanted[source] {
				stop()
				delete(following, source)
			}
		}
		for source := range wanted {
			if following[source] != nil {
				continue
			}
			sourceCtx, stop := context.WithCancel(ctx)
			following[source] = stop
			wg.Go(func() { d.followCache(sourceCtx, source) })
		}
		if err := backoff.Sleep(ctx, cacheLook); err != nil {
			return err
		}
	}
}

// followedCaches returns whose events this daemon reads: each engine, and the
// store, allows only so many readers, which rendezvous hashing chooses.
func (d *Daemon) followedCaches() map[cacheSource]bool {
	out := map[cacheSource]bool{}
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
			out[cacheSource{u.ID, u.Address, u.StartedAt, u.Service}] = true
		}
	}
	if store := table.CacheStore(); store != nil && fleet.Among(d.settings.Name, peers, store.Address, store.EventReaders-sparedReaders) {
		out[cacheSource{id: store.Address, address: store.Address}] = true
	}
	return out
}

// followCache reads one source's events until ctx ends.
func (d *Daemon) followCache(ctx context.Context, source cacheSource) {
	defer d.forgetCache(source, false)
	var since, epoch int64
	for try := 0; ctx.Err() == nil; {
		callCtx, cancel := context.WithTimeout(ctx, cacheTimeout)
		changes, err := d.platform.CacheEvents.CacheChanges(callCtx, source.id, source.address, since)
		cancel()
		if err != nil {
			if source.service == "" && epoch != 0 && ctx.Err() == nil {
				// Engines that fetch from a store that is down are held up.
				d.forgetCache(source, false)
				since, epoch = 0, 0
				d.log.Emit(eventlog.UpstreamDown, eventlog.Fields{Upstream: source.id, Detail: "store of cached prompts: " + err.Error()})
			}
			// What is known of an engine stays in use: a wrong belief costs a computation.
			_ = cacheBackoff.Wait(ctx, try)
			try++
			continue
		}
		try = 0
		if changes.Epoch != epoch {
			d.forgetCache(source, true)
			if source.service == "" {
				d.log.Emit(eventlog.UpstreamServing, eventlog.Fields{Upstream: source.id, Detail: "store of cached prompts, nothing of it is known yet"})
			}
			if epoch != 0 {
				since, epoch = 0, changes.Epoch
				continue
			}
		}
		epoch, since = changes.Epoch, changes.Next
		d.applyCacheChanges(source, changes)
		_ = backoff.Sleep(ctx, cachePause)
	}
}

// forgetCache drops what is known of a source's cache.
func (d *Daemon) forgetCache(source cacheSource, serving bool) {
	if source.service == "" {
		d.services.StoreReset(serving)
		return
	}
	d.services.CacheLost(source.service, source.id)
}

// applyCacheChanges tells the schedulers what a source caches: an engine under
// its present weights, the store under any.
func (d *Daemon) applyCacheChanges(source cacheSource, changes upstream.CacheChanges) {
	u := d.registry.Snapshot().ByID[source.id]
	if source.service != "" && (u == nil || u.StartedAt != source.startedAt) {
		return
	}
	var cached []forward.CachedPart
	var stored []forward.StoredPart
	for _, c := range changes.Changes {
		owner, version, ok := forward.ScopeOwner(c.Scope)
		if !ok {
			continue
		}
		part := forward.CachedPart{Key: prefix.PartKey(owner, c.Part), Tokens: c.Tokens}
		switch {
		case source.service == "":
			stored = append(stored, forward.StoredPart{CachedPart: part, Version: version})
		case version == u.Version(c.Model):
			cached = append(cached, part)
		}
	}
	if source.service == "" {
		d.services.Stored(stored)
		return
	}
	d.services.Cached(u, cached)
}
