package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/httpverdict"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// transfer is one caller's request, its attempts at upstreams and its response.
type transfer struct {
	forwarder     *Forwarder
	writer        http.ResponseWriter
	callerRequest *http.Request
	// spool is the writer if callers may read slowly, otherwise nil.
	spool *spool

	metadata     RequestMetadata
	route        *routetable.Route
	organisation *routetable.Organisation
	serviceName  string
	serviceDef   *routetable.Service
	body         []byte
	bodyMemory   *memoryLease
	receivedAt   time.Time
	firstByteAt  time.Time // of the newest response
	deadline     time.Time

	// attemptsSent counts attempts that may have reached an upstream,
	// attemptsRun those that may have run there. failedUpstreams are the IDs
	// of upstreams whose attempt failed.
	attemptsSent    int
	attemptsRun     int
	failedUpstreams []string
	// triedAll is set once a safe request may go again to upstreams where it failed.
	triedAll bool
	// failure is the response that callers get if no other attempt succeeds; nil if none is kept.
	failure *failedResponse
	// retryReserved is set once the next attempt is paid for from the retry budget.
	retryReserved bool
	// service is that of the request's attempts.
	service *service
	// recordByte reports received data to Liveness.
	recordByte func()
	// responseStarted is set once the headers of a response were relayed before
	// its end, so that no other response can replace it. resumable is set while
	// another can continue it: it is a stream, and what was relayed of it, if
	// anything, ends with an event that has an ID. lastEventID is that of the last
	// relayed event.
	responseStarted bool
	resumable       bool
	lastEventID     string
	// software, if onlySoftware is set, is the software version of the upstream that began the
	// stream: only such upstreams can continue it. attemptSoftware is that of the current
	// attempt's upstream.
	software, attemptSoftware string
	onlySoftware              bool
	// originRecorded is set once Origins knows which version began the stream.
	originRecorded bool

	// begun is set once the upstream of the current attempt has sent a complete event
	// or body. onTrial is set if the request runs in spite of a quarantined part;
	// handBackTrial then hands the trial back.
	begun         bool
	onTrial       bool
	handBackTrial func()
	// withdrawn is set once an attempt was withdrawn because of an isolation.
	withdrawn bool
	// unfinished is set while an attempt has to be reported to the scheduler.
	unfinished bool
	// process is the upstream's to which the current attempt goes.
	process string
	// sentAt is when the current attempt was sent, connectedAt when its connection was opened,
	// brokenAt when that broke. crashCheck then receives whether the upstream has crashed.
	sentAt, connectedAt, brokenAt time.Time
	crashCheck                    <-chan bool
	// upstreamDeadline is the deadline of the current attempt.
	upstreamDeadline time.Time

	// charges counts the attempts that the organisation's quota was charged for.
	charges int

	// revision is the revision of the desired state that the request is served
	// by.
	revision uint64
	// queueTime is the total time spent waiting for the scheduler.
	queueTime time.Duration
	// outcomeRecorded is set once the outcome was reported.
	outcomeRecorded bool
}

// run makes attempts until the request has a response or fails.
func (t *transfer) run(ctx context.Context) {
	s := t.forwarder.Services.get(t.serviceName)
	t.service = s
	s.creditRetries()
	defer t.keepFailure(nil)
	t.lastEventID = t.metadata.LastEventID
	if err := t.findOrigin(ctx); err != nil {
		t.writeError(err)
		return
	}
	defer t.endTrial()
	defer t.settleAllowance()
	for {
		if err := t.quarantineError(); err != nil {
			t.failOrAbort(err)
			return
		}
		if err := t.partQuarantineError(ctx); err != nil {
			t.failOrAbort(err)
			return
		}
		if err := t.chargeAllowance(ctx); err != nil {
			t.failOrAbort(err)
			return
		}
		err := t.attempt(ctx, s)
		if err == nil {
			return
		}
		t.abortIfCallerLeft(err)
		if !t.canRetry(s, err) {
			t.failOrAbort(err)
			return
		}
		t.awaitCrashCheck(ctx)
		t.abortIfCallerLeft(err)
		t.readmitUpstreams()
	}
}

