package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// defaultTimeout applies to callers that send no deadline.
	defaultTimeout = 30 * time.Second
	// deadlineGrace extends the wait past the deadline for a response that is
	// in flight, such as the upstream's own report that the deadline has
	// passed.
	deadlineGrace = 40 * time.Millisecond
	// maxRetryAfterFraction limits a Retry-After delay to this fraction of the
	// caller's remaining time; the platform's callers ignore longer ones.
	maxRetryAfterFraction = 1.0 / 3
	// startupRetryAfter is the Retry-After delay while the daemon has not
	// loaded a desired state.
	startupRetryAfter = 300 * time.Millisecond
	// drainRetryAfter is the Retry-After delay of a draining daemon; the caller
	// retries at another daemon.
	drainRetryAfter = 20 * time.Millisecond
	// bodyRetryAfter is the Retry-After delay while the memory for bodies is full: those that
	// fill it take about as long to arrive.
	bodyRetryAfter = time.Second
	// minBodyBuffer is the size of the first buffer for a body of unknown length.
	minBodyBuffer = 4 << 10
	// maxQueueWaitFraction is the fraction of a route's time-to-first-byte goal
	// that a request may queue in the daemon.
	maxQueueWaitFraction = 1.0 / 8
	// withdrawnWaitFraction is the fraction of its remaining time that a request may queue
	// that was withdrawn from an upstream's queue.
	withdrawnWaitFraction = 0.5
	// maxLoggedStack is how many bytes of a panic's stack are logged.
	maxLoggedStack = 4 << 10
	// defaultFirstByteGoal applies to routes without a goal.
	defaultFirstByteGoal = time.Second
)

// Config holds the dependencies and settings of a Forwarder.
type Config struct {
	Headers  HeaderCodec
	Pool     *httpconn.Pool
	Services *Services
	Liveness *Liveness
	// Table returns the desired state in force, or nil before one is loaded.
	Table func() *routetable.Table
	// Registry returns the registered upstreams.
	Registry func() *fleet.RegistrySnapshot
	// UsableUntil returns the time by which requests at an upstream must have
	// ended, whatever their deadline; ok is false if there is none. May be nil.
	UsableUntil func(id string) (until time.Time, ok bool)
	// Origins tells which software version began a stream; may be nil.
	Origins Origins
	// Suspects tracks requests that may crash upstreams; may be nil.
	Suspects SuspectTracker
	// PromptParts tracks prompt parts that may crash upstreams; may be nil.
	PromptParts PromptPartTracker
	// OnOutcome is called with the outcome of each request; may be nil.
	OnOutcome func(Outcome)
	// OnWeightsVersion is called with each weights version that an upstream
	// reports; may be nil.
	OnWeightsVersion func(u *fleet.Registration, model string, version int)
	// OnLeaving is called, before the response is relayed, for each response in which
	// an upstream says that it leaves; may be nil.
	OnLeaving func(u *fleet.Registration)
	// OnRateLimit is called for each response that tells something of an upstream's rate
	// limit; may be nil.
	OnRateLimit func(u *fleet.Registration)
	// OnRateLimited is called for each attempt that goes elsewhere because of a rate limit,
	// and for each request that is refused; may be nil.
	OnRateLimited func(refused bool)
	// OnTriage is called for each request that triage delays or refuses; may be nil.
	OnTriage func(refused bool, reason routing.TriageReason)
	// OnMalformedRateLimit is called for each stated rate limit without meaning; may be nil.
	OnMalformedRateLimit func()
	// Allowances keeps organisations within their quotas; may be nil.
	Allowances Allowances
	Log        *eventlog.Log
	// MaxBodyBytes limits the total size of request bodies held in memory; 0
	// means no limit.
	MaxBodyBytes int64
	// MaxResponseBytes limits the total size of the parts of responses held in memory; 0 means
	// no limit.
	MaxResponseBytes int64
	// SlowReaders is set if callers and upstreams may read slowly: responses are read while their
	// callers read slowly, and the bodies on their way to each upstream are bounded.
	SlowReaders bool
	// OnSlowReader is called for each response that is ended because its caller reads it too
	// slowly; may be nil.
	OnSlowReader func()
	// OnUploadDiverted is called for each attempt that goes elsewhere because an upstream reads
	// bodies slowly; may be nil.
	OnUploadDiverted func()
	// OnWithdrawn is called with WithdrawnForWeights or WithdrawnForIsolation for each attempt
	// that is withdrawn because its upstream may not begin it any longer; may be nil.
	OnWithdrawn func(cause string)
}

