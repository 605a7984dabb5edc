package logsink

import (
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

// Write implements io.Writer.
func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// While the output is blocked, writers do not wait, and every dropped line is
// reported afterwards.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	const written, queueLines = 1000, 8
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{release: make(chan struct{})}
		s := New(out, queueLines)
		start := time.Now()
		for range written {
			_, err := s.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		close(out.release)
		s.Close(nil)
		text := out.text.String()
		passed := strings.Count(text, "line\n")
		assert.Assert(t, passed <= queueLines+1, "%d lines written, more than the queue holds", passed)
		lost := 0
		for _, m := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(text, -1) {
			n, err := strconv.Atoi(m[1])
			assert.NilError(t, err)
			lost += n
		}
		assert.Equal(t, passed+lost, written)
	})
}
