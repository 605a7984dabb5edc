package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/admission/triage"
	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// defaultMaxWait applies to classes without a maximum wait.
	defaultMaxWait = 10 * time.Second
	// maxQueued bounds the requests that wait in a daemon.
	maxQueued = 4096
	// rateEntries, minHintEntries and maxHintEntries bound the memory of the tables.
	rateEntries          = 1 << 14
	minHintEntries       = 1 << 14
	maxHintEntries       = 1 << 18
	hintEntriesPerEngine = 1 << 10
	defaultRetryAfter    = time.Second
	// initialRetryBudget allows retries after an engine's crash in a service with
	// little traffic.
	initialRetryBudget = 10
)

// Policy is the default Scheduler. A request goes to the home of its prompt
// with the least predicted cost, waits in a queue that is fair by
// organisation, or is refused.
type Policy struct {
	rules       rules
	settings    Settings
	now         time.Time
	startedAt   time.Time
	daemonCount int

	engines []*engine
	// removed are the engines in byID that may get no more work.
	removed    []*engine
	byID       map[string]*engine
	pools      map[string]*placement.Pool
	allEngines placement.Pool
	// splitPools are the pools divided into reserved and other engines, by weights.
	splitPools     map[string]*splitPool
	homesBuffer    []int
	sparesBuffer   []int
	ejectedEngines int
	// engineGeneration counts changes of the engines and of their hold-offs; it
	// invalidates stored homes.
	engineGeneration int
	// holdOffs holds the ends of hold-offs, of engines that are not listed too.
	holdOffs map[process]time.Time
	// rateLimits holds the rates that engines state, of engines that are not listed too.
	rateLimits rateLimits
	// holdOffsEndAt is no later than the first end of a hold-off; zero if there is none.
	holdOffsEndAt time.Time
	// checkHeldOff is true if queued requests may have lost their last engine.
	checkHeldOff bool

	inFlight   map[string]*inFlight
	queue      *admission.Queue[*queuedRequest]
	arrivals   []*admission.Item[*queuedRequest]
	recheckNow bool
	recheckAt  time.Time
	// checkedAt is when the queued requests were last tried.
	checkedAt time.Time

	speed         *placement.PrefillSpeed
	responseStats responseStats
	// normalTokenLatency is the token latency of a normal engine's responses.
	normalTokenLatency placement.NormalTokenLatency
	dispatchRate       dispatchRate
	rates              *placement.Rates
	hints              *placement.Hints
	cacheStore         *cacheStore // nil when there is none
	holders            []holder
	homePicker         placement.HomePicker
	homeCounts         []int

	// triage is nil while triage is off.
	triage *triageState

	organisations organisations
	// totalSlots counts the slots of all engines, ownAttempts this daemon's
	// attempts and peerRequests those of peers.
	totalSlots   int
	ownAttempts  int
	peerRequests int
	// ownDemand averages ownAttempts, ownShortDemand the short prompts among them.
	ownDemand, ownShortDemand demandAverage
	// preferred counts the preferred slots of each pool, by weights.
	preferred map[string]preferredSlots

	peers         map[string]*peerState
	lastPeerCheck time.Time
	shareBuffer   []PeerLoad

	hedges      hedgeHeap
	hedgeBudget *admission.Budget
	retryBudget *admission.Budget

	// announcing is the state of announcements to peers.
	announcing announcing
	// shareDue is true if loads should be shared with peers at once.
	shareDue bool
	// explanation is set while Explain runs.
	explanation *Explanation

	submitRefusals []Action
	actions        []Action
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	request          *Request
	demand           demand
	homes            []int
	engineGeneration int
	// triage is nil where triage does not apply.
	triage *triage.Waiting
}

// draw returns a number that is uniform over requests and fixed for a request and key
// at this daemon.
func (p *Policy) draw(r *Request, key uint64) uint64 {
	return prefix.Score(prefix.NodeHash(r.ID), p.settings.Seed^key)
}

// New returns a Policy.
func New(s Settings) *Policy {
	p := &Policy{
		rules: newRules(s.DisabledRules), settings: s, daemonCount: 1,
		byID: map[string]*engine{}, pools: map[string]*placement.Pool{},
		inFlight: map[string]*inFlight{}, peers: map[string]*peerState{}, holdOffs: map[process]time.Time{}, rateLimits: rateLimits{byProcess: map[process]*rateState{}},
		speed:       placement.NewPrefillSpeed(),
		hedgeBudget: admission.NewBudget(s.HedgePercent, 0),
		retryBudget: admission.NewBudget(s.RetryPercent, initialRetryBudget),
	}
	p.queue = admission.NewQueue[*queuedRequest](maxQueued, p.rules.fairness)
	return p
}

var _ Scheduler = (*Policy)(nil)

// SetDaemonCount implements Scheduler.
func (p *Policy) SetDaemonCount(now time.Time, daemons int) {
	p.setNow(now)
	p.daemonCount = max(1, daemons)
	p.recheckNow = true
}

