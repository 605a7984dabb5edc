package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// 1000 events a second of one kind are sampled to 10 lines a second that state
// how many were omitted. Other kinds are not sampled, and all events are counted.
func TestSampledLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New("entry-1", hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true, Level: hclog.Info}), 64)
		var seen atomic.Int64
		l.Observe(func(ID) { seen.Add(1) })
		const seconds, perSecond = 3, 1000
		built := 0
		for range seconds * perSecond {
			l.EmitSampled(RequestFinished, func() Fields { built++; return Fields{RequestID: "r"} })
			time.Sleep(time.Second / perSecond)
		}
		l.Emit(RequestFailed, Fields{RequestID: "failed"})
		l.EmitSampled(RequestFinished, func() Fields { return Fields{} })
		assert.Equal(t, seen.Load(), int64(seconds*perSecond+2))
		assert.Equal(t, built, seconds*maxSampledLinesPerSecond)
		events, skipped, err := ReadLines(&out)
		assert.NilError(t, err)
		assert.Equal(t, skipped, 0)
		assert.Equal(t, len(events), seconds*maxSampledLinesPerSecond+2)
		logged, omitted := 0, uint64(0)
		for _, e := range events {
			if e.ID == RequestFinished {
				logged++
				omitted += e.Omitted
			}
		}
		assert.Equal(t, uint64(logged)+omitted, uint64(seconds*perSecond+1))
	})
}

func TestDebugLogsAllSampledLines(t *testing.T) {
	var out bytes.Buffer
	l := New("entry-1", hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true, Level: hclog.Debug}), 64)
	for range 5 * maxSampledLinesPerSecond {
		l.EmitSampled(RequestFinished, func() Fields { return Fields{} })
	}
	events, _, err := ReadLines(&out)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 5*maxSampledLinesPerSecond)
}

// ReadLines restores the entries that a Log wrote.
func TestLinesAreReadBack(t *testing.T) {
	var out bytes.Buffer
	l := New("entry-1", hclog.New(&hclog.LoggerOptions{Name: "entry-1", Output: &out, JSONFormat: true}), 8)
	l.Emit(RequestRefused, Fields{
		Service: "s", RequestID: "r", Upstream: "u", Route: "route", Organisation: "o", Revision: 7, Detail: `why: "{}"`,
	})
	text := "12.5 machine-1 " + out.String() + "\n{broken\nplain text\n{\"@message\":\"not an event\"}\n"
	events, skipped, err := ReadLines(strings.NewReader(text))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 4)
	assert.DeepEqual(t, events, l.Since(Timestamp{}))
}

func FuzzReadLines(f *testing.F) {
	f.Add(`x {"event":204,"clock":"1+2","@module":"a"}`)
	f.Add(fmt.Sprintf(`{"event":%d,"clock":"z"}`, RequestFailed))
	f.Fuzz(func(t *testing.T, text string) {
		events, _, err := ReadLines(strings.NewReader(text))
		for _, e := range events {
			assert.Check(t, err != nil || e.ID != 0)
		}
	})
}