// readmitUpstreams lets a safe request go once more to the upstreams where it failed when there
// are no others: another attempt there may succeed, without one the request fails for certain.
func (t *transfer) readmitUpstreams() {
	if t.triedAll || t.attemptsRun == 0 || t.route.Kind != routetable.Safe {
		return
	}
	for _, u := range t.forwarder.Registry().ByService[t.serviceName] {
		if !u.Leaving && !slices.Contains(t.failedUpstreams, u.ID) {
			return
		}
	}
	t.triedAll, t.failedUpstreams = true, nil
}

// abortIfCallerLeft ends a request whose caller has disconnected or reads too slowly. err is the
// error of its last attempt.
func (t *transfer) abortIfCallerLeft(err error) {
	ended := t.spool.ended()
	slow := errors.Is(ended, errSlowReader) // net/http takes the write that is ended for a disconnection
	if slow || ended != nil && t.callerRequest.Context().Err() == nil {
		event, result := eventlog.RequestFailed, ResultTruncated
		if slow {
			event, result = eventlog.SlowReaderEnded, ResultSlowReader
			t.forwarder.OnSlowReader()
		}
		t.logEvent(event, "", ended)
		t.recordOutcome(result, t.verdict())
		panic(http.ErrAbortHandler) // a clean close would make the truncated response look complete
	}
	if t.callerRequest.Context().Err() == nil {
		return
	}
	t.logEvent(eventlog.CallerDisconnected, "", err)
	t.recordOutcome(ResultCallerDisconnected, t.verdict())
	panic(http.ErrAbortHandler)
}

// canRetry reports whether another attempt is safe, within the retry limits and
// before the deadline.
func (t *transfer) canRetry(s *service, err error) bool {
	var refused *refusedError
	if errors.As(err, &refused) || time.Until(t.deadline) <= 0 || t.responseStarted && !t.resumable {
		return false
	}
	var failed *attemptError
	if !errors.As(err, &failed) {
		return false
	}
	if !failed.reached {
		return !descriptor.IsShortage(err) && len(t.failedUpstreams) <= maxUnreachableUpstreams
	}
	if verdict.Of(err) != verdict.NotRun && (!t.route.Repeatable() || t.attemptsRun >= t.route.MaxAttempts) {
		return false
	}
	reserved := t.retryReserved
	t.retryReserved = false
	return reserved || s.takeRetry()
}

// reserveRetry takes the next attempt from the retry budget, if it allows one, before the
// current attempt ends.
func (t *transfer) reserveRetry() bool {
	t.retryReserved = t.retryReserved || t.service.takeRetry()
	return t.retryReserved
}

// maxUnreachableUpstreams limits how many unreachable upstreams one request
// tries.
const maxUnreachableUpstreams = 5

// refusedError is a refusal by the scheduler.
type refusedError struct {
	cause *verdict.Error
	// refusal is logged but not sent to callers, since it reveals the load
	// caused by other callers.
	refusal routing.Refusal
	// heldOff is set if no upstream takes the request before the cause's RetryAfter
	// has passed.
	heldOff bool
	// paced is set if the cause's RetryAfter is this request's place among the retries.
	paced bool
}

// Error implements error.
func (e *refusedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause, which carries a verdict.
func (e *refusedError) Unwrap() error { return e.cause }

// attemptError is a failed attempt.
type attemptError struct {
	error
	// reached is set if the upstream may have received the request.
	reached bool
}

// Unwrap returns the cause, which carries a verdict.
func (e *attemptError) Unwrap() error { return e.error }

// attempt schedules the request and sends it once. After a nil error the caller
// has the response.
func (t *transfer) attempt(ctx context.Context, s *service) error {
	q := t.schedulerRequest()
	submitted := time.Now()
	actions := s.runner.Submit(q)
	defer s.runner.Forget(q.ID, actions)
	select {
	case action := <-actions:
		t.queueTime += time.Since(submitted)
		if action.RateLimited {
			t.forwarder.OnRateLimited(action.Kind == routing.Refuse)
		}
		if action.Triage != "" {
			t.forwarder.OnTriage(action.Kind == routing.Refuse, action.Triage)
		}
		if action.Kind == routing.Refuse {
			e := verdict.New(verdict.NotRun, action.Code, "no upstream can accept the request in time")
			e.RetryAfter = action.RetryAfter
			return &refusedError{e, action.Refusal, action.HeldOff, action.Paced}
		}
		t.unfinished = true
		defer func() {
			if t.unfinished { // the attempt ended by a panic
				t.finishAttempt(s, action, routing.Canceled, 0)
			}
		}()
		return t.send(ctx, s, action)
	case <-ctx.Done():
		return &attemptError{error: verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadlineUnreachable, "the deadline passed before an upstream was available")}
	}
}

