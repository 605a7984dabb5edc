package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/httpverdict"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Caller calls services through one entry instance.
type Caller struct {
	// URL is the entry's base URL, such as "http://10.0.0.1:7001".
	URL string
	// Key is the organisation's bearer key.
	Key string
	// HTTP defaults to http.DefaultClient.
	HTTP *http.Client
}

// ChatRequest is a chat completion request.
type ChatRequest struct {
	Service  string             `json:"-"`
	Class    string             `json:"-"`
	Model    string             `json:"model,omitempty"`
	Messages []upstream.Message `json:"messages"`
	// MaxTokens bounds the output tokens; 0 means the service's limit.
	MaxTokens int  `json:"max_tokens,omitempty"`
	Stream    bool `json:"stream"`
	// LastEventID resumes a stream after the event with this id.
	LastEventID string `json:"-"`
}

// ChatResponse is the response to a chat completion request, truncated after an error.
type ChatResponse struct {
	RequestID        string `json:"request_id"`
	Engine           string `json:"engine"`
	Text             string `json:"text"`
	PromptTokens     int    `json:"prompt_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	// LastEventID is the id of the last event received.
	LastEventID string `json:"-"`
	// Complete is true when the end of the stream was received.
	Complete bool `json:"complete"`
}

// Entries returns the entries that callers in a data centre should connect to.
func (c *Caller) Entries(ctx context.Context, service, dataCentre string) (*entry.Entries, error) {
	q := url.Values{"service": {service}, "data_centre": {dataCentre}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/v1/entries?"+q.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "invalid entry URL")
	}
	resp, raw, err := c.do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeError(raw)
	}
	var out entry.Entries
	return &out, decode(raw, &out)
}

// Call calls a plain service. An upstream's reply is returned whatever its
// status; a refusal or failure of the system itself is an error.
func (c *Caller) Call(ctx context.Context, service, method, path, idempotencyKey string, body []byte) (*upstream.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+"/services/"+service+"/http"+path, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "invalid entry URL")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if idempotencyKey != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, idempotencyKey)
	}
	resp, raw, err := c.do(req)
	if err != nil {
		return nil, err
	}
	if resp.Header.Get(entry.HeaderVerdict) != "" {
		return nil, decodeError(raw)
	}
	return &upstream.Reply{Status: resp.StatusCode, Header: resp.Header, Body: raw}, nil
}

func (c *Caller) do(req *http.Request) (*http.Response, []byte, error) {
	ctx, sendState := httpverdict.TrackSend(req.Context())
	httpverdict.DisableTransportRetry(req)
	resp, err := httpClient(c.HTTP).Do(req.WithContext(ctx))
	if err != nil {
		return nil, nil, verdict.Wrap(err, sendState.Verdict(), verdict.CodeUpstreamFailed, "the entry is unreachable")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "connection lost while reading the entry's response")
	}
	return resp, raw, nil
}

// Chat sends a chat completion request and streams the response; onText, which
// may be nil, is called with the text of each event. On an error after the
// stream began, the response holds what was received before it.
func (c *Caller) Chat(ctx context.Context, q *ChatRequest, onText func(string)) (*ChatResponse, error) {
	streamed := *q
	streamed.Stream = true
	raw, err := json.Marshal(&streamed)
	if err != nil {
		return nil, errors.Wrap(err, "encode chat completion request")
	}
	ctx, sendState := httpverdict.TrackSend(ctx)
	u := c.URL + "/services/" + url.PathEscape(q.Service) + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(raw))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "invalid entry URL")
	}
	httpverdict.DisableTransportRetry(req)
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if q.Class != "" {
		req.Header.Set(entry.HeaderClass, q.Class)
	}
	if q.LastEventID != "" {
		req.Header.Set(entry.HeaderLastEventID, q.LastEventID)
	}
	resp, err := httpClient(c.HTTP).Do(req)
	if err != nil {
		return nil, verdict.Wrap(err, sendState.Verdict(), verdict.CodeUpstreamFailed, "the entry is unreachable")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		return nil, decodeError(raw)
	}
	a := &ChatResponse{RequestID: resp.Header.Get(entry.HeaderRequestID), Engine: resp.Header.Get(entry.HeaderUpstream), LastEventID: q.LastEventID}
	return a, readStream(resp.Body, a, onText)
}

// chatChunk holds the fields of a streamed chat completion chunk that are used.
type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

const maxEventLineBytes = 1 << 20

// ErrStreamInterrupted reports that the connection was lost before the stream ended. A
// request with the response's LastEventID resumes it.
var ErrStreamInterrupted = verdict.New(verdict.Ran, verdict.CodeStreamLost, "connection lost before the end of the stream")

// readStream reads server-sent events into a until the end of the stream.
func readStream(r io.Reader, a *ChatResponse, onText func(string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventLineBytes)
	isErrorEvent, eventID := false, ""
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			isErrorEvent = true
		case strings.HasPrefix(line, "id: "):
			eventID = line[len("id: "):]
		case !isData:
		case isErrorEvent:
			return decodeError([]byte(data))
		case data == "[DONE]":
			a.Complete = true
			return nil
		default:
			if err := a.applyChunk(data, &text, onText); err != nil {
				return err
			}
			a.LastEventID = eventID
		}
	}
	return ErrStreamInterrupted
}

func (a *ChatResponse) applyChunk(data string, text *strings.Builder, onText func(string)) error {
	var chunk chatChunk
	if err := decode([]byte(data), &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) == 1 {
		text.WriteString(chunk.Choices[0].Delta.Content)
		if onText != nil {
			onText(chunk.Choices[0].Delta.Content)
		}
	}
	if chunk.Usage != nil {
		a.PromptTokens, a.CompletionTokens = chunk.Usage.PromptTokens, chunk.Usage.CompletionTokens
		a.CachedTokens = chunk.Usage.Details.CachedTokens
	}
	return nil
}
