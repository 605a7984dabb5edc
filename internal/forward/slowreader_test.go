package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

const (
	// longResponse is more than the sockets between an upstream and a caller buffer.
	longResponse = 24 << 20
	// cutAfter is how long an upstream lets its response stay unread.
	cutAfter = 1500 * time.Millisecond
)

// patientCodec gives requests more time than the endings of endingCodec need.
type patientCodec struct{ endingCodec }

func (c patientCodec) ReadRequest(h http.Header) (RequestMetadata, error) {
	m, err := c.endingCodec.ReadRequest(h)
	m.Timeout = time.Minute
	return m, err
}

// newSlowReaderDaemon returns a daemon whose upstream sends long responses and cuts those that
// stay unread.
func newSlowReaderDaemon(t *testing.T, memory int64, cutAfter time.Duration) (*Forwarder, *httptest.Server) {
	dial, _ := tcpUpstream(t, func(conn *net.TCPConn, id string) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, longResponse)
		part := []byte(strings.Repeat("x", 64<<10))
		for range longResponse / len(part) {
			_ = conn.SetWriteDeadline(time.Now().Add(cutAfter))
			if _, err := conn.Write(part); err != nil {
				_ = conn.SetLinger(0)
				return
			}
		}
	})
	f, closeAll := newForwarderOver(t, eventlog.Discard(), dial)
	f.Headers, f.SlowReaders, f.responseMemory.limit = patientCodec{}, true, memory
	daemon := httptest.NewServer(f)
	t.Cleanup(func() {
		daemon.Close()
		closeAll()
	})
	return f, daemon
}

// readSlowly sends a request, waits, and returns how much of the response arrives.
func readSlowly(daemon *httptest.Server, id, path string, wait func()) (int64, error) {
	r, err := http.NewRequest(http.MethodGet, daemon.URL+path, nil)
	if err != nil {
		return 0, err
	}
	r.Host = "host"
	r.Header.Set("Id", id)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	wait()
	return io.Copy(io.Discard, resp.Body)
}

// A caller that reads late made the daemon leave the upstream's response unread, and the upstream
// cut it off.
func TestSlowCallerGetsWholeResponse(t *testing.T) {
	f, daemon := newSlowReaderDaemon(t, 2*longResponse, cutAfter)
	n, err := readSlowly(daemon, "slow", "/unsafe/1", func() { time.Sleep(2 * cutAfter) })
	assert.NilError(t, err)
	assert.Equal(t, n, int64(longResponse))
	_, held := f.HeldBytes()
	assert.Equal(t, held, int64(0))
}

// Callers that read nothing held what was meant for them for ever. When the memory is used up,
// one of them is ended, and not the caller that reads.
func TestCallerThatReadsNothingIsEndedFirst(t *testing.T) {
	const memory = 2 << 20
	f, daemon := newSlowReaderDaemon(t, memory, 10*time.Second)
	var wg sync.WaitGroup
	defer wg.Wait()
	checked := make(chan struct{})
	defer close(checked)
	for i := range 3 {
		wg.Go(func() {
			n, err := readSlowly(daemon, fmt.Sprint("stalled-", i), "/stream/1", func() { <-checked })
			assert.Check(t, err != nil, "%d bytes look complete", n)
		})
	}
	for f.responseMemory.used.Load() < memory/2 { // until they fill the memory
		time.Sleep(10 * time.Millisecond)
	}
	n, err := readSlowly(daemon, "reading", "/unsafe/1", func() {})
	assert.NilError(t, err)
	assert.Equal(t, n, int64(longResponse))
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if _, held := f.HeldBytes(); held == 0 {
			break
		}
		assert.Assert(t, time.Since(start) < 30*time.Second, "callers that read nothing still hold memory")
	}
}

// pacedWriter is a ResponseWriter whose caller takes each block after a time.
type pacedWriter struct {
	httptest.ResponseRecorder
	perWrite time.Duration
	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{}
}

func newPacedWriter(perWrite time.Duration) *pacedWriter {
	return &pacedWriter{ResponseRecorder: *httptest.NewRecorder(), perWrite: perWrite, changed: make(chan struct{})}
}

func (w *pacedWriter) SetWriteDeadline(at time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = at
	close(w.changed)
	w.changed = make(chan struct{})
	return nil
}