// Submit implements Scheduler.
func (p *Policy) Submit(now time.Time, r *Request) {
	p.setNow(now)
	if r.PreviousAttempts > 0 && !p.retryBudget.Take() {
		p.refuseOnSubmit(r, verdict.CodeOverloaded, defaultRetryAfter)
		return
	}
	if r.PreviousAttempts == 0 {
		p.retryBudget.Credit()
		p.hedgeBudget.Credit()
	}
	p.observeRates(now, r)
	item := p.newItem(now, r)
	if pool := p.pool(r); pool == nil || len(pool.Members) == 0 {
		p.refuseOnSubmit(r, verdict.CodeNoUpstream, defaultRetryAfter)
		return
	}
	p.arrivals = append(p.arrivals, item)
}

func (p *Policy) newItem(now time.Time, r *Request) *admission.Item[*queuedRequest] {
	wait := r.Class.MaxWait
	if wait <= 0 {
		wait = defaultMaxWait
	}
	expires := now.Add(wait)
	if !r.Deadline.IsZero() && r.Deadline.Before(expires) {
		expires = r.Deadline
	}
	work := p.predictWork(r)
	return &admission.Item[*queuedRequest]{
		ID: r.ID, Organisation: r.Organisation, Share: max(1, r.Share),
		Priority: r.Class.Priority, Deferrable: r.Class.Deferrable,
		Work: work, QueuedAt: now, ExpiresAt: expires,
		Value: &queuedRequest{request: r, demand: p.demand(now, r), engineGeneration: -1, triage: p.triageRequest(now, r, work, expires)},
	}
}

// predictWork predicts how long a request holds a slot, in seconds.
func (p *Policy) predictWork(r *Request) float64 {
	return p.responseStats.predictOutputTokens(r)*p.responseStats.tokenLatency.valueOr(initialTokenLatency.Seconds()) + p.speed.FirstToken(float64(r.PromptTokens)*assumedUncachedFraction).Seconds()
}

// assumedUncachedFraction is the fraction of a prompt assumed not to be cached when
// work is predicted.
const assumedUncachedFraction = 0.25

// Withdraw implements Scheduler.
func (p *Policy) Withdraw(now time.Time, id string) {
	p.setNow(now)
	for i, it := range p.arrivals {
		if it.ID == id {
			p.arrivals = append(p.arrivals[:i], p.arrivals[i+1:]...)
			return
		}
	}
	for i := range p.submitRefusals {
		if p.submitRefusals[i].Request.ID == id {
			p.submitRefusals = append(p.submitRefusals[:i], p.submitRefusals[i+1:]...)
			return
		}
	}
	p.queue.Remove(id)
}

// Requests returns how many requests an engine is known to run and how many prompt
// tokens it has to compute, whether or not the engine may get more.
func (p *Policy) Requests(endpoint string) (requests, pendingTokens int) {
	if e := p.byID[endpoint]; e != nil {
		return p.takenSlots(e), int(e.ownTokens) + e.peerLoad.pendingTokens
	}
	for _, state := range p.peers {
		for i := range state.loads {
			if l := &state.loads[i]; l.Endpoint == endpoint {
				requests, pendingTokens = requests+l.Requests, pendingTokens+l.PendingTokens
			}
		}
	}
	return requests, pendingTokens
}

// Attempts implements RequestCounter.
func (p *Policy) Attempts() int { return p.ownAttempts }

// ShareDue reports whether the loads should be shared with peers at once.
func (p *Policy) ShareDue() bool { return p.shareDue }

// LoadsForPeers implements Scheduler.
func (p *Policy) LoadsForPeers(now time.Time) []PeerLoad {
	p.setNow(now)
	return append([]PeerLoad(nil), p.collectLoads(now)...)
}

// ApplyPeerLoads implements Scheduler.
func (p *Policy) ApplyPeerLoads(now time.Time, peer string, loads []PeerLoad) {
	p.setNow(now)
	p.setPeerLoads(now, peer, loads)
	p.recheckNow = true
}

// Advance implements Scheduler.
func (p *Policy) Advance(now time.Time) []Action {
	p.setNow(now)
	p.actions = append(p.actions[:0], p.submitRefusals...)
	clear(p.submitRefusals)
	p.submitRefusals = p.submitRefusals[:0]
	p.expirePeers(now)
	p.endHoldOffs(now)
	p.dispatch(now)
	p.expire(now)
	p.hedge(now)
	return p.actions
}

// NextWake implements Scheduler.
func (p *Policy) NextWake(time.Time) time.Time {
	wake := time.Time{}
	if it := p.queue.NextExpiring(); it != nil {
		if wake = patienceEnd(it); !p.checkedAt.Before(wake) {
			wake = it.ExpiresAt
		}
	}
	if len(p.hedges) > 0 {
		wake = earlier(wake, p.hedges[0].at)
	}
	if p.queue.Len() > 0 {
		wake = earlier(earlier(wake, p.recheckAt), p.holdOffsEndAt)
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (p *Policy) setNow(now time.Time) { p.now = now }

func (p *Policy) refuseOnSubmit(r *Request, code verdict.Code, after time.Duration) {
	p.submitRefusals = append(p.submitRefusals, Action{Kind: Refuse, Request: r, Code: code, RetryAfter: after, Refusal: p.refusal(r, 0)})
}

func (p *Policy) attempt(id, endpoint string) *attempt {
	f := p.inFlight[id]
	if f == nil {
		return nil
	}
	return f.attemptAt(endpoint)
}
