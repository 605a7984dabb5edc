package httpengine

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

func newStream(r io.Reader) *stream {
	return &stream{body: io.NopCloser(r), cancel: func() {}, reader: bufio.NewReaderSize(r, readBufferSize)}
}

// countingReader returns an endless line and counts the bytes read.
type countingReader struct{ n int }

func (r *countingReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	r.n += len(b)
	return len(b), nil
}

func TestEndlessLineIsBounded(t *testing.T) {
	r := &countingReader{}
	_, err := newStream(r).Next()
	assert.ErrorContains(t, err, "event too large")
	assert.Assert(t, r.n <= maxEventBytes+2*readBufferSize, "%d bytes read", r.n)
}

func TestLineLongerThanTheBuffer(t *testing.T) {
	text := strings.Repeat("word ", readBufferSize)
	s := newStream(strings.NewReader(": comment\n\nid: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"))
	e, err := s.Next()
	assert.NilError(t, err)
	assert.Equal(t, e.Text, text)
}

// FuzzStream checks that, whatever an engine sends, events have consecutive
// indexes and the stream ends after an event with a finish reason or with an
// error that carries a verdict.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\nid: 1\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 1\ndata: {}\n\n"))
	f.Add([]byte("id: -1\r\ndata: [DONE]\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newStream(bytes.NewReader(b))
		finished := false
		for i := 0; ; i++ {
			e, err := s.Next()
			if err == io.EOF {
				assert.Assert(t, finished)
				return
			}
			if err != nil {
				_, ok := verdict.As(err)
				assert.Assert(t, ok)
				return
			}
			assert.Equal(t, e.Index, i)
			finished = e.Finish != ""
		}
	})
}
