// Package dispatch sends requests to upstreams: it asks the scheduler for an
// engine, relays the response, resumes broken streams, retries where that is
// safe, and reports for every failure whether the request may have run.
package dispatch

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// ModelRequest is a caller's request to a model service.
type ModelRequest struct {
	ID           string
	Service      *servicedoc.Accepted
	Organisation *servicedoc.Organisation
	Model        servicedoc.Model
	Class        servicedoc.Class
	Messages     []upstream.Message
	MaxTokens    int
	// Deadline is the time by which the first token must arrive; zero means none.
	Deadline time.Time
	// ReceivedAt is when the request arrived.
	ReceivedAt time.Time
}

// CallRequest is a caller's request to a plain service.
type CallRequest struct {
	Service      *servicedoc.Accepted
	Organisation *servicedoc.Organisation
	Call         upstream.Call
	// Repeatable calls may be retried even if a failed attempt may have run.
	Repeatable bool
}

// StreamSource identifies the engine and stream that events come from.
type StreamSource struct {
	Engine string
	Info   upstream.StreamInfo
}

// Sink receives the events of a response.
type Sink interface {
	// Event receives the next event; indexes are consecutive. An error ends the
	// request, since the caller can no longer be reached.
	Event(src StreamSource, e upstream.Event) error
}

// Rewinder is implemented by a Sink that can discard the events it has received,
// because the caller has seen none of them.
type Rewinder interface {
	// Rewind discards all events, so that the response starts over.
	Rewind()
}
