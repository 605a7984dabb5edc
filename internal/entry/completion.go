package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// chatRequest is the body of a chat completion. Fields that model clients send
// beside these are accepted and have no effect.
type chatRequest struct {
	Model     string             `json:"model"`
	Messages  []upstream.Message `json:"messages"`
	Stream    bool               `json:"stream"`
	MaxTokens *int               `json:"max_tokens"`
}

// completionRequest is the body of a plain completion.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    levels `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens *int   `json:"max_tokens"`
}

// levels is a prompt: a string, or a list of levels.
type levels []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *levels) UnmarshalJSON(b []byte) error {
	var one string
	if json.Unmarshal(b, &one) == nil {
		*l = levels{one}
		return nil
	}
	return json.Unmarshal(b, (*[]string)(l))
}

// defaultMaxTokens bounds an answer when the caller does not.
const defaultMaxTokens = 256

func (c *Callers) chat(w http.ResponseWriter, r *http.Request) {
	c.complete(w, r, func(body []byte) (chatRequest, error) {
		var req chatRequest
		return req, json.Unmarshal(body, &req)
	}, chatFormat)
}

func (c *Callers) completion(w http.ResponseWriter, r *http.Request) {
	c.complete(w, r, func(body []byte) (chatRequest, error) {
		var req completionRequest
		if err := json.Unmarshal(body, &req); err != nil {
			return chatRequest{}, err
		}
		out := chatRequest{Model: req.Model, Stream: req.Stream, MaxTokens: req.MaxTokens}
		for _, text := range req.Prompt {
			out.Messages = append(out.Messages, upstream.Message{Role: "user", Content: text})
		}
		return out, nil
	}, textFormat)
}

func (c *Callers) complete(w http.ResponseWriter, r *http.Request, decode func([]byte) (chatRequest, error), f format) {
	received := time.Now()
	who, body, release, err := c.receive(w, r, servicedoc.KindModel)
	if err != nil {
		c.fail(w, who, err)
		return
	}
	defer release()
	chat, err := decode(body)
	if err != nil {
		c.fail(w, who, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "the body is not a completion request"))
		return
	}
	req, err := modelRequest(who, chat, r.Header, received)
	if err != nil {
		c.fail(w, who, err)
		return
	}
	c.Log.Emit(eventlog.RequestReceived, eventlog.Fields{Service: who.doc.Document.Service, RequestID: who.id, Detail: who.organisation.Name})
	c.answer(w, r, who, req, chat.Stream, f)
}

func modelRequest(who caller, chat chatRequest, h http.Header, received time.Time) (*dispatch.ModelRequest, error) {
	limits := who.doc.Document.Limits
	bad := func(message string) error { return verdict.New(verdict.NotRun, verdict.CodeBadRequest, message) }
	if len(chat.Messages) == 0 {
		return nil, bad("the prompt is empty")
	}
	if len(chat.Messages) > limits.MaxLevels {
		return nil, bad("the prompt has more than " + strconv.Itoa(limits.MaxLevels) + " levels")
	}
	model, ok := who.doc.Model(chat.Model)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "the service has no model "+strconv.Quote(chat.Model))
	}
	class, ok := who.doc.Class(h.Get(HeaderClass))
	if !ok {
		return nil, bad("the service has no class " + strconv.Quote(h.Get(HeaderClass)))
	}
	maxTokens := min(defaultMaxTokens, limits.MaxOutputTokens)
	if chat.MaxTokens != nil {
		maxTokens = *chat.MaxTokens
	}
	if maxTokens < 1 || maxTokens > limits.MaxOutputTokens {
		return nil, bad("max_tokens must be 1 to " + strconv.Itoa(limits.MaxOutputTokens))
	}
	var deadline time.Time
	if text := h.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return nil, bad(HeaderDeadline + " must be a positive number of milliseconds")
		}
		deadline = received.Add(time.Duration(ms) * time.Millisecond)
	}
	return &dispatch.ModelRequest{
		ID: who.id, Service: who.doc, Organisation: who.organisation, Model: model, Class: class,
		Messages: chat.Messages, MaxTokens: maxTokens, Deadline: deadline, ReceivedAt: received,
	}, nil
}

// answer serves the request, streamed or whole, from the beginning or from
// the position that the caller gives.
func (c *Callers) answer(w http.ResponseWriter, r *http.Request, who caller, req *dispatch.ModelRequest, streamed bool, f format) {
	service := who.doc.Document.Service
	var sink answerSink = &wholeSink{format: f, req: req}
	if streamed {
		sink = newStreamSink(w, c.Keys, req, f)
	}
	var err error
	if token := r.Header.Get(HeaderLastEventID); token != "" {
		err = c.resume(r, req, token, sink)
	} else {
		err = c.Dispatcher.Generate(r.Context(), req, sink)
	}
	fields := eventlog.Fields{Service: service, RequestID: req.ID}
	switch e, _ := verdict.As(err); {
	case err == nil:
		c.Log.EmitSampled(eventlog.RequestFinished, func() eventlog.Fields { return fields })
		sink.finish(w)
	case e != nil && e.Code == verdict.CodeCanceled:
		c.Log.Emit(eventlog.CallerGone, fields)
	case !sink.fail(err):
		c.fail(w, who, err)
	default:
		fields.Detail = err.Error()
		c.Log.Emit(eventlog.RequestFailed, fields)
	}
}

func (c *Callers) resume(r *http.Request, req *dispatch.ModelRequest, token string, sink answerSink) error {
	p, err := c.Keys.Decode(token)
	if err != nil || p.Organisation != req.Organisation.Name || p.Service != req.Service.Document.Service {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, HeaderLastEventID+" is not a resume token of this organisation and service")
	}
	if !sink.resumable() {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "only a streamed answer can be resumed")
	}
	made, _ := servicedoc.ParseWeights(p.Weights)
	if made.Name != req.Model.Name {
		return verdict.New(verdict.Ran, verdict.CodeStreamLost, "the stream was made by another model")
	}
	resumed := *req
	resumed.ID = p.RequestID
	// The version may have changed since the stream began; its engine goes on with the old one.
	resumed.Model.Version, resumed.Model.Adapter = made.Version, made.Adapter
	return c.Dispatcher.Resume(r.Context(), &resumed, p, sink)
}
