// Package forward carries callers' requests to upstreams as they are: it finds
// the route, asks the service's scheduler for an upstream, passes the answer
// on, resumes streams, tries again where that is safe, and says of each
// failure whether the request may have run.
package forward

import (
	"net/http"
	"time"
)

// Stated is what a caller's headers state.
type Stated struct {
	// ID identifies one request of a caller; every retry has its own.
	ID string
	// Key is the caller's key.
	Key string
	// Patience is how long the caller waits; 0 when it does not say.
	Patience time.Duration
	// LastEvent is the event after which a stream goes on; empty for a whole one.
	LastEvent string
	// Prompt is nil when the request states none.
	Prompt *Prompt
}

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Model string
	// InputTokens is the length of the prompt, OutputTokens the longest answer.
	InputTokens  int
	OutputTokens int
	// ExpectedTokens is the caller's estimate of the answer's length, often far
	// off; 0 for none.
	ExpectedTokens int
	// Parts are in order; others may share all but the last.
	Parts []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Delivery is what an upstream is told with one attempt, beside the caller's headers.
type Delivery struct {
	// Upstream is the ID of the only upstream that may run the request.
	Upstream     string
	Organisation string
	// TimeLeft is how long the upstream may work.
	TimeLeft time.Duration
	// Prompted says that the fields below hold.
	Prompted bool
	// CacheScope separates cached prompts that must not be shared.
	CacheScope string
	// Version is the version of the weights that the upstream must have; 0 for any.
	Version int
	// Priority is the rank at the engine; 0 is served first.
	Priority int
	// FetchFrom and SaveTo are addresses that cached prompts are fetched from
	// and saved to; empty for none.
	FetchFrom string
	SaveTo    string
	// LastEvent is the event after which the answer goes on.
	LastEvent string
}

// Reply is what an upstream's response states.
type Reply struct {
	RequestID string
	// NotRun says that the upstream did not run the request and will not.
	NotRun bool
	// OtherUpstream says that the address belongs to another upstream now, or
	// that its weights are not those that were asked for.
	OtherUpstream bool
	// Version is the version of the weights; 0 when not stated.
	Version int
	// Load is nil when the upstream does not state it.
	Load *Load
	// Proven says that an upstream of the deployment made the answer.
	Proven bool
}

// Load is an upstream's own load figure.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times longer than usual work takes; 0 when not stated.
	Slowdown float64
}

// Wire translates between headers and the types above.
type Wire interface {
	// ReadRequest returns what a caller's headers state.
	ReadRequest(h http.Header) (Stated, error)
	// UpstreamHeader returns the headers for an upstream: the caller's, without
	// those that only the system may set, and with those of the delivery.
	UpstreamHeader(caller http.Header, d *Delivery) http.Header
	// ReadReply returns what an upstream's response states.
	ReadReply(status int, h http.Header) Reply
	// CallerHeader adds the headers of an upstream's response that a caller gets.
	CallerHeader(to, upstream http.Header)
}