// Forwarder is the HTTP handler for callers' requests.
type Forwarder struct {
	Config
	// bodyMemory is held by requests' bodies from before they are read to their request's end,
	// responseMemory by the parts of responses that are not relayed yet.
	bodyMemory, responseMemory memoryBudget
	spools                     spools
	uploads                    uploads
	priorityBands              priorityBandCache
	// stopAt caps the deadlines of new requests; nil unless the daemon is
	// stopping.
	stopAt atomic.Pointer[time.Time]
	// refusing is set once new requests are refused.
	refusing atomic.Bool
	// abortCtx is cancelled to abort the requests that are still in flight.
	abortCtx context.Context
	abort    context.CancelFunc
}

// New returns a Forwarder. Callbacks that are nil do nothing.
func New(c Config) *Forwarder {
	if c.OnWeightsVersion == nil {
		c.OnWeightsVersion = func(*fleet.Registration, string, int) {}
	}
	if c.OnLeaving == nil {
		c.OnLeaving = func(*fleet.Registration) {}
	}
	if c.OnRateLimit == nil {
		c.OnRateLimit = func(*fleet.Registration) {}
	}
	if c.OnRateLimited == nil {
		c.OnRateLimited = func(bool) {}
	}
	if c.OnMalformedRateLimit == nil {
		c.OnMalformedRateLimit = func() {}
	}
	if c.OnTriage == nil {
		c.OnTriage = func(bool, routing.TriageReason) {}
	}
	if c.OnOutcome == nil {
		c.OnOutcome = func(Outcome) {}
	}
	if c.OnSlowReader == nil {
		c.OnSlowReader = func() {}
	}
	if c.OnUploadDiverted == nil {
		c.OnUploadDiverted = func() {}
	}
	if c.OnWithdrawn == nil {
		c.OnWithdrawn = func(string) {}
	}
	if c.UsableUntil == nil {
		c.UsableUntil = noLimit
	}
	if c.Origins == nil {
		c.Origins = noOrigins{}
	}
	if c.Suspects == nil {
		c.Suspects = noSuspects{}
	}
	if c.Liveness != nil {
		c.Liveness.usableUntil = c.UsableUntil
		if c.Table != nil {
			c.Liveness.table = c.Table
		}
		c.Liveness.onCrash = func(service, id, process string, requests []RunningRequest) {
			reportCrash(c.Suspects, c.PromptParts, service, id, process, time.Now(), requests)
		}
		c.Liveness.onLostCrash = func(id, process string, at time.Time, requests []RunningRequest) {
			c.Suspects.UpstreamCrashed(id, process, at, fingerprintsOf(requests))
		}
	}
	f := &Forwarder{Config: c}
	f.responseMemory.limit, f.responseMemory.unleased = c.MaxResponseBytes, unleasedBytes
	f.bodyMemory.limit, f.bodyMemory.unleased = c.MaxBodyBytes, unleasedBodyBytes
	f.spools.active, f.uploads.bytes = map[*spool]struct{}{}, map[string]int64{}
	f.abortCtx, f.abort = context.WithCancel(context.Background())
	return f
}

func noLimit(string) (time.Time, bool) { return time.Time{}, false }

func noTable() *routetable.Table { return nil }

// SetStopTime caps the deadlines of requests that arrive from now on.
func (f *Forwarder) SetStopTime(at time.Time) { f.stopAt.Store(&at) }

// RefuseNewRequests makes the Forwarder refuse all requests that arrive from
// now on.
func (f *Forwarder) RefuseNewRequests() { f.refusing.Store(true) }

// AbortRequests cancels the requests still in flight. Each gets an error
// response, or an aborted connection if part of a response was relayed.
func (f *Forwarder) AbortRequests() { f.abort() }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := &transfer{forwarder: f, writer: w, callerRequest: r, receivedAt: time.Now(), bodyMemory: f.bodyMemory.lease()}
	defer t.containPanic()
	defer t.bodyMemory.release()
	if f.SlowReaders {
		t.spool = f.newSpool(w, r)
		t.writer = t.spool
		defer t.spool.abandon() // after finish without effect
	}
	err := t.accept()
	if errors.Is(err, errBodyMemory) {
		t.refuseBody(err)
		return
	}
	if err != nil {
		t.writeError(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), t.deadline.Add(deadlineGrace))
	defer cancel()
	defer context.AfterFunc(f.abortCtx, cancel)()
	t.spool.setRequest(t.priority(), t.deadline, cancel)
	t.run(ctx)
	t.awaitCaller()
}

