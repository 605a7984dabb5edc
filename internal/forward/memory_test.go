package forward

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Long events fail once the memory for responses is used up; short ones do not, and what a
// response held is free again after its event and after its end.
func TestResponseMemoryIsShared(t *testing.T) {
	const limit = 100 << 10
	m := &memoryBudget{limit: limit, unleased: unleasedBytes}
	long := "data: " + strings.Repeat("x", unleasedBytes+limit-1000) + "\n\n"
	reader := func(text string) *eventReader {
		return &eventReader{source: bufio.NewReader(strings.NewReader(text)), memory: m.lease()}
	}
	first := reader(long + "data: short\n\n")
	_, err := first.next()
	assert.NilError(t, err)
	_, err = reader(long).next()
	assert.ErrorIs(t, err, errResponseMemory)
	_, err = reader("data: short\n\n").next()
	assert.NilError(t, err)
	body, whole, err := readBody(strings.NewReader(long), m.lease())
	assert.NilError(t, err)
	assert.Assert(t, !whole && len(body) <= unleasedBytes+1000, "%d bytes", len(body))

	_, err = first.next()
	assert.NilError(t, err)
	second := reader(long)
	_, err = second.next()
	assert.NilError(t, err)
	second.memory.release()
	assert.Equal(t, m.used.Load(), int64(0))
}

// A body is returned as it is, and reported as incomplete if it is longer than allowed.
func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, bodyReadBytes, 100_000, maxBufferedBodyBytes, 2 * maxBufferedBodyBytes} {
		text := bytes.Repeat([]byte("x"), size)
		body, whole, err := readBody(bytes.NewReader(text), (&memoryBudget{unleased: unleasedBytes}).lease())
		assert.NilError(t, err)
		assert.Equal(t, whole, size <= maxBufferedBodyBytes, size)
		assert.Assert(t, bytes.Equal(body, text[:len(body)]))
		assert.Assert(t, len(body) == size || !whole)
	}
}
