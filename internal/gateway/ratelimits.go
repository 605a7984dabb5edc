package gateway

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/ratelimit"
	"github.com/verbenabend/verbenabend/internal/routing"
)

const (
	// rateLimitTTL is how long peers can learn of a rate limit; it is announced again before
	// that while responses state it.
	rateLimitTTL = time.Minute
	// minRateLimitInterval is the minimum interval between two announcements of a daemon
	// about one upstream.
	minRateLimitInterval = 250 * time.Millisecond
	// memberRetention is how long a daemon that is lost keeps its part of rate limits: it may
	// only be cut off from the others.
	memberRetention = 30 * time.Second
)

// rateFacts remembers what peers were told of rate limits, and the daemons among which the
// rates are divided. It is safe for concurrent use.
type rateFacts struct {
	mu       sync.Mutex
	told     map[upstreamStart]toldRate
	lastSeen map[string]time.Time // daemons, by name
}

// toldRate is the last fact about an upstream, of this daemon or of a peer.
type toldRate struct {
	perSecond float64
	at        time.Time
	// publishedAt is when this daemon last published one.
	publishedAt time.Time
}

// sharing returns the names of the daemons that live or were lost a short while ago.
func (f *rateFacts) sharing(live []string, now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastSeen == nil {
		f.lastSeen = map[string]time.Time{}
	}
	for _, name := range live {
		f.lastSeen[name] = now
	}
	var out []string
	for name, at := range f.lastSeen {
		if now.Sub(at) > memberRetention {
			delete(f.lastSeen, name)
			continue
		}
		out = append(out, name)
	}
	return out
}

// note records a fact about an upstream.
func (f *rateFacts) note(k upstreamStart, perSecond float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.told == nil {
		f.told = map[upstreamStart]toldRate{}
	}
	told := f.told[k]
	told.perSecond, told.at = perSecond, now
	f.told[k] = told
}

// due reports whether peers have to be told of a rate, and notes that they are.
func (f *rateFacts) due(k upstreamStart, perSecond float64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	told, known := f.told[k]
	if !known && perSecond == 0 || known && told.perSecond == perSecond && (perSecond == 0 || now.Sub(told.at) < rateLimitTTL/2) || now.Sub(told.publishedAt) < minRateLimitInterval {
		return false
	}
	if f.told == nil {
		f.told = map[upstreamStart]toldRate{}
	}
	f.told[k] = toldRate{perSecond, now, now}
	return true
}

// prune forgets the facts about upstreams that are not registered.
func (f *rateFacts) prune(registered []fleet.Registration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.told) == 0 {
		return
	}
	present := make(map[upstreamStart]bool, len(registered))
	for i := range registered {
		present[startOf(&registered[i])] = true
	}
	for k, told := range f.told {
		if !present[k] && time.Since(told.at) > rateLimitTTL {
			delete(f.told, k)
		}
	}
}

// rateBits is the number of bits of a fact's version that hold the rate, in tenths of a request
// per second; those above hold the time on the store's clock.
const rateBits = 20

// rateFactVersion returns the version of a fact.
func rateFactVersion(perSecond float64, at platform.StoreTime) uint64 {
	return uint64(max(0, at))<<rateBits | uint64(math.Round(perSecond*10))&(1<<rateBits-1)
}

// parseRateFactVersion is the inverse of rateFactVersion.
func parseRateFactVersion(version uint64) (perSecond float64, at platform.StoreTime) {
	if tenths := version & (1<<rateBits - 1); tenths > 0 {
		perSecond = ratelimit.RoundRate(float64(tenths) / 10)
	}
	return perSecond, platform.StoreTime(version >> rateBits)
}

func rateFactID(k upstreamStart) string { return k.id + "/" + strconv.FormatInt(k.startedAt, 10) }

func parseRateFactID(id string) (k upstreamStart, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return k, false
	}
	startedAt, err := strconv.ParseInt(id[i+1:], 10, 64)
	return upstreamStart{id[:i], startedAt}, err == nil
}

// announceRateLimit tells peers what is known of an upstream's rate, unless they know. Without
// the store's clock each daemon learns of it by its own requests.
func (d *Daemon) announceRateLimit(u *fleet.Registration) {
	limit, known := d.services.RateLimit(u)
	storeNow, timed := d.storeClock.Now()
	now := time.Now()
	if !known || !timed || !d.rateFacts.due(startOf(u), limit.PerSecond, now) {
		return
	}
	at := d.storeClock.ToStore(storeNow.Add(limit.At.Sub(now)))
	d.gossipNode.Publish(gossip.Fact{Kind: gossip.KindRateLimit, ID: rateFactID(startOf(u)), Version: rateFactVersion(limit.PerSecond, at), TTL: rateLimitTTL})
}

// receiveRateLimit takes what a peer has just announced of an upstream's rate.
func (d *Daemon) receiveRateLimit(f gossip.Fact) {
	if k, ok := parseRateFactID(f.ID); ok {
		perSecond, _ := parseRateFactVersion(f.Version)
		d.rateFacts.note(k, perSecond, time.Now())
	}
	d.applyRateLimit(f)
}

// applyRateLimit applies what a peer announced of an upstream's rate, if the upstream is known.
func (d *Daemon) applyRateLimit(f gossip.Fact) {
	k, ok := parseRateFactID(f.ID)
	u := d.registry.Snapshot().ByID[k.id]
	storeNow, timed := d.storeClock.Now()
	if !ok || u == nil || u.StartedAt != k.startedAt || !timed {
		return // refreshRateLimits tries again
	}
	now := time.Now()
	perSecond, at := parseRateFactVersion(f.Version)
	limit := routing.RateLimit{PerSecond: perSecond, At: now.Add(min(0, d.storeClock.FromStore(at).Sub(storeNow)))}
	if d.services.SetRateLimit(u, limit) {
		d.log.Emit(eventlog.UpstreamRateLimited, eventlog.Fields{Service: u.Service, Upstream: u.ID, Detail: forward.DescribeRateLimit(limit) + ", heard from " + f.Origin})
	}
	if own, known := d.services.RateLimit(u); known && own.PerSecond != perSecond {
		d.announceRateLimit(u) // the peer does not know the newest
	}
}

// refreshRateLimits updates the daemons among which rates are divided and the time that they
// share, and applies what peers announced of upstreams that were not known then.
func (d *Daemon) refreshRateLimits() {
	var live []string
	for _, m := range d.members.Live() {
		live = append(live, m.Name)
	}
	storeNow, timed := d.storeClock.Now()
	shared := d.storeClock.ToStore(storeNow).Sub(0)
	d.services.SetDaemons(d.settings.Name, d.rateFacts.sharing(live, time.Now()), shared, timed)
	for _, f := range d.gossipNode.Facts(gossip.KindRateLimit) {
		if f.Origin != d.settings.Name {
			d.applyRateLimit(f)
		}
	}
}