// awaitCaller waits until the caller has read the response.
func (t *transfer) awaitCaller() {
	if t.spool == nil {
		return
	}
	t.body = nil
	t.bodyMemory.release()
	t.keepFailure(nil)
	if err := t.spool.finish(); err != nil {
		t.abortIfCallerLeft(err)
	}
}

// containPanic ends a request whose handler panicked. Its caller is promised nothing, since the
// panic may have come at any point.
func (t *transfer) containPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		stack := debug.Stack()
		t.logEvent(eventlog.RequestPanicked, "", errors.Newf("%v: %s", cause, stack[:min(len(stack), maxLoggedStack)]))
		t.recordOutcome(ResultPanicked, t.verdict())
	}
	panic(http.ErrAbortHandler) // closes the connection
}

// accept identifies the request and reads its body.
func (t *transfer) accept() error {
	table, err := t.identify()
	if err != nil {
		return err
	}
	return t.readBody(table.Limits.BodyBytes)
}

// identify authenticates the request and selects its route and service. It returns the desired
// state in force.
func (t *transfer) identify() (*routetable.Table, error) {
	f, w, r := t.forwarder, t.writer, t.callerRequest
	if f.refusing.Load() {
		w.Header().Set("Connection", "close")
		e := verdict.New(verdict.NotRun, verdict.CodeDraining, "this daemon is draining; retry at another daemon")
		e.RetryAfter = drainRetryAfter
		return nil, e
	}
	table := f.Table()
	if table == nil {
		e := verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "this daemon has not loaded the desired state yet")
		e.RetryAfter = startupRetryAfter
		return nil, e
	}
	t.revision = table.Revision
	var err error
	if t.metadata, err = f.Headers.ReadRequest(r.Header); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "invalid request headers")
	}
	if t.metadata.ID == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request ID header is missing")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if t.route = table.Match(r.Host, path); t.route == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route for "+r.Host+path)
	}
	if table.RequiresKeys() {
		t.organisation = table.OrganisationByKey(t.metadata.Key)
		if t.organisation == nil && !t.route.Public {
			return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown API key")
		}
	}
	t.serviceName = t.route.ChooseService(t.streamID())
	t.serviceDef = table.Service(t.serviceName)
	t.deadline = t.receivedAt.Add(t.timeout())
	if stop := f.stopAt.Load(); stop != nil && stop.Before(t.deadline) {
		t.deadline = *stop
	}
	return table, nil
}

// timeout returns the time limit of the request: the caller's or the default,
// capped by the route's.
func (t *transfer) timeout() time.Duration {
	timeout := t.metadata.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if t.route.Timeout > 0 {
		timeout = min(timeout, t.route.Timeout)
	}
	return timeout
}

func (t *transfer) readBody(maxBytes int) error {
	r := t.callerRequest
	if r.ContentLength == 0 {
		return nil
	}
	if maxBytes > 0 && r.ContentLength > int64(maxBytes) {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the request body exceeds the size limit")
	}
	if !t.bodyMemory.resize(int(max(0, r.ContentLength))) {
		return t.bodyMemoryError()
	}
	source := io.Reader(r.Body)
	if maxBytes > 0 {
		source = http.MaxBytesReader(t.callerWriter(), r.Body, int64(maxBytes))
	}
	controller := http.NewResponseController(t.writer)
	if err := controller.SetReadDeadline(t.deadline); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "failed to set the read deadline")
	}
	var err error
	if r.ContentLength > 0 {
		t.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(source, t.body)
	} else {
		t.body, err = t.readChunks(source)
	}
	if errors.Is(err, errBodyMemory) {
		return t.bodyMemoryError()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeDeadlineUnreachable, "the request body did not arrive before the deadline")
	}
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "failed to read the request body")
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "failed to clear the read deadline")
	}
	return nil
}

// callerWriter returns the writer of net/http, which closes the connection after a body that is
// too long.
func (t *transfer) callerWriter() http.ResponseWriter {
	if t.spool != nil {
		return t.spool.writer
	}
	return t.writer
}

// errBodyMemory is the error of a body for which there is no memory left.
var errBodyMemory = errors.New("the daemon's memory for request bodies is full")

func (t *transfer) bodyMemoryError() error {
	e := verdict.Wrap(errBodyMemory, verdict.NotRun, verdict.CodeOverloaded, "the request was not read")
	e.RetryAfter = bodyRetryAfter
	return e
}

