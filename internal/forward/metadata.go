// Package forward proxies callers' requests to upstreams. It selects the route,
// asks the service's scheduler for an upstream, relays the response, resumes
// streams and retries where that is safe. Every failure states whether the
// request may have run.
package forward

import (
	"net/http"
	"time"
)

// RequestMetadata holds the metadata in a caller's request headers.
type RequestMetadata struct {
	// ID identifies one request; every retry by the caller has its own.
	ID string
	// Key is the caller's API key.
	Key string
	// Timeout is how long the caller waits for the response; 0 if not stated.
	Timeout time.Duration
	// LastEventID is the ID of the event after which to resume a stream; empty to
	// start at the beginning.
	LastEventID string
	// ResumedID is the ID of the request that brought the first event of the stream that this
	// one resumes; empty if not stated.
	ResumedID string
	// Prompt is nil if the request describes none.
	Prompt *Prompt
	// Tokens is the sum of the prompt's length and the maximum length of the output, if
	// HasTokens is set.
	Tokens    float64
	HasTokens bool
}

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Model string
	// InputTokens is the prompt's length, MaxOutputTokens the maximum length of
	// the output.
	InputTokens     int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the output's length, often far
	// off; 0 if not stated.
	ExpectedOutputTokens int
	// Parts are in prompt order; other prompts may share all but the last.
	Parts []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// AttemptMetadata is the metadata sent to an upstream with one attempt, in addition to
// the caller's headers.
type AttemptMetadata struct {
	// UpstreamID is the ID of the only upstream that may run the request.
	UpstreamID   string
	Organisation string
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// HasPrompt is set if the fields from CacheScope to SaveTo apply.
	HasPrompt bool
	// CacheScope separates cached prompts that must not be shared.
	CacheScope string
	// WeightsVersion is the weights version that the upstream must have; 0 for any.
	WeightsVersion int
	// Priority is the priority at the engine; 0 is served first.
	Priority int
	// FetchFrom and SaveTo are the addresses to fetch cached prompts from and
	// to save them to; empty for none.
	FetchFrom string
	SaveTo    string
	// LastEventID is the ID of the event after which to resume the stream.
	LastEventID string
}

// ResponseMetadata is the metadata in an upstream's response.
type ResponseMetadata struct {
	RequestID string
	// NotRun is set if the upstream did not run the request and will not.
	NotRun bool
	// Misdirected is set if the request was misdirected: the address now
	// belongs to another upstream, or its weights have another version.
	Misdirected bool
	// WeightsVersion is the weights version; 0 if not stated.
	WeightsVersion int
	// Load is nil if not stated.
	Load *Load
	// Leaving is set if the sender of the response leaves.
	Leaving bool
	// HoldOff is how long the upstream wants no more requests from this daemon; 0 if
	// not stated.
	HoldOff time.Duration
	// RateLimit is how many requests a second the upstream takes from all daemons together;
	// 0 if not stated.
	RateLimit float64
	// MalformedRateLimit is a stated rate limit that has no meaning; empty if there is none.
	MalformedRateLimit string
	// HasOriginProof is set if the response proves that an upstream of the deployment
	// sent it.
	HasOriginProof bool
}

// Load is an upstream's report of its load.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// Slowdown is the ratio of current to usual service time; 0 if not stated.
	Slowdown float64
}

// HeaderCodec translates between HTTP headers and the types above.
type HeaderCodec interface {
	// ReadRequest parses a caller's headers. The error is reported to the
	// caller as a bad request.
	ReadRequest(h http.Header) (RequestMetadata, error)
	// UpstreamHeader returns the headers for an upstream: the caller's, without
	// reserved ones, and those of d.
	UpstreamHeader(caller http.Header, d *AttemptMetadata) http.Header
	// ReadResponse parses the status and headers of an upstream's response.
	ReadResponse(status int, h http.Header) ResponseMetadata
	// CallerHeader adds the headers of an upstream's response that are relayed
	// to the caller.
	CallerHeader(to, upstream http.Header)
}
