package eventlog

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Log records the events of one daemon. It is safe for concurrent use.
type Log struct {
	Clock    *Clock
	daemon   string
	logger   hclog.Logger
	kindByID map[ID]Kind
	// samplerByID holds one sampler per kind.
	samplerByID map[ID]*sampler
	// observer is called for each event; it is set before the Log is shared.
	observer func(ID)

	mu        sync.Mutex
	ring      []Entry
	nextIndex int
	wrapped   bool
}

// New returns a Log that keeps the newest ringSize events for the timeline.
func New(daemon string, logger hclog.Logger, ringSize int) *Log {
	l := &Log{Clock: &Clock{}, daemon: daemon, logger: logger, kindByID: map[ID]Kind{}, samplerByID: map[ID]*sampler{}, ring: make([]Entry, ringSize)}
	for _, k := range Kinds {
		l.kindByID[k.ID] = k
		l.samplerByID[k.ID] = &sampler{}
	}
	return l
}

// Observe makes the Log call fn for each event. Call it before the Log is shared.
func (l *Log) Observe(fn func(ID)) { l.observer = fn }

// Discard returns a Log that logs nothing and keeps the newest 16 events.
func Discard() *Log { return New("", hclog.NewNullLogger(), 16) }

// Emit records an event.
func (l *Log) Emit(id ID, f Fields) {
	if l.observer != nil {
		l.observer(id)
	}
	l.record(id, f)
}

// EmitSampled records an event of a frequent kind that reports no failure. At
// most maxSampledLinesPerSecond events of a kind are logged and kept for the
// timeline; each states how many were omitted before it. At level debug none is
// omitted. The observer is called for every event, fields only for recorded ones.
func (l *Log) EmitSampled(id ID, fields func() Fields) {
	if l.observer != nil {
		l.observer(id)
	}
	omitted, ok := l.samplerByID[id].allow(time.Now())
	if !ok && l.logger.GetLevel() > hclog.Debug {
		return
	}
	f := fields()
	f.Omitted = omitted
	l.record(id, f)
}

func (l *Log) record(id ID, f Fields) {
	kind := l.kindByID[id]
	entry := Entry{At: l.Clock.Now(), Daemon: l.daemon, ID: id, Text: kind.Text, Fields: f}
	l.mu.Lock()
	l.ring[l.nextIndex] = entry
	l.nextIndex++
	if l.nextIndex == len(l.ring) {
		l.nextIndex, l.wrapped = 0, true
	}
	l.mu.Unlock()
	if kind.Level < l.logger.GetLevel() {
		return
	}
	l.logger.Log(kind.Level, kind.Text, fieldArgs(entry)...)
}

// Since returns the kept events after t, oldest first.
func (l *Log) Since(t Timestamp) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	appendNewer := func(entries []Entry) {
		for _, e := range entries {
			if t.Before(e.At) {
				out = append(out, e)
			}
		}
	}
	if l.wrapped {
		appendNewer(l.ring[l.nextIndex:])
	}
	appendNewer(l.ring[:l.nextIndex])
	return out
}

// Keys of a log line's fields.
const (
	keyEvent        = "event"
	keyClock        = "clock"
	keyService      = "service"
	keyRequest      = "request"
	keyUpstream     = "upstream"
	keyRoute        = "route"
	keyOrganisation = "organisation"
	keyRevision     = "revision"
	keyOmitted      = "omitted"
	keyDetail       = "detail"
)

func fieldArgs(e Entry) []any {
	f := e.Fields
	args := []any{keyEvent, int(e.ID), keyClock, e.At.encode()}
	for _, kv := range []struct{ key, value string }{
		{keyService, f.Service}, {keyRequest, f.RequestID}, {keyUpstream, f.Upstream},
		{keyRoute, f.Route}, {keyOrganisation, f.Organisation}, {keyDetail, f.Detail},
	} {
		if kv.value != "" {
			args = append(args, kv.key, kv.value)
		}
	}
	for _, kv := range []struct {
		key   string
		value uint64
	}{{keyRevision, f.Revision}, {keyOmitted, f.Omitted}} {
		if kv.value > 0 {
			args = append(args, kv.key, kv.value)
		}
	}
	return args
}
