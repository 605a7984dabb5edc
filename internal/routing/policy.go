package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// defaultMaxWait applies to classes that state none.
	defaultMaxWait = 10 * time.Second
	// queueLimit bounds the requests that wait in a daemon.
	queueLimit = 4096
	// rateEntries and the hint entries bound the memory of the tables.
	rateEntries       = 1 << 14
	hintEntriesMin    = 1 << 14
	hintEntriesMax    = 1 << 18
	hintsPerEngine    = 1 << 10
	defaultRetryAfter = time.Second
	// initialRetries lets a service with little traffic survive an engine's crash.
	initialRetries = 10
)

// Policy is the product's Scheduler. A request goes to the home of its prompt
// with the least predicted cost, waits in a queue that is fair by
// organisation, or is refused.
type Policy struct {
	rules   rules
	tuning  Settings
	now     time.Time
	started time.Time
	daemons int

	engines []*engine
	byID    map[string]*engine
	pools   map[string]*placement.Pool
	all     placement.Pool
	// splits are the pools divided by what their engines are kept for.
	splits     map[string]*splitPool
	candidates []int
	resting    int
	// generation counts changes of the engines.
	generation int

	flights map[string]*flight
	queue   *admission.Queue[*waiting]
	fresh   []*admission.Item[*waiting]
	dirty   bool
	recheck time.Time

	speed   *placement.Speed
	learned learned
	// normalPace is that of a normal engine's answers.
	normalPace placement.NormalPace
	drain      drain
	rates      *placement.Rates
	hints      *placement.Hints
	store      *cacheStore // nil when there is none
	holders    []holder
	picker     placement.Homes
	widths     []int

	organisations organisations
	// slots counts those of all engines, own the daemon's attempts and
	// peerRequests those of peers.
	slots        int
	own          int
	peerRequests int

	peers        map[string]*peerView
	peersChecked time.Time
	shared       []PeerLoad

	hedges      hedgeHeap
	hedgeBudget *admission.Budget
	retryBudget *admission.Budget

	// news is set when peers should learn at once what Share returns.
	news bool

	pending []Action
	actions []Action
}

// waiting is a request in the queue.
type waiting struct {
	request    *Request
	demand     demand
	homes      []int
	generation int
}

// New returns a Policy.
func New(s Settings) *Policy {
	p := &Policy{
		rules: newRules(s.Without), tuning: s, daemons: 1,
		byID: map[string]*engine{}, pools: map[string]*placement.Pool{},
		flights: map[string]*flight{}, peers: map[string]*peerView{},
		speed:       placement.NewSpeed(),
		hedgeBudget: admission.NewBudget(s.HedgePercent, 0),
		retryBudget: admission.NewBudget(s.RetryPercent, initialRetries),
	}
	p.queue = admission.NewQueue[*waiting](queueLimit, p.rules.fairness)
	return p
}

var _ Scheduler = (*Policy)(nil)

// SetPeers implements Scheduler.
func (p *Policy) SetPeers(now time.Time, daemons int) {
	p.tick(now)
	p.daemons = max(1, daemons)
	p.dirty = true
}

// Submit implements Scheduler.
func (p *Policy) Submit(now time.Time, r *Request) {
	p.tick(now)
	if r.Attempt > 0 && !p.retryBudget.Take() {
		p.refuse(r, verdict.CodeOverloaded, defaultRetryAfter)
		return
	}
	if r.Attempt == 0 {
		p.retryBudget.Earn()
		p.hedgeBudget.Earn()
	}
	p.observeRates(now, r)
	item := p.newItem(now, r)
	if pool := p.pool(r); pool == nil || len(pool.Members) == 0 {
		p.refuse(r, verdict.CodeNoUpstream, defaultRetryAfter)
		return
	}
	p.fresh = append(p.fresh, item)
}

func (p *Policy) newItem(now time.Time, r *Request) *admission.Item[*waiting] {
	wait := r.Class.MaxWait
	if wait <= 0 {
		wait = defaultMaxWait
	}
	expires := now.Add(wait)
	if !r.Deadline.IsZero() && r.Deadline.Before(expires) {
		expires = r.Deadline
	}
	return &admission.Item[*waiting]{
		ID: r.ID, Organisation: r.Organisation, Share: max(1, r.Share),
		Priority: r.Class.Priority, Deferrable: r.Class.Deferrable,
		Work: p.work(r), Queued: now, Expires: expires,
		Value: &waiting{request: r, demand: p.demand(now, r), generation: -1},
	}
}

// work predicts how long a request holds a slot, in seconds.
func (p *Policy) work(r *Request) float64 {
	return p.learned.outputTokens(r)*p.learned.pace.or(paceStart.Seconds()) + p.speed.FirstToken(float64(r.PromptTokens)*workUncached).Seconds()
}

// workUncached is the share of a prompt assumed to be computed when work is predicted.
const workUncached = 0.25

// Withdraw implements Scheduler.
func (p *Policy) Withdraw(now time.Time, id string) {
	p.tick(now)
	for i, it := range p.fresh {
		if it.ID == id {
			p.fresh = append(p.fresh[:i], p.fresh[i+1:]...)
			return
		}
	}
	for i := range p.pending {
		if p.pending[i].Request.ID == id {
			p.pending = append(p.pending[:i], p.pending[i+1:]...)
			return
		}
	}
	p.queue.Remove(id)
}

// Requests implements Counter.
func (p *Policy) Requests(endpoint string) (requests, unfinished int) {
	e := p.byID[endpoint]
	if e == nil {
		return 0, 0
	}
	return p.taken(e), int(e.ownTokens) + e.peers.tokens
}

// News implements NewsTeller.
func (p *Policy) News() bool { return p.news }

// Share implements Scheduler.
func (p *Policy) Share(now time.Time) []PeerLoad {
	p.tick(now)
	return append([]PeerLoad(nil), p.share(now)...)
}

// Learn implements Scheduler.
func (p *Policy) Learn(now time.Time, peer string, loads []PeerLoad) {
	p.tick(now)
	p.learn(now, peer, loads)
	p.dirty = true
}

// Advance implements Scheduler.
func (p *Policy) Advance(now time.Time) []Action {
	p.tick(now)
	p.actions = append(p.actions[:0], p.pending...)
	clear(p.pending)
	p.pending = p.pending[:0]
	p.expirePeers(now)
	p.dispatch(now)
	p.expire(now)
	p.hedge(now)
	return p.actions
}

// NextWake implements Scheduler.
func (p *Policy) NextWake(time.Time) time.Time {
	wake := p.queue.NextExpiry()
	if len(p.hedges) > 0 {
		wake = earlier(wake, p.hedges[0].at)
	}
	if p.queue.Len() > 0 {
		wake = earlier(wake, p.recheck)
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (p *Policy) tick(now time.Time) { p.now = now }

func (p *Policy) refuse(r *Request, code verdict.Code, after time.Duration) {
	p.pending = append(p.pending, Action{Kind: Refuse, Request: r, Code: code, RetryAfter: after, Refusal: p.refusal(r, 0)})
}

func (p *Policy) attempt(id, endpoint string) *attempt {
	f := p.flights[id]
	if f == nil {
		return nil
	}
	return f.at(endpoint)
}
