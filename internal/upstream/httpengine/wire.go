package httpengine

import "github.com/verbenabend/verbenabend/internal/upstream"

// Headers of the engine protocol, in addition to the common chat completion API.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderOrganisation = "X-Organisation"
	HeaderWeights      = "X-Weights"
	HeaderIncarnation  = "X-Incarnation"
	HeaderStreamID     = "X-Stream-Id"
	HeaderPriority     = "X-Priority"
	// HeaderUnread makes a cancellation conditional: the engine refuses it with
	// 409 "in_use" while a connection reads the stream.
	HeaderUnread = "X-Unread"
)

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string             `json:"model"`
	Messages  []upstream.Message `json:"messages"`
	MaxTokens int                `json:"max_tokens"`
	Stream    bool               `json:"stream"`
}

// Chunk is the data of one server-sent event.
type Chunk struct {
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the single choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds to the response.
type Delta struct {
	Content string `json:"content"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails breaks down the prompt tokens.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// State is the response to GET /state.
type State struct {
	Incarnation        string   `json:"incarnation"`
	Weights            []string `json:"weights"`
	Role               string   `json:"role"`
	Leaving            bool     `json:"leaving"`
	Loading            bool     `json:"loading"`
	Slots              int      `json:"slots"`
	Running            int      `json:"running"`
	Queued             int      `json:"queued"`
	CacheEventSequence uint64   `json:"cache_events"`
	Fence              uint64   `json:"fence"`
}

// CacheEvent is one entry of GET /cache/events?after=N.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"piece"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is the response to GET /cache/events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Refusal is the body of a refusal. Codes: "incarnation", "weights",
// "overloaded", "leaving", "fence", "stream_gone", "in_use". The header
// X-Request-Id identifies the refused request.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Incarnation and Weights are the engine's current ones.
	Incarnation string   `json:"incarnation,omitempty"`
	Weights     []string `json:"weights,omitempty"`
}