// Write takes perWrite, unless the deadline passes before.
func (w *pacedWriter) Write(p []byte) (int, error) {
	for done := time.Now().Add(w.perWrite); ; {
		w.mu.Lock()
		deadline, changed := w.deadline, w.changed
		w.mu.Unlock()
		switch now := time.Now(); {
		case !now.Before(deadline):
			return 0, os.ErrDeadlineExceeded
		case !now.Before(done):
			return w.ResponseRecorder.Write(p)
		}
		select {
		case <-changed:
		case <-time.After(min(time.Until(done), time.Until(deadline))):
		}
	}
}

// Guards against a caller that reads slowly but steadily and is ended, and against one that reads
// nothing and holds memory for ever.
func TestStalledCallerIsEnded(t *testing.T) {
	for perBlock, whole := range map[time.Duration]bool{maxCallerStall / 2: true, 2 * maxCallerStall: false} {
		synctest.Test(t, func(t *testing.T) {
			f, closeAll := newEndingForwarder(t, eventlog.Discard())
			defer closeAll()
			w := newPacedWriter(perBlock)
			s := f.newSpool(w, httptest.NewRequest(http.MethodGet, "/", nil))
			body := strings.Repeat("0123456789abcdef", directBytes)
			start := time.Now()
			n, err := s.Write([]byte(body))
			assert.NilError(t, err)
			assert.Equal(t, n, len(body))
			assert.Equal(t, time.Since(start), time.Duration(0)) // the upstream is read on
			assert.Check(t, f.responseMemory.used.Load() > 0)
			err = s.finish()
			if whole {
				assert.NilError(t, err)
				assert.Equal(t, w.Body.String(), body)
			} else {
				assert.ErrorIs(t, err, errSlowReader)
				assert.Equal(t, time.Since(start), maxCallerStall)
			}
			assert.Equal(t, f.responseMemory.used.Load(), int64(0))
			assert.Equal(t, len(f.spools.active), 0)
		})
	}
}

// Guards against responses that stay when their caller disconnects or the daemon ends.
func TestSpoolEndsWithCallerAndDaemon(t *testing.T) {
	for name, end := range map[string]func(f *Forwarder, disconnect func()){
		"caller": func(_ *Forwarder, disconnect func()) { disconnect() },
		"daemon": func(f *Forwarder, _ func()) { f.AbortRequests() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, closeAll := newEndingForwarder(t, eventlog.Discard())
				defer closeAll()
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				s := f.newSpool(newPacedWriter(time.Hour), httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx))
				_, err := s.Write(make([]byte, 512<<10))
				assert.NilError(t, err)
				time.AfterFunc(time.Second, func() { end(f, disconnect) })
				start := time.Now()
				assert.ErrorIs(t, s.finish(), context.Canceled)
				assert.Equal(t, time.Since(start), time.Second)
				assert.Equal(t, f.responseMemory.used.Load(), int64(0))
			})
		})
	}
}

// Bodies for upstreams that read nothing piled up until they filled the memory for bodies. Those
// that wait end at their deadlines; what does not fit is refused at once, as not run.
func TestBodiesForSlowUpstreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, closeAll := newForwarderOver(t, eventlog.Discard(), func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				time.Sleep(time.Minute)
				far.Close()
			}()
			return near, nil
		})
		f.SlowReaders = true
		const requests, size = 6, 100 << 10 // an eighth of the memory holds one
		var wg sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for i := range requests {
			wg.Go(func() {
				r := httptest.NewRequest(http.MethodPost, "/unsafe/1", strings.NewReader(strings.Repeat("x", size)))
				r.Host = "host"
				r.Header.Set("Id", fmt.Sprint("request-", i))
				w := httptest.NewRecorder()
				start := time.Now()
				f.ServeHTTP(deadlineRecorder{w}, r)
				mu.Lock()
				defer mu.Unlock()
				statuses[w.Code]++
				assert.Check(t, time.Since(start) <= 2*time.Second+deadlineGrace)
				assert.Check(t, w.Code != http.StatusServiceUnavailable || time.Since(start) < time.Second, "refused after %s", time.Since(start))
			})
		}
		wg.Wait()
		assert.DeepEqual(t, statuses, map[int]int{http.StatusGatewayTimeout: 2, http.StatusServiceUnavailable: requests - 2}) // one at each upstream
		assert.Equal(t, f.bodyMemory.used.Load(), int64(0))
		assert.Equal(t, len(f.uploads.bytes), 0)
		closeAll()
		time.Sleep(2 * time.Minute)
	})
}
