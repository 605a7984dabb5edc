package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// responseFormat selects the body format of a chat or of a text completion.
type responseFormat struct {
	bufferedObject string // "object" field of a buffered response
	chunkObject    string // "object" field of a streamed chunk
	isChat         bool
}

var (
	chatFormat = responseFormat{bufferedObject: "chat.completion", chunkObject: "chat.completion.chunk", isChat: true}
	textFormat = responseFormat{bufferedObject: "text_completion", chunkObject: "text_completion"}
)

// completionBody is a buffered response or one chunk of a streamed one.
type completionBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"` // Unix time in seconds
	Model   string       `json:"model"`
	Choices [1]choice    `json:"choices"`
	Usage   *usageDetail `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usageDetail struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsageDetail(u upstream.Usage) *usageDetail {
	return &usageDetail{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, TotalTokens: u.PromptTokens + u.CompletionTokens,
		PromptDetails: promptDetails{CachedTokens: u.CachedTokens},
	}
}

// responseSink writes a response to the caller.
type responseSink interface {
	dispatch.Sink
	// finish ends a complete response.
	finish(w http.ResponseWriter)
	// writeFailure reports a failure within a response that has started. It
	// returns false, and writes nothing, if none has.
	writeFailure(err error) bool
	// resumable reports whether the response may start from a resume token.
	resumable() bool
}

// bufferedSink collects a response and writes it at the end.
type bufferedSink struct {
	format    responseFormat
	req       *dispatch.ModelRequest
	text      strings.Builder
	lastEvent upstream.Event
	source    dispatch.StreamSource
}

// maxBufferedResponseBytes bounds the text of a response that is collected before it is written.
const maxBufferedResponseBytes = 32 << 20

// Event implements dispatch.Sink.
func (s *bufferedSink) Event(src dispatch.StreamSource, e upstream.Event) error {
	if s.text.Len()+len(e.Text) > maxBufferedResponseBytes {
		return verdict.New(verdict.Ran, verdict.CodeTooLarge, "the response exceeds the size limit; request a streamed one")
	}
	s.text.WriteString(e.Text)
	s.lastEvent, s.source = e, src
	return nil
}

// Rewind implements dispatch.Rewinder: nothing was written to the caller yet.
func (s *bufferedSink) Rewind() { s.text.Reset() }

func (s *bufferedSink) finish(w http.ResponseWriter) {
	text := s.text.String()
	c := choice{FinishReason: &s.lastEvent.Finish}
	if s.format.isChat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	w.Header().Set(HeaderUpstream, s.source.Engine)
	writeJSON(w, http.StatusOK, completionBody{
		ID: s.req.ID, Object: s.format.bufferedObject, Created: s.req.ReceivedAt.Unix(), Model: s.req.Model.Name,
		Choices: [1]choice{c}, Usage: newUsageDetail(s.lastEvent.Usage),
	})
}

func (s *bufferedSink) writeFailure(error) bool { return false }
func (s *bufferedSink) resumable() bool         { return false }

// streamSink writes each event as a server-sent event with a resume token.
type streamSink struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	tokenEncoder *resume.Encoder
	// position is the position that the next event's resume token encodes.
	position    resume.Position
	resumeToken []byte
	req         *dispatch.ModelRequest
	format      responseFormat
	started     bool
	buffer      bytes.Buffer
	jsonEncoder *json.Encoder
}

func newStreamSink(w http.ResponseWriter, keys *resume.Keys, req *dispatch.ModelRequest, f responseFormat) *streamSink {
	s := &streamSink{w: w, controller: http.NewResponseController(w), tokenEncoder: keys.Encoder(), req: req, format: f}
	s.jsonEncoder = json.NewEncoder(&s.buffer)
	return s
}

// Event implements dispatch.Sink.
func (s *streamSink) Event(src dispatch.StreamSource, e upstream.Event) error {
	if !s.started {
		s.start(src.Engine)
	}
	s.buffer.Reset()
	s.buffer.WriteString("id: ")
	s.buffer.Write(s.nextResumeToken(src, e))
	s.buffer.WriteString("\ndata: ")
	if err := s.jsonEncoder.Encode(s.chunk(e)); err != nil {
		return err
	}
	s.buffer.WriteByte('\n') // the JSON encoder has ended the line; the blank line ends the event
	return s.flush()
}

// nextResumeToken returns the token that resumes the stream after e. It is valid
// until the next call.
func (s *streamSink) nextResumeToken(src dispatch.StreamSource, e upstream.Event) []byte {
	s.position = resume.Position{
		Organisation: s.req.Organisation.Name, Service: s.req.Service.Document.Service, RequestID: src.Info.RequestID,
		Engine: src.Engine, Incarnation: src.Info.Ref.Incarnation, StreamID: src.Info.Ref.StreamID,
		Weights: src.Info.Weights, NextIndex: e.Index + 1, Ended: e.Finish != "",
	}
	s.resumeToken = s.tokenEncoder.Append(s.resumeToken[:0], &s.position)
	return s.resumeToken
}

func (s *streamSink) start(engine string) {
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	if engine != "" {
		h.Set(HeaderUpstream, engine)
	}
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) chunk(e upstream.Event) completionBody {
	c := choice{}
	if s.format.isChat {
		c.Delta = &message{Content: e.Text}
		if e.Index == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &e.Text
	}
	body := completionBody{ID: s.req.ID, Object: s.format.chunkObject, Created: s.req.ReceivedAt.Unix(), Model: s.req.Model.Name}
	if e.Finish != "" {
		c.FinishReason = &e.Finish
		body.Usage = newUsageDetail(e.Usage)
	}
	body.Choices[0] = c
	return body
}

func (s *streamSink) flush() error {
	setWriteDeadline(s.w, 0)
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *streamSink) finish(http.ResponseWriter) {
	if !s.started {
		s.start("") // the caller resumed after the last event
	}
	s.buffer.Reset()
	s.buffer.WriteString("data: [DONE]\n\n")
	_ = s.flush()
}

func (s *streamSink) writeFailure(err error) bool {
	if !s.started {
		return false
	}
	body, _ := errorBody(err)
	s.buffer.Reset()
	s.buffer.WriteString("event: error\ndata: ")
	_ = s.jsonEncoder.Encode(body)
	s.buffer.WriteByte('\n')
	_ = s.flush()
	return true
}

func (s *streamSink) resumable() bool { return true }
