package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/schedule"
)

// RetryLimits limit the retries of all daemons together.
type RetryLimits struct {
	// Retries may reach Ratio times the requests plus Slack.
	Ratio float64
	Slack int
}

// retrySafetyFactor is the fraction of the allowed retries that is used, since
// daemons temporarily disagree about how many they are.
const retrySafetyFactor = 0.7

// Services holds one scheduler per service.
type Services struct {
	retries RetryLimits
	delay   func(dataCentre string) time.Duration
	// shareDue holds a token while a scheduler has an update that peers need at
	// once.
	shareDue chan struct{}
	// storeAvailable is set while the store of cached prompts responds.
	storeAvailable atomic.Bool
	triageMode     TriageMode

	mu          sync.Mutex
	byName      map[string]*service
	daemonCount int
	// maxDaemonCount is the greatest recent number of daemons, last seen at
	// maxDaemonCountAt.
	maxDaemonCount   int
	maxDaemonCountAt time.Time
	// startedAt is when the Services were created; knowsDaemons is set once
	// daemonCount may be relied on.
	startedAt    time.Time
	knowsDaemons bool
	shares       daemonShares
}

// daemonCountDelay is the time after its start from which a daemon without peers
// counts as the only one. Until a daemon knows of others it retries only as often as
// its own requests allow.
const daemonCountDelay = time.Second

// daemonCountWindow is how long daemons that are no longer known from gossip
// keep their share of the retries: a daemon that is partitioned from its peers
// cannot tell whether they still use theirs.
const daemonCountWindow = time.Minute

// service holds the scheduler and the retry budget of one service.
type service struct {
	name   string
	runner *schedule.Runner
	// holdOffsEnd is when the last of the hold-offs ends; nil if there was none.
	holdOffsEnd atomic.Pointer[time.Time]
	// rateLimited is set once an upstream has stated a rate limit; malformedLoggedAt is when
	// one without meaning was last logged, in Unix nanoseconds.
	rateLimited       atomic.Bool
	malformedLoggedAt atomic.Int64
	// triaged is set while the scheduler triages requests.
	triaged atomic.Bool

	mu        sync.Mutex
	retries   *admission.Budget
	endpoints []routing.Endpoint
	store     *routing.CacheStore
}

// NewServices returns Services without upstreams. delay returns the one-way
// network delay to a data centre.
func NewServices(retries RetryLimits, delay func(dataCentre string) time.Duration) *Services {
	return &Services{retries: retries, delay: delay, byName: map[string]*service{}, daemonCount: 1, maxDaemonCount: 1, startedAt: time.Now(), shareDue: make(chan struct{}, 1)}
}

// Close stops the schedulers' timers.
func (s *Services) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.byName {
		svc.runner.Close()
	}
}

// View is a snapshot of the upstreams of all services.
type View struct {
	Table    *routetable.Table
	Registry *fleet.RegistrySnapshot
	// CostPenalty returns the time added to the cost of work at an upstream
	// because of its weights; nil means none.
	CostPenalty func(u *fleet.Registration) time.Duration
	// StoppingSoon reports whether an upstream will stop serving too soon to
	// finish long prompts; nil means that none will.
	StoppingSoon func(u *fleet.Registration) bool
	// Unavailable reports whether an upstream must not get work at present; nil
	// means that all may.
	Unavailable func(u *fleet.Registration) bool
}

// Update passes the available upstreams to the schedulers. It does nothing
// without a table.
func (s *Services) Update(v View) {
	if v.Table == nil {
		return
	}
	store := v.Table.CacheStore()
	for i := range v.Table.Services {
		def := &v.Table.Services[i]
		if def.CacheStore != nil {
			continue
		}
		svc := s.get(def.Name)
		svc.setTriage(s.triageMode.applies(v.Table, def))
		svc.setCacheStore(def.Engine, store, s.storeAvailable.Load())
		endpoints := s.endpoints(def, v)
		svc.mu.Lock()
		same := slices.EqualFunc(endpoints, svc.endpoints, sameEndpoint)
		svc.endpoints = endpoints
		svc.mu.Unlock()
		if !same {
			svc.runner.Do(func(sched routing.Scheduler, now time.Time) { sched.SetEndpoints(now, endpoints) })
		}
	}
}

