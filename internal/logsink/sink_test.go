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

// A blocked output costs lines, never time, and every lost line is reported.
func TestBlockedOutputMakesNobodyWait(t *testing.T) {
	const written, room = 1000, 8
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		s := New(out, room)
		begun := time.Now()
		for range written {
			_, err := s.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(begun), time.Duration(0))
		close(out.release)
		s.Close(nil)
		text := out.text.String()
		passed := strings.Count(text, "line\n")
		assert.Assert(t, passed <= room+1, "%d lines passed a blocked output", passed)
		lost := 0
		for _, m := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(text, -1) {
			n, err := strconv.Atoi(m[1])
			assert.NilError(t, err)
			lost += n
		}
		assert.Equal(t, passed+lost, written)
	})
}
