package eventlog

import (
	"sync"

	"github.com/hashicorp/go-hclog"
)

// Log records events of one daemon. It is safe for concurrent use.
type Log struct {
	Clock  *Clock
	daemon string
	logger hclog.Logger
	kinds  map[ID]Kind
	// observe is called for each event; set before the Log is used.
	observe func(ID)

	mu   sync.Mutex
	ring []Entry
	next int
	full bool
}

// New returns a Log that keeps the newest size events for the time line.
func New(daemon string, logger hclog.Logger, size int) *Log {
	l := &Log{Clock: &Clock{}, daemon: daemon, logger: logger, kinds: map[ID]Kind{}, ring: make([]Entry, size)}
	for _, k := range Kinds {
		l.kinds[k.ID] = k
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
	l.logger.Log(kind.Level, kind.Text, fieldArgs(id, f)...)
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

func fieldArgs(id ID, f Fields) []any {
	args := []any{"event", int(id)}
	for _, kv := range []struct{ key, value string }{
		{"service", f.Service}, {"request", f.RequestID}, {"upstream", f.Upstream}, {"detail", f.Detail},
	} {
		if kv.value != "" {
			args = append(args, kv.key, kv.value)
		}
	}
	return args
}
