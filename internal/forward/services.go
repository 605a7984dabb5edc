package forward

import (
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

// RetryLimits bound the retries of all daemons together.
type RetryLimits struct {
	// Ratio is the part of the requests, Slack the number that is always allowed.
	Ratio float64
	Slack int
}

// retryMargin is the part of the allowed retries that is used: daemons do not
// agree on their number at every moment.
const retryMargin = 0.7

// Services holds a scheduler for each service.
type Services struct {
	retries RetryLimits
	delay   func(dataCentre string) time.Duration
	// news has a token while a scheduler may have something to tell peers at once.
	news chan struct{}
	// storeServing says whether the store of cached prompts answers.
	storeServing atomic.Bool

	mu      sync.Mutex
	byName  map[string]*service
	daemons int
	// most is the greatest number of daemons heard of lately, at mostAt last.
	most   int
	mostAt time.Time
}

// daemonMemory is how long daemons that are not heard of any more keep their
// share of the retries: one that is cut off from its peers can't tell whether
// they spend theirs.
const daemonMemory = time.Minute

// service is what decides for the upstreams of one service.
type service struct {
	name   string
	runner *schedule.Runner

	mu        sync.Mutex
	retries   *admission.Budget
	endpoints []routing.Endpoint
	store     *routing.CacheStore
}

// NewServices returns Services that know no upstream. delay gives the one-way
// delay to a data centre.
func NewServices(retries RetryLimits, delay func(dataCentre string) time.Duration) *Services {
	return &Services{retries: retries, delay: delay, byName: map[string]*service{}, daemons: 1, most: 1, news: make(chan struct{}, 1)}
}

// Close stops the timers of the schedulers.
func (s *Services) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.byName {
		x.runner.Close()
	}
}

// View is what the upstreams of all services are known to be.
type View struct {
	Table    *routetable.Table
	Registry *fleet.RegistrySnapshot
	// Handicap is the price, in time, of work at an upstream because of its
	// weights; nil means none.
	Handicap func(u *fleet.Registration) time.Duration
	// Finishing reports whether an upstream should get no long prompts, which it
	// could not finish; nil means none.
	Finishing func(u *fleet.Registration) bool
	// Resting reports whether an upstream must not get work for now.
	Resting func(u *fleet.Registration) bool
}

// Update gives the schedulers the upstreams that may get work.
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
		x := s.get(def.Name)
		x.setStore(def.Engine, store, s.storeServing.Load())
		endpoints := s.endpoints(def, v)
		x.mu.Lock()
		same := slices.EqualFunc(endpoints, x.endpoints, sameEndpoint)
		x.endpoints = endpoints
		x.mu.Unlock()
		if !same {
			x.runner.Do(func(sched routing.Scheduler, now time.Time) { sched.SetEndpoints(now, endpoints) })
		}
	}
}

func (s *Services) endpoints(def *routetable.Service, v View) []routing.Endpoint {
	var out []routing.Endpoint
	for _, u := range v.Registry.ByService[def.Name] {
		if u.Leaving || v.Resting != nil && v.Resting(u) {
			continue
		}
		ep := routing.Endpoint{ID: u.ID, Incarnation: u.Incarnation(), Slots: u.Slots, DataCentre: u.DataCentre, Delay: s.delay(u.DataCentre), Hash: u.Hash}
		if def.Engine != nil {
			ep.TransferPerToken = transferPerToken(def.Engine)
		}
		if v.Handicap != nil {
			ep.Handicap = v.Handicap(u)
		}
		ep.Finishing = v.Finishing != nil && v.Finishing(u)
		for _, m := range u.Models {
			ep.Weights, ep.Versions = append(ep.Weights, m.Name), append(ep.Versions, m.Version)
		}
		out = append(out, ep)
	}
	return out
}

// setStore tells the scheduler of model engines which store keeps cached prompts.
func (x *service) setStore(engine *routetable.EngineLimits, store *routetable.CacheStore, serving bool) {
	if engine == nil {
		return
	}
	var s *routing.CacheStore
	if store != nil && store.LinkMbps > 0 {
		s = &routing.CacheStore{ID: store.Address, DataCentre: store.DataCentre, TransferPerToken: perToken(engine.BytesPerToken, store.LinkMbps), Serving: serving}
	}
	x.mu.Lock()
	same := (s == nil) == (x.store == nil) && (s == nil || *s == *x.store)
	x.store = s
	x.mu.Unlock()
	if same {
		return
	}
	x.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if u, ok := sched.(routing.CacheStoreUser); ok {
			u.SetCacheStore(now, s)
		}
	})
}

// transferPerToken returns the time to move one cached token between engines.
func transferPerToken(e *routetable.EngineLimits) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	return perToken(e.BytesPerToken, e.LinkMbps)
}