// send sends the request to the upstream that the scheduler chose.
func (t *transfer) send(ctx context.Context, s *service, action routing.Action) error {
	u := t.forwarder.Registry().ByID[action.Endpoint]
	if u == nil || u.Incarnation() != action.Incarnation || t.onlySoftware && u.Software != t.software {
		t.finishAttempt(s, action, routing.Canceled, 0)
		return &attemptError{error: verdict.New(verdict.NotRun, verdict.CodeNoUpstream, action.Endpoint+" was replaced or removed; the request was not sent")}
	}
	t.upstreamDeadline = t.attemptDeadline(u.ID)
	if !time.Now().Before(t.upstreamDeadline) {
		t.finishAttempt(s, action, routing.Canceled, 0)
		t.failedUpstreams = append(t.failedUpstreams, u.ID)
		return &attemptError{error: verdict.New(verdict.NotRun, verdict.CodeNoUpstream, u.ID+" may not be used any longer; the request was not sent")}
	}
	if err := t.quarantinedWhileQueued(); err != nil {
		t.finishAttempt(s, action, routing.Canceled, 0)
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	recordByte, untrack := t.forwarder.Liveness.track(u, t, cancel)
	defer untrack()
	t.recordByte = recordByte
	t.logEvent(eventlog.AttemptStarted, u.ID, nil)
	t.begun, t.sentAt, t.connectedAt, t.process, t.attemptSoftware = false, time.Now(), time.Time{}, u.Process(), u.Software
	request := t.upstreamRequest(s, u, action)
	defer t.boundUploads(u.ID, request)()
	resp, err := t.forwarder.Pool.Do(ctx, httpconn.Target{ID: u.ID, Address: u.Address}, request)
	if err != nil {
		return t.recordNoResponse(s, action, withCause(ctx, err))
	}
	defer resp.Body.Close() // without effect on a connection that was returned to the pool
	recordByte()
	metadata := t.forwarder.Headers.ReadResponse(resp.StatusCode, resp.Header)
	if metadata.RequestID == "" && resp.Reused {
		// It may be a repeated response to an earlier request.
		return t.recordNoResponse(s, action, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the response on a reused connection does not name its request"))
	}
	t.recordResponseMetadata(s, u, metadata)
	if metadata.NotRun && resp.StatusCode != http.StatusBadRequest {
		t.attemptsSent++
		resp.Discard()
		return t.recordRejection(s, action, resp.StatusCode, metadata)
	}
	if !metadata.HasOriginProof && resp.StatusCode/100 == 2 {
		return t.recordNoResponse(s, action, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the response lacks the proof that an upstream of this deployment sent it"))
	}
	t.attemptsSent++
	t.attemptsRun++
	t.firstByteAt = time.Now()
	s.runner.Do(func(sched routing.Scheduler, now time.Time) {
		sched.FirstToken(now, t.metadata.ID, action.Endpoint, routing.CachedUnknown)
	})
	events, err := t.relay(resp)
	if err != nil {
		err = withCause(ctx, err)
		resp.Body.Close()
		t.finishAttempt(s, action, t.attemptOutcome(u.ID, err), events)
		t.recordBrokenConnection(action, err)
		t.failedUpstreams = append(t.failedUpstreams, u.ID)
		t.logEvent(eventlog.AttemptFailed, u.ID, err)
		return &attemptError{error: err, reached: true}
	}
	t.finishAttempt(s, action, routing.Completed, events)
	t.clearAfterResponse(action, resp, metadata)
	t.recordCompletion(action, resp.StatusCode, events)
	return nil
}

// withCause adds the reason to an error that this daemon's own cancellation
// caused.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.IsAny(cause, errUpstreamUnresponsive, errUpstreamExpired, errNewlyIsolated) {
		return errors.Mark(errors.Wrap(err, cause.Error()), cause)
	}
	return err
}

// recordCompletion records the outcome and logs why this upstream was chosen.
func (t *transfer) recordCompletion(action routing.Action, status, events int) {
	result := ResultOK
	if status >= http.StatusInternalServerError {
		result = ResultUpstreamError
	}
	t.recordOutcome(result, verdict.Ran)
	t.forwarder.Log.EmitSampled(eventlog.RequestFinished, func() eventlog.Fields {
		f := t.logFields()
		f.Upstream = action.Endpoint
		f.Detail = fmt.Sprintf("status %d, attempt %d, queued %s, first byte after %s, complete after %s, %d events; %s", status, t.attemptsSent,
			t.queueTime.Round(time.Millisecond), t.firstByteAt.Sub(t.receivedAt).Round(time.Millisecond), time.Since(t.receivedAt).Round(time.Millisecond), events, action.Reasons)
		if action.Source != "" {
			f.Detail += ", fetched from " + action.Source
		}
		return f
	})
}

// attemptOutcome counts an error as the upstream's failure unless the caller
// disconnected, the deadline of the request or of the attempt passed, or the upstream
// is held off or its rate limited.
func (t *transfer) attemptOutcome(upstream string, err error) routing.Outcome {
	if t.callerRequest.Context().Err() != nil || errors.Is(err, context.DeadlineExceeded) || errors.IsAny(err, errHeldOff, errRateLimited, errUploadsWait, errNewlyIsolated) || t.spool.ended() != nil || !time.Now().Before(t.attemptDeadline(upstream)) {
		return routing.Canceled
	}
	return routing.Failed
}

// recordNoResponse records an attempt that got no response, or one without
// proof of its origin.
func (t *transfer) recordNoResponse(s *service, action routing.Action, err error) error {
	if verdict.Of(err) == verdict.NotRun && descriptor.IsShortage(err) {
		t.finishAttempt(s, action, routing.Canceled, 0)
		t.logEvent(eventlog.AttemptFailed, action.Endpoint, err)
		return &attemptError{error: err}
	}
	reached := verdict.Of(err) != verdict.NotRun
	if reached {
		t.attemptsSent++
		t.attemptsRun++
	}
	outcome := t.attemptOutcome(action.Endpoint, err)
	t.finishAttempt(s, action, outcome, 0)
	if reached {
		t.recordBrokenConnection(action, err)
	}
	t.recordWithdrawal(err)
	if !errors.Is(err, errNewlyIsolated) { // any upstream may run it under its new scope
		t.failedUpstreams = append(t.failedUpstreams, action.Endpoint)
	}
	t.logEvent(eventlog.AttemptFailed, action.Endpoint, err)
	return &attemptError{error: err, reached: reached}
}

// recordWithdrawal counts an attempt that was withdrawn.
func (t *transfer) recordWithdrawal(err error) {
	switch {
	case errors.Is(err, errUpstreamExpired):
		t.forwarder.OnWithdrawn(WithdrawnForWeights)
	case errors.Is(err, errNewlyIsolated):
		t.withdrawn = true
		t.forwarder.OnWithdrawn(WithdrawnForIsolation)
	}
}

// recordBrokenConnection requests a probe of an upstream that broke the
// connection: it may have crashed because of this request.
func (t *transfer) recordBrokenConnection(action routing.Action, err error) {
	if errors.Is(err, errUpstreamUnresponsive) {
		t.forwarder.Liveness.recordLost(action.Endpoint, t.process, t.runningRequest(time.Now()))
		return
	}
	if !isConnectionLoss(err) || t.attemptOutcome(action.Endpoint, err) != routing.Failed {
		return
	}
	t.brokenAt = time.Now()
	r := t.runningRequest(t.brokenAt)
	check := t.forwarder.Liveness.recordBrokenConnection(action.Endpoint, t.process, r, nil)
	if !t.begun && len(r.SharedParts) > 0 {
		t.crashCheck = check
	}
}

// runningRequest describes the current attempt, whose connection ended at endedAt.
func (t *transfer) runningRequest(endedAt time.Time) RunningRequest {
	r := RunningRequest{Fingerprint: t.fingerprint(), SharedParts: t.sharedParts(), Begun: t.begun, SentAt: t.sentAt, ConnectedAt: t.connectedAt, BrokenAt: endedAt}
	if p := t.metadata.Prompt; p != nil && len(p.Parts) > 0 {
		r.OwnPart = p.Parts[len(p.Parts)-1].ID
	}
	if t.organisation != nil {
		r.Organisation = t.organisation.Name
	}
	return r
}

// clearAfterResponse ends the suspicion of a request with a complete response that shows that it
// ran to its end. A body that only the end of its connection delimits may have been cut off by a
// crash, so the upstream is probed first, unless it leaves: then it may exit after its last response.
func (t *transfer) clearAfterResponse(action routing.Action, resp *httpconn.Response, metadata ResponseMetadata) {
	if !ranToEnd(resp.StatusCode, metadata) {
		return
	}
	clearAll := func() {
		t.clearSuspicion()
		if resp.StatusCode/100 == 2 {
			t.recordBegin()
		}
	}
	u := t.forwarder.Registry().ByID[action.Endpoint]
	if leaves := u == nil || u.Leaving; t.begun || leaves || !resp.EndsWithConnection() {
		clearAll()
		return
	}
	t.forwarder.Liveness.recordBrokenConnection(action.Endpoint, t.process, t.runningRequest(time.Now()), clearAll)
}

// ranToEnd reports whether a complete response shows that its upstream ran the request to its end.
// An upstream that fails, or refuses, may not have begun it.
func ranToEnd(status int, metadata ResponseMetadata) bool {
	return metadata.HasOriginProof && !metadata.NotRun && status < http.StatusInternalServerError && !httpverdict.PromisesNotRun(status)
}

// recordRejection records that an upstream reported not to have run the
// request.
func (t *transfer) recordRejection(s *service, action routing.Action, status int, metadata ResponseMetadata) error {
	outcome := routing.Rejected
	if metadata.Misdirected {
		outcome = routing.Canceled
	}
	t.finishAttempt(s, action, outcome, 0)
	t.failedUpstreams = append(t.failedUpstreams, action.Endpoint)
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, http.StatusText(status)+" from "+action.Endpoint)
	t.logEvent(eventlog.AttemptFailed, action.Endpoint, err)
	return &attemptError{error: err, reached: true}
}

