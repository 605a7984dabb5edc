// Package routing decides, for one service, where each request goes, what
// waits and what is refused. A Scheduler is a state machine without I/O and
// without a clock of its own: the caller passes the time in and carries out
// the actions that come back, so that daemons, tests in virtual time and the
// measuring tool all run the same decisions.
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
	// Weights lists what the engine has loaded, Versions the version of each;
	// cached prompts are of use only under the version that made them.
	Weights  []string
	Versions []int
	// Slots is how many requests the engine runs at once.
	Slots int
	// DataCentre is the engine's data centre.
	DataCentre string
	// Delay is the one-way network delay to the engine.
	Delay time.Duration
	// Hash is the hash of ID for rendezvous hashing.
	Hash uint64
	// Handicap is added to the predicted cost of work here, for reasons that
	// the scheduler does not know, such as weights that are to be replaced.
	Handicap time.Duration
	// Finishing engines should get no long prompts: they could not finish them
	// before they stop serving for a while.
	Finishing bool
	// TransferPerToken is the time to fetch one cached token from another
	// engine of the same data centre; 0 means that engines can't fetch.
	TransferPerToken time.Duration
}

// Class is the class of a request.
type Class struct {
	Name       string
	Priority   int
	Deferrable bool
	MaxWait    time.Duration
}

// Request is what the scheduler needs to know of a request.
type Request struct {
	ID           string
	Organisation string
	// Share is the organisation's weight.
	Share int
	Class Class
	// Weights is what the engine must have loaded.
	Weights string
	Chain   prefix.Chain
	// PromptTokens is estimated from the prompt's length.
	PromptTokens int
	// MaxOutputTokens is what the caller allows; answers are usually shorter.
	MaxOutputTokens int
	// ExpectedTokens is the caller's estimate of the answer's length; 0 for none.
	ExpectedTokens int
	// Deadline is the time by which the first token must come; zero means none.
	Deadline time.Time
	// Goal is the time to the first token that operators aim at; 0 when not stated.
	Goal time.Duration
	// Repeatable requests may be hedged and tried again.
	Repeatable bool
	// Alone requires that no other request with Alone runs at the same engine.
	Alone bool
	// Attempt counts the tries of this request, from 0. A retry is a new Submit.
	Attempt int
	// Avoid lists engines that failed this request before.
	Avoid []string
}

// ActionKind says what the caller of a Scheduler must do.
type ActionKind int8

const (
	// Start sends the request to Endpoint.
	Start ActionKind = iota
	// Hedge sends a second copy to Endpoint; the first to answer is kept.
	Hedge
	// Refuse ends the request: it was not run.
	Refuse
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Request *Request
	// Endpoint and Incarnation are set for Start and Hedge.
	Endpoint    string
	Incarnation string
	// Source is another engine, or the cache store, that is believed to hold more
	// of the prompt, empty when none is or when engines can't fetch.
	Source string
	// Save says that the engine should save the prompt to the cache store.
	Save bool
	// Why is set for Start and Hedge.
	Why Reasons
	// Code, RetryAfter and Refusal are set for Refuse.
	Code       verdict.Code
	RetryAfter time.Duration
	Refusal    Refusal
}

// Refusal holds the figures behind a refusal, for the log.
type Refusal struct {
	// Waited is how long the request waited.
	Waited time.Duration
	// Engines is how many could serve the request; Resting of all were left
	// alone after failures.
	Engines, Resting int
	// Queued is how many requests wait at this daemon.
	Queued int
	// Load is the part of all engines' places that is taken, as far as known.
	Load float64
}

// String implements fmt.Stringer.
func (r Refusal) String() string {
	return fmt.Sprintf("waited %s, %d engines, %d resting, %d queued here, load %.2f", r.Waited.Round(time.Millisecond), r.Engines, r.Resting, r.Queued, r.Load)
}

// Reasons are the figures behind a choice, for the log.
type Reasons struct {
	// Rank is the engine's place among the prompt's homes, from 0; Homes is their number.
	Rank, Homes int
	// Held is the number of prompt tokens that the engine is believed to hold,
	// Compute the number that it has to compute.
	Held, Compute int
	// Wait is the predicted time before it begins, Cost the predicted cost.
	Wait, Cost time.Duration
	// Slowdown is the engine's observed time over its normal time.
	Slowdown float64
	// Running is how many requests the engine is known to run.
	Running int
}

// String implements fmt.Stringer.
func (r Reasons) String() string {
	return fmt.Sprintf("home %d of %d, holds %d, computes %d tokens, wait %s, cost %s, slowdown %.1f, runs %d",
		r.Rank, r.Homes, r.Held, r.Compute, r.Wait.Round(time.Millisecond), r.Cost.Round(time.Millisecond), r.Slowdown, r.Running)
}

// Outcome says how an attempt at an engine ended.
type Outcome int8

const (
	// Completed means that the answer came whole.
	Completed Outcome = iota
	// Rejected means that the engine refused the attempt before any work.
	Rejected
	// Failed means that the engine or the connection to it failed.
	Failed
	// Canceled means that the caller left or the other copy of a hedge won.
	Canceled
)

// LoadReport is an engine's own report, which lags.
type LoadReport struct {
	Endpoint string
	// At is when the engine took the report.
	At      time.Time
	Running int
	Queued  int
	// Slowdown is how many times longer than usual work takes there now, as
	// the engine's host knows it; 0 when it does not say.
	Slowdown float64
}

