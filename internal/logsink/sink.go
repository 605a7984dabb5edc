// Package logsink writes log lines without ever making their writer wait: a
// slow or blocked output costs lines, which are counted and reported.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultLines is how many lines may wait to be written.
const DefaultLines = 4096

// Sink is an io.Writer that never blocks. Each call is one line.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	closed  chan struct{}
}

// New returns a Sink that writes to out in the background, with room for some lines.
func New(out io.Writer, lines int) *Sink {
	s := &Sink{lines: make(chan []byte, lines), done: make(chan struct{}), closed: make(chan struct{})}
	go s.run(out)
	return s
}

// Write implements io.Writer. A line that finds no room is dropped and counted.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Nothing may be written after it; it returns at
// once when giveUp closes.
func (s *Sink) Close(giveUp <-chan struct{}) {
	s.once.Do(func() { close(s.closed) })
	select {
	case <-s.done:
	case <-giveUp:
	}
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.emit(out, line)
		case <-s.closed:
			for {
				select {
				case line := <-s.lines:
					s.emit(out, line)
				default:
					s.reportDropped(out)
					return
				}
			}
		}
	}
}

// emit writes a line, and before it how many were dropped. A failed write has
// nowhere to be reported.
func (s *Sink) emit(out io.Writer, line []byte) {
	s.reportDropped(out)
	_, _ = out.Write(line)
}

func (s *Sink) reportDropped(out io.Writer) {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", n)
	}
}
