package bench

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/verbenabend/verbenabend/internal/upstream"
)

// memoryEngine gives events without a network.
type memoryEngine struct {
	upstream.Engines
	events int
}

// Generate implements upstream.Engines.
func (m *memoryEngine) Generate(_ context.Context, _ string, g *upstream.Generation) (upstream.Stream, error) {
	info := upstream.StreamInfo{
		Ref:          upstream.StreamRef{Incarnation: g.Incarnation, StreamID: "stream-1"},
		Organisation: g.Organisation, Weights: g.Weights, RequestID: g.RequestID,
	}
	return &memoryStream{info: info, left: m.events}, nil
}

type memoryStream struct {
	info upstream.StreamInfo
	next int
	left int
}

// Info implements upstream.Stream.
func (s *memoryStream) Info() upstream.StreamInfo { return s.info }

// Close implements upstream.Stream.
func (s *memoryStream) Close() error { return nil }

// Next implements upstream.Stream.
func (s *memoryStream) Next() (upstream.Event, error) {
	if s.left == 0 {
		return upstream.Event{}, io.EOF
	}
	s.left--
	e := upstream.Event{Index: s.next, Text: "word "}
	if s.left == 0 {
		e.Finish = "stop"
	}
	s.next++
	return e, nil
}

// discard is a caller that reads everything at once.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) Flush()                      {}

// BenchmarkEvent measures the handler's part of one streamed event, without
// a network on either side.
func BenchmarkEvent(b *testing.B) {
	h := callers(b, &memoryEngine{events: b.N}, "10.0.0.1:80")
	r, err := http.NewRequest(http.MethodPost, "http://entry/services/lamp-bench/v1/chat/completions", strings.NewReader(body()))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+benchKey)
	b.ReportAllocs()
	b.ResetTimer()
	h.ServeHTTP(&discard{header: http.Header{}}, r)
}
