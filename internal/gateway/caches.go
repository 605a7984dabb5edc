package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

const (
	// cacheSourceInterval is the interval between updates of the set of sources
	// to follow.
	cacheSourceInterval = 500 * time.Millisecond
	// cacheReadInterval is the minimum interval between two reads from one
	// source by one of at most cacheReadDaemons daemons. With more, each uses
	// what it knows of a source less often and reads it less often.
	cacheReadInterval = 250 * time.Millisecond
	cacheReadDaemons  = 8
	// cacheReadTimeout limits one read, including the long poll of one second.
	cacheReadTimeout = 2 * time.Second
	// reservedReaders is how many of a source's allowed readers are left to
	// others.
	reservedReaders = 2
	// cacheReadStart and a random part of cacheReadSpread is how long after its start a
	// daemon of a large fleet reads no cache events: the first read of a source brings its
	// whole history, which would fill the links that callers wait for.
	cacheReadStart  = time.Second
	cacheReadSpread = 4 * time.Second
)

// cacheBackoff is the backoff between reads of a source that does not respond.
var cacheBackoff = backoff.Policy{Min: 500 * time.Millisecond, Max: 2 * time.Second}

// cacheSource is one incarnation of an engine, or the store of cached prompts.
type cacheSource struct {
	id        string // the address in case of the store
	address   string
	startedAt int64
	// service is the engine's service; empty for the store.
	service string
}

// followCaches reads the cache events of the sources assigned to this daemon
// until ctx ends.
func (d *Daemon) followCaches(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	following := map[cacheSource]context.CancelFunc{}
	defer func() {
		for _, stop := range following {
			stop()
		}
	}()
	spread := rand.N(cacheReadSpread)
	for {
		assigned := d.assignedCacheSources()
		if d.isLargeFleet() && time.Since(d.startedAt) < cacheReadStart+spread {
			assigned = nil
		}
		for source, stop := range following {
			if !assigned[source] {
				stop()
				delete(following, source)
			}
		}
		for source := range assigned {
			if following[source] != nil {
				continue
			}
			sourceCtx, stop := context.WithCancel(ctx)
			following[source] = stop
			wg.Go(func() { (&cacheFollower{daemon: d, source: source}).run(sourceCtx) })
		}
		if err := backoff.Sleep(ctx, cacheSourceInterval); err != nil {
			return err
		}
	}
}

// assignedCacheSources returns the sources that this daemon reads. Each source
// allows a limited number of readers, which rendezvous hashing chooses among
// the daemons.
func (d *Daemon) assignedCacheSources() map[cacheSource]bool {
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
		if fleet.IsAmongTop(d.settings.Name, peers, u.ID, def.Engine.EventReaders-reservedReaders) {
			out[cacheSource{u.ID, u.Address, u.StartedAt, u.Service}] = true
		}
	}
	if store := table.CacheStore(); store != nil && fleet.IsAmongTop(d.settings.Name, peers, store.Address, store.EventReaders-reservedReaders) {
		out[cacheSource{id: store.Address, address: store.Address}] = true
	}
	return out
}

// cacheFollower follows the cache events of one source.
type cacheFollower struct {
	daemon *Daemon
	source cacheSource
	// position and epoch identify the last event read; 0 before the first read.
	position, epoch int64
	// readFailed is set if the last read failed.
	readFailed bool
}

// run follows the source until ctx ends.
func (f *cacheFollower) run(ctx context.Context) {
	defer f.reset(false)
	for try := 0; ; {
		changes, err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.recordFailure(err)
			_ = cacheBackoff.Wait(ctx, try)
			try++
			continue
		}
		try = 0
		if f.apply(changes) {
			_ = backoff.Sleep(ctx, f.daemon.cacheReadInterval())
		}
	}
}

// cacheReadInterval returns the minimum interval between two reads from one source.
func (d *Daemon) cacheReadInterval() time.Duration {
	return cacheReadInterval * time.Duration(max(cacheReadDaemons, len(d.members.Live()))) / cacheReadDaemons
}

func (f *cacheFollower) read(ctx context.Context) (upstream.CacheChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	return f.daemon.platform.CacheChangeReader.CacheChanges(ctx, f.source.id, f.source.address, f.position)
}

// recordFailure handles a failed read. The known contents of an engine stay in
// use, since a wrong entry only costs a recomputation; a store that is down
// would stall engines that fetch from it, so it is taken out of use.
func (f *cacheFollower) recordFailure(err error) {
	if f.readFailed || descriptor.IsShortage(err) {
		return
	}
	f.readFailed = true
	if f.source.service != "" {
		f.daemon.log.Emit(eventlog.CacheEventsUnreadable, eventlog.Fields{Service: f.source.service, Upstream: f.source.id, Detail: err.Error()})
		return
	}
	f.reset(false)
	f.position, f.epoch = 0, 0
	f.daemon.log.Emit(eventlog.UpstreamDown, eventlog.Fields{Upstream: f.source.id, Detail: "store of cached prompts: " + err.Error()})
}

// apply applies the events read. It returns false if the source has started a
// new history, which must be read from its beginning. Lost events are not
// recovered: a wrong entry only costs a recomputation.
func (f *cacheFollower) apply(changes upstream.CacheChanges) bool {
	if f.readFailed {
		f.readFailed = false
		if f.source.service != "" {
			f.daemon.log.Emit(eventlog.CacheEventsReadable, eventlog.Fields{Service: f.source.service, Upstream: f.source.id})
		}
	}
	if changes.Epoch != f.epoch {
		known := f.epoch != 0
		f.reset(true)
		f.epoch = changes.Epoch
		if f.source.service == "" {
			f.daemon.log.Emit(eventlog.UpstreamServing, eventlog.Fields{Upstream: f.source.id, Detail: "store of cached prompts; its contents are not known yet"})
		}
		if known {
			f.position = 0
			return false
		}
	}
	f.position = changes.Next
	f.daemon.applyCacheChanges(f.source, changes)
	return true
}

// reset discards the known contents of the source's cache. For the store,
// available states whether it responds.
func (f *cacheFollower) reset(available bool) {
	if f.source.service == "" {
		f.daemon.services.ResetStore(available)
		return
	}
	f.daemon.services.ResetCache(f.source.service, f.source.id)
}

// applyCacheChanges updates the schedulers with a source's cache events: for an
// engine only those of its current weights, for the store all.
func (d *Daemon) applyCacheChanges(source cacheSource, changes upstream.CacheChanges) {
	u := d.registry.Snapshot().ByID[source.id]
	if source.service != "" && (u == nil || u.StartedAt != source.startedAt) {
		return
	}
	var cached []forward.CachedPart
	var stored []forward.StoredPart
	for _, c := range changes.Changes {
		group, version, ok := forward.ParseCacheScope(c.Scope)
		if !ok {
			continue
		}
		part := forward.CachedPart{Key: prefix.PartKey(group, c.Part), Tokens: c.Tokens}
		switch {
		case source.service == "":
			stored = append(stored, forward.StoredPart{CachedPart: part, Version: version})
		case version == u.Version(c.Model):
			cached = append(cached, part)
		}
	}
	if source.service == "" {
		d.services.SetStored(stored)
		return
	}
	d.services.SetCached(u, cached)
}
