package forward

import (
	"bufio"
	"testing"

	"gotest.tools/v3/assert"
)

// endlessReader repeats a text and counts the bytes read.
type endlessReader struct {
	text string
	n    int
}

// Read implements io.Reader.
func (r *endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = r.text[r.n%len(r.text)]
		r.n++
	}
	return len(b), nil
}

// An event without an end must not be read or kept beyond the largest event.
func TestEndlessEventIsBounded(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", ": x\n", "id: 1\n"} {
		source := &endlessReader{text: text}
		reader := bufio.NewReader(source)
		events := &eventReader{source: reader}
		_, err := events.next()
		assert.ErrorContains(t, err, "stream event exceeds 1048576 bytes")
		assert.Assert(t, source.n <= maxEventBytes+2*reader.Size(), "%d bytes read", source.n)
		assert.Assert(t, cap(events.buffer) <= 2*maxEventBytes, "%d bytes kept", cap(events.buffer))
	}
}
