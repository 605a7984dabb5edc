package httpengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/httpverdict"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	maxEventBytes  = 1 << 20
	readBufferSize = 4 << 10
)

var (
	fieldID    = []byte("id:")
	fieldData  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// stream implements upstream.Stream over server-sent events.
type stream struct {
	info      upstream.StreamInfo
	body      io.ReadCloser
	cancel    context.CancelFunc
	reader    *bufio.Reader
	nextIndex int
	finished  bool
}

// expectedHeader is a header that identifies the request or stream that a
// response belongs to.
type expectedHeader struct{ name, value string }

// openStream sends req and checks the response's status and headers. firstIndex
// is the index of the first event expected; a refusal counts as one only if it
// carries the expected header.
func openStream(client *http.Client, req *http.Request, sent *httpverdict.SendState, expected expectedHeader, firstIndex int) (upstream.Stream, error) {
	ctx, cancel := context.WithCancel(req.Context())
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, verdict.Wrap(err, sent.Verdict(), verdict.CodeUpstreamFailed, "engine unreachable")
	}
	if resp.StatusCode != http.StatusOK {
		timeout := time.AfterFunc(failureBodyTimeout, cancel)
		raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		timeout.Stop()
		resp.Body.Close()
		cancel()
		if resp.Header.Get(expected.name) != expected.value {
			return nil, failureError(resp.StatusCode) // not a response to this request
		}
		return nil, refusalError(resp.StatusCode, raw)
	}
	info := upstream.StreamInfo{
		Ref:          upstream.StreamRef{Incarnation: resp.Header.Get(HeaderIncarnation), StreamID: resp.Header.Get(HeaderStreamID)},
		Organisation: resp.Header.Get(HeaderOrganisation),
		Weights:      resp.Header.Get(HeaderWeights),
		RequestID:    resp.Header.Get(HeaderRequestID),
	}
	return &stream{info: info, body: resp.Body, cancel: cancel, reader: bufio.NewReaderSize(resp.Body, readBufferSize), nextIndex: firstIndex}, nil
}

// Info implements upstream.Stream.
func (s *stream) Info() upstream.StreamInfo { return s.info }

// Close implements upstream.Stream.
func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}

// Next implements upstream.Stream.
func (s *stream) Next() (upstream.Event, error) {
	if s.finished {
		return upstream.Event{}, io.EOF
	}
	index, data, err := s.readEvent()
	if err != nil {
		return upstream.Event{}, err
	}
	if bytes.Equal(data, doneMarker) {
		return upstream.Event{}, s.streamLost("stream ended without a finish reason")
	}
	if index != s.nextIndex {
		return upstream.Event{}, s.streamLost("stream has event " + strconv.Itoa(index) + " where event " + strconv.Itoa(s.nextIndex) + " was expected")
	}
	event, err := decodeChunk(index, data)
	if err != nil {
		return upstream.Event{}, err
	}
	s.nextIndex++
	s.finished = event.Finish != ""
	return event, nil
}

func (s *stream) streamLost(message string) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, message)
}

// readEvent reads one server-sent event and skips comments.
func (s *stream) readEvent() (index int, data []byte, err error) {
	index = -1
	size := 0
	for {
		line, err := s.readLine(maxEventBytes - size)
		if err != nil {
			return 0, nil, err
		}
		size += len(line)
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0 && data != nil:
			return index, data, nil
		case bytes.HasPrefix(line, fieldID):
			index, err = strconv.Atoi(string(bytes.TrimSpace(line[len(fieldID):])))
			if err != nil {
				return 0, nil, s.streamLost("malformed event id")
			}
		case bytes.HasPrefix(line, fieldData):
			data = append(data, bytes.TrimSpace(line[len(fieldData):])...)
		}
	}
}

// readLine reads a line of at most limit bytes. It is valid until the next call.
func (s *stream) readLine(limit int) ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line = bytes.Clone(line)
	}
	for errors.Is(err, bufio.ErrBufferFull) && len(line) <= limit {
		var more []byte
		more, err = s.reader.ReadSlice('\n')
		line = append(line, more...)
	}
	switch {
	case len(line) > limit:
		return nil, s.streamLost("event too large")
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeStreamLost, "stream interrupted")
	}
	return line, nil
}

func decodeChunk(index int, data []byte) (upstream.Event, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) != 1 {
		return upstream.Event{}, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "malformed event")
	}
	e := upstream.Event{Index: index, Text: c.Choices[0].Delta.Content}
	if reason := c.Choices[0].FinishReason; reason != nil {
		e.Finish = *reason
	}
	if c.Usage != nil {
		e.Usage = upstream.Usage{
			PromptTokens:     c.Usage.PromptTokens,
			CompletionTokens: c.Usage.CompletionTokens,
			CachedTokens:     c.Usage.Details.CachedTokens,
		}
	}
	return e, nil
}
