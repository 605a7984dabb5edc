// Package routing schedules the requests of one service: it chooses the engine
// of each request, queues requests and refuses them. A Scheduler is a state
// machine without I/O and without a clock: the caller passes the time in and
// carries out the returned actions, so that daemons, tests in virtual time and
// the simulator make the same decisions.
package routing

import (
	"fmt"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Endpoint is an engine that may get new work.
type Endpoint struct {
	// ID is the engine's address.
	ID          string
	Incarnation string
	// StartedAt identifies the run of the engine's process; Incarnation also changes
	// with the engine's weights.
	StartedAt int64
	// Weights lists the weights that the engine has loaded, Versions the version of
	// each; a cached prompt is valid only for the version that computed it.
	Weights  []string
	Versions []int
	// Software is the version of the engine's software.
	Software string
	// Slots is how many requests the engine runs at once.
	Slots int
	// DataCentre is the engine's data centre.
	DataCentre string
	// Delay is the one-way network delay to the engine.
	Delay time.Duration
	// Hash is the hash of ID for rendezvous hashing.
	Hash uint64
	// CostPenalty is added to the predicted cost of work at the engine, for reasons
	// outside the scheduler such as weights that are about to be replaced.
	CostPenalty time.Duration
	// StoppingSoon says that the engine stops serving soon for a while, and could not
	// complete long prompts before that.
	StoppingSoon bool
	// MemoryTokens bounds the prompt and output tokens of the requests that the engine runs
	// at once, 0 if unknown; it preempts requests beyond it.
	MemoryTokens int
	// TransferPerToken is the time to fetch one cached token from another
	// engine of the same data centre; 0 if engines cannot fetch.
	TransferPerToken time.Duration
}

// Class is the class of a request.
type Class struct {
	Name       string
	Priority   int
	Deferrable bool
	MaxWait    time.Duration
}

// Request holds the properties of a request that affect scheduling.
type Request struct {
	ID           string
	Organisation string
	// Share is the organisation's weight in fair queueing.
	Share int
	Class Class
	// Weights names the weights that the engine must have loaded, empty for any engine.
	Weights string
	Chain   prefix.Chain
	// PromptTokens is an estimate from the prompt's length.
	PromptTokens int
	// MaxOutputTokens is the caller's limit; responses are usually shorter.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the response's length; 0 for none.
	ExpectedOutputTokens int
	// Deadline is the time by which the first token must arrive; zero means none.
	Deadline time.Time
	// FirstTokenGoal is the operators' objective for the time to first token; 0 for none.
	FirstTokenGoal time.Duration
	// Repeatable says that the request may be hedged and retried.
	Repeatable bool
	// Isolated keeps the request from engines that run another such request of this
	// daemon.
	Isolated bool
	// ReceivedAt is when the caller's request arrived; zero means when it is submitted.
	ReceivedAt time.Time
	// Resumed says that an engine generated the beginning of the response before.
	Resumed bool
	// Software, if OnlySoftware is set, is the software version that the engine must run:
	// that of the engine whose response is continued.
	Software     string
	OnlySoftware bool
	// PreviousAttempts is the number of earlier attempts. A retry is a new Submit.
	PreviousAttempts int
	// ExcludedEndpoints lists the IDs of engines that must not get the request because they
	// failed it before.
	ExcludedEndpoints []string
}

// ActionKind says what the caller of a Scheduler must do.
type ActionKind int8

const (
	// Start sends the request to Endpoint.
	Start ActionKind = iota
	// Hedge sends a hedged attempt to Endpoint; the first attempt to respond is kept.
	Hedge
	// Refuse ends the request: it was not run.
	Refuse
)

// Action is one decision for the caller to carry out.
type Action struct {
	Kind    ActionKind
	Request *Request
	// Endpoint and Incarnation are set for Start and Hedge.
	Endpoint    string
	Incarnation string
	// Source is the ID of the engine or cache store to fetch cached parts of the
	// prompt from, empty for none.
	Source string
	// Save says that the engine should save the prompt to the cache store.
	Save bool
	// Reasons is set for Start and Hedge.
	Reasons Reasons
	// Code, RetryAfter and Refusal are set for Refuse.
	Code       verdict.Code
	RetryAfter time.Duration
	Refusal    Refusal
	// HeldOff is set for Refuse if no engine takes the request before RetryAfter has
	// passed.
	HeldOff bool
	// RateLimited is set for Refuse if that is because of stated rate limits, and for Start
	// and Hedge if such a limit ruled an engine out.
	RateLimited bool
	// Triage says why triage delayed or refused the request; empty if it did not.
	Triage TriageReason
	// Rank orders the attempt among others of its priority at the engine, from 0 to
	// triage.MaxRank; 0 goes first. It is set for Start and Hedge.
	Rank int
	// Paced is set for Refuse if RetryAfter is this request's place among the retries of
	// refused requests.
	Paced bool
}

// Refusal holds the details of a refusal, for the log.
type Refusal struct {
	// Waited is how long the request waited.
	Waited time.Duration
	// Engines is how many engines have the request's weights, Ejected how many
	// engines of the service are ejected after failures, HeldOff how many engines are
	// held off.
	Engines, Ejected, HeldOff int
	// Queued is how many requests wait in this daemon.
	Queued int
	// Load is the fraction of all engines' slots known to be in use.
	Load float64
	// PeersKnown is how many of Peers other daemons' loads are known.
	PeersKnown, Peers int
}

// String implements fmt.Stringer.
func (r Refusal) String() string {
	return fmt.Sprintf("waited %s, %d engines, %d ejected, %d held off, %d queued in this daemon, load %.2f, loads of %d of %d peers known", r.Waited.Round(time.Millisecond), r.Engines, r.Ejected, r.HeldOff, r.Queued, r.Load, r.PeersKnown, r.Peers)
}

// Reasons holds the estimates behind a choice of engine, for the log.
type Reasons struct {
	// Rank is the engine's position among the prompt's homes, from 0; Homes is their number.
	Rank, Homes int
	// HeldTokens is the estimated number of prompt tokens that the engine holds,
	// ComputeTokens the number that it has to compute.
	HeldTokens, ComputeTokens int
	// Wait is the predicted time before prefill begins, Cost the predicted cost.
	Wait, Cost time.Duration
	// Slowdown is the ratio of the engine's observed to its normal time.
	Slowdown float64
	// Running is how many requests the engine is known to run.
	Running int
}

// String implements fmt.Stringer.
func (r Reasons) String() string {
	return fmt.Sprintf("home %d of %d, %d tokens cached, %d to compute, wait %s, cost %s, slowdown %.1f, %d running",
		r.Rank, r.Homes, r.HeldTokens, r.ComputeTokens, r.Wait.Round(time.Millisecond), r.Cost.Round(time.Millisecond), r.Slowdown, r.Running)
}

// Outcome says how an attempt at an engine ended.
type Outcome int8

const (
	// Completed means that the whole response was received.
	Completed Outcome = iota
	// Rejected means that the engine refused the attempt before any work.
	Rejected
	// Failed means that the engine or the connection to it failed.
	Failed
	// Canceled means that the caller disconnected or that another attempt of a
	// hedged request responded first.
	Canceled
)

// LoadReport is an engine's report of its load, which lags behind.
type LoadReport struct {
	Endpoint string
	// At is when the load was reported.
	At      time.Time
	Running int
	Queued  int
	// Slowdown is how many times longer than normal work takes at present, as
	// reported by the engine's host; 0 if not reported.
	Slowdown float64
}

// PeerLoad is one daemon's load at an engine, as shared with the others.
type PeerLoad struct {
	Endpoint    string
	Incarnation string
	// PendingTokens is the number of prompt tokens that the engine must still
	// compute for the daemon's requests before their first tokens.
	PendingTokens int
	// Requests is the number of the daemon's requests at the engine.
	Requests int
	// Slowdown is the ratio of the engine's observed to its expected time; 1 is normal.
	Slowdown float64
	// MeasuredResponses is the number of running responses that Slowdown was measured
	// on; 0 if it was inferred from times to first token.
	MeasuredResponses int
	// HeldLevels lists the hashes of shared prompt levels (prefix.Chain.Levels) that the
	// engine was observed to hold since loads were last shared. They are hints:
	// losing some costs a recomputation at worst.
	HeldLevels []uint64
	// Organisations is set only in the one entry without an Endpoint: the number
	// of requests that the daemon runs for each organisation at all engines.
	Organisations []OrganisationLoad
}

// OrganisationLoad is the number of requests that a daemon runs for one organisation.
type OrganisationLoad struct {
	// Hash is the hash of the organisation's name, as returned by prefix.NodeHash.
	Hash     uint64
	Requests int
}

// Scheduler schedules the requests of one service. It is not safe for concurrent use.
type Scheduler interface {
	// SetEndpoints replaces the engines that may get work. Attempts at a removed
	// engine stay accounted for until Finished.
	SetEndpoints(now time.Time, endpoints []Endpoint)
	// SetDaemonCount sets how many daemons share the engines, this one included.
	SetDaemonCount(now time.Time, daemons int)
	// SetBudgets sets the bounds on hedges and retries, in percent of requests.
	SetBudgets(now time.Time, hedgePercent, retryPercent int)
	// Submit adds a request; the next or a later Advance returns its action.
	Submit(now time.Time, r *Request)
	// Withdraw removes a request that has not started.
	Withdraw(now time.Time, id string)
	// FirstToken reports the first token of an attempt and the number of prompt
	// tokens that the engine took from its cache, or CachedUnknown.
	FirstToken(now time.Time, id, endpoint string, cachedTokens int)
	// Finished reports the end of an attempt.
	Finished(now time.Time, id, endpoint string, outcome Outcome, outputTokens int)
	// ApplyLoadReport records a load report; older reports of an engine are ignored.
	ApplyLoadReport(now time.Time, r LoadReport)
	// LoadsForPeers returns the loads to share with peers: at most one entry per engine and
	// one without an endpoint for organisations. It is called once per interval,
	// and all peers get the same entries.
	LoadsForPeers(now time.Time) []PeerLoad
	// ApplyPeerLoads replaces the loads that a peer shared before.
	ApplyPeerLoads(now time.Time, peer string, loads []PeerLoad)
	// Advance returns the actions due at now. The slice is valid until the next call.
	Advance(now time.Time) []Action
	// NextWake returns when Advance should be called if no other method is called
	// before; zero means never.
	NextWake(now time.Time) time.Time
}

// CachedUnknown stands for the number of cached tokens if the engine reports none.
const CachedUnknown = -1

// ProgressObserver is implemented by a Scheduler that measures running responses.
// A caller that streams reports each generating attempt at most once every
// ProgressInterval.
type ProgressObserver interface {
	// Progress reports how many output tokens of an attempt have arrived so far.
	Progress(now time.Time, id, endpoint string, outputTokens int)
}

// CacheObserver is implemented by a Scheduler that uses the cache events of engines.
type CacheObserver interface {
	// PartCached reports how many tokens of a part an incarnation of an engine has
	// cached, 0 after eviction. part is a key returned by prefix.PartKey.
	PartCached(now time.Time, endpoint, incarnation string, part uint64, tokens int)
	// CacheLost reports that the contents of an engine's cache are no longer known.
	CacheLost(now time.Time, endpoint string)
}

// CacheStore is a store that engines save prompts to and fetch them from.
type CacheStore struct {
	// ID is the store's address.
	ID         string
	DataCentre string
	// TransferPerToken is the time to move one cached token.
	TransferPerToken time.Duration
	// Serving says whether the store is available when it is set for the first time;
	// later StoreReset reports it.
	Serving bool
}

// CacheStoreUser is implemented by a Scheduler that uses a store of cached prompts.
type CacheStoreUser interface {
	// SetCacheStore sets the store; nil means that there is none.
	SetCacheStore(now time.Time, store *CacheStore)
	// PartStored reports how many tokens of a part the store keeps for a version of a
	// model's weights, 0 after eviction. part is a key returned by prefix.PartKey.
	PartStored(now time.Time, part uint64, version, tokens int)
	// StoreReset reports that the contents of the store are not known, and whether
	// the store is available. It is not used while it is unavailable.
	StoreReset(now time.Time, serving bool)
}

// RequestCounter is implemented by a Scheduler that counts the requests at engines.
type RequestCounter interface {
	// Requests returns how many requests of this daemon and its peers an engine is
	// known to run, and how many prompt tokens it has to compute for those without
	// a first token; 0 for an unknown engine.
	Requests(endpoint string) (requests, pendingTokens int)
	// Attempts returns how many attempts of this daemon have not been reported as finished.
	Attempts() int
}

// HoldOffKeeper is implemented by a Scheduler that starts nothing at engines that are
// held off: they have asked this daemon for no requests until a time.
type HoldOffKeeper interface {
	// HoldOff holds off one run of an engine's process until a time, or until the end
	// of an earlier call if that is later. It reports whether a hold-off begins.
	HoldOff(now time.Time, endpoint string, startedAt int64, until time.Time) bool
	// HeldOff reports whether a run of an engine's process is held off.
	HeldOff(now time.Time, endpoint string, startedAt int64) bool
}

// RateLimit is a rate that an engine states, or that it states none.
type RateLimit struct {
	// PerSecond is how many requests a second the engine takes from all daemons together;
	// 0 for no limit.
	PerSecond float64
	// At is when a response that stated the limit was received or, for none, when the
	// request was sent whose response stated none: a response that was on its way when the
	// engine began to state a limit does not end it.
	At time.Time
}

// RateLimitKeeper is implemented by a Scheduler that keeps to the rate limits that engines
// state, together with the other daemons.
type RateLimitKeeper interface {
	// SetRateLimit records what an engine stated to this daemon or to another, for one run of
	// the engine's process. It is ignored if something newer is known. changed reports
	// whether the rate is another now.
	SetRateLimit(now time.Time, endpoint string, startedAt int64, limit RateLimit) (changed bool)
	// RateLimit returns what is known of a run of an engine's process; known is false if it
	// never stated a limit.
	RateLimit(endpoint string, startedAt int64) (limit RateLimit, known bool)
	// RateLimits returns how many engines' rates are limited.
	RateLimits() int
	// SetDaemons sets the names of all daemons, of which self is this one.
	SetDaemons(now time.Time, self string, daemons []string)
	// SetSharedTime sets the time on a clock that all daemons share.
	SetSharedTime(now time.Time, shared time.Duration)
	// Admit reports whether an attempt that was started may be sent: the limit may have
	// become known since.
	Admit(now time.Time, id, endpoint string) bool
}

// ShareNotifier is implemented by a Scheduler that reports when its loads should be
// shared with peers at once instead of after the interval.
type ShareNotifier interface {
	// ShareDue reports whether a long prompt was sent to an engine since the loads were
	// last shared.
	ShareDue() bool
}

// ProgressInterval is the least time between two reports of an attempt's progress.
const ProgressInterval = 100 * time.Millisecond

// Settings configures a Scheduler.
type Settings struct {
	// HedgePercent bounds hedges, in percent of requests.
	HedgePercent int
	// RetryPercent bounds retries, in percent of requests.
	RetryPercent int
	// RecomputePrice multiplies the price of recomputation; 0 means 1.
	RecomputePrice float64
	// HomePrior is the fraction of a prompt's shared levels that its first home is
	// presumed to hold without a hint; 0 means the default, which falls soon after
	// the start.
	HomePrior float64
	// BatchDelay is how much each other request that the engine runs adds to the
	// time to first token; 0 if engines do not batch requests.
	BatchDelay time.Duration
	// Seed seeds the tie-breaking of a Scheduler.
	Seed uint64
	// DisabledRules lists the names of rules to turn off, to measure their effect.
	DisabledRules []string
}