// refuseBody answers a request whose body is not read. The rest of the body is discarded, because
// a caller that still sends it would not see the answer on a connection that is closed.
func (t *transfer) refuseBody(err error) {
	controller := http.NewResponseController(t.writer)
	discards := controller.EnableFullDuplex() == nil
	t.writer.Header().Set("Connection", "close")
	t.writeError(err)
	if discards && controller.Flush() == nil && controller.SetReadDeadline(t.deadline) == nil {
		_, _ = io.Copy(io.Discard, t.callerRequest.Body) // the caller may leave at any time
	}
}

// readChunks reads a body of unknown length. Memory for it is reserved before it grows.
func (t *transfer) readChunks(source io.Reader) (body []byte, err error) {
	for {
		if len(body) == cap(body) {
			size := max(minBodyBuffer, 2*cap(body))
			if !t.bodyMemory.resizeOrRelease(size) {
				return nil, errBodyMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// jitteredRetryAfter returns a random delay around d, so that callers refused
// together do not all retry at the same time. It is capped by the caller's
// remaining time.
func (t *transfer) jitteredRetryAfter(d time.Duration) time.Duration {
	return t.capRetryAfter(d/2 + time.Duration(rand.Int64N(int64(d)+1)))
}

// retryAfterAtLeast returns a random delay from d on, capped as above: a retry before d
// has passed would be refused again.
func (t *transfer) retryAfterAtLeast(d time.Duration) time.Duration {
	return t.capRetryAfter(d + time.Duration(rand.Int64N(int64(d)/2+1)))
}

func (t *transfer) capRetryAfter(d time.Duration) time.Duration {
	if t.deadline.IsZero() {
		return d
	}
	return min(d, time.Duration(maxRetryAfterFraction*float64(time.Until(t.deadline))))
}

// schedulerRequest describes the request to the service's scheduler.
func (t *transfer) schedulerRequest() *routing.Request {
	q := &routing.Request{
		ID: t.metadata.ID, Share: 1, Class: routing.Class{Name: t.route.Name, Priority: -t.priority(), MaxWait: t.maxQueueWait()},
		Deadline: t.deadline, FirstTokenGoal: t.route.FirstByteGoal, ReceivedAt: t.receivedAt, Resumed: t.lastEventID != "", Software: t.software, OnlySoftware: t.onlySoftware, Repeatable: t.route.Repeatable(), ExcludedEndpoints: t.failedUpstreams, PreviousAttempts: t.attemptsSent,
	}
	if t.organisation != nil {
		q.Organisation = t.organisation.Name
	}
	if p := t.metadata.Prompt; p != nil && t.serviceDef != nil && t.serviceDef.Engine != nil {
		q.Weights = p.Model
		q.PromptTokens, q.MaxOutputTokens, q.ExpectedOutputTokens = p.InputTokens, p.MaxOutputTokens, p.ExpectedOutputTokens
		group, _ := t.sharingGroup()
		q.Chain = prefix.NewFromParts(group, prefixParts(p))
	}
	return q
}

func prefixParts(p *Prompt) []prefix.Part {
	out := make([]prefix.Part, len(p.Parts))
	for i, x := range p.Parts {
		out[i] = prefix.Part(x)
	}
	return out
}

// priority returns the request's priority at the engine; 0 is served first. It
// orders by the organisation's priority and then by the route's.
func (t *transfer) priority() int { return kindPriority(t.route, t.organisation) }

// kindPriority returns the priority of an organisation's requests of a route; the
// organisation may be nil.
func kindPriority(r *routetable.Route, o *routetable.Organisation) int {
	first := r.Priority
	if o != nil && o.Priority != nil {
		first = *o.Priority
	}
	return priorityLevels*clampPriority(first) + clampPriority(r.Priority)
}

// priorityLevels is the number of priorities that are distinguished among
// organisations and among routes; engines have ten priorities in all.
const priorityLevels = 3

func clampPriority(priority int) int { return min(max(0, priority), priorityLevels-1) }

func (t *transfer) maxQueueWait() time.Duration {
	goal := t.route.FirstByteGoal
	if goal == 0 {
		goal = defaultFirstByteGoal
	}
	wait := time.Duration(maxQueueWaitFraction * float64(goal))
	if t.withdrawn { // it had a place, and its caller can only begin again
		wait = max(wait, time.Duration(withdrawnWaitFraction*float64(time.Until(t.deadline))))
	}
	return wait
}