func (s *Services) endpoints(def *routetable.Service, v View) []routing.Endpoint {
	var out []routing.Endpoint
	for _, u := range v.Registry.ByService[def.Name] {
		if u.Leaving || v.Unavailable != nil && v.Unavailable(u) {
			continue
		}
		ep := routing.Endpoint{ID: u.ID, Incarnation: u.Incarnation(), StartedAt: u.StartedAt, Software: u.Software, Slots: u.Slots, DataCentre: u.DataCentre, Delay: s.delay(u.DataCentre), Hash: u.Hash}
		if def.Engine != nil {
			ep.TransferPerToken, ep.MemoryTokens = transferTimePerToken(def.Engine), def.Engine.CacheTokens
		}
		if v.CostPenalty != nil {
			ep.CostPenalty = v.CostPenalty(u)
		}
		ep.StoppingSoon = v.StoppingSoon != nil && v.StoppingSoon(u)
		for _, m := range u.Models {
			ep.Weights, ep.Versions = append(ep.Weights, m.Name), append(ep.Versions, m.Version)
		}
		out = append(out, ep)
	}
	return out
}

// setCacheStore passes the store of cached prompts to a scheduler of model
// engines.
func (svc *service) setCacheStore(engine *routetable.EngineSpec, store *routetable.CacheStore, available bool) {
	if engine == nil {
		return
	}
	var s *routing.CacheStore
	if store != nil && store.LinkMbps > 0 {
		s = &routing.CacheStore{ID: store.Address, DataCentre: store.DataCentre, TransferPerToken: linkTimePerToken(engine.BytesPerToken, store.LinkMbps), Serving: available}
	}
	svc.mu.Lock()
	same := (s == nil) == (svc.store == nil) && (s == nil || *s == *svc.store)
	svc.store = s
	svc.mu.Unlock()
	if same {
		return
	}
	svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if u, ok := sched.(routing.CacheStoreUser); ok {
			u.SetCacheStore(now, s)
		}
	})
}

// transferTimePerToken returns the time to transfer one cached token between
// engines, 0 if they cannot.
func transferTimePerToken(e *routetable.EngineSpec) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	return linkTimePerToken(e.BytesPerToken, e.LinkMbps)
}

// linkTimePerToken returns the time to send one cached token over a link.
func linkTimePerToken(bytes int, linkMbps float64) time.Duration {
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	seconds := float64(bytes) * bitsPerByte / (linkMbps * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

func sameEndpoint(a, b routing.Endpoint) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Software == b.Software && a.Slots == b.Slots && a.MemoryTokens == b.MemoryTokens && a.Delay == b.Delay && a.CostPenalty == b.CostPenalty && a.StoppingSoon == b.StoppingSoon && slices.Equal(a.Weights, b.Weights) && slices.Equal(a.Versions, b.Versions)
}

// SetDaemonCount sets the number of daemons that share the upstreams, including
// this one. It must be called periodically for daemonCountWindow to take
// effect.
func (s *Services) SetDaemonCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.knowsDaemons && (n > 1 || time.Since(s.startedAt) >= daemonCountDelay) {
		s.knowsDaemons = true
		defer func() {
			for _, svc := range s.byName {
				svc.grantRetries(s.retryBurst())
			}
		}()
	}
	before := s.maxDaemonCount
	if now := time.Now(); n >= s.maxDaemonCount || now.Sub(s.maxDaemonCountAt) > daemonCountWindow {
		s.maxDaemonCount, s.maxDaemonCountAt = n, now
	}
	if n == s.daemonCount && s.maxDaemonCount == before {
		return
	}
	s.daemonCount = n
	for _, svc := range s.byName {
		svc.setDaemonCount(n, s.retryBurst())
	}
}

// MaxDaemonCount returns the greatest number of daemons, including this one, that were known within
// the last minute.
func (s *Services) MaxDaemonCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxDaemonCount
}

