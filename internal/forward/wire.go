// Package forward proxies callers' requests to upstreams. It selects the route,
// asks the service's scheduler for an upstream, relays the response, resumes
// streams and retries where that is safe. Every failure states whether the
// request may have run.
package forward

import (
	"net/http"
	"time"
)

// Stated holds the metadata in a caller's request headers.
type Stated struct {
	// ID identifies one request; every retry by the caller has its own.
	ID string
	// Key is the caller's API key.
	Key string
	// Patience is how long the caller waits for the response; 0 if not stated.
	Patience time.Duration
	// LastEvent is the ID of the event after which to resume a stream; empty to
	// start at the beginning.
	LastEvent string
	// Prompt is nil if the request describes none.
	Prompt *Prompt
}

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Model string
	// InputTokens is the prompt's length, OutputTokens the maximum length of
	// the output.
	InputTokens  int
	OutputTokens int
	// ExpectedTokens is the caller's estimate of the output's length, often far
	// off; 0 if not stated.
	ExpectedTokens int
	// Parts are in prompt order; other prompts may share all but the last.
	Parts []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Delivery is the metadata sent to an upstream with one attempt, in addition to
// the caller's headers.
type Delivery struct {
	// Upstream is the ID of the only upstream that may run the request.
	Upstream     string
	Organisation string
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Prompted is set if the fields from CacheScope to SaveTo apply.
	Prompted bool
	// CacheScope separates cached prompts that must not be shared.
	CacheScope string
	// Version is the weights version that the upstream must have; 0 for any.
	Version int
	// Priority is the priority at the engine; 0 is served first.
	Priority int
	// FetchFrom and SaveTo are the addresses to fetch cached prompts from and
	// to save them to; empty for none.
	FetchFrom string
	SaveTo    string
	// LastEvent is the ID of the event after which to resume the stream.
	LastEvent string
}

// Reply is the metadata in an upstream's response.
type Reply struct {
	RequestID string
	// NotRun is set if the upstream did not run the request and will not.
	NotRun bool
	// OtherUpstream is set if the request was misdirected: the address now
	// belongs to another upstream, or its weights have another version.
	OtherUpstream bool
	// Version is the weights version; 0 if not stated.
	Version int
	// Load is nil if not stated.
	Load *Load
	// Proven is set if the response proves that an upstream of the deployment
	// sent it.
	Proven bool
}

// Load is an upstream's report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the ratio of current to usual service time; 0 if not stated.
	Slowdown float64
}

// Wire translates between HTTP headers and the types above.
type Wire interface {
	// ReadRequest parses a caller's headers. The error is reported to the
	// caller as a bad request.
	ReadRequest(h http.Header) (Stated, error)
	// UpstreamHeader returns the headers for an upstream: the caller's, without
	// reserved ones, and those of d.
	UpstreamHeader(caller http.Header, d *Delivery) http.Header
	// ReadReply parses the status and headers of an upstream's response.
	ReadReply(status int, h http.Header) Reply
	// CallerHeader adds the headers of an upstream's response that are relayed
	// to the caller.
	CallerHeader(to, upstream http.Header)
}
