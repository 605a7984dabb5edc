// Package upstream defines the interfaces to upstreams: model engines and plain
// services. An adapter for another engine protocol only has to implement these.
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

// GenerateRequest is a request to a model engine. The engine must refuse it, before
// any work, when organisation scoping, weights or incarnation do not match.
type GenerateRequest struct {
	RequestID    string
	Organisation string
	// Weights names the weights that the engine must have loaded, in the form of
	// servicedoc.Model.Weights.
	Weights string
	// Incarnation is the engine incarnation that the routing decision assumed.
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

// StreamInfo is the metadata that an engine sends before the first event of a stream.
type StreamInfo struct {
	Ref          StreamRef
	Organisation string
	Weights      string
	RequestID    string
}

// Usage counts the tokens of a request and its response.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Event is one piece of a streamed response. Indexes start at 0 and have no gaps.
type Event struct {
	Index int
	Text  string
	// Finish is set on the last event: "stop" or "length".
	Finish string
	// Usage is set on the last event, and CachedTokens and PromptTokens on the first.
	Usage Usage
}

// Stream is a response while it is generated. It is not safe for concurrent use.
type Stream interface {
	Info() StreamInfo
	// Next returns the next event, or io.EOF after the last one. Other errors
	// mean that the connection failed; the stream may be resumed by index.
	Next() (Event, error)
	// Close releases the connection. The engine continues to generate until the
	// stream is cancelled.
	Close() error
}

// EngineState is an engine's report of its own state. It may be out of date.
type EngineState struct {
	Incarnation string
	// Weights lists the loaded weights.
	Weights []string
	Role    string
	Leaving bool
	Loading bool
	Slots   int
	Running int
	Queued  int
	// CacheEventSequence is the sequence number of the newest cache event.
	CacheEventSequence uint64
	// Fence is the highest fencing token seen, 0 for engines that ignore it.
	Fence uint64
}

// CacheEvent reports that an engine stored or evicted one block of a prompt.
type CacheEvent struct {
	Sequence uint64
	Block    uint64
	Evicted  bool
}

// OrderKind is the change that an order asks for.
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
	// Fence is the fencing token of the lease under which the order is given.
	Fence uint64 `json:"fence"`
}

// Engines sends requests to model engines, addressed by host:port. Errors carry
// a verdict.
type Engines interface {
	Generate(ctx context.Context, address string, g *GenerateRequest) (Stream, error)
	// Resume continues a stream from the event with the given index.
	Resume(ctx context.Context, address string, ref StreamRef, next int) (Stream, error)
	Cancel(ctx context.Context, address string, ref StreamRef) error
	State(ctx context.Context, address string) (EngineState, error)
	// Events returns the cache events after the given sequence number.
	Events(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, address string, o Order) error
}

// Abandoner is implemented by Engines that can end a stream only if no
// connection reads it, so that a caller that resumed it through another daemon
// is not interrupted.
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

// Reply is the complete response of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed reports that the reply was recorded by an earlier run of the call.
	Replayed bool
}

// Services sends calls to plain services. Errors carry a verdict.
type Services interface {
	Do(ctx context.Context, address string, c *Call) (*Reply, error)
	// Check returns nil if the upstream responds over a new connection.
	Check(ctx context.Context, address string) error
}
