// Package logsink writes log lines asynchronously: when the output is slow or
// blocked, lines are dropped, counted and reported, and writers never block.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultQueueLines is the default length of the queue.
const DefaultQueueLines = 4096

// Sink is an io.Writer that never blocks. Each call of Write is one line.
type Sink struct {
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	closing   chan struct{}
}

// New returns a Sink that writes to out in the background and queues up to
// queueLines lines.
func New(out io.Writer, queueLines int) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), done: make(chan struct{}), closing: make(chan struct{})}
	go s.run(out)
	return s
}

// Write implements io.Writer. When the queue is full, the line is dropped and counted.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written or abort is closed. Write must
// not be called after Close.
func (s *Sink) Close(abort <-chan struct{}) {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-abort:
	}
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.writeLine(out, line)
		case <-s.closing:
			for {
				select {
				case line := <-s.lines:
					s.writeLine(out, line)
				default:
					s.reportDropped(out)
					return
				}
			}
		}
	}
}

// writeLine writes a line, preceded by the number of dropped lines, if any.
// Write errors are ignored, since there is no other output to report them to.
func (s *Sink) writeLine(out io.Writer, line []byte) {
	s.reportDropped(out)
	_, _ = out.Write(line)
}

func (s *Sink) reportDropped(out io.Writer) {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", n)
	}
}
