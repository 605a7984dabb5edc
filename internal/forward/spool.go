package forward

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/slowread"
)

const (
	// directBytes is how much of a response is written without a queue: it fits into the socket's
	// buffer, so that usual responses need no goroutine.
	directBytes = 8 << 10
	// blockBytes is the size of the blocks in which a queue holds a response, and of one write.
	blockBytes = 4 << 10
	// maxUnreadTime is how long an upstream's response may stay unread for lack of memory until
	// another response is ended. Engines cut off responses that are unread for some seconds.
	maxUnreadTime = time.Second
	// memoryPollInterval is the interval between attempts to get memory meanwhile.
	memoryPollInterval = 5 * time.Millisecond
	// maxCallerStall is how long a caller may take for one block. A caller on the same machine
	// that reads 1 KB/s opens its window once in 64 s at most, others far more often.
	maxCallerStall = 75 * time.Second
)

// errSlowReader is the cause of the end of a response that its caller did not read in time.
var errSlowReader = errors.New("the caller reads the response too slowly")

// spool is a caller's response that is written at the caller's pace while the upstream's is read
// at the upstream's. What lies between them counts in the memory for responses.
type spool struct {
	forwarder  *Forwarder
	writer     http.ResponseWriter
	controller *http.ResponseController
	callerCtx  context.Context
	// Used by the request's handler only: the bytes written without the queue, whether deliver
	// runs, and what ends the watch of callerCtx.
	direct    int
	started   bool
	stopWatch func() bool

	mu      sync.Mutex
	changed *sync.Cond // queue, closed or err
	// queue holds blocks that are not written yet. The newest may still grow.
	queue   [][]byte
	writing bool // a block that left the queue
	closed  bool // nothing follows the queue
	memory  *memoryLease
	// err is set once the response can't be continued.
	err       error
	lastRead  time.Time
	priority  int
	deadline  time.Time
	cancel    context.CancelFunc // ends the request's attempts
	delivered chan struct{}
}

func (f *Forwarder) newSpool(w http.ResponseWriter, r *http.Request) *spool {
	s := &spool{forwarder: f, writer: w, controller: http.NewResponseController(w), callerCtx: r.Context(), memory: f.responseMemory.lease(), cancel: func() {}, delivered: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	s.setWriteDeadline() // that of an earlier request on the connection may have passed
	return s
}

// setRequest tells what the end of the response would cost, and how its attempts are ended.
func (s *spool) setRequest(priority int, deadline time.Time, cancel context.CancelFunc) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.priority, s.deadline, s.cancel = priority, deadline, cancel
}

// setWriteDeadline lets the caller take maxCallerStall for what is written next.
func (s *spool) setWriteDeadline() {
	_ = s.controller.SetWriteDeadline(time.Now().Add(maxCallerStall)) // only tests have writers without deadlines
}

// Header implements http.ResponseWriter.
func (s *spool) Header() http.Header { return s.writer.Header() }

// WriteHeader implements http.ResponseWriter.
func (s *spool) WriteHeader(status int) { s.writer.WriteHeader(status) }

// Unwrap is used by http.ResponseController.
func (s *spool) Unwrap() http.ResponseWriter { return s.writer }

// Write implements http.ResponseWriter. It does not wait for the caller unless the memory for
// responses is used up, and then for maxUnreadTime at most.
func (s *spool) Write(p []byte) (int, error) {
	if !s.started && s.direct+len(p) <= directBytes {
		s.direct += len(p)
		s.setWriteDeadline()
		return s.writer.Write(p)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.started, s.lastRead = true, time.Now()
		s.forwarder.addSpool(s)
		s.stopWatch = context.AfterFunc(s.callerCtx, func() { s.end(s.callerCtx.Err()) })
		go s.deliver()
	}
	for written := 0; written < len(p); {
		if err := s.makeRoom(); err != nil {
			return written, err
		}
		last := &s.queue[len(s.queue)-1]
		n := min(blockBytes-len(*last), len(p)-written)
		*last = append(*last, p[written:written+n]...)
		written += n
		s.changed.Broadcast()
	}
	return len(p), nil
}

// makeRoom appends a block to the queue if the newest one is full. s.mu is held, and released
// while it waits for memory.
func (s *spool) makeRoom() error {
	waitingSince := time.Now()
	for {
		switch {
		case s.err != nil:
			return s.err
		case len(s.queue) > 0 && len(s.queue[len(s.queue)-1]) < blockBytes:
			return nil
		case s.forwarder.mayGrow(s.memory.held) && s.memory.resize((s.blocks()+1)*blockBytes):
			s.queue = append(s.queue, make([]byte, 0, blockBytes))
			return nil
		}
		s.mu.Unlock()
		if time.Since(waitingSince) < maxUnreadTime {
			time.Sleep(memoryPollInterval)
		} else {
			s.forwarder.endCheapest(s)
			waitingSince = time.Now()
		}
		s.mu.Lock()
	}
}