// PeerLoad is what one daemon tells the others of an engine.
type PeerLoad struct {
	Endpoint    string
	Incarnation string
	// Outstanding is the number of prompt tokens that the engine must still
	// compute for the daemon's requests before their first tokens.
	Outstanding int
	// Requests is the number of its requests there.
	Requests int
	// Slowdown is the engine's observed time over its expected time; 1 is normal.
	Slowdown float64
	// Measured is the number of running answers that Slowdown was measured
	// by; 0 when it was inferred from times to first token.
	Measured int
	// Held are the hashes of shared prompt levels (prefix.Chain.Levels) that
	// the engine was newly seen to hold since the last Share. They are hints:
	// losing some costs a recomputation at worst.
	Held []uint64
	// Organisations is set in the one entry without an Endpoint: how many
	// requests of each organisation the daemon runs at all engines.
	Organisations []OrganisationLoad
}

// OrganisationLoad is what a daemon runs for one organisation.
type OrganisationLoad struct {
	// Hash is the hash of the organisation's name, as prefix.NodeHash gives it.
	Hash     uint64
	Requests int
}

// Scheduler decides for one service. It is not safe for concurrent use.
type Scheduler interface {
	// SetEndpoints replaces the engines that may get work. What runs at an
	// engine that is gone stays accounted for until Finished.
	SetEndpoints(now time.Time, endpoints []Endpoint)
	// SetPeers tells how many daemons share the engines, this one included.
	SetPeers(now time.Time, daemons int)
	// SetBudgets changes the bounds on hedges and retries, in percent of requests.
	SetBudgets(now time.Time, hedgePercent, retryPercent int)
	// Submit hands in a request; Advance gives the decision, at once or later.
	Submit(now time.Time, r *Request)
	// Withdraw takes back a request that has not started.
	Withdraw(now time.Time, id string)
	// FirstToken reports the first token of an attempt and the prompt tokens
	// that the engine took from its cache, CachedUnknown if it does not tell.
	FirstToken(now time.Time, id, endpoint string, cachedTokens int)
	// Finished reports the end of an attempt.
	Finished(now time.Time, id, endpoint string, outcome Outcome, outputTokens int)
	// Report records an engine's own load report.
	Report(now time.Time, r LoadReport)
	// Share returns what peers should learn, at most one entry an engine and
	// one without an endpoint for organisations. It is called once an interval; all peers get the same.
	Share(now time.Time) []PeerLoad
	// Learn records what a peer shared; it replaces what that peer shared before.
	Learn(now time.Time, peer string, loads []PeerLoad)
	// Advance returns the actions that are due. The slice is valid until the next call.
	Advance(now time.Time) []Action
	// NextWake returns when Advance should be called even if nothing happens
	// before; zero means never.
	NextWake(now time.Time) time.Time
}

// CachedUnknown is the count of cached tokens of engines that do not tell.
const CachedUnknown = -1

// ProgressObserver is implemented by a Scheduler that learns from answers as
// they come. A caller that streams tells it, for each attempt that generates,
// at most every ProgressInterval.
type ProgressObserver interface {
	// Progress reports how many output tokens of an attempt have come so far.
	Progress(now time.Time, id, endpoint string, outputTokens int)
}

// CacheObserver is implemented by a Scheduler that can be told what engines
// cache, as the engines themselves say.
type CacheObserver interface {
	// Cached reports that an incarnation of an engine stores tokens of a part,
	// 0 for none any longer. part is a key as prefix.PartKey gives it.
	Cached(now time.Time, endpoint, incarnation string, part uint64, tokens int)
	// CacheLost reports that nothing is known any more of what an engine stores.
	CacheLost(now time.Time, endpoint string)
}

// CacheStore is a store that engines save prompts to and fetch them from.
type CacheStore struct {
	// ID is the store's address.
	ID         string
	DataCentre string
	// TransferPerToken is the time to move one cached token.
	TransferPerToken time.Duration
	// Serving says whether the store answers when it is told of first.
	Serving bool
}

// CacheStoreUser is implemented by a Scheduler that uses a store of cached prompts.
type CacheStoreUser interface {
	// SetCacheStore tells of the store; nil means that there is none.
	SetCacheStore(now time.Time, store *CacheStore)
	// Stored reports that the store keeps tokens of a part that was made under a
	// version of a model's weights, 0 for none any longer. part is a key as
	// prefix.PartKey gives it.
	Stored(now time.Time, part uint64, version, tokens int)
	// StoreReset reports that nothing is known of what the store keeps, and
	// whether it answers. It is not used while it does not.
	StoreReset(now time.Time, serving bool)
}

// Counter is implemented by a Scheduler that knows what engines run.
type Counter interface {
	// Requests returns how many requests an engine is known to run, here and for
	// peers, and how many prompt tokens it has to compute for those without a
	// first token; 0 for engines that are not known.
	Requests(endpoint string) (requests, unfinished int)
}

// NewsTeller is implemented by a Scheduler that knows when peers should learn
// at once what Share returns.
type NewsTeller interface {
	// News reports whether a long prompt was sent to an engine since the last Share.
	News() bool
}

// ProgressInterval is the least time between two reports of an attempt's progress.
const ProgressInterval = 100 * time.Millisecond

// Settings tunes a Scheduler.
type Settings struct {
	// HedgePercent bounds hedges, in percent of requests.
	HedgePercent int
	// RetryPercent bounds retries, in percent of requests.
	RetryPercent int
	// RecomputePrice multiplies the price of recomputation; 0 means 1.
	RecomputePrice float64
	// HomePrior is the part of its shared levels that a prompt's first home is
	// presumed to hold when nothing is known; 0 means the default, which falls
	// soon after the start.
	HomePrior float64
	// BatchDelay is how much longer a first token takes for each request that
	// the engine runs beside it; 0 when engines run them apart.
	BatchDelay time.Duration
	// Seed fixes the tie-breaking of a Scheduler.
	Seed uint64
	// Without turns single rules off, by name, to measure what they earn.
	Without []string
}
