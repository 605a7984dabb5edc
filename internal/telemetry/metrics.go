// Package telemetry holds the metrics of a daemon. docs/METRICS.md describes each.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// Metric names.
const (
	NameEvents              = "verbenabend_events_total"
	NameRequests            = "verbenabend_requests_total"
	NameFirstTokenSeconds   = "verbenabend_first_token_seconds"
	NameRequestSeconds      = "verbenabend_request_seconds"
	NamePromptTokens        = "verbenabend_prompt_tokens_total"
	NameCachedTokens        = "verbenabend_cached_tokens_total"
	NameInFlightRequests    = "verbenabend_in_flight_requests"
	NameUpstreams           = "verbenabend_upstreams"
	NameDocumentRevision    = "verbenabend_document_revision"
	NamePlatformUp          = "verbenabend_platform_up"
	NameStoreReader         = "verbenabend_store_reader"
	NameMissingUpstreams    = "verbenabend_missing_upstreams"
	NameStoreEra            = "verbenabend_store_era"
	NameCopiesAge           = "verbenabend_copies_age_seconds"
	NameStoreAnswerTime     = "verbenabend_store_answer_seconds"
	NamePeers               = "verbenabend_peers"
	NameGossipSent          = "verbenabend_gossip_sent_bytes_total"
	NameGossipReceived      = "verbenabend_gossip_received_bytes_total"
	NameGossipFacts         = "verbenabend_gossip_facts"
	NameOncePendingOutcomes = "verbenabend_once_pending_outcomes"

	// Metrics of the gateway, which forwards requests by the desired state.
	NameForwarded        = "verbenabend_forwarded_requests_total"
	NameForwardSeconds   = "verbenabend_forward_seconds"
	NameFirstByteSeconds = "verbenabend_first_byte_seconds"
	NameQueueSeconds     = "verbenabend_queue_seconds"
	NameStoreCallSeconds = "verbenabend_store_call_seconds"
	NameStateRevision    = "verbenabend_state_revision"
	NameEnginesBehind    = "verbenabend_engines_behind"
	NameEnginesExpired   = "verbenabend_engines_expired"
	NameGoalsUndated     = "verbenabend_goals_undated"
	NameLeaseHeld        = "verbenabend_lease_held"
	NameAttempts         = "verbenabend_attempts"
	NameBodyBytes        = "verbenabend_request_body_bytes"
	NameResponseBytes    = "verbenabend_response_bytes"
	NameSuspectedParts   = "verbenabend_suspected_prompt_parts"
	NameQuarantinedParts = "verbenabend_quarantined_prompt_parts"

	// Metrics of the rate limits that upstreams state.
	NameRateLimitedUpstreams = "verbenabend_rate_limited_upstreams"
	NameRateLimitedRequests  = "verbenabend_rate_limited_requests_total"
	NameMalformedRateLimits  = "verbenabend_malformed_rate_limits_total"

	// Metrics of organisations' quotas.
	NameQuotaUsed     = "verbenabend_quota_used_total"
	NameQuotaRejected = "verbenabend_quota_rejected_total"
	NameQuotaAge      = "verbenabend_quota_age_seconds"

	// Metrics of callers and upstreams that read slowly.
	NameSlowReaders     = "verbenabend_slow_readers_ended_total"
	NameUploadsDiverted = "verbenabend_uploads_diverted_total"
	NameWithdrawn       = "verbenabend_withdrawn_requests_total" // by cause

	// Metrics of announcements of long prompts among daemons.
	NameAnnouncements   = "verbenabend_announcements_total"
	NameAnnouncementAge = "verbenabend_announcement_age_seconds"

	// Metrics of the software versions by which streams began.
	NameResumedStreams = "verbenabend_resumed_streams_total"
	NameStreamOrigins  = "verbenabend_stream_origins"
	NameMixedServices  = "verbenabend_services_with_several_versions"

	// NameTriaged counts the requests that the gateway delays and refuses under overload.
	NameTriaged = "verbenabend_triaged_requests_total"

	// Metrics of the gateway's file descriptors.
	NameDescriptorsOpen     = "verbenabend_descriptors_open"
	NameConnsReclaimed      = "verbenabend_connections_reclaimed_total"
	NameConnsRefused        = "verbenabend_connections_refused_total"
	NameDescriptorShortages = "verbenabend_descriptor_shortages_total"

	resultOK            = "ok"
	labelledRateLimited = NameRateLimitedRequests + `{result=%q}`
	labelledAnnounced   = NameAnnouncements + `{result=%q}`
	labelledResumed     = NameResumedStreams + `{result=%q}`
	labelledTriaged     = NameTriaged + `{result=%q,reason=%q}`
	labelledForwarded   = NameForwarded + `{route=%q,class=%q,verdict=%q,result=%q}`
	labelledByRoute     = `%s{route=%q}`
	labelledByCall      = NameStoreCallSeconds + `{call=%q,result=%q}`
	labelledEvent       = NameEvents + `{event="%d"}`
	labelledRequests    = NameRequests + `{service=%q,result=%q}`
	labelledByService   = `%s{service=%q}`
	labelledByOrg       = `%s{organisation=%q}`
)

