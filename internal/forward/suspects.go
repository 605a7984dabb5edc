package forward

import (
	"io"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// SuspectTracker tracks, over all daemons, the requests that may crash
// upstreams. A request is identified by its fingerprint.
type SuspectTracker interface {
	// Known reports whether any request is suspected; if not, Quarantined and
	// RequestCompleted are not called.
	Known() bool
	// Quarantined reports whether too many upstreams crashed while running a
	// request.
	Quarantined(request string) bool
	// UpstreamCrashed records that a process of an upstream ended, about at a time, while it
	// ran requests.
	UpstreamCrashed(upstream, process string, at time.Time, requests []string)
	// RequestCompleted records that a request ran to completion.
	RequestCompleted(request string)
}

// noSuspects is the SuspectTracker used when none is configured.
type noSuspects struct{}

func (noSuspects) Known() bool { return false }

func (noSuspects) Quarantined(string) bool { return false }

func (noSuspects) UpstreamCrashed(string, string, time.Time, []string) {}

func (noSuspects) RequestCompleted(string) {}

// quarantineRetryAfter is the Retry-After delay of a quarantined request,
// capped by the caller's remaining time.
const quarantineRetryAfter = time.Minute

// fingerprint identifies the request; identical requests of one organisation
// have the same fingerprint.
func (t *transfer) fingerprint() string {
	d := xxhash.New()
	for _, s := range []string{t.callerRequest.Method, t.callerRequest.Host, t.callerRequest.RequestURI} {
		_, _ = d.WriteString(s) // Digest.Write never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(t.body)
	organisation := ""
	if t.organisation != nil {
		organisation = t.organisation.Name
	}
	return t.serviceName + "/" + organisation + "/" + strconv.FormatUint(d.Sum64(), 16)
}

// quarantineError returns an error if the request is quarantined, otherwise
// nil.
func (t *transfer) quarantineError() error {
	if !t.forwarder.Suspects.Known() || !t.forwarder.Suspects.Quarantined(t.fingerprint()) {
		return nil
	}
	e := verdict.New(verdict.NotRun, verdict.CodeQuarantined, "the request is quarantined: upstreams crashed while running it")
	e.RetryAfter = quarantineRetryAfter
	return e
}

// quarantinedWhileQueued returns an error if the request or a part of its prompt was
// quarantined while it waited for an upstream.
func (t *transfer) quarantinedWhileQueued() error {
	if err := t.quarantineError(); err != nil {
		return err
	}
	if len(t.refusedParts()) > 0 {
		return errPartQuarantined()
	}
	return nil
}

// clearSuspicion records that the request ran to completion without a crash.
func (t *transfer) clearSuspicion() {
	t.forwarder.Liveness.clearLost(t.fingerprint)
	if t.forwarder.Suspects.Known() {
		t.forwarder.Suspects.RequestCompleted(t.fingerprint())
	}
}

// reportCrash reports the end of an upstream's process, about at a time, to the trackers.
func reportCrash(suspects SuspectTracker, parts PromptPartTracker, service, upstream, process string, at time.Time, requests []RunningRequest) {
	var unbegun []RunningRequest
	for _, r := range requests {
		if !r.Begun {
			unbegun = append(unbegun, r)
		}
	}
	suspects.UpstreamCrashed(upstream, process, at, fingerprintsOf(requests))
	if parts != nil && len(unbegun) > 0 {
		parts.UpstreamCrashed(service, upstream, process, unbegun)
	}
}

// fingerprintsOf returns the different fingerprints of requests.
func fingerprintsOf(requests []RunningRequest) []string {
	var out []string
	for _, r := range requests {
		if !slices.Contains(out, r.Fingerprint) {
			out = append(out, r.Fingerprint)
		}
	}
	return out
}

// isConnectionLoss reports whether the upstream broke the connection, as a
// crash does.
func isConnectionLoss(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