func (s *Services) retryBurst() float64 {
	return retrySafetyFactor * float64(s.retries.Slack) / float64(s.maxDaemonCount)
}

func (svc *service) setDaemonCount(n int, burst float64) {
	svc.mu.Lock()
	svc.retries.SetBurst(burst)
	svc.mu.Unlock()
	svc.runner.Do(func(sched routing.Scheduler, now time.Time) { sched.SetDaemonCount(now, n) })
}

// grantRetries lets the daemon use the half of its share of the slack: before a
// restart it may have spent a part of it.
func (svc *service) grantRetries(burst float64) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.retries.Grant(burst / 2)
}

func (s *Services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc := s.byName[name]; svc != nil {
		return svc
	}
	svc := &service{
		name: name,
		runner: schedule.New(routing.New(routing.Settings{
			RetryPercent: unlimitedRetryPercent, RecomputePrice: recomputePrice, HomePrior: homePrior, BatchDelay: batchDelay, Seed: rand.Uint64(),
		})),
		retries: admission.NewFractionBudget(retrySafetyFactor*s.retries.Ratio, 0),
	}
	svc.runner.OnShareDue(s.signalShareDue)
	svc.setDaemonCount(s.daemonCount, s.retryBurst())
	svc.setShares(s.shares)
	if s.knowsDaemons {
		svc.grantRetries(s.retryBurst())
	}
	s.byName[name] = svc
	return svc
}

const (
	// recomputePrice and homePrior keep prompts at one engine, because the
	// platform's engines hold only few long prompts in memory
	// (docs/design/0105).
	recomputePrice = 3
	homePrior      = 0.9
	// batchDelay reflects that engines with 32 or more running requests respond
	// about 0.1 s later than idle ones.
	batchDelay = 3 * time.Millisecond
)

// unlimitedRetryPercent disables the scheduler's own retry limit: the service's
// retry budget decides, which counts only attempts that reached an upstream.
const unlimitedRetryPercent = 100_000

// creditRetries credits the retry budget for one request.
func (svc *service) creditRetries() {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.retries.Credit()
}

// takeRetry spends one retry and reports whether the budget allowed it.
func (svc *service) takeRetry() bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.retries.Take()
}

// CachedPart is a part of a prompt in an engine's cache; Tokens is 0 once it is
// evicted.
type CachedPart struct {
	// Key is the result of prefix.PartKey.
	Key    uint64
	Tokens int
}

// SetCached updates the service's scheduler with changes of an engine's cache.
func (s *Services) SetCached(u *fleet.Registration, parts []CachedPart) {
	s.observeCache(u.Service, func(o routing.CacheObserver, now time.Time) {
		for _, p := range parts {
			o.PartCached(now, u.ID, u.Incarnation(), p.Key, p.Tokens)
		}
	})
}

// ResetCache marks the contents of an engine's cache as unknown.
func (s *Services) ResetCache(service, engine string) {
	s.observeCache(service, func(o routing.CacheObserver, now time.Time) { o.CacheLost(now, engine) })
}

// StoredPart is a part of a prompt in the cache store, computed by a version of
// the weights; Tokens is 0 once it is evicted.
type StoredPart struct {
	CachedPart
	Version int
}

// SetStored updates the schedulers with changes of the cache store.
func (s *Services) SetStored(parts []StoredPart) {
	s.forEachStoreUser(func(u routing.CacheStoreUser, now time.Time) {
		for _, p := range parts {
			u.PartStored(now, p.Key, p.Version, p.Tokens)
		}
	})
}

// ResetStore marks the contents of the cache store as unknown and records
// whether the store responds.
func (s *Services) ResetStore(available bool) {
	s.storeAvailable.Store(available)
	s.forEachStoreUser(func(u routing.CacheStoreUser, now time.Time) { u.StoreReset(now, available) })
}

func (s *Services) forEachStoreUser(fn func(routing.CacheStoreUser, time.Time)) {
	for _, svc := range s.all() {
		svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
			if u, ok := sched.(routing.CacheStoreUser); ok {
				fn(u, now)
			}
		})
	}
}