// Names lists all metrics.
var Names = []string{
	NameEvents, NameRequests, NameFirstTokenSeconds, NameRequestSeconds, NamePromptTokens, NameCachedTokens, NameInFlightRequests,
	NameUpstreams, NameDocumentRevision, NamePlatformUp, NamePeers, NameGossipSent, NameGossipReceived, NameGossipFacts, NameOncePendingOutcomes,
	NameForwarded, NameForwardSeconds, NameFirstByteSeconds, NameQueueSeconds, NameStoreCallSeconds, NameStateRevision, NameEnginesBehind, NameEnginesExpired, NameGoalsUndated, NameLeaseHeld, NameAttempts, NameBodyBytes, NameResponseBytes,
	NameSuspectedParts, NameQuarantinedParts, NameStoreReader, NameMissingUpstreams, NameStoreEra, NameCopiesAge, NameStoreAnswerTime, NameDescriptorsOpen, NameConnsReclaimed, NameConnsRefused, NameDescriptorShortages,
	NameRateLimitedUpstreams, NameRateLimitedRequests, NameMalformedRateLimits, NameQuotaUsed, NameQuotaRejected, NameQuotaAge,
	NameSlowReaders, NameUploadsDiverted, NameWithdrawn, NameAnnouncements, NameAnnouncementAge, NameTriaged, NameResumedStreams, NameStreamOrigins, NameMixedServices,
}

// Metrics holds the metrics of one daemon. It is safe for concurrent use.
type Metrics struct{ set *metrics.Set }

// New returns an empty set of metrics.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// RegisterGauge registers a gauge; value is called whenever the metrics are written.
func (m *Metrics) RegisterGauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// CountEvent counts an event.
func (m *Metrics) CountEvent(id eventlog.ID) {
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledEvent, id)).Inc()
}

// RecordRequest records a finished request; code is empty on success.
func (m *Metrics) RecordRequest(service, code string, duration time.Duration) {
	result := resultOK
	if code != "" {
		result = code
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledRequests, service, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByService, NameRequestSeconds, service)).Update(duration.Seconds())
}

// RecordFirstToken records a request's time to first token.
func (m *Metrics) RecordFirstToken(service string, elapsed time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByService, NameFirstTokenSeconds, service)).Update(elapsed.Seconds())
}

// CountPromptTokens counts the tokens of a prompt and how many of them were cached.
func (m *Metrics) CountPromptTokens(service string, u upstream.Usage) {
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledByService, NamePromptTokens, service)).Add(u.PromptTokens)
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledByService, NameCachedTokens, service)).Add(u.CachedTokens)
}

// SetDocumentRevision records the revision in force of a service document.
func (m *Metrics) SetDocumentRevision(service string, revision uint64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(labelledByService, NameDocumentRevision, service), nil).Set(float64(revision))
}

// RecordForwarded records a request that was forwarded or refused. firstByte is 0
// when no upstream responded.
func (m *Metrics) RecordForwarded(route, class, verdict, result string, duration, firstByte, queued time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledForwarded, route, class, verdict, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByRoute, NameForwardSeconds, route)).Update(duration.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByRoute, NameQueueSeconds, route)).Update(queued.Seconds())
	if firstByte > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByRoute, NameFirstByteSeconds, route)).Update(firstByte.Seconds())
	}
}

// CountRateLimited counts a request that rate limits of upstreams kept from one, so that it was
// sent elsewhere or refused.
func (m *Metrics) CountRateLimited(refused bool) {
	result := "diverted"
	if refused {
		result = "refused"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledRateLimited, result)).Inc()
}

// CountQuotaUsed counts what requests took of an organisation's quota, in its unit. What was
// refunded is not subtracted.
func (m *Metrics) CountQuotaUsed(organisation string, amount float64) {
	m.set.GetOrCreateFloatCounter(fmt.Sprintf(labelledByOrg, NameQuotaUsed, organisation)).Add(amount)
}

// CountQuotaRejected counts a request that was refused because of an organisation's quota.
func (m *Metrics) CountQuotaRejected(organisation string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledByOrg, NameQuotaRejected, organisation)).Inc()
}

// CountAnnouncements counts n announcements of long prompts with the same result.
func (m *Metrics) CountAnnouncements(result string, n int) {
	if n > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf(labelledAnnounced, result)).Add(n)
	}
}

// RecordAnnouncementAge records the age of an announcement at its receipt.
func (m *Metrics) RecordAnnouncementAge(age time.Duration) {
	m.set.GetOrCreateHistogram(NameAnnouncementAge).Update(age.Seconds())
}

// CountResumedStream counts a request that resumes a stream, by whether it is known by which software
// version the stream began.
func (m *Metrics) CountResumedStream(originKnown bool) {
	result := "unknown"
	if originKnown {
		result = "known"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledResumed, result)).Inc()
}

// CountTriaged counts a request that triage delayed or refused.
func (m *Metrics) CountTriaged(refused bool, reason string) {
	result := "delayed"
	if refused {
		result = "refused"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(labelledTriaged, result, reason)).Inc()
}

// CountMalformedRateLimit counts a stated rate limit without meaning.
func (m *Metrics) CountMalformedRateLimit() { m.set.GetOrCreateCounter(NameMalformedRateLimits).Inc() }

// CountSlowReader counts a response that was ended because its caller read it too slowly.
func (m *Metrics) CountSlowReader() { m.set.GetOrCreateCounter(NameSlowReaders).Inc() }

// CountWithdrawn counts an attempt that was withdrawn from its upstream before it had begun.
func (m *Metrics) CountWithdrawn(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{cause=%q}`, NameWithdrawn, cause)).Inc()
}

// CountUploadDiverted counts an attempt that went elsewhere because bodies on their way to its
// upstream waited to be read.
func (m *Metrics) CountUploadDiverted() { m.set.GetOrCreateCounter(NameUploadsDiverted).Inc() }

// RecordStoreCall records a call to the platform's store; err is nil on success.
func (m *Metrics) RecordStoreCall(call string, duration time.Duration, err error) {
	result := resultOK
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(labelledByCall, call, result)).Update(duration.Seconds())
}

// Write writes all metrics, including those of the process, in the Prometheus
// text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