// perToken returns the time to move one cached token over a link.
func perToken(bytes int, linkMbps float64) time.Duration {
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	seconds := float64(bytes) * bitsPerByte / (linkMbps * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

func sameEndpoint(a, b routing.Endpoint) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Slots == b.Slots && a.Delay == b.Delay && a.Handicap == b.Handicap && a.Finishing == b.Finishing && slices.Equal(a.Weights, b.Weights) && slices.Equal(a.Versions, b.Versions)
}

// SetDaemons tells how many daemons share the upstreams, this one included. It
// is called again and again.
func (s *Services) SetDaemons(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.most
	if now := time.Now(); n >= s.most || now.Sub(s.mostAt) > daemonMemory {
		s.most, s.mostAt = n, now
	}
	if n == s.daemons && s.most == before {
		return
	}
	s.daemons = n
	for _, x := range s.byName {
		x.setDaemons(n, s.retryBurst())
	}
}

func (s *Services) retryBurst() float64 {
	return retryMargin * float64(s.retries.Slack) / float64(s.most)
}

func (x *service) setDaemons(n int, burst float64) {
	x.mu.Lock()
	x.retries.SetBurst(burst)
	x.mu.Unlock()
	x.runner.Do(func(sched routing.Scheduler, now time.Time) { sched.SetPeers(now, n) })
}

func (s *Services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.byName[name]; x != nil {
		return x
	}
	x := &service{
		name: name,
		runner: schedule.New(routing.New(routing.Settings{
			RetryPercent: unlimitedPercent, RecomputePrice: recomputePrice, HomePrior: homePrior, BatchDelay: batchDelay,
		})),
		// A daemon that has just started may have spent its part before.
		retries: admission.NewShareBudget(retryMargin*s.retries.Ratio, s.retryBurst()/2),
	}
	x.runner.OnNews(s.signalNews)
	x.setDaemons(s.daemons, s.retryBurst())
	s.byName[name] = x
	return x
}

const (
	// recomputePrice and homePrior keep prompts at one engine: measured on the
	// platform's engines, whose memory holds few long prompts (docs/design/0105).
	recomputePrice = 3
	homePrior      = 0.9
	// batchDelay is measured: engines that run 32 requests and more answer
	// some 0.1 s later than idle ones.
	batchDelay = 3 * time.Millisecond
)

// unlimitedPercent turns the scheduler's own bound on retries off: the budget
// of the service decides, which counts only what reached an upstream.
const unlimitedPercent = 100_000

// earn counts a request for the service.
func (x *service) earn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retries.Earn()
}

// mayRetry spends one retry and reports whether the budget had it.
func (x *service) mayRetry() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.retries.Take()
}

// CachedPart is a part of a prompt that an engine stores; Tokens is 0 when it
// does not any longer.
type CachedPart struct {
	// Key is as prefix.PartKey gives it.
	Key    uint64
	Tokens int
}

// Cached passes on what an engine says that it caches.
func (s *Services) Cached(u *fleet.Registration, parts []CachedPart) {
	s.observeCache(u.Service, func(o routing.CacheObserver, now time.Time) {
		for _, p := range parts {
			o.Cached(now, u.ID, u.Incarnation(), p.Key, p.Tokens)
		}
	})
}

// CacheLost passes on that an engine's cache is not known any more.
func (s *Services) CacheLost(service, engine string) {
	s.observeCache(service, func(o routing.CacheObserver, now time.Time) { o.CacheLost(now, engine) })
}

// StoredPart is a part of a prompt that the cache store keeps as made under a
// version of the weights; Tokens is 0 when it does not any longer.
type StoredPart struct {
	CachedPart
	Version int
}

// Stored passes on what the cache store says that it keeps.
func (s *Services) Stored(parts []StoredPart) {
	s.useStore(func(u routing.CacheStoreUser, now time.Time) {
		for _, p := range parts {
			u.Stored(now, p.Key, p.Version, p.Tokens)
		}
	})
}

// StoreReset passes on that nothing is known of what the cache store keeps,
// and whether it answers.
func (s *Services) StoreReset(serving bool) {
	s.storeServing.Store(serving)
	s.useStore(func(u routing.CacheStoreUser, now time.Time) { u.StoreReset(now, serving) })
}

func (s *Services) useStore(fn func(routing.CacheStoreUser, time.Time)) {
	for _, x := range s.all() {
		x.runner.Do(func(sched routing.Scheduler, now time.Time) {
			if u, ok := sched.(routing.CacheStoreUser); ok {
				fn(u, now)
			}
		})
	}
}

func (s *Services) observeCache(service string, fn func(routing.CacheObserver, time.Time)) {
	s.mu.Lock()
	x := s.byName[service]
	s.mu.Unlock()
	if x == nil {
		return
	}
	x.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if o, ok := sched.(routing.CacheObserver); ok {
			fn(o, now)
		}
	})
}

// Requests returns how many requests an upstream is known to run, and how many
// prompt tokens it has to compute for those without a first token.
func (s *Services) Requests(id string) (requests, unfinished int) {
	for _, x := range s.all() {
		x.runner.Do(func(sched routing.Scheduler, _ time.Time) {
			if c, ok := sched.(routing.Counter); ok {
				n, tokens := c.Requests(id)
				requests, unfinished = requests+n, unfinished+tokens
			}
		})
	}
	return requests, unfinished
}

// Share returns, for each service, what peers should learn of its upstreams.
func (s *Services) Share() map[string][]routing.PeerLoad {
	out := map[string][]routing.PeerLoad{}
	for _, x := range s.all() {
		x.runner.Do(func(sched routing.Scheduler, now time.Time) {
			if loads := sched.Share(now); len(loads) > 0 {
				out[x.name] = append([]routing.PeerLoad(nil), loads...)
			}
		})
	}
	return out
}

// News returns a channel that gets a token when a scheduler did something that
// peers should learn of at once; Share clears what it stands for.
func (s *Services) News() <-chan struct{} { return s.news }

func (s *Services) signalNews() {
	select {
	case s.news <- struct{}{}:
	default: // a token waits already
	}
}

// Learn passes on what a peer shared of a service's upstreams.
func (s *Services) Learn(name, peer string, loads []routing.PeerLoad) {
	s.mu.Lock()
	x := s.byName[name]
	s.mu.Unlock()
	if x != nil {
		x.runner.Do(func(sched routing.Scheduler, now time.Time) { sched.Learn(now, peer, loads) })
	}
}

func (s *Services) all() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*service, 0, len(s.byName))
	for _, x := range s.byName {
		out = append(out, x)
	}
	return out
}
