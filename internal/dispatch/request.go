// Package dispatch carries out one request: it asks the scheduler for an
// engine, relays the answer, resumes broken streams, tries again where that
// is safe, and states for every failure whether the request may have run.
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
	// Deadline is the time by which the first token must come; zero means none.
	Deadline time.Time
	// ReceivedAt is when the request arrived.
	ReceivedAt time.Time
}

// CallRequest is a caller's request to a plain service.
type CallRequest struct {
	Service      *servicedoc.Accepted
	Organisation *servicedoc.Organisation
	Call         upstream.Call
	// Repeatable calls may be tried again at another upstream.
	Repeatable bool
}

// Source tells where the events of a stream come from.
type Source struct {
	Engine string
	Info   upstream.StreamInfo
}

// Sink receives an answer. Event errors end the request: the caller has gone.
type Sink interface {
	// Event receives the next event; indexes are consecutive.
	Event(src Source, e upstream.Event) error
}

// Rewinder is implemented by a Sink that can forget the events it received,
// because the caller has seen none of them.
type Rewinder interface {
	// Rewind makes the sink as new.
	Rewind()
}
