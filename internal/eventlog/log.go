package eventlog

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Log records events of one daemon. It is safe for concurrent use.
type Log struct {
	Clock  *Clock
	daemon string
	logger hclog.Logger
	kinds  map[ID]Kind
	// samplers holds one for each kind.
	samplers map[ID]*sampler
	// observe is called for each event; set before the Log is used.
	observe func(ID)

	mu   sync.Mutex
	ring []Entry
	next int
	full bool
}

// New returns a Log that keeps the newest size events for the time line.
func New(daemon string, logger hclog.Logger, size int) *Log {
	l := &Log{Clock: &Clock{}, daemon: daemon, logger: logger, kinds: map[ID]Kind{}, samplers: map[ID]*sampler{}, ring: make([]Entry, size)}
	for _, k := range Kinds {
		l.kinds[k.ID] = k
		l.samplers[k.ID] = &sampler{}
	}
	return l
}

// Observe calls fn for each event from now on; call it before the Log is shared.
func (l *Log) Observe(fn func(ID)) { l.observe = fn }

// Discard returns a Log that keeps few events and writes none.
func Discard() *Log { return New("", hclog.NewNullLogger(), 16) }

// Emit records an event.
func (l *Log) Emit(id ID, f Fields) {
	if l.observe != nil {
		l.observe(id)
	}
	l.record(id, f)
}

// EmitSampled records an event of a kind that is frequent and tells no fault.
// At most sampledLines a second of a kind are logged, which tell how many were
// left out; all are counted. fields is called for what is logged. Where debug
// lines are logged, so are all of these.
func (l *Log) EmitSampled(id ID, fields func() Fields) {
	if l.observe != nil {
		l.observe(id)
	}
	omitted, ok := l.samplers[id].take(time.Now())
	if !ok && l.logger.GetLevel() > hclog.Debug {
		return
	}
	f := fields()
	f.Omitted = omitted
	l.record(id, f)
}

func (l *Log) record(id ID, f Fields) {
	kind := l.kinds[id]
	entry := Entry{At: l.Clock.Now(), Daemon: l.daemon, ID: id, Text: kind.Text, Fields: f}
	l.mu.Lock()
	l.ring[l.next] = entry
	l.next++
	if l.next == len(l.ring) {
		l.next, l.full = 0, true
	}
	l.mu.Unlock()
	if kind.Level < l.logger.GetLevel() {
		return
	}
	l.logger.Log(kind.Level, kind.Text, fieldArgs(entry)...)
}

// Since returns the recorded events after t, oldest first.
func (l *Log) Since(t Timestamp) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	visit := func(part []Entry) {
		for _, e := range part {
			if t.Before(e.At) {
				out = append(out, e)
			}
		}
	}
	if l.full {
		visit(l.ring[l.next:])
	}
	visit(l.ring[:l.next])
	return out
}

// Keys of the fields of a log line.
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
