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

// Caller calls a service through one entry.
type Caller struct {
	// URL is the entry's base URL, such as "http://10.0.0.1:7001".
	URL  string
	Key  string
	HTTP *http.Client
}

// Question is a chat completion request.
type Question struct {
	Service  string             `json:"-"`
	Class    string             `json:"-"`
	Model    string             `json:"model,omitempty"`
	Messages []upstream.Message `json:"messages"`
	// MaxTokens bounds the answer; 0 leaves it to the service.
	MaxTokens int  `json:"max_tokens,omitempty"`
	Stream    bool `json:"stream"`
	// LastEventID resumes a stream after the event with this id.
	LastEventID string `json:"-"`
}

// Answer is what came back.
type Answer struct {
	RequestID        string `json:"request_id"`
	Engine           string `json:"engine"`
	Text             string `json:"text"`
	PromptTokens     int    `json:"prompt_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	// LastEventID is the id of the last event received.
	LastEventID string `json:"-"`
	// Complete tells that the stream ended as it should.
	Complete bool `json:"complete"`
}

// Entries asks which addresses to use.
func (c *Caller) Entries(ctx context.Context, service, dataCentre string) (*entry.Entries, error) {
	q := url.Values{"service": {service}, "data_centre": {dataCentre}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/v1/entries?"+q.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "address of the entry")
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

// Call calls a plain service. The reply is returned whatever its status, but
// a refusal or failure of the system itself is an error.
func (c *Caller) Call(ctx context.Context, service, method, path, idempotencyKey string, body []byte) (*upstream.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+"/services/"+service+"/http"+path, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "address of the entry")
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
	ctx, sent := httpverdict.Track(req.Context())
	httpverdict.NeverReplay(req)
	resp, err := httpClient(c.HTTP).Do(req.WithContext(ctx))
	if err != nil {
		return nil, nil, verdict.Wrap(err, sent.Verdict(), verdict.CodeUpstreamFailed, "the entry can't be reached")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the entry's answer was cut off")
	}
	return resp, raw, nil
}

// Ask asks a question and streams the answer: each piece is passed to piece,
// which may be nil. On an error the answer holds what came before it.
func (c *Caller) Ask(ctx context.Context, q *Question, piece func(string)) (*Answer, error) {
	asked := *q
	asked.Stream = true
	raw, err := json.Marshal(&asked)
	if err != nil {
		return nil, errors.Wrap(err, "encode question")
	}
	ctx, sent := httpverdict.Track(ctx)
	u := c.URL + "/services/" + url.PathEscape(q.Service) + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(raw))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "address of the entry")
	}
	httpverdict.NeverReplay(req)
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if q.Class != "" {
		req.Header.Set(entry.HeaderClass, q.Class)
	}
	if q.LastEventID != "" {
		req.Header.Set(entry.HeaderLastEventID, q.LastEventID)
	}
	resp, err := httpClient(c.HTTP).Do(req)
	if err != nil {
		return nil, verdict.Wrap(err, sent.Verdict(), verdict.CodeUpstreamFailed, "the entry can't be reached")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		return nil, decodeError(raw)
	}
	a := &Answer{RequestID: resp.Header.Get(entry.HeaderRequestID), Engine: resp.Header.Get(entry.HeaderUpstream), LastEventID: q.LastEventID}
	return a, readAnswer(resp.Body, a, piece)
}

// answerChunk is the part of a streamed piece that matters here.
type answerChunk struct {
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

const maxLineBytes = 1 << 20

// ErrStreamCut reports that the connection broke before the answer ended; the
// answer's LastEventID resumes it.
var ErrStreamCut = verdict.New(verdict.Ran, verdict.CodeStreamLost, "the connection broke before the answer ended")

// readAnswer reads server-sent events until the stream's end.
func readAnswer(r io.Reader, a *Answer, piece func(string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	failed, id := false, ""
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case !isData:
		case failed:
			return decodeError([]byte(data))
		case data == "[DONE]":
			a.Complete = true
			return nil
		default:
			if err := a.add(data, &text, piece); err != nil {
				return err
			}
			a.LastEventID = id
		}
	}
	return ErrStreamCut
}

func (a *Answer) add(data string, text *strings.Builder, piece func(string)) error {
	var c answerChunk
	if err := decode([]byte(data), &c); err != nil {
		return err
	}
	if len(c.Choices) == 1 {
		text.WriteString(c.Choices[0].Delta.Content)
		if piece != nil {
			piece(c.Choices[0].Delta.Content)
		}
	}
	if c.Usage != nil {
		a.PromptTokens, a.CompletionTokens = c.Usage.PromptTokens, c.Usage.CompletionTokens
		a.CachedTokens = c.Usage.Details.CachedTokens
	}
	return nil
}
