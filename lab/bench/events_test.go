package bench

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/verbenabend/verbenabend/internal/upstream"
)

// memoryEngine generates events without a network.
type memoryEngine struct {
	upstream.Engines
	events int
}

// Generate implements upstream.Engines.
func (m *memoryEngine) Generate(_ context.Context, _ string, g *upstream.GenerateRequest) (upstream.Stream, error) {
	info := upstream.StreamInfo{
		Ref:          upstream.StreamRef{Incarnation: g.Incarnation, StreamID: "stream-1"},
		Organisation: g.Organisation, Weights: g.Weights, RequestID: g.RequestID,
	}
	return &memoryStream{info: info, remaining: m.events}, nil
}

type memoryStream struct {
	info      upstream.StreamInfo
	next      int
	remaining int
}

// Info implements upstream.Stream.
func (s *memoryStream) Info() upstream.StreamInfo { return s.info }

// Close implements upstream.Stream.
func (s *memoryStream) Close() error { return nil }

// Next implements upstream.Stream.
func (s *memoryStream) Next() (upstream.Event, error) {
	if s.remaining == 0 {
		return upstream.Event{}, io.EOF
	}
	s.remaining--
	e := upstream.Event{Index: s.next, Text: "word "}
	if s.remaining == 0 {
		e.Finish = "stop"
	}
	s.next++
	return e, nil
}

// discardWriter is a ResponseWriter that discards the response without blocking.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) Flush()                      {}

// BenchmarkEvent measures the handler's cost per streamed event, without a network
// on either side.
func BenchmarkEvent(b *testing.B) {
	h := newHandler(b, &memoryEngine{events: b.N}, "10.0.0.1:80")
	r, err := http.NewRequest(http.MethodPost, "http://entry/services/lamp-bench/v1/chat/completions", strings.NewReader(requestBody()))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+benchKey)
	b.ReportAllocs()
	b.ResetTimer()
	h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
}