func (s *Services) observeCache(service string, fn func(routing.CacheObserver, time.Time)) {
	s.mu.Lock()
	svc := s.byName[service]
	s.mu.Unlock()
	if svc == nil {
		return
	}
	svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if o, ok := sched.(routing.CacheObserver); ok {
			fn(o, now)
		}
	})
}

// Requests returns how many requests are known to run at an upstream, and the
// prompt tokens left to compute for those without a first token.
func (s *Services) Requests(id string) (requests, uncomputedTokens int) {
	for _, svc := range s.all() {
		svc.runner.Do(func(sched routing.Scheduler, _ time.Time) {
			if c, ok := sched.(routing.RequestCounter); ok {
				n, tokens := c.Requests(id)
				requests, uncomputedTokens = requests+n, uncomputedTokens+tokens
			}
		})
	}
	return requests, uncomputedTokens
}

// Attempts returns how many attempts at upstreams have not ended.
func (s *Services) Attempts() int {
	n := 0
	for _, svc := range s.all() {
		svc.runner.Do(func(sched routing.Scheduler, _ time.Time) {
			if c, ok := sched.(routing.RequestCounter); ok {
				n += c.Attempts()
			}
		})
	}
	return n
}

// LoadsForPeers returns, for each service, the load figures to share with
// peers.
func (s *Services) LoadsForPeers() map[string][]routing.PeerLoad {
	out := map[string][]routing.PeerLoad{}
	for _, svc := range s.all() {
		svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
			if loads := sched.LoadsForPeers(now); len(loads) > 0 {
				out[svc.name] = append([]routing.PeerLoad(nil), loads...)
			}
		})
	}
	return out
}

// SetAnnouncing sets whether the schedulers announce long prompts instead of their loads.
func (s *Services) SetAnnouncing(on bool) {
	for _, svc := range s.all() {
		svc.withAnnouncer(func(a routing.Announcer, now time.Time) { a.SetAnnouncing(now, on) })
	}
}

// TakeAnnouncements returns what is to be announced to peers, of all services.
func (s *Services) TakeAnnouncements() routing.Announcements {
	var out routing.Announcements
	for _, svc := range s.all() {
		svc.withAnnouncer(func(a routing.Announcer, now time.Time) {
			taken := a.TakeAnnouncements(now)
			out.Prompts = append(out.Prompts, taken.Prompts...)
			out.Reports = append(out.Reports, taken.Reports...)
			out.Speeds = append(out.Speeds, taken.Speeds...)
		})
	}
	return out
}

// ApplyAnnouncements passes a peer's announcements for a service's upstreams to its scheduler.
func (s *Services) ApplyAnnouncements(name string, announcements routing.Announcements) {
	s.mu.Lock()
	svc := s.byName[name]
	s.mu.Unlock()
	if svc != nil {
		svc.withAnnouncer(func(a routing.Announcer, now time.Time) { a.ApplyAnnouncements(now, announcements) })
	}
}

func (svc *service) withAnnouncer(fn func(a routing.Announcer, now time.Time)) {
	svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if a, ok := sched.(routing.Announcer); ok {
			fn(a, now)
		}
	})
}

// ShareDue returns a channel that receives a token when load figures should be
// shared with peers at once; the receiver then calls LoadsForPeers.
func (s *Services) ShareDue() <-chan struct{} { return s.shareDue }

func (s *Services) signalShareDue() {
	select {
	case s.shareDue <- struct{}{}:
	default: // a token is already pending
	}
}

// ApplyPeerLoads passes a peer's load figures of a service's upstreams to its
// scheduler.
func (s *Services) ApplyPeerLoads(name, peer string, loads []routing.PeerLoad) {
	s.mu.Lock()
	svc := s.byName[name]
	s.mu.Unlock()
	if svc != nil {
		svc.runner.Do(func(sched routing.Scheduler, now time.Time) { sched.ApplyPeerLoads(now, peer, loads) })
	}
}

func (s *Services) all() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*service, 0, len(s.byName))
	for _, svc := range s.byName {
		out = append(out, svc)
	}
	return out
}
