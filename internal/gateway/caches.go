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
			wg.Go(func() { (&cacheFollower{d: d, source: source}).run(sourceCtx) })
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

// cacheFollower reads one source's events.
type cacheFollower struct {
	d      *Daemon
	source cacheSource
	// since and epoch are the position in the source's history, 0 before it was read.
	since, epoch int64
	// unread says that the last read failed.
	unread bool
}

// run reads until ctx ends.
func (f *cacheFollower) run(ctx context.Context) {
	defer f.forget(false)
	for try := 0; ; {
		changes, err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.failed(err)
			_ = cacheBackoff.Wait(ctx, try)
			try++
			continue
		}
		try = 0
		if f.adopt(changes) {
			_ = backoff.Sleep(ctx, cachePause)
		}
	}
}

func (f *cacheFollower) read(ctx context.Context) (upstream.CacheChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	return f.d.platform.CacheEvents.CacheChanges(ctx, f.source.id, f.source.address, f.since)
}

// failed notes that the source can't be read. What is known of an engine stays
// in use, since a wrong belief costs a computation; a store that is down holds
// up the engines that fetch from it.
func (f *cacheFollower) failed(err error) {
	if f.unread {
		return
	}
	f.unread = true
	if f.source.service != "" {
		f.d.log.Emit(eventlog.CacheUnread, eventlog.Fields{Service: f.source.service, Upstream: f.source.id, Detail: err.Error()})
		return
	}
	f.forget(false)
	f.since, f.epoch = 0, 0
	f.d.log.Emit(eventlog.UpstreamDown, eventlog.Fields{Upstream: f.source.id, Detail: "store of cached prompts: " + err.Error()})
}

// adopt takes in what was read; false means that the source has another
// history now, which is to be read from its beginning. Changes that are missing
// (Lost) are not made up for: a wrong belief costs a computation.
func (f *cacheFollower) adopt(changes upstream.CacheChanges) bool {
	if f.unread {
		f.unread = false
		if f.source.service != "" {
			f.d.log.Emit(eventlog.CacheRead, eventlog.Fields{Service: f.source.service, Upstream: f.source.id})
		}
	}
	if changes.Epoch != f.epoch {
		known := f.epoch != 0
		f.forget(true)
		f.epoch = changes.Epoch
		if f.source.service == "" {
			f.d.log.Emit(eventlog.UpstreamServing, eventlog.Fields{Upstream: f.source.id, Detail: "store of cached prompts, nothing of it is known yet"})
		}
		if known {
			f.since = 0
			return false
		}
	}
	f.since = changes.Next
	f.d.applyCacheChanges(f.source, changes)
	return true
}

// forget drops what is known of the source's cache.
func (f *cacheFollower) forget(serving bool) {
	if f.source.service == "" {
		f.d.services.StoreReset(serving)
		return
	}
	f.d.services.CacheLost(f.source.service, f.source.id)
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
