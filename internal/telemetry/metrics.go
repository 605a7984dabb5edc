// Package telemetry holds a daemon's metrics. docs/METRICS.md describes each.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// Names of the metrics.
const (
	NameEvents       = "verbenabend_events_total"
	NameRequests     = "verbenabend_requests_total"
	NameFirstToken   = "verbenabend_first_token_seconds"
	NameDuration     = "verbenabend_request_seconds"
	NamePromptTokens = "verbenabend_prompt_tokens_total"
	NameCachedTokens = "verbenabend_cached_tokens_total"
	NameInFlight     = "verbenabend_in_flight_requests"
	NameUpstreams    = "verbenabend_upstreams"
	NameRevision     = "verbenabend_document_revision"
	NamePlatformUp   = "verbenabend_platform_up"
	NamePeers        = "verbenabend_peers"
	NameGossipSent   = "verbenabend_gossip_sent_bytes_total"
	NameGossipRecv   = "verbenabend_gossip_received_bytes_total"
	NameGossipFacts  = "verbenabend_gossip_facts"
	NameOncePending  = "verbenabend_once_pending_outcomes"

	// Names of the metrics of daemons that forward requests by a desired state.
	NameForwarded      = "verbenabend_forwarded_requests_total"
	NameForwardSeconds = "verbenabend_forward_seconds"
	NameFirstByte      = "verbenabend_first_byte_seconds"
	NameQueueSeconds   = "verbenabend_queue_seconds"
	NameStoreSeconds   = "verbenabend_store_call_seconds"
	NameStateRevision  = "verbenabend_state_revision"
	NameEnginesBehind  = "verbenabend_engines_behind"
	NameLeaseHeld      = "verbenabend_lease_held"

	resultOK          = "ok"
	labelledForwarded = NameForwarded + `{route=%q,class=%q,verdict=%q,result=%q}`
	labelledByRoute   = `%s{route=%q}`
	labelledByCall    = NameStoreSeconds + `{call=%q,result=%q}`
	labelledEvent     = NameEvents + `{event="%d"}`
	labelledRequests  = NameRequests + `{service=%q,result=%q}`
	labelledByService = `%s{service=%q}`
)

// Names lists every metric of a daemon.
var Names = []string{
	NameEvents, NameRequests, NameFirstToken, NameDuration, NamePromptTokens, NameCachedTokens, NameInFlight,
	NameUpstreams, NameRevision, NamePlatformUp, NamePeers, NameGossipSent, NameGossipRecv, NameGossipFacts, NameOncePending,
	NameForwarded, NameForwardSeconds, NameFirstByte, NameQueueSeconds, NameStoreSeconds, NameStateRevision, NameEnginesBehind, NameLeaseHeld,
}

// Metrics are the metrics of one daemon. It is safe for concurrent use.
type Metrics struct{ set *metrics.Set }

// New returns Metrics at zero.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Gauge registers a gauge whose value is read when the metrics are written.
func (m *Metrics) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// Event counts a numbered event.
func (m *Metrics) Event(id eventlog.ID) {
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledEvent, id)).Inc()
}

// Request counts a request that has ended; code is empty for success.
func (m *Metrics) Request(service, code string, duration time.Duration) {
	result := resultOK
	if code != "" {
		result = code
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledRequests, service, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByService, NameDuration, service)).Update(duration.Seconds())
}

// FirstToken records the time from a request's arrival to its first token.
func (m *Metrics) FirstToken(service string, after time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByService, NameFirstToken, service)).Update(after.Seconds())
}

// Prompt counts the tokens of a prompt and those that came from a cache.
func (m *Metrics) Prompt(service string, u upstream.Usage) {
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledByService, NamePromptTokens, service)).Add(u.PromptTokens)
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledByService, NameCachedTokens, service)).Add(u.CachedTokens)
}

// Revision records the revision of a document in force.
func (m *Metrics) Revision(service string, revision uint64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(labelledByService, NameRevision, service), nil).Set(float64(revision))
}

// Forwarded counts a request that was forwarded or refused. firstByte is 0
// where no upstream answered.
func (m *Metrics) Forwarded(route, class, verdict, result string, duration, firstByte, queued time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledForwarded, route, class, verdict, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByRoute, NameForwardSeconds, route)).Update(duration.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByRoute, NameQueueSeconds, route)).Update(queued.Seconds())
	if firstByte > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByRoute, NameFirstByte, route)).Update(firstByte.Seconds())
	}
}

// StoreCall records a call to the platform's store; err is its failure.
func (m *Metrics) StoreCall(call string, duration time.Duration, err error) {
	result := resultOK
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByCall, call, result)).Update(duration.Seconds())
}

// Write writes all metrics in the Prometheus text format, with those of the
// process itself.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
