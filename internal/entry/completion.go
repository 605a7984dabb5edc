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

// chatRequest is the body of a chat completion request. Other fields of the
// common chat completion API are accepted and ignored.
type chatRequest struct {
	Model     string             `json:"model"`
	Messages  []upstream.Message `json:"messages"`
	Stream    bool               `json:"stream"`
	MaxTokens *int               `json:"max_tokens"`
}

// completionRequest is the body of a text completion request.
type completionRequest struct {
	Model     string       `json:"model"`
	Prompt    promptLevels `json:"prompt"`
	Stream    bool         `json:"stream"`
	MaxTokens *int         `json:"max_tokens"`
}

// promptLevels is a prompt: a string, or a list of levels.
type promptLevels []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *promptLevels) UnmarshalJSON(b []byte) error {
	var single string
	if json.Unmarshal(b, &single) == nil {
		*l = promptLevels{single}
		return nil
	}
	return json.Unmarshal(b, (*[]string)(l))
}

// defaultMaxTokens is the token limit of a response when the request states none.
const defaultMaxTokens = 256

func (c *CallerAPI) serveChat(w http.ResponseWriter, r *http.Request) {
	c.serveCompletion(w, r, func(body []byte) (chatRequest, error) {
		var req chatRequest
		return req, json.Unmarshal(body, &req)
	}, chatFormat)
}

func (c *CallerAPI) serveTextCompletion(w http.ResponseWriter, r *http.Request) {
	c.serveCompletion(w, r, func(body []byte) (chatRequest, error) {
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

func (c *CallerAPI) serveCompletion(w http.ResponseWriter, r *http.Request, decode func([]byte) (chatRequest, error), f responseFormat) {
	received := time.Now()
	auth, body, release, err := c.authenticateAndRead(w, r, servicedoc.KindModel)
	if err != nil {
		c.failRequest(w, auth, err)
		return
	}
	defer release()
	chat, err := decode(body)
	if err != nil {
		c.failRequest(w, auth, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "the body is not a completion request"))
		return
	}
	req, err := newModelRequest(auth, chat, r.Header, received)
	if err != nil {
		c.failRequest(w, auth, err)
		return
	}
	c.Log.Emit(eventlog.RequestReceived, eventlog.Fields{Service: auth.doc.Document.Service, RequestID: auth.requestID, Detail: auth.organisation.Name})
	c.respond(w, r, auth, req, chat.Stream, f)
}

func newModelRequest(auth authenticatedRequest, chat chatRequest, h http.Header, received time.Time) (*dispatch.ModelRequest, error) {
	limits := auth.doc.Document.Limits
	badRequest := func(message string) error { return verdict.New(verdict.NotRun, verdict.CodeBadRequest, message) }
	if len(chat.Messages) == 0 {
		return nil, badRequest("the prompt is empty")
	}
	if len(chat.Messages) > limits.MaxLevels {
		return nil, badRequest("the prompt has more than " + strconv.Itoa(limits.MaxLevels) + " levels")
	}
	model, ok := auth.doc.Model(chat.Model)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "the service has no model "+strconv.Quote(chat.Model))
	}
	class, ok := auth.doc.Class(h.Get(HeaderClass))
	if !ok {
		return nil, badRequest("the service has no class " + strconv.Quote(h.Get(HeaderClass)))
	}
	maxTokens := min(defaultMaxTokens, limits.MaxOutputTokens)
	if chat.MaxTokens != nil {
		maxTokens = *chat.MaxTokens
	}
	if maxTokens < 1 || maxTokens > limits.MaxOutputTokens {
		return nil, badRequest("max_tokens must be 1 to " + strconv.Itoa(limits.MaxOutputTokens))
	}
	var deadline time.Time
	if deadlineHeader := h.Get(HeaderDeadline); deadlineHeader != "" {
		ms, err := strconv.ParseInt(deadlineHeader, 10, 32)
		if err != nil || ms <= 0 {
			return nil, badRequest(HeaderDeadline + " must be a positive number of milliseconds")
		}
		deadline = received.Add(time.Duration(ms) * time.Millisecond)
	}
	return &dispatch.ModelRequest{
		ID: auth.requestID, Service: auth.doc, Organisation: auth.organisation, Model: model, Class: class,
		Messages: chat.Messages, MaxTokens: maxTokens, Deadline: deadline, ReceivedAt: received,
	}, nil
}

// respond writes the response to a request, streamed or buffered, from the
// beginning or from the position of a resume token.
func (c *CallerAPI) respond(w http.ResponseWriter, r *http.Request, auth authenticatedRequest, req *dispatch.ModelRequest, streamed bool, f responseFormat) {
	service := auth.doc.Document.Service
	var sink responseSink = &bufferedSink{format: f, req: req}
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
		c.Log.Emit(eventlog.CallerDisconnected, fields)
	case !sink.writeFailure(err):
		c.failRequest(w, auth, err)
	default:
		fields.Detail = err.Error()
		c.Log.Emit(eventlog.RequestFailed, fields)
	}
}

func (c *CallerAPI) resume(r *http.Request, req *dispatch.ModelRequest, token string, sink responseSink) error {
	position, err := c.Keys.Decode(token)
	if err != nil || position.Organisation != req.Organisation.Name || position.Service != req.Service.Document.Service {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, HeaderLastEventID+" is not a resume token of this organisation and service")
	}
	if !sink.resumable() {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "only a streamed response can be resumed")
	}
	original, _ := servicedoc.ParseWeights(position.Weights)
	if original.Name != req.Model.Name {
		return verdict.New(verdict.Ran, verdict.CodeStreamLost, "the stream to resume was generated by another model")
	}
	resumed := *req
	resumed.ID = position.RequestID
	// The model's version may have changed since the stream started; its engine
	// continues with the version that it started with.
	resumed.Model.Version, resumed.Model.Adapter = original.Version, original.Adapter
	return c.Dispatcher.Resume(r.Context(), &resumed, position, sink)
}
