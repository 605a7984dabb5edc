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

// format is the shape of an answer: that of a chat or of a text completion.
type format struct {
	whole string // object name of a whole answer
	chunk string // object name of a streamed piece
	chat  bool
}

var (
	chatFormat = format{whole: "chat.completion", chunk: "chat.completion.chunk", chat: true}
	textFormat = format{whole: "text_completion", chunk: "text_completion"}
)

// answerBody is a whole answer or a streamed piece of one.
type answerBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"` // seconds since 1970
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

func usageOf(u upstream.Usage) *usageDetail {
	return &usageDetail{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, TotalTokens: u.PromptTokens + u.CompletionTokens,
		PromptDetails: promptDetails{CachedTokens: u.CachedTokens},
	}
}

// answerSink writes an answer to the caller.
type answerSink interface {
	dispatch.Sink
	// finish ends a complete answer.
	finish(w http.ResponseWriter)
	// fail reports a failure within an answer that has begun, false if none has.
	fail(err error) bool
	// resumable reports whether the answer may begin in the middle.
	resumable() bool
}

// wholeSink collects an answer and writes it at the end.
type wholeSink struct {
	format format
	req    *dispatch.ModelRequest
	text   strings.Builder
	last   upstream.Event
	source dispatch.Source
}

// maxWholeBytes bounds an answer that is collected before it is written.
const maxWholeBytes = 32 << 20

// Event implements dispatch.Sink.
func (s *wholeSink) Event(src dispatch.Source, e upstream.Event) error {
	if s.text.Len()+len(e.Text) > maxWholeBytes {
		return verdict.New(verdict.Ran, verdict.CodeTooLarge, "the answer exceeds the limit; ask for a streamed one")
	}
	s.text.WriteString(e.Text)
	s.last, s.source = e, src
	return nil
}

// Rewind implements dispatch.Rewinder: nothing was written yet.
func (s *wholeSink) Rewind() { s.text.Reset() }

func (s *wholeSink) finish(w http.ResponseWriter) {
	text := s.text.String()
	c := choice{FinishReason: &s.last.Finish}
	if s.format.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	w.Header().Set(HeaderUpstream, s.source.Engine)
	writeJSON(w, http.StatusOK, answerBody{
		ID: s.req.ID, Object: s.format.whole, Created: s.req.ReceivedAt.Unix(), Model: s.req.Model.Name,
		Choices: [1]choice{c}, Usage: usageOf(s.last.Usage),
	})
}

func (s *wholeSink) fail(error) bool { return false }
func (s *wholeSink) resumable() bool { return false }

// streamSink writes each event as a server-sent event with a resume token.
type streamSink struct {
	w      http.ResponseWriter
	out    *http.ResponseController
	tokens *resume.Encoder
	// position is that of the next token.
	position resume.Position
	token    []byte
	req      *dispatch.ModelRequest
	format   format
	begun    bool
	line     bytes.Buffer
	encoder  *json.Encoder
}

func newStreamSink(w http.ResponseWriter, keys *resume.Keys, req *dispatch.ModelRequest, f format) *streamSink {
	s := &streamSink{w: w, out: http.NewResponseController(w), tokens: keys.Encoder(), req: req, format: f}
	s.encoder = json.NewEncoder(&s.line)
	return s
}

// Event implements dispatch.Sink.
func (s *streamSink) Event(src dispatch.Source, e upstream.Event) error {
	if !s.begun {
		s.begin(src.Engine)
	}
	s.line.Reset()
	s.line.WriteString("id: ")
	s.line.Write(s.nextToken(src, e))
	s.line.WriteString("\ndata: ")
	if err := s.encoder.Encode(s.chunk(e)); err != nil {
		return err
	}
	s.line.WriteByte('\n') // the encoder has ended the line; this ends the event
	return s.flush()
}

// nextToken returns the token after e; it is valid until the next call.
func (s *streamSink) nextToken(src dispatch.Source, e upstream.Event) []byte {
	s.position = resume.Position{
		Organisation: s.req.Organisation.Name, Service: s.req.Service.Document.Service, RequestID: src.Info.RequestID,
		Engine: src.Engine, Incarnation: src.Info.Ref.Incarnation, StreamID: src.Info.Ref.StreamID,
		Weights: src.Info.Weights, Next: e.Index + 1, Ended: e.Finish != "",
	}
	s.token = s.tokens.Append(s.token[:0], &s.position)
	return s.token
}

func (s *streamSink) begin(engine string) {
	s.begun = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	if engine != "" {
		h.Set(HeaderUpstream, engine)
	}
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) chunk(e upstream.Event) answerBody {
	c := choice{}
	if s.format.chat {
		c.Delta = &message{Content: e.Text}
		if e.Index == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &e.Text
	}
	body := answerBody{ID: s.req.ID, Object: s.format.chunk, Created: s.req.ReceivedAt.Unix(), Model: s.req.Model.Name}
	if e.Finish != "" {
		c.FinishReason = &e.Finish
		body.Usage = usageOf(e.Usage)
	}
	body.Choices[0] = c
	return body
}

func (s *streamSink) flush() error {
	boundWrite(s.w, 0)
	if _, err := s.w.Write(s.line.Bytes()); err != nil {
		return err
	}
	return s.out.Flush()
}

func (s *streamSink) finish(http.ResponseWriter) {
	if !s.begun {
		s.begin("") // a stream whose last event the caller had
	}
	s.line.Reset()
	s.line.WriteString("data: [DONE]\n\n")
	_ = s.flush()
}

func (s *streamSink) fail(err error) bool {
	if !s.begun {
		return false
	}
	body, _ := errorBody(err)
	s.line.Reset()
	s.line.WriteString("event: error\ndata: ")
	_ = s.encoder.Encode(body)
	s.line.WriteByte('\n')
	_ = s.flush()
	return true
}

func (s *streamSink) resumable() bool { return true }
