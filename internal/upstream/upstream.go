// Package upstream holds the ports to what stands behind the system: model
// engines and plain services. An adapter to another engine protocol
// implements these interfaces and nothing else.
package upstream

import (
	"context"
	"net/http"
	"time"
)

// Message is one level of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Generation is a request to a model engine. The engine must refuse it, before
// any work, when organisation scoping, weights or incarnation do not match.
type Generation struct {
	RequestID    string
	Organisation string
	// Weights is what the engine must have loaded, as servicedoc.Model.Weights gives it.
	Weights string
	// Incarnation is the engine's incarnation that the decision relied on.
	Incarnation string
	Priority    int
	Messages    []Message
	MaxTokens   int
}

// StreamRef identifies a stream within one incarnation of an engine.
type StreamRef struct {
	Incarnation string
	StreamID    string
}

// StreamInfo is what the engine states before the first event of a stream.
type StreamInfo struct {
	Ref          StreamRef
	Organisation string
	Weights      string
	RequestID    string
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Event is one piece of an answer. Indexes start at 0 and have no gaps.
type Event struct {
	Index int
	Text  string
	// Finish is set on the last event: "stop" or "length".
	Finish string
	// Usage is set on the last event, and CachedTokens and PromptTokens on the first.
	Usage Usage
}

// Stream is an answer as it is generated. It is used by one goroutine.
type Stream interface {
	Info() StreamInfo
	// Next returns the next event, io.EOF after the last one. Other errors
	// mean that the connection failed; the stream may be resumed by index.
	Next() (Event, error)
	// Close releases the connection. The engine goes on until it is cancelled.
	Close() error
}

// EngineState is an engine's own report. It may be late.
type EngineState struct {
	Incarnation string
	// Weights lists what is loaded.
	Weights []string
	Role    string
	Leaving bool
	Loading bool
	Slots   int
	Running int
	Queued  int
	// CacheEvents is the sequence number of the newest cache event.
	CacheEvents uint64
	// Fence is the greatest fencing number seen, 0 for engines that ignore it.
	Fence uint64
}

// CacheEvent tells that an engine stored or evicted one piece of prompt.
type CacheEvent struct {
	Sequence uint64
	Piece    uint64
	Evicted  bool
}

// OrderKind says what an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to change its weights or its role.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Weights string    `json:"weights,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64 `json:"fence"`
}

// Engines is the port to model engines, addressed by host:port. Errors carry
// a verdict.
type Engines interface {
	Generate(ctx context.Context, address string, g *Generation) (Stream, error)
	// Resume continues a stream from the event with the given index.
	Resume(ctx context.Context, address string, ref StreamRef, next int) (Stream, error)
	Cancel(ctx context.Context, address string, ref StreamRef) error
	State(ctx context.Context, address string) (EngineState, error)
	// Events returns the cache events after the given sequence number.
	Events(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, address string, o Order) error
}

// Abandoner is implemented by Engines whose engines can end a stream on the
// condition that nobody reads it, so that a caller that came back through
// another daemon is not cut off.
type Abandoner interface {
	// Abandon ends a stream unless a connection reads it.
	Abandon(ctx context.Context, address string, ref StreamRef) error
}

// Call is a call to a plain service.
type Call struct {
	RequestID      string
	Organisation   string
	Method         string
	Path           string // with query
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	Timeout        time.Duration
}

// Reply is the answer of a plain service, read whole.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed says that the reply is that of an earlier run of the call.
	Replayed bool
}

// Services is the port to plain services. Errors carry a verdict.
type Services interface {
	Do(ctx context.Context, address string, c *Call) (*Reply, error)
	// Check asks whether the upstream answers at all, over a new connection.
	Check(ctx context.Context, address string) error
}