// blocks returns how many blocks are held. s.mu is held.
func (s *spool) blocks() int {
	if s.writing {
		return len(s.queue) + 1
	}
	return len(s.queue)
}

// FlushError is used by http.ResponseController. Queued blocks are flushed by deliver.
func (s *spool) FlushError() error {
	if s.started {
		return s.ended()
	}
	s.setWriteDeadline()
	return s.controller.Flush()
}

// deliver writes the queue until the response is complete or ended.
func (s *spool) deliver() {
	defer close(s.delivered)
	for {
		block, more := s.nextBlock()
		if block == nil {
			return
		}
		_, err := s.writer.Write(block)
		if err == nil && !more {
			err = s.controller.Flush()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errors.Wrapf(errSlowReader, "nothing was taken for %s", maxCallerStall)
		}
		if err != nil {
			s.end(err)
			return
		}
	}
}

// nextBlock releases the block before, and waits for the next one. It returns nil at the end, and
// whether another block follows.
func (s *spool) nextBlock() (block []byte, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing {
		s.writing, s.lastRead = false, time.Now()
		s.memory.shrink(s.blocks() * blockBytes)
	}
	for len(s.queue) == 0 && !s.closed && s.err == nil {
		s.changed.Wait()
	}
	if len(s.queue) == 0 || s.err != nil {
		return nil, false
	}
	block, s.queue = s.queue[0], s.queue[1:]
	s.writing = true
	s.setWriteDeadline() // under the lock: end sets an earlier one
	return block, len(s.queue) > 0
}

// end ends the response for a reason and frees its memory. Its connection is closed, so that the
// caller does not take the part that it has for the whole.
func (s *spool) end(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.err = cause
	s.queue = nil
	s.memory.release()
	_ = s.controller.SetWriteDeadline(time.Now()) // ends a write that waits for the caller
	s.cancel()
	s.changed.Broadcast()
}

// ended returns why the response was ended, nil if it was not.
func (s *spool) ended() error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// finish waits until the caller has the response, or as much of it as there is. It returns why
// the response was ended.
func (s *spool) finish() error {
	if s == nil {
		return nil
	}
	if !s.started {
		return nil
	}
	s.mu.Lock()
	s.closed = true
	s.changed.Broadcast()
	s.mu.Unlock()
	defer context.AfterFunc(s.forwarder.abortCtx, func() { s.end(context.Canceled) })()
	<-s.delivered
	s.stopWatch()
	s.forwarder.removeSpool(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.release()
	return s.err
}

// abandon ends a response that can't be completed. What its caller does not take within
// maxUnreadTime is given up.
func (s *spool) abandon() {
	if s.started {
		defer time.AfterFunc(maxUnreadTime, func() { s.end(errSlowReader) }).Stop()
		_ = s.finish() // the response is cut in any case
	}
}

// spools are the responses that wait for their callers.
type spools struct {
	mu     sync.Mutex
	active map[*spool]struct{}
	// ending is held while a response is selected and ended, so that no two are for the same
	// shortage.
	ending sync.Mutex
}

func (f *Forwarder) addSpool(s *spool) {
	f.spools.mu.Lock()
	defer f.spools.mu.Unlock()
	f.spools.active[s] = struct{}{}
}

func (f *Forwarder) removeSpool(s *spool) {
	f.spools.mu.Lock()
	defer f.spools.mu.Unlock()
	delete(f.spools.active, s)
}

// mayGrow reports whether a response that holds so many bytes may hold more.
func (f *Forwarder) mayGrow(held int64) bool {
	f.spools.mu.Lock()
	responses := len(f.spools.active)
	f.spools.mu.Unlock()
	return slowread.MayGrow(held, f.responseMemory.used.Load(), f.responseMemory.limit, responses)
}

// endCheapest ends the response whose end costs least, because there is no memory for the one
// that asks. If no end frees memory, that one is ended.
func (f *Forwarder) endCheapest(asking *spool) {
	f.spools.ending.Lock()
	defer f.spools.ending.Unlock()
	asking.mu.Lock()
	held := asking.memory.held
	asking.mu.Unlock()
	if f.mayGrow(held) && f.responseMemory.hasRoom(blockBytes) {
		return // another end has freed memory
	}
	f.spools.mu.Lock()
	var list []*spool
	var responses []slowread.Response
	for s := range f.spools.active {
		list = append(list, s)
	}
	f.spools.mu.Unlock()
	for _, s := range list {
		s.mu.Lock()
		responses = append(responses, slowread.Response{HeldBytes: s.memory.held, Priority: s.priority, Deadline: s.deadline, LastRead: s.lastRead})
		s.mu.Unlock()
	}
	victim := asking
	if i := slowread.Cheapest(time.Now(), responses); i >= 0 {
		victim = list[i]
	}
	victim.end(errors.Wrap(errSlowReader, "the memory for responses is used up"))
}
