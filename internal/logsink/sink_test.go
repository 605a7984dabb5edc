package logsink

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

// Write implements io.Writer.
func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// A blocked output costs lines, never time, and the loss is reported.
func TestBlockedOutputMakesNobodyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		s := New(out, 8)
		begun := time.Now()
		for range 1000 {
			_, err := s.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(begun), time.Duration(0))
		lost := s.Dropped()
		assert.Assert(t, lost >= 990 && lost < 1000, "%d lost", lost)
		close(out.release)
		s.Close(nil)
		text := out.text.String()
		assert.Assert(t, strings.Contains(text, `"lines":`), text)
		assert.Equal(t, int64(1000), lost+int64(strings.Count(text, "line\n")))
	})
}