// finishAttempt reports the end of an attempt to the scheduler, which holds its place until then.
func (t *transfer) finishAttempt(s *service, action routing.Action, outcome routing.Outcome, events int) {
	t.unfinished = false
	s.runner.Do(func(sched routing.Scheduler, now time.Time) {
		sched.Finished(now, t.metadata.ID, action.Endpoint, outcome, events)
	})
}

// attemptDeadline returns the deadline of an attempt: that of the request, or an
// earlier one by which the upstream must have ended it. An upstream rejects a
// request whose deadline passes in its queue, so none begins there later. A limit
// that becomes known after the request was sent is Liveness's matter.
func (t *transfer) attemptDeadline(upstream string) time.Time {
	if until, ok := t.forwarder.UsableUntil(upstream); ok && until.Before(t.deadline) {
		return until
	}
	return t.deadline
}

// upstreamRequest builds the request for an upstream. The scheduler's action
// decides where cached prompts are fetched from and saved to.
func (t *transfer) upstreamRequest(s *service, u *fleet.Registration, action routing.Action) *httpconn.Request {
	d := &AttemptMetadata{UpstreamID: u.ID, LastEventID: t.lastEventID}
	if t.organisation != nil {
		d.Organisation = t.organisation.Name
	}
	if p := t.metadata.Prompt; p != nil && t.serviceDef != nil && t.serviceDef.Engine != nil {
		d.HasPrompt = true
		d.Priority = t.forwarder.priorityBands.ranked(t.forwarder.Table(), t.serviceName, t.priority(), action.Rank)
		d.WeightsVersion = u.Version(p.Model)
		store := t.forwarder.Table().CacheStore()
		if from := t.forwarder.Registry().ByID[action.Source]; from != nil && from.Version(p.Model) == d.WeightsVersion {
			d.FetchFrom = from.Address
		} else if store != nil && action.Source == store.Address {
			d.FetchFrom = store.Address
		}
		if store != nil && action.Save {
			d.SaveTo = store.Address
		}
	}
	id := t.metadata.ID
	return &httpconn.Request{
		ID: id, Method: t.callerRequest.Method, URI: t.callerRequest.RequestURI, Host: t.callerRequest.Host, Body: t.body,
		OnConnected: func(openedAt time.Time) { t.connectedAt = openedAt },
		ReadyHeader: func() (http.Header, error) {
			// The time left is relative, and opening the connection may take long.
			if d.TimeLeft = time.Until(t.attemptDeadline(u.ID)); d.TimeLeft <= 0 {
				return nil, context.DeadlineExceeded
			}
			if s.heldOff(u) {
				return nil, errHeldOff
			}
			if !s.admits(id, u) {
				return nil, errRateLimited
			}
			if d.HasPrompt {
				group, sharedUnder := t.sharingGroup()
				d.CacheScope = cacheScope(group, d.WeightsVersion)
				t.forwarder.Liveness.recordScope(u.ID, t, sharedUnder)
			}
			return t.forwarder.Headers.UpstreamHeader(t.callerRequest.Header, d), nil
		},
		MatchesResponse: func(resp *http.Response) bool {
			got := t.forwarder.Headers.ReadResponse(resp.StatusCode, resp.Header).RequestID
			return got == "" || got == id
		},
	}
}

