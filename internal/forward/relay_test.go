package forward

import (
	"bufio"
	"strings"
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
		events := &eventReader{source: reader, memory: (&memoryBudget{unleased: unleasedBytes}).lease()}
		_, err := events.next()
		assert.ErrorContains(t, err, "stream event exceeds 1048576 bytes")
		assert.Assert(t, source.n <= maxEventBytes+2*reader.Size(), "%d bytes read", source.n)
		assert.Assert(t, cap(events.buffer) <= 2*maxEventBytes, "%d bytes kept", cap(events.buffer))
	}
}

// A line longer than the reader's buffer is one line: a part of it that looks like an ID or
// a comment is none. A wrong ID would resume the stream elsewhere.
func TestLongLineIsOneLine(t *testing.T) {
	for _, part := range []string{"id: 9", ": x"} {
		source := bufio.NewReaderSize(strings.NewReader("data: "+strings.Repeat("x", 10)+part+"\nid: 1\n\n"+": "+strings.Repeat("y", 14)+part+"\n\n"), 16)
		events := &eventReader{source: source, memory: (&memoryBudget{unleased: unleasedBytes}).lease()}
		e, err := events.next()
		assert.NilError(t, err)
		assert.Equal(t, e.id, "1")
		assert.Assert(t, e.hasFields)
		e, err = events.next()
		assert.NilError(t, err)
		assert.Equal(t, e.id, "")
		assert.Assert(t, !e.hasFields)
	}
	source := bufio.NewReaderSize(strings.NewReader("id: 1\ndata: "+strings.Repeat("x", 10)+"id: 9\n\n"), 16)
	e, err := (&eventReader{source: source, memory: (&memoryBudget{unleased: unleasedBytes}).lease()}).next()
	assert.NilError(t, err)
	assert.Equal(t, e.id, "1")
}