// recordResponseMetadata applies the hold-off, the rate limit, the load, the weights version and
// the leaving that a response reports. A misdirected request may have been answered by
// another upstream.
func (t *transfer) recordResponseMetadata(s *service, u *fleet.Registration, metadata ResponseMetadata) {
	if metadata.HoldOff > 0 && s.holdOff(u, metadata.HoldOff) {
		t.forwarder.Log.Emit(eventlog.UpstreamHeldOff, eventlog.Fields{Service: s.name, Upstream: u.ID, RequestID: t.metadata.ID, Detail: "for " + metadata.HoldOff.String()})
	}
	t.recordRateLimit(s, u, metadata)
	if l := metadata.Load; l != nil {
		s.runner.Do(func(sched routing.Scheduler, now time.Time) {
			sched.ApplyLoadReport(now, routing.LoadReport{Endpoint: u.ID, At: now, Running: l.Running, Queued: l.Queued, Slowdown: l.Slowdown})
		})
	}
	if p := t.metadata.Prompt; p != nil && metadata.WeightsVersion > 0 && !metadata.Misdirected {
		t.forwarder.OnWeightsVersion(u, p.Model, metadata.WeightsVersion)
	}
	if metadata.Leaving && !metadata.Misdirected {
		t.forwarder.OnLeaving(u)
	}
}

func (t *transfer) logEvent(id eventlog.ID, upstream string, err error) {
	fields := t.logFields()
	fields.Upstream = upstream
	if err != nil {
		fields.Detail = fmt.Sprintf("attempt %d: %s", t.attemptsSent, err)
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		fields.Detail += ": " + refused.refusal.String()
	}
	t.forwarder.Log.Emit(id, fields)
}

// logFields returns the fields common to all events of the request.
func (t *transfer) logFields() eventlog.Fields {
	f := eventlog.Fields{Service: t.serviceName, RequestID: t.metadata.ID, Revision: t.revision}
	if t.route != nil {
		f.Route = t.route.Name
	}
	if t.organisation != nil {
		f.Organisation = t.organisation.Name
	}
	return f
}
